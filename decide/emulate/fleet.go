package emulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/clock/clocktest"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Variant is a way of playing a pattern.
type Variant struct {
	Seed     uint64
	Disabled ingress.Mechanisms
}

// simulation is one play.
type simulation struct {
	pattern   *Pattern
	variant   Variant
	rng       *rand.Rand
	now       clock.Time
	loadStart clock.Time // of the load
	events    clocktest.Queue[func()]
	table     *route.Table
	regions   map[fleet.Domain]fleet.Region
	vms       []*vm
	// The VMs by id, by failure domain and by region.
	vmByID      map[fleet.VMID]*vm
	vmsInDomain map[fleet.Domain][]*vm
	vmsInRegion map[fleet.Region][]*vm

	targets     map[fleet.TargetID]*target
	targetList  []*target // in the order in which they were made
	loadFactor  map[fleet.Domain]float64
	quarantines map[quarantine.Fingerprint]*quarantine.Record // in the store
	lastContent uint64                                        // number of the latest content that is sent once only
	recorder    recorder
}

// vm is one entry VM.
type vm struct {
	self          fleet.VM
	reducer       *ingress.Reducer // nil: down
	processNumber int
	nextTick      clock.Time // of the next tick; clock.Never: none
	out           ingress.Ready
	lastRequest   ingress.RequestID
	openRequests  map[ingress.RequestID]*entryAttempt
	attempts      map[ingress.AttemptID]*targetSend
	connections   connectionPools
	// lastGatewayRequest counts the requests that it was given to carry: their numbers fall
	// from the highest, those of its own callers rise.
	lastGatewayRequest ingress.RequestID
}

// targetSend is one request of a VM at a target.
type targetSend struct {
	vm             *vm
	processNumber  int // of the VM
	id             ingress.AttemptID
	q              *entryAttempt
	t              *target
	run            *execution
	gateway        *vm               // that carries it; nil: none does
	gatewayRequest ingress.RequestID // the request's number there; 0: it is not there yet
	transmit       func()            // carries it to the gateway or target, once it has a connection
	firstUse       bool              // no other send of its VM used the target lately
	placedAt       clock.Time        // when its target was chosen
	waitStart      clock.Time        // of its wait for a connection
	connectionWait time.Duration     // for a connection
	connectTime    time.Duration     // that opening its connection took; 0: it was open
	ended          bool
}

const (
	// warmUp is how long the fleet runs before its load begins.
	warmUp = time.Second
	// propagationTime is how long it takes until all VMs know of a change of targets
	// or evacuations.
	propagationTime = 100 * time.Millisecond
	// drainTime is how long the fleet runs after its load has ended.
	drainTime = 20 * time.Second
)

// Run plays a pattern.
func Run(p *Pattern, v Variant) *Result {
	f := newSimulation(p, v)
	f.runUntil(f.endTime())
	return f.recorder.finalResult(v)
}

// newSimulation prepares the play of a pattern.
func newSimulation(p *Pattern, v Variant) *simulation {
	f := &simulation{
		pattern: p, variant: v, rng: rand.New(rand.NewPCG(v.Seed, 11)), now: clock.Time(time.Hour),
		regions: make(map[fleet.Domain]fleet.Region), targets: make(map[fleet.TargetID]*target),
		loadFactor: make(map[fleet.Domain]float64), vmByID: make(map[fleet.VMID]*vm),
		vmsInDomain: make(map[fleet.Domain][]*vm), vmsInRegion: make(map[fleet.Region][]*vm),
	}
	f.quarantines = make(map[quarantine.Fingerprint]*quarantine.Record)
	f.loadStart = f.now.Add(warmUp)
	f.recorder.init(p, f.loadStart)
	f.configure()
	f.placeTargets()
	f.startVMs()
	f.after(warmUp, f.beginLoad)
	return f
}

// endTime is when the last requests have ended.
func (f *simulation) endTime() clock.Time {
	return f.loadStart.Add(seconds(f.pattern.Seconds) + drainTime)
}

func (f *simulation) at(at clock.Time, run func())      { f.events.Push(max(at, f.now), run) }
func (f *simulation) after(d time.Duration, run func()) { f.at(f.now.Add(d), run) }
func (f *simulation) loadSeconds() float64              { return f.now.Sub(f.loadStart).Seconds() }
func (f *simulation) selected(share float64, i, of int) bool {
	return share == 0 || float64(i) < share*float64(of)
}

func (f *simulation) runUntil(until clock.Time) {
	for {
		at, run, ok := f.events.Pop(until)
		if !ok {
			f.now = until
			return
		}
		f.now = max(f.now, at)
		run()
	}
}

// configure makes the one configuration of the play.
func (f *simulation) configure() {
	cfg := &route.Config{Version: 1, Services: make(map[fleet.ServiceName]route.Service)}
	for _, s := range f.pattern.Services {
		cfg.Services[s.Name] = route.Service{Name: s.Name, ColdRate: s.ColdRate, ColdTime: seconds(s.ColdTime)}
	}
	for _, k := range f.pattern.Kinds {
		cfg.Routes = append(cfg.Routes, route.Route{
			Name: k.Name, Host: "h", Prefix: "/" + k.Name + "/", Idempotent: k.Idempotent, Attempts: 3,
			Aim: millis(k.TargetLatencyMS), Priority: k.Priority, Affinity: true,
			Parts: []route.Part{{Service: k.Service, Weight: 1}},
		})
	}
	f.table = route.NewTable(cfg)
	for _, d := range f.pattern.Domains {
		f.regions[d.Name] = d.Region
		f.loadFactor[d.Name] = 1
	}
}

func (f *simulation) placeTargets() {
	for i := range f.pattern.Services {
		s := &f.pattern.Services[i]
		for _, d := range f.pattern.Domains {
			for range d.Targets[s.Name] {
				id := fleet.TargetID(fmt.Sprintf("%s-%s-%d", s.Name, d.Name, len(f.targetList)))
				t := &target{region: d.Region, service: s, slowFactor: 1, registered: ingress.Target{
					ID: id, Service: s.Name, Addr: string(id), Domain: d.Name, Slots: s.Slots, Born: 1,
				}}
				f.targets[id] = t
				f.targetList = append(f.targetList, t)
			}
		}
	}
}

func (f *simulation) startVMs() {
	for _, d := range f.pattern.Domains {
		for i := range d.VMs {
			v := &vm{self: fleet.VM{
				ID: fleet.VMID(fmt.Sprintf("vm-%s-%d", d.Name, i)), Domain: d.Name, Region: d.Region, GatewayAddr: "gateway",
			}}
			f.vms = append(f.vms, v)
			f.vmByID[v.self.ID] = v
			f.vmsInDomain[d.Name] = append(f.vmsInDomain[d.Name], v)
			f.vmsInRegion[d.Region] = append(f.vmsInRegion[d.Region], v)
		}
	}
	for _, v := range f.vms {
		f.startVM(v)
	}
}

// startVM begins a process of v, which reads everything at once.
func (f *simulation) startVM(v *vm) {
	v.processNumber++
	v.nextTick = clock.Never
	v.openRequests = make(map[ingress.RequestID]*entryAttempt)
	v.attempts = make(map[ingress.AttemptID]*targetSend)
	v.connections = make(connectionPools)
	v.reducer = ingress.New(ingress.Options{
		Self: v.self.ID, Domain: v.self.Domain, Regions: f.regions, Start: f.now,
		Seed: f.variant.Seed + uint64(v.processNumber), Without: f.variant.Disabled,
		Bounds: ingress.Bounds{
			ColdFactor: f.pattern.ColdFactor, ColdSlack: f.pattern.ColdSlack, RepeatRatio: f.pattern.RepeatRatio,
			RepeatSlack: f.pattern.RepeatSlack, RepeatWindow: 10 * time.Second, RegionShift: f.pattern.RegionShift,
		},
	})
	f.step(v, &ingress.Configured{Table: f.table})
	var all ingress.TargetsChanged
	for _, t := range f.targetList {
		if !t.down {
			all.Set = append(all.Set, t.registration(f.now))
		}
	}
	f.step(v, &all)
	members := make([]fleet.VM, len(f.vms))
	for i, o := range f.vms {
		members[i] = o.self
	}
	f.step(v, &ingress.MembersChanged{VMs: members})
	for _, fp := range sortedFingerprints(f.quarantines) {
		f.step(v, &ingress.QuarantineRead{Fingerprint: fp, Record: f.quarantines[fp]})
	}
}

// registration is what t says of itself at now.
func (t *target) registration(now clock.Time) ingress.Target {
	reg := t.registered
	reg.Cold = max(t.coldEnd.Sub(now), 0)
	return reg
}

// broadcast has all VMs learn of something after a while.
func (f *simulation) broadcast(event func() ingress.Event) {
	f.after(propagationTime, func() {
		for _, v := range f.vms {
			f.step(v, event())
		}
	})
}

// step has an entry VM take an event and carries out the effects.
func (f *simulation) step(v *vm, ev ingress.Event) {
	if v.reducer == nil {
		return
	}
	v.out.Reset()
	v.reducer.Step(f.now, ev, &v.out)
	out := v.out
	v.out = ingress.Ready{}
	for _, c := range out.Cancels {
		f.cancel(v, c.Attempt)
	}
	for _, d := range out.Delivers {
		f.handleDeliver(v, d)
	}
	for i := range out.Refusals {
		f.handleRefusal(v, &out.Refusals[i])
	}
	for i := range out.Sends {
		f.startSend(v, &out.Sends[i])
	}
	for i := range out.Quarantines {
		f.storeQuarantine(&out.Quarantines[i])
	}
	for _, p := range out.Probes {
		f.probe(v, p)
	}
	for _, tell := range out.Tells {
		f.sendMessage(v, tell)
	}
	f.setTickTimer(v, out.Wake)
}

// setTickTimer has the process of v tick at wake, in place of when it would have.
func (f *simulation) setTickTimer(v *vm, wake clock.Time) {
	if wake == v.nextTick || wake == clock.Never {
		return
	}
	v.nextTick = wake
	starts := v.processNumber
	f.at(wake, func() {
		if v.processNumber == starts && v.nextTick == wake {
			v.nextTick = clock.Never
			f.step(v, &ingress.Tick{})
		}
	})
}

// latency is the one-way latency between two failure domains.
func (f *simulation) latency(a, b fleet.Domain) time.Duration {
	switch {
	case a == b:
		return millis(f.pattern.Network.DomainMS)
	case f.regions[a] == f.regions[b]:
		return millis(f.pattern.Network.RegionMS)
	default:
		return millis(f.pattern.Network.FarMS)
	}
}

func (f *simulation) sendMessage(from *vm, tell ingress.Tell) {
	to := f.vmByID[tell.To]
	if to == nil {
		return
	}
	f.after(f.latency(from.self.Domain, to.self.Domain), func() {
		f.step(to, &ingress.Heard{From: from.self.ID, Message: tell.Message})
	})
}

// startSend carries a request to a target.
func (f *simulation) startSend(v *vm, e *ingress.Send) {
	t, q := f.targets[e.Target], v.openRequests[e.Request]
	s := &targetSend{vm: v, processNumber: v.processNumber, id: e.Attempt, q: q, t: t, placedAt: f.now}
	v.attempts[e.Attempt] = s
	q.sends++
	s.transmit = func() { f.sendToTarget(s) }
	if e.Gateway != "" {
		s.gateway = f.vmByID[e.Gateway]
		s.transmit = func() { f.sendToGateway(s) }
	}
	f.connect(s, e.Spare)
}

// sendToTarget takes a request to its target on the connection that it has.
func (f *simulation) sendToTarget(s *targetSend) {
	v, t, q := s.vm, s.t, s.q
	f.recorder.recordConnected(s)
	f.after(f.latency(v.self.Domain, t.registered.Domain), func() {
		if s.ended {
			return // cancelled on the way
		}
		if t.down {
			f.after(f.latency(v.self.Domain, t.registered.Domain), func() {
				f.endSend(s, &ingress.Failed{Attempt: s.id, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
			})
			return
		}
		f.recorder.countArrival(f.now, q, t.region)
		f.recordFarDelay(s)
		t.limit.countArrival(f.now, v)
		s.run = &execution{send: s, object: q.object, targetStart: t.registered.Born}
		t.handleRequest(f, s.run)
	})
}

// sendAnswer carries an answer of t back.
func (f *simulation) sendAnswer(t *target, r *execution, o ingress.Outcome) {
	s, load, limit := r.send, t.load(), t.advertisedLimit(f.now)
	f.after(f.latency(t.registered.Domain, s.vm.self.Domain), func() {
		if !s.ended && s.vm.processNumber == s.processNumber {
			f.releaseConnection(s)
		}
		if limit.Named {
			t.limit.markKnown(f.now, s.vm)
		}
		f.endSend(s, &ingress.Answered{Attempt: s.id, Outcome: o, Load: load, Limit: limit, Connect: s.connectTime, Waited: s.connectionWait})
	})
}

// endSend reports the end of a send to its VM, if the process is still there.
func (f *simulation) endSend(s *targetSend, ev ingress.Event) {
	if s.ended || s.vm.processNumber != s.processNumber {
		return
	}
	s.ended = true
	delete(s.vm.attempts, s.id)
	if a, ok := ev.(*ingress.Answered); ok {
		s.q.answer = a
	}
	f.step(s.vm, ev)
}

// probe tells an entry VM whether a target listens.
func (f *simulation) probe(v *vm, p ingress.Probe) {
	t, starts := f.targets[p.Target], v.processNumber
	way := f.latency(v.self.Domain, t.registered.Domain)
	f.after(way, func() {
		found := ingress.ListeningYes
		if t.down {
			found = ingress.ListeningNo
		}
		f.after(way, func() {
			if v.processNumber == starts {
				f.step(v, &ingress.Probed{Target: p.Target, Born: p.Born, Listening: found})
			}
		})
	})
}

func (f *simulation) cancel(v *vm, id ingress.AttemptID) {
	s := v.attempts[id]
	if s == nil {
		return
	}
	s.ended = true
	delete(v.attempts, id)
	if s.run != nil {
		s.run.ended = true
	}
	if s.gatewayRequest != 0 {
		f.after(f.latency(v.self.Domain, s.gateway.self.Domain), func() {
			f.step(s.gateway, &ingress.CallerGone{Request: s.gatewayRequest})
		})
	}
}
