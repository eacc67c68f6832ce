package member

import (
	"slices"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Duties describes the tasks of this VM within its domain.
type Duties struct {
	Representative bool
	Author         bool
	// Group lists the VMs, this one included, whose load reports this
	// representative aggregates.
	Group []fleet.VMID
	// Peers lists the other representatives of the domain.
	Peers []fleet.VMID
}

// Duties returns the current duties.
func (s *State) Duties() Duties {
	reps := s.reps()
	d := Duties{
		Representative: slices.Contains(reps, s.self.vm.ID),
		Author:         s.isAuthor(),
	}
	if !d.Representative {
		return d
	}
	d.Peers = slices.DeleteFunc(slices.Clone(reps), func(id fleet.VMID) bool { return id == s.self.vm.ID })
	for _, r := range s.members {
		if !r.dead() && s.collector(reps, r) == s.self.vm.ID {
			d.Group = append(d.Group, r.vm.ID)
		}
	}
	return d
}

// collector returns the representative that collects the load reports of r.
// Members are assigned round-robin in ring order, so that each representative
// has the same number; with assignment by hash some had three times as many as
// others.
func (s *State) collector(reps []fleet.VMID, r *record) fleet.VMID {
	if slices.Contains(reps, r.vm.ID) {
		return r.vm.ID
	}
	position := 0
	for _, o := range s.members {
		if o == r {
			break
		}
		if !o.dead() {
			position++
		}
	}
	return reps[position%len(reps)]
}

// reportLoad sends the messages that load reports are piggybacked on: to the
// collector, or from one representative to the others.
func (s *State) reportLoad(out *Ready) {
	reps := s.reps()
	if !slices.Contains(reps, s.self.vm.ID) {
		s.reportTo(reps, out)
		return
	}
	for _, id := range reps {
		if id != s.self.vm.ID && s.initiatesExchange(id) {
			s.send(s.byID[id].vm, &Partial{ReachResults: s.latestReachResults(false)}, ScopePeer, out)
		}
	}
}

// initiatesExchange reports whether this VM starts the exchange with another
// representative. Each pair has one initiator, chosen by the VMs' ranks so that
// the work is spread evenly.
func (s *State) initiatesExchange(other fleet.VMID) bool {
	own := s.self.vm.ID
	lower := own < other
	if (rank(own)^rank(other))&1 == 1 {
		return !lower
	}
	return lower
}

// reportTo sends the report to the collector. After each unanswered report it
// moves on to the next representative.
func (s *State) reportTo(reps []fleet.VMID, out *Ready) {
	if len(reps) == 0 {
		return
	}
	at := slices.Index(reps, s.collector(reps, s.self))
	id := reps[(at+s.unansweredReports)%len(reps)]
	s.unansweredReports++
	s.send(s.byID[id].vm, &Report{}, ScopeCollector, out)
}

func (s *State) handleReport(m *Message, out *Ready) {
	to := s.replyAddress(m.From)
	s.send(to, &ReportAck{ReachResults: s.latestReachResults(false)}, ScopeMember, out)
}

func (s *State) handlePartial(m *Message, b *Partial, out *Ready) {
	s.applyReachResults(b.ReachResults)
	to, ok := s.address(m.From)
	if !ok {
		return
	}
	s.send(to, &PartialAck{ReachResults: s.latestReachResults(false)}, ScopePeer, out)
}

// dutiesChanged reports whether the duties differ from those at the last call.
func (s *State) dutiesChanged() bool {
	if !s.dutiesStale {
		return false
	}
	s.dutiesStale = false
	d := s.Duties()
	h := uint64(fnvOffset)
	if d.Representative {
		h = mix(h + 1)
	}
	if d.Author {
		h = mix(h + 2)
	}
	for _, id := range slices.Concat(d.Group, d.Peers) {
		h = mix(hashString(h, string(id)))
	}
	changed := h != s.dutiesHash
	s.dutiesHash = h
	return changed
}
