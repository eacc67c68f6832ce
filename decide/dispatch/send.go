package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// minHedgeFreeShare is the part of the slots that must be free on average
// before hedges are sent: near capacity they delay more requests than they
// help.
const minHedgeFreeShare = 0.3

// trySend sends r to a local target if one has a free slot.
func (s *State) trySend(r *request) bool {
	t, borrowed := s.choose(r)
	if t == nil {
		return false
	}
	return s.send(r, t, borrowed)
}

// send sends r to t. It does nothing and returns false when that would violate
// an invariant.
func (s *State) send(r *request, t *targetState, borrowed bool) bool {
	if !s.checkSend(r, t) {
		return false
	}
	s.dequeue(r)
	a := s.startAttempt(r)
	a.target = t
	a.borrowed = borrowed
	s.watch(a)
	t.inFlight++
	t.svc.inFlight++
	s.updateCapacity(t)
	t.svc.observeFreeSlots(s.now)
	s.out.Sends = append(s.out.Sends, Send{Req: r.id, Attempt: a.id, Target: t.id, Deadline: r.deadline, NewConnection: r.duplicated})
	s.schedule(r)
	return true
}

// forward forwards r to the entry VM of rs. It does nothing and returns false
// when that would violate an invariant.
func (s *State) forward(r *request, rs *remoteService, wait time.Duration) bool {
	if !s.checkForward(r) {
		return false
	}
	s.dequeue(r)
	a := s.startAttempt(r)
	a.remote = rs
	a.acceptableWait = s.acceptableWait(rs, wait)
	s.watch(a)
	rs.inFlight++
	rs.vm.inFlight++
	// The other entry VM has to give up early enough for its reply to arrive
	// here in time.
	deadline := max(r.deadline-clock.Time(rs.vm.rtt/2), s.now)
	s.out.Forwards = append(s.out.Forwards, Forward{Req: r.id, Attempt: a.id, VM: rs.vm.id, Deadline: deadline, ExpectedWait: a.acceptableWait})
	s.schedule(r)
	return true
}

// acceptableWait returns how long a request may wait at rs and still be served
// sooner than here, where it would wait for the given time. It is bounded,
// because it delays the detection of a lost receiver by as much.
func (s *State) acceptableWait(rs *remoteService, wait time.Duration) time.Duration {
	return min(max(wait-rs.vm.rtt, 0), s.interactiveWait(rs.svc))
}

func (s *State) startAttempt(r *request) *attempt {
	a := s.attempts.start()
	a.reqID = r.id
	a.req = r
	a.svc = r.svc
	a.sentAt = s.now
	a.releaseAt = clock.Never
	r.attempts++
	r.current[r.numCurrent] = a
	r.numCurrent++
	return a
}

// schedule sets the timer of a request that has current attempts.
func (s *State) schedule(r *request) {
	at := r.deadline
	for i := 0; i < r.numCurrent; i++ {
		at = min(at, r.current[i].nextCheck)
	}
	s.timers.set(r, min(at, s.hedgeAt(r), s.duplicateAt(r)))
}

// hedgeAt returns when to hedge r.
func (s *State) hedgeAt(r *request) clock.Time {
	if !r.idempotent || r.hedged || r.numCurrent != 1 || s.lim.MinHedgeDelay < 0 || s.opts.PlainBalancer {
		return clock.Never
	}
	a := r.current[0]
	p95 := r.svc.tail.P95()
	if p95 == 0 || a.target == nil {
		return clock.Never
	}
	return a.sentAt.Add(max(p95, s.lim.MinHedgeDelay))
}

// hedge sends r a second time if that delays no other request: another target
// has a free slot, no request is queued, and the budget has tokens to spare.
func (s *State) hedge(r *request) {
	r.hedged = true
	svc := r.svc
	if svc.queue.Len() > 0 || r.attempts >= s.lim.MaxAttempts || svc.freeSlots.mean < minHedgeFreeShare*float64(svc.capacity) {
		return
	}
	r.avoidTarget = r.current[0].target
	t, borrowed := s.choose(r)
	if t == nil || borrowed || t == r.avoidTarget || !svc.budget.SpendForHedge() {
		return
	}
	s.send(r, t, false)
}

// drainAll drains the queues of all services after a change of capacity.
func (s *State) drainAll() {
	for _, svc := range s.services {
		s.drain(svc)
	}
}

// drain sends or forwards queued requests while there are free slots.
func (s *State) drain(svc *service) {
	for n := svc.queue.Front(); n != nil; n = svc.queue.Front() {
		r := n.Item
		if s.now >= s.latestStart(r) {
			s.replyWithError(r, verdict.ReasonDeadline, retryAfter(s.expectedWait(svc, svc.queue.Len())))
			continue
		}
		if s.trySend(r) {
			continue
		}
		// The first request in the queue waits only for the next slot, but a
		// nearby entry VM with a free slot may still be faster.
		wait := s.expectedWait(svc, 0)
		rs := s.chooseRemote(r, wait)
		if rs == nil || !s.forward(r, rs, wait) {
			return
		}
	}
}

// finish ends r after its final effect and cancels its current attempts.
func (s *State) finish(r *request) {
	s.dequeue(r)
	for r.numCurrent > 0 {
		a := r.current[0]
		s.cancel(a, s.shouldReplace(a))
	}
	s.timers.remove(r)
	delete(s.requests, r.id)
	*r = request{timerIndex: noTimer}
	r.node.Item = r
	s.requestPool = append(s.requestPool, r)
}

// cancel cancels a. Its slot stays occupied until the transport reports the
// end, or for CancelGrace.
func (s *State) cancel(a *attempt, replace bool) {
	s.out.Cancels = append(s.out.Cancels, Cancel{Req: a.reqID, Attempt: a.id, Replace: replace})
	s.unwatch(a)
	a.req.removeCurrent(a)
	a.req = nil
	a.releaseAt = s.now.Add(s.lim.CancelGrace)
	s.cancelled.push(cancelledAttempt{attempt: a.id, req: a.reqID, releaseAt: a.releaseAt})
}

// release frees a and the slot that it occupies.
func (s *State) release(a *attempt) {
	s.unwatch(a)
	if a.req != nil {
		a.req.removeCurrent(a)
	}
	if t := a.target; t != nil {
		t.inFlight--
		t.svc.inFlight--
		s.checkInFlight(t)
		s.updateCapacity(t)
		t.svc.observeFreeSlots(s.now)
	}
	if rs := a.remote; rs != nil {
		rs.inFlight--
		rs.vm.inFlight--
	}
	s.attempts.end(a)
}

// deliver passes on the answer to the attempt with the given id.
func (s *State) deliver(r *request, id AttemptID) {
	for _, a := range r.current[:r.numCurrent] {
		if a.duplicated {
			s.recordSuspicion(a)
		}
	}
	s.out.Delivers = append(s.out.Delivers, Deliver{Req: r.id, Attempt: id})
	s.finish(r)
}

// replyWithError ends r with an error. Attempts that are still current may run,
// so the verdict includes them.
func (s *State) replyWithError(r *request, reason verdict.Reason, after time.Duration) {
	v := r.joinedVerdict
	if r.numCurrent > 0 {
		v = verdict.Join(v, verdict.MayHaveRun)
	}
	s.out.Replies = append(s.out.Replies, Reply{Req: r.id, Verdict: v, Reason: reason, RetryAfter: after})
	s.finish(r)
}
