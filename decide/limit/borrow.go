package limit

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Report is the load of a target by other entry VMs, as stated by the target.
type Report struct {
	Others int        // requests of other entry VMs in flight
	At     clock.Time // when the target stated it
	Known  bool       // false before the first report
}

// Borrow decides how many slots of a target may be used beyond the own share.
//
// Reports age quickly: one from a second ago says little about slots that are
// taken and released every few milliseconds. The estimate therefore moves from
// the report to the worst case (the others use all of their shares) as the
// report gets older.
type Borrow struct {
	report      Report
	pausedUntil clock.Time // no borrowing before this instant
	pause       time.Duration
}

// Bounds of the pause after a refusal.
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

// Refused records that the target refused a request while slots were borrowed.
// Without the pause, entry VMs that all borrow the same free slot would be
// refused again and again, each time at the cost of a round trip.
func (b *Borrow) Refused(now clock.Time) {
	b.pause = min(max(2*b.pause, minPause), maxPause)
	b.pausedUntil = now.Add(b.pause)
}

// Answered records that a request on a borrowed slot was answered, and
// shortens the next pause.
func (b *Borrow) Answered() { b.pause /= 2 }

// Others estimates how many slots other entry VMs use, of slots in total, of
// which share are the own part. A report that is as old as the horizon or
// older is ignored.
func (b *Borrow) Others(now clock.Time, slots, share int, horizon time.Duration) float64 {
	worst := float64(slots - share)
	if !b.report.Known || horizon <= 0 {
		return worst
	}
	weight := 1 - float64(now.Sub(b.report.At))/float64(horizon)
	if weight <= 0 {
		return worst
	}
	return weight*float64(b.report.Others) + (1-weight)*worst
}

// Slots returns how many slots beyond share may be used now.
func (b *Borrow) Slots(now clock.Time, slots, share int, horizon time.Duration) int {
	if now < b.pausedUntil || share >= slots {
		return 0
	}
	free := float64(slots-share) - b.Others(now, slots, share, horizon)
	return min(max(int(free), 0), slots-share)
}
