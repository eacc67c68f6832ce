package ingress

import (
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
)

// Reducer holds the state. It is not safe for concurrent use.
type Reducer struct {
	opts   Options
	region fleet.Region
	rng    *rand.Rand
	out    *Ready

	table     *route.Table
	splits    map[string]*route.Split // by route name
	sizes     map[string]*mean        // bytes of an answer, by route name
	services  map[fleet.ServiceName]*service
	targets   map[fleet.TargetID]*targetState
	evacuated map[fleet.Domain]bool
	lapses    clock.Time // the earliest of the targets'
	members   []fleet.VM
	trips     map[fleet.Region]*mean // round trip in ns
	shift     regionShift

	requests    map[RequestID]*request
	attempts    map[AttemptID]*attempt
	nextAttempt AttemptID
	timers      timers
}

// New returns a Reducer that knows no configuration.
func New(o Options) *Reducer {
	return &Reducer{
		opts:      o,
		region:    o.Regions[o.Domain],
		rng:       rand.New(rand.NewPCG(o.Seed, o.Seed)),
		splits:    make(map[string]*route.Split),
		sizes:     make(map[string]*mean),
		services:  make(map[fleet.ServiceName]*service),
		targets:   make(map[fleet.TargetID]*targetState),
		evacuated: make(map[fleet.Domain]bool),
		trips:     make(map[fleet.Region]*mean),
		requests:  make(map[RequestID]*request),
		attempts:  make(map[AttemptID]*attempt),
		lapses:    clock.Never,
	}
}

// Step takes an event seen at now and writes its effects to out.
func (r *Reducer) Step(now clock.Time, ev Event, out *Ready) {
	r.out = out
	switch ev := ev.(type) {
	case *Arrive:
		r.arrive(now, ev)
	case *CallerGone:
		r.callerGone(now, ev)
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
		r.members = ev.VMs
		r.pump(now)
	case *Bounded:
		r.opts.Bounds = ev.Bounds
	case *Tick:
	}
	r.expireLapsed(now)
	r.expire(now)
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
	r.pump(now)
}

// expire handles what is due.
func (r *Reducer) expire(now clock.Time) {
	for {
		t, ok := r.timers.due(now)
		if !ok {
			return
		}
		q, ok := r.requests[t.request]
		if !ok {
			continue
		}
		switch t.purpose {
		case dueAnswer:
			r.timedOut(now, q)
		case dueQueue:
			r.queuedTooLong(now, q)
		case dueHedge:
			r.hedge(now, q)
		}
	}
}

// pump sends waiting requests for which there is room now.
func (r *Reducer) pump(now clock.Time) {
	for _, s := range r.serviceList() {
		r.pumpService(now, s)
	}
}

func (r *Reducer) pumpService(now clock.Time, s *service) {
	for n := s.waiting.Front(); n != nil; {
		next := n.Next()
		q := n.Item
		if t := r.choose(now, q); t != nil {
			s.waiting.Remove(n)
			r.send(now, q, t)
		}
		n = next
	}
}

// serviceList returns the services with waiting requests, in a fixed order.
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
