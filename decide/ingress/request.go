package ingress

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/queue"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// request is one request of a caller until its final answer.
type request struct {
	id      RequestID
	route   *route.Route
	svc     *service
	object  string
	arrived clock.Time
	due     clock.Time // when it must have its final answer
	node    queue.Node[*request]

	sends    int
	running  []*attempt
	tried    []fleet.TargetID
	verdict  verdict.Verdict // of all attempts that have ended
	reason   verdict.Reason  // of the last one
	counted  bool            // in the shift between regions
	deferred bool            // has waited here
}

// attempt is one send of a request.
type attempt struct {
	id      AttemptID
	req     *request
	target  *targetState
	sent    clock.Time
	class   workClass
	waiting int // requests ahead of it at the target, beyond the slots
}

// aim is the latency within which the answer has its full value.
func (q *request) aim() time.Duration {
	if q.route.Aim > 0 {
		return q.route.Aim
	}
	return defaultAim
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
	q := &request{
		id: ev.Request, route: rt, object: ev.Object, arrived: now,
		svc: r.serviceOf(r.split(rt)), verdict: verdict.NotRun,
	}
	q.node.Item = q
	q.due = now.Add(patience(rt, ev.Patience))
	r.requests[q.id] = q
	r.timers.add(q.due, q.id, dueAnswer)
	q.svc.repeats.earn(r.opts.Bounds.RepeatRatio*repeatShare, r.repeatLimit())
	r.dispatch(now, q)
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

// dispatch sends q to a target, has it wait for one, or gives it up.
func (r *Reducer) dispatch(now clock.Time, q *request) {
	if t := r.choose(now, q); t != nil {
		r.send(now, q, t)
		return
	}
	if !r.mayWait(now, q) {
		r.giveUp(now, q)
		return
	}
	r.enqueue(q)
	r.timers.add(r.queueEnd(q), q.id, dueQueue)
}

// queueEnd is until when q may wait here.
func (r *Reducer) queueEnd(q *request) clock.Time {
	return clock.Min(q.arrived.Add(time.Duration(queueShare*float64(q.aim()))), q.due)
}

func (r *Reducer) mayWait(now clock.Time, q *request) bool {
	return r.queueEnd(q).After(now) && len(q.running) == 0
}

// enqueue puts q behind the requests that are as urgent or more.
func (r *Reducer) enqueue(q *request) {
	q.deferred = true
	at := q.svc.waiting.Back()
	for at != nil && at.Item.route.Priority > q.route.Priority {
		at = at.Prev()
	}
	q.svc.waiting.InsertAfter(at, &q.node)
}

// send sends q to t.
func (r *Reducer) send(now clock.Time, q *request, t *targetState) {
	r.nextAttempt++
	a := &attempt{id: r.nextAttempt, req: q, target: t, sent: now, class: r.classOf(now, q, t)}
	a.waiting = max(0, t.load(now)+1-t.Slots)
	q.sends++
	q.running = append(q.running, a)
	q.tried = append(q.tried, t.ID)
	r.attempts[a.id] = a
	t.inFlight++
	if t.cold(now) {
		t.coldSends = append(t.coldSends, now)
	}
	r.countRegion(now, q, t)
	r.out.Sends = append(r.out.Sends, Send{
		Attempt: a.id, Request: q.id, Target: t.ID, Addr: t.Addr,
		Left:     q.due.Sub(now),
		Connect:  connectFloor + time.Duration(connectTrips*r.trip(t.region)),
		Attempts: q.sends,
	})
	if q.route.Idempotent && q.sends < q.route.Attempts {
		r.timers.add(now.Add(r.hedgeAfter(q.svc)), q.id, dueHedge)
	}
}

// hedgeAfter is how long an idempotent request may be unanswered before it is
// sent a second time.
func (r *Reducer) hedgeAfter(s *service) time.Duration {
	return max(hedgeFloor, 2*s.latency.P95())
}

// hedge sends q a second time if its target has answered nobody since the
// first send: it may be down without having closed its connections.
func (r *Reducer) hedge(now clock.Time, q *request) {
	if len(q.running) != 1 || q.node.Queued() || !r.mayRepeat(q) {
		return
	}
	a := q.running[0]
	if a.target.answered.After(a.sent) {
		return
	}
	t := r.choose(now, q)
	if t == nil || !q.svc.repeats.spendSpare(r.repeatLimit()) {
		return
	}
	r.suspect(now, a.target)
	r.send(now, q, t)
}

// mayRepeat reports whether the attempts that q may have are not used up.
func (r *Reducer) mayRepeat(q *request) bool { return q.sends < q.route.Attempts }

// again sends q once more after an attempt has ended with a verdict that
// allows it, or gives q up.
func (r *Reducer) again(now clock.Time, q *request) {
	if len(q.running) > 0 {
		return // another attempt is still under way
	}
	allowed := q.verdict.MayRepeat(q.route.Idempotent) && r.mayRepeat(q) && now.Before(q.due)
	if !allowed || !q.svc.repeats.spend() {
		r.giveUp(now, q)
		return
	}
	r.dispatch(now, q)
}

// timedOut ends q at the time at which it must have its answer. What the
// target has been given as its time is over by now; its answer may be on its
// way, and is waited for a little longer.
func (r *Reducer) timedOut(now clock.Time, q *request) {
	if len(q.running) > 0 && now.Before(q.due.Add(answerMargin)) {
		r.timers.add(q.due.Add(answerMargin), q.id, dueAnswer)
		return
	}
	q.reason = verdict.ReasonDeadline
	if len(q.running) > 0 {
		q.verdict = verdict.MayHaveRun
	}
	r.giveUp(now, q)
}

func (r *Reducer) queuedTooLong(now clock.Time, q *request) {
	if q.node.Queued() {
		r.giveUp(now, q)
	}
}

// giveUp tells q's caller that there will be no answer.
func (r *Reducer) giveUp(now clock.Time, q *request) {
	f := Refusal{Request: q.id, Verdict: q.verdict, Reason: q.reason}
	if f.Reason == verdict.ReasonNone {
		f.Reason = r.whyWaiting(now, q)
	}
	if q.verdict == verdict.NotRun {
		f.RetryAfter = r.returnAfter(q)
	}
	r.out.Refusals = append(r.out.Refusals, f)
	r.finish(now, q)
}

// whyWaiting says why no target took q.
func (r *Reducer) whyWaiting(now clock.Time, q *request) verdict.Reason {
	for _, t := range q.svc.targets {
		if r.usable(now, q, t) {
			return verdict.ReasonOverload
		}
	}
	return verdict.ReasonNoTarget
}

// returnAfter is when the caller of a refused request should come back.
func (r *Reducer) returnAfter(q *request) time.Duration {
	part := returnMin + (returnMax-returnMin)*r.rng.Float64()
	return time.Duration(part * float64(q.aim()))
}

// finish forgets q and cancels what is still under way for it.
func (r *Reducer) finish(now clock.Time, q *request) {
	for _, a := range slices.Clone(q.running) {
		r.endAttempt(a)
		r.out.Cancels = append(r.out.Cancels, Cancel{Request: q.id, Attempt: a.id})
	}
	q.svc.waiting.Remove(&q.node)
	delete(r.requests, q.id)
}

func (r *Reducer) callerGone(now clock.Time, ev *CallerGone) {
	q, ok := r.requests[ev.Request]
	if !ok {
		return
	}
	r.out.Dropped = append(r.out.Dropped, q.id)
	r.finish(now, q)
	r.pumpService(now, q.svc)
}
