package config

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// change lists the entries that differ between two revisions that were in force
// one after the other.
type change struct {
	from, to uint64
	services []fleet.ServiceName
	shifts   []string
}

// history holds the most recent changes, oldest first. Each starts at the
// revision where the previous one ends.
type history struct {
	changes []change
}

// record adds the change from old to new.
func (h *history) record(old, new *content) {
	c := change{from: old.cat.Revision, to: new.cat.Revision}
	changed, removed := diff(old.cat.Services, new.cat.Services, serviceName)
	c.services = append(changed, removed...)
	changedShifts, removedShifts := diff(old.cat.Shifts, new.cat.Shifts, shiftID)
	c.shifts = append(changedShifts, removedShifts...)
	h.changes = append(h.changes, c)
	if n := len(h.changes) - MaxHistory; n > 0 {
		h.changes = slices.Delete(h.changes, 0, n)
	}
}

// clear removes all changes. It is called when content is replaced by other
// content of the same revision.
func (h *history) clear() { h.changes = nil }

// deltaSince returns the Delta from revision have to now, or false if the
// history does not reach back to have or the Delta would exceed limit entries.
// have may lie between the two revisions of a recorded change, because a Delta
// holds whole entries.
func (h *history) deltaSince(have uint64, now *content, limit int) (*Delta, bool) {
	first := slices.IndexFunc(h.changes, func(c change) bool { return c.to > have })
	if first < 0 || h.changes[first].from > have {
		return nil, false
	}
	var services []fleet.ServiceName
	var shifts []string
	for _, c := range h.changes[first:] {
		services = append(services, c.services...)
		shifts = append(shifts, c.shifts...)
	}
	services = sortedSet(services)
	shifts = sortedSet(shifts)
	if len(services)+len(shifts) > limit {
		return nil, false
	}
	d := &Delta{Format: Format, From: have, To: now.cat.Revision, Hash: now.hash()}
	d.Services, d.RemovedServices = selectEntries(now.cat.Services, services, serviceName)
	d.Shifts, d.RemovedShifts = selectEntries(now.cat.Shifts, shifts, shiftID)
	return d, true
}

func sortedSet[K cmp.Ordered](ks []K) []K {
	slices.Sort(ks)
	return slices.Compact(ks)
}

// selectEntries returns the entries with the given keys, and the keys that have
// no entry.
func selectEntries[E any, K cmp.Ordered](entries []E, keys []K, key func(E) K) (found []E, missing []K) {
	for _, k := range keys {
		i, ok := slices.BinarySearchFunc(entries, k, func(e E, k K) int { return cmp.Compare(key(e), k) })
		if ok {
			found = append(found, entries[i])
			continue
		}
		missing = append(missing, k)
	}
	return found, missing
}

// splitSnapshot splits c into parts of at most MaxPartEntries entries.
func splitSnapshot(c *content, age Age) []*Snapshot {
	services, shifts := c.cat.Services, c.cat.Shifts
	total := len(services) + len(shifts)
	n := max(1, (total+MaxPartEntries-1)/MaxPartEntries)
	out := make([]*Snapshot, 0, n)
	for p := range n {
		s := &Snapshot{Format: Format, Revision: c.cat.Revision, Hash: c.hash(), Age: age, Part: p, Parts: n}
		s.Services, services = splitAt(services, MaxPartEntries)
		s.Shifts, shifts = splitAt(shifts, MaxPartEntries-len(s.Services))
		out = append(out, s)
	}
	return out
}

func splitAt[E any](es []E, n int) (head, rest []E) {
	n = min(n, len(es))
	return es[:n], es[n:]
}

// snapshotAssembly collects the parts of one snapshot.
type snapshotAssembly struct {
	version Version
	parts   []*Snapshot
	missing int
}

// add adds one part, and returns the content once all parts are present. A part
// of a different snapshot discards the parts collected so far.
func (a *snapshotAssembly) add(s *Snapshot) (*content, error) {
	v := Version{Revision: s.Revision, Hash: s.Hash}
	if a.version != v || len(a.parts) != s.Parts {
		*a = snapshotAssembly{version: v, parts: make([]*Snapshot, s.Parts), missing: s.Parts}
	}
	if a.parts[s.Part] == nil {
		a.parts[s.Part] = s
		a.missing--
	}
	if a.missing > 0 {
		return nil, nil
	}
	return a.finish()
}

func (a *snapshotAssembly) finish() (*content, error) {
	c := &catalogue.Catalogue{Revision: a.version.Revision}
	for _, s := range a.parts {
		c.Services = append(c.Services, s.Services...)
		c.Shifts = append(c.Shifts, s.Shifts...)
	}
	want := a.version.Hash
	*a = snapshotAssembly{}
	n, err := newContent(c)
	if err != nil {
		return nil, err
	}
	if n.hash() != want {
		return nil, errHash
	}
	return n, nil
}
