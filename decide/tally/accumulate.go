package tally

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/shift"
)

// span is a window on the local clock; the zero value is empty.
type span struct{ since, until clock.Time }

// mergeOldest moves each bound of s to the earlier one of s and o.
func (s *span) mergeOldest(o span) {
	if s.until == 0 {
		*s = o
		return
	}
	s.since = clock.Min(s.since, o.since)
	s.until = clock.Min(s.until, o.until)
}

// flowCounts is the sum of one flow's counts over some entry VMs.
type flowCounts struct {
	vms       uint32
	total     uint64
	moved     uint64
	demand    uint64 // 1/1,000,000 slots
	positions [shift.Positions]uint64
}

func (c *flowCounts) add(o *flowCounts) {
	c.vms += o.vms
	c.total += o.total
	c.moved += o.moved
	c.demand += o.demand
	for i, n := range o.positions {
		c.positions[i] += n
	}
}

// serviceLoad is the sum of one service's load over some entry VMs.
type serviceLoad struct {
	vms       uint32
	capacity  uint64
	inFlight  uint64 // 1/1000 requests
	answers   uint64
	failed    uint64
	warming   bool
	latencies [latencyBuckets]uint64
}

func (s *serviceLoad) add(r *LoadRow) {
	s.vms += r.VMs
	s.capacity += uint64(r.Capacity)
	s.inFlight += uint64(r.InFlight)
	s.answers += r.Answers
	s.failed += r.Failed
	s.warming = s.warming || r.Warming
	_, _ = addUnpacked(r.Latencies, s.latencies[:]) // Validate has checked that it unpacks
}

// demandUnit is the unit of CountRow.Demand.
const demandUnit = 1e6

// aggregate adds up the figures of some entry VMs of one region.
type aggregate struct {
	live      uint32 // live entry VMs that the sum should cover
	countSpan span
	loadSpan  span
	counts    map[Key]*flowCounts
	loads     map[Key]*serviceLoad
}

func newAggregate() *aggregate {
	return &aggregate{counts: make(map[Key]*flowCounts), loads: make(map[Key]*serviceLoad)}
}

func (t *aggregate) countsOf(k Key) *flowCounts {
	c := t.counts[k]
	if c == nil {
		c = &flowCounts{}
		t.counts[k] = c
	}
	return c
}

func (t *aggregate) loadOf(k Key) *serviceLoad {
	s := t.loads[k]
	if s == nil {
		s = &serviceLoad{}
		t.loads[k] = s
	}
	return s
}

// addOwn adds the figures of this entry VM.
func (t *aggregate) addOwn(now clock.Time, n *localCounts, m *Meter) {
	t.live++
	for i := range n.flows[:min(len(n.flows), MaxCounts)] {
		c, ok := n.flows[i].window()
		if !ok || now.Sub(c.Since) > maxAge*time.Millisecond {
			continue // an age capped at maxAge would make the window appear newer
		}
		t.countSpan.mergeOldest(span{c.Since, c.Until})
		t.countsOf(n.flows[i].key).add(&flowCounts{
			vms:       1,
			total:     c.Total,
			moved:     c.Moved,
			demand:    uint64(c.Demand() * demandUnit),
			positions: c.ByPosition,
		})
	}
	rows, ok := m.loads(now, n.services(), nil)
	if !ok {
		return
	}
	since, until := m.loadSpan()
	t.loadSpan.mergeOldest(span{since, until})
	for i := range rows {
		t.loadOf(rows[i].Service).add(&rows[i])
	}
}

// addSum adds the answer to an Ask that was sent at the instant asked. The ages
// in s count back from the Ask's arrival, which was later, so the figures are
// at least as new as recorded here.
func (t *aggregate) addSum(asked clock.Time, s *Sum) {
	if len(s.Counts) > 0 {
		t.countSpan.mergeOldest(span{millisBefore(asked, s.CountStartAge), millisBefore(asked, s.CountEndAge)})
	}
	if len(s.Loads) > 0 {
		t.loadSpan.mergeOldest(span{millisBefore(asked, s.LoadStartAge), millisBefore(asked, s.LoadEndAge)})
	}
	for i := range s.Counts {
		r := &s.Counts[i]
		c := t.countsOf(r.Flow)
		c.vms += r.VMs
		c.total += r.Total
		c.moved += r.Moved
		c.demand += r.Demand
		_, _ = addUnpacked(r.Positions, c.positions[:]) // Validate has checked that it unpacks
	}
	for i := range s.Loads {
		t.loadOf(s.Loads[i].Service).add(&s.Loads[i])
	}
}

func millisBefore(t clock.Time, ms uint32) clock.Time {
	return t.Add(-time.Duration(ms) * time.Millisecond)
}

// toSum returns the answer to an Ask that arrived at the instant asked. Flows
// and services that are not in this entry VM's catalogue are left out.
func (t *aggregate) toSum(asked clock.Time, n *localCounts) *Sum {
	s := &Sum{Live: t.live}
	s.CountStartAge, s.CountEndAge = spanAges(asked, t.countSpan)
	s.LoadStartAge, s.LoadEndAge = spanAges(asked, t.loadSpan)
	for i := range n.flows[:min(len(n.flows), MaxCounts)] {
		k := n.flows[i].key
		if c := t.counts[k]; c != nil && c.vms > 0 {
			s.Counts = append(s.Counts, CountRow{
				Flow: k, VMs: c.vms, Total: c.total, Moved: c.moved, Demand: c.demand,
				Positions: appendPacked(nil, c.positions[:]),
			})
		}
	}
	for _, name := range n.services() {
		k := serviceKey(name)
		if v := t.loads[k]; v != nil && v.vms > 0 {
			s.Loads = append(s.Loads, LoadRow{
				Service: k, VMs: v.vms, Capacity: saturateUint32(v.capacity), InFlight: saturateUint32(v.inFlight),
				Answers: v.answers, Failed: v.failed, Warming: v.warming,
				Latencies: appendPacked(nil, v.latencies[:]),
			})
		}
	}
	return s
}

func saturateUint32(n uint64) uint32 { return uint32(min(n, math.MaxUint32)) }

// spanAges returns the ages of a window's bounds at t in milliseconds, rounded
// up. A bound after t has age 0: the window may have ended while answers were
// awaited.
func spanAges(t clock.Time, s span) (since, until uint32) {
	if s.until == 0 {
		return 0, 0
	}
	return ageMillis(t, s.since), ageMillis(t, s.until)
}

func ageMillis(t, of clock.Time) uint32 {
	ms := (t.Sub(of) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(ms, 0), maxAge))
}
