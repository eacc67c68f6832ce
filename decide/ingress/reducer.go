package ingress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/route"
)

// Reducer holds the state. It is not safe for concurrent use.
type Reducer struct {
	opts   Options
	region fleet.Region
	groups map[fleet.Domain]group // of the own region's failure domains
	found  [localChoices]scored   // memory of firstEligible
	rng    *rand.Rand
	out    *Ready

	table     *route.Table
	splits    map[string]*route.Split // by route name
	routes    map[string]*routeState  // by route name
	services  map[fleet.ServiceName]*service
	targets   map[fleet.TargetID]*targetState
	evacuated map[fleet.Domain]bool
	lapses    clock.Time // the earliest of the targets'
	began     clock.Time // when the first event was seen; 0: not yet
	members   []fleet.VM
	// lines are the VMs that place requests by what members names, and strong the
	// strong ones of each region, as far as they were asked for.
	lines  map[coordination][]fleet.VMID
	strong map[fleet.Region][]fleet.VMID
	trips  map[fleet.Region]*mean // round trip in ns

	jobs    map[jobKey]*job         // places taken or waited for
	asks    map[AskID]*request      // asks that are unanswered
	silent  map[fleet.VMID]*silence // coordinators that did not answer
	nextAsk AskID

	requests    map[RequestID]*request
	attempts    map[AttemptID]*attempt
	nextAttempt AttemptID
	// gateways are the VMs of a failure domain that carry requests there, as far
	// as they were asked for. carries are the requests of others that this VM
	// carries, and carriesBy the same by their attempts.
	gateways  map[fleet.Domain][]fleet.VMID
	carries   map[RequestID]*carried
	carriesBy map[AttemptID]*carried
	timers    timers

	quarantine quarantine.List
	enforcing  []quarantine.Fingerprint // came into quarantine in this step
	expiring   bool                     // a timer looks for quarantines that are over
}

// New returns a Reducer that knows no configuration.
func New(o Options) *Reducer {
	return &Reducer{
		opts:      o,
		region:    o.Regions[o.Domain],
		groups:    groupsOf(o.Regions, o.Regions[o.Domain]),
		rng:       rand.New(rand.NewPCG(o.Seed, o.Seed)),
		splits:    make(map[string]*route.Split),
		routes:    make(map[string]*routeState),
		services:  make(map[fleet.ServiceName]*service),
		targets:   make(map[fleet.TargetID]*targetState),
		evacuated: make(map[fleet.Domain]bool),
		trips:     make(map[fleet.Region]*mean),
		lines:     make(map[coordination][]fleet.VMID),
		strong:    make(map[fleet.Region][]fleet.VMID),
		jobs:      make(map[jobKey]*job),
		asks:      make(map[AskID]*request),
		silent:    make(map[fleet.VMID]*silence),
		nextAsk:   AskID(o.Start),
		requests:  make(map[RequestID]*request),
		attempts:  make(map[AttemptID]*attempt),
		gateways:  make(map[fleet.Domain][]fleet.VMID),
		carries:   make(map[RequestID]*carried),
		carriesBy: make(map[AttemptID]*carried),
		lapses:    clock.Never,
	}
}

// Step takes an event seen at now and writes its effects to out.
func (r *Reducer) Step(now clock.Time, ev Event, out *Ready) {
	r.out = out
	if r.began == 0 {
		r.began = now
	}
	switch ev := ev.(type) {
	case *Arrive:
		r.arrive(now, ev)
	case *Carry:
		r.carry(now, ev)
	case *CallerGone:
		r.callerGone(now, ev)
	case *Received:
		r.received(ev.Attempt)
	case *Answered:
		r.answered(now, ev)
	case *Failed:
		r.failed(now, ev)
	case *Configured:
		r.configured(now, ev)
	case *TargetsChanged:
		r.applyTargets(now, ev)
	case *Evacuated:
		r.evacuate(now, ev)
	case *MembersChanged:
		r.setMembers(ev.VMs)
		r.dropJobsOfLost(now)
		r.pump(now)
	case *Heard:
		r.heard(now, ev)
	case *Probed:
		r.probed(now, ev)
	case *QuarantineRead:
		r.quarantineRead(now, ev)
	case *Bounded:
		r.opts.Bounds, r.opts.Drain = ev.Bounds, ev.Drain
	case *Tick:
	}
	r.expireLapsed(now)
	r.expire(now)
	r.enforce(now)
	out.Wake = clock.Min(r.timers.next(), r.lapses)
	r.out = nil
}

// Ready reports whether a configuration is in force.
func (r *Reducer) Ready() bool { return r.table != nil }

// configured takes a new configuration; an older one is refused, as a version
// that was seen in force must not be undone.
func (r *Reducer) configured(now clock.Time, ev *Configured) {
	if r.table != nil && ev.Table.Config.Version < r.table.Config.Version {
		return
	}
	r.table = ev.Table
	for name := range r.splits {
		delete(r.splits, name) // weights may have changed
	}
	r.forgetRoutes(ev.Table.Config)
	r.pump(now)
}

// expire handles what is due.
func (r *Reducer) expire(now clock.Time) {
	for {
		t, ok := r.timers.due(now)
		if !ok {
			return
		}
		r.fire(now, t)
	}
}

func (r *Reducer) fire(now clock.Time, t timer) {
	switch t.purpose {
	case dueJob:
		r.jobDue(now, t.job)
		return
	case dueQuarantine:
		r.expireQuarantine(now)
		return
	case dueCarried:
		r.carriedDue(t.request)
		return
	}
	q, ok := r.requests[t.request]
	if !ok {
		return
	}
	switch t.purpose {
	case dueAnswer:
		r.timedOut(now, q)
	case dueHedge:
		r.hedge(now, q)
	case dueAsk:
		r.askDue(now, q, t.ask)
	case dueGateway:
		r.gatewayDue(now, q, t.attempt)
	}
}

// pump places the jobs that wait, where there is room now.
func (r *Reducer) pump(now clock.Time) {
	for _, s := range r.serviceList() {
		r.pumpService(now, s)
	}
}

// serviceList returns the services with waiting jobs, in a fixed order.
func (r *Reducer) serviceList() []*service {
	var list []*service
	for _, s := range r.services {
		if s.waiting.Len() > 0 {
			list = append(list, s)
		}
	}
	sortServices(list)
	return list
}

// jobList returns the jobs in a fixed order.
func (r *Reducer) jobList() []*job {
	list := make([]*job, 0, len(r.jobs))
	for _, j := range r.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.key.vm, b.key.vm), cmp.Compare(a.key.id, b.key.id))
	})
	return list
}

// mean is a moving average of a quantity.
type mean struct {
	value float64
	known bool
}

// meanWeight is the weight of a new sample in mean.
const meanWeight = 0.1

func (m *mean) add(v float64) {
	if !m.known {
		m.value, m.known = v, true
		return
	}
	m.value += meanWeight * (v - m.value)
}

func (m *mean) or(otherwise float64) float64 {
	if m == nil || !m.known {
		return otherwise
	}
	return m.value
}

// trip is the round trip to a region in ns.
func (r *Reducer) trip(region fleet.Region) float64 {
	if region == r.region {
		return r.trips[region].or(float64(initialNear))
	}
	return r.trips[region].or(float64(initialFar))
}

// learnTrip takes the time that opening a connection took: one round trip.
func (r *Reducer) learnTrip(region fleet.Region, d time.Duration) {
	m, ok := r.trips[region]
	if !ok {
		m = new(mean)
		r.trips[region] = m
	}
	m.add(float64(d))
}

// Targets returns the number of known targets.
func (r *Reducer) Targets() int { return len(r.targets) }
