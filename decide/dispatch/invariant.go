package dispatch

import (
	"fmt"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/target"
	"github.com/azurethread/azurethread/decide/verdict"
)

// The invariants, as named in Violation.
const (
	invSlots         = "in-flight-within-slots"
	invSentOnce      = "non-idempotent-sent-once"
	invTargetInUse   = "no-send-to-leaving-target"
	invOneEffect     = "one-final-effect"
	invForwardedOnce = "forwarded-once"
	invDeadline      = "deadline-within-request"
	invCounts        = "books-balance"
)

// reportViolation reports a broken invariant. In production the process goes on
// serving, and the count and the log tell of it.
func (s *State) reportViolation(invariant, what string, subject, value uint64) {
	s.violations++
	detail := fmt.Sprintf("%s: %d (%d)", what, subject, value)
	s.out.Violations = append(s.out.Violations, Violation{Invariant: invariant, Detail: detail})
	if s.opts.PanicOnViolation {
		panic("dispatch: " + invariant + ": " + detail)
	}
}

// Violations returns how many invariants were found broken so far.
func (s *State) Violations() uint64 { return s.violations }

// checkSend asserts what has to hold of each send.
func (s *State) checkSend(r *request, t *targetState) bool {
	if t.leaving || !t.listed || t.outlier.Standing() == target.Ejected {
		s.reportViolation(invTargetInUse, "target not in use, request", uint64(r.id), uint64(t.inFlight))
		return false
	}
	if t.inFlight+1 > s.maxInFlight(t) || (!s.opts.PlainBalancer && t.inFlight+1 > t.slots) {
		s.reportViolation(invSlots, "no free slot for request", uint64(r.id), uint64(t.inFlight))
		return false
	}
	return s.checkAttempt(r)
}

// checkForward asserts what has to hold of each forward.
func (s *State) checkForward(r *request) bool {
	if r.hops > 0 {
		s.reportViolation(invForwardedOnce, "forwarded request", uint64(r.id), uint64(r.hops))
		return false
	}
	return s.checkAttempt(r)
}

// checkAttempt asserts what has to hold of each attempt.
func (s *State) checkAttempt(r *request) bool {
	if s.requests[r.id] != r || r.numCurrent == maxCurrent {
		s.reportViolation(invOneEffect, "attempt of a request that has ended", uint64(r.id), uint64(r.numCurrent))
		return false
	}
	if s.now > r.deadline {
		s.reportViolation(invDeadline, "attempt after the deadline of request", uint64(r.id), uint64(s.now-r.deadline))
		return false
	}
	if !r.idempotent && r.attempts > 0 && (r.numCurrent > 0 || r.joinedVerdict != verdict.NotRun) {
		s.reportViolation(invSentOnce, "request", uint64(r.id), uint64(r.attempts))
		return false
	}
	return true
}

// checkInFlight asserts that counts don't fall below zero.
func (s *State) checkInFlight(t *targetState) {
	if t.inFlight < 0 || t.svc.inFlight < 0 {
		s.reportViolation(invSlots, "in flight below zero", uint64(-t.inFlight), uint64(-t.svc.inFlight))
	}
}

// audit recounts everything that is counted step by step.
func (s *State) audit() {
	s.auditAttempts()
	s.auditQueues()
	for _, v := range s.services {
		s.auditService(v)
		s.auditOrder(v)
	}
}

func (s *State) auditAttempts() {
	targets := make(map[*targetState]int)
	links := make(map[*remoteService]int)
	for _, a := range s.attempts.slots {
		if a.svc == nil {
			continue
		}
		if a.target != nil {
			targets[a.target]++
		} else {
			links[a.remote]++
		}
		if a.req != nil && s.requests[a.reqID] != a.req {
			s.reportViolation(invOneEffect, "current attempt of an ended request", uint64(a.reqID), uint64(a.id))
		}
	}
	for t, n := range targets {
		if t.inFlight != n {
			s.reportViolation(invCounts, "in flight at a target", uint64(t.inFlight), uint64(n))
		}
	}
	for l, n := range links {
		if l.inFlight != n {
			s.reportViolation(invCounts, "in flight at an entry VM", uint64(l.inFlight), uint64(n))
		}
	}
}

func (s *State) auditQueues() {
	items, bytes := 0, int64(0)
	for id, r := range s.requests {
		if r.id != id || r.timerIndex == noTimer {
			s.reportViolation(invCounts, "request without a timer", uint64(id), 0)
		}
		if r.node.Queued() != (r.numCurrent == 0) {
			s.reportViolation(invCounts, "request neither queued nor in flight", uint64(id), uint64(r.numCurrent))
		}
		if r.node.Queued() {
			items++
			bytes += r.bytes
		}
	}
	if items != s.gate.Items() || bytes != s.gate.Bytes() {
		s.reportViolation(invCounts, "queued requests", uint64(items), uint64(s.gate.Items()))
	}
}

// auditOrder checks that requests wait in the order of arrival.
func (s *State) auditOrder(v *service) {
	last := clock.Time(0)
	for n := v.queue.Front(); n != nil; n = n.Next() {
		if n.Item.arrived < last {
			s.reportViolation(invCounts, "queue out of order at request", uint64(n.Item.id), uint64(last))
		}
		last = n.Item.arrived
	}
}

func (s *State) auditService(v *service) {
	capacity, inFlight := 0, 0
	for i, t := range v.targets {
		capacity += t.capacity
		inFlight += t.inFlight
		if t.index != i || v.freeTargets.has(i) != (t.inFlight < t.capacity) || t.capacity != t.computeCapacity(s.now, s.opts.PlainBalancer) {
			s.reportViolation(invCounts, "target's books", uint64(i), uint64(t.capacity))
		}
	}
	if capacity != v.capacity || inFlight > v.inFlight {
		s.reportViolation(invCounts, "capacity of a service", uint64(capacity), uint64(v.capacity))
	}
}
