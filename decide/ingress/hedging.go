package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/target"
	"github.com/azurethread/azurethread/decide/verdict"
)

// A request that is slow for its class is sent a second time to save time (package
// hedge). The VM that sends decides when, because it measures the answers and holds the
// limits. The VM that placed the first send decides where, because only it knows where
// the object is warm and which slots are free; any other VM places no second send.

// hedgeClass is the class of work in package hedge.
func hedgeClass(c workClass) hedge.Class {
	return [workClasses]hedge.Class{objectWarm: hedge.Warm, objectCold: hedge.Cold, objectNone: hedge.NoObject}[c]
}

// classOfGrant returns the class of a send that a coordinator granted.
func classOfGrant(q *request, cold bool) hedge.Class {
	switch {
	case q.object == "":
		return hedge.NoObject
	case cold:
		return hedge.Cold
	default:
		return hedge.Warm
	}
}

// reportWork tells the VM whose request j is that the object is cold at the granted
// target. The VM can't know it, and would take a cold run for a slow warm one.
func (r *Reducer) reportWork(j *job) {
	if j.svc.hedges != nil && j.class == objectCold {
		r.sendMessage(j.key.vm, &GrantWork{ID: j.key.id, Cold: true})
	}
}

// searchesHedge reports whether the search under way for q is for a second send that
// saves time.
func (q *request) searchesHedge() bool {
	return (q.job != nil && q.job.within > 0) || (q.pending != nil && q.pending.within > 0)
}

// noteSlowAt records when a is slow for its class, if q may be sent a second time.
func (r *Reducer) noteSlowAt(now clock.Time, q *request, a *attempt) {
	if q.svc.hedges == nil || !r.on(Hedging) || q.hedged || q.bytes > largeBody {
		return
	}
	if delay, ok := q.svc.hedges.Delay(r.sendOf(now, a)); ok {
		a.slowAt = now.Add(delay)
	}
}

// sendOf describes a for package hedge.
func (r *Reducer) sendOf(now clock.Time, a *attempt) hedge.Send {
	return hedge.Send{
		Route: a.req.route.Name, Class: a.class, Objective: a.req.arrived.Add(a.req.aim()).Sub(a.sent),
		Pace: a.target.speed.At(now, float64(referenceSpeed)) / float64(referenceSpeed) * a.target.pace.Factor(now),
	}
}

// scheduleSecondSend sets the timer for the second send of q if its only send will be
// slow for its class later.
func (r *Reducer) scheduleSecondSend(now clock.Time, q *request) {
	if len(q.running) == 1 && q.running[0].slowAt.After(now) && !q.hedged {
		r.timers.add(timer{at: q.running[0].slowAt, request: q.id, purpose: dueSecondSend})
	}
}

// secondSendDue sends q a second time if its send is slow for its class, and sets the
// timer for a silent target, which is due at once if this VM was stalled.
func (r *Reducer) secondSendDue(now clock.Time, q *request) {
	for _, a := range q.running {
		if a.silentAt != 0 && !a.slowAt.After(now) {
			r.timers.add(timer{at: a.silentAt, request: q.id, purpose: dueHedge})
			a.silentAt = 0
		}
	}
	if len(q.running) != 1 {
		return
	}
	a := q.running[0]
	if a.slowAt == 0 || a.slowAt.After(now) {
		return // the timer belongs to an earlier send
	}
	a.slowAt = 0
	if !q.hedged && !q.searching() {
		r.hedgeForTime(now, q, a)
	}
}

// hedgeForTime asks for a second target for q, whose send a is slow, unless a limit
// forbids it.
func (r *Reducer) hedgeForTime(now clock.Time, q *request, a *attempt) {
	c, name := q.svc.hedges, q.route.Name
	within, useful := c.Within(r.sendOf(now, a), now.Sub(a.sent))
	to, reachable := r.hedgeCoordinator(now, q, a)
	why := hedge.None
	switch {
	case !q.mayRetry(now):
		why = hedge.Attempts
	case q.trial || !r.mayRiskTarget(now, q) || r.mayCrashTarget(now, q) || r.keyRevoked(q) || r.needsDetour():
		why = hedge.Unsafe
	case !useful:
		why = hedge.NoGain
	case !reachable:
		why = hedge.Placement
	default:
		why = c.Take(now, name)
	}
	if why != hedge.None {
		c.Withhold(now, name, why, false)
		return
	}
	if !q.svc.retryBudget.spendForHedge(r.retryLimit()) {
		c.Withhold(now, name, hedge.RetryBudget, true)
		return
	}
	r.findHedgeTarget(now, q, a, to, within)
}

// hedgeCoordinator returns the VM that places the second send of q: the one that placed
// its send a, if that still places requests of the service. "" stands for this VM.
func (r *Reducer) hedgeCoordinator(now clock.Time, q *request, a *attempt) (to fleet.VMID, ok bool) {
	to = r.activeCoordinator(now, q.svc.name)
	if to == r.opts.Self || !r.on(Coordinators) {
		return "", a.job != nil
	}
	_, silent := r.silent[to]
	return to, to != "" && a.coordinator == to && !silent
}

// findHedgeTarget starts the search for a second target. It doesn't wait for one.
func (r *Reducer) findHedgeTarget(now clock.Time, q *request, a *attempt, to fleet.VMID, within time.Duration) {
	p := r.placementRequest(now, q)
	p.MaxWait = 0
	if to == "" {
		j := r.newJob(now, jobKey{vm: r.opts.Self, id: p.ID}, p)
		j.req, j.within = q, within
		q.job = j
		r.placeHedge(now, j)
		return
	}
	q.pending = &pendingPlacement{request: p, coordinator: to, within: within}
	r.placements[p.ID] = q
	r.sendMessage(to, &HedgeRequest{First: a.placement, Account: q.account, Within: within, Request: p})
	r.timers.add(timer{at: now.Add(placementTimeout), purpose: duePlacement, request: q.id, placement: p.ID})
}

// handleHedgeGrant sends q a second time to the target that the coordinator granted. A
// grant that this VM can't use is returned, and the first send goes on alone.
func (r *Reducer) handleHedgeGrant(now clock.Time, q *request, from fleet.VMID, m *Grant) {
	t, known := r.targets[m.Target]
	terms := q.pending.terms
	usable := known && !t.Draining && !r.evacuated[t.Domain] && t.availability.Available() && r.respectsLimit(now, t, terms)
	if usable && q.mayRetry(now) && !r.keyRevoked(q) {
		r.sendGranted(now, q, from, m.ID, t, terms)
		return
	}
	r.sendMessage(from, &Report{ID: m.ID, Result: ResultNotSent})
	delete(r.placements, m.ID)
	q.pending = nil
	r.hedgeDenied(now, q, verdict.ReasonNoTarget)
}

// hedgeDenied continues with the first send of q alone, after the search for a second
// target has ended.
func (r *Reducer) hedgeDenied(now clock.Time, q *request, reason verdict.Reason) {
	q.job = nil
	why := hedge.NoTarget
	switch reason {
	case verdict.ReasonOverload:
		why = hedge.Crowded
	case verdict.ReasonOverQuota:
		why = hedge.OverQuota
	}
	r.returnHedge(now, q, why)
}

// returnHedge returns what was taken for a second send that was not sent.
func (r *Reducer) returnHedge(now clock.Time, q *request, why hedge.Withheld) {
	q.svc.hedges.Withhold(now, q.route.Name, why, true)
	q.svc.retryBudget.earn(1, r.retryLimit())
}

// dropHedgeSearch ends the search for a second target for q.
func (r *Reducer) dropHedgeSearch(now clock.Time, q *request, why hedge.Withheld) {
	r.cancelPlacement(q)
	if q.job != nil {
		j := q.job
		q.job = nil
		r.withdraw(now, j)
	}
	r.returnHedge(now, q, why)
}

// replaceHedgeSearch ends a search for a second target for q before one by the wider rules
// for a silent target or gateway begins.
func (r *Reducer) replaceHedgeSearch(now clock.Time, q *request) {
	if q.searchesHedge() {
		r.dropHedgeSearch(now, q, hedge.Ended)
	}
}

// recordHedge records the result of q's second send, and of the first one that is
// cancelled after it.
func (r *Reducer) recordHedge(now clock.Time, q *request) {
	if !q.hedged {
		return
	}
	q.svc.hedges.Result(q.route.Name, q.hedgeWon)
	if !q.hedgeWon {
		return
	}
	for _, a := range q.running {
		q.svc.hedges.Observe(q.route.Name, a.class, now.Sub(a.sent))
	}
}

// hedgeRequested places the second send of a request of another VM. It is denied if this
// VM has not placed the first one: it would know neither where the object is warm nor
// which slots are free.
func (r *Reducer) hedgeRequested(now clock.Time, from fleet.VMID, m *HedgeRequest) {
	r.mergeLimits(now, m.Request.Limits)
	first, ok := r.jobs[jobKey{vm: from, id: m.First}]
	if !ok || first.state != jobPlaced || m.Within <= 0 || first.Service != m.Request.Service {
		r.sendMessage(from, &Deny{ID: m.Request.ID, Reason: verdict.ReasonNoTarget})
		return
	}
	p := m.Request
	p.Account = m.Account
	j := r.newJob(now, jobKey{vm: from, id: p.ID}, p)
	j.within = m.Within
	r.placeHedge(now, j)
}

// placeHedge places a second send that saves time at a target of the own region with a
// free slot, where j's object is warm, or which needs none, and from which an answer is
// expected within j.within. The free slots of other regions are not known here. A second
// send takes nothing that a first send may need: it doesn't wait, and it is denied if
// fewer than minHeadroom of the region's slots are free, if the account's tokens are
// short, or if it would change the share of requests that run in other regions too fast.
func (r *Reducer) placeHedge(now clock.Time, j *job) {
	share := &j.svc.share
	counts := share.known && share.maxChange > 0 && !j.isFixed()
	if r.lacksHeadroom(now, j.svc) || (counts && !share.mayCross(now, false, true)) {
		r.denyFor(now, j, verdict.ReasonOverload, 0)
		return
	}
	t := r.hedgeTarget(now, j)
	switch {
	case t == nil:
		r.denyFor(now, j, verdict.ReasonNoTarget, 0)
	case !r.admitHedge(now, j):
		r.denyFor(now, j, verdict.ReasonOverQuota, 0)
	default:
		j.hadChoice = counts
		r.grant(now, j, t)
	}
}

// hedgeTarget returns the target from which j's answer is expected first, nil if there is
// none.
func (r *Reducer) hedgeTarget(now clock.Time, j *job) *targetState {
	best, least := (*targetState)(nil), float64(j.within)
	consider := func(t *targetState) {
		free := r.isLocal(t) && t.listed && !t.cold(now) && t.standing.State() == target.InUse && t.load(now) < t.Slots
		if !free || !r.eligible(now, j, t, false) {
			return
		}
		cost := r.cost(now, j, t)
		if cost < least || (cost == least && (best == nil || t.ID < best.ID)) {
			best, least = t, cost
		}
	}
	if j.obj == nil {
		for _, t := range j.svc.targets {
			consider(t)
		}
		return best
	}
	for i := range j.obj.warm {
		if w := &j.obj.warm[i]; w.isValid(now) {
			consider(w.target)
		}
	}
	return best
}

// admitHedge charges j to its account if no request waits for a token and half of what
// this VM may save up stays for first sends. It is no demand of the account.
func (r *Reducer) admitHedge(now clock.Time, j *job) bool {
	if j.Account == "" || !r.on(Quotas) {
		return true
	}
	a, known := r.limitedAccount(j.Account)
	if a == nil {
		return known
	}
	s := r.accountStateOf(now, a)
	if s.anyWaiting() || s.bucket.Tokens(now) < 1+r.ownBudget(a).Depth/2 || !s.bucket.Take(now, 1) {
		return false
	}
	s.charge(now, j)
	return true
}

// dropHedgesOfRemovedRoutes drops what is known of routes that a new configuration no
// longer has.
func (r *Reducer) dropHedgesOfRemovedRoutes() {
	if !r.opts.Hedge.Enabled() {
		return
	}
	for _, s := range r.services {
		s.hedges.Retain(func(name string) bool { return r.table.Route(name) != nil })
	}
}

// Hedges returns the counts of second sends that save time, by service.
func (r *Reducer) Hedges() map[fleet.ServiceName]hedge.Counts {
	out := make(map[fleet.ServiceName]hedge.Counts)
	for name, s := range r.services {
		if s.hedges != nil {
			out[name] = s.hedges.Counts()
		}
	}
	return out
}
