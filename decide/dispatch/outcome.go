package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/limit"
	"github.com/azurethread/azurethread/decide/verdict"
)

const (
	serverError      = 500 // lowest HTTP status that counts against a target
	slowAnswerFactor = 3   // times the usual latency that lower a target's limit
	// leavingPause is how long a target that said it is leaving gets nothing,
	// though the lagging list still calls it live.
	leavingPause = 30 * time.Second
	minShedPause = 10 * time.Millisecond
	maxShedPause = time.Second
)

// answered handles a whole answer. One whose attempt is no longer current goes
// nowhere: its request has been answered or given up, and its id may not be
// mixed up with another's.
func (s *State) answered(e *Answered) {
	a := s.attempts.find(e.Attempt, e.Req)
	if a == nil {
		return
	}
	r, v, t, l := a.req, a.svc, a.target, a.remote
	sentAt := a.sentAt
	took := s.now.Sub(sentAt)
	borrowed := a.borrowed
	wanted := r != nil
	if a.watched && e.Status < serverError {
		v.silence.answered(s.now, a.detectID)
	}
	s.release(a)
	v.lastAnswer = s.now
	if t != nil {
		t.recentAnswers.record(sentAt)
		t.answeredAt = s.now
		s.targetAnswered(t, e, took, borrowed, wanted)
	} else {
		l.recentAnswers.record(sentAt)
		v.silence.observeForward(took)
		s.remoteAnswered(l, e.Load, took)
		s.forwardQueued(v)
	}
	if wanted {
		r.joinedVerdict = verdict.Join(r.joinedVerdict, verdict.Ran)
		s.deliver(r, e.Attempt)
	}
	s.drain(v)
}

// targetAnswered learns from an answer of t.
func (s *State) targetAnswered(t *targetState, e *Answered, took time.Duration, borrowed, wanted bool) {
	v := t.svc
	if e.Load != nil {
		s.recordLoad(t, e.Load.InFlight, e.Load.Slots, 0)
	}
	if e.Status >= serverError {
		s.recordTargetFailure(t)
		return
	}
	if t.outlier.Answered(s.now) {
		// Back after an ejection, so perhaps restarted, with cold caches.
		t.limit = limit.Cold(t.share)
	}
	if !wanted {
		s.updateCapacity(t)
		return
	}
	if float64(took) > slowAnswerFactor*v.meanLatency() && float64(took) > slowAnswerFactor*t.mean.Value(v.meanLatency()) {
		t.limit.Slow()
	} else {
		t.limit.Answered()
	}
	if borrowed {
		t.borrow.Answered()
	}
	t.mean.Observe(s.now, took)
	v.mean.Observe(s.now, took)
	v.tail.Observe(took)
	v.silence.observe(took)
	s.updateCapacity(t)
}

// recordLoad records what a target said about its load age ago. Of two
// statements about its slots the lower one is believed: too few cost
// throughput, too many overload it.
func (s *State) recordLoad(t *targetState, inFlight, slots int, age time.Duration) {
	t.borrow.Observe(limit.Report{Others: max(inFlight-t.inFlight, 0), At: s.now.Add(-age)})
	if slots <= 0 {
		return
	}
	believed := min(max(t.declaredSlots, defaultSlots), slots)
	if believed != t.slots {
		t.slots = believed
		s.assignServiceShares(t.svc)
	}
}

// failed handles the end of an attempt without a whole answer.
func (s *State) failed(e *Failed) {
	a := s.attempts.find(e.Attempt, e.Req)
	if a == nil {
		return
	}
	r, v, t, l := a.req, a.svc, a.target, a.remote
	wanted := r != nil
	sentAt := a.sentAt
	s.release(a)
	if wanted {
		// The end of an attempt that was cancelled says nothing about the
		// other side.
		switch {
		case t != nil:
			r.avoidTarget = t
			s.targetAttemptFailed(t, e, sentAt)
		default:
			r.avoidVM = l.vm
			s.remoteAttemptFailed(l, e, sentAt)
		}
		r.joinedVerdict = verdict.Join(r.joinedVerdict, e.Verdict)
		s.afterFailure(r, l, e)
	}
	s.drain(v)
}

// targetAttemptFailed learns from a failed attempt at t.
func (s *State) targetAttemptFailed(t *targetState, e *Failed, sentAt clock.Time) {
	switch e.Reason {
	case verdict.ReasonShed, verdict.ReasonOverload, verdict.ReasonQueueFull, verdict.ReasonNotReady:
		t.limit.Shed()
		t.borrow.Shed(s.now)
		s.pause(t, min(max(e.RetryAfter, minShedPause), maxShedPause))
	case verdict.ReasonStopping:
		s.pause(t, leavingPause)
	case verdict.ReasonSilent:
		if t.outlier.LastAnswer() < sentAt {
			s.recordTargetFailure(t)
		}
	case verdict.ReasonBodyTooLarge, verdict.ReasonBadRequest, verdict.ReasonCallerGone, verdict.ReasonDeadline:
		// Nothing is wrong with the target.
	default:
		s.recordTargetFailure(t)
	}
}

// afterFailure decides what becomes of r after one of its attempts ended
// without an answer.
func (s *State) afterFailure(r *request, l *remoteService, e *Failed) {
	if r.numCurrent > 0 {
		s.schedule(r) // the other attempt may still be answered
		return
	}
	if !r.joinedVerdict.MayRepeat(r.idempotent) || isRequestError(e.Reason) {
		s.replyWithError(r, e.Reason, e.RetryAfter)
		return
	}
	if l != nil && e.Verdict == verdict.NotRun && refusedForLoad(e.Reason) {
		// It cost a round trip and no work, so it needs no budget.
		r.attempts--
		r.countRefusal(l)
		s.forwardOrQueue(r)
		return
	}
	// A refusal by a machine that is leaving happens once for each of its
	// slots, so it needs no budget, and a planned drain can't use it up.
	if e.Reason != verdict.ReasonStopping && !s.spendRepeat(r) {
		s.replyWithError(r, verdict.ReasonRetriesExhausted, retryAfter(max(e.RetryAfter, s.expectedWait(r.svc, 0))))
		return
	}
	s.resend(r)
}

// spendRepeat takes a repeat of r from the budget, if it has attempts left.
func (s *State) spendRepeat(r *request) bool {
	r.svc.budget.Pass(s.now)
	return r.attempts < s.lim.MaxAttempts && r.svc.budget.Spend()
}

// resend sends r once more, before those that wait for their first attempt.
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
		if l := s.chooseRemote(r, wait); l != nil && s.forward(r, l, wait) {
			return
		}
	}
	if s.now.Add(wait) > s.latestStart(r) {
		s.replyWithError(r, verdict.ReasonOverload, retryAfter(wait))
		return
	}
	s.enqueue(r)
}

// isRequestError reports whether the reason lies in the request, so that no target
// would answer otherwise.
func isRequestError(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonBodyTooLarge, verdict.ReasonBadRequest, verdict.ReasonCallerGone,
		verdict.ReasonUnknownService, verdict.ReasonTokenRequired, verdict.ReasonTokenInvalid,
		verdict.ReasonTokenElsewhere, verdict.ReasonTokenUsed, verdict.ReasonTokenExpired:
		return true
	}
	return false
}

// callerGone drops a request that nobody waits for.
func (s *State) callerGone(id RequestID) {
	r := s.requests[id]
	if r == nil {
		return
	}
	v := r.svc
	s.finish(r)
	s.drain(v)
}
