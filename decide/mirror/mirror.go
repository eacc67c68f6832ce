package mirror

import (
	"cmp"
	"slices"
	"strings"

	"github.com/azurethread/azurethread/decide/clock"
)

// Revision counts the changes of the store. 0 is before the first one.
type Revision uint64

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

// State is what a full read of the store returned, or what another VM's mirror
// holds.
type State struct {
	Items []Item
	// At is the position up to which the items are complete.
	At Position
	// Base is a revision that the store had in this era after its return; 0: At.Revision.
	// Later revisions are of writes after the return.
	Base Revision
	// Outdated means that the state may be seconds old: a later state of the store
	// replaces it whatever its era.
	Outdated bool
	// Retained is what the sender's mirror retains from earlier eras.
	Retained []Retained
}

// base returns the lowest revision that is known to be of a moment after the return.
func (s *State) base() Revision {
	if s.Base == 0 {
		return s.At.Revision
	}
	return min(s.Base, s.At.Revision)
}

// Mirror is the copy. The zero value is empty and older than every source.
type Mirror struct {
	rules Rules

	// items is the store's content as of at. base is the lowest revision that is known
	// to be of a moment after the store's return in this era.
	items    map[string]Item
	at       Position
	base     Revision
	valid    bool
	outdated bool // see State.Outdated

	removals []removedItem // the latest removals, by revision
	// removalsAfter is the revision after which removals is complete.
	removalsAfter Revision

	// retained is what is known from earlier eras and holds against items.
	retained map[string]Retained
	// retainedChanges counts the changes of retained.
	retainedChanges uint64
}

// removedItem is a removed key with its last item.
type removedItem struct {
	Item
	at Revision // of the removal, or of the read that lacks the key
	// missed means that further writes before the removal may have been missed.
	missed bool
}

// maxRemovals bounds the removals that are kept for ChangesSince: those of a
// few minutes where targets are replaced all the time.
const maxRemovals = 1024

// New returns an empty mirror. Without rules, contents of keys have no order.
func New(rules Rules) Mirror { return Mirror{rules: rules} }

// At returns the position up to which the copy is complete.
func (m *Mirror) At() Position { return m.at }

// Base returns a revision of this era that the store had after its return.
func (m *Mirror) Base() Revision { return m.base }

// Valid reports whether a full read was ever applied.
func (m *Mirror) Valid() bool { return m.valid }

// Replace applies a full read or another mirror's state. Within an era, keys that are
// missing in it count as removed: the store drops its history at times, and removals in
// the dropped part become visible in no other way. The first state of a later era also
// replaces the copy, but what was known before may hold against it (see the package
// documentation). Replace returns the changes in order of their keys, and false if the
// state is older than the copy and was ignored.
func (m *Mirror) Replace(now clock.Time, s State) ([]Change, bool) {
	if m.valid && s.At.Compare(m.at) < 0 {
		return nil, false
	}
	var changes []Change
	switch {
	case m.valid && s.At.Era > m.at.Era:
		changes = m.enterEra(now, s)
	default:
		changes = m.replaceItems(now, s)
	}
	m.outdated = s.Outdated
	changes = lastChangePerKey(append(changes, m.Merge(now, s.Retained)...))
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return changes, true
}

// replaceItems applies a state of the copy's own era.
func (m *Mirror) replaceItems(now clock.Time, s State) []Change {
	var changes []Change
	seen := make(map[string]bool, len(s.Items))
	for _, it := range s.Items {
		seen[it.Key] = true
		if m.put(it) {
			changes = append(changes, m.resolve(now, Change{Item: it})...)
		}
	}
	for key, it := range m.items {
		// A key newer than the read was written during a read of several
		// pages, after its page had been read.
		if !seen[key] && it.Revision <= s.At.Revision {
			m.remove(it, s.At.Revision, true)
			changes = append(changes, m.resolve(now, removalOf(key, s.At.Revision))...)
		}
	}
	if !m.valid {
		m.removalsAfter = s.At.Revision // earlier removals are of keys that this copy never had
		m.base = s.At.Revision
	}
	m.base = min(m.base, s.base())
	m.at = s.At
	m.valid = true
	m.trimRemovals()
	return changes
}

// Apply applies the changes that a watch reports between the position of the copy and
// at, in the order in which they were made. Changes that the copy already has are
// skipped. If a key changed several times, only its last change is returned: a receiver
// may process removals before writes, and would keep a target that registered and left
// between two watches. Apply reports false, and changes nothing, if the changes are not
// of the copy's era.
func (m *Mirror) Apply(now clock.Time, events []Change, at Position) ([]Change, bool) {
	if !m.valid || at.Era != m.at.Era {
		return nil, false
	}
	var changes []Change
	for _, ev := range events {
		if m.applyEvent(ev) {
			changes = append(changes, m.resolve(now, ev)...)
		}
	}
	if at.Revision > m.at.Revision {
		m.at = at
	}
	m.outdated = false
	m.trimRemovals()
	return lastChangePerKey(changes), true
}

// applyEvent applies one change to the items, and reports whether it was new.
func (m *Mirror) applyEvent(ev Change) bool {
	if !ev.Removed {
		return ev.Revision > m.at.Revision && m.put(ev.Item)
	}
	old, ok := m.items[ev.Key]
	if !ok || old.Revision >= ev.Revision {
		return false
	}
	m.remove(old, ev.Revision, false)
	return true
}

// remove removes an item and keeps the removal.
func (m *Mirror) remove(it Item, at Revision, missed bool) {
	delete(m.items, it.Key)
	m.removals = append(m.removals, removedItem{Item: it, at: at, missed: missed})
}

func removalOf(key string, at Revision) Change {
	return Change{Item: Item{Key: key, Revision: at}, Removed: true}
}

// trimRemovals drops the oldest removals beyond the number that is kept.
func (m *Mirror) trimRemovals() {
	if over := len(m.removals) - maxRemovals; over > 0 {
		m.removalsAfter = max(m.removalsAfter, m.removals[over-1].at)
		m.removals = slices.Delete(m.removals, 0, over)
	}
}

// ChangesSince returns the changes after a position, in order, for a copy that
// is complete up to it. It reports false if the position is of another era or some of
// the removals have been dropped.
func (m *Mirror) ChangesSince(after Position) ([]Change, bool) {
	if !m.valid || after.Era != m.at.Era || after.Revision < m.removalsAfter {
		return nil, false
	}
	var changes []Change
	for _, it := range m.items {
		if it.Revision > after.Revision {
			changes = append(changes, Change{Item: it})
		}
	}
	for _, r := range m.removals {
		if _, present := m.items[r.Key]; r.at > after.Revision && !present {
			changes = append(changes, removalOf(r.Key, r.at))
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

// Get returns the item of a key that is in force: the store's, or the retained one.
func (m *Mirror) Get(key string) (Item, bool) {
	if r, ok := m.retained[key]; ok {
		return r.Item, !r.removed()
	}
	return m.Stored(key)
}

// Stored returns the store's item of a key, whatever is in force.
func (m *Mirror) Stored(key string) (Item, bool) {
	it, ok := m.items[key]
	return it, ok
}

// Items returns the store's items whose keys begin with prefix, by key.
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
