package config

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// confirmation is the last proof that the revision in force was the
// platform's newest. It outlives a change to a higher revision: whatever the
// platform had accepted by then is still in force.
type confirmation struct {
	known            bool
	readAt           clock.Time // instant of the platform read behind it
	ignorePeersUntil clock.Time // before it, confirmations of peers are ignored
}

// wake returns when the daemon becomes cut off.
func (c *confirmation) wake(now clock.Time) clock.Time {
	if !c.known || now.Sub(c.readAt) > CutOffAfter {
		return clock.Never
	}
	return c.readAt.Add(CutOffAfter + 1)
}

// confirmCurrent notes that the platform's newest was p at the instant at, if
// that is what is in force.
func (s *State) confirmCurrent(p Point, at clock.Time) {
	if s.current == nil || p != s.current.version() {
		return
	}
	if !s.confirmation.known || at.After(s.confirmation.readAt) {
		s.confirmation.known = true
		s.confirmation.readAt = clock.Min(at, s.now)
	}
}

// confirmByPeer notes a confirmation passed on by a peer.
func (s *State) confirmByPeer(p Point, age Age) {
	if age == Unknown || s.now.Before(s.confirmation.ignorePeersUntil) {
		return
	}
	s.confirmCurrent(p, s.now.Add(-age.Duration()))
}

// messageAge returns the age of the confirmation for messages.
func (s *State) messageAge() Age {
	if !s.confirmation.known {
		return Unknown
	}
	return toAge(s.now.Sub(s.confirmation.readAt))
}

// toAge rounds up, so that an age isn't understated at each hop.
func toAge(d time.Duration) Age {
	d = min(max(d, 0), maxAge-time.Millisecond)
	return Age((d + time.Millisecond - 1) / time.Millisecond)
}

// Age returns the age of the last known platform read all of whose content is
// in force here, and false if there is none.
func (s *State) Age(now clock.Time) (time.Duration, bool) {
	return now.Sub(s.confirmation.readAt), s.confirmation.known
}

// CutOff reports whether nothing has confirmed the configuration for
// CutOffAfter: neither the platform nor a peer that has reached it.
func (s *State) CutOff(now clock.Time) bool {
	age, known := s.Age(now)
	return !known || age > CutOffAfter
}

// Base returns the catalogue to build the next write on, and the floor that
// its revision must exceed. It returns false while this daemon is joining, or
// has heard of a higher revision whose content it is still asking for: a
// write on an older base would silently undo accepted changes.
func (s *State) Base(now clock.Time) (Base, bool) {
	b := Base{Catalogue: s.Catalogue(), Floor: max(s.currentVersion().Revision, s.catchUp.highestKnown)}
	joined := s.current != nil || !now.Before(s.join.deadline)
	return b, joined && !s.catchUp.pending(s.currentVersion().Revision, now)
}
