package config

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// confirmation records when the revision in force was last known to be the
// platform's newest. It stays valid when a higher revision comes into force:
// everything that the platform had accepted by readAt is still in force.
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

// confirmCurrent records that v was the platform's newest content at the given
// time, if v is in force.
func (s *State) confirmCurrent(v Version, at clock.Time) {
	if s.current == nil || v != s.current.version() {
		return
	}
	if !s.confirmation.known || at.After(s.confirmation.readAt) {
		s.confirmation.known = true
		s.confirmation.readAt = clock.Min(at, s.now)
	}
}

// confirmByPeer records a confirmation of v that a peer has reported.
func (s *State) confirmByPeer(v Version, age Age) {
	if age == Unknown || s.now.Before(s.confirmation.ignorePeersUntil) {
		return
	}
	s.confirmCurrent(v, s.now.Add(-age.Duration()))
}

// messageAge returns the age of the confirmation for messages.
func (s *State) messageAge() Age {
	if !s.confirmation.known {
		return Unknown
	}
	return toAge(s.now.Sub(s.confirmation.readAt))
}

// toAge converts d to an Age. It rounds up, so that an age is not understated
// at each hop.
func toAge(d time.Duration) Age {
	d = min(max(d, 0), maxAge-time.Millisecond)
	return Age((d + time.Millisecond - 1) / time.Millisecond)
}

// Age returns the age of the last known platform read all of whose content is in
// force here, and false if there is none.
func (s *State) Age(now clock.Time) (time.Duration, bool) {
	return now.Sub(s.confirmation.readAt), s.confirmation.known
}

// CutOff reports whether neither the platform nor a peer has confirmed the
// configuration for CutOffAfter.
func (s *State) CutOff(now clock.Time) bool {
	age, known := s.Age(now)
	return !known || age > CutOffAfter
}

// Base returns the catalogue on which to build the next write, and the floor
// that its revision must exceed. It returns false while this daemon is joining
// or is still requesting the content of a higher known revision: a write on an
// older base would silently undo accepted changes.
func (s *State) Base(now clock.Time) (Base, bool) {
	b := Base{Catalogue: s.Catalogue(), Floor: max(s.currentVersion().Revision, s.catchUp.highestKnown)}
	joined := s.current != nil || !now.Before(s.join.deadline)
	return b, joined && !s.catchUp.pending(s.currentVersion().Revision, now)
}
