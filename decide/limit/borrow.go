package limit

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Report is a target's statement of its load by the requests of other entry
// VMs.
type Report struct {
	Others int        // requests of other entry VMs in flight
	At     clock.Time // when the target stated it
	Known  bool       // false before the first report
}

// Borrow decides about using slots of a target beyond the own share.
//
// Reports age: one from a second ago says little about slots that are taken
// and given back every few milliseconds. The estimate therefore moves from
// the report to the worst case (the others use all that is theirs) as the
// report gets older.
type Borrow struct {
	report      Report
	pausedUntil clock.Time // no borrowing before
	pause       time.Duration
}

// The bounds of the pause after a refusal.
const (
	minPause = 250 * time.Millisecond
	maxPause = 4 * time.Second
)

// Observe records a report unless a later one is known.
func (b *Borrow) Observe(r Report) {
	if b.report.Known && r.At < b.report.At {
		return
	}
	r.Known = true
	b.report = r
}

// Shed records that the target refused a request while slots were borrowed.
// Entry VMs that all borrow the same free slot would otherwise be refused
// again and again, each refusal costing a round trip.
func (b *Borrow) Shed(now clock.Time) {
	b.pause = min(max(2*b.pause, minPause), maxPause)
	b.pausedUntil = now.Add(b.pause)
}

// Answered records that a borrowed slot was good, and shortens the next pause.
func (b *Borrow) Answered() { b.pause /= 2 }

// Others estimates the slots that other entry VMs use, of slots in all with
// share being the own part. A report of the age horizon or more counts for
// nothing.
func (b *Borrow) Others(now clock.Time, slots, share int, horizon time.Duration) float64 {
	worst := float64(slots - share)
	if !b.report.Known || horizon <= 0 {
		return worst
	}
	trust := 1 - float64(now.Sub(b.report.At))/float64(horizon)
	if trust <= 0 {
		return worst
	}
	return trust*float64(b.report.Others) + (1-trust)*worst
}

// Slots returns how many slots beyond share may be used now.
func (b *Borrow) Slots(now clock.Time, slots, share int, horizon time.Duration) int {
	if now < b.pausedUntil || share >= slots {
		return 0
	}
	free := float64(slots-share) - b.Others(now, slots, share, horizon)
	return min(max(int(free), 0), slots-share)
}
