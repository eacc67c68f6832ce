package tally

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
)

// keepCounts stores the counts of a round.
func (s *State) keepCounts(j *job) {
	var all total
	sums := make(map[Key]*count)
	for _, r := range j.totals {
		all.live += r.live
		if r.counted.until != 0 {
			all.counted.join(r.counted)
		}
		for k, c := range r.counts {
			if sums[k] == nil {
				sums[k] = &count{}
			}
			sums[k].add(c)
		}
	}
	for i := range s.own.flows {
		f := &s.own.flows[i]
		s.keepCount(f, sums[f.key], &all)
	}
}

func (s *State) keepCount(f *flow, sum *count, all *total) {
	if sum == nil {
		sum = &count{}
	}
	c := shift.Count{
		Shift:   f.shift,
		Service: f.service,
		Missing: missing(all.live, sum.vms),
	}
	if sum.vms > 0 {
		c.Span = shift.Span{Since: all.counted.since, Until: all.counted.until}
		c.Total, c.Moved, c.ByPosition = sum.total, sum.moved, sum.positions
		c.Busy = busyOf(sum.demand, c.Span)
	}
	if held, ok := s.lead.counts[f.key]; ok && prefers(s.now, held.Span, held.Missing, c.Missing) {
		return
	}
	s.lead.counts[f.key] = c
}

// busyOf returns the busy time of a demand. The windows of the entry VMs differ
// a little in length, and the span covers them all; dividing their summed busy
// time by it would understate the demand.
func busyOf(demand uint64, s shift.Span) time.Duration {
	return time.Duration(float64(demand) / micro * float64(s.Until.Sub(s.Since)))
}

func missing(live, included uint32) int { return max(int(live)-int(included), 0) }

// keepLoads stores the load of one region.
func (s *State) keepLoads(r fleet.Region, t *total) {
	for _, name := range s.own.services() {
		v := t.services[serviceKey(name)]
		if v == nil {
			v = &service{}
		}
		gone := missing(t.live, v.vms)
		l := shift.Load{
			Region:     r,
			Service:    name,
			Capacity:   float64(v.capacity),
			InFlight:   float64(v.inFlight) / milli,
			Requests:   v.answers,
			ErrorShare: shareOf(v.failed, v.answers),
			P99:        p99(v.latencies[:]),
			Warming:    v.warming,
			Missing:    gone,
		}
		// Without any capacity a region counts as failing. While reports
		// are missing that isn't known: the figures stay without a window.
		if v.vms > 0 && (gone == 0 || l.Capacity > 0) {
			l.Span = shift.Span{Since: t.measured.since, Until: t.measured.until}
		}
		at := place{region: r, service: name}
		if held, ok := s.lead.loads[at]; ok && prefers(s.now, held.Span, held.Missing, gone) {
			continue
		}
		s.lead.loads[at] = l
	}
}

// Evidence returns the input of plans now. It is empty where this process
// doesn't lead, and holds no figures before the first round.
func (s *State) Evidence(now clock.Time) shift.Evidence {
	var e shift.Evidence
	if !s.leads() {
		return e
	}
	for i := range s.own.flows {
		if c, ok := s.lead.counts[s.own.flows[i].key]; ok {
			e.Counts = append(e.Counts, c)
		}
	}
	for _, r := range s.fleet.regions() {
		state, known := s.fleet.regionState(now, s.o.LostAfter, r)
		for _, name := range s.own.services() {
			e.Loads = append(e.Loads, s.load(now, place{region: r, service: name}, state, known))
		}
	}
	return e
}

// load returns the load of a region. Membership knows now, without a
// round, that a region isn't live.
func (s *State) load(now clock.Time, at place, state fleet.State, known bool) shift.Load {
	l := s.lead.loads[at]
	l.Region, l.Service = at.region, at.service
	if known && state != fleet.Live {
		l = shift.Load{Region: at.region, Service: at.service, State: state}
		l.Span = shift.Span{Since: now.Add(-LoadWindow), Until: now}
	}
	return l
}
