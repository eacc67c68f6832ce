package tally

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
)

// lead is the state of the process that holds the runner's lease.
type lead struct {
	held      bool
	anyMoving bool // whether any shift moves traffic
	nextRound clock.Time
	round     uint64
	counts    map[Key]shift.Count
	loads     map[regionService]shift.Load
}

// regionService identifies a service in a region.
type regionService struct {
	region  fleet.Region
	service fleet.ServiceName
}

// configure applies a catalogue. If the flows have changed, the stored counts
// are dropped: a shift recreated under its old id may have another sender.
func (l *lead) configure(c *catalogue.Catalogue, changed bool) {
	if changed {
		l.counts = nil
	}
	l.anyMoving = false
	for i := range c.Shifts {
		l.anyMoving = l.anyMoving || c.Shifts[i].State.Moves()
	}
}

// setHeld records whether the lease is held. When that changes, the stored
// figures are dropped, since they would be stale by the next time it is held.
func (l *lead) setHeld(now clock.Time, held bool) {
	if held == l.held {
		return
	}
	l.held = held
	l.dropFigures()
	l.nextRound = now
}

func (l *lead) dropFigures() { l.counts, l.loads = nil, nil }

// restartRounds drops all figures and the round under way, and makes a new
// round due. It is called when a lost domain returns: figures from before lack
// the domain's entry VMs and would still count as complete.
func (s *State) restartRounds() {
	s.lead.dropFigures()
	s.jobs = slices.DeleteFunc(s.jobs, func(j *job) bool { return j.runner == s.self.ID })
	s.lead.nextRound = s.now
}

// leadsRounds reports whether this process runs rounds: it holds the lease, and
// a shift moves traffic.
func (s *State) leadsRounds() bool { return s.lead.held && s.lead.anyMoving }

func (s *State) startRound(out *Ready) {
	l := &s.lead
	l.nextRound = s.now.Add(s.options.RoundEvery)
	if s.findJob(s.self.ID, l.round) != nil {
		return
	}
	l.round = roundNumber(s.now, l.round)
	j := &job{
		asker:    s.self.ID,
		runner:   s.self.ID,
		round:    l.round,
		askedAt:  s.now,
		deadline: s.now.Add(s.options.RoundWait),
	}
	j.aggregateFor(s.self.Region).addOwn(s.now, &s.local, s.meter)
	s.askDomain(j, out)
	s.askNeighbours(j, out)
	s.askRegions(j, out)
	s.jobs = append(s.jobs, j)
	s.finishJobs(out)
}

// askRegions asks the other regions: each of their domains in a small fleet,
// otherwise a head of each region.
func (s *State) askRegions(j *job, out *Ready) {
	if len(s.domains.all) <= smallFleet {
		for i := range s.domains.all {
			if d := &s.domains.all[i]; d.Region != s.self.Region {
				s.askHead(j, d, out)
			}
		}
		return
	}
	for _, r := range s.domains.regions() {
		if r != s.self.Region {
			s.askRegion(j, r, out)
		}
	}
}

// askRegion asks the head of one of a region's domains, another domain each
// round.
func (s *State) askRegion(j *job, r fleet.Region, out *Ready) {
	live := uint32(0)
	var reachable []*domain
	for i := range s.domains.all {
		d := &s.domains.all[i]
		if d.Region != r {
			continue
		}
		live += d.expectedVMs(s.now, s.options.LostAfter)
		if _, ok := d.headForRound(j.round); ok {
			reachable = append(reachable, d)
		}
	}
	if len(reachable) == 0 {
		j.aggregateFor(r).live += live
		return
	}
	to, _ := reachable[j.round%uint64(len(reachable))].headForRound(j.round)
	s.sendAsk(j, to, live, r, &Ask{Scope: ScopeRegion}, out)
}

// finishRound stores the figures of a round that has ended.
func (s *State) finishRound(j *job, out *Ready) {
	if !s.leadsRounds() {
		return
	}
	if s.lead.counts == nil {
		s.lead.counts = make(map[Key]shift.Count)
	}
	if s.lead.loads == nil {
		s.lead.loads = make(map[regionService]shift.Load)
	}
	s.storeCounts(j)
	for _, r := range s.domains.regions() {
		s.storeLoads(r, j.aggregateFor(r))
	}
	out.Evidence = true
}

// preferCompleteFor is how long a complete figure is preferred to a later
// incomplete one. It is below the age limit of plans, so the figure is still
// fresh, and a single lost answer doesn't delay a step.
const preferCompleteFor = shift.DefaultMaxAge - 500*time.Millisecond

// prefersStored reports whether a stored figure is preferred to a later one.
func prefersStored(now clock.Time, stored shift.Span, storedMissing, missing int) bool {
	return storedMissing == 0 && missing > 0 && stored.Since < stored.Until && now.Sub(stored.Until) <= preferCompleteFor
}
