package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Opening a connection to a target of another region takes two round trips, and
// with a thousand targets there an entry VM seldom has an open one to the right
// target. Therefore a request for another region is forwarded by an entry VM of
// the target's failure domain, its gateway: connections between entry VMs stay
// open, and from the gateway a new connection takes a millisecond.
//
// A gateway makes no decisions. The request's own entry VM chooses the target and
// handles deadline and retries; the gateway sends the request once and returns the
// answer, or the verdict of the failure.

const (
	// gatewayRTTs and gatewayMargin determine how long a gateway may take to
	// acknowledge a request: a connection to it may have to be opened first.
	gatewayRTTs   = 2
	gatewayMargin = 100 * time.Millisecond
)

// gatewayTo returns the entry VM that is to forward a request to t, "" if it is
// sent directly.
func (r *Reducer) gatewayTo(now clock.Time, t *targetState) fleet.VMID {
	if r.isLocal(t) || !r.on(Gateways) {
		return ""
	}
	order := r.gatewaysOf(t.Domain)
	for _, id := range order[:min(len(order), maxStandby)] {
		if r.isAvailable(now, id) {
			return id
		}
	}
	return ""
}

// gatewaysOf returns the strong VMs of a failure domain that forward requests, in
// the order in which this VM uses them. The order differs between VMs: each keeps
// few connections to one gateway, and the gateways share the requests.
func (r *Reducer) gatewaysOf(d fleet.Domain) []fleet.VMID {
	order, cached := r.gateways[d]
	if cached {
		return order
	}
	forwarders := r.strongMatching(func(m *fleet.VM) bool { return m.Domain == d && m.GatewayAddr != "" })
	order = rank.Order(string(r.opts.Self), forwarders)
	r.gateways[d] = order
	return order
}

// emitSend adds a's Send to the effects.
func (r *Reducer) emitSend(now clock.Time, a *attempt) {
	q, t := a.req, a.target
	r.out.Sends = append(r.out.Sends, Send{
		Attempt: a.id, Request: q.id, Target: t.ID, Domain: t.Domain, StartedAt: t.StartedAt, Addr: t.Addr, Gateway: a.gateway,
		TimeLeft:       q.deadline.Sub(now),
		Terms:          a.terms,
		ConnectTimeout: r.connectTimeout(t),
		KeepSpare:      !r.isLocal(t) && r.on(SpareConnections),
		Account:        q.account, KeepCredentials: !r.table.Config.RequiresKeys(),
	})
	if a.gateway == "" {
		t.countLimitedSend()
		return
	}
	r.startProbe(a.gateway, probeID(a.id))
	wait := gatewayMargin + time.Duration(gatewayRTTs*r.rtt(t.region))
	r.timers.add(timer{at: now.Add(wait), purpose: dueGateway, request: q.id, attempt: a.id})
}

// gatewayAccepted records that the gateway of an attempt has acknowledged the
// request.
func (r *Reducer) gatewayAccepted(id AttemptID) {
	if a, ok := r.attempts[id]; ok && a.gateway != "" {
		a.accepted = true
		r.markResponsive(a.gateway)
	}
}

// gatewayTimedOut handles a gateway that has not acknowledged a request in time.
// An idempotent request is sent a second time. Any other request is not, because
// the gateway may have sent it to the target already.
func (r *Reducer) gatewayTimedOut(now clock.Time, q *request, id AttemptID) {
	a, ok := r.attempts[id]
	if !ok || a.gateway == "" || a.accepted {
		return
	}
	if s, known := r.silent[a.gateway]; !known || s.probe == probeID(a.id) {
		r.out.SilentGateways = append(r.out.SilentGateways, a.gateway) // once for all requests that wait for it
	}
	r.markSilent(now, a.gateway)
	if r.mayHedge(now, q) && q.svc.retryBudget.spendForHedge(r.retryLimit()) {
		r.findTarget(now, q)
	}
}

// gatewayFailed handles a failure between this VM and the gateway of a, which says
// nothing about the target. A request that did not reach the gateway is sent to
// the same target directly.
func (r *Reducer) gatewayFailed(now clock.Time, a *attempt, v verdict.Verdict) {
	r.markSilent(now, a.gateway)
	if v == verdict.NotRun && (!a.target.availability.Available() || !r.respectsLimit(now, a.target, a.terms)) {
		r.endAttempt(now, a, &Report{Result: ResultNotSent})
		r.targetNotReached(now, a.req, verdict.ReasonUnavailable)
		return
	}
	if v == verdict.NotRun && now.Before(a.req.deadline) {
		delete(r.attempts, a.id)
		r.nextAttempt++
		a.id, a.gateway = r.nextAttempt, ""
		r.attempts[a.id] = a
		r.emitSend(now, a)
		return
	}
	r.endAttempt(now, a, &Report{Result: ResultUnknown})
	if v == verdict.NotRun {
		r.attemptNotRun(now, a.req, verdict.ReasonGateway)
	} else {
		r.attemptMayHaveRun(now, a.req, verdict.ReasonGateway)
	}
}

// forwarded is a request that this VM forwards as a gateway to a target of its
// failure domain.
type forwarded struct {
	request RequestID
	attempt AttemptID
	target  *targetState
	sent    clock.Time
	terms   LimitTerms // under which it was placed
}

// forward sends a request of another entry VM to the target at which it was
// placed. If the target is unknown here, the request is returned: its own VM may
// know another target.
func (r *Reducer) forward(now clock.Time, ev *ForwardRequest) {
	t, ok := r.targets[ev.Target]
	if !ok || ev.TimeLeft <= 0 {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: ev.Request, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway,
		})
		return
	}
	if !t.availability.Available() {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: ev.Request, Verdict: verdict.NotRun, Reason: verdict.ReasonUnavailable, Notice: t.availability.Notice(now),
		})
		return
	}
	if !r.respectsLimit(now, t, ev.Terms) {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: ev.Request, Verdict: verdict.NotRun, Reason: verdict.ReasonUnavailable, Limit: t.statedLimit(now),
		})
		return
	}
	r.nextAttempt++
	f := &forwarded{request: ev.Request, attempt: r.nextAttempt, target: t, sent: now, terms: ev.Terms}
	r.forwards[f.request] = f
	r.forwardsByAttempt[f.attempt] = f
	t.countLimitedSend()
	r.out.Sends = append(r.out.Sends, Send{
		Attempt: f.attempt, Request: f.request, Target: t.ID, StartedAt: t.StartedAt, Domain: t.Domain, Addr: t.Addr,
		TimeLeft: ev.TimeLeft, ConnectTimeout: r.connectTimeout(t),
	})
	r.timers.add(timer{at: now.Add(ev.TimeLeft + answerMargin), purpose: dueForward, request: f.request})
}

// forwardAnswered returns the answer to a forwarded request. Its own entry VM
// evaluates it, except for the target's rate limit, which binds this VM as well.
func (r *Reducer) forwardAnswered(now clock.Time, ev *Answered) {
	if f, ok := r.forwardsByAttempt[ev.Attempt]; ok {
		r.removeForward(f)
		if ev.ConnectTime > 0 {
			r.linkOpened(now, f.sent.Add(ev.ConnectTime))
		}
		r.applyLimit(now, f.target, &Report{Result: resultByOutcome[ev.Outcome], Limit: ev.Limit, Took: now.Sub(f.sent)})
		r.out.Delivers = append(r.out.Delivers, Deliver{Request: f.request, Attempt: f.attempt})
	}
}

// forwardFailed returns the failure of a forwarded request.
func (r *Reducer) forwardFailed(now clock.Time, ev *Failed) {
	f, ok := r.forwardsByAttempt[ev.Attempt]
	if !ok {
		return
	}
	r.removeForward(f)
	if ev.Reason == verdict.ReasonConnect {
		r.linkFailed(now, f.sent)
	}
	refusal := Refusal{Request: f.request, Verdict: ev.Verdict, Reason: ev.Reason}
	if ev.Reason == verdict.ReasonUnavailable {
		refusal.Notice = f.target.availability.Notice(now)
	}
	r.out.Refusals = append(r.out.Refusals, refusal)
}

// forwardsAt returns the requests that are forwarded to t, in their order.
func (r *Reducer) forwardsAt(t *targetState) []*forwarded {
	var list []*forwarded
	for _, f := range r.forwards {
		if f.target == t {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(a, b *forwarded) int { return cmp.Compare(a.attempt, b.attempt) })
	return list
}

// forwardTimedOut gives up a forwarded request whose time is over.
func (r *Reducer) forwardTimedOut(id RequestID) {
	if f, ok := r.forwards[id]; ok {
		r.cancelForward(f)
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: f.request, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline,
		})
	}
}

// forwardAbandoned ends a forwarded request that its entry VM has given up.
func (r *Reducer) forwardAbandoned(id RequestID) {
	if f, ok := r.forwards[id]; ok {
		r.cancelForward(f)
		r.out.Abandoned = append(r.out.Abandoned, f.request)
	}
}

func (r *Reducer) cancelForward(f *forwarded) {
	r.removeForward(f)
	r.out.Cancels = append(r.out.Cancels, Cancel{Request: f.request, Attempt: f.attempt})
}

func (r *Reducer) removeForward(f *forwarded) {
	delete(r.forwards, f.request)
	delete(r.forwardsByAttempt, f.attempt)
}
