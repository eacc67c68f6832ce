package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// hedgeSpare is the part of the slots that must be free on average for hedges
// to be sent: near capacity they delay more requests than they help.
const hedgeSpare = 0.3

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
	if !s.maySend(r, t) {
		return false
	}
	s.dequeue(r)
	a := s.startAttempt(r)
	a.target = t
	a.borrowed = borrowed
	s.watch(a)
	t.inFlight++
	t.svc.inFlight++
	s.refresh(t)
	t.svc.observeSpare(s.now)
	s.out.Sends = append(s.out.Sends, Send{Req: r.id, Attempt: a.id, Target: t.id, Deadline: r.deadline, Fresh: r.seconded})
	s.schedule(r)
	return true
}

// forward hands r to the entry VM of l. It reports false, and does nothing,
// when that would break an invariant.
func (s *State) forward(r *request, l *link, wait time.Duration) bool {
	if !s.mayForward(r) {
		return false
	}
	s.dequeue(r)
	a := s.startAttempt(r)
	a.link = l
	a.mayWait = s.worthWaiting(l, wait)
	s.watch(a)
	l.inFlight++
	l.vm.inFlight++
	// The other entry VM must give up early enough for its answer to be here
	// in time.
	deadline := max(r.deadline-clock.Time(l.vm.rtt/2), s.now)
	s.out.Forwards = append(s.out.Forwards, Forward{Req: r.id, Attempt: a.id, VM: l.vm.id, Deadline: deadline, ExpectedWait: a.mayWait})
	s.schedule(r)
	return true
}

// worthWaiting returns how long a request may wait at l and still be served
// sooner than here after the given wait. It is bounded, as a receiver that is
// lost is noticed that much later.
func (s *State) worthWaiting(l *link, wait time.Duration) time.Duration {
	return min(max(wait-l.vm.rtt, 0), s.interactiveWait(l.svc))
}

func (s *State) startAttempt(r *request) *attempt {
	a := s.attempts.start()
	a.reqID = r.id
	a.req = r
	a.svc = r.svc
	a.sentAt = s.now
	a.expires = clock.Never
	r.attempts++
	r.current[r.n] = a
	r.n++
	return a
}

// schedule sets the timer of a request with current attempts.
func (s *State) schedule(r *request) {
	at := r.deadline
	for i := 0; i < r.n; i++ {
		at = min(at, r.current[i].silentAt)
	}
	s.timers.set(r, min(at, s.hedgeAt(r), s.secondAt(r)))
}

// hedgeAt returns when a second attempt of r is worth its cost.
func (s *State) hedgeAt(r *request) clock.Time {
	if !r.idempotent || r.hedged || r.n != 1 || s.lim.HedgeMin < 0 || s.opts.Ungated {
		return clock.Never
	}
	a := r.current[0]
	p95 := r.svc.tail.P95()
	if p95 == 0 || a.target == nil {
		return clock.Never
	}
	return a.sentAt.Add(max(p95, s.lim.HedgeMin))
}

// hedge sends r a second time when that takes nothing from others: there is a
// free slot at another target, nobody waits, and the budget has to spare.
func (s *State) hedge(r *request) {
	r.hedged = true
	v := r.svc
	if v.queue.Len() > 0 || r.attempts >= s.lim.MaxAttempts || v.spare.mean < hedgeSpare*float64(v.capacity) {
		return
	}
	r.avoid = r.current[0].target
	t, borrowed := s.choose(r)
	if t == nil || borrowed || t == r.avoid || !v.budget.SpendSpare() {
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
			s.giveUp(r, verdict.ReasonDeadline, retryAfter(s.expectedWait(v, v.queue.Len())))
			continue
		}
		if s.trySend(r) {
			continue
		}
		// The first in line waits only for the next slot, but an entry VM close
		// by with a free one is sooner still.
		wait := s.expectedWait(v, 0)
		l := s.pickLink(r, wait)
		if l == nil || !s.forward(r, l, wait) {
			return
		}
	}
}

// finish ends r after its final effect and cancels attempts still current.
func (s *State) finish(r *request) {
	s.dequeue(r)
	for r.n > 0 {
		a := r.current[0]
		s.cancel(a, s.replaceable(a))
	}
	s.timers.remove(r)
	delete(s.requests, r.id)
	*r = request{timer: notTimed}
	r.node.Item = r
	s.pool = append(s.pool, r)
}

// cancel ends the interest in a; its slot stays taken until the transport
// reports the end, or for the grace period.
func (s *State) cancel(a *attempt, replace bool) {
	s.out.Cancels = append(s.out.Cancels, Cancel{Req: a.reqID, Attempt: a.id, Replace: replace})
	s.unwatch(a)
	a.req.drop(a)
	a.req = nil
	a.expires = s.now.Add(s.lim.CancelGrace)
	s.lingering.push(lingerer{attempt: a.id, req: a.reqID, expires: a.expires})
}

// release frees what a holds, and a itself.
func (s *State) release(a *attempt) {
	s.unwatch(a)
	if a.req != nil {
		a.req.drop(a)
	}
	if t := a.target; t != nil {
		t.inFlight--
		t.svc.inFlight--
		s.checkReleased(t)
		s.refresh(t)
		t.svc.observeSpare(s.now)
	}
	if l := a.link; l != nil {
		l.inFlight--
		l.vm.inFlight--
	}
	s.attempts.end(a)
}

// deliver passes on the answer of a.
func (s *State) deliver(r *request, id AttemptID) {
	for _, a := range r.current[:r.n] {
		if a.seconded {
			s.doubt(a)
		}
	}
	s.out.Delivers = append(s.out.Delivers, Deliver{Req: r.id, Attempt: id})
	s.finish(r)
}

// giveUp answers r with an error. Attempts still running may yet run, so the
// verdict counts them.
func (s *State) giveUp(r *request, reason verdict.Reason, after time.Duration) {
	v := r.joined
	if r.n > 0 {
		v = verdict.Join(v, verdict.MayHaveRun)
	}
	s.out.Replies = append(s.out.Replies, Reply{Req: r.id, Verdict: v, Reason: reason, RetryAfter: after})
	s.finish(r)
}
