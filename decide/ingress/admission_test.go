package ingress

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/clock/clocktest"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// source is a stream of requests of an account. Its route has the name of its priority.
type source struct {
	group, account string // outcomes are counted by group
	route          int
	perSecond      float64
}

// outcomes counts the final outcomes of requests.
type outcomes struct {
	asked, inAim, late, refused int
	refusedIn                   time.Duration // total, from the arrivals to the final refusals
}

// loadRun is an entry VM with ten targets of five slots. Work takes 300 ms, with a cached
// object 90 ms, so the targets run up to 550 requests a second.
type loadRun struct {
	*harness
	rng     *rand.Rand
	events  clocktest.Queue[func()]
	groups  map[string]*outcomes
	slots   map[fleet.TargetID]*[5]clock.Time // when each slot becomes free
	cached  map[string]bool                   // by target, start and object
	ended   map[RequestID]func(*Refusal)      // the refusal is nil if there was an answer
	objects map[RequestID]string
}

const (
	loadTime = 8 * time.Second
	loadAim  = 600 * time.Millisecond
)

func runLoad(t *testing.T, admission bool, sources []source, replace bool) *loadRun {
	x := &loadRun{
		harness: &harness{t: t, now: clock.Time(time.Hour)}, rng: rand.New(rand.NewPCG(3, 5)),
		groups: make(map[string]*outcomes), slots: make(map[fleet.TargetID]*[5]clock.Time), cached: make(map[string]bool),
		ended: make(map[RequestID]func(*Refusal)), objects: make(map[RequestID]string),
	}
	x.r = New(Options{Self: selfVM, Domain: "d1", Regions: map[fleet.Domain]fleet.Region{"d1": "r1"}, Seed: 1, Admission: admission, Bounds: Bounds{ColdFactor: 1e3}})
	x.step(&MembersChanged{VMs: []fleet.VM{{ID: selfVM, Domain: "d1", Region: "r1"}}})
	cfg := &route.Config{Version: 1, Services: map[fleet.ServiceName]route.Service{"svc": {Name: "svc", ColdRate: 5}}}
	for p := range 3 {
		cfg.Routes = append(cfg.Routes, route.Route{Name: fmt.Sprint(p), Host: "h", Prefix: fmt.Sprintf("/%d/", p), Aim: loadAim,
			Priority: p, Attempts: 1, Parts: []route.Part{{Service: "svc", Weight: 1}}})
	}
	for _, s := range sources {
		cfg.Accounts = append(cfg.Accounts, route.Account{Name: route.AccountName(s.account), Keys: []route.KeyDigest{route.DigestKey(s.account)}})
		x.groups[s.group] = new(outcomes)
	}
	x.step(&Configured{Table: route.NewTable(cfg)})
	for i := range 10 {
		x.target(fleet.TargetID(fmt.Sprint("t", i)), "d1", 5)
		x.slots[fleet.TargetID(fmt.Sprint("t", i))] = new([5]clock.Time)
	}
	for _, s := range sources {
		x.arrive(s, x.now.Add(loadTime))
	}
	for i := 0; replace && i < 5; i++ {
		x.events.Push(x.now.Add(loadTime/2), func() {
			x.apply(&TargetsChanged{Updated: []Target{{ID: fleet.TargetID(fmt.Sprint("t", i)), Service: "svc", Domain: "d1", Slots: 5, StartedAt: 2, Cold: 2 * time.Second}}})
		})
	}
	for at, run, ok := x.events.Pop(clock.Never); ok; at, run, ok = x.events.Pop(clock.Never) {
		x.now = max(x.now, at)
		run()
	}
	return x
}

func (x *loadRun) arrive(s source, end clock.Time) {
	x.events.Push(x.now.Add(time.Duration(x.rng.ExpFloat64()/s.perSecond*float64(time.Second))), func() {
		if x.now.Before(end) {
			x.groups[s.group].asked++
			x.ask(s, fmt.Sprint("o", x.rng.IntN(60)), x.now, true)
			x.arrive(s, end)
		}
	})
}

// ask sends a request. If it is refused, its caller returns once, as Retry-After says.
func (x *loadRun) ask(s source, object string, began clock.Time, again bool) {
	x.last++
	o, key := x.groups[s.group], route.DigestKey(s.account)
	x.objects[x.last] = object
	x.ended[x.last] = func(f *Refusal) {
		switch {
		case f == nil && x.now.Sub(began) <= loadAim:
			o.inAim++
		case f == nil:
			o.late++
		case f.Verdict != verdict.NotRun || f.RetryAfter < loadAim/10 || f.RetryAfter > 2*loadAim*3/4:
			x.t.Fatalf("refusal %+v", f)
		case again:
			x.events.Push(x.now.Add(f.RetryAfter), func() { x.ask(s, object, began, false) })
		default:
			o.refused++
			o.refusedIn += x.now.Sub(began)
		}
	}
	x.apply(&Arrive{Request: x.last, Host: "h", Path: fmt.Sprintf("/%d/x", s.route), Object: object, Timeout: 3 * time.Second, Key: &key})
}

// apply passes an event to the entry VM and executes the effects.
func (x *loadRun) apply(ev Event) {
	var out Ready
	x.r.Step(x.now, ev, &out)
	for _, f := range out.Refusals {
		x.ended[f.Request](&f)
	}
	for _, d := range out.Delivers {
		x.ended[d.Request](nil)
	}
	for _, s := range out.Sends {
		slot := &x.slots[s.Target][0]
		for i := range x.slots[s.Target] {
			if other := &x.slots[s.Target][i]; *other < *slot {
				slot = other
			}
		}
		work, object := 300*time.Millisecond, fmt.Sprint(s.Target, s.StartedAt, x.objects[s.Request])
		if x.cached[object] {
			work = 90 * time.Millisecond
		}
		x.cached[object] = true
		*slot = max(*slot, x.now).Add(work)
		x.events.Push(*slot, func() { x.apply(&Answered{Attempt: s.Attempt, Outcome: Served}) })
	}
	if out.WakeAt != clock.Never {
		x.events.Push(out.WakeAt, func() {
			if x.r.timers.next() <= x.now {
				x.apply(&Tick{})
			}
		})
	}
}

// Guards against an order of service that lets a crowd of requests displace others of more
// urgent classes or of other accounts, and against early refusals that cost answers.
func TestAdmissionUnderLoad(t *testing.T) {
	for _, c := range []struct {
		name      string
		crowd     source
		replace   bool
		spared    []string // groups of which at most mayRefuse is refused
		mayRefuse float64
		least     []string // groups that get at least floor of the answers
		floor     float64
	}{
		{name: "one account sends eight times its usual", crowd: source{"crowd", "c", 2, 160},
			spared: []string{"usual-0", "usual-1"}, mayRefuse: 0.01},
		{name: "a crowd of the least urgent kind", crowd: source{"crowd", "c", 2, 1000},
			spared: []string{"usual-0", "usual-1", "usual-2"}, mayRefuse: 0.04, least: []string{"crowd"}, floor: 0.25},
		{name: "a crowd of the most urgent", crowd: source{"crowd", "c", 0, 1000},
			spared: []string{"usual-0"}, mayRefuse: 0.01, least: []string{"usual-1", "usual-2"}, floor: 0.045},
		{name: "half of the targets replaced cold", crowd: source{"usual-2", "c", 2, 20}, replace: true,
			spared: []string{"usual-0", "usual-1", "usual-2"}, mayRefuse: 0.015},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sources := []source{c.crowd}
			for i := range 20 {
				sources = append(sources, source{group: fmt.Sprint("usual-", i%3), account: fmt.Sprint("a", i), route: i % 3, perSecond: 20})
			}
			before, x := runLoad(t, false, sources, c.replace), runLoad(t, true, sources, c.replace)
			answered, answeredBefore := 0, 0
			for _, name := range slices.Sorted(maps.Keys(x.groups)) {
				o, b := x.groups[name], before.groups[name]
				t.Logf("%s: %+v, without admission %+v", name, *o, *b)
				is.Equal(o.asked, o.inAim+o.late+o.refused)
				answered, answeredBefore = answered+o.inAim+o.late, answeredBefore+b.inAim+b.late
				is.True(!slices.Contains(c.spared, name) || float64(o.refused) <= c.mayRefuse*float64(o.asked))
			}
			t.Logf("%d answers, without admission %d; %+v", answered, answeredBefore, x.r.AdmissionCounts()["svc"])
			is.True(float64(answered) >= 0.97*float64(answeredBefore))
			for _, name := range c.least {
				is.True(float64(x.groups[name].inAim+x.groups[name].late) >= c.floor*float64(answered))
			}
			if o, b := x.groups["crowd"], before.groups["crowd"]; o != nil { // callers know sooner
				is.True(o.refusedIn/time.Duration(o.refused) < b.refusedIn/time.Duration(b.refused))
			}
			is.NoErr(x.r.Check())
			is.Equal(x.r.services["svc"].waiting.Len(), 0)
		})
	}
}

// Guards against an inconsistent state after targets have joined, left, failed and filled
// up while requests wait.
func TestAdmissionKeepsItsStateConsistent(t *testing.T) {
	for seed := range uint64(4) {
		x := newIndexRunWith(t, seed, true)
		for range 3000 {
			x.randomEvent() // calls Check
		}
		is.New(t).True(x.r.AdmissionCounts()["svc"].Granted > 0)
	}
}

// Guards against a refusal on arrival because of requests that wait for other targets:
// 60 requests bound to region r2 wait there, none in r1.
func TestAdmissionDoesNotRefuseForOtherTargets(t *testing.T) {
	is := is.New(t)
	s := &harness{t: t, now: clock.Time(time.Hour)}
	s.r = New(Options{Self: selfVM, Domain: "d1", Regions: map[fleet.Domain]fleet.Region{"d1": "r1", "e1": "r2"}, Seed: 1, Admission: true})
	s.step(&MembersChanged{VMs: []fleet.VM{{ID: selfVM, Domain: "d1", Region: "r1"}}})
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 2)
	s.target("t2", "e1", 2)
	var granted []PlacementID
	var denied []verdict.Reason
	read := func(out *Ready) {
		for _, m := range out.Messages {
			switch m := m.Message.(type) {
			case *Grant:
				granted = append(granted, m.ID)
			case *Deny:
				denied = append(denied, m.Reason)
			}
		}
	}
	ask := func(region fleet.Region, wait time.Duration) {
		s.last++
		read(s.step(&IncomingMessage{From: otherVM, Message: &PlacementRequest{ID: PlacementID(s.last), Service: "svc", Route: "a",
			Domain: "d1", AllowedRegions: []fleet.Region{region}, MaxWait: wait, TimeLeft: time.Minute}}))
	}
	for range 60 {
		ask("r2", 30*time.Second)
	}
	for range 10 {
		s.now = s.now.Add(100 * time.Millisecond)
		id := granted[0]
		granted = granted[1:]
		read(s.step(&IncomingMessage{From: otherVM, Message: &Report{ID: id, Result: ResultServed, Took: 100 * time.Millisecond}}))
	}
	for range 3 { // the slots of t1, and its queue for requests without an object
		ask("r1", time.Second)
	}
	svc := s.r.services["svc"]
	is.True(svc.waiting.Len() > 30)
	waiting := svc.waiting.Len()
	is.Equal(len(s.r.targets["t1"].waiters), 0)
	ask("r2", time.Second) // waits behind all others
	is.Equal(denied, []verdict.Reason{verdict.ReasonOverload})
	ask("r1", time.Second) // the next place at t1 is for this request
	is.Equal(len(denied), 1)
	is.Equal(svc.waiting.Len(), waiting+1)
	is.NoErr(s.r.Check())
}
