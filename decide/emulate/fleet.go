package emulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/clock/clocktest"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/route"
)

// Variant states how to run a pattern: the seed, and the mechanisms to disable.
type Variant struct {
	Seed     uint64
	Disabled ingress.Mechanisms
}

// simulation is one run of a pattern.
type simulation struct {
	pattern   *Pattern
	variant   Variant
	rng       *rand.Rand
	now       clock.Time
	loadStart clock.Time // start of the load
	events    clocktest.Queue[func()]
	table     *route.Table
	// configVersion is the version of table, and quotaFactor by what the accounts'
	// quotas are multiplied in it.
	configVersion uint64
	quotaFactor   map[route.AccountName]float64
	regions       map[fleet.Domain]fleet.Region
	vms           []*vm
	// The VMs by ID, by failure domain and by region.
	vmByID      map[fleet.VMID]*vm
	vmsInDomain map[fleet.Domain][]*vm
	vmsInRegion map[fleet.Region][]*vm

	targets     map[fleet.TargetID]*target
	targetList  []*target // in the order of creation
	loadFactor  map[fleet.Domain]float64
	kindFactor  map[fleet.Domain]kindFactors                  // of bursts of one kind of request
	tailRNG     *rand.Rand                                    // for the work of requests
	quarantines map[quarantine.Fingerprint]*quarantine.Record // in the store
	lastContent uint64                                        // number of the latest unique content
	recorder    recorder
	// targetCuts is the number of cuts from targets in force. Callers' first attempts
	// count from countTriesFrom until it is 0.
	targetCuts     int
	countTriesFrom clock.Time
	store          *store // nil: it is not modelled
}

// vm is one entry VM.
type vm struct {
	self          fleet.VM
	reducer       *ingress.Reducer // nil if the VM is down
	processNumber int
	nextTick      clock.Time // clock.Never if none is due
	out           ingress.Ready
	lastRequest   ingress.RequestID
	openRequests  map[ingress.RequestID]*entryAttempt
	attempts      map[ingress.AttemptID]*targetSend
	connections   connectionPools
	cut           bool       // exchanges no messages with other VMs
	listed        bool       // on the list of entry VMs
	startedAt     clock.Time // when its process started; set if the store is modelled
	mirror        mirror.Mirror
	targetCut     *targetCut // nil: it reaches targets
	// lastGatewayRequest counts the requests that it forwarded as a gateway. Their
	// IDs count down from the highest one; those of callers count up.
	lastGatewayRequest ingress.RequestID
}

const (
	// warmUp is how long the fleet runs before the load starts.
	warmUp = time.Second
	// propagationTime is how long it takes until all VMs know of a change of
	// targets, quarantines or evacuations.
	propagationTime = 100 * time.Millisecond
	// drainTime is how long the fleet runs after the load has ended.
	drainTime = 20 * time.Second
)

// Run runs a pattern and returns the result.
func Run(p *Pattern, v Variant) *Result {
	sim := newSimulation(p, v)
	sim.runUntil(sim.endTime())
	return sim.recorder.finalResult(v)
}

// newSimulation prepares a run of a pattern.
func newSimulation(p *Pattern, v Variant) *simulation {
	sim := &simulation{
		pattern: p, variant: v, rng: rand.New(rand.NewPCG(v.Seed, 11)), now: clock.Time(time.Hour),
		regions: make(map[fleet.Domain]fleet.Region), targets: make(map[fleet.TargetID]*target),
		loadFactor: make(map[fleet.Domain]float64), vmByID: make(map[fleet.VMID]*vm),
		vmsInDomain: make(map[fleet.Domain][]*vm), vmsInRegion: make(map[fleet.Region][]*vm),
	}
	sim.kindFactor = make(map[fleet.Domain]kindFactors)
	sim.tailRNG = rand.New(rand.NewPCG(v.Seed, tailStream))
	sim.quarantines = make(map[quarantine.Fingerprint]*quarantine.Record)
	sim.loadStart = sim.now.Add(warmUp)
	sim.configVersion, sim.quotaFactor = 1, make(map[route.AccountName]float64)
	sim.recorder.init(p, sim.loadStart)
	for _, d := range p.Domains {
		sim.regions[d.Name] = d.Region
		sim.loadFactor[d.Name] = 1
	}
	sim.configure()
	sim.placeTargets()
	if p.hasStore() {
		sim.startStore()
	}
	sim.startVMs()
	sim.after(warmUp, sim.beginLoad)
	return sim
}

// endTime returns when all requests have ended.
func (sim *simulation) endTime() clock.Time {
	return sim.loadStart.Add(seconds(sim.pattern.Seconds) + drainTime)
}

func (sim *simulation) schedule(at clock.Time, run func()) { sim.events.Push(max(at, sim.now), run) }

func (sim *simulation) after(d time.Duration, run func()) { sim.schedule(sim.now.Add(d), run) }

func (sim *simulation) loadSeconds() float64 { return sim.now.Sub(sim.loadStart).Seconds() }

// selected reports whether item i of n belongs to the share that an event applies
// to; a share of 0 means all.
func (sim *simulation) selected(share float64, i, n int) bool {
	return share == 0 || float64(i) < share*float64(n)
}

func (sim *simulation) runUntil(until clock.Time) {
	for {
		at, run, ok := sim.events.Pop(until)
		if !ok {
			sim.now = until
			return
		}
		sim.now = max(sim.now, at)
		run()
	}
}

// configure builds the configuration.
func (sim *simulation) configure() {
	cfg := &route.Config{Version: sim.configVersion, Accounts: sim.accounts(), Services: make(map[fleet.ServiceName]route.Service)}
	for _, s := range sim.pattern.Services {
		cfg.Services[s.Name] = route.Service{Name: s.Name, ColdRate: s.ColdRate, ColdTime: seconds(s.ColdTime)}
	}
	for _, k := range sim.pattern.Kinds {
		cfg.Routes = append(cfg.Routes, route.Route{
			Name: k.Name, Host: "h", Prefix: "/" + k.Name + "/", Idempotent: k.Idempotent, Attempts: 3,
			Aim: millis(k.LatencyGoalMS), Priority: k.Priority, Affinity: true,
			Parts: []route.Part{{Service: k.Service, Weight: 1}},
		})
	}
	sim.table = route.NewTable(cfg)
}

func (sim *simulation) placeTargets() {
	for i := range sim.pattern.Services {
		s := &sim.pattern.Services[i]
		for _, d := range sim.pattern.Domains {
			for range d.Targets[s.Name] {
				id := fleet.TargetID(fmt.Sprintf("%s-%s-%d", s.Name, d.Name, len(sim.targetList)))
				t := &target{region: d.Region, service: s, slowFactor: 1, registered: ingress.Target{
					ID: id, Service: s.Name, Addr: string(id), Domain: d.Name, Slots: s.Slots, StartedAt: 1,
				}}
				if sim.pattern.Pace != nil {
					t.machine = newMachine(sim.pattern.Pace, sim.variant.Seed, uint64(len(sim.targetList)), sim.now)
				}
				sim.targets[id] = t
				sim.targetList = append(sim.targetList, t)
			}
		}
	}
}

func (sim *simulation) startVMs() {
	for _, d := range sim.pattern.Domains {
		for i := range d.VMs {
			v := &vm{self: fleet.VM{
				ID: fleet.VMID(fmt.Sprintf("vm-%s-%d", d.Name, i)), Domain: d.Name, Region: d.Region, GatewayAddr: "gateway",
			}}
			if d.StrongVMs > 0 {
				v.self.Cores = WeakCores
				if i < d.StrongVMs {
					v.self.Cores = StrongCores
				}
			}
			v.listed = true
			sim.vms = append(sim.vms, v)
			sim.vmByID[v.self.ID] = v
			sim.vmsInDomain[d.Name] = append(sim.vmsInDomain[d.Name], v)
			sim.vmsInRegion[d.Region] = append(sim.vmsInRegion[d.Region], v)
		}
	}
	for _, v := range sim.vms {
		sim.startVM(v)
	}
}

// startVM starts a process of v, which reads the configuration, targets, members
// and quarantines immediately.
func (sim *simulation) startVM(v *vm) {
	v.processNumber++
	v.nextTick = clock.Never
	v.openRequests = make(map[ingress.RequestID]*entryAttempt)
	v.attempts = make(map[ingress.AttemptID]*targetSend)
	v.connections = make(connectionPools)
	v.reducer = ingress.New(ingress.Options{
		Self: v.self.ID, Domain: v.self.Domain, Regions: sim.regions, Start: sim.now,
		Seed: sim.variant.Seed + uint64(v.processNumber), Disabled: sim.variant.Disabled,
		Hedge: hedge.Policy{Limit: sim.pattern.HedgeLimit},
		Bounds: ingress.Bounds{
			ColdFactor: sim.pattern.ColdFactor, ColdSlack: sim.pattern.ColdSlack, RetryRatio: sim.pattern.RepeatRatio,
			RetrySlack: sim.pattern.RepeatSlack, RetryWindow: 10 * time.Second, RegionShift: sim.pattern.RegionShift,
			Quota: sim.pattern.Quota.rule(),
		},
		Admission: sim.pattern.Admission,
	})
	sim.step(v, &ingress.Configured{Table: sim.table})
	if sim.store != nil {
		sim.startMirror(v)
	} else {
		sim.step(v, sim.registrations())
	}
	sim.step(v, sim.members())
	for _, fp := range sortedFingerprints(sim.quarantines) {
		sim.step(v, &ingress.QuarantineRead{Fingerprint: fp, Record: sim.quarantines[fp]})
	}
}

// registrations returns the registrations of all targets.
func (sim *simulation) registrations() *ingress.TargetsChanged {
	all := new(ingress.TargetsChanged)
	for _, t := range sim.targetList {
		if !t.down && !t.unregistered {
			all.Updated = append(all.Updated, t.registration(sim.now))
		}
	}
	return all
}

// members returns the list of entry VMs.
func (sim *simulation) members() *ingress.MembersChanged {
	ev := new(ingress.MembersChanged)
	for _, v := range sim.vms {
		if v.listed {
			ev.VMs = append(ev.VMs, v.self)
		}
	}
	return ev
}

// broadcastMembers lets each VM learn of the list of entry VMs at a time of its own.
func (sim *simulation) broadcastMembers() {
	for _, v := range sim.vms {
		delay := seconds(sim.rng.Float64() * sim.pattern.Members.LearnSeconds)
		sim.after(delay, func() { sim.step(v, sim.members()) })
	}
}

// registration returns how t registers itself at the given time.
func (t *target) registration(now clock.Time) ingress.Target {
	reg := t.registered
	reg.Cold = max(t.coldEnd.Sub(now), 0)
	return reg
}

// broadcast passes an event to all VMs after propagationTime.
func (sim *simulation) broadcast(event func() ingress.Event) {
	sim.after(propagationTime, func() {
		for _, v := range sim.vms {
			sim.step(v, event())
		}
	})
}

// step passes an event to an entry VM and executes the effects.
func (sim *simulation) step(v *vm, ev ingress.Event) {
	if v.reducer == nil {
		return
	}
	v.out.Reset()
	v.reducer.Step(sim.now, ev, &v.out)
	out := v.out
	v.out = ingress.Ready{}
	for _, c := range out.Cancels {
		sim.cancel(v, c.Attempt)
	}
	for _, c := range out.Recalls {
		sim.recall(v, c.Attempt)
	}
	for _, d := range out.Delivers {
		sim.handleDeliver(v, d)
	}
	for i := range out.Refusals {
		sim.handleRefusal(v, &out.Refusals[i])
	}
	for i := range out.Sends {
		sim.startSend(v, &out.Sends[i])
	}
	for i := range out.Quarantines {
		sim.storeQuarantine(&out.Quarantines[i])
	}
	for _, p := range out.Probes {
		sim.probe(v, p, func(found ingress.Listening) ingress.Event {
			return &ingress.Probed{Target: p.Target, StartedAt: p.StartedAt, Listening: found}
		})
	}
	for _, p := range out.LinkProbes {
		sim.probe(v, p, func(found ingress.Listening) ingress.Event {
			return &ingress.LinkProbed{Target: p.Target, Listening: found}
		})
	}
	for _, m := range out.Messages {
		sim.sendMessage(v, m)
	}
	sim.setTickTimer(v, out.WakeAt)
}

// setTickTimer sets the time of v's next tick and replaces an earlier one.
func (sim *simulation) setTickTimer(v *vm, wake clock.Time) {
	if wake == v.nextTick || wake == clock.Never {
		return
	}
	v.nextTick = wake
	process := v.processNumber
	sim.schedule(wake, func() {
		if v.processNumber == process && v.nextTick == wake {
			v.nextTick = clock.Never
			sim.step(v, &ingress.Tick{})
		}
	})
}

// latency returns the one-way latency between two failure domains.
func (sim *simulation) latency(a, b fleet.Domain) time.Duration {
	switch {
	case a == b:
		return millis(sim.pattern.Network.DomainMS)
	case sim.regions[a] == sim.regions[b]:
		return millis(sim.pattern.Network.RegionMS)
	default:
		return millis(sim.pattern.Network.FarMS)
	}
}

func (sim *simulation) sendMessage(from *vm, m ingress.OutgoingMessage) {
	to := sim.vmByID[m.To]
	if to == nil || from.cut || to.cut {
		return
	}
	sim.after(sim.latency(from.self.Domain, to.self.Domain), func() {
		sim.step(to, &ingress.IncomingMessage{From: from.self.ID, Message: m.Message})
	})
}
