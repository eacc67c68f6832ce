package tally

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/shift"
)

// span is a window on the own clock; the zero value covers nothing yet.
type span struct{ since, until clock.Time }

// join makes s as old as the older of the two.
func (s *span) join(o span) {
	if s.until == 0 {
		*s = o
		return
	}
	s.since = clock.Min(s.since, o.since)
	s.until = clock.Min(s.until, o.until)
}

// count is the sum of one flow.
type count struct {
	vms       uint32
	total     uint64
	moved     uint64
	demand    uint64 // 1/1,000,000 slots
	positions [shift.Positions]uint64
}

func (c *count) add(o *count) {
	c.vms += o.vms
	c.total += o.total
	c.moved += o.moved
	c.demand += o.demand
	for i, n := range o.positions {
		c.positions[i] += n
	}
}

// service is the sum of one service's load.
type service struct {
	vms       uint32
	capacity  uint64
	inFlight  uint64 // 1/1000 requests
	answers   uint64
	failed    uint64
	warming   bool
	latencies [latencyBuckets]uint64
}

func (s *service) add(r *LoadRow) {
	s.vms += r.VMs
	s.capacity += uint64(r.Capacity)
	s.inFlight += uint64(r.InFlight)
	s.answers += r.Answers
	s.failed += r.Failed
	s.warming = s.warming || r.Warming
	_, _ = unpack(r.Latencies, s.latencies[:]) // Validate has unpacked it before
}

// micro is the unit of CountRow.Demand.
const micro = 1e6

// total is the sum of the figures of some entry VMs of one region.
type total struct {
	live     uint32 // entry VMs that were asked for
	counted  span
	measured span
	counts   map[Key]*count
	services map[Key]*service
}

func newTotal() *total {
	return &total{counts: make(map[Key]*count), services: make(map[Key]*service)}
}

func (t *total) count(k Key) *count {
	c := t.counts[k]
	if c == nil {
		c = &count{}
		t.counts[k] = c
	}
	return c
}

func (t *total) service(k Key) *service {
	s := t.services[k]
	if s == nil {
		s = &service{}
		t.services[k] = s
	}
	return s
}

// own adds the figures of this entry VM.
func (t *total) own(now clock.Time, n *counting, m *Meter) {
	t.live++
	for i := range n.flows[:min(len(n.flows), MaxCounts)] {
		c, ok := n.flows[i].window()
		if !ok || now.Sub(c.Since) > maxAge*time.Millisecond {
			continue // its age exceeds maxAge; capped, it would seem newer
		}
		t.counted.join(span{c.Since, c.Until})
		t.count(n.flows[i].key).add(&count{
			vms:       1,
			total:     c.Total,
			moved:     c.Moved,
			demand:    uint64(c.Demand() * micro),
			positions: c.ByPosition,
		})
	}
	rows, ok := m.loads(now, n.services(), nil)
	if !ok {
		return
	}
	since, until := m.loadSpan()
	t.measured.join(span{since, until})
	for i := range rows {
		t.service(rows[i].Service).add(&rows[i])
	}
}

// sum adds the answer to an Ask that was sent at the instant asked. Its ages
// are as of the Ask's arrival, which was later, so the figures are at least
// as new as they are taken to be.
func (t *total) sum(asked clock.Time, s *Sum) {
	if len(s.Counts) > 0 {
		t.counted.join(span{before(asked, s.Since), before(asked, s.Age)})
	}
	if len(s.Loads) > 0 {
		t.measured.join(span{before(asked, s.LoadSince), before(asked, s.LoadAge)})
	}
	for i := range s.Counts {
		r := &s.Counts[i]
		c := t.count(r.Flow)
		c.vms += r.VMs
		c.total += r.Total
		c.moved += r.Moved
		c.demand += r.Demand
		_, _ = unpack(r.Positions, c.positions[:]) // Validate has unpacked it before
	}
	for i := range s.Loads {
		t.service(s.Loads[i].Service).add(&s.Loads[i])
	}
}

func before(t clock.Time, ms uint32) clock.Time {
	return t.Add(-time.Duration(ms) * time.Millisecond)
}

// message makes the answer to an Ask that arrived at the instant asked. Flows
// and services that this entry VM's catalogue doesn't hold are left out.
func (t *total) message(asked clock.Time, n *counting) *Sum {
	s := &Sum{Live: t.live}
	s.Since, s.Age = agesAt(asked, t.counted)
	s.LoadSince, s.LoadAge = agesAt(asked, t.measured)
	for i := range n.flows[:min(len(n.flows), MaxCounts)] {
		k := n.flows[i].key
		if c := t.counts[k]; c != nil && c.vms > 0 {
			s.Counts = append(s.Counts, CountRow{
				Flow: k, VMs: c.vms, Total: c.total, Moved: c.moved, Demand: c.demand,
				Positions: pack(nil, c.positions[:]),
			})
		}
	}
	for _, name := range n.services() {
		k := serviceKey(name)
		if v := t.services[k]; v != nil && v.vms > 0 {
			s.Loads = append(s.Loads, LoadRow{
				Service: k, VMs: v.vms, Capacity: saturate(v.capacity), InFlight: saturate(v.inFlight),
				Answers: v.answers, Failed: v.failed, Warming: v.warming,
				Latencies: pack(nil, v.latencies[:]),
			})
		}
	}
	return s
}

func saturate(n uint64) uint32 { return uint32(min(n, math.MaxUint32)) }

// agesAt returns the ages of a window's bounds, rounded up. A window that ends
// after the instant, since it was cut while answers were awaited, has age 0.
func agesAt(t clock.Time, s span) (since, until uint32) {
	if s.until == 0 {
		return 0, 0
	}
	return ageAt(t, s.since), ageAt(t, s.until)
}

func ageAt(t, of clock.Time) uint32 {
	ms := (t.Sub(of) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(ms, 0), maxAge))
}
