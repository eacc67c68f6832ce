package member

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// extent determines how far this VM forwards an update.
type extent uint8

const (
	toDomain extent = iota // to the members of the own domain
	toRegion               // also to the representatives of the region's other domains
	toAll                  // also to representatives in the other regions
)

type outboxRow struct {
	row Row
	to  extent
}

type outboxReachResult struct {
	result     ReachResult
	measuredAt clock.Time // on the local clock
	to         extent
}

// outbox collects updates that are sent together.
type outbox struct {
	sendAt       clock.Time // zero if nothing is scheduled
	facts        []Fact
	rows         []outboxRow
	reachResults []outboxReachResult
}

// due returns the instant of the next send.
func (n *outbox) due() clock.Time {
	if n.sendAt == 0 {
		return clock.Never
	}
	return n.sendAt
}

// scheduleAt schedules a send unless one is scheduled.
func (n *outbox) scheduleAt(at clock.Time) {
	if n.sendAt == 0 {
		n.sendAt = at
	}
}

func (n *outbox) clear() {
	*n = outbox{facts: n.facts[:0], rows: n.rows[:0], reachResults: n.reachResults[:0]}
}

func (n *outbox) addRow(at clock.Time, row Row, to extent) {
	n.rows = slices.DeleteFunc(n.rows, func(r outboxRow) bool { return r.row.Domain == row.Domain })
	n.rows = append(n.rows, outboxRow{row: row, to: to})
	n.scheduleAt(at)
}

func (n *outbox) addReachResult(at clock.Time, r outboxReachResult) {
	n.reachResults = slices.DeleteFunc(n.reachResults, func(o outboxReachResult) bool { return sameKey(&o.result, &r.result) })
	n.reachResults = append(n.reachResults, r)
	n.scheduleAt(at)
}

// removeForwarded removes the updates that another representative has
// forwarded.
func (n *outbox) removeForwarded(m *Spread) {
	n.rows = slices.DeleteFunc(n.rows, func(r outboxRow) bool {
		return slices.ContainsFunc(m.Rows, func(o Row) bool {
			return o.Domain == r.row.Domain && compareVersions(o.version(), r.row.version()) >= 0
		})
	})
	n.reachResults = slices.DeleteFunc(n.reachResults, func(r outboxReachResult) bool {
		return slices.ContainsFunc(m.ReachResults, func(o ReachResult) bool { return sameKey(&o, &r.result) })
	})
	if len(n.rows) == 0 && len(n.reachResults) == 0 && len(n.facts) == 0 {
		n.clear()
	}
}

// broadcast queues a fact for every member of the own domain.
func (s *State) broadcast(f Fact) {
	s.outbox.facts = slices.DeleteFunc(s.outbox.facts, func(o Fact) bool { return o.ID == f.ID })
	s.outbox.facts = append(s.outbox.facts, f)
	s.outbox.scheduleAt(s.now.Add(flushDelay))
}

// flush sends the content of the outboxes that are due.
func (s *State) flush(out *Ready) {
	for _, n := range []*outbox{&s.outbox, &s.backupOutbox} {
		if n.due() <= s.now {
			s.sendOutbox(n, out)
			n.clear()
		}
	}
}

func (s *State) sendOutbox(n *outbox, out *Ready) {
	if m := s.buildSpread(n, toDomain, HopMember); m != nil {
		m.Facts = slices.Clone(n.facts)
		for _, r := range s.members {
			if r != s.self && !r.dead() {
				s.send(r.vm, m, ScopeNone, out)
			}
		}
	}
	if m := s.buildSpread(n, toRegion, HopDomain); m != nil {
		for _, d := range s.otherDomainReps() {
			s.pushTo(d, m, out)
		}
	}
	if m := s.buildSpread(n, toAll, HopRegion); m != nil {
		for _, reps := range s.otherRegionReps() {
			s.pushTo(reps, m, out)
		}
	}
}

// buildSpread returns a message with the updates that are forwarded at least as
// far as to, or nil if there are none. Facts stay inside the domain.
func (s *State) buildSpread(n *outbox, to extent, hop Hop) *Spread {
	m := &Spread{Hop: hop}
	for _, r := range n.rows {
		if r.to >= to {
			m.Rows = append(m.Rows, r.row)
		}
	}
	for _, r := range n.reachResults {
		if r.to >= to {
			r.result.Age = ageMillis(s.now, r.measuredAt)
			m.ReachResults = append(m.ReachResults, r.result)
		}
	}
	if len(m.Rows)+len(m.ReachResults) == 0 && (to > toDomain || len(n.facts) == 0) {
		return nil
	}
	return m
}

// pushTo sends m to the first pushCopies representatives. All but the first get
// it as backups.
func (s *State) pushTo(reps []fleet.VM, m *Spread, out *Ready) {
	for i, vm := range reps[:min(pushCopies, len(reps))] {
		c := *m
		c.Backup = i > 0
		s.send(vm, &c, ScopeNone, out)
	}
}

// otherDomainReps returns the representatives of each other domain of the
// region.
func (s *State) otherDomainReps() [][]fleet.VM {
	var out [][]fleet.VM
	for _, r := range s.rows {
		if r.row.Region == s.self.vm.Region && r.row.Domain != s.self.vm.Domain {
			out = append(out, r.row.reps())
		}
	}
	return out
}

// otherRegionReps returns the representatives of each other region, in the
// order of regionReps, so that the copies of a push go to different domains.
func (s *State) otherRegionReps() [][]fleet.VM {
	var out [][]fleet.VM
	for _, region := range s.regions() {
		if region != s.self.vm.Region {
			out = append(out, s.regionReps(region))
		}
	}
	return out
}

// regionReps returns the representatives of a region's domains: the first of
// each domain, then the second of each, and so on.
func (s *State) regionReps(region fleet.Region) []fleet.VM {
	var domains [][]fleet.VM
	most := 0
	for _, r := range s.rows {
		if r.row.Region == region {
			reps := r.row.reps()
			domains = append(domains, reps)
			most = max(most, len(reps))
		}
	}
	var out []fleet.VM
	for i := range most {
		for _, reps := range domains {
			if i < len(reps) {
				out = append(out, reps[i])
			}
		}
	}
	return out
}

// regions returns every known region once, in order of name.
func (s *State) regions() []fleet.Region {
	var out []fleet.Region
	for _, r := range s.rows {
		out = append(out, r.row.Region)
	}
	for i := range s.contacts {
		out = append(out, s.contacts[i].vm.Region)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// handleSpread applies updates and forwards them as far as their Hop requires.
func (s *State) handleSpread(m *Message, b *Spread) {
	if b.Hop == HopMember {
		s.applyFactsFrom(m.From, b.Facts)
	}
	s.cancelBackup(b)
	n, at := &s.outbox, s.now.Add(flushDelay)
	if b.Backup {
		n, at = &s.backupOutbox, s.now.Add(backupDelay)
	}
	to, ok := b.Hop.extent()
	for _, row := range b.Rows {
		if s.applyRow(row) && ok {
			n.addRow(at, row, to)
		}
	}
	for _, r := range b.ReachResults {
		if s.applyReachResult(&r) && ok {
			n.addReachResult(at, outboxReachResult{result: r, measuredAt: timeFromAge(s.now, r.Age), to: to})
		}
	}
}

// cancelBackup drops the updates that this VM would forward as a backup, since
// another representative has forwarded them. If this VM must still forward them
// within its domain, they are first moved to the regular outbox.
func (s *State) cancelBackup(b *Spread) {
	if b.Backup || b.Hop == HopRegion {
		return
	}
	if b.Hop == HopDomain {
		s.promoteBackup(b)
	}
	s.backupOutbox.removeForwarded(b)
}

// promoteBackup copies the updates of b from the backup outbox to the regular
// one, to be forwarded within the own domain.
func (s *State) promoteBackup(b *Spread) {
	at := s.now.Add(flushDelay)
	for _, r := range s.backupOutbox.rows {
		if slices.ContainsFunc(b.Rows, func(o Row) bool { return o.version() == r.row.version() }) {
			s.outbox.addRow(at, r.row, toDomain)
		}
	}
	for _, r := range s.backupOutbox.reachResults {
		if slices.ContainsFunc(b.ReachResults, func(o ReachResult) bool { return sameKey(&o, &r.result) }) {
			s.outbox.addReachResult(at, outboxReachResult{result: r.result, measuredAt: r.measuredAt, to: toDomain})
		}
	}
}

// extent returns how far the receiver of this hop forwards; false if it
// doesn't.
func (h Hop) extent() (extent, bool) {
	switch h {
	case HopDomain:
		return toDomain, true
	case HopRegion:
		return toRegion, true
	default:
		return toDomain, false
	}
}
