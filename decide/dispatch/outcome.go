package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/limit"
	"github.com/azurethread/azurethread/decide/verdict"
)

const (
	serverError      = 500 // lowest HTTP status that counts as a failure of a target
	slowAnswerFactor = 3   // multiple of the mean latency above which an answer lowers a target's limit
	// leavingPause is how long a target or entry VM that has stated that it is
	// leaving gets no requests, because the lagging list may still contain it
	// as live.
	leavingPause = 30 * time.Second
	// minRefusalPause and maxRefusalPause bound the pause of a target that has
	// refused a request for lack of capacity.
	minRefusalPause = 10 * time.Millisecond
	maxRefusalPause = time.Second
)

// handleAnswered handles a complete answer. If its attempt is no longer current
// the answer is dropped: its request has been answered or given up, and the
// answer must not be delivered to another request.
func (s *State) handleAnswered(e *Answered) {
	a := s.attempts.find(e.Attempt, e.Req)
	if a == nil {
		return
	}
	r, svc, t, rs := a.req, a.svc, a.target, a.remote
	sentAt := a.sentAt
	took := s.now.Sub(sentAt)
	borrowed := a.borrowed
	wanted := r != nil
	if a.watched && e.Status < serverError {
		svc.silence.answered(s.now, a.detectID)
	}
	s.release(a)
	svc.lastAnswer = s.now
	if t != nil {
		t.recentAnswers.record(sentAt)
		t.answeredAt = s.now
		s.targetAnswered(t, e, took, borrowed, wanted)
	} else {
		rs.recentAnswers.record(sentAt)
		svc.silence.observeForward(took)
		s.remoteAnswered(rs, e.Load, took)
		s.forwardQueued(svc)
	}
	if wanted {
		r.joinedVerdict = verdict.Join(r.joinedVerdict, verdict.Ran)
		s.deliver(r, e.Attempt)
	}
	s.drain(svc)
}

// targetAnswered records an answer of t.
func (s *State) targetAnswered(t *targetState, e *Answered, took time.Duration, borrowed, wanted bool) {
	svc := t.svc
	if e.Load != nil {
		s.recordLoad(t, e.Load.InFlight, e.Load.Slots, 0)
	}
	if e.Status >= serverError {
		s.recordTargetFailure(t)
		return
	}
	if t.outlier.Answered(s.now) {
		// It is back in use after an ejection, so it may have restarted with
		// cold caches.
		t.limit = limit.NewColdAdaptive(t.share)
	}
	if !wanted {
		s.updateCapacity(t)
		return
	}
	if float64(took) > slowAnswerFactor*svc.meanLatency() && float64(took) > slowAnswerFactor*t.mean.Value(svc.meanLatency()) {
		t.limit.Slow()
	} else {
		t.limit.Answered()
	}
	if borrowed {
		t.borrow.Answered()
	}
	t.mean.Observe(s.now, took)
	svc.mean.Observe(s.now, took)
	svc.tail.Observe(took)
	svc.silence.observe(took)
	s.updateCapacity(t)
}

// recordLoad records the load that a target reported age ago. Of the declared
// and the reported number of slots the lower one is used: too few slots cost
// throughput, too many overload the target.
func (s *State) recordLoad(t *targetState, inFlight, slots int, age time.Duration) {
	t.borrow.Observe(limit.Report{Others: max(inFlight-t.inFlight, 0), At: s.now.Add(-age)})
	if slots <= 0 {
		return
	}
	usable := min(max(t.declaredSlots, defaultSlots), slots)
	if usable != t.slots {
		t.slots = usable
		s.assignServiceShares(t.svc)
	}
}

// handleFailed handles the end of an attempt without a complete answer.
func (s *State) handleFailed(e *Failed) {
	a := s.attempts.find(e.Attempt, e.Req)
	if a == nil {
		return
	}
	r, svc, t, rs := a.req, a.svc, a.target, a.remote
	wanted := r != nil
	sentAt := a.sentAt
	s.release(a)
	if wanted {
		// The end of a cancelled attempt says nothing about the receiver.
		switch {
		case t != nil:
			r.avoidTarget = t
			s.targetAttemptFailed(t, e, sentAt)
		default:
			r.avoidVM = rs.vm
			s.remoteAttemptFailed(rs, e, sentAt)
		}
		r.joinedVerdict = verdict.Join(r.joinedVerdict, e.Verdict)
		s.afterFailure(r, rs, e)
	}
	s.drain(svc)
}

// targetAttemptFailed records a failed attempt at t.
func (s *State) targetAttemptFailed(t *targetState, e *Failed, sentAt clock.Time) {
	switch e.Reason {
	case verdict.ReasonTargetRefused, verdict.ReasonOverload, verdict.ReasonQueueFull, verdict.ReasonNotReady:
		t.limit.Refused()
		t.borrow.Refused(s.now)
		s.pause(t, min(max(e.RetryAfter, minRefusalPause), maxRefusalPause))
	case verdict.ReasonStopping:
		s.pause(t, leavingPause)
	case verdict.ReasonSilent:
		if t.outlier.LastAnswer() < sentAt {
			s.recordTargetFailure(t)
		}
	case verdict.ReasonBodyTooLarge, verdict.ReasonBadRequest, verdict.ReasonCallerGone, verdict.ReasonDeadline:
		// These are not failures of the target.
	default:
		s.recordTargetFailure(t)
	}
}

// afterFailure decides what to do with r after one of its attempts ended
// without an answer.
func (s *State) afterFailure(r *request, rs *remoteService, e *Failed) {
	if r.numCurrent > 0 {
		s.schedule(r) // another attempt may still be answered
		return
	}
	if !r.joinedVerdict.MayRepeat(r.idempotent) || isRequestError(e.Reason) {
		s.replyWithError(r, e.Reason, e.RetryAfter)
		return
	}
	if rs != nil && e.Verdict == verdict.NotRun && refusedForLoad(e.Reason) {
		// The refusal cost a round trip but ran nothing, so the repeat needs no
		// budget.
		r.attempts--
		r.countRefusal(rs)
		s.forwardOrQueue(r)
		return
	}
	// A target or entry VM that is leaving refuses once for each of its slots.
	// Its refusals need no budget, so that a planned drain can't use it up.
	if e.Reason != verdict.ReasonStopping && !s.spendRepeat(r) {
		s.replyWithError(r, verdict.ReasonRetriesExhausted, retryAfter(max(e.RetryAfter, s.expectedWait(r.svc, 0))))
		return
	}
	s.resend(r)
}

// spendRepeat takes a repeat of r from the budget. It reports whether there was
// one and r has attempts left.
func (s *State) spendRepeat(r *request) bool {
	r.svc.budget.Refill(s.now)
	return r.attempts < s.lim.MaxAttempts && r.svc.budget.Spend()
}

// resend sends r once more, ahead of requests that wait for their first
// attempt.
func (s *State) resend(r *request) {
	if s.now >= s.latestStart(r) {
		s.replyWithError(r, verdict.ReasonDeadline, 0)
		return
	}
	if s.trySend(r) {
		return
	}
	wait := s.expectedWait(r.svc, 0)
	if r.hops == 0 {
		if rs := s.chooseRemote(r, wait); rs != nil && s.forward(r, rs, wait) {
			return
		}
	}
	if s.now.Add(wait) > s.latestStart(r) {
		s.replyWithError(r, verdict.ReasonOverload, retryAfter(wait))
		return
	}
	s.enqueue(r)
}

// isRequestError reports whether the reason lies in the request, so that every
// target would refuse it.
func isRequestError(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonBodyTooLarge, verdict.ReasonBadRequest, verdict.ReasonCallerGone,
		verdict.ReasonUnknownService, verdict.ReasonTokenRequired, verdict.ReasonTokenInvalid,
		verdict.ReasonTokenElsewhere, verdict.ReasonTokenUsed, verdict.ReasonTokenExpired:
		return true
	}
	return false
}

// handleCallerGone ends a request whose caller no longer waits.
func (s *State) handleCallerGone(id RequestID) {
	r := s.requests[id]
	if r == nil {
		return
	}
	svc := r.svc
	s.finish(r)
	s.drain(svc)
}
