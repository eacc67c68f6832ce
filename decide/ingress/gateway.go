package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Opening a connection to a target of another region takes two crossings, and
// with a thousand targets there an entry VM seldom has one open to the target
// that it needs. So a request for another region is carried by an entry VM of
// the target's failure domain, its gateway: connections between entry VMs stay
// open, and from the gateway a connection takes a millisecond.
//
// A gateway chooses nothing. The request's own entry VM has its target, its
// deadline and its repeats; the gateway sends it there once and passes on the
// answer, or the verdict of the failure.

const (
	// gatewayTrips and gatewayMargin are how long a gateway may take to say that
	// it has a request: a connection to it may have to be opened first.
	gatewayTrips  = 2
	gatewayMargin = 100 * time.Millisecond
)

// gatewayTo returns the entry VM that is to carry a request to t, "" if it is
// sent from here.
func (r *Reducer) gatewayTo(now clock.Time, t *targetState) fleet.VMID {
	if r.here(t) || !r.on(Gateways) {
		return ""
	}
	line := r.gatewaysOf(t.Domain)
	for _, id := range line[:min(len(line), mostAsked)] {
		if r.askable(now, id) {
			return id
		}
	}
	return ""
}

// gatewaysOf returns the strong VMs of a failure domain that carry requests, in
// the order in which this VM uses them. Each VM has its own order: it keeps few
// connections to one gateway, and the gateways share the requests.
func (r *Reducer) gatewaysOf(d fleet.Domain) []fleet.VMID {
	line, kept := r.gateways[d]
	if kept {
		return line
	}
	carry := r.strongAmong(func(m *fleet.VM) bool { return m.Domain == d && m.GatewayAddr != "" })
	line = rank.Order(string(r.opts.Self), carry)
	r.gateways[d] = line
	return line
}

// sendOut asks for a to be sent.
func (r *Reducer) sendOut(now clock.Time, a *attempt) {
	q, t := a.req, a.target
	r.out.Sends = append(r.out.Sends, Send{
		Attempt: a.id, Request: q.id, Target: t.ID, Domain: t.Domain, Addr: t.Addr, Gateway: a.gateway,
		Left:    q.due.Sub(now),
		Connect: r.connectBound(t),
		Spare:   !r.here(t) && r.on(SpareConnections),
	})
	if a.gateway == "" {
		return
	}
	r.noteAsk(a.gateway, askNumber(a.id))
	wait := gatewayMargin + time.Duration(gatewayTrips*r.trip(t.region))
	r.timers.add(timer{at: now.Add(wait), purpose: dueGateway, request: q.id, attempt: a.id})
}

// received notes that the gateway of an attempt has the request.
func (r *Reducer) received(id AttemptID) {
	if a, ok := r.attempts[id]; ok && a.gateway != "" {
		a.received = true
		r.noteHeard(a.gateway)
	}
}

// gatewayDue goes on after a gateway that has not said that it has a request. An
// idempotent one is sent a second time; another one may be on its way.
func (r *Reducer) gatewayDue(now clock.Time, q *request, id AttemptID) {
	a, ok := r.attempts[id]
	if !ok || a.gateway == "" || a.received {
		return
	}
	if s, known := r.silent[a.gateway]; !known || s.probe == askNumber(a.id) {
		r.out.Silent = append(r.out.Silent, a.gateway) // once for all that wait for it
	}
	r.noteSilent(now, a.gateway)
	if r.mayHedge(now, q) && q.svc.repeats.spendSpare(r.repeatLimit()) {
		r.obtain(now, q)
	}
}

// gatewayFailed goes on after a failure between here and the gateway of a, which
// says nothing of the target. A request that never got as far as the gateway is
// sent to the same target from here.
func (r *Reducer) gatewayFailed(now clock.Time, a *attempt, v verdict.Verdict) {
	r.noteSilent(now, a.gateway)
	if v == verdict.NotRun && now.Before(a.req.due) {
		delete(r.attempts, a.id)
		r.nextAttempt++
		a.id, a.gateway = r.nextAttempt, ""
		r.attempts[a.id] = a
		r.sendOut(now, a)
		return
	}
	r.endAttempt(now, a, &Report{Result: ResultUnknown})
	if v == verdict.NotRun {
		r.notRun(now, a.req, verdict.ReasonGateway)
	} else {
		r.ran(now, a.req, verdict.ReasonGateway)
	}
}

// carried is a request that this VM carries to a target of its failure domain.
type carried struct {
	request RequestID
	attempt AttemptID
}

// carry sends a request of another entry VM to the target that it was placed at.
// One for a target that is not known here goes back: its own VM may know more.
func (r *Reducer) carry(now clock.Time, ev *Carry) {
	t, ok := r.targets[ev.Target]
	if !ok || ev.Left <= 0 {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: ev.Request, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway,
		})
		return
	}
	r.nextAttempt++
	c := &carried{request: ev.Request, attempt: r.nextAttempt}
	r.carries[c.request] = c
	r.carriesBy[c.attempt] = c
	r.out.Sends = append(r.out.Sends, Send{
		Attempt: c.attempt, Request: c.request, Target: t.ID, Domain: t.Domain, Addr: t.Addr,
		Left: ev.Left, Connect: r.connectBound(t),
	})
	r.timers.add(timer{at: now.Add(ev.Left + answerMargin), purpose: dueCarried, request: c.request})
}

// carriedAnswered passes on the answer to a carried request, whatever it says:
// its own entry VM judges it.
func (r *Reducer) carriedAnswered(ev *Answered) {
	if c, ok := r.carriesBy[ev.Attempt]; ok {
		r.dropCarried(c)
		r.out.Delivers = append(r.out.Delivers, Deliver{Request: c.request, Attempt: c.attempt})
	}
}

// carriedFailed passes on the failure of a carried request.
func (r *Reducer) carriedFailed(ev *Failed) {
	if c, ok := r.carriesBy[ev.Attempt]; ok {
		r.dropCarried(c)
		r.out.Refusals = append(r.out.Refusals, Refusal{Request: c.request, Verdict: ev.Verdict, Reason: ev.Reason})
	}
}

// carriedDue gives up a carried request whose time is over.
func (r *Reducer) carriedDue(id RequestID) {
	if c, ok := r.carries[id]; ok {
		r.cancelCarried(c)
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: c.request, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline,
		})
	}
}

// carriedGone ends a carried request that its entry VM has given up.
func (r *Reducer) carriedGone(id RequestID) {
	if c, ok := r.carries[id]; ok {
		r.cancelCarried(c)
		r.out.Dropped = append(r.out.Dropped, c.request)
	}
}

func (r *Reducer) cancelCarried(c *carried) {
	r.dropCarried(c)
	r.out.Cancels = append(r.out.Cancels, Cancel{Request: c.request, Attempt: c.attempt})
}

func (r *Reducer) dropCarried(c *carried) {
	delete(r.carries, c.request)
	delete(r.carriesBy, c.attempt)
}
