package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// The bounds of a RetryAfter that this package works out.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// longWait stands for the wait when no target can be used.
const longWait = time.Hour

func (s *State) arrive(e *Arrive) {
	if s.requests[e.Req] != nil {
		s.violate(invOneEffect, "request id used twice", uint64(e.Req), 0)
		return
	}
	v := s.byName[e.Service]
	switch {
	case s.stopping:
		s.refuse(e.Req, verdict.ReasonStopping, 0)
		return
	case v == nil || !v.listed:
		s.refuse(e.Req, verdict.ReasonUnknownService, 0)
		return
	}
	deadline := e.Deadline
	if deadline == 0 {
		deadline = s.now.Add(v.timeout)
	}
	if deadline <= s.now {
		s.refuse(e.Req, verdict.ReasonDeadline, 0)
		return
	}
	r := s.accept(e, v, deadline)
	v.budget.Earn()
	if v.queue.Len() == 0 && s.trySend(r) {
		return
	}
	s.place(r)
}

// refuse answers a request that was never accepted.
func (s *State) refuse(id RequestID, reason verdict.Reason, after time.Duration) {
	s.out.Replies = append(s.out.Replies, Reply{Req: id, Verdict: verdict.NotRun, Reason: reason, RetryAfter: after})
}

func (s *State) accept(e *Arrive, v *service, deadline clock.Time) *request {
	r := s.newRequest()
	r.id = e.Req
	r.svc = v
	r.block = e.Block
	r.bytes = e.BodyBytes
	r.arrived = s.now
	r.deadline = deadline
	r.hops = e.Hops
	r.idempotent = v.idempotent
	r.joined = verdict.NotRun
	s.requests[r.id] = r
	return r
}

func (s *State) newRequest() *request {
	if n := len(s.pool); n > 0 {
		r := s.pool[n-1]
		s.pool = s.pool[:n-1]
		return r
	}
	r := &request{timer: notTimed}
	r.node.Item = r
	return r
}

// place finds a place for a request that no local target can take now: an
// entry VM elsewhere, the queue, or back to the caller.
func (s *State) place(r *request) {
	v := r.svc
	wait := s.expectedWait(v, v.queue.Len())
	if r.hops > 0 {
		// The sender has other choices and its caller is far away: work that
		// would have to wait here is better refused at once, and never
		// forwarded again, or two full domains would pass it to and fro.
		s.giveUp(r, verdict.ReasonOverload, retryAfter(wait))
		return
	}
	if l := s.pickLink(r, wait); l != nil {
		s.forward(r, l)
		return
	}
	if reason := s.refusal(r, wait); reason != verdict.ReasonNone {
		s.giveUp(r, reason, retryAfter(wait))
		return
	}
	s.enqueue(r, false)
}

// refusal returns why r can't wait in the queue, or ReasonNone.
func (s *State) refusal(r *request, wait time.Duration) verdict.Reason {
	v := r.svc
	if wait >= longWait && len(v.targets) == 0 {
		return verdict.ReasonNoTarget
	}
	if s.now.Add(wait) > s.latestStart(r) {
		return verdict.ReasonOverload
	}
	if !v.deferrable && wait > s.lim.InteractiveWait {
		return verdict.ReasonOverload
	}
	for !s.gate.Admits(v.deferrable, r.bytes) {
		if v.deferrable || !s.evictDeferrable() {
			return verdict.ReasonQueueFull
		}
	}
	return verdict.ReasonNone
}

// evictDeferrable gives up the deferrable request that was queued last, in the
// longest queue, to make room for interactive work. It reports whether there
// was one.
func (s *State) evictDeferrable() bool {
	var longest *service
	for _, v := range s.services {
		if v.deferrable && v.queue.Len() > 0 && (longest == nil || v.queue.Len() > longest.queue.Len()) {
			longest = v
		}
	}
	if longest == nil {
		return false
	}
	wait := s.expectedWait(longest, longest.queue.Len())
	s.giveUp(longest.queue.Back().Item, verdict.ReasonQueueFull, retryAfter(wait))
	return true
}

// expectedWait estimates how long a request waits for a local slot with ahead
// requests before it.
func (s *State) expectedWait(v *service, ahead int) time.Duration {
	if v.capacity > 0 {
		return time.Duration(v.usual() * float64(ahead+1) / float64(v.capacity))
	}
	back := clock.Never
	for _, t := range v.targets {
		if t.leaving {
			continue
		}
		back = min(back, max(t.outlier.Until(), t.pausedUntil))
	}
	if back == clock.Never || back <= s.now {
		return longWait
	}
	return back.Sub(s.now) + time.Duration(v.usual()*float64(ahead+1))
}

// latestStart is when r has to be sent for an answer before its deadline to be
// likely.
func (s *State) latestStart(r *request) clock.Time {
	need := time.Duration(r.svc.usual())
	need = min(need, r.deadline.Sub(r.arrived)/2)
	return r.deadline - clock.Time(need)
}

func (s *State) enqueue(r *request, front bool) {
	if front {
		r.svc.queue.PushFront(&r.node)
	} else {
		r.svc.queue.PushBack(&r.node)
	}
	s.gate.Add(r.bytes)
	s.timers.set(r, s.latestStart(r))
}

// dequeue takes r out of its queue, if it is in one.
func (s *State) dequeue(r *request) {
	if !r.node.Queued() {
		return
	}
	r.svc.queue.Remove(&r.node)
	s.gate.Remove(r.bytes)
	s.timers.remove(r)
}

// retryAfter rounds a wait to what a caller is told.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Millisecond)
}
