package limit

import (
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Window bounds the forwards in flight to another entry VM.
//
// A forward is in flight for its sender for the round trip and the work, but
// takes a slot of the receiver for the work alone. Over 110 ms, a slot that
// works 20 ms on each request therefore bears more than six forwards in
// flight; the caller of Report states this factor as stretch.
//
// Reports of headroom are about a second old, and every other entry VM sees
// the same ones. If all of them filled the headroom they see, the receiver
// would get many times what it can bear, refuse most of it, report itself
// full, and be left empty a second later. Three rules prevent this: each
// sender starts from its part of the headroom, drawn at random so that parts
// below one request are right on average; the window grows only as forwards
// are answered and is halved by a refusal; and the headroom reported, less
// with age, bounds it above.
type Window struct {
	size             float64
	headroom         float64    // reported, times stretch
	reportedAt       clock.Time // when the report was made
	known            bool
	inFlightAtReport int        // own forwards in flight when the report came in
	pausedUntil      clock.Time // nothing before, after a refusal
	pause            time.Duration
	reducedAt        clock.Time // of the last refusal that counted
}

// The bounds of the pause after a refusal.
const (
	minRefusalPause  = 2 * time.Millisecond
	maxRefusalPause  = time.Second
	minProbeHeadroom = 0.5 // for which one forward may be tried
	maxPauseRTTs     = 16  // round trips that a pause lasts at most
	nearProbes       = 2   // forwards at once that may be tried near by, whatever the report says
)

// Report records headroom stated at the instant at, with inFlight own
// forwards in flight now and senders entry VMs that may forward there.
func (w *Window) Report(headroom int, stretch float64, at clock.Time, inFlight, senders int, rng *rand.Rand) {
	if w.known && at < w.reportedAt {
		return
	}
	w.known = true
	w.reportedAt = at
	w.headroom = max(float64(headroom), 0) * max(stretch, 1)
	w.inFlightAtReport = inFlight
	part := w.headroom / float64(max(senders, 1))
	whole := float64(int(part))
	if rng.Float64() < part-whole {
		whole++
	}
	w.size = min(max(w.size, whole), w.headroom)
}

// Answered records a forward that was answered, and with it that the receiver
// had room.
func (w *Window) Answered() {
	w.size += 1 / max(w.size, 1)
	w.pause /= 2
}

// Refused records that a forward made at sentAt was refused for lack of
// capacity. Of several under way at once only the first counts: they all met
// the same lack.
func (w *Window) Refused(now, sentAt clock.Time, rtt time.Duration) {
	if sentAt < w.reducedAt {
		return
	}
	w.reducedAt = now
	w.size /= 2
	most := min(max(maxPauseRTTs*rtt, minRefusalPause), maxRefusalPause)
	w.pause = min(max(2*w.pause, rtt, minRefusalPause), most)
	w.pausedUntil = now.Add(w.pause)
}

// Room returns how many forwards may be added to the inFlight own ones. A
// report of the age horizon or more leaves no room. With near set, a few
// forwards may be tried whatever the report says, as a refusal costs next to
// nothing.
func (w *Window) Room(now clock.Time, inFlight int, horizon time.Duration, near bool) float64 {
	if !w.known || now < w.pausedUntil {
		return 0
	}
	trust := 1 - float64(now.Sub(w.reportedAt))/float64(horizon)
	if trust <= 0 {
		return 0
	}
	since := float64(max(inFlight-w.inFlightAtReport, 0))
	room := min(w.size-float64(inFlight), w.headroom*trust-since)
	if near && inFlight < nearProbes || inFlight == 0 && w.headroom*trust >= minProbeHeadroom {
		return max(room, 1)
	}
	return room
}
