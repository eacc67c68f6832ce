package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Bounds of a RetryAfter that this package computes.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// interactiveWaitFactor is the multiple of the mean latency that interactive
// requests may wait at least.
const interactiveWaitFactor = 3

// unlistedRetryAfter is the RetryAfter for a service without any target listed
// so far: an entry VM that has just started receives its list soon.
const unlistedRetryAfter = time.Second

// unknownWait stands for the expected wait when no target can be used.
const unknownWait = time.Hour

func (s *State) handleArrive(e *Arrive) {
	if s.requests[e.Req] != nil {
		s.reportViolation(invOneEffect, "request id used twice", uint64(e.Req), 0)
		return
	}
	svc := s.byName[e.Service]
	switch {
	case s.stopping:
		s.refuse(e.Req, verdict.ReasonStopping, 0)
		return
	case svc == nil || !svc.listed:
		s.refuse(e.Req, verdict.ReasonUnknownService, 0)
		return
	}
	deadline := e.Deadline
	if deadline == 0 {
		deadline = s.now.Add(svc.timeout)
	}
	if deadline <= s.now {
		s.refuse(e.Req, verdict.ReasonDeadline, 0)
		return
	}
	r := s.accept(e, svc, deadline)
	svc.budget.Deposit()
	if svc.queue.Len() == 0 && s.trySend(r) {
		return
	}
	s.forwardOrQueue(r)
}

// refuse answers a request that was not accepted.
func (s *State) refuse(id RequestID, reason verdict.Reason, after time.Duration) {
	s.out.Replies = append(s.out.Replies, Reply{Req: id, Verdict: verdict.NotRun, Reason: reason, RetryAfter: after})
}

func (s *State) accept(e *Arrive, svc *service, deadline clock.Time) *request {
	r := s.newRequest()
	r.id = e.Req
	r.svc = svc
	r.block = e.Block
	r.bytes = e.BodyBytes
	r.arrived = s.now
	r.deadline = deadline
	r.hops = e.Hops
	r.acceptableWait = e.ExpectedWait
	r.idempotent = svc.idempotent
	r.joinedVerdict = verdict.NotRun
	s.requests[r.id] = r
	return r
}

func (s *State) newRequest() *request {
	if n := len(s.requestPool); n > 0 {
		r := s.requestPool[n-1]
		s.requestPool = s.requestPool[:n-1]
		return r
	}
	r := &request{timerIndex: noTimer}
	r.node.Item = r
	return r
}

// forwardOrQueue forwards or queues a request that no local target can take
// now, or answers it with an error.
func (s *State) forwardOrQueue(r *request) {
	svc := r.svc
	ahead := svc.queue.Len()
	if f := svc.queue.Front(); f != nil && r.arrived < f.Item.arrived {
		ahead = 0
	}
	wait := s.expectedWait(svc, ahead)
	if r.hops > 0 && !s.admitsForwarded(r, wait) {
		// The sender has other choices, so it gets the refusal at once. A
		// forwarded request is never forwarded again; otherwise entry VMs of
		// full domains would pass it back and forth.
		s.replyWithError(r, verdict.ReasonOverload, retryAfter(wait))
		return
	}
	if rs := s.chooseRemote(r, wait); rs != nil && s.forward(r, rs, wait) {
		return
	}
	if reason := s.queueRefusal(r, wait); reason != verdict.ReasonNone {
		if reason == verdict.ReasonNoTarget && !svc.hadTargets {
			wait = unlistedRetryAfter
		}
		s.replyWithError(r, reason, retryAfter(wait))
		return
	}
	s.enqueue(r)
}

// maxForwardedWaitFactor is the longest expected wait of a forwarded request,
// as a multiple of the mean latency.
const maxForwardedWaitFactor = 0.5

// admitsForwarded reports whether a forwarded request may wait here. It may if
// slots are free most of the time: the queue is then short-lived, and a refusal
// would waste the round trip. Otherwise it would delay the callers of this
// domain, so it may wait only if it would wait longer at the sender, which
// evens out queues of different lengths.
func (s *State) admitsForwarded(r *request, wait time.Duration) bool {
	svc := r.svc
	if wait < r.acceptableWait {
		return true
	}
	return svc.freeSlots.mean >= 1 && float64(wait) <= maxForwardedWaitFactor*svc.meanLatency()
}

// queueRefusal returns the reason why r can't be queued, or ReasonNone.
func (s *State) queueRefusal(r *request, wait time.Duration) verdict.Reason {
	svc := r.svc
	if wait >= unknownWait && len(svc.targets) == 0 {
		return verdict.ReasonNoTarget
	}
	if s.now.Add(wait) > s.latestStart(r) {
		return verdict.ReasonOverload
	}
	if !svc.deferrable && wait > s.interactiveWait(svc) {
		return verdict.ReasonOverload
	}
	for !s.queueBounds.Admits(svc.deferrable, r.bytes) {
		if svc.deferrable || !s.evictDeferrable() {
			return verdict.ReasonQueueFull
		}
	}
	return verdict.ReasonNone
}

// interactiveWait returns the longest expected wait of an interactive request
// of svc.
func (s *State) interactiveWait(svc *service) time.Duration {
	return max(s.lim.InteractiveWait, time.Duration(interactiveWaitFactor*svc.meanLatency()))
}

// evictDeferrable gives up the last request of the longest deferrable queue, to
// make room for an interactive request. It reports whether there was one.
func (s *State) evictDeferrable() bool {
	var longest *service
	for _, svc := range s.services {
		if svc.deferrable && svc.queue.Len() > 0 && (longest == nil || svc.queue.Len() > longest.queue.Len()) {
			longest = svc
		}
	}
	if longest == nil {
		return false
	}
	wait := s.expectedWait(longest, longest.queue.Len())
	s.replyWithError(longest.queue.Back().Item, verdict.ReasonQueueFull, retryAfter(wait))
	return true
}

// expectedWait returns the expected wait for a local slot with the given number
// of requests ahead.
func (s *State) expectedWait(svc *service, ahead int) time.Duration {
	if svc.capacity > 0 {
		return time.Duration(svc.meanLatency() * float64(ahead+1) / float64(svc.capacity))
	}
	availableAt := clock.Never
	for _, t := range svc.targets {
		if t.leaving {
			continue
		}
		availableAt = min(availableAt, max(t.outlier.Until(), t.pausedUntil))
	}
	if availableAt == clock.Never || availableAt <= s.now {
		return unknownWait
	}
	return availableAt.Sub(s.now) + time.Duration(svc.meanLatency()*float64(ahead+1))
}

// latestStart returns the latest time to send r at which an answer before its
// deadline is likely.
func (s *State) latestStart(r *request) clock.Time {
	latency := max(time.Duration(r.svc.meanLatency()), r.svc.tail.P95())
	if !r.idempotent {
		// A non-idempotent request cut off by its deadline has an unknown
		// outcome.
		latency = max(latency, r.svc.tail.P99())
	}
	latency = min(latency, r.deadline.Sub(r.arrived)/2)
	return r.deadline - clock.Time(latency)
}

// enqueue queues r in the order of arrival: a request that returns from an
// attempt is queued before all that arrived after it.
func (s *State) enqueue(r *request) {
	q := &r.svc.queue
	at := q.Back()
	if f := q.Front(); f != nil && r.arrived < f.Item.arrived {
		at = nil
	}
	for at != nil && at.Item.arrived > r.arrived {
		at = at.Prev()
	}
	q.InsertAfter(at, &r.node)
	s.queueBounds.Add(r.bytes)
	s.timers.set(r, s.latestStart(r))
}

// dequeue removes r from its queue, if it is in one.
func (s *State) dequeue(r *request) {
	if !r.node.Queued() {
		return
	}
	r.svc.queue.Remove(&r.node)
	s.queueBounds.Remove(r.bytes)
	s.timers.remove(r)
}

// retryAfter converts an expected wait to a RetryAfter.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Millisecond)
}
