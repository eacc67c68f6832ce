package ingress

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/clock/clocktest"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// source is a stream of requests of an account. Its priority is that of its route, whose
// name is the priority.
type source struct {
	group     string // whose outcomes it is counted with
	account   string
	route     int
	perSecond float64
}

// outcomes counts the final outcomes of the requests of a group.
type outcomes struct {
	asked, inAim, late, refused int
	refusedIn                   time.Duration // total time from the arrivals to the final refusals
}

func (o *outcomes) refusedShare() float64 { return float64(o.refused) / float64(o.asked) }

// loadRun is one region with one entry VM and ten targets of five slots. Work takes
// 300 ms, with a cached object 90 ms, so the targets run up to 550 requests a second.
type loadRun struct {
	*harness
	rng    *rand.Rand
	events clocktest.Queue[func()]
	groups map[string]*outcomes
	busy   map[fleet.TargetID]int
	queued map[fleet.TargetID][]func()
	cached map[string]bool // target and object
	// ended handles the end of a request; the refusal is nil if it was answered.
	ended   map[RequestID]func(*Refusal)
	objects map[RequestID]string
}

const (
	loadTime = 8 * time.Second
	loadAim  = 600 * time.Millisecond
)

func runLoad(t *testing.T, admission bool, sources []source, extra func(*loadRun)) *loadRun {
	x := &loadRun{
		harness: &harness{t: t, now: clock.Time(time.Hour)}, rng: rand.New(rand.NewPCG(3, 5)), groups: make(map[string]*outcomes),
		busy: make(map[fleet.TargetID]int), queued: make(map[fleet.TargetID][]func()), cached: make(map[string]bool),
		ended: make(map[RequestID]func(*Refusal)), objects: make(map[RequestID]string),
	}
	x.r = New(Options{Self: selfVM, Domain: "d1", Regions: map[fleet.Domain]fleet.Region{"d1": "r1"}, Seed: 1, Admission: admission, Bounds: Bounds{ColdFactor: 1e3}})
	x.step(&MembersChanged{VMs: []fleet.VM{{ID: selfVM, Domain: "d1", Region: "r1"}}})
	cfg := &route.Config{Version: 1, Services: map[fleet.ServiceName]route.Service{"svc": {Name: "svc", ColdRate: 5}}}
	for p := range 3 {
		cfg.Routes = append(cfg.Routes, route.Route{Name: fmt.Sprint(p), Host: "h", Prefix: fmt.Sprintf("/%d/", p), Aim: loadAim,
			Priority: p, Attempts: 1, Parts: []route.Part{{Service: "svc", Weight: 1}}})
	}
	for i := range sources {
		s := &sources[i]
		cfg.Accounts = append(cfg.Accounts, route.Account{Name: route.AccountName(s.account), Keys: []route.KeyDigest{route.DigestKey(s.account)}})
	}
	x.step(&Configured{Table: route.NewTable(cfg)})
	for i := range 10 {
		x.target(fleet.TargetID(fmt.Sprint("t", i)), "d1", 5)
	}
	for _, s := range sources {
		x.groups[s.group] = new(outcomes)
	}
	for _, s := range sources {
		x.arrivals(s)
	}
	if extra != nil {
		extra(x)
	}
	for end := x.now.Add(loadTime + 4*time.Second); ; {
		at, run, ok := x.events.Pop(end)
		if !ok {
			return x
		}
		x.now = max(x.now, at)
		run()
	}
}

func (x *loadRun) after(d time.Duration, f func()) { x.events.Push(x.now.Add(d), f) }

func (x *loadRun) arrivals(s source) {
	end := x.now.Add(loadTime)
	var next func()
	next = func() {
		if x.now.After(end) {
			return
		}
		x.groups[s.group].asked++
		x.ask(s, fmt.Sprint("o", x.rng.IntN(60)), x.now, true)
		x.after(time.Duration(x.rng.ExpFloat64()/s.perSecond*float64(time.Second)), next)
	}
	x.after(0, next)
}

// ask sends a request. If it is refused, its caller returns once, as Retry-After says.
func (x *loadRun) ask(s source, object string, began clock.Time, again bool) {
	x.last++
	o, key := x.groups[s.group], route.DigestKey(s.account)
	x.ended[x.last] = func(f *Refusal) {
		switch {
		case f == nil && x.now.Sub(began) <= loadAim:
			o.inAim++
		case f == nil:
			o.late++
		case f.Verdict != verdict.NotRun || f.RetryAfter > 2*loadAim*3/4:
			x.t.Fatalf("refusal %+v", f)
		case again:
			x.after(f.RetryAfter, func() { x.ask(s, object, began, false) })
		default:
			o.refused++
			o.refusedIn += x.now.Sub(began)
		}
	}
	x.objects[x.last] = object
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
		x.start(s)
	}
	if out.WakeAt != clock.Never {
		x.events.Push(out.WakeAt, func() {
			if x.r.timers.next() <= x.now {
				x.apply(&Tick{})
			}
		})
	}
}

// start executes a send at its target, after those that were sent there before.
func (x *loadRun) start(s Send) {
	run := func() {
		work, cached := 300*time.Millisecond, fmt.Sprint(s.Target, s.StartedAt, x.objects[s.Request])
		if x.cached[cached] {
			work = 90 * time.Millisecond
		}
		x.cached[cached] = true
		x.after(work, func() {
			x.busy[s.Target]--
			if list := x.queued[s.Target]; len(list) > 0 {
				x.queued[s.Target] = list[1:]
				x.busy[s.Target]++
				list[0]()
			}
			x.apply(&Answered{Attempt: s.Attempt, Outcome: Served})
		})
	}
	if x.busy[s.Target] == 5 {
		x.queued[s.Target] = append(x.queued[s.Target], run)
		return
	}
	x.busy[s.Target]++
	run()
}

// usual is the load of 20 accounts of 20 requests a second each, of all priorities.
func usual() (list []source) {
	for i := range 20 {
		list = append(list, source{group: fmt.Sprint("usual-", i%3), account: fmt.Sprint("a", i), route: i % 3, perSecond: 20})
	}
	return list
}

// group adds up the outcomes of all groups with the prefix.
func (x *loadRun) group(prefix string) (sum outcomes) {
	for name, o := range x.groups {
		if strings.HasPrefix(name, prefix) {
			sum.asked, sum.inAim, sum.late = sum.asked+o.asked, sum.inAim+o.inAim, sum.late+o.late
			sum.refused, sum.refusedIn = sum.refused+o.refused, sum.refusedIn+o.refusedIn
		}
	}
	return sum
}

// Guards against an order of service that lets a crowd of requests displace others of more
// urgent classes or of other accounts, and against early refusals that cost answers. The
// same load without admission shows that there is something to guard against.
func TestAdmissionUnderLoad(t *testing.T) {
	for _, c := range []struct {
		name  string
		add   []source
		extra func(*loadRun)
		// spared are the groups of which at most mayRefuse is refused.
		spared    []string
		mayRefuse float64
		// floor is the least share of the answers that the groups least get.
		least []string
		floor float64
	}{
		{name: "one account sends eight times its usual", add: []source{{"hot", "hot", 2, 20}, {"hot", "hot", 2, 140}},
			spared: []string{"usual-0", "usual-1"}, mayRefuse: 0.01},
		{name: "a crowd of the least urgent kind", add: []source{{"crowd", "c", 2, 1000}},
			spared: []string{"usual-0", "usual-1", "usual-2"}, mayRefuse: 0.04, least: []string{"crowd"}, floor: 0.25},
		{name: "a crowd of the most urgent", add: []source{{"crowd", "c", 0, 1000}},
			spared: []string{"usual-0"}, mayRefuse: 0.01, least: []string{"usual-1", "usual-2"}, floor: 0.045},
		{name: "half of the targets replaced cold", extra: (*loadRun).replaceHalf,
			spared: []string{"usual-0", "usual-1", "usual-2"}, mayRefuse: 0.015},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			without := runLoad(t, false, append(usual(), c.add...), c.extra)
			x := runLoad(t, true, append(usual(), c.add...), c.extra)
			for _, name := range slices.Sorted(maps.Keys(x.groups)) {
				t.Logf("%s: %+v, without admission %+v", name, *x.groups[name], *without.groups[name])
			}
			t.Logf("%+v", x.r.AdmissionCounts()["svc"])
			all, before := x.group(""), without.group("")
			answered := all.inAim + all.late
			is.Equal(all.asked, answered+all.refused)
			is.True(float64(answered) >= 0.97*float64(before.inAim+before.late))
			for _, name := range c.spared {
				is.True(x.groups[name].refusedShare() <= c.mayRefuse)
			}
			for _, name := range c.least {
				is.True(float64(x.groups[name].inAim+x.groups[name].late) >= c.floor*float64(answered))
			}
			if c.add != nil { // refused callers know sooner
				is.True(all.refusedIn/time.Duration(all.refused) < before.refusedIn/time.Duration(before.refused))
			}
			is.NoErr(x.r.Check())
			is.Equal(x.r.services["svc"].waiting.Len(), 0)
		})
	}
}

// replaceHalf replaces half of the targets in the middle of the load.
func (x *loadRun) replaceHalf() {
	x.after(loadTime/2, func() {
		for i := range 5 {
			x.apply(&TargetsChanged{Updated: []Target{{ID: fleet.TargetID(fmt.Sprint("t", i)), Service: "svc", Domain: "d1", Slots: 5, StartedAt: 2, Cold: 2 * time.Second}}})
		}
	})
}
