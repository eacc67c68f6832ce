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

// isWarm reports whether t is taken to remember an object.
func (t *targetState) isWarm(now clock.Time, name string) bool {
	return t.svc.objects.get(name).warmAt(now, t)
}

// walked answers by walking every target what the reducer answers from what it
// keeps up to date.
type walked struct{ r *Reducer }

func (w walked) ranked(j *job) []*targetState {
	return rank.By(j.Object, j.svc.targets, func(t *targetState) string { return string(t.ID) })
}

// options is the definition of Reducer.options.
func (w walked) options(now clock.Time, j *job, ejectedToo bool) (local, remote option) {
	own, others, domain := 0, 0, 0
	for i, t := range w.ranked(j) {
		here := t.region == w.r.region
		wanted := j.Object == "" && here || t.isWarm(now, j.Object)
		if !w.r.eligible(now, j, t, ejectedToo) {
			continue
		}
		count, most := &others, remoteChoices
		if here {
			count, most = &own, localChoices
		}
		inDomain := t.Domain == j.Domain && domain < domainChoices
		if !wanted && !inDomain && *count >= most {
			continue
		}
		if t.Domain == j.Domain {
			domain++
		}
		*count++
		x, cost := scored{t: t, score: ^uint64(i)}, w.r.cost(now, j, t)
		if here {
			local.offer(x, cost)
		} else {
			remote.offer(x, cost)
		}
	}
	return local, remote
}

func (w walked) firstHere(j *job) *targetState {
	for _, t := range w.ranked(j) {
		if t.region == w.r.region && w.r.usable(j, t) {
			return t
		}
	}
	return nil
}

func (w walked) crowded(now clock.Time, s *service) bool {
	load, slots := 0, 0
	for _, t := range s.targets {
		if t.region == w.r.region && !t.Draining && !w.r.evacuated[t.Domain] {
			load += min(t.load(now), t.Slots)
			slots += t.Slots
		}
	}
	return float64(slots-load) < headroom*float64(slots)
}

func (w walked) untried(now clock.Time, j *job) *targetState {
	for _, t := range j.svc.targets {
		if t.untried && t.region == w.r.region && w.r.eligible(now, j, t, false) && !w.r.full(now, j, t) {
			return t
		}
	}
	return nil
}

func (w walked) coordinator(region fleet.Region, s fleet.ServiceName) fleet.VMID {
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

// indexRun drives one reducer with random events.
type indexRun struct {
	*bench
	rng     *rand.Rand
	targets map[fleet.TargetID]Target
	running []Send
	next    RequestID
	born    int64
}

var indexRegions = map[fleet.Domain]fleet.Region{"d1": "r1", "d2": "r1", "d3": "r1", "e1": "r2", "e2": "r3"}

func newIndexRun(t *testing.T, seed uint64) *indexRun {
	x := &indexRun{rng: rand.New(rand.NewPCG(seed, 11)), targets: make(map[fleet.TargetID]Target)}
	x.bench = &bench{t: t, now: clock.Time(time.Hour)}
	x.r = New(Options{Self: selfVM, Domain: "d1", Regions: indexRegions, Bounds: Bounds{ColdFactor: 1.5, ColdSlack: 4, RegionShift: 0.15, RepeatSlack: 1000}, Seed: seed})
	x.step(&MembersChanged{VMs: []fleet.VM{{ID: selfVM, Domain: "d1", Region: "r1"}}})
	rt := one("a")
	rt.Aim, rt.Timeout = 400*time.Millisecond, 3*time.Second
	home := one("home")
	home.Homes = []fleet.Region{"r2"}
	x.configure(1, rt, home)
	for range 70 {
		x.join()
	}
	return x
}

func (x *indexRun) domain() fleet.Domain {
	return []fleet.Domain{"d1", "d1", "d2", "d3", "e1", "e2"}[x.rng.IntN(6)]
}

func (x *indexRun) join() {
	x.born++
	d := Target{ID: fleet.TargetID(fmt.Sprint("t", x.rng.IntN(200))), Service: "svc", Domain: x.domain(), Slots: 1 + x.rng.IntN(3), Born: x.born}
	if old, ok := x.targets[d.ID]; ok {
		d.Domain = old.Domain
	}
	if x.rng.IntN(2) == 0 {
		d.Cold = time.Duration(x.rng.IntN(3000)) * time.Millisecond
	}
	x.set(d)
}

func (x *indexRun) set(d Target) {
	x.targets[d.ID] = d
	x.step(&TargetsChanged{Set: []Target{d}})
}

// some returns a known target.
func (x *indexRun) some() Target {
	ids := make([]fleet.TargetID, 0, len(x.targets))
	for id := range x.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return x.targets[ids[x.rng.IntN(len(ids))]]
}

func (x *indexRun) object() string {
	if x.rng.IntN(20) == 0 {
		return ""
	}
	return fmt.Sprint("o", x.rng.IntN(60))
}

func (x *indexRun) event() {
	x.now = x.now.Add(time.Duration(x.rng.IntN(12)) * time.Millisecond)
	switch n := x.rng.IntN(100); {
	case n < 2:
		x.join()
	case n < 4 && len(x.targets) > 30:
		d := x.some()
		delete(x.targets, d.ID)
		x.step(&TargetsChanged{Gone: []fleet.TargetID{d.ID}, Unsure: x.rng.IntN(3) == 0})
	case n < 6:
		d := x.some()
		d.Draining = x.rng.IntN(2) == 0
		x.set(d)
	case n == 6:
		x.step(&Evacuated{Domain: x.domain(), Begin: x.rng.IntN(3) == 0})
	case n < 50 && len(x.running) > 0:
		x.answer()
	default:
		x.next++
		path := "/a/x"
		if x.rng.IntN(10) == 0 {
			path = "/home/x"
		}
		x.running = append(x.running, x.step(&Arrive{Request: x.next, Host: "h", Path: path, Object: x.object()}).Sends...)
	}
}

func (x *indexRun) answer() {
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

// compare holds what the reducer keeps against a walk over all targets.
func (x *indexRun) compare() {
	w, s := walked{x.r}, x.r.services["svc"]
	j := &job{Ask: Ask{Service: "svc", Route: "a", Object: x.object(), Domain: "d2"}, svc: s}
	if j.Object != "" {
		j.obj = s.objects.get(j.Object)
	}
	if x.rng.IntN(8) == 0 {
		j.Homes = []fleet.Region{"r2"}
	}
	for range x.rng.IntN(3) {
		j.Tried = append(j.Tried, x.some().ID)
	}
	ejectedToo := x.rng.IntN(4) == 0
	local, remote := x.r.options(x.now, j, ejectedToo)
	wantLocal, wantRemote := w.options(x.now, j, ejectedToo)
	if local.t != wantLocal.t || local.cost != wantLocal.cost || remote.t != wantRemote.t || remote.cost != wantRemote.cost {
		x.t.Fatalf("options for %q: %v %v, by walking %v %v", j.Object, local, remote, wantLocal, wantRemote)
	}
	if j.obj != nil && x.r.firstHere(j) != w.firstHere(j) {
		x.t.Fatalf("first target for %q differs", j.Object)
	}
	if x.r.crowded(x.now, s) != w.crowded(x.now, s) {
		x.t.Fatalf("crowded: %v", x.r.crowded(x.now, s))
	}
	if x.r.untried(x.now, j) != w.untried(x.now, j) {
		x.t.Fatal("target that was never used differs")
	}
}

// What is kept for each object, service and region leads to the same choice as a
// walk over all targets, whatever joins, leaves, drains, is evacuated, starts
// again, fails or fills up.
func TestKeptOrdersChooseAsAWalkDoes(t *testing.T) {
	for seed := range uint64(12) {
		x := newIndexRun(t, seed)
		for range 3000 {
			x.event()
			x.compare()
		}
	}
}

// The coordinators kept for a list of entry VMs are those that the list names.
func TestKeptCoordinators(t *testing.T) {
	x := newIndexRun(t, 1)
	w := walked{x.r}
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
					t.Fatalf("coordinator %q, by the list %q", got, want)
				}
			}
		}
	}
}

// A service knows a bounded number of objects and of places for each, and keeps
// those that are asked for.
func TestObjectsAreBounded(t *testing.T) {
	var os objects
	kept := os.get("kept")
	for n := range 5 * objectsKept {
		os.get(fmt.Sprint(n))
		if os.get("kept") != kept {
			t.Fatalf("forgotten after %d others", n)
		}
	}
	if n := len(os.young) + len(os.old); n > 2*objectsKept {
		t.Fatalf("%d objects", n)
	}
	for n := range 3 * warmKept {
		kept.remember(clock.Time(n), &targetState{})
	}
	if len(kept.warm) != warmKept {
		t.Fatalf("%d places", len(kept.warm))
	}
}

// Symptom: an entry VM grows for as long as it runs.
// Sequence: it asks a coordinator for each request, and so never asks itself how
// crowded its region is, which is where words that are too old were dropped.
// Cause: targets' words about requests of others were kept until then.
func TestReportsOfTargetsAreForgotten(t *testing.T) {
	x := newIndexRun(t, 3)
	s, tg := x.r.services["svc"], x.r.targets[x.some().ID]
	for tg.region != x.r.region {
		tg = x.r.targets[x.some().ID]
	}
	for range 5000 {
		x.now = x.now.Add(10 * time.Millisecond)
		x.r.learnResult(x.now, tg, &Report{Result: ResultServed, Load: Load{Known: true, Running: 3, Waiting: 2, Slots: 3}})
	}
	if n := len(s.here.reports); n > 1000 {
		t.Fatalf("%d words are kept of a second with 100", n)
	}
}
