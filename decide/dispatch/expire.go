package dispatch

import (
	"github.com/azurethread/azurethread/decide/verdict"
)

// runTimers runs all timers that are due.
func (s *State) runTimers() {
	if s.now >= s.nextRecheck {
		s.recheckSuspended()
	}
	for s.cancelled.earliest() <= s.now {
		s.expireCancelled()
	}
	for s.timers.earliest() <= s.now {
		s.handleTimer(s.timers[0])
	}
}

// expireCancelled removes the oldest cancelled attempt from the queue and frees
// its slot if the transport hasn't reported its end.
func (s *State) expireCancelled() {
	e := s.cancelled.pop()
	a := s.attempts.find(e.attempt, e.req)
	if a == nil {
		return
	}
	svc := a.svc
	s.release(a)
	s.drain(svc)
}

// handleTimer handles the timer of r.
func (s *State) handleTimer(r *request) {
	if r.numCurrent == 0 {
		s.replyWithError(r, verdict.ReasonDeadline, retryAfter(s.expectedWait(r.svc, r.svc.queue.Len())))
		return
	}
	if s.now >= r.deadline {
		s.replyWithError(r, verdict.ReasonDeadline, 0)
		return
	}
	if s.abandonSilent(r) {
		return
	}
	if s.now >= s.hedgeAt(r) {
		s.hedge(r)
	}
	if s.now >= s.duplicateAt(r) {
		s.sendDuplicate(r)
	}
	s.schedule(r)
}

// abandonSilent checks the attempts of r whose check is due. It abandons the
// first one found silent and reports whether there was one.
func (s *State) abandonSilent(r *request) bool {
	for i := 0; i < r.numCurrent; i++ {
		a := r.current[i]
		if s.now < a.nextCheck {
			continue
		}
		if !s.shouldAbandon(r, a) {
			a.nextCheck = s.nextCheckAt(a)
			continue
		}
		s.abandon(r, a)
		return true
	}
	return false
}

// shouldAbandon reports whether a is to be abandoned: it is silent, and its
// request can be sent elsewhere, for which a repeat is taken from the budget.
// If the budget doesn't allow that, a is checked again later. An attempt of a
// non-idempotent request is checked again as long as it may be merely slow.
func (s *State) shouldAbandon(r *request, a *attempt) bool {
	if !s.isSilent(a) {
		return false
	}
	s.extendTailBound(a)
	if !r.idempotent {
		s.recordSuspicion(a)
		return s.now >= a.sentAt.Add(nonIdempotentGiveUpBound) && a.laterAnswered()
	}
	return r.numCurrent > 1 || s.spendRepeat(r)
}

// abandon cancels an attempt on a silent connection. An idempotent request is
// sent again, unless another attempt is still current; a non-idempotent one
// gets an error.
func (s *State) abandon(r *request, a *attempt) {
	otherCurrent := r.numCurrent > 1
	a.svc.silence.tail.Observe(s.now.Sub(a.sentAt))
	s.recordSuspicion(a)
	if a.target != nil {
		r.avoidTarget = a.target
	} else {
		r.avoidVM = a.remote.vm
	}
	s.cancel(a, true)
	r.joinedVerdict = verdict.Join(r.joinedVerdict, verdict.MayHaveRun)
	switch {
	case otherCurrent:
		s.schedule(r)
	case r.idempotent:
		s.resend(r)
	default:
		s.replyWithError(r, verdict.ReasonSilent, 0)
	}
}
