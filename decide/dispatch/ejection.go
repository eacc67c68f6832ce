package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/limit"
	"github.com/azurethread/azurethread/decide/target"
)

const (
	// ejectedShareDivisor limits ejections that disregard the load:
	// 1/ejectedShareDivisor of a service's targets, and at least one, may be
	// ejected even if the other targets can't carry the load.
	ejectedShareDivisor = 3
	// briefEjectionTime is the time between tests of a target that fails but
	// may not be ejected for longer.
	briefEjectionTime = 100 * time.Millisecond
	// healthProbeInterval is the time between health probes of an ejected
	// target of a non-idempotent service.
	healthProbeInterval = time.Second
)

// recordTargetFailure records a failed request at t and ejects t if it is an
// outlier.
func (s *State) recordTargetFailure(t *targetState) {
	if t.outlier.Failed() {
		s.eject(t)
	}
	s.updateCapacity(t)
}

// eject takes t out of use. If too many targets are ejected already, the
// failures are more likely caused by something that all targets share, and the
// others could not carry the load. In that case t is only ejected briefly
// between two tests.
func (s *State) eject(t *targetState) {
	if t.outlier.State() == target.Ejected {
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

// mayEjectFully reports whether t may be ejected for longer than
// briefEjectionTime.
func (s *State) mayEjectFully(t *targetState) bool {
	svc := t.svc
	remaining := svc.capacity - t.capacity
	if remaining <= 0 && (svc.idempotent || t.answeredAt == s.now) {
		// This is the last target in use: without it all requests are refused.
		// In a non-idempotent service, a failed test is a request with an
		// unknown outcome, so there the target must at least be answering.
		return false
	}
	ejected := 1
	for _, o := range svc.targets {
		if o != t && o.outlier.State() == target.Ejected && !o.ejectedBriefly {
			ejected++
		}
	}
	if ejected <= max(len(svc.targets)/ejectedShareDivisor, 1) {
		return true
	}
	return remaining > 0 && float64(remaining) >= svc.demand()
}

// demand returns the number of slots that requests of svc need, on average or
// now, whichever is more.
func (svc *service) demand() float64 {
	return max(float64(svc.inFlight+svc.queue.Len()), float64(svc.capacity)-svc.freeSlots.mean)
}

// pause sends no requests to t for the time d after it refused one.
func (s *State) pause(t *targetState, d time.Duration) {
	t.pausedUntil = max(t.pausedUntil, s.now.Add(d))
	s.scheduleRecheck(t, t.pausedUntil)
	s.updateCapacity(t)
}

// scheduleRecheck makes State check t again at the given time.
func (s *State) scheduleRecheck(t *targetState, until clock.Time) {
	if !t.suspended {
		t.suspended = true
		s.suspended = append(s.suspended, t)
	}
	s.nextRecheck = min(s.nextRecheck, until)
}

// recheckSuspended checks all suspended targets and puts those back into use
// whose ejection or pause is over.
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

// recheckTarget returns when to check t again, or clock.Never.
func (s *State) recheckTarget(t *targetState) clock.Time {
	if !t.listed {
		return clock.Never
	}
	if t.outlier.State() == target.Ejected && s.now >= t.outlier.Until() {
		s.endEjection(t)
	}
	s.updateCapacity(t)
	next := clock.Never
	if t.outlier.State() == target.Ejected {
		next = t.outlier.Until()
	}
	if s.now < t.pausedUntil {
		next = min(next, t.pausedUntil)
	}
	return next
}

// endEjection lets t receive test requests. In a non-idempotent service a
// failed test is a request with an unknown outcome, so there a good health
// report is required first.
func (s *State) endEjection(t *targetState) {
	if !t.ejectedBriefly {
		s.out.Probes = append(s.out.Probes, Probe{Target: t.id})
	}
	if !t.ejectedBriefly && !t.svc.idempotent && !t.healthySinceEjection() {
		t.outlier.Postpone(s.now.Add(healthProbeInterval))
		return
	}
	if t.share == 0 && !s.opts.PlainBalancer {
		t.outlier.Restore() // only slots reported free are borrowed from it, so it needs no test
		return
	}
	t.outlier.StartTesting()
}

// healthySinceEjection reports whether t has sent a good health report since
// its ejection.
func (t *targetState) healthySinceEjection() bool { return t.healthyAt > t.ejectedAt }

// handleHealth applies a health report of a target. A good report alone never
// puts a target back into use, and a bad one ejects a target only if no request
// to it has been answered lately.
func (s *State) handleHealth(e *Health) {
	t := s.targets[e.Target]
	if t == nil || !t.listed {
		return
	}
	s.recordLoad(t, e.InFlight, e.Slots, e.Age)
	switch {
	case e.OK:
		t.healthyAt = max(t.healthyAt, s.now.Add(-e.Age))
	case t.outlier.State() == target.InUse && !t.outlier.OverridesHealthReport(s.now):
		s.eject(t)
	}
	if e.Cold && !t.cold {
		t.limit = limit.NewColdAdaptive(t.share) // it restarted without any failed request
	}
	t.cold = e.Cold
	s.updateCapacity(t)
	s.drain(t.svc)
}

// ConnectionLimit returns how many connections this entry VM may open to the
// target, which is its share of those that the target accepts; 0 for an unknown
// target.
func (s *State) ConnectionLimit(id fleet.TargetID) int {
	if t := s.targets[id]; t != nil && t.listed {
		return t.connectionShare
	}
	return 0
}

// handleConnection counts the open connections of a target. A connection that
// goes silent while idle doesn't count against the target as long as requests
// on other connections are answered; only the outcomes of requests do.
func (s *State) handleConnection(e *Connection) {
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
