// Package mirror keeps a copy of a part of the metadata store that never
// returns to an older revision.
//
// The copy is fed from three sources that may arrive in any order: full reads,
// which may be served from an old replica; watches, whose answers may be
// delivered late; and other entry VMs, which relay what they have while the
// store refuses this one. All of them carry the store's revision, which only
// rises. A source that is older than the copy is refused as a whole, so that a
// configuration or a target that was replaced can't reappear.
package mirror

import (
	"cmp"
	"slices"
	"strings"
)

// Revision counts the changes of the store. 0 is before the first one.
type Revision uint64

// Era counts how often the store has come back from a copy of an earlier state.
type Era uint64

// Item is one key of the store with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision // of the last change of this key
}

// Change is one key that was written or removed.
type Change struct {
	Item
	Removed bool
}

// Mirror is the copy. The zero value is empty and older than every source.
type Mirror struct {
	items map[string]Item
	asOf  Revision
	valid bool

	removals []Change // the latest removals, by revision
	// removalsAfter is the revision after which removals is complete.
	removalsAfter Revision
}

// maxRemovals bounds the removals that are kept for ChangesSince: those of a
// few minutes where targets are replaced all the time.
const maxRemovals = 1024

// AsOf returns the revision up to which the copy is complete.
func (m *Mirror) AsOf() Revision { return m.asOf }

// Valid reports whether a full read was ever applied.
func (m *Mirror) Valid() bool { return m.valid }

// Replace applies a full read that is complete as of the given revision. Keys
// that are missing in it count as removed: the store drops its history at
// times, and removals in the dropped part become visible in no other way. It
// returns the changes in order of their keys, and false if the read is older
// than the copy and was ignored.
func (m *Mirror) Replace(items []Item, asOf Revision) ([]Change, bool) {
	if m.valid && asOf < m.asOf {
		return nil, false
	}
	var changes []Change
	seen := make(map[string]bool, len(items))
	for _, it := range items {
		seen[it.Key] = true
		if m.put(it) {
			changes = append(changes, Change{Item: it})
		}
	}
	for key, it := range m.items {
		// A key newer than the read was written during a read of several
		// pages, after its page had been read.
		if !seen[key] && it.Revision <= asOf {
			delete(m.items, key)
			changes = append(changes, Change{Item: Item{Key: key, Revision: asOf}, Removed: true})
		}
	}
	if !m.valid {
		m.removalsAfter = asOf // earlier removals are of keys that this copy never had
	}
	m.asOf = asOf
	m.valid = true
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	m.recordRemovals(changes)
	return changes, true
}

// Apply applies the changes that a watch reports between the revision of the
// copy and asOf, in the order in which they were made. Changes that the copy
// already has are skipped. If a key changed several times, only its last
// change is returned: a receiver may process removals before writes, and would
// keep a target that registered and left between two watches.
func (m *Mirror) Apply(events []Change, asOf Revision) []Change {
	var changes []Change
	for _, ev := range events {
		if ev.Removed {
			if old, ok := m.items[ev.Key]; ok && old.Revision < ev.Revision {
				delete(m.items, ev.Key)
				changes = append(changes, ev)
			}
			continue
		}
		if ev.Revision > m.asOf && m.put(ev.Item) {
			changes = append(changes, ev)
		}
	}
	m.asOf = max(m.asOf, asOf)
	m.recordRemovals(changes)
	return lastChangePerKey(changes)
}

// recordRemovals adds the removals among changes to those that are kept.
func (m *Mirror) recordRemovals(changes []Change) {
	for _, c := range changes {
		if c.Removed {
			m.removals = append(m.removals, c)
		}
	}
	if over := len(m.removals) - maxRemovals; over > 0 {
		m.removalsAfter = max(m.removalsAfter, m.removals[over-1].Revision)
		m.removals = slices.Delete(m.removals, 0, over)
	}
}

// ChangesSince returns the changes after a revision, in order, for a copy that
// is complete up to it. It reports false if some of the removals have been
// dropped.
func (m *Mirror) ChangesSince(after Revision) ([]Change, bool) {
	if !m.valid || after < m.removalsAfter {
		return nil, false
	}
	var changes []Change
	for _, it := range m.items {
		if it.Revision > after {
			changes = append(changes, Change{Item: it})
		}
	}
	for _, c := range m.removals {
		if _, present := m.items[c.Key]; c.Revision > after && !present {
			changes = append(changes, c)
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return changes, true
}

// lastChangePerKey keeps the last change of each key, in order.
func lastChangePerKey(changes []Change) []Change {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[c.Key] = i
	}
	kept := changes[:0]
	for i, c := range changes {
		if last[c.Key] == i {
			kept = append(kept, c)
		}
	}
	return kept
}

// put stores it unless the copy has the same or a later revision of its key.
func (m *Mirror) put(it Item) bool {
	if old, ok := m.items[it.Key]; ok && old.Revision >= it.Revision {
		return false
	}
	if m.items == nil {
		m.items = make(map[string]Item)
	}
	m.items[it.Key] = it
	return true
}

// Get returns the item of a key.
func (m *Mirror) Get(key string) (Item, bool) {
	it, ok := m.items[key]
	return it, ok
}

// Items returns the items whose keys begin with prefix, by key.
func (m *Mirror) Items(prefix string) []Item {
	var out []Item
	for key, it := range m.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
