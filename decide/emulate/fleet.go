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
	Seed    uint64
	Without ingress.Mechanisms
}

// fleetRun is one play.
type fleetRun struct {
	p       *Pattern
	variant Variant
	rng     *rand.Rand
	now     clock.Time
	began   clock.Time // of the load
	events  clocktest.Queue[func()]
	table   *route.Table
	regions map[fleet.Domain]fleet.Region
	vms     []*vm
	// The VMs by id, by failure domain and by region.
	byID     map[fleet.VMID]*vm
	inDomain map[fleet.Domain][]*vm
	inRegion map[fleet.Region][]*vm

	targets map[fleet.TargetID]*target
	order   []*target // in the order in which they were made
	load    map[fleet.Domain]float64
	kept    map[quarantine.Fingerprint]*quarantine.Record // in the store
	last    uint64                                        // number of the latest content that is sent once only
	books   books
}

// vm is one entry VM.
type vm struct {
	self     fleet.VM
	r        *ingress.Reducer // nil: down
	starts   int
	wake     clock.Time // of the next tick; clock.Never: none
	out      ingress.Ready
	last     ingress.RequestID
	open     map[ingress.RequestID]*try
	attempts map[ingress.AttemptID]*send
	links    links
	// carried counts the requests that it was given to carry: their numbers fall
	// from the highest, those of its own callers rise.
	carried ingress.RequestID
}

// send is one request of a VM at a target.
type send struct {
	vm     *vm
	starts int // of the VM
	id     ingress.AttemptID
	q      *try
	t      *target
	run    *run
	gate   *vm               // that carries it; nil: none does
	gateID ingress.RequestID // the request's number there; 0: it is not there yet
	carry  func()            // carries it to the gateway or target, once it has a connection
	anew   bool              // no other send of its VM used the target lately
	placed clock.Time        // when its target was chosen
	began  clock.Time        // of its wait for a connection
	waited time.Duration     // for a connection
	opened time.Duration     // that opening its connection took; 0: it was open
	ended  bool
}

const (
	// settle is how long the fleet runs before its load begins.
	settle = time.Second
	// learnTime is how long it takes until all VMs know of a change of targets
	// or evacuations.
	learnTime = 100 * time.Millisecond
	// drainTime is how long the fleet runs after its load has ended.
	drainTime = 20 * time.Second
)

// Run plays a pattern.
func Run(p *Pattern, v Variant) *Result {
	f := newRun(p, v)
	f.play(f.over())
	return f.books.result(v)
}

// newRun prepares the play of a pattern.
func newRun(p *Pattern, v Variant) *fleetRun {
	f := &fleetRun{
		p: p, variant: v, rng: rand.New(rand.NewPCG(v.Seed, 11)), now: clock.Time(time.Hour),
		regions: make(map[fleet.Domain]fleet.Region), targets: make(map[fleet.TargetID]*target),
		load: make(map[fleet.Domain]float64), byID: make(map[fleet.VMID]*vm),
		inDomain: make(map[fleet.Domain][]*vm), inRegion: make(map[fleet.Region][]*vm),
	}
	f.kept = make(map[quarantine.Fingerprint]*quarantine.Record)
	f.began = f.now.Add(settle)
	f.books.begin(p, f.began)
	f.configure()
	f.placeTargets()
	f.startVMs()
	f.after(settle, f.beginLoad)
	return f
}

// over is when the last requests have ended.
func (f *fleetRun) over() clock.Time { return f.began.Add(seconds(f.p.Seconds) + drainTime) }

func (f *fleetRun) at(at clock.Time, run func())      { f.events.Push(max(at, f.now), run) }
func (f *fleetRun) after(d time.Duration, run func()) { f.at(f.now.Add(d), run) }
func (f *fleetRun) second() float64                   { return f.now.Sub(f.began).Seconds() }
func (f *fleetRun) chosen(share float64, i, of int) bool {
	return share == 0 || float64(i) < share*float64(of)
}

func (f *fleetRun) play(until clock.Time) {
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
func (f *fleetRun) configure() {
	cfg := &route.Config{Version: 1, Services: make(map[fleet.ServiceName]route.Service)}
	for _, s := range f.p.Services {
		cfg.Services[s.Name] = route.Service{Name: s.Name, ColdRate: s.ColdRate, ColdTime: seconds(s.ColdTime)}
	}
	for _, k := range f.p.Kinds {
		cfg.Routes = append(cfg.Routes, route.Route{
			Name: k.Name, Host: "h", Prefix: "/" + k.Name + "/", Idempotent: k.Idempotent, Attempts: 3,
			Aim: millis(k.AimMS), Priority: k.Priority, Affinity: true,
			Parts: []route.Part{{Service: k.Service, Weight: 1}},
		})
	}
	f.table = route.NewTable(cfg)
	for _, d := range f.p.Domains {
		f.regions[d.Name] = d.Region
		f.load[d.Name] = 1
	}
}

func (f *fleetRun) placeTargets() {
	for i := range f.p.Services {
		s := &f.p.Services[i]
		for _, d := range f.p.Domains {
			for range d.Targets[s.Name] {
				id := fleet.TargetID(fmt.Sprintf("%s-%s-%d", s.Name, d.Name, len(f.order)))
				t := &target{region: d.Region, svc: s, slow: 1, reg: ingress.Target{
					ID: id, Service: s.Name, Addr: string(id), Domain: d.Name, Slots: s.Slots, Born: 1,
				}}
				f.targets[id] = t
				f.order = append(f.order, t)
			}
		}
	}
}

func (f *fleetRun) startVMs() {
	for _, d := range f.p.Domains {
		for i := range d.VMs {
			v := &vm{self: fleet.VM{
				ID: fleet.VMID(fmt.Sprintf("vm-%s-%d", d.Name, i)), Domain: d.Name, Region: d.Region, GatewayAddr: "gateway",
			}}
			f.vms = append(f.vms, v)
			f.byID[v.self.ID] = v
			f.inDomain[d.Name] = append(f.inDomain[d.Name], v)
			f.inRegion[d.Region] = append(f.inRegion[d.Region], v)
		}
	}
	for _, v := range f.vms {
		f.start(v)
	}
}

// start begins a process of v, which reads everything at once.
func (f *fleetRun) start(v *vm) {
	v.starts++
	v.wake = clock.Never
	v.open = make(map[ingress.RequestID]*try)
	v.attempts = make(map[ingress.AttemptID]*send)
	v.links = make(links)
	v.r = ingress.New(ingress.Options{
		Self: v.self.ID, Domain: v.self.Domain, Regions: f.regions, Start: f.now,
		Seed: f.variant.Seed + uint64(v.starts), Without: f.variant.Without,
		Bounds: ingress.Bounds{
			ColdFactor: f.p.ColdFactor, ColdSlack: f.p.ColdSlack, RepeatRatio: f.p.RepeatRatio,
			RepeatSlack: f.p.RepeatSlack, RepeatWindow: 10 * time.Second, RegionShift: f.p.RegionShift,
		},
	})
	f.step(v, &ingress.Configured{Table: f.table})
	var all ingress.TargetsChanged
	for _, t := range f.order {
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
	for _, fp := range sortedFingerprints(f.kept) {
		f.step(v, &ingress.QuarantineRead{Fingerprint: fp, Record: f.kept[fp]})
	}
}

// registration is what t says of itself at now.
func (t *target) registration(now clock.Time) ingress.Target {
	reg := t.reg
	reg.Cold = max(t.coldEnd.Sub(now), 0)
	return reg
}

// tellAll has all VMs learn of something after a while.
func (f *fleetRun) tellAll(event func() ingress.Event) {
	f.after(learnTime, func() {
		for _, v := range f.vms {
			f.step(v, event())
		}
	})
}

// step has an entry VM take an event and carries out the effects.
func (f *fleetRun) step(v *vm, ev ingress.Event) {
	if v.r == nil {
		return
	}
	v.out.Reset()
	v.r.Step(f.now, ev, &v.out)
	out := v.out
	v.out = ingress.Ready{}
	for _, c := range out.Cancels {
		f.cancel(v, c.Attempt)
	}
	for _, d := range out.Delivers {
		f.delivered(v, d)
	}
	for i := range out.Refusals {
		f.refused(v, &out.Refusals[i])
	}
	for i := range out.Sends {
		f.send(v, &out.Sends[i])
	}
	for i := range out.Quarantines {
		f.keepQuarantine(&out.Quarantines[i])
	}
	for _, p := range out.Probes {
		f.probe(v, p)
	}
	for _, tell := range out.Tells {
		f.tell(v, tell)
	}
	f.arm(v, out.Wake)
}

// arm has the process of v tick at wake, in place of when it would have.
func (f *fleetRun) arm(v *vm, wake clock.Time) {
	if wake == v.wake || wake == clock.Never {
		return
	}
	v.wake = wake
	starts := v.starts
	f.at(wake, func() {
		if v.starts == starts && v.wake == wake {
			v.wake = clock.Never
			f.step(v, &ingress.Tick{})
		}
	})
}

// way is the one-way latency between two failure domains.
func (f *fleetRun) way(a, b fleet.Domain) time.Duration {
	switch {
	case a == b:
		return millis(f.p.Network.DomainMS)
	case f.regions[a] == f.regions[b]:
		return millis(f.p.Network.RegionMS)
	default:
		return millis(f.p.Network.FarMS)
	}
}

func (f *fleetRun) tell(from *vm, tell ingress.Tell) {
	to := f.byID[tell.To]
	if to == nil {
		return
	}
	f.after(f.way(from.self.Domain, to.self.Domain), func() {
		f.step(to, &ingress.Heard{From: from.self.ID, Message: tell.Message})
	})
}

// send carries a request to a target.
func (f *fleetRun) send(v *vm, e *ingress.Send) {
	t, q := f.targets[e.Target], v.open[e.Request]
	s := &send{vm: v, starts: v.starts, id: e.Attempt, q: q, t: t, placed: f.now}
	v.attempts[e.Attempt] = s
	q.sends++
	s.carry = func() { f.carry(s) }
	if e.Gateway != "" {
		s.gate = f.byID[e.Gateway]
		s.carry = func() { f.toGateway(s) }
	}
	f.connect(s, e.Spare)
}

// carry takes a request to its target on the connection that it has.
func (f *fleetRun) carry(s *send) {
	v, t, q := s.vm, s.t, s.q
	f.books.noteConnected(s)
	f.after(f.way(v.self.Domain, t.reg.Domain), func() {
		if s.ended {
			return // cancelled on the way
		}
		if t.down {
			f.after(f.way(v.self.Domain, t.reg.Domain), func() {
				f.end(s, &ingress.Failed{Attempt: s.id, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
			})
			return
		}
		f.books.reach(f.now, q, t.region)
		f.noteReached(s)
		t.limited.reach(f.now, v)
		s.run = &run{send: s, object: q.object, start: t.reg.Born}
		t.take(f, s.run)
	})
}

// answer carries an answer of t back.
func (f *fleetRun) answer(t *target, r *run, o ingress.Outcome) {
	s, load, limit := r.send, t.load(), t.names(f.now)
	f.after(f.way(t.reg.Domain, s.vm.self.Domain), func() {
		if !s.ended && s.vm.starts == s.starts {
			f.freed(s)
		}
		if limit.Named {
			t.limited.tell(f.now, s.vm)
		}
		f.end(s, &ingress.Answered{Attempt: s.id, Outcome: o, Load: load, Limit: limit, Connect: s.opened, Waited: s.waited})
	})
}

// end reports the end of a send to its VM, if the process is still there.
func (f *fleetRun) end(s *send, ev ingress.Event) {
	if s.ended || s.vm.starts != s.starts {
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
func (f *fleetRun) probe(v *vm, p ingress.Probe) {
	t, starts := f.targets[p.Target], v.starts
	way := f.way(v.self.Domain, t.reg.Domain)
	f.after(way, func() {
		found := ingress.ListeningYes
		if t.down {
			found = ingress.ListeningNo
		}
		f.after(way, func() {
			if v.starts == starts {
				f.step(v, &ingress.Probed{Target: p.Target, Born: p.Born, Listening: found})
			}
		})
	})
}

func (f *fleetRun) cancel(v *vm, id ingress.AttemptID) {
	s := v.attempts[id]
	if s == nil {
		return
	}
	s.ended = true
	delete(v.attempts, id)
	if s.run != nil {
		s.run.over = true
	}
	if s.gateID != 0 {
		f.after(f.way(v.self.Domain, s.gate.self.Domain), func() {
			f.step(s.gate, &ingress.CallerGone{Request: s.gateID})
		})
	}
}
