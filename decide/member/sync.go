package member

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// mismatch notes since when a neighbour's hashes differ.
type mismatch struct {
	id    fleet.VMID
	since clock.Time
}

// compareHashes asks a neighbour for its tables if they have differed for
// longer than news need to arrive. Zero hashes come from VMs of other
// domains, whose tables are not comparable.
func (s *State) compareHashes(m *Message, members, rows uint32, out *Ready) {
	if members == 0 && rows == 0 {
		return
	}
	at := slices.IndexFunc(s.mismatch, func(x mismatch) bool { return x.id == m.From })
	if members == s.memberHash() && rows == s.rowHash() {
		if at >= 0 {
			s.mismatch = slices.Delete(s.mismatch, at, at+1)
		}
		return
	}
	unknown := s.byID[m.From] == nil
	if at < 0 && !unknown {
		s.mismatch = append(s.mismatch, mismatch{id: m.From, since: s.now})
		return
	}
	if !unknown && s.now.Sub(s.mismatch[at].since) < mismatchFor {
		return
	}
	s.askSync(m.From, out)
}

// askSync sends a Sync, at most one each syncEvery.
func (s *State) askSync(id fleet.VMID, out *Ready) {
	if s.lastSync != 0 && s.now.Sub(s.lastSync) < syncEvery {
		return
	}
	s.lastSync = s.now
	to, ok := s.address(id)
	if !ok {
		to = fleet.VM{ID: id}
	}
	s.send(to, s.newSync(), ScopeNone, out)
}

// newSync lists what this VM knows; of itself with its addresses, since the
// receiver may see it for the first time.
func (s *State) newSync() *Sync {
	m := &Sync{}
	for _, r := range s.members {
		m.Marks = append(m.Marks, s.fact(r, r == s.self))
	}
	for _, r := range s.rows {
		m.Versions = append(m.Versions, Version{Domain: r.row.Domain, Version: r.row.Version})
	}
	return m
}

// joinThrough asks some listed neighbours for their tables. The list lags,
// so several are asked at once.
func (s *State) joinThrough(out *Ready) {
	asked := 0
	for asked < s.o.Relays && len(s.order) > 0 {
		id := s.order[0]
		s.order = s.order[1:]
		vm, ok := s.address(id)
		if !ok || vm.Domain != s.self.vm.Domain {
			continue
		}
		s.send(vm, s.newSync(), ScopeNone, out)
		asked++
	}
	if asked == 0 {
		s.shuffle()
	}
}

func (s *State) sync(m *Message, b *Sync, out *Ready) {
	lacking := false
	for i := range b.Marks {
		s.applyFact(&b.Marks[i])
		lacking = lacking || (b.Marks[i].Status != Dead && b.Marks[i].ID != s.self.vm.ID && s.byID[b.Marks[i].ID] == nil)
	}
	a := &SyncAck{Reaches: s.carriedReaches(false)}
	for _, r := range s.members {
		if s.newer(r, b.Marks) {
			a.Facts = append(a.Facts, s.fact(r, true))
		}
	}
	for _, r := range s.rows {
		if r.row.Version > versionIn(b.Versions, r.row.Domain) {
			a.Rows = append(a.Rows, r.row)
		}
	}
	to, ok := s.address(m.From)
	if !ok {
		to = fleet.VM{ID: m.From}
	}
	s.send(to, a, ScopeNone, out)
	if lacking {
		s.askSync(m.From, out)
	}
}

// newer reports whether r says more than the marks of the asker.
func (s *State) newer(r *record, marks []Fact) bool {
	at := slices.IndexFunc(marks, func(f Fact) bool { return f.ID == r.vm.ID })
	if at < 0 {
		return !r.dead()
	}
	f := s.fact(r, false)
	if c := compareAge(&marks[at], r); c != 0 {
		return c < 0
	}
	return f.Status > marks[at].Status
}

func (s *State) syncAck(m *Message, b *SyncAck) {
	for i := range b.Facts {
		s.applyFact(&b.Facts[i])
	}
	for _, row := range b.Rows {
		s.applyRow(row)
	}
	s.applyReaches(b.Reaches)
	s.joinDone()
}
