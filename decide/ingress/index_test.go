package ingress

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
	"github.com/azurethread/azurethread/decide/verdict"
)

// isWarm reports whether t is assumed to remember an object.
func (t *targetState) isWarm(now clock.Time, name string) bool {
	return t.svc.objects.get(name).isWarmAt(now, t)
}

// exhaustive computes by iterating over all targets what the reducer reads from
// its caches.
type exhaustive struct{ r *Reducer }

func (w exhaustive) order(j *job) []*targetState {
	return rank.By(j.Object, j.svc.targets, func(t *targetState) string { return string(t.ID) })
}

// bestOptions is the reference implementation of Reducer.bestOptions.
func (w exhaustive) bestOptions(now clock.Time, j *job, includeEjected bool) (local, remote option) {
	own, others, domain := 0, 0, 0
	for i, t := range w.order(j) {
		here := t.region == w.r.region
		wanted := j.Object == "" && here || t.isWarm(now, j.Object)
		if !w.r.eligible(now, j, t, includeEjected) {
			continue
		}
		count, most := &others, remoteCandidates
		if here {
			count, most = &own, localCandidates
		}
		inDomain := t.Domain == j.Domain && domain < domainCandidates
		if !wanted && !inDomain && *count >= most {
			continue
		}
		if t.Domain == j.Domain {
			domain++
		}
		*count++
		x, cost := scored{t: t, score: ^uint64(i)}, w.r.cost(now, j, t)
		if here {
			local.keepCheaper(x, cost)
		} else {
			remote.keepCheaper(x, cost)
		}
	}
	return local, remote
}

func (w exhaustive) firstLocal(j *job) *targetState {
	for _, t := range w.order(j) {
		if t.region == w.r.region && w.r.usable(j, t) {
			return t
		}
	}
	return nil
}

func (w exhaustive) lacksHeadroom(now clock.Time, s *service) bool {
	load, slots := 0, 0
	for _, t := range s.targets {
		if t.region == w.r.region && !t.Draining && !w.r.evacuated[t.Domain] {
			load += min(t.load(now), t.Slots)
			slots += t.Slots
		}
	}
	return float64(slots-load) < minHeadroom*float64(slots)
}

func (w exhaustive) untriedTarget(now clock.Time, j *job) *targetState {
	for _, t := range j.svc.targets {
		if t.untried && t.region == w.r.region && w.r.eligible(now, j, t, false) && !w.r.isFull(now, j, t) {
			return t
		}
	}
	return nil
}

func (w exhaustive) coordinator(region fleet.Region, s fleet.ServiceName) fleet.VMID {
	most := 0.0
	for _, m := range w.r.members {
		if m.State == fleet.Live && m.Region == region {
			most = max(most, m.Cores)
		}
	}
	var own []fleet.VMID
	for _, m := range w.r.members {
		if m.State == fleet.Live && m.Region == region && m.Cores >= most/2 {
			own = append(own, m.ID)
		}
	}
	if len(own) == 0 {
		return ""
	}
	return rank.Order(string(s), own)[0]
}

// indexRun passes random events to one reducer.
type indexRun struct {
	*harness
	rng     *rand.Rand
	targets map[fleet.TargetID]Target
	running []Send
	next    RequestID
	starts  int64
}

var indexRegions = map[fleet.Domain]fleet.Region{"d1": "r1", "d2": "r1", "d3": "r1", "e1": "r2", "e2": "r3"}

func newIndexRun(t *testing.T, seed uint64) *indexRun { return newIndexRunWith(t, seed, false) }

func newIndexRunWith(t *testing.T, seed uint64, admission bool) *indexRun {
	x := &indexRun{rng: rand.New(rand.NewPCG(seed, 11)), targets: make(map[fleet.TargetID]Target)}
	x.harness = &harness{t: t, now: clock.Time(time.Hour)}
	x.r = New(Options{Self: selfVM, Domain: "d1", Regions: indexRegions, Bounds: Bounds{ColdFactor: 1.5, ColdSlack: 4, RegionShift: 0.15, RetrySlack: 1000}, Seed: seed, Admission: admission})
	x.step(&MembersChanged{VMs: []fleet.VM{{ID: selfVM, Domain: "d1", Region: "r1"}}})
	rt := idempotentRoute("a")
	rt.Aim, rt.Timeout = 400*time.Millisecond, 3*time.Second
	home := idempotentRoute("home")
	home.Homes = []fleet.Region{"r2"}
	x.configure(1, rt, home)
	for range 70 {
		x.addTarget()
	}
	return x
}

func (x *indexRun) domain() fleet.Domain {
	return []fleet.Domain{"d1", "d1", "d2", "d3", "e1", "e2"}[x.rng.IntN(6)]
}

func (x *indexRun) addTarget() {
	x.starts++
	d := Target{ID: fleet.TargetID(fmt.Sprint("t", x.rng.IntN(200))), Service: "svc", Domain: x.domain(), Slots: 1 + x.rng.IntN(3), StartedAt: x.starts}
	if old, ok := x.targets[d.ID]; ok {
		d.Domain = old.Domain
	}
	if x.rng.IntN(2) == 0 {
		d.Cold = time.Duration(x.rng.IntN(3000)) * time.Millisecond
	}
	x.setTarget(d)
}

func (x *indexRun) setTarget(d Target) {
	x.targets[d.ID] = d
	x.step(&TargetsChanged{Updated: []Target{d}})
}

// anyTarget returns a random known target.
func (x *indexRun) anyTarget() Target {
	ids := make([]fleet.TargetID, 0, len(x.targets))
	for id := range x.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return x.targets[ids[x.rng.IntN(len(ids))]]
}

func (x *indexRun) anyObject() string {
	if x.rng.IntN(20) == 0 {
		return ""
	}
	return fmt.Sprint("o", x.rng.IntN(60))
}

func (x *indexRun) randomEvent() {
	x.now = x.now.Add(time.Duration(x.rng.IntN(12)) * time.Millisecond)
	switch n := x.rng.IntN(100); {
	case n < 2:
		x.addTarget()
	case n < 4 && len(x.targets) > 30:
		d := x.anyTarget()
		delete(x.targets, d.ID)
		x.step(&TargetsChanged{Removed: []fleet.TargetID{d.ID}, StoreDegraded: x.rng.IntN(3) == 0})
	case n < 6:
		d := x.anyTarget()
		d.Draining = x.rng.IntN(2) == 0
		x.setTarget(d)
	case n == 6:
		x.step(&Evacuated{Domain: x.domain(), Begin: x.rng.IntN(3) == 0})
	case n < 50 && len(x.running) > 0:
		x.answerAny()
	default:
		x.next++
		path := "/a/x"
		if x.rng.IntN(10) == 0 {
			path = "/home/x"
		}
		x.running = append(x.running, x.step(&Arrive{Request: x.next, Host: "h", Path: path, Object: x.anyObject()}).Sends...)
	}
}

func (x *indexRun) answerAny() {
	i := x.rng.IntN(len(x.running))
	send := x.running[i]
	x.running = slices.Delete(x.running, i, i+1)
	var out *Ready
	switch n := x.rng.IntN(20); {
	case n == 0:
		out = x.step(&Failed{Attempt: send.Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	case n == 1:
		out = x.step(&Answered{Attempt: send.Attempt, Outcome: Refused})
	case n == 2:
		out = x.step(&Answered{Attempt: send.Attempt, Outcome: Misdirected})
	default:
		load := Load{Known: true, Running: x.rng.IntN(4), Waiting: x.rng.IntN(2), Slots: 3}
		out = x.step(&Answered{Attempt: send.Attempt, Outcome: Served, Load: load})
	}
	x.running = append(x.running, out.Sends...)
}

// compare compares the reducer's cached results with an exhaustive search.
func (x *indexRun) compare() {
	w, s := exhaustive{x.r}, x.r.services["svc"]
	j := &job{PlacementRequest: PlacementRequest{Service: "svc", Route: "a", Object: x.anyObject(), Domain: "d2"}, svc: s}
	if j.Object != "" {
		j.obj = s.objects.get(j.Object)
	}
	if x.rng.IntN(8) == 0 {
		j.AllowedRegions = []fleet.Region{"r2"}
	}
	for range x.rng.IntN(3) {
		j.Tried = append(j.Tried, x.anyTarget().ID)
	}
	includeEjected := x.rng.IntN(4) == 0
	local, remote := x.r.bestOptions(x.now, j, includeEjected)
	wantLocal, wantRemote := w.bestOptions(x.now, j, includeEjected)
	if local.t != wantLocal.t || local.cost != wantLocal.cost || remote.t != wantRemote.t || remote.cost != wantRemote.cost {
		x.t.Fatalf("options for object %q: %v %v, by exhaustive search %v %v", j.Object, local, remote, wantLocal, wantRemote)
	}
	if j.obj != nil && x.r.firstLocal(j) != w.firstLocal(j) {
		x.t.Fatalf("first local target for object %q differs from the exhaustive search", j.Object)
	}
	if x.r.lacksHeadroom(x.now, s) != w.lacksHeadroom(x.now, s) {
		x.t.Fatalf("lacks headroom: %v, differs from the exhaustive search", x.r.lacksHeadroom(x.now, s))
	}
	if x.r.untriedTarget(x.now, j) != w.untriedTarget(x.now, j) {
		x.t.Fatal("untried target differs from the exhaustive search")
	}
}

// The data cached for each object, service and region leads to the same choice as
// an exhaustive search, regardless of targets that join, leave, drain, are
// evacuated, restart, fail or fill up.
func TestCachedOrdersMatchExhaustiveSearch(t *testing.T) {
	for seed := range uint64(12) {
		x := newIndexRun(t, seed)
		for range 3000 {
			x.randomEvent()
			x.compare()
		}
	}
}

// The cached coordinators are those that the list of entry VMs determines.
func TestCachedCoordinators(t *testing.T) {
	x := newIndexRun(t, 1)
	w := exhaustive{x.r}
	for range 200 {
		var vms []fleet.VM
		for i := range x.rng.IntN(9) {
			d := x.domain()
			vms = append(vms, fleet.VM{ID: fleet.VMID(fmt.Sprint("vm", i)), Domain: d, Region: indexRegions[d], State: fleet.State(x.rng.IntN(2)), Cores: []float64{0, 0.16, 0.8}[x.rng.IntN(3)]})
		}
		x.step(&MembersChanged{VMs: vms})
		for range 2 {
			for _, region := range []fleet.Region{"r1", "r2", "r3"} {
				if got, want := x.r.coordinator(region, "svc"), w.coordinator(region, "svc"); got != want {
					t.Fatalf("cached coordinator %q, by the member list %q", got, want)
				}
			}
		}
	}
}

// A service knows a limited number of objects and of warm targets for each, and
// keeps the objects in use.
func TestObjectsAreBounded(t *testing.T) {
	var os objects
	kept := os.get("kept")
	for n := range 5 * objectsPerGeneration {
		os.get(fmt.Sprint(n))
		if os.get("kept") != kept {
			t.Fatalf("object dropped after %d others", n)
		}
	}
	if n := len(os.young) + len(os.old); n > 2*objectsPerGeneration {
		t.Fatalf("%d objects are kept", n)
	}
	for n := range 3 * maxWarm {
		kept.markWarm(clock.Time(n), &targetState{})
	}
	if len(kept.warm) != maxWarm {
		t.Fatalf("%d warm targets are kept", len(kept.warm))
	}
}

// Guards against unbounded memory at an entry VM that asks a coordinator for each
// request. It never checks the headroom of its region itself, which was the only
// place where expired load reports were dropped.
func TestExpiredLoadReportsAreDropped(t *testing.T) {
	x := newIndexRun(t, 3)
	s, tg := x.r.services["svc"], x.r.targets[x.anyTarget().ID]
	for tg.region != x.r.region {
		tg = x.r.targets[x.anyTarget().ID]
	}
	for range 5000 {
		x.now = x.now.Add(10 * time.Millisecond)
		x.r.applyResult(x.now, tg, &Report{Result: ResultServed, Load: Load{Known: true, Running: 3, Waiting: 2, Slots: 3}})
	}
	if n := len(s.occupancy.reports); n > 1000 {
		t.Fatalf("%d load reports are kept, 100 came within the last second", n)
	}
}
