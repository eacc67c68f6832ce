package member

import (
	"slices"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Duties says what this VM does for its domain.
type Duties struct {
	Representative bool
	Author         bool
	// Group lists the VMs, this one included, whose load figures a
	// representative adds up.
	Group []fleet.VMID
}

// Duties returns the present duties.
func (s *State) Duties() Duties {
	reps := s.reps()
	d := Duties{
		Representative: slices.Contains(reps, s.self.vm.ID),
		Author:         s.isAuthor(),
	}
	if !d.Representative {
		return d
	}
	for _, r := range s.members {
		if !r.dead() && collector(reps, r.vm.ID) == s.self.vm.ID {
			d.Group = append(d.Group, r.vm.ID)
		}
	}
	return d
}

// collector returns the representative that collects the figures of id. A
// representative collects its own.
func collector(reps []fleet.VMID, id fleet.VMID) fleet.VMID {
	if slices.Contains(reps, id) {
		return id
	}
	at := highest(reps, "load:"+string(id))
	if at < 0 {
		return ""
	}
	return reps[at]
}

// reportLoad sends the messages that load reports ride on: to the collector,
// or between representatives.
func (s *State) reportLoad(out *Ready) {
	reps := s.reps()
	if !slices.Contains(reps, s.self.vm.ID) {
		s.reportTo(reps, out)
		return
	}
	for _, id := range reps {
		if id != s.self.vm.ID && s.begins(id) {
			s.send(s.byID[id].vm, &Partial{Reaches: s.carriedReaches(false)}, ScopePeer, out)
		}
	}
}

// begins decides which of two representatives opens their exchange, evenly
// over the pairs.
func (s *State) begins(other fleet.VMID) bool {
	own := s.self.vm.ID
	lower := own < other
	if (rank(own)^rank(other))&1 == 1 {
		return !lower
	}
	return lower
}

func (s *State) reportTo(reps []fleet.VMID, out *Ready) {
	if len(reps) == 0 {
		return
	}
	at := slices.Index(reps, collector(reps, s.self.vm.ID))
	id := reps[(at+s.reportTry)%len(reps)]
	s.reportTry++
	s.send(s.byID[id].vm, &Report{}, ScopeOwn, out)
}

func (s *State) answerReport(m *Message, out *Ready) {
	to, ok := s.address(m.From)
	if !ok {
		to = fleet.VM{ID: m.From}
	}
	s.send(to, &ReportAck{Reaches: s.carriedReaches(false)}, ScopeMember, out)
}

func (s *State) partial(m *Message, b *Partial, out *Ready) {
	s.applyReaches(b.Reaches)
	to, ok := s.address(m.From)
	if b.Answer || !ok {
		return
	}
	s.send(to, &Partial{Answer: true, Reaches: s.carriedReaches(false)}, ScopePeer, out)
}

// groupChanged reports whether Duties differs from the last call.
func (s *State) groupChanged() bool {
	d := s.Duties()
	h := uint64(fnvOffset)
	if d.Representative {
		h = mix(h + 1)
	}
	if d.Author {
		h = mix(h + 2)
	}
	for _, id := range d.Group {
		h = hashString(h, string(id))
	}
	changed := h != s.groupHash
	s.groupHash = h
	return changed
}
