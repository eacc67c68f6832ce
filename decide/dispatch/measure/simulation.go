package measure

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// simulation is the state of one run.
type simulation struct {
	run        Run
	now        clock.Time
	events     eventQueue
	seq        uint64
	rng        *rand.Rand   // for everything that depends on decisions
	callers    []*rand.Rand // one per service, for its callers; the same sequence for all variants
	vms        []*vm
	targets    []*upstream
	byID       map[fleet.TargetID]*upstream
	regionLost [regions]bool
	stats      *stats
	nextID     dispatch.RequestID
}

// event is a function scheduled for a time.
type event struct {
	at  clock.Time
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// call is a request of a caller.
type call struct {
	service int
	size    float64 // time factor of the request
	noise   float64 // time factor of the first attempt
	start   clock.Time
	counted bool
	sends   int
}

// vm models an entry VM.
type vm struct {
	sim       *simulation
	id        fleet.VMID
	domain    int
	state     *dispatch.State
	out       dispatch.Ready
	tick      clock.Time
	calls     map[dispatch.RequestID]*call
	origins   map[dispatch.RequestID]origin // of forwarded requests
	attempts  map[dispatch.AttemptID]*attempt
	idle      map[*upstream][]bool // unused connections; true when silent
	remotes   map[fleet.VMID][]dispatch.RemoteLoad
	remotesAt map[fleet.VMID]clock.Time
}

type origin struct {
	vm      *vm
	req     dispatch.RequestID
	attempt dispatch.AttemptID
}

// attempt is a send or forward as seen by the transport.
type attempt struct {
	vm       *vm
	req      dispatch.RequestID
	id       dispatch.AttemptID
	call     *call
	deadline clock.Time
	target   *upstream
	silent   bool
	peer     *vm
	peerReq  dispatch.RequestID
	running  bool // occupies a slot of the target
	ended    bool
}

func newSimulation(run Run) *simulation {
	sim := &simulation{
		run:   run,
		rng:   rand.New(rand.NewPCG(run.Seed, 1)),
		byID:  make(map[fleet.TargetID]*upstream),
		stats: newStats(run),
	}
	sim.now = clock.Time(time.Second)
	for i := range run.Setup.Services {
		sim.callers = append(sim.callers, rand.New(rand.NewPCG(run.Seed, 100+uint64(i))))
	}
	sim.addTargets()
	sim.addVMs()
	return sim
}

func (sim *simulation) schedule(t clock.Time, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: max(t, sim.now), seq: sim.seq, run: do})
}

func (sim *simulation) scheduleAfter(d time.Duration, do func()) { sim.schedule(sim.now.Add(d), do) }

func (sim *simulation) addTargets() {
	for i, s := range sim.run.Setup.Services {
		for k := 0; k < s.Targets; k++ {
			u := &upstream{sim: sim, service: i, domain: k % domains, slots: s.Slots, timeFactor: 1}
			u.id = fleet.TargetID(fmt.Sprintf("%s-%02d", s.Name, k))
			sim.targets = append(sim.targets, u)
			sim.byID[u.id] = u
		}
	}
}

func (sim *simulation) addVMs() {
	for d, n := range sim.run.Setup.VMs {
		for rank := 0; rank < n; rank++ {
			sim.addVM(d, n, rank)
		}
	}
}

func (sim *simulation) addVM(domain, count, rank int) {
	o := sim.run.Variant.Options
	o.VM = fleet.VMID(fmt.Sprintf("vm-%d-%d", domain, rank))
	o.Seed = sim.run.Seed*100 + uint64(len(sim.vms))
	o.PanicOnViolation = true
	v := &vm{
		sim: sim, id: o.VM, domain: domain, state: dispatch.New(o), tick: clock.Never,
		calls:     make(map[dispatch.RequestID]*call),
		origins:   make(map[dispatch.RequestID]origin),
		attempts:  make(map[dispatch.AttemptID]*attempt),
		idle:      make(map[*upstream][]bool),
		remotes:   make(map[fleet.VMID][]dispatch.RemoteLoad),
		remotesAt: make(map[fleet.VMID]clock.Time),
	}
	sim.vms = append(sim.vms, v)
	v.step(&dispatch.Services{List: sim.catalogue()})
	v.step(&dispatch.Peers{Count: count, Rank: rank})
	v.step(&dispatch.Targets{List: sim.targetList(domain)})
}

func (sim *simulation) catalogue() []catalogue.Service {
	var list []catalogue.Service
	for _, s := range sim.run.Setup.Services {
		list = append(list, catalogue.Service{Name: s.Name, Idempotent: s.Idempotent, Priority: s.Priority, Timeout: catalogue.Duration(s.Deadline)})
	}
	return list
}

func (sim *simulation) targetList(domain int) []fleet.Target {
	var list []fleet.Target
	for _, u := range sim.targets {
		if u.domain == domain {
			list = append(list, fleet.Target{ID: u.id, Service: sim.run.Setup.Services[u.service].Name, Slots: u.slots, Connections: connections})
		}
	}
	return list
}

// runUntil runs events until none is left or the time is past until.
func (sim *simulation) runUntil(until clock.Time) {
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at > until {
			return
		}
		sim.now = e.at
		e.run()
	}
}

// startArrivals starts the Poisson process of the callers of one service.
func (sim *simulation) startArrivals(service int, end clock.Time) {
	s := sim.run.Setup.Services[service]
	capacity := float64(s.Targets*s.Slots) / s.Mean.Seconds()
	rate := capacity * sim.run.Load
	var next func()
	next = func() {
		if sim.now >= end {
			return
		}
		sim.arrive(service)
		sim.scheduleAfter(time.Duration(sim.callers[service].ExpFloat64()/rate*1e9), next)
	}
	sim.scheduleAfter(time.Duration(sim.callers[service].ExpFloat64()/rate*1e9), next)
}

// arrive makes a caller send one request.
func (sim *simulation) arrive(service int) {
	region := sim.callerRegion(service)
	latency := callerLatency
	rng := sim.callers[service]
	if sim.regionLost[region] {
		// The callers of a lost region use another one.
		region = (region + 1 + rng.IntN(regions-1)) % regions
		latency += interRegionLatency
	}
	v := sim.entryVM(region, rng)
	c := &call{service: service, size: sim.drawFactor(rng), noise: sim.drawFactor(rng), start: sim.now, counted: sim.now >= sim.countingStart()}
	sim.stats.countOffered(c, sim.now)
	sim.nextID++
	id := sim.nextID
	deadline := sim.now.Add(sim.run.Setup.Services[service].Deadline - latency)
	block := rng.Uint64()
	sim.scheduleAfter(latency, func() {
		if sim.regionLost[region] {
			sim.stats.countFailure(c, sim.now)
			return
		}
		v.calls[id] = c
		v.step(&dispatch.Arrive{Req: id, Service: sim.run.Setup.Services[service].Name, Block: block, Deadline: deadline, BodyBytes: 1000})
	})
}

// callerRegion draws the region of a caller.
func (sim *simulation) callerRegion(service int) int {
	rng := sim.callers[service]
	switch sim.run.Fault {
	case EvenCallers:
		return rng.IntN(regions)
	case SkewedLoad:
		return rng.IntN(2) * (1 + rng.IntN(regions-1))
	}
	k := rng.IntN(sim.run.Setup.Services[service].Targets)
	return k % domains / domainsPerRegion
}

func (sim *simulation) countingStart() clock.Time { return clock.Time(time.Second).Add(warmUp) }

// entryVM draws a domain of the region and an entry VM of that domain.
func (sim *simulation) entryVM(region int, rng *rand.Rand) *vm {
	domain := region*domainsPerRegion + rng.IntN(domainsPerRegion)
	n := rng.IntN(sim.run.Setup.VMs[domain])
	for _, v := range sim.vms {
		if v.domain != domain {
			continue
		}
		if n == 0 {
			return v
		}
		n--
	}
	return nil
}

// drawFactor draws from a log-normal distribution with mean 1.
func (sim *simulation) drawFactor(rng *rand.Rand) float64 {
	s := sim.run.Spread
	return math.Exp(s*rng.NormFloat64() - s*s/2)
}

// oneWayLatency returns the one-way latency between two domains.
func (sim *simulation) oneWayLatency(a, b int) time.Duration {
	switch {
	case a == b:
		return intraDomainLatency
	case a/domainsPerRegion == b/domainsPerRegion:
		return sim.run.Setup.InterDomainLatency
	default:
		return interRegionLatency
	}
}

// message delivers a message from one domain to another unless the region of
// either is lost.
func (sim *simulation) message(from, to int, do func()) {
	if sim.regionLost[from/domainsPerRegion] {
		return
	}
	sim.scheduleAfter(sim.oneWayLatency(from, to), func() {
		if !sim.regionLost[to/domainsPerRegion] {
			do()
		}
	})
}

// step applies an event to the State and carries out its effects.
func (v *vm) step(ev dispatch.Event) {
	if v.sim.regionLost[v.domain/domainsPerRegion] {
		return
	}
	v.out.Reset()
	v.state.Step(v.sim.now, ev, &v.out)
	for _, e := range v.out.Cancels {
		v.cancel(e)
	}
	for _, e := range v.out.Sends {
		v.send(e)
	}
	for _, e := range v.out.Forwards {
		v.forward(e)
	}
	for _, e := range v.out.Delivers {
		v.complete(e.Req, nil)
	}
	for i := range v.out.Replies {
		v.complete(v.out.Replies[i].Req, &v.out.Replies[i])
	}
	if v.out.WakeAt < v.tick {
		v.tick = v.out.WakeAt
		at := v.tick
		v.sim.schedule(at, func() {
			if v.tick == at {
				v.tick = clock.Never
				v.step(&dispatch.Tick{})
			}
		})
	}
}

// complete passes the outcome to the caller, or to the entry VM that forwarded
// the request. A nil reply stands for an answer.
func (v *vm) complete(id dispatch.RequestID, r *dispatch.Reply) {
	sim := v.sim
	if o, ok := v.origins[id]; ok {
		delete(v.origins, id)
		v.answerOrigin(o, r)
		return
	}
	c := v.calls[id]
	delete(v.calls, id)
	if r != nil {
		sim.stats.countReply(c, sim.now.Add(callerLatency), r)
		return
	}
	sim.stats.countAnswer(c, sim.now.Add(callerLatency))
}

func (v *vm) answerOrigin(o origin, r *dispatch.Reply) {
	if r == nil {
		hint := v.loadHint(v.sim.run.Setup.Services[o.vm.calls[o.req].service].Name)
		v.sim.message(v.domain, o.vm.domain, func() {
			o.vm.endAttempt(o.attempt)
			o.vm.step(&dispatch.Answered{Req: o.req, Attempt: o.attempt, Status: 200, Load: hint})
		})
		return
	}
	if v.sim.oneWayLatency(v.domain, o.vm.domain) == interRegionLatency {
		v.sim.stats.interRegionRefused++
	}
	failed := &dispatch.Failed{Req: o.req, Attempt: o.attempt, Verdict: r.Verdict, Reason: r.Reason, RetryAfter: r.RetryAfter}
	v.sim.message(v.domain, o.vm.domain, func() {
		o.vm.endAttempt(o.attempt)
		o.vm.step(failed)
	})
}

// loadHint returns the load that an entry VM states in its answers.
func (v *vm) loadHint(service fleet.ServiceName) *dispatch.LoadHint {
	for _, l := range v.state.AppendLoads(nil) {
		if l.Service == service {
			return &dispatch.LoadHint{InFlight: l.Capacity - l.Headroom, Slots: l.Capacity}
		}
	}
	return nil
}

func (v *vm) endAttempt(id dispatch.AttemptID) {
	if a := v.attempts[id]; a != nil {
		a.ended = true
		delete(v.attempts, id)
	}
}

func (v *vm) callOf(id dispatch.RequestID) *call {
	if o, ok := v.origins[id]; ok {
		return o.vm.callOf(o.req)
	}
	return v.calls[id]
}

func (v *vm) forward(e dispatch.Forward) {
	sim := v.sim
	peer := sim.vm(e.VM)
	a := &attempt{vm: v, req: e.Req, id: e.Attempt, peer: peer}
	v.attempts[a.id] = a
	sim.nextID++
	a.peerReq = sim.nextID
	c := v.callOf(e.Req)
	peer.origins[a.peerReq] = origin{vm: v, req: e.Req, attempt: e.Attempt}
	ev := &dispatch.Arrive{Req: a.peerReq, Service: sim.run.Setup.Services[c.service].Name, Block: sim.rng.Uint64(), Deadline: e.Deadline, Hops: 1, BodyBytes: 1000, ExpectedWait: e.ExpectedWait}
	sim.stats.forwards++
	if sim.oneWayLatency(v.domain, peer.domain) == interRegionLatency {
		sim.stats.interRegionForwards++
	}
	sim.message(v.domain, peer.domain, func() { peer.step(ev) })
}

func (sim *simulation) vm(id fleet.VMID) *vm {
	for _, v := range sim.vms {
		if v.id == id {
			return v
		}
	}
	return nil
}

// send sends the request on an idle connection, or opens a new one.
func (v *vm) send(e dispatch.Send) {
	u := v.sim.byID[e.Target]
	a := &attempt{vm: v, req: e.Req, id: e.Attempt, call: v.callOf(e.Req), deadline: e.Deadline, target: u}
	v.attempts[a.id] = a
	v.sim.stats.countSend(a.call, v.sim.now)
	delay := connectTime
	if idle := v.idle[u]; len(idle) > 0 {
		delay = 0
		a.silent = idle[len(idle)-1]
		v.idle[u] = idle[:len(idle)-1]
	}
	if a.silent {
		return // the request is lost
	}
	v.sim.scheduleAfter(delay+intraDomainLatency, func() { u.receive(a) })
}

// cancel closes the attempt's connection and notifies the receiver.
func (v *vm) cancel(e dispatch.Cancel) {
	a := v.attempts[e.Attempt]
	if a == nil {
		return
	}
	sim := v.sim
	if a.peer != nil {
		sim.message(v.domain, a.peer.domain, func() {
			if _, ok := a.peer.origins[a.peerReq]; ok {
				delete(a.peer.origins, a.peerReq)
				a.peer.step(&dispatch.CallerGone{Req: a.peerReq})
			}
		})
	} else {
		sim.scheduleAfter(intraDomainLatency, func() { a.target.cancel(a) })
	}
	sim.scheduleAfter(2*intraDomainLatency, func() {
		v.endAttempt(a.id)
		v.step(&dispatch.Failed{Req: a.req, Attempt: a.id, Reason: verdict.ReasonCallerGone})
	})
}

// report sends the load of this entry VM to the others.
func (v *vm) report() {
	sim := v.sim
	made := sim.now
	var list []dispatch.RemoteLoad
	for _, l := range v.state.AppendLoads(nil) {
		list = append(list, dispatch.RemoteLoad{VM: v.id, Service: l.Service, Capacity: l.Capacity, InFlight: l.InFlight, Headroom: l.Headroom})
	}
	for _, o := range sim.vms {
		if o == v {
			continue
		}
		sim.message(v.domain, o.domain, func() {
			o.remotes[v.id] = list
			o.remotesAt[v.id] = made
		})
	}
}

// deliverReports applies the latest reports of the other entry VMs.
func (v *vm) deliverReports() {
	sim := v.sim
	ev := &dispatch.RemoteLoads{}
	for _, o := range sim.vms {
		for _, r := range v.remotes[o.id] {
			r.Age = sim.now.Sub(v.remotesAt[o.id])
			r.RTT = 2 * sim.oneWayLatency(v.domain, o.domain)
			ev.List = append(ev.List, r)
		}
	}
	v.step(ev)
}
