package tally

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// job is an Ask that is being answered, or a round that is being led.
type job struct {
	asker    fleet.VMID // who gets the answer; the own id for a round led here
	runner   fleet.VMID
	round    uint64
	asked    clock.Time
	deadline clock.Time
	pending  []pending
	totals   []regionTotal // of the regions; only a led round has several
}

// regionTotal is the sum of one region.
type regionTotal struct {
	region fleet.Region
	*total
}

// pending is an Ask of this job that has not been answered.
type pending struct {
	to     fleet.VMID
	live   uint32 // entry VMs that it asks for, as known here
	region fleet.Region
}

func (j *job) total(r fleet.Region) *total {
	for i := range j.totals {
		if j.totals[i].region == r {
			return j.totals[i].total
		}
	}
	j.totals = append(j.totals, regionTotal{region: r, total: newTotal()})
	return j.totals[len(j.totals)-1].total
}

// asked begins to answer an Ask. The same Ask a second time, and one too many,
// are dropped: the asker counts the entry VMs behind them as missing. So is one
// for a round of this entry VM itself, which a stale view can cause; its partial
// sum would be stored as a complete round.
func (s *State) asked(from fleet.VMID, a *Ask, out *Ready) {
	own := from == s.self.ID || a.Runner == s.self.ID
	if own || len(s.jobs) >= maxJobs || s.job(a.Runner, a.Round) != nil {
		return
	}
	j := &job{asker: from, runner: a.Runner, round: a.Round, asked: s.now}
	switch a.Scope {
	case ScopeVM:
		j.deadline = s.now
	case ScopeGroup:
		j.deadline = s.now.Add(s.o.GroupWait)
		s.askMembers(j, a.Members, out)
	case ScopeDomain:
		j.deadline = s.now.Add(s.o.DomainWait)
		s.askDomain(j, out)
	case ScopeRegion:
		j.deadline = s.now.Add(s.o.RegionWait)
		s.askDomain(j, out)
		s.askNeighbours(j, out)
	}
	j.total(s.self.Region).own(s.now, &s.own, s.meter)
	s.jobs = append(s.jobs, j)
}

func (s *State) job(runner fleet.VMID, round uint64) *job {
	for _, j := range s.jobs {
		if j.runner == runner && j.round == round {
			return j
		}
	}
	return nil
}

func (s *State) ask(j *job, to fleet.VMID, live uint32, region fleet.Region, a *Ask, out *Ready) {
	a.Runner, a.Round = j.runner, j.round
	j.pending = append(j.pending, pending{to: to, live: live, region: region})
	out.Sends = append(out.Sends, Send{To: to, Msg: a})
}

func (s *State) askMembers(j *job, ids []fleet.VMID, out *Ready) {
	for _, id := range ids {
		if id != s.self.ID {
			s.ask(j, id, 1, s.self.Region, &Ask{Scope: ScopeVM}, out)
		}
	}
}

// askDomain asks the other entry VMs of the own domain, by groups if there are
// many. The first of each group leads it; groups differ between rounds.
func (s *State) askDomain(j *job, out *Ready) {
	others := rotated(s.fleet.own, j.round)
	others = slices.DeleteFunc(others, func(id fleet.VMID) bool { return id == s.self.ID })
	if len(others) <= groupSize {
		s.askMembers(j, others, out)
		return
	}
	for group := range slices.Chunk(others, groupSize) {
		a := &Ask{Scope: ScopeGroup, Members: group[1:]}
		s.ask(j, group[0], uint32(len(group)), s.self.Region, a, out)
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
	for i := range s.fleet.all {
		d := &s.fleet.all[i]
		if d.Region == s.self.Region && d.Domain != s.self.Domain {
			s.askHead(j, d, out)
		}
	}
}

// askHead asks the head of a domain. The entry VMs of a domain that has none
// to ask are missing.
func (s *State) askHead(j *job, d *domain, out *Ready) {
	live := d.expected(s.now, s.o.LostAfter)
	to, ok := d.head(j.round)
	if !ok {
		j.total(d.Region).live += live
		return
	}
	s.ask(j, to, live, d.Region, &Ask{Scope: ScopeDomain}, out)
}

// answered takes the answer to an Ask of this entry VM.
func (s *State) answered(from fleet.VMID, m *Sum, out *Ready) {
	j := s.job(m.Runner, m.Round)
	if j == nil {
		return
	}
	at := slices.IndexFunc(j.pending, func(p pending) bool { return p.to == from })
	if at < 0 {
		return
	}
	p := j.pending[at]
	j.pending = slices.Delete(j.pending, at, at+1)
	t := j.total(p.region)
	t.live += max(p.live, m.Live)
	t.sum(j.asked, m)
}

// finishJobs answers the Asks that have all they wait for, or have waited long
// enough.
func (s *State) finishJobs(out *Ready) {
	s.jobs = slices.DeleteFunc(s.jobs, func(j *job) bool {
		if len(j.pending) > 0 && s.now.Before(j.deadline) {
			return false
		}
		for _, p := range j.pending {
			j.total(p.region).live += p.live
		}
		s.finish(j, out)
		return true
	})
}

func (s *State) finish(j *job, out *Ready) {
	if j.runner == s.self.ID {
		s.finishRound(j, out)
		return
	}
	m := j.total(s.self.Region).message(j.asked, &s.own)
	m.Runner, m.Round = j.runner, j.round
	out.Sends = append(out.Sends, Send{To: j.asker, Msg: m})
}

// roundNumber returns the number of the round after last. It starts from the
// clock, so that it rises across a restart of the process under the same id.
// From then on it rises by 1, so that heads, chosen by it, take turns.
func roundNumber(now clock.Time, last uint64) uint64 {
	if last == 0 {
		return uint64(now / clock.Time(time.Millisecond))
	}
	return last + 1
}
