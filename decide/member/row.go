package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// storedRow is a domain's row with its hash.
type storedRow struct {
	row  Row
	hash uint64
}

// mergedVM is an entry VM of the own domain that is dead in this VM's view but
// listed by another author of the domain: the domain is partitioned. Each
// author publishes the union of both views. Otherwise the two sides would keep
// replacing each other's rows, and other domains would drop the live VMs of one
// side at each replacement.
type mergedVM struct {
	author  fleet.VMID
	vm      RowVM
	expires clock.Time
}

func (s *State) findRow(d fleet.Domain) (int, bool) {
	return slices.BinarySearchFunc(s.rows, d, func(r *storedRow, d fleet.Domain) int {
		return cmp.Compare(r.row.Domain, d)
	})
}

func (s *State) rowVersion(d fleet.Domain) uint64 {
	if at, ok := s.findRow(d); ok {
		return s.rows[at].row.Version
	}
	return 0
}

func (r *Row) version() Version {
	return Version{Domain: r.Domain, Version: r.Version, Author: r.Author}
}

// compareVersions orders two versions of one domain's row.
func compareVersions(a, b Version) int {
	if c := cmp.Compare(a.Version, b.Version); c != 0 {
		return c
	}
	return cmp.Compare(a.Author, b.Author)
}

// putRow stores a row if it is newer than the stored one. It reports whether it
// was stored.
func (s *State) putRow(row Row) bool {
	at, ok := s.findRow(row.Domain)
	if ok && compareVersions(row.version(), s.rows[at].row.version()) <= 0 {
		return false
	}
	if !ok && len(s.rows) >= MaxRows {
		return false
	}
	h := hashString(hashString(fnvOffset, string(row.Domain)), string(row.Author))
	r := &storedRow{row: row, hash: mix(h ^ row.Version*fnvPrime)}
	s.recheckUnreachable(&row)
	if ok {
		s.rows[at] = r
		return true
	}
	s.rows = slices.Insert(s.rows, at, r)
	// A domain that was unknown when the own row was pushed has not received it.
	s.repeatOwnRowDue = s.repeatOwnRowDue || row.Domain != s.self.vm.Domain
	return true
}

// recheckUnreachable makes this VM check an unreachable remote at once when it
// has a new row, since its VMs may have been replaced.
func (s *State) recheckUnreachable(row *Row) {
	for i := range s.watches {
		w := &s.watches[i]
		covers := w.remote.domain == row.Domain || w.remote == remote{region: row.Region}
		if covers && w.lastReported == reportedUnreachable {
			w.urgent = true
			s.reachChanged = true
		}
	}
}

// applyRow merges a row from another VM. It reports whether the row was newer
// than the stored one.
func (s *State) applyRow(row Row) bool {
	if row.Domain != s.self.vm.Domain {
		return s.putRow(row)
	}
	if row.Author == s.self.vm.ID {
		return false
	}
	at, ok := s.findRow(row.Domain)
	mine := ok && s.rows[at].row.Author == s.self.vm.ID
	if !s.putRow(row) {
		return false
	}
	if mine {
		s.mergeOtherAuthor(&row)
	}
	s.ownRowStale = true
	return true
}

// mergeOtherAuthor keeps the VMs of another author's row of the own domain
// that are dead or unknown here. Only VMs that are live in that author's own
// view are kept; otherwise each side would keep renewing a dead VM from the
// other side's row.
func (s *State) mergeOtherAuthor(row *Row) {
	author := s.byID[row.Author]
	if author != nil && !author.dead() {
		return
	}
	s.merged = slices.DeleteFunc(s.merged, func(v mergedVM) bool { return v.author == row.Author })
	for _, v := range row.VMs[:min(int(row.AuthorVMs), len(row.VMs))] {
		r := s.byID[v.ID]
		if r == nil || r.dead() {
			s.merged = append(s.merged, mergedVM{author: row.Author, vm: v, expires: s.now.Add(mergedTTL)})
		}
	}
}

func (s *State) rowHash() uint32 { return s.rowHashForRegion("") }

// rowHashForRegion returns a hash of the rows of a region, or of all rows if
// region is empty.
func (s *State) rowHashForRegion(region fleet.Region) uint32 {
	var h uint64
	for _, r := range s.rows {
		if region == "" || r.row.Region == region {
			h ^= r.hash
		}
	}
	return uint32(h)
}

// reps returns the ids of the representatives of the own domain, the author
// first. If no VM is live, leaving ones continue as representatives, so that
// they still know which other VMs to send callers to.
func (s *State) reps() []fleet.VMID {
	if ids := s.firstReps(fleet.Live); len(ids) > 0 {
		return ids
	}
	return s.firstReps(fleet.Leaving)
}

// firstReps returns the first repCount members in the given state.
func (s *State) firstReps(state fleet.State) []fleet.VMID {
	var ids []fleet.VMID
	for _, r := range s.members {
		if r.vm.State == state {
			ids = append(ids, r.vm.ID)
		}
	}
	return ids[:repCount(len(ids))]
}

// isAuthor reports whether this VM publishes the domain's row, as the first of
// the representatives does.
func (s *State) isAuthor() bool {
	return s.joined && (s.isFirstInState(fleet.Live) || (s.liveMembers() == 0 && s.isFirstInState(fleet.Leaving)))
}

func (s *State) isFirstInState(state fleet.State) bool {
	for _, r := range s.members {
		if r.vm.State == state {
			return r == s.self
		}
	}
	return false
}

// refreshOwnRow publishes the domain's row if this VM is its author and the
// stored row doesn't match the members.
func (s *State) refreshOwnRow() {
	s.expireMerged()
	if !s.isAuthor() {
		return
	}
	s.repeatOwnRow()
	if !s.publishDue() {
		return
	}
	s.ownRowStale = false
	row := s.buildRow()
	at, ok := s.findRow(row.Domain)
	if ok && len(s.merged) == 0 && sameRow(&s.rows[at].row, &row) {
		return
	}
	s.publishedAt = s.now
	row.Version = max(uint64(s.now/clock.Time(time.Millisecond)), s.rowVersion(row.Domain)+1)
	s.putRow(row)
	s.outbox.addRow(s.now.Add(flushDelay), row, toAll)
}

// repeatOwnRow pushes the own row again if a domain has become known since.
func (s *State) repeatOwnRow() {
	at, ok := s.findRow(s.self.vm.Domain)
	if !s.repeatOwnRowDue || !ok {
		return
	}
	s.repeatOwnRowDue = false
	s.outbox.addRow(s.now.Add(flushDelay), s.rows[at].row, toAll)
}

// publishDue reports whether the own row must be rebuilt. In a partitioned
// domain each author publishes every mergedPublishInterval even without a
// change, to renew the other author's merged VMs.
func (s *State) publishDue() bool {
	if len(s.merged) == 0 {
		return s.ownRowStale
	}
	return s.publishedAt.Add(mergedPublishInterval) <= s.now
}

func (s *State) expireMerged() {
	n := len(s.merged)
	s.merged = slices.DeleteFunc(s.merged, func(v mergedVM) bool {
		r := s.byID[v.vm.ID]
		return v.expires <= s.now || (r != nil && !r.dead())
	})
	if len(s.merged) != n {
		s.ownRowStale = true
	}
}

func (s *State) buildRow() Row {
	row := Row{
		Region: s.self.vm.Region,
		Domain: s.self.vm.Domain,
		Author: s.self.vm.ID,
	}
	// The sides of a partition share the MaxRowVMs places, so that their rows
	// list the same VMs.
	own := MaxRowVMs - min(len(s.merged), MaxRowVMs/2)
	for _, r := range s.members {
		switch r.vm.State {
		case fleet.Live:
			row.Live++
			if len(row.VMs) < own {
				row.addVM(rowVM(&r.vm))
			}
			row.AuthorVMs = uint32(len(row.VMs))
		case fleet.Leaving:
			row.Leaving++
		}
	}
	for _, v := range s.merged {
		row.Live++
		row.addVM(v.vm)
	}
	if row.Live == 0 {
		s.listLeaving(&row)
	}
	return row
}

func (s *State) listLeaving(row *Row) {
	for _, id := range s.firstReps(fleet.Leaving) {
		row.addVM(rowVM(&s.byID[id].vm))
	}
}

// offeredVMs returns the VMs that callers can be sent to.
func (r *Row) offeredVMs() []RowVM {
	if r.Live == 0 {
		return nil
	}
	return r.VMs
}

func (r *Row) addVM(v RowVM) {
	if len(r.VMs) < MaxRowVMs {
		r.VMs = append(r.VMs, v)
	}
}

func rowVM(vm *fleet.VM) RowVM {
	return RowVM{
		ID:          vm.ID,
		Incarnation: vm.Incarnation,
		Site:        vm.Site,
		CallAddr:    vm.CallAddr,
		PeerAddr:    vm.PeerAddr,
	}
}

// sameRow compares the content of two rows, ignoring the order of their VMs:
// two authors of a partitioned domain list them in different order.
func sameRow(a, b *Row) bool {
	if a.Live != b.Live || a.Leaving != b.Leaving || len(a.VMs) != len(b.VMs) {
		return false
	}
	for _, v := range a.VMs {
		if !slices.Contains(b.VMs, v) {
			return false
		}
	}
	return true
}

// fleetVM converts a VM of a row.
func (r *Row) fleetVM(v RowVM) fleet.VM {
	return fleet.VM{
		ID:          v.ID,
		Region:      r.Region,
		Domain:      r.Domain,
		Site:        v.Site,
		CallAddr:    v.CallAddr,
		PeerAddr:    v.PeerAddr,
		Incarnation: v.Incarnation,
	}
}

// reps returns the representatives among the row's VMs.
func (r *Row) reps() []fleet.VM {
	members := r.Live
	if members == 0 {
		members = r.Leaving
	}
	n := min(len(r.VMs), repCount(int(members)))
	out := make([]fleet.VM, 0, n)
	for _, v := range r.VMs[:n] {
		out = append(out, r.fleetVM(v))
	}
	return out
}

// findInRows returns a VM that is listed in a row.
func (s *State) findInRows(id fleet.VMID) (fleet.VM, bool) {
	for _, r := range s.rows {
		for _, v := range r.row.VMs {
			if v.ID == id {
				return r.row.fleetVM(v), true
			}
		}
	}
	return fleet.VM{}, false
}

// otherDomainFirstReps returns the first n representatives of each other domain
// of the region.
func (s *State) otherDomainFirstReps(n int) []fleet.VM {
	var out []fleet.VM
	for _, r := range s.rows {
		if r.row.Region != s.self.vm.Region || r.row.Domain == s.self.vm.Domain {
			continue
		}
		reps := r.row.reps()
		out = append(out, reps[:min(n, len(reps))]...)
	}
	return out
}
