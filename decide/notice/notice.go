package notice

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// MaxBackoff is the longest backoff that a statement is followed for.
const MaxBackoff = 24 * time.Hour

// Notice is what one answer states about its target's availability.
type Notice struct {
	// Leaving means that the target is about to stop and wants no further request.
	Leaving bool
	// Backoff is how long the target wants no request; 0: not stated.
	Backoff time.Duration
}

// Empty reports whether n states nothing.
func (n Notice) Empty() bool { return n == Notice{} }

// Change is the effect of a notice on an Availability.
type Change struct {
	Left      bool // the target states for the first time that it is leaving
	BackedOff bool // a backoff has begun
	Extended  bool // a backoff in progress ends later
}

// Any reports whether anything has changed.
func (c Change) Any() bool { return c != Change{} }

// Availability is the availability of one instance of a target as its notices
// state it. The zero value is available.
type Availability struct {
	leavingSince clock.Time // 0: not leaving
	backoffSince clock.Time // 0: no backoff
	backoffUntil clock.Time
	// ramp limits the requests in flight after a backoff; 0: no limit.
	ramp int
}

// Apply applies a notice received at now.
func (a *Availability) Apply(now clock.Time, n Notice) Change {
	var c Change
	if n.Leaving && a.leavingSince == 0 {
		a.leavingSince = now
		c.Left = true
	}
	until := now.Add(min(n.Backoff, MaxBackoff))
	switch {
	case n.Backoff <= 0:
	case a.backoffSince == 0:
		a.backoffSince, a.backoffUntil, a.ramp = now, until, 0
		c.BackedOff = true
	case until.After(a.backoffUntil):
		a.backoffUntil = until
		c.Extended = true
	}
	return c
}

// Leaving reports whether the target is leaving.
func (a *Availability) Leaving() bool { return a.leavingSince != 0 }

// LeavingSince returns when the target first stated that it is leaving; 0: it has
// not.
func (a *Availability) LeavingSince() clock.Time { return a.leavingSince }

// BackingOff reports whether the target is in a backoff. It ends with EndBackoff,
// not by the passing of time, so that what is derived from it changes in one place.
func (a *Availability) BackingOff() bool { return a.backoffSince != 0 }

// BackoffSince returns when the backoff in progress began; 0: there is none.
func (a *Availability) BackoffSince() clock.Time { return a.backoffSince }

// BackoffUntil returns when the backoff in progress ends.
func (a *Availability) BackoffUntil() clock.Time { return a.backoffUntil }

// Available reports whether the target may get a request at all.
func (a *Availability) Available() bool { return a.leavingSince == 0 && a.backoffSince == 0 }

// Forbids reports whether a request sent at the given time was sent after a notice
// that is still in force.
func (a *Availability) Forbids(sent clock.Time) bool {
	return (a.leavingSince != 0 && sent.After(a.leavingSince)) || (a.backoffSince != 0 && sent.After(a.backoffSince))
}

// Notice returns what is left of the target's statements at now.
func (a *Availability) Notice(now clock.Time) Notice {
	n := Notice{Leaving: a.Leaving()}
	if a.BackingOff() {
		n.Backoff = max(a.backoffUntil.Sub(now), 0)
	}
	return n
}

// EndBackoff ends a backoff whose time is over, and reports whether there was one.
// From then on the target is used again step by step.
func (a *Availability) EndBackoff(now clock.Time) bool {
	if a.backoffSince == 0 || now.Before(a.backoffUntil) {
		return false
	}
	a.backoffSince, a.backoffUntil, a.ramp = 0, 0, 1
	return true
}

// Admits reports whether the target may get a request while it has inFlight others.
func (a *Availability) Admits(inFlight int) bool {
	return a.Available() && (a.ramp == 0 || inFlight < a.ramp)
}

// Answered records that the target has served a request. Each answer after a
// backoff doubles the requests that it may have at once; the limit ends when it
// reaches enough.
func (a *Availability) Answered(enough int) {
	if a.ramp == 0 {
		return
	}
	if a.ramp *= 2; a.ramp >= enough {
		a.ramp = 0
	}
}
