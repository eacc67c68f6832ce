package ingress

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// request is a request of a caller until its final answer.
type request struct {
	id     RequestID
	route  *route.Route
	svc    *service
	object string
	bytes  int // of the body
	// account is the client account whose key the request presents, "" if none is
	// needed; key is that key. priority and allowedRegions result from the route and
	// the account.
	account        route.AccountName
	key            *route.KeyDigest
	priority       int
	allowedRegions []fleet.Region
	arrived        clock.Time
	deadline       clock.Time // when its final answer is due

	sends int // except those that did not reach their targets
	// notReached counts the sends that did not reach their targets.
	notReached int
	// returnedGrants counts the granted targets that were returned to coordinators.
	returnedGrants int
	running        []*attempt
	tried          []fleet.TargetID
	verdict        verdict.Verdict // joined over all attempts that have ended
	reason         verdict.Reason  // of the last attempt
	freeAfter      time.Duration   // until there may be a target for it; 0: unknown
	// fingerprint identifies its content.
	fingerprint quarantine.Fingerprint
	// lostConnections is the number of sends that ended with their connection.
	// trial means that the request is let through although its fingerprint is in
	// quarantine.
	lostConnections int
	lostAt          clock.Time   // when the last of them ended
	lostTarget      *targetState // its target
	trial           bool
	trialCounted    bool              // the trial was recorded
	job             *job              // its search for a target on this VM
	pending         *pendingPlacement // its search for a target at a coordinator
	// hedged means that it was sent a second time to save time, and hedgeWon that this
	// send was answered first.
	hedged, hedgeWon bool
}

// attempt is one send of a request.
type attempt struct {
	id          AttemptID
	req         *request
	target      *targetState
	sent        clock.Time
	job         *job       // its place, if granted by this entry VM
	coordinator fleet.VMID // that granted the place for placement, if another VM did
	placement   PlacementID
	// gateway is the VM that forwards the attempt; "": it is sent directly.
	// accepted means that the gateway has acknowledged it.
	gateway  fleet.VMID
	accepted bool
	terms    LimitTerms // under which it was placed
	// hedge means that it is a second send that saves time. Otherwise it is slow for its
	// class from slowAt on; 0: that is not known, or was handled.
	hedge  bool
	class  hedge.Class
	slowAt clock.Time
	// silentAt is when its target is checked for silence, if the timer for that is to be
	// set when a is slow; 0 otherwise.
	silentAt clock.Time
}

// aim is the latency within which the answer has its full value.
func (q *request) aim() time.Duration {
	if q.route.Aim > 0 {
		return q.route.Aim
	}
	return defaultAim
}

// isLarge reports whether q or its answer is expensive to send to another region.
func (r *Reducer) isLarge(q *request) bool {
	return q.route.LargeAnswers || (r.on(LargeBodies) && q.bytes > largeBody)
}

// arrive handles a new request of a caller.
func (r *Reducer) arrive(now clock.Time, ev *Arrive) {
	r.callerRate.count(now)
	if r.stopping {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: ev.Request, Verdict: verdict.NotRun,
			Reason: verdict.ReasonStopping, RetryAfter: stoppingRetryAfter,
		})
		return
	}
	if r.table == nil {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: ev.Request, Verdict: verdict.NotRun,
			Reason: verdict.ReasonNotReady, RetryAfter: noConfigRetryAfter,
		})
		return
	}
	rt := r.table.Match(ev.Host, ev.Path)
	if rt == nil {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: ev.Request, Verdict: verdict.NotRun,
			Reason: verdict.ReasonUnknownService,
		})
		return
	}
	if rt.Disabled {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: ev.Request, Verdict: verdict.NotRun,
			Reason: verdict.ReasonRouteDefect, RetryAfter: defaultAim,
		})
		return
	}
	q := &request{
		id: ev.Request, route: rt, object: ev.Object, bytes: ev.Bytes, arrived: now,
		verdict: verdict.NotRun, fingerprint: ev.Fingerprint,
	}
	if reason, ok := r.applyAccount(now, q, ev.Key); !ok {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: q.id, Verdict: verdict.NotRun, Reason: reason, Account: q.account, RetryAfter: accountRetryAfter(reason),
		})
		return
	}
	q.svc = r.serviceOf(r.pickService(rt))
	if wait, refused := r.quarantineDelay(now, q); refused {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: q.id, Verdict: verdict.NotRun, Reason: verdict.ReasonQuarantined, RetryAfter: wait,
		})
		return
	}
	q.deadline = now.Add(requestTimeout(rt, ev.Timeout))
	r.requests[q.id] = q
	r.timers.add(timer{at: q.deadline, request: q.id, purpose: dueAnswer})
	q.svc.retryBudget.earn(r.opts.Bounds.RetryRatio*retryBudgetShare, r.retryLimit())
	if q.svc.hedges != nil {
		q.svc.hedges.Accepted()
	}
	r.findTarget(now, q)
}

// requestTimeout returns the total time allowed for a request.
func requestTimeout(rt *route.Route, stated time.Duration) time.Duration {
	switch {
	case stated > 0 && rt.Timeout > 0:
		return min(stated, rt.Timeout)
	case stated > 0:
		return stated
	case rt.Timeout > 0:
		return rt.Timeout
	default:
		return defaultTimeout
	}
}

func (r *Reducer) pickService(rt *route.Route) fleet.ServiceName {
	s, ok := r.splits[rt.Name]
	if !ok {
		s = new(route.Split)
		r.splits[rt.Name] = s
	}
	return s.Next(rt.Parts)
}

// retryLimit is this VM's part of the fixed allowance of retries.
func (r *Reducer) retryLimit() float64 {
	return r.opts.Bounds.RetrySlack * retryBudgetShare / float64(max(len(r.members), 1))
}

// waitDeadline returns the time until which q may wait for a target.
func (r *Reducer) waitDeadline(q *request) clock.Time {
	return clock.Min(q.arrived.Add(time.Duration(maxWaitShare*float64(q.aim()))), q.deadline)
}

// sendTo sends q to t, where it was placed under the given terms. j is its place there;
// nil if a coordinator granted it. second means that it is a second send that saves time.
func (r *Reducer) sendTo(now clock.Time, q *request, j *job, t *targetState, terms LimitTerms, class hedge.Class, second bool) {
	r.nextAttempt++
	a := &attempt{id: r.nextAttempt, req: q, target: t, sent: now, job: j, gateway: r.gatewayTo(now, q, t), terms: terms, class: class, hedge: second}
	q.job = nil
	q.sends++
	q.running = append(q.running, a)
	q.tried = append(q.tried, t.ID)
	r.attempts[a.id] = a
	r.emitSend(now, a)
	if second {
		q.hedged = true
		q.svc.hedges.Sent()
	}
	if q.route.Idempotent && q.mayRetry(now) {
		silent := now.Add(r.hedgeDelay(q.svc))
		r.noteSlowAt(now, q, a)
		if len(q.running) == 1 && a.slowAt != 0 && a.slowAt.Before(silent) {
			a.silentAt = silent
			r.scheduleSecondSend(now, q)
			return
		}
		r.timers.add(timer{at: silent, request: q.id, purpose: dueHedge})
	}
}

// connectTimeout is the timeout for opening a connection to an end with the given
// round-trip time in ns.
func connectTimeout(rtt float64) time.Duration {
	return minConnectTimeout + time.Duration(connectTimeoutRTTs*rtt)
}

// placementDenied handles a search that found no target. freeAfter is the expected
// time until there is one.
func (r *Reducer) placementDenied(now clock.Time, q *request, reason verdict.Reason, freeAfter time.Duration) {
	if q.searchesHedge() {
		r.hedgeDenied(now, q, reason)
		return
	}
	q.job = nil
	q.freeAfter = freeAfter
	if len(q.running) > 0 {
		return // a hedge; the first send is still running
	}
	if q.reason == verdict.ReasonNone || (reason == verdict.ReasonUnavailable && q.verdict == verdict.NotRun) {
		q.reason = reason
	}
	r.refuse(now, q)
}

// hedgeDelay returns how long an idempotent request may be unanswered before it is
// sent a second time.
func (r *Reducer) hedgeDelay(s *service) time.Duration {
	return max(minHedgeDelay, 2*s.latency.P95())
}

// hedge sends q a second time if its target has answered no request since the
// first send: the target may be down without having closed its connections.
func (r *Reducer) hedge(now clock.Time, q *request) {
	if !r.mayHedge(now, q) {
		return
	}
	a := q.running[0]
	direct := a.gateway == ""
	cut := direct && r.linksDown() // then answers to other VMs say nothing of this request
	if a.target.answeredAt.After(a.sent) && !cut {
		return
	}
	r.replaceHedgeSearch(now, q)
	if !q.svc.retryBudget.spendForHedge(r.retryLimit()) {
		return
	}
	if (direct && !cut) || a.accepted {
		r.handleUnreachable(now, a.target)
	}
	r.findTarget(now, q)
}

// mayHedge reports whether q may be sent a second time while its first send is
// running. A search for a second send that only saves time does not count: it may end
// without a send, and the check is not repeated.
func (r *Reducer) mayHedge(now clock.Time, q *request) bool {
	return r.on(Hedging) && q.route.Idempotent && len(q.running) == 1 && (!q.searching() || q.searchesHedge()) &&
		q.mayRetry(now) && r.mayRiskTarget(now, q) && !r.keyRevoked(q)
}

// searching reports whether a search for a target is under way for q. A second
// concurrent search could end q twice or send it twice at once.
func (q *request) searching() bool { return q.job != nil || q.pending != nil }

// mayRetry reports whether q has attempts and time left for another send.
func (q *request) mayRetry(now clock.Time) bool {
	return q.sends < q.route.Attempts && now.Before(q.deadline)
}

// retryRequest sends q again if the verdict of the ended attempt allows it, and
// refuses q otherwise.
func (r *Reducer) retryRequest(now clock.Time, q *request) {
	if len(q.running) > 0 || q.searching() {
		return // another attempt or search is still running
	}
	allowed := q.verdict.MayRepeat(q.route.Idempotent) && q.mayRetry(now) && r.mayRiskTarget(now, q) && !r.keyRevoked(q)
	if !allowed || !q.svc.retryBudget.spend() {
		r.refuseOnceProved(now, q)
		return
	}
	r.findTarget(now, q)
}

// deadlinePassed ends q at its deadline. The target's own time limit has passed
// too; its answer may be on its way and is awaited a little longer.
func (r *Reducer) deadlinePassed(now clock.Time, q *request) {
	if len(q.running) > 0 && now.Before(q.deadline.Add(answerMargin)) {
		r.cancelSearch(now, q) // a second target would have no time left
		r.timers.add(timer{at: q.deadline.Add(answerMargin), request: q.id, purpose: dueAnswer})
		return
	}
	q.reason = verdict.ReasonDeadline
	if len(q.running) > 0 {
		q.verdict = verdict.MayHaveRun
	}
	r.refuse(now, q)
}

// refuse reports to q's caller that there will be no answer.
func (r *Reducer) refuse(now clock.Time, q *request) {
	f := Refusal{Request: q.id, Verdict: q.verdict, Reason: q.reason, Account: q.account}
	switch {
	case q.reason == verdict.ReasonUnproved && q.route.Idempotent:
		f.RetryAfter = r.retryAfter(q)
	case q.verdict != verdict.NotRun || isPermanent(q.reason):
	case q.reason == verdict.ReasonOverQuota:
		f.RetryAfter = q.freeAfter
	case q.reason == verdict.ReasonUnavailable && q.freeAfter > 0:
		// The targets' own statements, and then as they are used again step by step.
		f.RetryAfter = q.freeAfter + time.Duration(maxRetryAfter*float64(q.aim())*r.rng.Float64())
	default:
		f.RetryAfter = r.retryAfter(q)
	}
	r.out.Refusals = append(r.out.Refusals, f)
	r.finish(now, q)
}

// retryAfter returns when the caller of a refused request should retry: when a
// target is expected to have room, plus a random delay of up to the same length, so
// that the retries of callers refused together are spread over the time in which
// room becomes free.
func (r *Reducer) retryAfter(q *request) time.Duration {
	aim := float64(q.aim())
	if free := float64(q.freeAfter); r.opts.Admission && q.reason == verdict.ReasonOverload && free > 0 && free < maxRetryAfter*aim {
		return time.Duration(max(free, minRetryAfter*aim)) // the coordinator has spread the returns
	}
	delay := min(max(float64(q.freeAfter), minRetryAfter*aim), maxRetryAfter*aim)
	return time.Duration(delay * (1 + r.rng.Float64()))
}

// finish removes q and cancels its remaining search and attempts.
func (r *Reducer) finish(now clock.Time, q *request) {
	delete(r.requests, q.id)
	delete(r.awaitingProof, q)
	r.cancelSearch(now, q)
	r.recordHedge(now, q)
	if len(q.running) > 0 {
		r.countTrial(now, q)
	}
	for _, a := range slices.Clone(q.running) {
		r.out.Cancels = append(r.out.Cancels, Cancel{Request: q.id, Attempt: a.id})
		r.endAttempt(now, a, &Report{Result: ResultUnknown})
	}
}

// cancelSearch ends the search for a target for q.
func (r *Reducer) cancelSearch(now clock.Time, q *request) {
	if q.searchesHedge() {
		r.dropHedgeSearch(now, q, hedge.Ended)
		return
	}
	r.cancelPlacement(q)
	if q.job != nil {
		j := q.job
		q.job = nil
		r.withdraw(now, j)
	}
}

func (r *Reducer) callerGone(now clock.Time, ev *CallerGone) {
	q, ok := r.requests[ev.Request]
	if !ok {
		r.forwardAbandoned(ev.Request)
		return
	}
	r.out.Abandoned = append(r.out.Abandoned, q.id)
	r.finish(now, q)
}
