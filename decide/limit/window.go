package limit

import (
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Window bounds the forwards in flight to another entry VM.
//
// A forward is in flight for its sender during the round trip and the work,
// but takes a slot of the receiver only during the work. With a round trip of
// 110 ms, a slot that works 20 ms on each request therefore supports more than
// six forwards in flight; the caller of Report passes this factor as stretch.
//
// Reports of headroom are about a second old, and all other entry VMs see the
// same ones. If each of them filled the headroom it sees, the receiver would
// get many times what it can handle, refuse most of it, report itself full,
// and be idle a second later. Three rules prevent this: each sender starts
// from its part of the headroom, rounded at random so that parts below one
// request are right on average; the window grows only when forwards are
// answered and is halved by a refusal; and the reported headroom, less with
// age, is its upper bound.
type Window struct {
	size             float64
	headroom         float64    // as reported, times stretch
	reportedAt       clock.Time // when the report was made
	known            bool
	inFlightAtReport int        // own forwards in flight when the report came in
	pausedUntil      clock.Time // no forwards before this instant, after a refusal
	pause            time.Duration
	reducedAt        clock.Time // time of the last refusal that reduced the size
}

// Bounds of the pause after a refusal, and of probing.
const (
	minRefusalPause  = 2 * time.Millisecond
	maxRefusalPause  = time.Second
	minProbeHeadroom = 0.5 // reported headroom from which one forward may be tried
	maxPauseRTTs     = 16  // longest pause, in round trips
	nearProbes       = 2   // forwards to a nearby VM that may be in flight at once, whatever its report says
)

// Report records the headroom stated at the instant at, with inFlight own
// forwards in flight now and senders entry VMs that may forward to the
// receiver.
func (w *Window) Report(headroom int, stretch float64, at clock.Time, inFlight, senders int, rng *rand.Rand) {
	if w.known && at < w.reportedAt {
		return
	}
	w.known = true
	w.reportedAt = at
	w.headroom = max(float64(headroom), 0) * max(stretch, 1)
	w.inFlightAtReport = inFlight
	ownPart := w.headroom / float64(max(senders, 1))
	rounded := float64(int(ownPart))
	if rng.Float64() < ownPart-rounded {
		rounded++
	}
	w.size = min(max(w.size, rounded), w.headroom)
}

// Answered records that a forward was answered, which shows that the receiver
// had capacity.
func (w *Window) Answered() {
	w.size += 1 / max(w.size, 1)
	w.pause /= 2
}

// Refused records that a forward made at sentAt was refused for lack of
// capacity. Of several in flight at once only the first refusal counts, as all
// have the same cause.
func (w *Window) Refused(now, sentAt clock.Time, rtt time.Duration) {
	if sentAt < w.reducedAt {
		return
	}
	w.reducedAt = now
	w.size /= 2
	maxPause := min(max(maxPauseRTTs*rtt, minRefusalPause), maxRefusalPause)
	w.pause = min(max(2*w.pause, rtt, minRefusalPause), maxPause)
	w.pausedUntil = now.Add(w.pause)
}

// Room returns how many forwards may be sent in addition to the inFlight own
// ones. A report that is as old as the horizon or older allows none. If near
// is set, a few forwards are allowed whatever the report says, because a refusal
// by a nearby VM takes hardly any time.
func (w *Window) Room(now clock.Time, inFlight int, horizon time.Duration, near bool) float64 {
	if !w.known || now < w.pausedUntil {
		return 0
	}
	weight := 1 - float64(now.Sub(w.reportedAt))/float64(horizon)
	if weight <= 0 {
		return 0
	}
	sinceReport := float64(max(inFlight-w.inFlightAtReport, 0))
	room := min(w.size-float64(inFlight), w.headroom*weight-sinceReport)
	if near && inFlight < nearProbes || inFlight == 0 && w.headroom*weight >= minProbeHeadroom {
		return max(room, 1)
	}
	return room
}
