package ingress

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/target"
	"github.com/azurethread/azurethread/decide/verdict"
)

// endAttempt takes a out of the books and reports its end to whoever gave it
// its place.
func (r *Reducer) endAttempt(now clock.Time, a *attempt, rep *Report) {
	delete(r.attempts, a.id)
	r.noteWithdrawn(a.gateway, askNumber(a.id))
	a.req.running = slices.DeleteFunc(a.req.running, func(o *attempt) bool { return o == a })
	switch {
	case a.job != nil && a.job.state == jobPlaced:
		r.release(now, a.job, rep)
	case a.lender != "":
		rep.ID = a.ask
		r.tell(a.lender, rep)
		r.learnResult(now, a.target, rep)
	}
}

// answered takes a whole answer of a target.
func (r *Reducer) answered(now clock.Time, ev *Answered) {
	a, ok := r.attempts[ev.Attempt]
	if !ok {
		r.carriedAnswered(ev) // or given up meanwhile
		return
	}
	if a.gateway != "" {
		r.noteHeard(a.gateway)
	}
	q, t := a.req, a.target
	t.answered = now
	q.svc.latency.Observe(now.Sub(a.sent))
	if ev.Connect > 0 {
		r.learnTrip(t.region, ev.Connect)
	}
	r.endAttempt(now, a, &Report{
		Result: results[ev.Outcome], Load: ev.Load, Limit: ev.Limit, Bytes: ev.Bytes,
		Took: now.Sub(a.sent), Connect: ev.Waited,
	})
	switch ev.Outcome {
	case Misdirected, Refused:
		r.notRun(now, q, verdict.ReasonShed)
	case Unfit:
		r.ran(now, q, verdict.ReasonAnswerCut)
	case ServerError:
		r.serverError(now, a)
	case Served:
		r.clearQuarantine(now, q.fingerprint)
		q.svc.noteServed(now, q.object, t)
		r.deliver(now, a)
	}
}

// results are what outcomes say about the target.
var results = [...]Result{
	Served:      ResultServed,
	ServerError: ResultFailed,
	Refused:     ResultRefused,
	Misdirected: ResultMisdirected,
	Unfit:       ResultFailed,
}

// serverError sends an idempotent request once more where that is possible, and
// delivers the failure otherwise.
func (r *Reducer) serverError(now clock.Time, a *attempt) {
	q := a.req
	r.noteTrial(now, q)
	again := q.route.Idempotent && q.mayRepeat(now) && len(q.running) == 0
	if !again || (!q.searching() && !q.svc.repeats.spend()) {
		r.deliver(now, a)
		return
	}
	q.verdict = verdict.Join(q.verdict, verdict.MayHaveRun)
	q.reason = verdict.ReasonInternal
	if !q.searching() {
		r.obtain(now, q)
	}
}

func (r *Reducer) deliver(now clock.Time, a *attempt) {
	r.out.Delivers = append(r.out.Delivers, Deliver{Request: a.req.id, Attempt: a.id})
	r.finish(now, a.req)
}

// refused notes that the target turned a request away.
func (t *targetState) refused(now clock.Time, l Load) {
	if !l.Known {
		t.others = max(t.others, t.Slots-t.inFlight)
	}
	t.reported = now
}

// notRun goes on after an attempt that has not run.
func (r *Reducer) notRun(now clock.Time, q *request, why verdict.Reason) {
	q.reason = why
	r.again(now, q)
}

// ran goes on after an attempt that has run, or may have, without an answer
// that can be delivered.
func (r *Reducer) ran(now clock.Time, q *request, why verdict.Reason) {
	q.verdict = verdict.Join(q.verdict, verdict.MayHaveRun)
	q.reason = why
	r.noteTrial(now, q)
	r.again(now, q)
}

// failed takes the end of an attempt without an answer.
func (r *Reducer) failed(now clock.Time, ev *Failed) {
	a, ok := r.attempts[ev.Attempt]
	if !ok {
		r.carriedFailed(ev)
		return
	}
	if ev.Reason == verdict.ReasonGateway {
		r.gatewayFailed(now, a, ev.Verdict)
		return
	}
	rep := &Report{Result: ResultFailed, Took: now.Sub(a.sent)}
	if ev.Reason == verdict.ReasonConnect {
		rep.Result = ResultUnreachable
	}
	r.endAttempt(now, a, rep)
	if ev.Verdict == verdict.NotRun {
		r.notRun(now, a.req, ev.Reason)
		return
	}
	r.lostUnder(now, a, ev.Reason)
	r.ran(now, a.req, ev.Reason)
}

// learnResult takes what the end of a send says about its target.
func (r *Reducer) learnResult(now clock.Time, t *targetState, rep *Report) {
	r.learnLimit(now, t, rep)
	switch rep.Result {
	case ResultServed:
		t.answered = now
		t.hasEnded = false // nobody listened for a moment
		t.note(now, rep.Load)
		r.reportedBy(now, t)
		r.judge(now, t, true)
	case ResultRefused:
		t.answered = now
		t.refused(now, rep.Load)
		r.reportedBy(now, t)
	case ResultMisdirected:
		r.ended(now, t) // its address belongs to another target
		t.Draining = true
		r.list(now, t)
		r.believe(t, "address taken over", 0)
	case ResultFailed:
		r.judge(now, t, false)
	case ResultUnreachable:
		r.suspect(now, t)
	}
}

// judge counts an outcome for or against the target.
func (r *Reducer) judge(now clock.Time, t *targetState, ok bool) {
	if ok {
		if t.standing.Answered(now) {
			r.believe(t, "back in use", 0)
		}
		return
	}
	if t.standing.Failed() {
		r.eject(now, t)
	}
}

// suspect takes a target that could not be reached out of use, unless it has
// answered lately.
func (r *Reducer) suspect(now clock.Time, t *targetState) {
	failed := t.standing.Failed()
	if failed || now.Sub(t.answered) > suspectAfter {
		r.eject(now, t)
	}
}

// suspectAfter is how long ago a target's last answer must be for one failure
// to reach it to take it out of use.
const suspectAfter = 500 * time.Millisecond

// eject takes t out of use for a while, unless too many are already: the rest
// would be overloaded by the requests of the ejected.
func (r *Reducer) eject(now clock.Time, t *targetState) {
	if !r.on(Ejection) {
		return
	}
	all, out := 0, 0
	for _, o := range t.svc.targets {
		if o.region != t.region {
			continue
		}
		all++
		if o != t && o.standing.Standing() != target.InUse {
			out++
		}
	}
	if float64(out+1) > ejectShare*float64(all) {
		return
	}
	t.standing.Eject(now, r.rng)
	r.believe(t, "ejected", t.standing.Until())
}

func (r *Reducer) believe(t *targetState, change string, until clock.Time) {
	r.out.Beliefs = append(r.out.Beliefs, Belief{Target: t.ID, Change: change, Until: until})
}
