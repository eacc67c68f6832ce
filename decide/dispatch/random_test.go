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
	run := &randomRun{
		fail: fail, intn: intn, now: 1e9, grace: defaultCancelGrace,
		idempotent: map[fleet.ServiceName]bool{"look": true},
		requests:   map[RequestID]*trackedRequest{}, attempts: map[AttemptID]*trackedAttempt{},
	}
	policies := []string{"", "round-robin", "random", "least-in-flight", "two-choices"}
	run.s = New(Options{
		VM: "self", Seed: seed, Policy: policies[max(intn(10)-5, 0)], PanicOnViolation: false, Audit: true,
		Limits: Limits{QueueItems: 4 + intn(40), QueueBytes: 4000, RepeatBurst: 1 + intn(20)},
	})
	run.setServices()
	for i := 0; i < 2+intn(8); i++ {
		service := []fleet.ServiceName{"look", "post", "bulk"}[i%3]
		run.targets = append(run.targets, fleet.Target{ID: fleet.TargetID(fmt.Sprint("t", i)), Service: service, Slots: 1 + intn(4), Connections: 100})
	}
	run.step(&Targets{List: run.targets})
	return run
}

// setServices replaces the catalogue; the service bulk is idempotent at random.
func (run *randomRun) setServices() {
	run.idempotent["bulk"] = run.intn(2) == 0
	run.step(&Services{List: []catalogue.Service{
		{Name: "look", Idempotent: true, Priority: catalogue.Interactive},
		{Name: "post", Priority: catalogue.Deferrable},
		{Name: "bulk", Idempotent: run.idempotent["bulk"], Priority: catalogue.Deferrable},
	}})
}

// step applies an event, and checks and records its effects.
func (run *randomRun) step(ev Event) {
	run.events++
	run.out.Reset()
	run.s.Step(run.now, ev, &run.out)
	for _, v := range run.out.Violations {
		run.fail("violation %s: %s", v.Invariant, v.Detail)
	}
	for _, e := range run.out.Cancels {
		a := run.attempts[e.Attempt]
		if a == nil || a.req != e.Req || a.cancelled != 0 {
			run.fail("cancel of unknown attempt %d", e.Attempt)
			return
		}
		a.cancelled = run.now
		run.requests[a.req].running--
		run.requests[a.req].mayHaveRun = true
	}
	for _, e := range run.out.Sends {
		run.recordAttempt(e.Req, e.Attempt, e.Deadline, e.Target)
	}
	for _, e := range run.out.Forwards {
		if run.requests[e.Req].hops > 0 {
			run.fail("request %d forwarded twice", e.Req)
		}
		run.recordAttempt(e.Req, e.Attempt, e.Deadline, "")
	}
	for _, e := range run.out.Delivers {
		answer, ok := ev.(*Answered)
		if !ok || answer.Req != e.Req || answer.Attempt != e.Attempt || run.answering != e.Attempt {
			run.fail("request %d got the answer of another attempt", e.Req)
		}
		run.recordFinal(e.Req)
	}
	for _, e := range run.out.Replies {
		if r := run.requests[e.Req]; e.Verdict == verdict.NotRun && (r.mayHaveRun || r.running > 0) {
			run.fail("request %d got verdict not-run, but it may have run", e.Req)
		}
		run.recordFinal(e.Req)
	}
	run.checkOpenRequests()
}

func (run *randomRun) recordFinal(id RequestID) {
	r := run.requests[id]
	if r.final || r.gone {
		run.fail("request %d has two final effects", id)
	}
	r.final = true
}

func (run *randomRun) recordAttempt(id RequestID, a AttemptID, deadline clock.Time, t fleet.TargetID) {
	r := run.requests[id]
	if r.final || r.gone {
		run.fail("attempt of request %d after its final effect", id)
	}
	if deadline > r.deadline {
		run.fail("attempt of request %d has a later deadline than the request", id)
	}
	if !r.idempotent && (r.mayHaveRun || r.running > 0) {
		run.fail("non-idempotent request %d sent again though it may have run", id)
	}
	if run.attempts[a] != nil {
		run.fail("attempt id %d assigned twice", a)
	}
	run.attempts[a] = &trackedAttempt{req: id, target: t}
	run.open = append(run.open, a)
	r.running++
	if t != "" {
		run.checkTarget(t)
	}
}

// checkTarget checks the number of attempts in flight at a target that was just
// sent a request.
func (run *randomRun) checkTarget(id fleet.TargetID) {
	i := slices.IndexFunc(run.targets, func(t fleet.Target) bool { return t.ID == id })
	if id == run.unlisted || run.targets[i].State != fleet.Live {
		run.fail("send to target %s, which is not live or not listed", id)
		return
	}
	n := 0
	for _, a := range run.open {
		b := run.attempts[a]
		if b.target == id && (b.cancelled == 0 || run.now < b.cancelled.Add(run.grace)) {
			n++
		}
	}
	if n > run.targets[i].Slots {
		run.fail("target %s has %d in flight, %d slots", id, n, run.targets[i].Slots)
	}
}

// checkOpenRequests checks that every open request has a timer no later than
// its deadline, and that no attempt of an ended request is still current.
func (run *randomRun) checkOpenRequests() {
	for id, r := range run.requests {
		if r.final || r.gone {
			if r.running > 0 {
				run.fail("request %d ended, but one of its attempts was not cancelled", id)
			}
			if r.running == 0 && !run.hasOpen(id) {
				delete(run.requests, id)
			}
			continue
		}
		if run.now >= r.deadline {
			run.fail("request %d still open after its deadline", id)
		}
		if run.out.WakeAt > r.deadline {
			run.fail("wake at %d, but request %d has its deadline at %d", run.out.WakeAt, id, r.deadline)
		}
	}
}

func (run *randomRun) hasOpen(id RequestID) bool {
	return slices.ContainsFunc(run.open, func(a AttemptID) bool { return run.attempts[a].req == id })
}

// randomEvent applies one random event.
func (run *randomRun) randomEvent() {
	run.now = run.now.Add(time.Duration(run.intn(4)*run.intn(4)*run.intn(4)) * time.Millisecond)
	if run.out.WakeAt <= run.now {
		run.now = max(run.out.WakeAt, run.now)
		run.step(&Tick{})
		return
	}
	switch k := run.intn(100); {
	case k < 40:
		run.arrive()
	case k < 70:
		run.answer()
	case k < 82:
		run.failAttempt()
	case k < 84:
		run.lateAnswer()
	case k < 86:
		run.callerGone()
	case k < 89:
		run.changeTargets()
	case k < 92:
		run.step(&Peers{Count: 1 + run.intn(5), Rank: run.intn(3)})
	case k < 94:
		run.setRemotes()
	case k < 95:
		run.setServices()
	case k < 98:
		t := run.targets[run.intn(len(run.targets))]
		run.step(&Health{Target: t.ID, OK: run.intn(3) > 0, InFlight: run.intn(5), Slots: run.intn(t.Slots + 1), Cold: run.intn(4) == 0, Age: time.Duration(run.intn(1000)) * time.Millisecond})
	case k < 99:
		run.now = run.now.Add(time.Duration(run.intn(3000)) * time.Millisecond)
		run.step(&Tick{})
	case run.events > 15_000:
		run.step(&Stop{})
	}
}

func (run *randomRun) arrive() {
	run.lastRequest++
	service := []fleet.ServiceName{"look", "post", "bulk"}[run.intn(3)]
	r := &trackedRequest{idempotent: run.idempotent[service], deadline: run.now.Add(time.Duration(1+run.intn(2000)) * time.Millisecond), hops: uint8(max(run.intn(4)-2, 0))}
	run.requests[run.lastRequest] = r
	run.step(&Arrive{Req: run.lastRequest, Service: service, Block: uint64(run.intn(50)), Deadline: r.deadline, Hops: r.hops, BodyBytes: int64(run.intn(500)), ExpectedWait: time.Duration(run.intn(300)) * time.Millisecond})
}

// takeAttempt removes a random open attempt from the records, so that answers
// come in any order, and late after a cancel.
func (run *randomRun) takeAttempt() (AttemptID, *trackedAttempt) {
	if len(run.open) == 0 {
		return 0, nil
	}
	i := run.intn(len(run.open))
	id := run.open[i]
	run.open = slices.Delete(run.open, i, i+1)
	a := run.attempts[id]
	if a.cancelled == 0 {
		run.requests[a.req].running--
	}
	return id, a
}

func (run *randomRun) answer() {
	id, a := run.takeAttempt()
	if a == nil {
		return
	}
	e := Answered{Req: a.req, Attempt: id, Status: 200 + 300*max(run.intn(10)-8, 0)}
	if run.intn(3) == 0 {
		e.Load = &LoadHint{InFlight: run.intn(4), Slots: run.intn(5)}
	}
	if r := run.requests[a.req]; r != nil {
		r.mayHaveRun = true
	}
	if a.cancelled == 0 {
		run.answering = id
	}
	run.step(&e)
	run.answering = 0
	run.lateAnswers = append(run.lateAnswers, e)
}

func (run *randomRun) failAttempt() {
	id, a := run.takeAttempt()
	if a == nil {
		return
	}
	e := Failed{Req: a.req, Attempt: id, Verdict: verdict.NotRun}
	e.Reason = []verdict.Reason{verdict.ReasonTargetRefused, verdict.ReasonConnect, verdict.ReasonStopping, verdict.ReasonOverload, verdict.ReasonBadRequest}[run.intn(5)]
	if run.intn(2) == 0 {
		e.Verdict = verdict.MayHaveRun
		e.Reason = []verdict.Reason{verdict.ReasonConnectionLost, verdict.ReasonSilent, verdict.ReasonAnswerCut}[run.intn(3)]
		if r := run.requests[a.req]; r != nil {
			r.mayHaveRun = true
		}
	}
	run.step(&e)
	run.lateAnswers = append(run.lateAnswers, Answered{Req: e.Req, Attempt: id, Status: 200})
}

// lateAnswer answers one of the last attempts that have ended.
func (run *randomRun) lateAnswer() {
	if len(run.lateAnswers) > 0 {
		e := run.lateAnswers[max(len(run.lateAnswers)-1-run.intn(4), 0)]
		run.step(&e)
	}
}

func (run *randomRun) callerGone() {
	id := run.lastRequest - RequestID(run.intn(5))
	if r := run.requests[id]; r != nil && !r.final {
		r.gone = true
	}
	run.step(&CallerGone{Req: id})
}

func (run *randomRun) changeTargets() {
	t := &run.targets[run.intn(len(run.targets))]
	t.State = fleet.State(max(run.intn(4)-1, 0))
	t.Slots = 1 + run.intn(4)
	if run.intn(4) == 0 {
		// One target is missing from the list, and may return later.
		run.targets[0], run.targets[len(run.targets)-1] = run.targets[len(run.targets)-1], run.targets[0]
		run.unlisted = run.targets[0].ID
		run.step(&Targets{List: run.targets[1:]})
		return
	}
	run.unlisted = ""
	run.step(&Targets{List: run.targets})
}

func (run *randomRun) setRemotes() {
	e := &RemoteLoads{}
	for i := 0; i < run.intn(4); i++ {
		e.List = append(e.List, RemoteLoad{
			VM: fleet.VMID(fmt.Sprint("vm", run.intn(4))), Service: []fleet.ServiceName{"look", "post", "bulk"}[run.intn(3)],
			Headroom: run.intn(6), Age: time.Duration(run.intn(2000)) * time.Millisecond, RTT: time.Duration(1+run.intn(110)) * time.Millisecond,
		})
	}
	run.step(e)
}

func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		intn := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		run := newRandomRun(1, intn, rt.Fatalf)
		for i := 0; i < 60; i++ {
			run.randomEvent()
		}
	})
}

func TestRandomLong(t *testing.T) {
	const eventsPerSeed = 20_000
	for seed, n := *randomSeed, 0; n < *randomEvents; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		run := newRandomRun(seed, rng.IntN, func(f string, args ...any) {
			t.Helper()
			t.Fatalf("seed %d: "+f, append([]any{seed}, args...)...)
		})
		for run.events < eventsPerSeed {
			run.randomEvent()
		}
		n += run.events
	}
}
