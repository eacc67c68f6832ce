package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
)

func item(key string, rev Revision) Item {
	return Item{Key: key, Revision: rev, Value: []byte{byte(rev)}}
}

const testNow = clock.Time(time.Hour)

// replace applies a full read of the first era.
func replace(m *Mirror, items []Item, asOf Revision) ([]Change, bool) {
	return m.Replace(testNow, State{Items: items, At: Position{Revision: asOf}})
}

// apply applies the events of a watch in the first era.
func apply(m *Mirror, events []Change, asOf Revision) []Change {
	changes, _ := m.Apply(testNow, events, Position{Revision: asOf})
	return changes
}

// Guards against a configuration returning to an older version: a full read is
// served by an old replica after a watch has brought a newer version, and the
// last read is taken for the newest.
func TestOldReadIsRefused(t *testing.T) {
	is := is.New(t)
	var m Mirror
	replace(&m, []Item{item("a", 3)}, 5)
	apply(&m, []Change{{Item: item("a", 7)}}, 7)
	changes, ok := replace(&m, []Item{item("a", 3)}, 6)
	is.True(!ok)
	is.Equal(len(changes), 0)
	got, _ := m.Get("a")
	is.Equal(got.Revision, Revision(7))
}

// Guards against requests being sent to targets that are gone: the store drops
// the history that holds their removal, and a full read is used for additions
// only.
func TestMissingKeysAreRemovals(t *testing.T) {
	is := is.New(t)
	var m Mirror
	replace(&m, []Item{item("a", 3), item("b", 4)}, 5)
	changes, ok := replace(&m, []Item{item("b", 4)}, 9)
	is.True(ok)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Key, "a")
	is.True(changes[0].Removed)
}

// Guards against a target that has left reappearing: the answer to a watch is
// delivered after a later full read, and its events are applied whatever their
// revision.
func TestLateEventsAreSkipped(t *testing.T) {
	is := is.New(t)
	var m Mirror
	replace(&m, nil, 10)
	changes := apply(&m, []Change{{Item: item("a", 8)}, {Item: Item{Key: "a", Revision: 9}, Removed: true}}, 9)
	is.Equal(len(changes), 0)
	_, ok := m.Get("a")
	is.True(!ok)
	is.Equal(m.At().Revision, Revision(10))
}

// Guards against requests being sent to a target that has left: it registers
// and leaves again between two watches, and a receiver that processes all
// removals before all writes would end with the target present.
func TestApplyReturnsOneChangePerKey(t *testing.T) {
	is := is.New(t)
	var m Mirror
	replace(&m, []Item{item("b", 4)}, 10)
	changes := apply(&m, []Change{
		{Item: item("a", 11)},
		removal("b", 12),
		removal("a", 13),
		{Item: item("b", 14)},
	}, 14)
	is.Equal(changes, []Change{removal("a", 13), {Item: item("b", 14)}})
}

func removal(key string, rev Revision) Change {
	return Change{Item: Item{Key: key, Revision: rev}, Removed: true}
}

// receiver holds the keys that remain when all removals of a step are processed
// before all writes.
type receiver map[string]bool

func (r receiver) apply(changes []Change) {
	for _, c := range changes {
		if c.Removed {
			delete(r, c.Key)
		}
	}
	for _, c := range changes {
		if !c.Removed {
			r[c.Key] = true
		}
	}
}

// Guards against a copy that differs from the store after everything was read:
// random changes are read by watches and full reads that are late, out of
// order, or of several pages.
func TestRandomSourcesConverge(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var m Mirror
		store := map[string]Item{}
		var log []Change
		derived := receiver{}
		rev := Revision(1)
		type source func()
		var late []source
		for range 200 {
			rev++
			key := fmt.Sprint(rng.IntN(6))
			if rng.IntN(3) == 0 {
				delete(store, key)
				log = append(log, Change{Item: Item{Key: key, Revision: rev}, Removed: true})
			} else {
				store[key] = item(key, rev)
				log = append(log, Change{Item: store[key]})
			}
			switch rng.IntN(4) {
			case 0:
				items, asOf := values(store), rev
				late = append(late, func() {
					changes, _ := replace(&m, items, asOf)
					derived.apply(changes)
				})
			case 1:
				if m.Valid() {
					events, asOf := since(log, m.At().Revision), rev
					late = append(late, func() { derived.apply(apply(&m, events, asOf)) })
				}
			}
			for len(late) > 0 && rng.IntN(3) > 0 {
				i := rng.IntN(len(late))
				before := m.At().Revision
				late[i]()
				if m.At().Revision < before {
					t.Fatalf("seed %d: revision of the copy fell from %d to %d", seed, before, m.At().Revision)
				}
				late = append(late[:i], late[i+1:]...)
			}
		}
		last, _ := replace(&m, values(store), rev)
		derived.apply(last)
		if len(derived) != len(store) {
			t.Fatalf("seed %d: %d keys remain after the changes, the store has %d", seed, len(derived), len(store))
		}
		if len(m.Items("")) != len(store) {
			t.Fatalf("seed %d: %d items, the store has %d", seed, len(m.Items("")), len(store))
		}
		for _, it := range m.Items("") {
			if it.Revision != store[it.Key].Revision {
				t.Fatalf("seed %d: key %s at %d, the store has %d", seed, it.Key, it.Revision, store[it.Key].Revision)
			}
		}
	}
}

func values(m map[string]Item) []Item {
	var out []Item
	for _, it := range m {
		out = append(out, it)
	}
	return out
}

func since(log []Change, after Revision) []Change {
	var out []Change
	for _, c := range log {
		if c.Revision > after {
			out = append(out, c)
		}
	}
	return out
}

// Guards against a VM that learns of the store from another VM keeping a
// target that has left, or missing a change: one copy reads random changes by
// watches and full reads, and a second copy takes the changes of the first at
// random moments.
func TestFollowerMirrorConverges(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var reader, follower Mirror
		store := map[string]Item{}
		var log []Change
		rev := Revision(1)
		replace(&reader, nil, rev)
		replace(&follower, nil, rev)
		follow := func() {
			changes, ok := reader.ChangesSince(follower.At())
			if !ok {
				replace(&follower, reader.Items(""), reader.At().Revision)
				return
			}
			apply(&follower, changes, reader.At().Revision)
		}
		for range 3000 {
			rev++
			key := fmt.Sprint(rng.IntN(6))
			if _, present := store[key]; present && rng.IntN(2) == 0 {
				delete(store, key)
				log = append(log, removal(key, rev))
			} else {
				store[key] = item(key, rev)
				log = append(log, Change{Item: store[key]})
			}
			switch rng.IntN(20) {
			case 0:
				replace(&reader, values(store), rev) // the history in between is lost
			case 1, 2, 3, 4, 5:
				apply(&reader, since(log, reader.At().Revision), rev)
			case 6, 7:
				follow()
			}
		}
		apply(&reader, since(log, reader.At().Revision), rev)
		follow()
		for _, it := range follower.Items("") {
			if it.Revision != store[it.Key].Revision {
				t.Fatalf("seed %d: key %s at %d, the store has %d", seed, it.Key, it.Revision, store[it.Key].Revision)
			}
		}
		if len(follower.Items("")) != len(store) {
			t.Fatalf("seed %d: %d items, the store has %d", seed, len(follower.Items("")), len(store))
		}
	}
}

// Guards against a VM that was cut off for minutes keeping targets that have
// left: there were more removals than are kept, and it got the remaining ones
// as if they were complete.
func TestChangesSinceRefusesAfterDroppedRemovals(t *testing.T) {
	is := is.New(t)
	var m Mirror
	replace(&m, []Item{item("stays", 1)}, 1)
	rev := Revision(1)
	for range maxRemovals + 1 {
		apply(&m, []Change{{Item: item("a", rev+1)}, removal("a", rev+2)}, rev+2)
		rev += 2
	}
	_, ok := m.ChangesSince(Position{Revision: 1})
	is.True(!ok)
	changes, ok := m.ChangesSince(Position{Revision: 3}) // after the removal that was dropped
	is.True(ok)
	is.Equal(len(changes), maxRemovals)
}
