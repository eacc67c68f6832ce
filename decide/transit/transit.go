// Package transit tells for how long messages were held up on their way, without a clock that
// sender and receiver share.
//
// A message states when it was sent, by its sender's clock. The difference to the receiver's
// clock when it comes is the unknown distance of the two clocks plus the time on the way. The
// least difference seen stands for the fastest way, so what a message has beyond that is how
// long it was held up. Nothing is known of the first message of a clock.
package transit

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

const (
	// maxDrift is the rate at which two clocks may drift apart, in seconds per second. Clocks
	// of machines keep within a tenth of it.
	maxDrift = 1e-3
	// maxClocks bounds the clocks that are known, and keepFor is how long one that is not
	// used is kept if there are as many.
	maxClocks = 8192
	keepFor   = 10 * time.Minute
)

// Meter measures how long messages were held up. The zero value is ready to use.
type Meter struct{ clocks map[string]*distance }

// distance is what is known of a sender's clock.
type distance struct {
	least  time.Duration // difference of the message that was fastest
	seenAt clock.Time    // when it came
	usedAt clock.Time    // when the last message came
}

// HeldUp returns for how long a message was held up that comes now. name identifies the
// sender's clock, and difference is the receiver's clock minus the sender's when the message
// was sent.
func (m *Meter) HeldUp(now clock.Time, name string, difference time.Duration) time.Duration {
	d := m.clocks[name]
	if d == nil {
		m.add(now, name, difference)
		return 0
	}
	d.usedAt = now
	least := d.least + time.Duration(maxDrift*float64(now.Sub(d.seenAt)))
	if difference <= least {
		d.least, d.seenAt = difference, now
		return 0
	}
	return difference - least
}

// add begins to measure by a clock, unless too many are in use.
func (m *Meter) add(now clock.Time, name string, difference time.Duration) {
	if m.clocks == nil {
		m.clocks = make(map[string]*distance)
	}
	if len(m.clocks) >= maxClocks {
		for other, d := range m.clocks {
			if now.Sub(d.usedAt) > keepFor {
				delete(m.clocks, other)
			}
		}
	}
	if len(m.clocks) < maxClocks {
		m.clocks[name] = &distance{least: difference, seenAt: now, usedAt: now}
	}
}
