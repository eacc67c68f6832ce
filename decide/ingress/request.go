package ingress

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// request is one request of a caller until its final answer.
type request struct {
	id      RequestID
	route   *route.Route
	svc     *service
	object  string
	bytes   int // of the body
	arrived clock.Time
	due     clock.Time // when it must have its final answer

	sends   int
	running []*attempt
	tried   []fleet.TargetID
	verdict verdict.Verdict // of all attempts that have ended
	reason  verdict.Reason  // of the last one
	room    time.Duration   // after which there may be a target for it; 0: not known
	// fingerprint is that of its content.
	fingerprint quarantine.Fingerprint
	// losses is how many sends ended with their connection, and trial says that
	// it is let through although its fingerprint is in quarantine.
	losses  int
	trial   bool
	counted bool    // as a trial
	job     *job    // in search of a target here
	asking  *asking // in search of a target elsewhere
}

// attempt is one send of a request.
type attempt struct {
	id     AttemptID
	req    *request
	target *targetState
	sent   clock.Time
	job    *job       // its place, if this entry VM has given it
	lender fleet.VMID // or else the coordinator that has, for an ask
	ask    AskID
	// gateway is the VM that carries it; "": it is sent from here. received says
	// that the gateway has it.
	gateway  fleet.VMID
	received bool
}

// aim is the latency within which the answer has its full value.
func (q *request) aim() time.Duration {
	if q.route.Aim > 0 {
		return q.route.Aim
	}
	return defaultAim
}

// large reports whether q or its answer is dear to carry to another region.
func (r *Reducer) large(q *request) bool {
	return q.route.Large || (r.on(LargeBodies) && q.bytes > largeBody)
}

// arrive takes a request of a caller.
func (r *Reducer) arrive(now clock.Time, ev *Arrive) {
	if r.table == nil {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: ev.Request, Verdict: verdict.NotRun,
			Reason: verdict.ReasonNotReady, RetryAfter: noConfigReturn,
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
	if rt.Unserved {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: ev.Request, Verdict: verdict.NotRun,
			Reason: verdict.ReasonRouteDefect, RetryAfter: defaultAim,
		})
		return
	}
	q := &request{
		id: ev.Request, route: rt, object: ev.Object, bytes: ev.Bytes, arrived: now,
		svc: r.serviceOf(r.split(rt)), verdict: verdict.NotRun, fingerprint: ev.Fingerprint,
	}
	if wait, kept := r.keptAway(now, q); kept {
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: q.id, Verdict: verdict.NotRun, Reason: verdict.ReasonQuarantined, RetryAfter: wait,
		})
		return
	}
	q.due = now.Add(patience(rt, ev.Patience))
	r.requests[q.id] = q
	r.timers.add(timer{at: q.due, request: q.id, purpose: dueAnswer})
	q.svc.repeats.earn(r.opts.Bounds.RepeatRatio*repeatShare, r.repeatLimit())
	r.obtain(now, q)
}

// patience is how long a request may take altogether.
func patience(rt *route.Route, stated time.Duration) time.Duration {
	switch {
	case stated > 0 && rt.Timeout > 0:
		return min(stated, rt.Timeout)
	case stated > 0:
		return stated
	case rt.Timeout > 0:
		return rt.Timeout
	default:
		return defaultPatience
	}
}

func (r *Reducer) split(rt *route.Route) fleet.ServiceName {
	s, ok := r.splits[rt.Name]
	if !ok {
		s = new(route.Split)
		r.splits[rt.Name] = s
	}
	return s.Next(rt.Parts)
}

// repeatLimit is this VM's part of the fixed allowance of repeats.
func (r *Reducer) repeatLimit() float64 {
	return r.opts.Bounds.RepeatSlack * repeatShare / float64(max(len(r.members), 1))
}

// queueEnd is until when q may wait here.
func (r *Reducer) queueEnd(q *request) clock.Time {
	return clock.Min(q.arrived.Add(time.Duration(queueShare*float64(q.aim()))), q.due)
}

// granted sends q to t. j is the place there, nil if a coordinator has lent it.
func (r *Reducer) granted(now clock.Time, q *request, j *job, t *targetState) {
	r.nextAttempt++
	a := &attempt{id: r.nextAttempt, req: q, target: t, sent: now, job: j, gateway: r.gatewayTo(now, t)}
	q.job = nil
	q.sends++
	q.running = append(q.running, a)
	q.tried = append(q.tried, t.ID)
	r.attempts[a.id] = a
	r.sendOut(now, a)
	if q.route.Idempotent && q.mayRepeat(now) {
		r.timers.add(timer{at: now.Add(r.hedgeAfter(q.svc)), request: q.id, purpose: dueHedge})
	}
}

// connectBound is how long opening a connection to t may take.
func (r *Reducer) connectBound(t *targetState) time.Duration {
	return connectFloor + time.Duration(connectTrips*r.trip(t.region))
}

// denied ends a search for a target without one. room is when there may be one.
func (r *Reducer) denied(now clock.Time, q *request, why verdict.Reason, room time.Duration) {
	q.job = nil
	q.room = room
	if len(q.running) > 0 {
		return // a hedge; the first send is still under way
	}
	if q.reason == verdict.ReasonNone {
		q.reason = why
	}
	r.giveUp(now, q)
}

// hedgeAfter is how long an idempotent request may be unanswered before it is
// sent a second time.
func (r *Reducer) hedgeAfter(s *service) time.Duration {
	return max(hedgeFloor, 2*s.latency.P95())
}

// hedge sends q a second time if its target has answered nobody since the
// first send: it may be down without having closed its connections.
func (r *Reducer) hedge(now clock.Time, q *request) {
	if !r.mayHedge(now, q) {
		return
	}
	a := q.running[0]
	if a.target.answered.After(a.sent) || !q.svc.repeats.spendSpare(r.repeatLimit()) {
		return
	}
	if a.gateway == "" || a.received {
		r.suspect(now, a.target)
	}
	r.obtain(now, q)
}

// mayHedge reports whether q may be sent a second time while its first send is
// under way.
func (r *Reducer) mayHedge(now clock.Time, q *request) bool {
	return r.on(SecondSend) && q.route.Idempotent && len(q.running) == 1 && !q.searching() &&
		q.mayRepeat(now) && r.mayTryAnother(now, q)
}

// searching reports whether a target is sought for q. A second search beside it
// would end q twice, or send it twice at once.
func (q *request) searching() bool { return q.job != nil || q.asking != nil }

// mayRepeat reports whether q has attempts and time left for one more send.
func (q *request) mayRepeat(now clock.Time) bool {
	return q.sends < q.route.Attempts && now.Before(q.due)
}

// again sends q once more after an attempt has ended with a verdict that
// allows it, or gives q up.
func (r *Reducer) again(now clock.Time, q *request) {
	if len(q.running) > 0 || q.searching() {
		return // another attempt is still under way, or about to be
	}
	allowed := q.verdict.MayRepeat(q.route.Idempotent) && q.mayRepeat(now) && r.mayTryAnother(now, q)
	if !allowed || !q.svc.repeats.spend() {
		r.giveUp(now, q)
		return
	}
	r.obtain(now, q)
}

// timedOut ends q at the time at which it must have its answer. What the
// target has been given as its time is over by now; its answer may be on its
// way, and is waited for a little longer.
func (r *Reducer) timedOut(now clock.Time, q *request) {
	if len(q.running) > 0 && now.Before(q.due.Add(answerMargin)) {
		r.stopSearch(now, q) // a second target would get it with no time left
		r.timers.add(timer{at: q.due.Add(answerMargin), request: q.id, purpose: dueAnswer})
		return
	}
	q.reason = verdict.ReasonDeadline
	if len(q.running) > 0 {
		q.verdict = verdict.MayHaveRun
	}
	r.giveUp(now, q)
}

// giveUp tells q's caller that there will be no answer.
func (r *Reducer) giveUp(now clock.Time, q *request) {
	f := Refusal{Request: q.id, Verdict: q.verdict, Reason: q.reason}
	if q.verdict == verdict.NotRun {
		f.RetryAfter = r.returnAfter(q)
	}
	r.out.Refusals = append(r.out.Refusals, f)
	r.finish(now, q)
}

// returnAfter is when the caller of a refused request should come back: when
// there is room, and up to as long again, so that those refused together return
// over the time in which room comes free, not all at its beginning.
func (r *Reducer) returnAfter(q *request) time.Duration {
	aim := float64(q.aim())
	room := min(max(float64(q.room), returnMin*aim), returnMax*aim)
	return time.Duration(room * (1 + r.rng.Float64()))
}

// finish forgets q and cancels what is still under way for it.
func (r *Reducer) finish(now clock.Time, q *request) {
	delete(r.requests, q.id)
	r.stopSearch(now, q)
	if len(q.running) > 0 {
		r.noteTrial(now, q)
	}
	for _, a := range slices.Clone(q.running) {
		r.out.Cancels = append(r.out.Cancels, Cancel{Request: q.id, Attempt: a.id})
		r.endAttempt(now, a, &Report{Result: ResultUnknown})
	}
}

// stopSearch ends the search for a target for q.
func (r *Reducer) stopSearch(now clock.Time, q *request) {
	r.stopAsking(q)
	if q.job != nil {
		j := q.job
		q.job = nil
		r.withdraw(now, j)
	}
}

func (r *Reducer) callerGone(now clock.Time, ev *CallerGone) {
	q, ok := r.requests[ev.Request]
	if !ok {
		r.carriedGone(ev.Request)
		return
	}
	r.out.Dropped = append(r.out.Dropped, q.id)
	r.finish(now, q)
}
