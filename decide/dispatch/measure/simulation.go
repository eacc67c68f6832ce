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

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}

// call is a request of a caller.
type call struct {
	service int
	size    float64
	noise   float64 // time factor of the first attempt
	start   clock.Time
	counted bool
	sends   int
}

// vm models an entry VM.
type vm struct {
	w         *simulation
	id        fleet.VMID
	domain    int
	state     *dispatch.State
	out       dispatch.Ready
	tick      clock.Time
	calls     map[dispatch.RequestID]*call
	origins   map[dispatch.RequestID]origin // of forwarded requests
	attempts  map[dispatch.AttemptID]*attempt
	idle      map[*upstream][]bool // unused connections; true when silent
	remotes   map[fleet.VMID][]dispatch.Remote
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
	w := &simulation{
		run:   run,
		rng:   rand.New(rand.NewPCG(run.Seed, 1)),
		byID:  make(map[fleet.TargetID]*upstream),
		stats: newStats(run),
	}
	w.now = clock.Time(time.Second)
	for i := range run.Setup.Services {
		w.callers = append(w.callers, rand.New(rand.NewPCG(run.Seed, 100+uint64(i))))
	}
	w.addTargets()
	w.addVMs()
	return w
}

func (w *simulation) schedule(t clock.Time, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: max(t, w.now), seq: w.seq, run: do})
}

func (w *simulation) scheduleAfter(d time.Duration, do func()) { w.schedule(w.now.Add(d), do) }

func (w *simulation) addTargets() {
	for i, s := range w.run.Setup.Services {
		for k := 0; k < s.Targets; k++ {
			u := &upstream{w: w, service: i, domain: k % domains, slots: s.Slots, timeFactor: 1}
			u.id = fleet.TargetID(fmt.Sprintf("%s-%02d", s.Name, k))
			w.targets = append(w.targets, u)
			w.byID[u.id] = u
		}
	}
}

func (w *simulation) addVMs() {
	for d, n := range w.run.Setup.VMs {
		for rank := 0; rank < n; rank++ {
			w.addVM(d, n, rank)
		}
	}
}

func (w *simulation) addVM(domain, count, rank int) {
	o := w.run.Variant.Options
	o.VM = fleet.VMID(fmt.Sprintf("vm-%d-%d", domain, rank))
	o.Seed = w.run.Seed*100 + uint64(len(w.vms))
	o.PanicOnViolation = true
	v := &vm{
		w: w, id: o.VM, domain: domain, state: dispatch.New(o), tick: clock.Never,
		calls:     make(map[dispatch.RequestID]*call),
		origins:   make(map[dispatch.RequestID]origin),
		attempts:  make(map[dispatch.AttemptID]*attempt),
		idle:      make(map[*upstream][]bool),
		remotes:   make(map[fleet.VMID][]dispatch.Remote),
		remotesAt: make(map[fleet.VMID]clock.Time),
	}
	w.vms = append(w.vms, v)
	v.step(&dispatch.Services{List: w.catalogue()})
	v.step(&dispatch.Peers{Count: count, Rank: rank})
	v.step(&dispatch.Targets{List: w.targetList(domain)})
}

func (w *simulation) catalogue() []catalogue.Service {
	var list []catalogue.Service
	for _, s := range w.run.Setup.Services {
		list = append(list, catalogue.Service{Name: s.Name, Idempotent: s.Idempotent, Priority: s.Priority, Timeout: catalogue.Duration(s.Deadline)})
	}
	return list
}

func (w *simulation) targetList(domain int) []fleet.Target {
	var list []fleet.Target
	for _, u := range w.targets {
		if u.domain == domain {
			list = append(list, fleet.Target{ID: u.id, Service: w.run.Setup.Services[u.service].Name, Slots: u.slots, Connections: connections})
		}
	}
	return list
}

// runUntil runs events until none is left or the time is past until.
func (w *simulation) runUntil(until clock.Time) {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at > until {
			return
		}
		w.now = e.at
		e.run()
	}
}

// startArrivals starts the Poisson process of the callers of one service.
func (w *simulation) startArrivals(service int, end clock.Time) {
	s := w.run.Setup.Services[service]
	capacity := float64(s.Targets*s.Slots) / s.Mean.Seconds()
	rate := capacity * w.run.Load
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		w.arrive(service)
		w.scheduleAfter(time.Duration(w.callers[service].ExpFloat64()/rate*1e9), next)
	}
	w.scheduleAfter(time.Duration(w.callers[service].ExpFloat64()/rate*1e9), next)
}

// arrive makes a caller send one request.
func (w *simulation) arrive(service int) {
	region := w.callerRegion(service)
	latency := callerLatency
	rng := w.callers[service]
	if w.regionLost[region] {
		// The callers of a lost region use another one.
		region = (region + 1 + rng.IntN(regions-1)) % regions
		latency += interRegion
	}
	v := w.entryVM(region, rng)
	c := &call{service: service, size: w.drawFactor(rng), noise: w.drawFactor(rng), start: w.now, counted: w.now >= w.countingStart()}
	w.stats.countOffered(c, w.now)
	w.nextID++
	id := w.nextID
	deadline := w.now.Add(w.run.Setup.Services[service].Deadline - latency)
	block := rng.Uint64()
	w.scheduleAfter(latency, func() {
		if w.regionLost[region] {
			w.stats.countFailure(c, w.now)
			return
		}
		v.calls[id] = c
		v.step(&dispatch.Arrive{Req: id, Service: w.run.Setup.Services[service].Name, Block: block, Deadline: deadline, BodyBytes: 1000})
	})
}

// callerRegion draws the region of a caller.
func (w *simulation) callerRegion(service int) int {
	rng := w.callers[service]
	switch w.run.Fault {
	case EvenCallers:
		return rng.IntN(regions)
	case SkewedLoad:
		return rng.IntN(2) * (1 + rng.IntN(regions-1))
	}
	k := rng.IntN(w.run.Setup.Services[service].Targets)
	return k % domains / domainsPerRegion
}

func (w *simulation) countingStart() clock.Time { return clock.Time(time.Second).Add(warmUp) }

// entryVM draws a domain of the region and an entry VM of that domain.
func (w *simulation) entryVM(region int, rng *rand.Rand) *vm {
	domain := region*domainsPerRegion + rng.IntN(domainsPerRegion)
	n := rng.IntN(w.run.Setup.VMs[domain])
	for _, v := range w.vms {
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
func (w *simulation) drawFactor(rng *rand.Rand) float64 {
	s := w.run.Spread
	return math.Exp(s*rng.NormFloat64() - s*s/2)
}

// oneWayLatency returns the one-way latency between two domains.
func (w *simulation) oneWayLatency(a, b int) time.Duration {
	switch {
	case a == b:
		return intraDomain
	case a/domainsPerRegion == b/domainsPerRegion:
		return w.run.Setup.InterDomain
	default:
		return interRegion
	}
}

// message delivers a message from one domain to another unless the region of
// either is lost.
func (w *simulation) message(from, to int, do func()) {
	if w.regionLost[from/domainsPerRegion] {
		return
	}
	w.scheduleAfter(w.oneWayLatency(from, to), func() {
		if !w.regionLost[to/domainsPerRegion] {
			do()
		}
	})
}

// step applies an event to the State and carries out its effects.
func (v *vm) step(ev dispatch.Event) {
	if v.w.regionLost[v.domain/domainsPerRegion] {
		return
	}
	v.out.Reset()
	v.state.Step(v.w.now, ev, &v.out)
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
	if v.out.Wake < v.tick {
		v.tick = v.out.Wake
		at := v.tick
		v.w.schedule(at, func() {
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
	w := v.w
	if o, ok := v.origins[id]; ok {
		delete(v.origins, id)
		v.answerOrigin(o, r)
		return
	}
	c := v.calls[id]
	delete(v.calls, id)
	if r != nil {
		w.stats.countReply(c, w.now.Add(callerLatency), r)
		return
	}
	w.stats.countAnswer(c, w.now.Add(callerLatency))
}

func (v *vm) answerOrigin(o origin, r *dispatch.Reply) {
	if r == nil {
		hint := v.loadHint(v.w.run.Setup.Services[o.vm.calls[o.req].service].Name)
		v.w.message(v.domain, o.vm.domain, func() {
			o.vm.endAttempt(o.attempt)
			o.vm.step(&dispatch.Answered{Req: o.req, Attempt: o.attempt, Status: 200, Load: hint})
		})
		return
	}
	if v.w.oneWayLatency(v.domain, o.vm.domain) == interRegion {
		v.w.stats.farRefused++
	}
	failed := &dispatch.Failed{Req: o.req, Attempt: o.attempt, Verdict: r.Verdict, Reason: r.Reason, RetryAfter: r.RetryAfter}
	v.w.message(v.domain, o.vm.domain, func() {
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
	w := v.w
	peer := w.vm(e.VM)
	a := &attempt{vm: v, req: e.Req, id: e.Attempt, peer: peer}
	v.attempts[a.id] = a
	w.nextID++
	a.peerReq = w.nextID
	c := v.callOf(e.Req)
	peer.origins[a.peerReq] = origin{vm: v, req: e.Req, attempt: e.Attempt}
	ev := &dispatch.Arrive{Req: a.peerReq, Service: w.run.Setup.Services[c.service].Name, Block: w.rng.Uint64(), Deadline: e.Deadline, Hops: 1, BodyBytes: 1000, ExpectedWait: e.ExpectedWait}
	w.stats.forwards++
	if w.oneWayLatency(v.domain, peer.domain) == interRegion {
		w.stats.farForwards++
	}
	w.message(v.domain, peer.domain, func() { peer.step(ev) })
}

func (w *simulation) vm(id fleet.VMID) *vm {
	for _, v := range w.vms {
		if v.id == id {
			return v
		}
	}
	return nil
}

// send sends the request on an idle connection, or opens a new one.
func (v *vm) send(e dispatch.Send) {
	u := v.w.byID[e.Target]
	a := &attempt{vm: v, req: e.Req, id: e.Attempt, call: v.callOf(e.Req), deadline: e.Deadline, target: u}
	v.attempts[a.id] = a
	v.w.stats.countSend(a.call, v.w.now)
	delay := connectTime
	if idle := v.idle[u]; len(idle) > 0 {
		delay = 0
		a.silent = idle[len(idle)-1]
		v.idle[u] = idle[:len(idle)-1]
	}
	if a.silent {
		return // the request is lost
	}
	v.w.scheduleAfter(delay+intraDomain, func() { u.receive(a) })
}

// cancel closes the attempt's connection and notifies the receiver.
func (v *vm) cancel(e dispatch.Cancel) {
	a := v.attempts[e.Attempt]
	if a == nil {
		return
	}
	w := v.w
	if a.peer != nil {
		w.message(v.domain, a.peer.domain, func() {
			if _, ok := a.peer.origins[a.peerReq]; ok {
				delete(a.peer.origins, a.peerReq)
				a.peer.step(&dispatch.CallerGone{Req: a.peerReq})
			}
		})
	} else {
		w.scheduleAfter(intraDomain, func() { a.target.cancel(a) })
	}
	w.scheduleAfter(2*intraDomain, func() {
		v.endAttempt(a.id)
		v.step(&dispatch.Failed{Req: a.req, Attempt: a.id, Reason: verdict.ReasonCallerGone})
	})
}

// report sends the load of this entry VM to the others.
func (v *vm) report() {
	w := v.w
	made := w.now
	var list []dispatch.Remote
	for _, l := range v.state.AppendLoads(nil) {
		list = append(list, dispatch.Remote{VM: v.id, Service: l.Service, Capacity: l.Capacity, InFlight: l.InFlight, Headroom: l.Headroom})
	}
	for _, o := range w.vms {
		if o == v {
			continue
		}
		w.message(v.domain, o.domain, func() {
			o.remotes[v.id] = list
			o.remotesAt[v.id] = made
		})
	}
}

// deliverReports applies the latest reports of the other entry VMs.
func (v *vm) deliverReports() {
	w := v.w
	ev := &dispatch.Remotes{}
	for _, o := range w.vms {
		for _, r := range v.remotes[o.id] {
			r.Age = w.now.Sub(v.remotesAt[o.id])
			r.RTT = 2 * w.oneWayLatency(v.domain, o.domain)
			ev.List = append(ev.List, r)
		}
	}
	v.step(ev)
}
