package ingress

import (
	"cmp"
	"maps"
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

// gatewayTo returns the entry VM that is to forward q to t, "" if it is sent directly.
func (r *Reducer) gatewayTo(now clock.Time, q *request, t *targetState) fleet.VMID {
	detour := r.needsDetour()
	if !r.on(Gateways) || (r.isLocal(t) && !detour) {
		return ""
	}
	if id := r.availableGateway(now, t.Domain); id != "" || !detour {
		return id
	}
	return r.detourTo(now, q)
}

// availableGateway returns a gateway of a failure domain that is not silent, "" if there
// is none.
func (r *Reducer) availableGateway(now clock.Time, d fleet.Domain) fleet.VMID {
	order := r.gatewaysOf(d)
	for _, id := range order[:min(len(order), maxStandby)] {
		if r.isAvailable(now, id) {
			return id
		}
	}
	return ""
}

// gatewaysOf returns the other strong VMs of a failure domain that forward requests, in
// the order in which this VM uses them. The order differs between VMs: each keeps
// few connections to one gateway, and the gateways share the requests.
func (r *Reducer) gatewaysOf(d fleet.Domain) []fleet.VMID {
	order, cached := r.gateways[d]
	if cached {
		return order
	}
	forwarders := r.strongMatching(func(m *fleet.VM) bool { return m.Domain == d && m.GatewayAddr != "" && m.ID != r.opts.Self })
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
		Unused:         q.needsUnused(now, t),
		ConnectTimeout: connectTimeout(r.rttOfSend(a)),
		KeepSpare:      !r.isLocal(t) && r.on(SpareConnections),
		Account:        q.account, KeepCredentials: !r.table.Config.RequiresKeys(), Hedge: a.hedge,
	})
	if a.gateway == "" {
		t.countLimitedSend()
		return
	}
	if r.isLocal(t) {
		r.links.detours++
	}
	r.startProbe(a.gateway, probeID(a.id))
	wait := gatewayMargin + time.Duration(gatewayRTTs*r.rttOfSend(a))
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
	if !r.mayHedge(now, q) {
		return
	}
	r.replaceHedgeSearch(now, q)
	if q.svc.retryBudget.spendForHedge(r.retryLimit()) {
		r.findTarget(now, q)
	}
}

// resend sends an attempt that has not run to the same target once more, through
// another gateway or directly.
func (r *Reducer) resend(now clock.Time, a *attempt, gateway fleet.VMID) {
	delete(r.attempts, a.id)
	r.nextAttempt++
	a.id, a.gateway, a.accepted = r.nextAttempt, gateway, false
	r.attempts[a.id] = a
	r.emitSend(now, a)
}

// gatewayFailed handles a failure between this VM and the gateway of a, which says
// nothing about the target. A request that did not reach the gateway, or that the
// gateway could not send as its own links are down, is sent to the same target directly,
// or through another gateway if this VM reaches no target itself.
func (r *Reducer) gatewayFailed(now clock.Time, a *attempt, v verdict.Verdict) {
	r.markSilent(now, a.gateway)
	if v == verdict.NotRun && (!a.target.availability.Available() || !r.respectsLimit(now, a.target, a.terms)) {
		r.endAttempt(now, a, &Report{Result: ResultNotSent})
		r.targetNotReached(now, a.req, verdict.ReasonUnavailable)
		return
	}
	if v == verdict.NotRun && now.Before(a.req.deadline) {
		next := fleet.VMID("")
		if r.needsDetour() {
			next = r.gatewayTo(now, a.req, a.target)
		}
		r.resend(now, a, next)
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
// know another target. A request that was held up on its way until its VM must have given it
// up is returned too, and one for a target that must not get any: this VM may know that
// sooner.
func (r *Reducer) forward(now clock.Time, ev *ForwardRequest) {
	left, heldUp := ev.TimeLeft, time.Duration(0)
	if ev.Clock != "" {
		heldUp = r.transits.HeldUp(now, ev.Clock, ev.Distance)
		left -= heldUp
	}
	t, ok := r.targets[ev.Target]
	if !ok || left <= 0 || r.linksDown() || r.stopping {
		refusal := Refusal{Request: ev.Request, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway}
		if left <= 0 {
			refusal.HeldUp = heldUp
		}
		r.out.Refusals = append(r.out.Refusals, refusal)
		return
	}
	if t.Draining || r.evacuated[t.Domain] {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: ev.Request, Verdict: verdict.NotRun, Reason: verdict.ReasonUnavailable,
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
		TimeLeft: left, ConnectTimeout: connectTimeout(r.rtt(t.region)), Unused: ev.Unused,
	})
	r.timers.add(timer{at: now.Add(left + answerMargin), purpose: dueForward, request: f.request})
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
	refusal := Refusal{Request: f.request, Verdict: ev.Verdict, Reason: ev.Reason}
	switch ev.Reason {
	case verdict.ReasonUnavailable:
		refusal.Notice = f.target.availability.Notice(now)
	case verdict.ReasonConnect:
		r.linkFailed(now, f.sent, f.target)
		if r.linksDown() {
			refusal.Reason = verdict.ReasonGateway // it says nothing about the target
		}
	}
	r.out.Refusals = append(r.out.Refusals, refusal)
}

// forwardsAt returns the requests that are forwarded to t, in their order.
func (r *Reducer) forwardsAt(t *targetState) []*forwarded {
	return slices.DeleteFunc(r.sortedForwards(), func(f *forwarded) bool { return f.target != t })
}

// sortedForwards returns the forwarded requests in their order.
func (r *Reducer) sortedForwards() []*forwarded {
	list := slices.Collect(maps.Values(r.forwards))
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
