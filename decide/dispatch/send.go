package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// minHedgeFreeShare is the part of the slots that must be free on average for hedges
// to be sent: near capacity they delay more requests than they help.
const minHedgeFreeShare = 0.3

// trySend sends r to a local target if one has a free slot.
func (s *State) trySend(r *request) bool {
	t, borrowed := s.choose(r)
	if t == nil {
		return false
	}
	return s.send(r, t, borrowed)
}

// send hands r to t. It reports false, and does nothing, when that would
// break an invariant.
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

// forward hands r to the entry VM of l. It reports false, and does nothing,
// when that would break an invariant.
func (s *State) forward(r *request, l *remoteService, wait time.Duration) bool {
	if !s.checkForward(r) {
		return false
	}
	s.dequeue(r)
	a := s.startAttempt(r)
	a.remote = l
	a.acceptableWait = s.acceptableWait(l, wait)
	s.watch(a)
	l.inFlight++
	l.vm.inFlight++
	// The other entry VM must give up early enough for its answer to be here
	// in time.
	deadline := max(r.deadline-clock.Time(l.vm.rtt/2), s.now)
	s.out.Forwards = append(s.out.Forwards, Forward{Req: r.id, Attempt: a.id, VM: l.vm.id, Deadline: deadline, ExpectedWait: a.acceptableWait})
	s.schedule(r)
	return true
}

// acceptableWait returns how long a request may wait at l and still be served
// sooner than here after the given wait. It is bounded, as a receiver that is
// lost is noticed that much later.
func (s *State) acceptableWait(l *remoteService, wait time.Duration) time.Duration {
	return min(max(wait-l.vm.rtt, 0), s.interactiveWait(l.svc))
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

// schedule sets the timer of a request with current attempts.
func (s *State) schedule(r *request) {
	at := r.deadline
	for i := 0; i < r.numCurrent; i++ {
		at = min(at, r.current[i].nextCheck)
	}
	s.timers.set(r, min(at, s.hedgeAt(r), s.duplicateAt(r)))
}

// hedgeAt returns when a second attempt of r is worth its cost.
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

// hedge sends r a second time when that takes nothing from others: there is a
// free slot at another target, nobody waits, and the budget has to spare.
func (s *State) hedge(r *request) {
	r.hedged = true
	v := r.svc
	if v.queue.Len() > 0 || r.attempts >= s.lim.MaxAttempts || v.freeSlots.mean < minHedgeFreeShare*float64(v.capacity) {
		return
	}
	r.avoidTarget = r.current[0].target
	t, borrowed := s.choose(r)
	if t == nil || borrowed || t == r.avoidTarget || !v.budget.SpendSpare() {
		return
	}
	s.send(r, t, false)
}

// drainAll serves all queues after a change of what targets may take.
func (s *State) drainAll() {
	for _, v := range s.services {
		s.drain(v)
	}
}

// drain sends waiting requests while there are slots.
func (s *State) drain(v *service) {
	for n := v.queue.Front(); n != nil; n = v.queue.Front() {
		r := n.Item
		if s.now >= s.latestStart(r) {
			s.replyWithError(r, verdict.ReasonDeadline, retryAfter(s.expectedWait(v, v.queue.Len())))
			continue
		}
		if s.trySend(r) {
			continue
		}
		// The first in line waits only for the next slot, but an entry VM close
		// by with a free one is sooner still.
		wait := s.expectedWait(v, 0)
		l := s.chooseRemote(r, wait)
		if l == nil || !s.forward(r, l, wait) {
			return
		}
	}
}

// finish ends r after its final effect and cancels attempts still current.
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

// cancel ends the interest in a; its slot stays taken until the transport
// reports the end, or for the grace period.
func (s *State) cancel(a *attempt, replace bool) {
	s.out.Cancels = append(s.out.Cancels, Cancel{Req: a.reqID, Attempt: a.id, Replace: replace})
	s.unwatch(a)
	a.req.removeCurrent(a)
	a.req = nil
	a.releaseAt = s.now.Add(s.lim.CancelGrace)
	s.cancelled.push(cancelledAttempt{attempt: a.id, req: a.reqID, releaseAt: a.releaseAt})
}

// release frees what a holds, and a itself.
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
	if l := a.remote; l != nil {
		l.inFlight--
		l.vm.inFlight--
	}
	s.attempts.end(a)
}

// deliver passes on the answer of a.
func (s *State) deliver(r *request, id AttemptID) {
	for _, a := range r.current[:r.numCurrent] {
		if a.duplicated {
			s.recordSuspicion(a)
		}
	}
	s.out.Delivers = append(s.out.Delivers, Deliver{Req: r.id, Attempt: id})
	s.finish(r)
}

// replyWithError answers r with an error. Attempts still running may yet run, so the
// verdict counts them.
func (s *State) replyWithError(r *request, reason verdict.Reason, after time.Duration) {
	v := r.joinedVerdict
	if r.numCurrent > 0 {
		v = verdict.Join(v, verdict.MayHaveRun)
	}
	s.out.Replies = append(s.out.Replies, Reply{Req: r.id, Verdict: v, Reason: reason, RetryAfter: after})
	s.finish(r)
}
