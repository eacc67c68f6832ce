package dispatch

import (
	"fmt"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/target"
	"github.com/azurethread/azurethread/decide/verdict"
)

// The values of Violation.Invariant.
const (
	invSlots         = "in-flight-within-slots"
	invSentOnce      = "non-idempotent-sent-once"
	invTargetInUse   = "no-send-to-leaving-target"
	invOneEffect     = "one-final-effect"
	invForwardedOnce = "forwarded-once"
	invDeadline      = "deadline-within-request"
	invCounts        = "books-balance"
)

// reportViolation reports a violated invariant. In production the process
// continues to serve; the violation is counted and logged.
func (s *State) reportViolation(invariant, what string, subject, value uint64) {
	s.violations++
	detail := fmt.Sprintf("%s: %d (%d)", what, subject, value)
	s.out.Violations = append(s.out.Violations, Violation{Invariant: invariant, Detail: detail})
	if s.opts.PanicOnViolation {
		panic("dispatch: " + invariant + ": " + detail)
	}
}

// Violations returns the number of violations so far.
func (s *State) Violations() uint64 { return s.violations }

// checkSend checks the invariants of a send.
func (s *State) checkSend(r *request, t *targetState) bool {
	if t.leaving || !t.listed || t.outlier.State() == target.Ejected {
		s.reportViolation(invTargetInUse, "send to a target not in use; request (target in flight)", uint64(r.id), uint64(t.inFlight))
		return false
	}
	if t.inFlight+1 > s.maxInFlight(t) || (!s.opts.PlainBalancer && t.inFlight+1 > t.slots) {
		s.reportViolation(invSlots, "send to a target without a free slot; request (target in flight)", uint64(r.id), uint64(t.inFlight))
		return false
	}
	return s.checkAttempt(r)
}

// checkForward checks the invariants of a forward.
func (s *State) checkForward(r *request) bool {
	if r.hops > 0 {
		s.reportViolation(invForwardedOnce, "second forward of a request; request (hops)", uint64(r.id), uint64(r.hops))
		return false
	}
	return s.checkAttempt(r)
}

// checkAttempt checks the invariants of any attempt.
func (s *State) checkAttempt(r *request) bool {
	if s.requests[r.id] != r || r.numCurrent == maxCurrent {
		s.reportViolation(invOneEffect, "attempt for an ended request or beyond the allowed number; request (current attempts)", uint64(r.id), uint64(r.numCurrent))
		return false
	}
	if s.now > r.deadline {
		s.reportViolation(invDeadline, "attempt after the deadline; request (ns after the deadline)", uint64(r.id), uint64(s.now-r.deadline))
		return false
	}
	if !r.idempotent && r.attempts > 0 && (r.numCurrent > 0 || r.joinedVerdict != verdict.NotRun) {
		s.reportViolation(invSentOnce, "non-idempotent request sent again though it may have run; request (attempts)", uint64(r.id), uint64(r.attempts))
		return false
	}
	return true
}

// checkInFlight checks that counts of requests in flight are not negative.
func (s *State) checkInFlight(t *targetState) {
	if t.inFlight < 0 || t.svc.inFlight < 0 {
		s.reportViolation(invSlots, "count in flight below zero; by how much at target (at service)", uint64(-t.inFlight), uint64(-t.svc.inFlight))
	}
}

// audit recounts everything that is counted incrementally.
func (s *State) audit() {
	s.auditAttempts()
	s.auditQueues()
	for _, svc := range s.services {
		s.auditService(svc)
		s.auditOrder(svc)
	}
}

func (s *State) auditAttempts() {
	targets := make(map[*targetState]int)
	remotes := make(map[*remoteService]int)
	for _, a := range s.attempts.slots {
		if a.svc == nil {
			continue
		}
		if a.target != nil {
			targets[a.target]++
		} else {
			remotes[a.remote]++
		}
		if a.req != nil && s.requests[a.reqID] != a.req {
			s.reportViolation(invOneEffect, "current attempt of an ended request; request (attempt)", uint64(a.reqID), uint64(a.id))
		}
	}
	for t, n := range targets {
		if t.inFlight != n {
			s.reportViolation(invCounts, "in flight at a target; count (recount)", uint64(t.inFlight), uint64(n))
		}
	}
	for rs, n := range remotes {
		if rs.inFlight != n {
			s.reportViolation(invCounts, "in flight at an entry VM; count (recount)", uint64(rs.inFlight), uint64(n))
		}
	}
}

func (s *State) auditQueues() {
	items, bytes := 0, int64(0)
	for id, r := range s.requests {
		if r.id != id || r.timerIndex == noTimer {
			s.reportViolation(invCounts, "wrong id or no timer; request (0)", uint64(id), 0)
		}
		if r.node.Queued() != (r.numCurrent == 0) {
			s.reportViolation(invCounts, "request must be either queued or in flight; request (current attempts)", uint64(id), uint64(r.numCurrent))
		}
		if r.node.Queued() {
			items++
			bytes += r.bytes
		}
	}
	if items != s.queueBounds.Items() || bytes != s.queueBounds.Bytes() {
		s.reportViolation(invCounts, "queued requests or bytes; recount (count)", uint64(items), uint64(s.queueBounds.Items()))
	}
}

// auditOrder checks that requests are queued in the order of arrival.
func (s *State) auditOrder(svc *service) {
	last := clock.Time(0)
	for n := svc.queue.Front(); n != nil; n = n.Next() {
		if n.Item.arrived < last {
			s.reportViolation(invCounts, "queue out of order; request (previous arrival)", uint64(n.Item.id), uint64(last))
		}
		last = n.Item.arrived
	}
}

func (s *State) auditService(svc *service) {
	capacity, inFlight := 0, 0
	for i, t := range svc.targets {
		capacity += t.capacity
		inFlight += t.inFlight
		if t.index != i || svc.freeTargets.has(i) != (t.inFlight < t.capacity) || t.capacity != t.computeCapacity(s.now, s.opts.PlainBalancer) {
			s.reportViolation(invCounts, "index, free slots or capacity of a target; index (capacity)", uint64(i), uint64(t.capacity))
		}
	}
	if capacity != svc.capacity || inFlight > svc.inFlight {
		s.reportViolation(invCounts, "capacity or in flight of a service; recounted capacity (capacity)", uint64(capacity), uint64(svc.capacity))
	}
}
