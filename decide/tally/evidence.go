package tally

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
)

// storeCounts adds up a round's counts over all regions and stores them.
func (s *State) storeCounts(j *job) {
	var all aggregate
	sums := make(map[Key]*flowCounts)
	for _, r := range j.aggregates {
		all.live += r.live
		if r.countSpan.until != 0 {
			all.countSpan.mergeOldest(r.countSpan)
		}
		for k, c := range r.counts {
			if sums[k] == nil {
				sums[k] = &flowCounts{}
			}
			sums[k].add(c)
		}
	}
	for i := range s.local.flows {
		f := &s.local.flows[i]
		s.storeCount(f, sums[f.key], &all)
	}
}

func (s *State) storeCount(f *flow, sum *flowCounts, all *aggregate) {
	if sum == nil {
		sum = &flowCounts{}
	}
	c := shift.Count{
		Shift:   f.shift,
		Service: f.service,
		Missing: missingVMs(all.live, sum.vms),
	}
	if sum.vms > 0 {
		c.Span = shift.Span{Since: all.countSpan.since, Until: all.countSpan.until}
		c.Total, c.Moved, c.ByPosition = sum.total, sum.moved, sum.positions
		c.Busy = busyTime(sum.demand, c.Span)
	}
	if stored, ok := s.lead.counts[f.key]; ok && prefersStored(s.now, stored.Span, stored.Missing, c.Missing) {
		return
	}
	s.lead.counts[f.key] = c
}

// busyTime converts a demand to the busy time over s. Demands are summed rather
// than busy times because the windows of the entry VMs differ a little in
// length: dividing their summed busy time by the span that covers them all
// would understate the demand.
func busyTime(demand uint64, s shift.Span) time.Duration {
	return time.Duration(float64(demand) / demandUnit * float64(s.Until.Sub(s.Since)))
}

func missingVMs(live, included uint32) int { return max(int(live)-int(included), 0) }

// storeLoads stores the load of one region.
func (s *State) storeLoads(r fleet.Region, t *aggregate) {
	for _, name := range s.local.services() {
		v := t.loads[serviceKey(name)]
		if v == nil {
			v = &serviceLoad{}
		}
		missing := missingVMs(t.live, v.vms)
		l := shift.Load{
			Region:     r,
			Service:    name,
			Capacity:   float64(v.capacity),
			InFlight:   float64(v.inFlight) / inFlightUnit,
			Requests:   v.answers,
			ErrorShare: shareRoundedUp(v.failed, v.answers),
			P99:        p99(v.latencies[:]),
			Warming:    v.warming,
			Missing:    missing,
		}
		// A region without capacity counts as failing. While reports are
		// missing its capacity isn't known, so the load gets no window.
		if v.vms > 0 && (missing == 0 || l.Capacity > 0) {
			l.Span = shift.Span{Since: t.loadSpan.since, Until: t.loadSpan.until}
		}
		at := regionService{region: r, service: name}
		if stored, ok := s.lead.loads[at]; ok && prefersStored(s.now, stored.Span, stored.Missing, missing) {
			continue
		}
		s.lead.loads[at] = l
	}
}

// Evidence returns the evidence for plans at now. It is empty if this process
// runs no rounds, and holds no figures before the end of the first one.
func (s *State) Evidence(now clock.Time) shift.Evidence {
	var e shift.Evidence
	if !s.leadsRounds() {
		return e
	}
	for i := range s.local.flows {
		if c, ok := s.lead.counts[s.local.flows[i].key]; ok {
			e.Counts = append(e.Counts, c)
		}
	}
	for _, r := range s.domains.regions() {
		state, known := s.domains.regionState(now, s.options.LostAfter, r)
		for _, name := range s.local.services() {
			e.Loads = append(e.Loads, s.currentLoad(now, regionService{region: r, service: name}, state, known))
		}
	}
	return e
}

// currentLoad returns the load of a service in a region. If membership shows
// that the region isn't live, that replaces the figures of the last round.
func (s *State) currentLoad(now clock.Time, at regionService, state fleet.State, known bool) shift.Load {
	l := s.lead.loads[at]
	l.Region, l.Service = at.region, at.service
	if known && state != fleet.Live {
		l = shift.Load{Region: at.region, Service: at.service, State: state}
		l.Span = shift.Span{Since: now.Add(-LoadWindow), Until: now}
	}
	return l
}
