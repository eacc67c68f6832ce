package dispatch

import (
	"github.com/azurethread/azurethread/decide/verdict"
)

// expire does everything that is due at the instant of the step.
func (s *State) expire() {
	if s.now >= s.nextTest {
		s.resume()
	}
	for s.lingering.earliest() <= s.now {
		s.endLingering()
	}
	for s.timers.earliest() <= s.now {
		s.due(s.timers[0])
	}
}

// endLingering frees the slot of a cancelled attempt whose end the transport
// didn't report.
func (s *State) endLingering() {
	e := s.lingering.pop()
	a := s.attempts.find(e.attempt, e.req)
	if a == nil {
		return
	}
	v := a.svc
	s.release(a)
	s.drain(v)
}

// due handles the timer of r.
func (s *State) due(r *request) {
	if r.n == 0 {
		s.giveUp(r, verdict.ReasonDeadline, retryAfter(s.expectedWait(r.svc, r.svc.queue.Len())))
		return
	}
	if s.now >= r.deadline {
		s.giveUp(r, verdict.ReasonDeadline, 0)
		return
	}
	if s.suspectSilent(r) {
		return
	}
	if s.now >= s.hedgeAt(r) {
		s.hedge(r)
	}
	if s.now >= s.secondAt(r) {
		s.second(r)
	}
	s.schedule(r)
}

// suspectSilent looks at the attempts of r that are unanswered for too long.
// It reports whether r has been dealt with.
func (s *State) suspectSilent(r *request) bool {
	for i := 0; i < r.n; i++ {
		a := r.current[i]
		if s.now < a.silentAt {
			continue
		}
		if !s.silent(r, a) {
			a.silentAt = s.nextLook(a)
			continue
		}
		s.abandon(r, a)
		return true
	}
	return false
}

// silent reports whether the connection of a is to be given up: it is
// suspected, and the request can go elsewhere. One that can't, for lack of
// budget, is looked at again later. So is a non-idempotent one, as long as it
// may only be slow.
func (s *State) silent(r *request, a *attempt) bool {
	if !s.suspected(a) {
		return false
	}
	s.extend(a)
	if !r.idempotent {
		s.doubt(a)
		return s.now >= a.sentAt.Add(submissionBound) && a.overtaken()
	}
	return r.n > 1 || s.mayRepeat(r)
}

// abandon cancels an attempt on a silent connection and sends r elsewhere if
// that does no harm.
func (s *State) abandon(r *request, a *attempt) {
	hedged := r.n > 1
	a.svc.silence.tail.Observe(s.now.Sub(a.sentAt))
	s.doubt(a)
	if a.target != nil {
		r.avoid = a.target
	} else {
		r.avoidVM = a.link.vm
	}
	s.cancel(a, true)
	r.joined = verdict.Join(r.joined, verdict.MayHaveRun)
	switch {
	case hedged:
		s.schedule(r)
	case r.idempotent:
		s.again(r)
	default:
		s.giveUp(r, verdict.ReasonSilent, 0)
	}
}
