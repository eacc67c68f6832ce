package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/limit"
	"github.com/azurethread/azurethread/decide/target"
)

const (
	// ejectedShareDivisor is the part of a service's targets that may be ejected
	// whatever the load, as 1/maxEjectedShare; one may be always.
	ejectedShareDivisor = 3
	// briefEjectionTime spaces the tests of a target that fails but may not be
	// ejected for longer.
	briefEjectionTime = 100 * time.Millisecond
	// healthProbeInterval is how long a non-idempotent service waits for a health
	// report before it asks again.
	healthProbeInterval = time.Second
)

// recordTargetFailure records a failed request at t and ejects t when it is an
// outlier.
func (s *State) recordTargetFailure(t *targetState) {
	if t.outlier.Failed() {
		s.eject(t)
	}
	s.updateCapacity(t)
}

// eject takes t out of use. When too many are out already, failing requests
// are more likely due to something that all targets share, and the rest could
// not bear the load: t is then only left alone briefly between two tests.
func (s *State) eject(t *targetState) {
	if t.outlier.Standing() == target.Ejected {
		return
	}
	t.ejectedBriefly = !s.mayEjectFully(t)
	t.outlier.Eject(s.now, s.rng)
	t.ejectedAt = s.now
	if t.ejectedBriefly {
		t.outlier.Postpone(s.now.Add(briefEjectionTime))
	}
	t.mean.Forget()
	s.scheduleRecheck(t, t.outlier.Until())
	s.updateCapacity(t)
}

// mayEjectFully reports whether t may be ejected for longer.
func (s *State) mayEjectFully(t *targetState) bool {
	v := t.svc
	left := v.capacity - t.capacity
	if left <= 0 && (v.idempotent || t.answeredAt == s.now) {
		// The last one in use: without it all requests are refused. Where a
		// test may end with an unknown outcome, it has to answer at least.
		return false
	}
	out := 1
	for _, o := range v.targets {
		if o != t && o.outlier.Standing() == target.Ejected && !o.ejectedBriefly {
			out++
		}
	}
	if out <= max(len(v.targets)/ejectedShareDivisor, 1) {
		return true
	}
	return left > 0 && float64(left) >= v.demand()
}

// demand is the slots that v's requests take, on average or now, whichever is
// more.
func (v *service) demand() float64 {
	return max(float64(v.inFlight+v.queue.Len()), float64(v.capacity)-v.freeSlots.mean)
}

// pause gives t nothing for a while after it refused a request.
func (s *State) pause(t *targetState, d time.Duration) {
	t.pausedUntil = max(t.pausedUntil, s.now.Add(d))
	s.scheduleRecheck(t, t.pausedUntil)
	s.updateCapacity(t)
}

// scheduleRecheck makes State look at t again at the given instant.
func (s *State) scheduleRecheck(t *targetState, until clock.Time) {
	if !t.suspended {
		t.suspended = true
		s.suspended = append(s.suspended, t)
	}
	s.nextRecheck = min(s.nextRecheck, until)
}

// recheckSuspended looks at all suspended targets and lets back in those whose time has
// come.
func (s *State) recheckSuspended() {
	s.nextRecheck = clock.Never
	kept := s.suspended[:0]
	for _, t := range s.suspended {
		if at := s.recheckTarget(t); at != clock.Never {
			s.nextRecheck = min(s.nextRecheck, at)
			kept = append(kept, t)
		} else {
			t.suspended = false
		}
	}
	clear(s.suspended[len(kept):])
	s.suspended = kept
	s.drainAll()
}

// recheckTarget returns when to look at t again, clock.Never for not at all.
func (s *State) recheckTarget(t *targetState) clock.Time {
	if !t.listed {
		return clock.Never
	}
	if t.outlier.Standing() == target.Ejected && s.now >= t.outlier.Until() {
		s.endEjection(t)
	}
	s.updateCapacity(t)
	next := clock.Never
	if t.outlier.Standing() == target.Ejected {
		next = t.outlier.Until()
	}
	if s.now < t.pausedUntil {
		next = min(next, t.pausedUntil)
	}
	return next
}

// endEjection lets t take test requests. A failed test of a non-idempotent
// service is a submission with an unknown outcome, so there a good health
// report has to come first.
func (s *State) endEjection(t *targetState) {
	if !t.ejectedBriefly {
		s.out.Probes = append(s.out.Probes, Probe{Target: t.id})
	}
	if !t.ejectedBriefly && !t.svc.idempotent && !t.healthySinceEjection() {
		t.outlier.Postpone(s.now.Add(healthProbeInterval))
		return
	}
	if t.share == 0 && !s.opts.PlainBalancer {
		t.outlier.Restore() // only borrowed, and only when it reports free slots
		return
	}
	t.outlier.Test()
}

// healthySinceEjection reports whether t has said since its ejection that it is well.
func (t *targetState) healthySinceEjection() bool { return t.healthyAt > t.ejectedAt }

// health handles a target's own statement. It never brings a target back by
// itself, and takes one out only where no request has lately been answered.
func (s *State) health(e *Health) {
	t := s.targets[e.Target]
	if t == nil || !t.listed {
		return
	}
	s.recordLoad(t, e.InFlight, e.Slots, e.Age)
	switch {
	case e.OK:
		t.healthyAt = max(t.healthyAt, s.now.Add(-e.Age))
	case t.outlier.Standing() == target.InUse && !t.outlier.Outvoted(s.now):
		s.eject(t)
	}
	if e.Cold && !t.cold {
		t.limit = limit.Cold(t.share) // restarted without having been missed
	}
	t.cold = e.Cold
	s.updateCapacity(t)
	s.drain(t.svc)
}

// ConnectionLimit returns how many connections this entry VM may hold to the
// target, its part of those that the target accepts; 0 for an unknown one.
func (s *State) ConnectionLimit(id fleet.TargetID) int {
	if t := s.targets[id]; t != nil && t.listed {
		return t.connectionShare
	}
	return 0
}

// connection handles the opening and closing of connections. An idle
// connection that went silent says nothing about the target as long as others
// are answered; the requests on them decide.
func (s *State) connection(e *Connection) {
	t := s.targets[e.Target]
	if t == nil {
		return
	}
	switch e.Event {
	case Opened:
		t.openConnections++
	default:
		t.openConnections = max(t.openConnections-1, 0)
	}
}
