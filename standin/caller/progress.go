package caller

import (
	"context"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// progress is the state of one request between its sends.
type progress struct {
	caller      *Caller
	request     Request
	outcome     Outcome
	tried       map[fleet.VMID]bool
	lastRoute   route
	resends     int
	notRunSends int
}

// run sends the request until it needs no further send or its deadline passes.
func (p *progress) run(ctx context.Context) {
	to, err := p.caller.chooseRoute(ctx, p.request, p.tried)
	if err != nil {
		p.outcome.Reason = verdict.ReasonNotReady
		return
	}
	for {
		res := p.attempt(ctx, to)
		resend, sameRoute := p.decideResend(res)
		if !resend || ctx.Err() != nil {
			return
		}
		if res.retryAfter > 0 && !sleep(ctx, res.retryAfter) {
			return
		}
		if sameRoute {
			continue
		}
		if to, err = p.caller.chooseRoute(ctx, p.request, p.tried); err != nil {
			return
		}
	}
}

// attempt sends the request once and records the result.
func (p *progress) attempt(ctx context.Context, to route) result {
	ctx, cancel := context.WithTimeout(ctx, p.attemptTimeout())
	defer cancel()
	p.lastRoute = to
	p.tried[to.vm.ID] = true
	res := p.caller.send(ctx, p.request, to)

	o := &p.outcome
	o.Sends++
	o.Verdict = verdict.Join(o.Verdict, res.verdict)
	o.Answered = res.answered
	o.Wrong = o.Wrong || res.wrong
	o.Status = res.status
	o.EntryVM, o.Region, o.Target = to.vm.ID, to.vm.Region, res.target
	if !res.answered {
		o.Reason = res.reason
	}
	if res.missingVerdict {
		o.MissingVerdicts++
	}
	switch res.fault {
	case lost:
		o.Lost++
	case timedOut:
		o.TimedOut++
	case notConnected:
		p.caller.dropLookup(p.request.Service)
	}
	return res
}

// attemptTimeout returns the time limit of one send. A non-idempotent request
// that is not sent again after a timeout may use its whole deadline.
func (p *progress) attemptTimeout() time.Duration {
	o := p.caller.options
	switch {
	case !p.request.Idempotent && !o.ResendLost:
		return p.request.Deadline
	case o.AttemptTimeout > 0:
		return o.AttemptTimeout
	default:
		return p.request.Deadline / 2
	}
}

// decideResend reports whether to send again, and whether by the same route.
// The package comment states the rules.
func (p *progress) decideResend(res result) (resend, sameRoute bool) {
	switch {
	case res.answered || res.verdict == verdict.Ran:
		return false, false
	case p.request.Idempotent && res.verdict == verdict.MayHaveRun:
		p.resends++
		return p.resends <= maxResends, false
	case p.request.Idempotent || p.outcome.Verdict == verdict.NotRun:
		p.notRunSends++
		return p.notRunSends < maxNotRunSends, false
	case p.caller.options.ResendLost && res.fault != noFault && p.lastRoute.token != "":
		p.resends++
		return p.resends <= 1, true
	default:
		return false, false
	}
}

// sendDuplicate sends a completed non-idempotent request again for the
// configured share of requests. It ignores the result: the targets' records
// show whether the duplicate ran.
func (p *progress) sendDuplicate(ctx context.Context) {
	if p.request.Idempotent || p.lastRoute.token == "" || p.outcome.Verdict == verdict.NotRun {
		return
	}
	if !p.caller.sample(p.caller.options.DuplicateShare) {
		return
	}
	p.outcome.Duplicate = true
	p.caller.send(ctx, p.request, p.lastRoute)
}
