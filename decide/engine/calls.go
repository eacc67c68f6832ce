package engine

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/token"
	"github.com/azurethread/azurethread/decide/verdict"
)

// openToken is the token of a request that has not been answered yet.
type openToken struct {
	id   token.ID
	sent bool // sent to a target or an entry VM at least once
}

// Outcome returns what is known about the request that used a token.
func (e *Engine) Outcome(now clock.Time, tok string) token.Admission {
	return e.ledger.Outcome(now, tok)
}

// admitCall admits the request's token and dispatches it.
func (e *Engine) admitCall(now clock.Time, c *Call, out *Ready) {
	s, ok := e.services[c.Service]
	if !ok {
		out.Refusals = append(out.Refusals, e.refuseUnknownService(now, c))
		return
	}
	if s.Idempotent {
		e.dispatchCall(now, c, out)
		return
	}
	if c.Token == "" {
		if !s.TokenOptional {
			out.Refusals = append(out.Refusals, newRefusal(c.Req, verdict.ReasonTokenRequired))
			return
		}
		e.dispatchCall(now, c, out)
		return
	}
	a := e.ledger.Admit(now, c.Token)
	if a.Status != token.New {
		out.Refusals = append(out.Refusals, admissionRefusal(c.Req, a))
		return
	}
	e.openTokens[c.Req] = openToken{id: a.ID}
	e.dispatchCall(now, c, out)
}

// refuseUnknownService refuses a request for a service that is not in the
// configuration in force. It also invalidates the token: the answer is
// not-run, so an earlier send that is still in transit must not run later.
func (e *Engine) refuseUnknownService(now clock.Time, c *Call) Refusal {
	reason := verdict.ReasonUnknownService
	if e.catalogue == nil {
		reason = verdict.ReasonNotReady
	}
	return e.reject(now, &Reject{Req: c.Req, Token: c.Token, Reason: reason})
}

// reject refuses a request without dispatching it.
func (e *Engine) reject(now clock.Time, j *Reject) Refusal {
	if j.Token == "" {
		return newRefusal(j.Req, j.Reason)
	}
	r := admissionRefusal(j.Req, e.ledger.Refuse(now, j.Token))
	if r.Verdict == verdict.NotRun {
		r.Reason = j.Reason
	}
	return r
}

// admissionRefusal returns the answer to a request whose token was not admitted.
func admissionRefusal(req dispatch.RequestID, a token.Admission) Refusal {
	r := Refusal{AskVM: a.VM, EarlierStatus: a.Answer}
	r.Req = req
	r.Verdict = a.Verdict
	r.Reason = a.Status.Reason()
	r.RetryAfter = a.RetryAfter
	return r
}

// dispatchCall passes an admitted request to the dispatcher.
func (e *Engine) dispatchCall(now clock.Time, c *Call, out *Ready) {
	e.startRecord(now, c)
	e.arrival = dispatch.Arrive{
		Req:       c.Req,
		Service:   c.Service,
		Block:     c.Block,
		Deadline:  c.Deadline,
		Hops:      c.Hops,
		BodyBytes: c.BodyBytes,
	}
	if c.Hops > 0 {
		e.arrival.ExpectedWait = c.ExpectedWait
	}
	e.stepDispatch(now, &e.arrival, out)
}

// callerGone settles the token of a request whose caller has disconnected. If
// the request was never sent on, it has not run and will not run.
func (e *Engine) callerGone(now clock.Time, ev *dispatch.CallerGone, out *Ready) {
	e.stepDispatch(now, ev, out)
	delete(e.records, ev.Req)
	t, ok := e.openTokens[ev.Req]
	if !ok {
		return
	}
	v := verdict.NotRun
	if t.sent {
		v = verdict.MayHaveRun
	}
	e.settleToken(now, ev.Req, v, 0)
}

// stepDispatch steps the dispatcher. It then settles the tokens and closes the
// records of the requests that were answered.
func (e *Engine) stepDispatch(now clock.Time, ev dispatch.Event, out *Ready) {
	d := &out.Dispatch
	sends, forwards := len(d.Sends), len(d.Forwards)
	delivers, replies := len(d.Delivers), len(d.Replies)
	e.dispatch.Step(now, ev, d)
	e.wakeTimes.dispatch = d.WakeAt
	for _, s := range d.Sends[sends:] {
		e.markSent(s.Req)
		e.recordSend(now, s.Req, true)
	}
	for _, f := range d.Forwards[forwards:] {
		e.markSent(f.Req)
		e.recordSend(now, f.Req, false)
	}
	status := 0
	if a, ok := ev.(*dispatch.Answered); ok {
		status = a.Status
	}
	for _, v := range d.Delivers[delivers:] {
		e.settleToken(now, v.Req, verdict.Ran, status)
		e.endRecord(now, v.Req, status < minFailedStatus)
	}
	for _, r := range d.Replies[replies:] {
		e.settleToken(now, r.Req, r.Verdict, 0)
		e.endRecord(now, r.Req, false)
	}
}

// minFailedStatus is the lowest HTTP status that counts as a failed answer.
const minFailedStatus = 500

func (e *Engine) markSent(req dispatch.RequestID) {
	if t, ok := e.openTokens[req]; ok {
		t.sent = true
		e.openTokens[req] = t
	}
}

func (e *Engine) settleToken(now clock.Time, req dispatch.RequestID, v verdict.Verdict, status int) {
	t, ok := e.openTokens[req]
	if !ok {
		return
	}
	delete(e.openTokens, req)
	e.ledger.Finish(now, t.id, v, status)
}
