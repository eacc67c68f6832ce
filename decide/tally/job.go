package tally

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// job is an Ask that is being answered, or a round that this process runs.
type job struct {
	asker      fleet.VMID // receiver of the answer; the own id for an own round
	runner     fleet.VMID
	round      uint64
	askedAt    clock.Time
	deadline   clock.Time
	pending    []pendingAsk
	aggregates []regionAggregate // by region; only an own round has several
}

// regionAggregate is the aggregate of one region.
type regionAggregate struct {
	region fleet.Region
	*aggregate
}

// pendingAsk is an Ask of this job that has not been answered.
type pendingAsk struct {
	to     fleet.VMID
	live   uint32 // entry VMs that it covers, by the local view
	region fleet.Region
}

func (j *job) aggregateFor(r fleet.Region) *aggregate {
	for i := range j.aggregates {
		if j.aggregates[i].region == r {
			return j.aggregates[i].aggregate
		}
	}
	j.aggregates = append(j.aggregates, regionAggregate{region: r, aggregate: newAggregate()})
	return j.aggregates[len(j.aggregates)-1].aggregate
}

// handleAsk begins to answer an Ask. Repeated Asks and those beyond maxJobs are
// dropped, and the asker counts the entry VMs they cover as missing. An Ask for
// a round of this entry VM itself is dropped too: a stale view can cause one,
// and its partial sum would be stored as a complete round.
func (s *State) handleAsk(from fleet.VMID, a *Ask, out *Ready) {
	own := from == s.self.ID || a.Runner == s.self.ID
	if own || len(s.jobs) >= maxJobs || s.findJob(a.Runner, a.Round) != nil {
		return
	}
	j := &job{asker: from, runner: a.Runner, round: a.Round, askedAt: s.now}
	switch a.Scope {
	case ScopeVM:
		j.deadline = s.now
	case ScopeGroup:
		j.deadline = s.now.Add(s.options.GroupWait)
		s.askMembers(j, a.Members, out)
	case ScopeDomain:
		j.deadline = s.now.Add(s.options.DomainWait)
		s.askDomain(j, out)
	case ScopeRegion:
		j.deadline = s.now.Add(s.options.RegionWait)
		s.askDomain(j, out)
		s.askNeighbours(j, out)
	}
	j.aggregateFor(s.self.Region).addOwn(s.now, &s.local, s.meter)
	s.jobs = append(s.jobs, j)
}

func (s *State) findJob(runner fleet.VMID, round uint64) *job {
	for _, j := range s.jobs {
		if j.runner == runner && j.round == round {
			return j
		}
	}
	return nil
}

func (s *State) sendAsk(j *job, to fleet.VMID, live uint32, region fleet.Region, a *Ask, out *Ready) {
	a.Runner, a.Round = j.runner, j.round
	j.pending = append(j.pending, pendingAsk{to: to, live: live, region: region})
	out.Sends = append(out.Sends, Send{To: to, Msg: a})
}

func (s *State) askMembers(j *job, ids []fleet.VMID, out *Ready) {
	for _, id := range ids {
		if id != s.self.ID {
			s.sendAsk(j, id, 1, s.self.Region, &Ask{Scope: ScopeVM}, out)
		}
	}
}

// askDomain asks the other entry VMs of the own domain, in groups if there are
// more than groupSize. The first VM of a group leads it; each round forms other
// groups.
func (s *State) askDomain(j *job, out *Ready) {
	others := rotated(s.domains.ownVMs, j.round)
	others = slices.DeleteFunc(others, func(id fleet.VMID) bool { return id == s.self.ID })
	if len(others) <= groupSize {
		s.askMembers(j, others, out)
		return
	}
	for group := range slices.Chunk(others, groupSize) {
		a := &Ask{Scope: ScopeGroup, Members: group[1:]}
		s.sendAsk(j, group[0], uint32(len(group)), s.self.Region, a, out)
	}
}

func rotated(ids []fleet.VMID, by uint64) []fleet.VMID {
	if len(ids) == 0 {
		return nil
	}
	at := int(by % uint64(len(ids)))
	return slices.Concat(ids[at:], ids[:at])
}

// askNeighbours asks the heads of the other domains of the own region.
func (s *State) askNeighbours(j *job, out *Ready) {
	for i := range s.domains.all {
		d := &s.domains.all[i]
		if d.Region == s.self.Region && d.Domain != s.self.Domain {
			s.askHead(j, d, out)
		}
	}
}

// askHead asks the head of a domain. If the domain has no head, its entry VMs
// count as missing.
func (s *State) askHead(j *job, d *domain, out *Ready) {
	live := d.expectedVMs(s.now, s.options.LostAfter)
	to, ok := d.headForRound(j.round)
	if !ok {
		j.aggregateFor(d.Region).live += live
		return
	}
	s.sendAsk(j, to, live, d.Region, &Ask{Scope: ScopeDomain}, out)
}

// handleSum adds the answer to an Ask of this entry VM to its job.
func (s *State) handleSum(from fleet.VMID, m *Sum, out *Ready) {
	j := s.findJob(m.Runner, m.Round)
	if j == nil {
		return
	}
	at := slices.IndexFunc(j.pending, func(p pendingAsk) bool { return p.to == from })
	if at < 0 {
		return
	}
	p := j.pending[at]
	j.pending = slices.Delete(j.pending, at, at+1)
	t := j.aggregateFor(p.region)
	t.live += max(p.live, m.Live)
	t.addSum(j.askedAt, m)
}

// finishJobs ends the jobs that have all their answers or have reached their
// deadline.
func (s *State) finishJobs(out *Ready) {
	s.jobs = slices.DeleteFunc(s.jobs, func(j *job) bool {
		if len(j.pending) > 0 && s.now.Before(j.deadline) {
			return false
		}
		for _, p := range j.pending {
			j.aggregateFor(p.region).live += p.live
		}
		s.finishJob(j, out)
		return true
	})
}

func (s *State) finishJob(j *job, out *Ready) {
	if j.runner == s.self.ID {
		s.finishRound(j, out)
		return
	}
	m := j.aggregateFor(s.self.Region).toSum(j.askedAt, &s.local)
	m.Runner, m.Round = j.runner, j.round
	out.Sends = append(out.Sends, Send{To: j.asker, Msg: m})
}

// roundNumber returns the number of the round after last. The first one is
// taken from the clock, so that numbers rise across a restart of the process
// under the same id. Later ones rise by 1, so that the heads, which are chosen
// by round number, take turns.
func roundNumber(now clock.Time, last uint64) uint64 {
	if last == 0 {
		return uint64(now / clock.Time(time.Millisecond))
	}
	return last + 1
}
