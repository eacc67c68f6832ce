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

// interactiveWaitFactor is the usual latencies that interactive work may wait at
// least.
const interactiveWaitFactor = 3

// unlistedRetryAfter is what a caller is told to wait for a service of which no target
// has ever been listed: an entry VM that has just started gets its list any
// moment.
const unlistedRetryAfter = time.Second

// unknownWait stands for the wait when no target can be used.
const unknownWait = time.Hour

func (s *State) arrive(e *Arrive) {
	if s.requests[e.Req] != nil {
		s.reportViolation(invOneEffect, "request id used twice", uint64(e.Req), 0)
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
	s.forwardOrQueue(r)
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
	r.acceptableWait = e.ExpectedWait
	r.idempotent = v.idempotent
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

// forwardOrQueue finds a place for a request that no local target can take now: an
// entry VM elsewhere, the queue, or back to the caller.
func (s *State) forwardOrQueue(r *request) {
	v := r.svc
	ahead := v.queue.Len()
	if f := v.queue.Front(); f != nil && r.arrived < f.Item.arrived {
		ahead = 0
	}
	wait := s.expectedWait(v, ahead)
	if r.hops > 0 && !s.admitsForwarded(r, wait) {
		// The sender has other choices, so it is told at once. The request is
		// never forwarded again, or full domains would pass it to and fro.
		s.replyWithError(r, verdict.ReasonOverload, retryAfter(wait))
		return
	}
	if l := s.chooseRemote(r, wait); l != nil && s.forward(r, l, wait) {
		return
	}
	if reason := s.queueRefusal(r, wait); reason != verdict.ReasonNone {
		if reason == verdict.ReasonNoTarget && !v.hadTargets {
			wait = unlistedRetryAfter
		}
		s.replyWithError(r, reason, retryAfter(wait))
		return
	}
	s.enqueue(r)
}

// maxForwardedWaitFactor is the longest expected wait of a forwarded request, as a part
// of the usual latency.
const maxForwardedWaitFactor = 0.5

// admitsForwarded reports whether work from another entry VM may wait here. It
// may where slots are free most of the time: then the queue is a passing one,
// and a refusal would waste the round trip. Where they aren't, it would take
// the place of this domain's own callers, unless it would wait longer still
// where it comes from: then queues that differ are evened out.
func (s *State) admitsForwarded(r *request, wait time.Duration) bool {
	v := r.svc
	if wait < r.acceptableWait {
		return true
	}
	return v.freeSlots.mean >= 1 && float64(wait) <= maxForwardedWaitFactor*v.meanLatency()
}

// queueRefusal returns why r can't wait in the queue, or ReasonNone.
func (s *State) queueRefusal(r *request, wait time.Duration) verdict.Reason {
	v := r.svc
	if wait >= unknownWait && len(v.targets) == 0 {
		return verdict.ReasonNoTarget
	}
	if s.now.Add(wait) > s.latestStart(r) {
		return verdict.ReasonOverload
	}
	if !v.deferrable && wait > s.interactiveWait(v) {
		return verdict.ReasonOverload
	}
	for !s.gate.Admits(v.deferrable, r.bytes) {
		if v.deferrable || !s.evictDeferrable() {
			return verdict.ReasonQueueFull
		}
	}
	return verdict.ReasonNone
}

// interactiveWait bounds the wait of interactive work.
func (s *State) interactiveWait(v *service) time.Duration {
	return max(s.lim.InteractiveWait, time.Duration(interactiveWaitFactor*v.meanLatency()))
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
	s.replyWithError(longest.queue.Back().Item, verdict.ReasonQueueFull, retryAfter(wait))
	return true
}

// expectedWait estimates how long a request waits for a local slot with ahead
// requests before it.
func (s *State) expectedWait(v *service, ahead int) time.Duration {
	if v.capacity > 0 {
		return time.Duration(v.meanLatency() * float64(ahead+1) / float64(v.capacity))
	}
	back := clock.Never
	for _, t := range v.targets {
		if t.leaving {
			continue
		}
		back = min(back, max(t.outlier.Until(), t.pausedUntil))
	}
	if back == clock.Never || back <= s.now {
		return unknownWait
	}
	return back.Sub(s.now) + time.Duration(v.meanLatency()*float64(ahead+1))
}

// latestStart is when r has to be sent for an answer before its deadline to be
// likely.
func (s *State) latestStart(r *request) clock.Time {
	need := max(time.Duration(r.svc.meanLatency()), r.svc.tail.P95())
	if !r.idempotent {
		// Work cut off by its deadline has an unknown outcome.
		need = max(need, r.svc.tail.P99())
	}
	need = min(need, r.deadline.Sub(r.arrived)/2)
	return r.deadline - clock.Time(need)
}

// enqueue lets r wait in the order of arrival: one that comes back from an
// attempt takes the place it would have had.
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
