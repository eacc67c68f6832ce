package mirror

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Era counts how often the store has come back from a copy of an earlier state.
// Revisions of one era are comparable, those of different eras are not.
type Era uint64

// Position is a moment in the store's history.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare orders positions by era, and within an era by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Class states how long what is known of a key holds against a store that has come
// back from a copy and does not confirm it.
type Class uint8

const (
	// Transient keys may change either way. What is known of them holds for holdTime,
	// in which their writers write them again.
	Transient Class = iota
	// Instance keys name one run of a process. Once it is over it does not begin
	// again: an entry from before its end is ignored for instanceRetention. In all else
	// they are transient.
	Instance
	// Lasting keys always have a value: the last one holds until there is another.
	Lasting
)

// Rules interpret keys and values.
type Rules interface {
	// Class returns the class of a key.
	Class(key string) Class
	// Compare orders two values of a key by their contents, like cmp.Compare: the
	// greater one was written later. It reports false if the contents have no order.
	Compare(key string, a, b []byte) (int, bool)
}

const (
	// holdTime leaves writers time to write their keys again, and entry VMs to learn
	// of the store's return some seconds after each other.
	holdTime = 10 * time.Second
	// instanceRetention exceeds the time after which the store removes the entries of
	// processes that are gone.
	instanceRetention = time.Minute
)

// Never is the time left of what holds until its key is written again.
const Never = time.Duration(1<<63 - 1)

// Retained is the last that was known of a key before the store came back from a copy,
// which differs from it.
type Retained struct {
	Item               // the last write
	Era       Era      // in which the key was last known
	RemovedAt Revision // revision of Era at which the key was known to be removed; 0: it was not
	// Missed means that further writes before the removal may have been missed.
	Missed bool
	Left   time.Duration // how long it still holds; Never: until the key is written again

	until clock.Time
}

func (r *Retained) removed() bool { return r.RemovedAt != 0 }

// position returns when the key was last changed, as far as is known.
func (r *Retained) position() Position { return Position{r.Era, max(r.Revision, r.RemovedAt)} }

// lastWrite returns a revision of Era up to which no other write of the key was the last.
func (r *Retained) lastWrite() Revision {
	if r.Missed {
		return r.RemovedAt
	}
	return r.Revision
}

// beliefs returns what is in force for each key, and the removals that are kept.
func (m *Mirror) beliefs() map[string]Retained {
	known := make(map[string]Retained, len(m.items))
	for key, it := range m.items {
		known[key] = Retained{Item: it, Era: m.at.Era}
	}
	for _, r := range m.removals {
		if _, present := m.items[r.Key]; !present {
			known[r.Key] = Retained{Item: r.Item, Era: m.at.Era, RemovedAt: r.at, Missed: r.missed}
		}
	}
	maps.Copy(known, m.retained)
	return known
}

// enterEra applies the first state of a later era.
func (m *Mirror) enterEra(now clock.Time, s State) []Change {
	known, outdated, before := m.beliefs(), m.outdated, m.items
	m.items = make(map[string]Item, len(s.Items))
	for _, it := range s.Items {
		m.items[it.Key] = it
	}
	m.at, m.base = s.At, s.base()
	m.removals, m.removalsAfter = nil, s.At.Revision
	m.retained = nil
	m.retainedChanges++
	copied := m.copiedOf(before)
	var changes []Change
	for key, k := range known {
		_, present := m.items[key]
		old, had := before[key]
		switch until := m.holdUntil(now, k); {
		case !present && had && old.Revision <= copied:
			// The store's copy had the key: it was removed since the return.
			m.removals = append(m.removals, removedItem{Item: k.Item, at: s.At.Revision, missed: true})
		case until > now && !outdated:
			m.retain(k, until)
			continue
		}
		changes = append(changes, m.difference(key, k.Item, !k.removed())...)
	}
	for key, it := range m.items {
		if _, ok := known[key]; !ok {
			changes = append(changes, Change{Item: it})
		}
	}
	return changes
}

// copiedOf returns a revision of the previous era up to which the store's copy contains all
// changes: that of the latest write which is among both the items of that era and the
// store's.
func (m *Mirror) copiedOf(before map[string]Item) Revision {
	var last Revision
	for key, it := range m.items {
		if old, ok := before[key]; ok && old.Revision == it.Revision && bytes.Equal(old.Value, it.Value) {
			last = max(last, it.Revision)
		}
	}
	return last
}

// holdUntil returns until when k holds against the store; now if it doesn't.
func (m *Mirror) holdUntil(now clock.Time, k Retained) clock.Time {
	stored, present := m.items[k.Key]
	switch {
	case k.removed():
		return m.holdRemovalUntil(now, k, stored, present)
	case !present && m.class(k.Key) == Lasting:
		return clock.Never
	case !present:
		return now.Add(holdTime)
	case bytes.Equal(k.Value, stored.Value):
		return now
	}
	switch order := m.compare(k, stored); {
	case order > 0:
		return clock.Never
	case order < 0 || stored.Revision >= k.Revision || stored.Revision > m.base:
		return now
	default:
		return now.Add(holdTime)
	}
}

// holdRemovalUntil is holdUntil for a removed key.
func (m *Mirror) holdRemovalUntil(now clock.Time, k Retained, stored Item, present bool) clock.Time {
	long := holdTime
	if m.class(k.Key) == Instance {
		long = instanceRetention
	}
	if !present {
		return now.Add(long) // an older word may be written again, or be told by another VM
	}
	order := m.compare(k, stored)
	written := stored.Revision > k.lastWrite() || stored.Revision > m.base
	switch {
	case order < 0 || (order == 0 && written):
		return now
	case order > 0 || stored.Revision == k.Revision:
		return now.Add(long)
	default:
		return now.Add(holdTime)
	}
}

// compare orders a retained write and the store's item by their contents; 0: they have
// no order.
func (m *Mirror) compare(k Retained, stored Item) int {
	if m.rules == nil {
		return 0
	}
	order, ok := m.rules.Compare(k.Key, k.Value, stored.Value)
	if !ok {
		return 0
	}
	return order
}

func (m *Mirror) class(key string) Class {
	if m.rules == nil {
		return Transient
	}
	return m.rules.Class(key)
}

// difference returns the change, if any, from an item that was in force to the one that
// is now.
func (m *Mirror) difference(key string, was Item, wasPresent bool) []Change {
	is, present := m.Get(key)
	switch {
	case !present && wasPresent:
		return []Change{removalOf(key, m.at.Revision)}
	case present && !(wasPresent && bytes.Equal(was.Value, is.Value)):
		return []Change{{Item: is}}
	default:
		return nil
	}
}

func (m *Mirror) retain(k Retained, until clock.Time) {
	if m.retained == nil {
		m.retained = make(map[string]Retained)
	}
	k.until = until
	m.retained[k.Key] = k
	m.retainedChanges++
}

func (m *Mirror) release(key string) {
	delete(m.retained, key)
	m.retainedChanges++
}

// resolve returns the change in force that results from a change of the store's items.
// In an era, every change after the first state was made after the store's return.
func (m *Mirror) resolve(now clock.Time, c Change) []Change {
	k, ok := m.retained[c.Key]
	if !ok {
		return []Change{c}
	}
	if !c.Removed {
		if until := m.holdUntil(now, k); until > now {
			m.retain(k, until)
			return nil
		}
	}
	m.release(c.Key)
	return m.difference(c.Key, k.Item, !k.removed())
}

// Merge adds what another VM's mirror has retained, and returns the changes in order of
// their keys.
func (m *Mirror) Merge(now clock.Time, list []Retained) []Change {
	var changes []Change
	for _, k := range list {
		changes = append(changes, m.merge(now, k)...)
	}
	changes = lastChangePerKey(changes)
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return changes
}

func (m *Mirror) merge(now clock.Time, k Retained) []Change {
	if k.Era >= m.at.Era || m.removedInEra(k.Key) {
		return nil
	}
	own, held := m.retained[k.Key]
	if held && !m.later(k, own) {
		return nil
	}
	was, present := m.Get(k.Key)
	switch until := clock.Min(m.holdUntil(now, k), now.Add(k.Left)); {
	case until > now:
		m.retain(k, until)
	case held:
		m.release(k.Key)
	}
	return m.difference(k.Key, was, present)
}

// removedInEra reports whether the key is known to have been removed in the present era.
func (m *Mirror) removedInEra(key string) bool {
	_, present := m.items[key]
	return !present && slices.ContainsFunc(m.removals, func(r removedItem) bool { return r.Key == key })
}

// later reports whether k was written or removed later than own.
func (m *Mirror) later(k, own Retained) bool {
	if order := m.compare(k, own.Item); order != 0 {
		return order > 0
	}
	return k.position().Compare(own.position()) > 0
}

// Expire lets the store's items replace what has been retained for long enough, and
// returns the changes in order of their keys.
func (m *Mirror) Expire(now clock.Time) []Change {
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(m.retained)) {
		k := m.retained[key]
		if k.until > now {
			continue
		}
		m.release(key)
		changes = append(changes, m.difference(key, k.Item, !k.removed())...)
		if _, present := m.items[key]; !present && !k.removed() && m.class(key) == Instance {
			k.Era, k.RemovedAt, k.Missed = m.at.Era, m.at.Revision, true
			m.retain(k, now.Add(instanceRetention))
		}
	}
	return changes
}

// NextExpiry returns when Expire has something to do; clock.Never: not yet known.
func (m *Mirror) NextExpiry() clock.Time {
	next := clock.Never
	for _, k := range m.retained {
		next = clock.Min(next, k.until)
	}
	return next
}

// Retained returns what is retained at now, by key.
func (m *Mirror) Retained(now clock.Time) []Retained {
	list := make([]Retained, 0, len(m.retained))
	for _, key := range slices.Sorted(maps.Keys(m.retained)) {
		k := m.retained[key]
		k.Left = Never
		if k.until != clock.Never {
			k.Left = max(k.until.Sub(now), 0)
		}
		list = append(list, k)
	}
	return list
}

// RetainedCount returns the number of keys of which something is retained.
func (m *Mirror) RetainedCount() int { return len(m.retained) }

// RetainedChanges counts the changes of what is retained.
func (m *Mirror) RetainedChanges() uint64 { return m.retainedChanges }
