package member

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// mismatch records since when the hashes of another VM have differed.
type mismatch struct {
	id    fleet.VMID
	since clock.Time
}

// compareHashes requests the tables of another member if they have differed for
// longer than an update takes to arrive. VMs of other domains, whose tables are
// not comparable, send zero hashes.
func (s *State) compareHashes(m *Message, members, rows uint32, out *Ready) {
	if members == 0 && rows == 0 {
		return
	}
	if s.byID[m.From] == nil {
		s.requestSync(m.From, out)
		return
	}
	s.compareTables(m.From, members == s.memberHash() && rows == s.rowHash(), out)
}

// compareTables requests the tables of a VM once its hashes have differed from
// the own ones for mismatchTolerance.
func (s *State) compareTables(id fleet.VMID, same bool, out *Ready) {
	at := slices.IndexFunc(s.mismatches, func(x mismatch) bool { return x.id == id })
	if same {
		if at >= 0 {
			s.mismatches = slices.Delete(s.mismatches, at, at+1)
		}
		return
	}
	if at < 0 {
		s.recordMismatch(id)
		return
	}
	if s.now.Sub(s.mismatches[at].since) >= mismatchTolerance {
		s.requestSync(id, out)
	}
}

// recordMismatch records the start of a difference. At maxMismatches it
// replaces the oldest record.
func (s *State) recordMismatch(id fleet.VMID) {
	if len(s.mismatches) >= maxMismatches {
		s.mismatches = slices.Delete(s.mismatches, 0, 1)
	}
	s.mismatches = append(s.mismatches, mismatch{id: id, since: s.now})
}

// requestSync sends a Sync for all tables, at most one per minSyncInterval.
func (s *State) requestSync(id fleet.VMID, out *Ready) {
	if s.lastSync != 0 && s.now.Sub(s.lastSync) < minSyncInterval {
		return
	}
	s.lastSync = s.now
	to, ok := s.address(id)
	if !ok {
		to = fleet.VM{ID: id}
	}
	s.send(to, s.newSync(!ok || s.inOwnDomain(to)), ScopeNone, out)
}

// requestRows sends a Sync for the rows of one region, at most one per
// minSyncInterval.
func (s *State) requestRows(id fleet.VMID, region fleet.Region, out *Ready) {
	if s.lastSync != 0 && s.now.Sub(s.lastSync) < minSyncInterval {
		return
	}
	to := s.replyAddress(id)
	s.lastSync = s.now
	m := &Sync{Domain: s.self.vm.Domain, Region: region}
	for _, r := range s.rows {
		if r.row.Region == region {
			m.Versions = append(m.Versions, r.row.version())
		}
	}
	s.send(to, m, ScopeNone, out)
}

// newSync returns a Sync with the digest and the row versions of this VM. Its
// own fact carries the addresses, since the receiver may not know them yet.
func (s *State) newSync(sameDomain bool) *Sync {
	m := &Sync{Domain: s.self.vm.Domain}
	for _, r := range s.members {
		if sameDomain {
			m.Digest = append(m.Digest, s.factAbout(r, r == s.self))
		}
	}
	for _, r := range s.rows {
		m.Versions = append(m.Versions, r.row.version())
	}
	return m
}

// syncWithContacts requests the tables of some listed VMs of the domain. The
// list lags, so several are asked at once.
func (s *State) syncWithContacts(out *Ready) {
	asked := 0
	for asked < s.opts.Relays && len(s.probeOrder) > 0 {
		id := s.probeOrder[0]
		s.probeOrder = s.probeOrder[1:]
		vm, ok := s.address(id)
		if !ok || vm.Domain != s.self.vm.Domain {
			continue
		}
		s.send(vm, s.newSync(true), ScopeNone, out)
		asked++
	}
	if asked == 0 {
		s.refillProbeOrder()
	}
}

func (s *State) handleSync(m *Message, b *Sync, out *Ready) {
	sameDomain := b.Domain == s.self.vm.Domain
	lacking := false
	if sameDomain {
		s.applyFacts(b.Digest)
		lacking = slices.ContainsFunc(b.Digest, s.isUnknown)
	}
	a := &SyncAck{Domain: s.self.vm.Domain, ReachResults: s.latestReachResults(false)}
	for _, r := range s.members {
		if sameDomain && b.Region == "" && s.newerThanDigest(r, b.Digest) {
			a.Facts = append(a.Facts, s.factAbout(r, true))
		}
	}
	for _, r := range s.rows {
		requested := b.Region == "" || b.Region == r.row.Region
		if requested && compareVersions(r.row.version(), findVersion(b.Versions, r.row.Domain)) > 0 {
			a.Rows = append(a.Rows, r.row)
		}
	}
	to := s.replyAddress(m.From)
	s.send(to, a, ScopeNone, out)
	s.requestMissing(m.From, b, lacking, out)
}

// requestMissing makes anti-entropy work in both directions: it requests what
// the sender of a Sync has and this VM lacks. Without it, the only VM of a
// domain that restarts just after the other domain of its region was lost
// doesn't know that domain, and so never reports to the other regions, which
// do know it, that it is unreachable.
func (s *State) requestMissing(id fleet.VMID, b *Sync, lacking bool, out *Ready) {
	for _, v := range b.Versions {
		at, ok := s.findRow(v.Domain)
		lacking = lacking || !ok || compareVersions(v, s.rows[at].row.version()) > 0
	}
	switch {
	case !lacking:
	case b.Region == "":
		s.requestSync(id, out)
	default:
		s.requestRows(id, b.Region, out)
	}
}

// isUnknown reports whether a fact is about a live VM that has no record here.
func (s *State) isUnknown(f Fact) bool {
	return f.Status != Dead && s.byID[f.ID] == nil
}

// newerThanDigest reports whether r is newer than its fact in a digest, or
// missing from the digest and not dead.
func (s *State) newerThanDigest(r *record, digest []Fact) bool {
	at := slices.IndexFunc(digest, func(f Fact) bool { return f.ID == r.vm.ID })
	if at < 0 {
		return !r.dead()
	}
	f := s.factAbout(r, false)
	if c := compareFact(&digest[at], r); c != 0 {
		return c < 0
	}
	return f.Status > digest[at].Status
}

func findVersion(vs []Version, d fleet.Domain) Version {
	for _, v := range vs {
		if v.Domain == d {
			return v
		}
	}
	return Version{}
}

// handleSyncAck merges the delta in the answer to a Sync. Rows sent by
// another domain are forwarded.
func (s *State) handleSyncAck(m *Message, b *SyncAck) {
	sameDomain := b.Domain == s.self.vm.Domain
	if sameDomain {
		s.applyFacts(b.Facts)
	}
	for _, row := range b.Rows {
		if s.applyRow(row) && !sameDomain && s.joined {
			s.outbox.addRow(s.now.Add(flushDelay), row, s.extentForRegion(row.Region))
		}
	}
	s.applyReachResults(b.ReachResults)
	if sameDomain {
		s.completeJoin()
	}
}

// extentForRegion returns how far rows received by anti-entropy are forwarded:
// rows of another region to the whole own region, others to the own domain.
func (s *State) extentForRegion(region fleet.Region) extent {
	if region == s.self.vm.Region {
		return toDomain
	}
	return toRegion
}
