package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"pgregory.net/rapid"
)

var (
	randomEvents = flag.Int("dispatch.events", 300_000, "events of the long randomised run")
	randomSeed   = flag.Uint64("dispatch.seed", 1, "first seed of the long randomised run")
)

// TestMain sets a fixed seed for rapid, so that each CI run checks the same
// cases, and keeps rapid from writing files.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.nofailfile", "true")
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		f.Value.Set("20261202")
	}
	os.Exit(m.Run())
}

// randomRun applies random events to one State and checks every effect against
// its own records, which share no code with State.
type randomRun struct {
	fail        func(string, ...any)
	intn        func(n int) int
	s           *State
	now         clock.Time
	out         Ready
	grace       time.Duration
	targets     []fleet.Target
	idempotent  map[fleet.ServiceName]bool
	requests    map[RequestID]*trackedRequest
	attempts    map[AttemptID]*trackedAttempt
	open        []AttemptID    // attempts that have not ended, in the order of their start
	lateAnswers []Answered     // answers to attempts that have ended
	answering   AttemptID      // attempt that is being answered, unless it was cancelled before
	unlisted    fleet.TargetID // target that is missing from the last list
	lastRequest RequestID
	events      int
}

type trackedRequest struct {
	idempotent bool // according to the catalogue when it arrived
	deadline   clock.Time
	hops       uint8
	final      bool
	gone       bool
	mayHaveRun bool // an attempt ended otherwise than with a refusal
	running    int
}

type trackedAttempt struct {
	req       RequestID
	target    fleet.TargetID // empty for a forward
	cancelled clock.Time     // 0 unless cancelled
}

func newRandomRun(seed uint64, intn func(int) int, fail func(string, ...any)) *randomRun {
	w := &randomRun{
		fail: fail, intn: intn, now: 1e9, grace: defaultCancelGrace,
		idempotent: map[fleet.ServiceName]bool{"look": true},
		requests:   map[RequestID]*trackedRequest{}, attempts: map[AttemptID]*trackedAttempt{},
	}
	policies := []string{"", "round-robin", "random", "least-in-flight", "two-choices"}
	w.s = New(Options{
		VM: "self", Seed: seed, Policy: policies[max(intn(10)-5, 0)], PanicOnViolation: false, Audit: true,
		Limits: Limits{QueueItems: 4 + intn(40), QueueBytes: 4000, RepeatBurst: 1 + intn(20)},
	})
	w.setServices()
	for i := 0; i < 2+intn(8); i++ {
		service := []fleet.ServiceName{"look", "post", "bulk"}[i%3]
		w.targets = append(w.targets, fleet.Target{ID: fleet.TargetID(fmt.Sprint("t", i)), Service: service, Slots: 1 + intn(4), Connections: 100})
	}
	w.step(&Targets{List: w.targets})
	return w
}

// setServices replaces the catalogue with bulk randomly idempotent or not.
func (w *randomRun) setServices() {
	w.idempotent["bulk"] = w.intn(2) == 0
	w.step(&Services{List: []catalogue.Service{
		{Name: "look", Idempotent: true, Priority: catalogue.Interactive},
		{Name: "post", Priority: catalogue.Deferrable},
		{Name: "bulk", Idempotent: w.idempotent["bulk"], Priority: catalogue.Deferrable},
	}})
}

// step applies an event, and checks and records its effects.
func (w *randomRun) step(ev Event) {
	w.events++
	w.out.Reset()
	w.s.Step(w.now, ev, &w.out)
	for _, v := range w.out.Violations {
		w.fail("violation %s: %s", v.Invariant, v.Detail)
	}
	for _, e := range w.out.Cancels {
		a := w.attempts[e.Attempt]
		if a == nil || a.req != e.Req || a.cancelled != 0 {
			w.fail("cancel of unknown attempt %d", e.Attempt)
			return
		}
		a.cancelled = w.now
		w.requests[a.req].running--
		w.requests[a.req].mayHaveRun = true
	}
	for _, e := range w.out.Sends {
		w.recordAttempt(e.Req, e.Attempt, e.Deadline, e.Target)
	}
	for _, e := range w.out.Forwards {
		if w.requests[e.Req].hops > 0 {
			w.fail("request %d forwarded twice", e.Req)
		}
		w.recordAttempt(e.Req, e.Attempt, e.Deadline, "")
	}
	for _, e := range w.out.Delivers {
		answer, ok := ev.(*Answered)
		if !ok || answer.Req != e.Req || answer.Attempt != e.Attempt || w.answering != e.Attempt {
			w.fail("request %d got the answer of another attempt", e.Req)
		}
		w.recordFinal(e.Req)
	}
	for _, e := range w.out.Replies {
		if r := w.requests[e.Req]; e.Verdict == verdict.NotRun && (r.mayHaveRun || r.running > 0) {
			w.fail("request %d got verdict not-run, but it may have run", e.Req)
		}
		w.recordFinal(e.Req)
	}
	w.checkOpenRequests()
}

func (w *randomRun) recordFinal(id RequestID) {
	r := w.requests[id]
	if r.final || r.gone {
		w.fail("request %d has two final effects", id)
	}
	r.final = true
}

func (w *randomRun) recordAttempt(id RequestID, a AttemptID, deadline clock.Time, t fleet.TargetID) {
	r := w.requests[id]
	if r.final || r.gone {
		w.fail("attempt of request %d after its final effect", id)
	}
	if deadline > r.deadline {
		w.fail("attempt of request %d has a later deadline than the request", id)
	}
	if !r.idempotent && (r.mayHaveRun || r.running > 0) {
		w.fail("non-idempotent request %d sent again though it may have run", id)
	}
	if w.attempts[a] != nil {
		w.fail("attempt id %d assigned twice", a)
	}
	w.attempts[a] = &trackedAttempt{req: id, target: t}
	w.open = append(w.open, a)
	r.running++
	if t != "" {
		w.checkTarget(t)
	}
}

// checkTarget checks the number of attempts in flight at a target that was just
// sent a request.
func (w *randomRun) checkTarget(id fleet.TargetID) {
	i := slices.IndexFunc(w.targets, func(t fleet.Target) bool { return t.ID == id })
	if id == w.unlisted || w.targets[i].State != fleet.Live {
		w.fail("send to target %s, which is not live or not listed", id)
		return
	}
	n := 0
	for _, a := range w.open {
		b := w.attempts[a]
		if b.target == id && (b.cancelled == 0 || w.now < b.cancelled.Add(w.grace)) {
			n++
		}
	}
	if n > w.targets[i].Slots {
		w.fail("target %s has %d in flight, %d slots", id, n, w.targets[i].Slots)
	}
}

// checkOpenRequests checks that every open request has a timer no later than
// its deadline, and that no attempt of an ended request is still current.
func (w *randomRun) checkOpenRequests() {
	for id, r := range w.requests {
		if r.final || r.gone {
			if r.running > 0 {
				w.fail("request %d ended, but one of its attempts was not cancelled", id)
			}
			if r.running == 0 && !w.hasOpen(id) {
				delete(w.requests, id)
			}
			continue
		}
		if w.now >= r.deadline {
			w.fail("request %d still open after its deadline", id)
		}
		if w.out.Wake > r.deadline {
			w.fail("wake at %d, but request %d has its deadline at %d", w.out.Wake, id, r.deadline)
		}
	}
}

func (w *randomRun) hasOpen(id RequestID) bool {
	return slices.ContainsFunc(w.open, func(a AttemptID) bool { return w.attempts[a].req == id })
}

// randomEvent applies one random event.
func (w *randomRun) randomEvent() {
	w.now = w.now.Add(time.Duration(w.intn(4)*w.intn(4)*w.intn(4)) * time.Millisecond)
	if w.out.Wake <= w.now {
		w.now = max(w.out.Wake, w.now)
		w.step(&Tick{})
		return
	}
	switch k := w.intn(100); {
	case k < 40:
		w.arrive()
	case k < 70:
		w.answer()
	case k < 82:
		w.failAttempt()
	case k < 84:
		w.lateAnswer()
	case k < 86:
		w.callerGone()
	case k < 89:
		w.changeTargets()
	case k < 92:
		w.step(&Peers{Count: 1 + w.intn(5), Rank: w.intn(3)})
	case k < 94:
		w.setRemotes()
	case k < 95:
		w.setServices()
	case k < 98:
		t := w.targets[w.intn(len(w.targets))]
		w.step(&Health{Target: t.ID, OK: w.intn(3) > 0, InFlight: w.intn(5), Slots: w.intn(t.Slots + 1), Cold: w.intn(4) == 0, Age: time.Duration(w.intn(1000)) * time.Millisecond})
	case k < 99:
		w.now = w.now.Add(time.Duration(w.intn(3000)) * time.Millisecond)
		w.step(&Tick{})
	case w.events > 15_000:
		w.step(&Stop{})
	}
}

func (w *randomRun) arrive() {
	w.lastRequest++
	service := []fleet.ServiceName{"look", "post", "bulk"}[w.intn(3)]
	r := &trackedRequest{idempotent: w.idempotent[service], deadline: w.now.Add(time.Duration(1+w.intn(2000)) * time.Millisecond), hops: uint8(max(w.intn(4)-2, 0))}
	w.requests[w.lastRequest] = r
	w.step(&Arrive{Req: w.lastRequest, Service: service, Block: uint64(w.intn(50)), Deadline: r.deadline, Hops: r.hops, BodyBytes: int64(w.intn(500)), ExpectedWait: time.Duration(w.intn(300)) * time.Millisecond})
}

// takeAttempt removes a random open attempt from the records, so that answers
// come in any order, and late after a cancel.
func (w *randomRun) takeAttempt() (AttemptID, *trackedAttempt) {
	if len(w.open) == 0 {
		return 0, nil
	}
	i := w.intn(len(w.open))
	id := w.open[i]
	w.open = slices.Delete(w.open, i, i+1)
	a := w.attempts[id]
	if a.cancelled == 0 {
		w.requests[a.req].running--
	}
	return id, a
}

func (w *randomRun) answer() {
	id, a := w.takeAttempt()
	if a == nil {
		return
	}
	e := Answered{Req: a.req, Attempt: id, Status: 200 + 300*max(w.intn(10)-8, 0)}
	if w.intn(3) == 0 {
		e.Load = &LoadHint{InFlight: w.intn(4), Slots: w.intn(5)}
	}
	if r := w.requests[a.req]; r != nil {
		r.mayHaveRun = true
	}
	if a.cancelled == 0 {
		w.answering = id
	}
	w.step(&e)
	w.answering = 0
	w.lateAnswers = append(w.lateAnswers, e)
}

func (w *randomRun) failAttempt() {
	id, a := w.takeAttempt()
	if a == nil {
		return
	}
	e := Failed{Req: a.req, Attempt: id, Verdict: verdict.NotRun}
	e.Reason = []verdict.Reason{verdict.ReasonShed, verdict.ReasonConnect, verdict.ReasonStopping, verdict.ReasonOverload, verdict.ReasonBadRequest}[w.intn(5)]
	if w.intn(2) == 0 {
		e.Verdict = verdict.MayHaveRun
		e.Reason = []verdict.Reason{verdict.ReasonConnectionLost, verdict.ReasonSilent, verdict.ReasonAnswerCut}[w.intn(3)]
		if r := w.requests[a.req]; r != nil {
			r.mayHaveRun = true
		}
	}
	w.step(&e)
	w.lateAnswers = append(w.lateAnswers, Answered{Req: e.Req, Attempt: id, Status: 200})
}

// lateAnswer answers one of the last attempts that have ended.
func (w *randomRun) lateAnswer() {
	if len(w.lateAnswers) > 0 {
		e := w.lateAnswers[max(len(w.lateAnswers)-1-w.intn(4), 0)]
		w.step(&e)
	}
}

func (w *randomRun) callerGone() {
	id := w.lastRequest - RequestID(w.intn(5))
	if r := w.requests[id]; r != nil && !r.final {
		r.gone = true
	}
	w.step(&CallerGone{Req: id})
}

func (w *randomRun) changeTargets() {
	t := &w.targets[w.intn(len(w.targets))]
	t.State = fleet.State(max(w.intn(4)-1, 0))
	t.Slots = 1 + w.intn(4)
	if w.intn(4) == 0 {
		// One target is missing from the list, and may return later.
		w.targets[0], w.targets[len(w.targets)-1] = w.targets[len(w.targets)-1], w.targets[0]
		w.unlisted = w.targets[0].ID
		w.step(&Targets{List: w.targets[1:]})
		return
	}
	w.unlisted = ""
	w.step(&Targets{List: w.targets})
}

func (w *randomRun) setRemotes() {
	e := &Remotes{}
	for i := 0; i < w.intn(4); i++ {
		e.List = append(e.List, Remote{
			VM: fleet.VMID(fmt.Sprint("vm", w.intn(4))), Service: []fleet.ServiceName{"look", "post", "bulk"}[w.intn(3)],
			Headroom: w.intn(6), Age: time.Duration(w.intn(2000)) * time.Millisecond, RTT: time.Duration(1+w.intn(110)) * time.Millisecond,
		})
	}
	w.step(e)
}

func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		intn := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		w := newRandomRun(1, intn, rt.Fatalf)
		for i := 0; i < 60; i++ {
			w.randomEvent()
		}
	})
}

func TestRandomLong(t *testing.T) {
	const each = 20_000
	for seed, n := *randomSeed, 0; n < *randomEvents; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		w := newRandomRun(seed, rng.IntN, func(f string, args ...any) {
			t.Helper()
			t.Fatalf("seed %d: "+f, append([]any{seed}, args...)...)
		})
		for w.events < each {
			w.randomEvent()
		}
		n += w.events
	}
}
