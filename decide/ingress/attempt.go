package ingress

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/target"
	"github.com/azurethread/azurethread/decide/verdict"
)

// endAttempt removes a and reports its result to the VM that granted its place.
func (r *Reducer) endAttempt(now clock.Time, a *attempt, rep *Report) {
	delete(r.attempts, a.id)
	r.endProbe(a.gateway, probeID(a.id))
	a.req.running = slices.DeleteFunc(a.req.running, func(o *attempt) bool { return o == a })
	switch {
	case a.job != nil && a.job.state == jobPlaced:
		r.release(now, a.job, rep)
	case a.coordinator != "":
		rep.ID = a.placement
		if rep.Load.Pace > 0 {
			r.sendMessage(a.coordinator, &TargetPace{Target: a.target.ID, StartedAt: a.target.StartedAt, Percent: rep.Load.Pace})
		}
		r.sendMessage(a.coordinator, rep)
		r.applyResult(now, a.target, rep)
	}
	if len(a.req.running) == 0 && a.req.searchesHedge() {
		r.dropHedgeSearch(now, a.req, hedge.Ended) // a retry is placed by other rules
	}
}

// answered handles a complete answer of a target.
func (r *Reducer) answered(now clock.Time, ev *Answered) {
	a, ok := r.attempts[ev.Attempt]
	if !ok {
		r.forwardAnswered(now, ev) // forwarded for another VM, or cancelled meanwhile
		return
	}
	if a.gateway != "" {
		r.markResponsive(a.gateway)
	}
	q, t := a.req, a.target
	t.answeredAt = now
	q.svc.latency.Observe(now.Sub(a.sent))
	if ev.ConnectTime > 0 && a.gateway == "" {
		r.linkOpened(now, a.sent.Add(ev.ConnectTime))
	}
	if ev.ConnectTime > 0 && (a.gateway == "" || !r.isLocal(t)) {
		r.observeRTT(t.region, ev.ConnectTime)
	}
	r.endAttempt(now, a, &Report{
		Result: resultByOutcome[ev.Outcome], Load: ev.Load, Limit: ev.Limit, Bytes: ev.Bytes,
		Took: now.Sub(a.sent), Connect: ev.ConnectionWait,
	})
	switch ev.Outcome {
	case Refused:
		t.rejectionReceived(now, ev.Named)
		r.attemptNotRun(now, q, verdict.ReasonTargetRefused)
	case Misdirected:
		r.attemptNotRun(now, q, verdict.ReasonTargetRefused)
	case InvalidAnswer:
		r.attemptMayHaveRun(now, q, verdict.ReasonAnswerCut)
	case ServerError:
		r.serverError(now, a)
	case Served:
		r.clearQuarantine(now, q.fingerprint)
		q.svc.recordLastTarget(now, q.object, t)
		if q.svc.hedges != nil {
			q.svc.hedges.Observe(q.route.Name, a.class, now.Sub(a.sent))
		}
		q.hedgeWon = a.hedge
		r.deliver(now, a)
	}
}

// resultByOutcome maps an answer's outcome to the result reported for its target.
var resultByOutcome = [...]Result{
	Served:        ResultServed,
	ServerError:   ResultFailed,
	Refused:       ResultRefused,
	Misdirected:   ResultMisdirected,
	InvalidAnswer: ResultFailed,
}

// serverError sends an idempotent request again if possible, and delivers the
// failure otherwise.
func (r *Reducer) serverError(now clock.Time, a *attempt) {
	q := a.req
	r.countTrial(now, q)
	if q.hedged && len(q.running) > 0 {
		// The other send may be answered without a failure. A second send must not
		// turn a success into a failure.
		q.verdict, q.reason = verdict.Join(q.verdict, verdict.MayHaveRun), verdict.ReasonInternal
		return
	}
	retry := q.route.Idempotent && q.mayRetry(now) && len(q.running) == 0 && !r.keyRevoked(q)
	if !retry || (!q.searching() && !q.svc.retryBudget.spend()) {
		r.deliver(now, a)
		return
	}
	q.verdict = verdict.Join(q.verdict, verdict.MayHaveRun)
	q.reason = verdict.ReasonInternal
	if !q.searching() {
		r.findTarget(now, q)
	}
}

func (r *Reducer) deliver(now clock.Time, a *attempt) {
	r.out.Delivers = append(r.out.Delivers, Deliver{Request: a.req.id, Attempt: a.id})
	r.finish(now, a.req)
}

// recordRefusal records that the target refused a request. Without a reported
// load, all slots are assumed to be taken.
func (t *targetState) recordRefusal(now clock.Time, l Load) {
	if !l.Known {
		t.otherLoad = max(t.otherLoad, t.Slots-t.inFlight)
	}
	t.reportedAt = now
}

// attemptNotRun continues after an attempt that has not run.
func (r *Reducer) attemptNotRun(now clock.Time, q *request, reason verdict.Reason) {
	q.reason = reason
	r.retryRequest(now, q)
}

// targetNotReached continues after a send that did not reach its target. This is
// neither one of the request's attempts nor a retry for the target's service, as long
// as q may still wait for a target. Otherwise a request would be refused after meeting
// a few targets that have terminated or are leaving, while others are free.
func (r *Reducer) targetNotReached(now clock.Time, q *request, reason verdict.Reason) {
	until := r.waitDeadline(q)
	if r.needsDetour() && r.detourTo(now, q) != "" {
		until = q.deadline // its time has passed on a link of this VM
	}
	if q.notReached >= maxNotReached || !now.Before(until) || len(q.running) > 0 || q.searching() {
		r.attemptNotRun(now, q, reason)
		return
	}
	q.notReached++
	q.sends--
	q.reason = reason
	if !r.mayRiskTarget(now, q) || r.keyRevoked(q) {
		r.refuse(now, q)
		return
	}
	r.findTarget(now, q)
}

// attemptMayHaveRun continues after an attempt that has run, or may have run,
// without an answer that can be delivered.
func (r *Reducer) attemptMayHaveRun(now clock.Time, q *request, reason verdict.Reason) {
	q.verdict = verdict.Join(q.verdict, verdict.MayHaveRun)
	q.reason = reason
	r.countTrial(now, q)
	r.retryRequest(now, q)
}

// failed handles the end of an attempt without an answer.
func (r *Reducer) failed(now clock.Time, ev *Failed) {
	a, ok := r.attempts[ev.Attempt]
	if !ok {
		r.forwardFailed(now, ev)
		return
	}
	if ev.Reason == verdict.ReasonGateway {
		r.gatewayFailed(now, a, ev.Verdict)
		return
	}
	if ev.Reason == verdict.ReasonConnect && a.gateway == "" {
		r.linkFailed(now, a.sent, a.target)
		if gateway := r.detourAfterFailure(now, a, ev.Verdict); gateway != "" {
			r.resend(now, a, gateway)
			return
		}
	}
	cut := a.gateway == "" && r.linksDown()
	r.endAttempt(now, a, &Report{Result: resultOfFailure(ev, cut), Took: now.Sub(a.sent)})
	switch {
	case ev.Verdict == verdict.NotRun && (ev.Reason == verdict.ReasonConnect || ev.Reason == verdict.ReasonUnavailable):
		r.targetNotReached(now, a.req, ev.Reason)
		return
	case ev.Verdict == verdict.NotRun:
		r.attemptNotRun(now, a.req, ev.Reason)
		return
	}
	if ev.Reason == verdict.ReasonUnproved {
		a.target.rejectionReceived(now, false)
	}
	r.recordLostRequest(now, a, ev.Reason)
	r.attemptMayHaveRun(now, a.req, ev.Reason)
}

// resultOfFailure returns what the end of an attempt without an answer says of its
// target. It says nothing if the attempt was cut off by the loss of this VM's links, or by its
// lack of memory.
func resultOfFailure(ev *Failed, cut bool) Result {
	switch {
	case ev.Verdict == verdict.NotRun && (ev.Reason == verdict.ReasonUnavailable || cut):
		return ResultNotSent
	case cut || ev.Reason == verdict.ReasonNoMemory:
		return ResultUnknown
	case ev.Reason == verdict.ReasonConnect:
		return ResultUnreachable
	case ev.Reason == verdict.ReasonUnproved:
		return ResultUnproved
	default:
		return ResultFailed
	}
}

// applyResult updates the state of a target with the result of a send.
func (r *Reducer) applyResult(now clock.Time, t *targetState, rep *Report) {
	r.applyLimit(now, t, rep)
	switch rep.Result {
	case ResultServed:
		t.answeredAt = now
		t.terminated = false // the instance is alive; it had only stopped listening for a moment
		t.availability.Answered(2 * t.Slots)
		t.recordLoad(now, rep.Load)
		t.pace.Observe(now, rep.Load.Pace)
		r.recordLoadReport(now, t)
		r.recordOutcome(now, t, true)
	case ResultRefused:
		t.answeredAt = now
		t.recordRefusal(now, rep.Load)
		t.pace.Observe(now, rep.Load.Pace)
		r.recordLoadReport(now, t)
	case ResultUnproved:
		t.recordRefusal(now, Load{})
		r.recordLoadReport(now, t)
	case ResultMisdirected:
		r.markTerminated(now, t) // its address belongs to another target
		t.Draining = true
		r.updateListing(now, t)
		r.reportChange(t, "address taken over", 0)
	case ResultFailed:
		r.recordOutcome(now, t, false)
	case ResultUnreachable:
		r.handleUnreachable(now, t)
	}
}

// recordOutcome counts an outcome for or against the target.
func (r *Reducer) recordOutcome(now clock.Time, t *targetState, ok bool) {
	if ok {
		if t.standing.Answered(now) {
			r.reportChange(t, "back in use", 0)
		}
		return
	}
	if t.standing.Failed() {
		r.eject(now, t)
	}
}

// handleUnreachable ejects a target that could not be reached, unless it has
// answered recently.
func (r *Reducer) handleUnreachable(now clock.Time, t *targetState) {
	failed := t.standing.Failed()
	if failed || now.Sub(t.answeredAt) > unreachableGrace {
		r.eject(now, t)
	}
}

// unreachableGrace is how old a target's last answer must be for a single
// connection failure to eject it.
const unreachableGrace = 500 * time.Millisecond

// eject stops using t for some time, unless too many targets are ejected already:
// their requests would overload the remaining ones.
func (r *Reducer) eject(now clock.Time, t *targetState) {
	if !r.on(Ejection) {
		return
	}
	total, ejected := 0, 0
	for _, o := range t.svc.targets {
		if o.region != t.region {
			continue
		}
		total++
		if o != t && o.standing.State() != target.InUse {
			ejected++
		}
	}
	if float64(ejected+1) > maxEjectedShare*float64(total) {
		return
	}
	t.standing.Eject(now, r.rng)
	r.reportChange(t, "ejected", t.standing.Until())
}

func (r *Reducer) reportChange(t *targetState, change string, until clock.Time) {
	r.out.StateChanges = append(r.out.StateChanges, TargetStateChange{Target: t.ID, Change: change, Until: until})
}
