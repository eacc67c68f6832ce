package enginetest

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// call is a request that an entry VM has received and not answered.
type call struct {
	id         dispatch.RequestID
	submission *Submission
	x          *Exchange
	client     client
	hops       uint8
	arrived    clock.Time
	deadline   clock.Time // by the World's clock
	final      bool       // answered, or its caller has disconnected
}

// client is the origin of a request according to its look-up.
type client struct {
	home  fleet.Region
	block uint64
}

// attempt is a send or a forward of a call.
type attempt struct {
	id       dispatch.AttemptID
	call     *call
	target   *Target // nil for a forward
	to       fleet.VMID
	x        *Exchange
	sentAt   clock.Time
	canceled clock.Time // 0 if not
	answer   *Answer
}

// openCalls returns the unanswered calls in the order of arrival.
func (v *VM) openCalls() []*call {
	var out []*call
	for _, c := range v.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return out
}

// openAttempts returns the remembered attempts, sorted by ID.
func (v *VM) openAttempts() []*attempt {
	var out []*attempt
	for _, a := range v.attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return out
}

// accept handles a request that has arrived on a connection.
func (v *VM) accept(x *Exchange, tok string, from client, hops uint8, deadline clock.Time) {
	v.lastRequest++
	c := &call{id: v.lastRequest, submission: x.submission, x: x, client: from, hops: hops, arrived: v.w.Now, deadline: deadline}
	v.calls[c.id] = c
	if hops > 0 {
		v.forwards[x] = c
	}
	x.onSenderGone = func() {
		if !c.final {
			v.finish(c)
			v.post(&dispatch.CallerGone{Req: c.id})
		}
	}
	v.post(&engine.Call{
		Req:       c.id,
		Service:   x.submission.Work.Service,
		Token:     tok,
		Home:      from.home,
		Block:     from.block,
		Deadline:  deadline.Add(v.Skew),
		Hops:      hops,
		BodyBytes: 1000,
	})
	if hops > 0 {
		v.w.Checker.checkForwarded(v.Location, x.submission.Work.Service)
	}
}

// countForwarded counts the unanswered forwarded requests of a service that
// arrived at the given time or later.
func (v *VM) countForwarded(s fleet.ServiceName, since clock.Time) int {
	n := 0
	for _, c := range v.forwards {
		if c.submission.Work.Service == s && c.arrived >= since {
			n++
		}
	}
	return n
}

func (v *VM) finish(c *call) {
	c.final = true
	delete(v.forwards, c.x)
	delete(v.calls, c.id)
}

// takeFinal closes a call that is to be answered and returns it. It returns nil
// if the caller has disconnected.
func (v *VM) takeFinal(id dispatch.RequestID) *call {
	if id > v.lastRequest || id == 0 {
		v.w.Checker.reportViolation("%s answers request %d, which does not exist", v.Self.ID, id)
		return nil
	}
	c := v.calls[id]
	if c == nil {
		return nil
	}
	v.finish(c)
	if late := v.w.Now.Sub(c.deadline); late > deadlineSlack && v.pausedAt < c.deadline {
		v.w.Checker.reportViolation("%s answers %s %v after its deadline", v.Self.ID, c.submission.Work.Name, late)
	}
	return c
}

func (v *VM) deliver(d dispatch.Deliver) {
	c := v.takeFinal(d.Req)
	if c == nil {
		return
	}
	a := v.attempts[d.Attempt]
	if a == nil || a.answer == nil {
		v.w.Checker.reportViolation("%s delivers an answer to %s that it has not received", v.Self.ID, c.submission.Work.Name)
		return
	}
	if a.answer.Submission.Work != c.submission.Work {
		v.w.Checker.reportViolation("%s answers %s with the answer to %s", v.Self.ID, c.submission.Work.Name, a.answer.Submission.Work.Name)
	}
	v.w.Checker.recordVerdict(v.Self.ID, c.submission, verdict.Ran, verdict.ReasonNone)
	c.x.Answer(Answer{Submission: c.submission, Verdict: verdict.Ran, Status: a.answer.Status})
}

func (v *VM) reply(r engine.Refusal) {
	c := v.takeFinal(r.Req)
	if c == nil {
		return
	}
	v.w.Checker.recordVerdict(v.Self.ID, c.submission, r.Verdict, r.Reason)
	if r.Reason == verdict.ReasonStopping && v.Leaving && c.arrived < v.leftAt && v.pausedAt < v.leftAt {
		v.w.Checker.reportViolation("%s leaves and refuses %s, which arrived before", v.Self.ID, c.submission.Work.Name)
	}
	a := Answer{Submission: c.submission, Verdict: r.Verdict, Reason: r.Reason, RetryAfter: r.RetryAfter}
	if r.Verdict == verdict.NotRun && c.hops == 0 {
		a.NewToken = v.mint(v.Self.ID)
	}
	c.x.Answer(a)
}

// removeFromTarget removes the attempt from the list of its target.
func (a *attempt) removeFromTarget() {
	if a.target != nil {
		a.target.attempts = slices.DeleteFunc(a.target.attempts, func(o *attempt) bool { return o == a })
	}
}

func (v *VM) send(s dispatch.Send) {
	c := v.calls[s.Req]
	t := v.w.targetByID[s.Target]
	if c == nil || t == nil {
		v.postAfterStep(&dispatch.Failed{Req: s.Req, Attempt: s.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonNoTarget})
		return
	}
	a := &attempt{id: s.Attempt, call: c, target: t, sentAt: v.w.Now}
	t.attempts = append(t.attempts, a)
	v.start(a)
	a.x = v.w.exchange(v.Location, t.Location, c.submission, t.isUp, t.handleRequest, v.endHandler(a))
	v.w.Checker.checkSend(v, a)
}

func (v *VM) forward(f dispatch.Forward) {
	c := v.calls[f.Req]
	to := v.w.vmByID[f.VM]
	if c == nil || to == nil {
		v.postAfterStep(&dispatch.Failed{Req: f.Req, Attempt: f.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonNoTarget})
		return
	}
	v.w.Checker.Counts.Forwards++
	if c.hops > 0 {
		v.w.Checker.reportViolation("%s forwards %s, which was already forwarded", v.Self.ID, c.submission.Work.Name)
	}
	a := &attempt{id: f.Attempt, call: c, to: f.VM, sentAt: v.w.Now}
	v.start(a)
	sub := &Submission{Work: c.submission.Work, Parent: c.submission}
	tok := v.mint(f.VM)
	left := f.Deadline.Sub(v.now())
	a.x = v.w.exchange(v.Location, to.Location, sub, to.isUp, func(x *Exchange) {
		to.accept(x, tok, c.client, 1, v.w.Now.Add(left))
	}, v.endHandler(a))
}

func (v *VM) start(a *attempt) {
	if v.attempts[a.id] != nil {
		v.w.Checker.reportViolation("%s uses attempt ID %d twice", v.Self.ID, a.id)
	}
	v.attempts[a.id] = a
}

// endHandler returns the function that handles the end of an attempt's exchange.
func (v *VM) endHandler(a *attempt) func(Answer) {
	process := v.processNumber
	return func(ans Answer) {
		if v.processNumber == process {
			v.runOrQueue(func() { v.step(v.handleEnd(a, ans)) })
		}
	}
}

// attemptRetention is how long an attempt is kept after its end, so that its
// answer can be delivered.
const attemptRetention = time.Millisecond

// handleEnd records the end of an attempt and returns the event that reports it.
func (v *VM) handleEnd(a *attempt, ans Answer) engine.Event {
	a.removeFromTarget()
	a.answer = &ans
	req := a.call.id
	v.after(attemptRetention, func() { delete(v.attempts, a.id) })
	if ans.Verdict != verdict.Ran {
		return &dispatch.Failed{Req: req, Attempt: a.id, Verdict: ans.Verdict, Reason: ans.Reason, RetryAfter: ans.RetryAfter}
	}
	ev := &dispatch.Answered{Req: req, Attempt: a.id, Status: ans.Status}
	if ans.Load != nil {
		ev.Load = &dispatch.LoadHint{InFlight: max(ans.Load.InFlight, 0), Slots: ans.Load.Slots}
	}
	return ev
}

func (v *VM) cancel(c dispatch.Cancel) {
	a := v.attempts[c.Attempt]
	if a == nil || a.answer != nil {
		return
	}
	a.canceled = v.w.Now
	r := verdict.ReasonCallerGone
	if c.Replace {
		r = verdict.ReasonSilent
	}
	a.x.Cancel(r)
}
