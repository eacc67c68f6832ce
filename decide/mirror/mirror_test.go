package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func item(key string, rev Revision) Item {
	return Item{Key: key, Revision: rev, Value: []byte{byte(rev)}}
}

// Symptom: a configuration goes back to an older version.
// Sequence: a full read is served by an old replica after a watch has brought a
// newer one.
// Cause: the last read was taken for the newest.
func TestOldReadIsRefused(t *testing.T) {
	is := is.New(t)
	var m Mirror
	m.Replace([]Item{item("a", 3)}, 5)
	m.Apply([]Change{{Item: item("a", 7)}}, 7)
	changes, ok := m.Replace([]Item{item("a", 3)}, 6)
	is.True(!ok)
	is.Equal(len(changes), 0)
	got, _ := m.Get("a")
	is.Equal(got.Revision, Revision(7))
}

// Symptom: requests go on to targets that are gone.
// Sequence: the store drops the history in which their removal was.
// Cause: a full read was taken for additions only.
func TestMissingKeysAreRemovals(t *testing.T) {
	is := is.New(t)
	var m Mirror
	m.Replace([]Item{item("a", 3), item("b", 4)}, 5)
	changes, ok := m.Replace([]Item{item("b", 4)}, 9)
	is.True(ok)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Key, "a")
	is.True(changes[0].Removed)
}

// Symptom: a target that has left comes back to life.
// Sequence: the answer to a watch is delivered after a later full read.
// Cause: its events were applied without regard to their revision.
func TestLateEventsAreSkipped(t *testing.T) {
	is := is.New(t)
	var m Mirror
	m.Replace(nil, 10)
	changes := m.Apply([]Change{{Item: item("a", 8)}, {Item: Item{Key: "a", Revision: 9}, Removed: true}}, 9)
	is.Equal(len(changes), 0)
	_, ok := m.Get("a")
	is.True(!ok)
	is.Equal(m.AsOf(), Revision(10))
}

// Symptom: a target that has left is sent requests for good.
// Sequence: a target registers and leaves again between two watches.
// Cause: the watch's answer was passed on with both changes of the key, and who
// takes all removals before all writes ends with the target present.
func TestApplyReturnsOneChangePerKey(t *testing.T) {
	is := is.New(t)
	var m Mirror
	m.Replace([]Item{item("b", 4)}, 10)
	changes := m.Apply([]Change{
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

// follower holds the keys that changes leave behind when all removals of a
// step are taken before all writes.
type follower map[string]bool

func (f follower) apply(changes []Change) {
	for _, c := range changes {
		if c.Removed {
			delete(f, c.Key)
		}
	}
	for _, c := range changes {
		if !c.Removed {
			f[c.Key] = true
		}
	}
}

// Symptom: the copy differs from the store after everything was read.
// Sequence: random changes, read by watches and full reads that are late, in
// another order, or of several pages.
// Cause: named by the seed.
func TestRandomSourcesConverge(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var m Mirror
		store := map[string]Item{}
		var log []Change
		follows := follower{}
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
					changes, _ := m.Replace(items, asOf)
					follows.apply(changes)
				})
			case 1:
				if m.Valid() {
					events, asOf := since(log, m.AsOf()), rev
					late = append(late, func() { follows.apply(m.Apply(events, asOf)) })
				}
			}
			for len(late) > 0 && rng.IntN(3) > 0 {
				i := rng.IntN(len(late))
				before := m.AsOf()
				late[i]()
				if m.AsOf() < before {
					t.Fatalf("seed %d: the copy went back from %d to %d", seed, before, m.AsOf())
				}
				late = append(late[:i], late[i+1:]...)
			}
		}
		last, _ := m.Replace(values(store), rev)
		follows.apply(last)
		if len(follows) != len(store) {
			t.Fatalf("seed %d: %d keys left by the changes, the store has %d", seed, len(follows), len(store))
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

// Symptom: a VM that learns of the store from another one keeps a target that
// has left, or misses a change.
// Sequence: random changes, which one copy reads by watches and full reads; a
// second copy takes what the first has, at random moments.
// Cause: named by the seed.
func TestFollowerMirrorConverges(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var reader, follower Mirror
		store := map[string]Item{}
		var log []Change
		rev := Revision(1)
		reader.Replace(nil, rev)
		follower.Replace(nil, rev)
		follow := func() {
			changes, ok := reader.ChangesSince(follower.AsOf())
			if !ok {
				follower.Replace(reader.Items(""), reader.AsOf())
				return
			}
			follower.Apply(changes, reader.AsOf())
		}
		for range 3000 {
			rev++
			key := fmt.Sprint(rng.IntN(6))
			if _, there := store[key]; there && rng.IntN(2) == 0 {
				delete(store, key)
				log = append(log, removal(key, rev))
			} else {
				store[key] = item(key, rev)
				log = append(log, Change{Item: store[key]})
			}
			switch rng.IntN(20) {
			case 0:
				reader.Replace(values(store), rev) // what was in between is lost
			case 1, 2, 3, 4, 5:
				reader.Apply(since(log, reader.AsOf()), rev)
			case 6, 7:
				follow()
			}
		}
		reader.Apply(since(log, reader.AsOf()), rev)
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

// Symptom: a VM that was cut off for minutes keeps targets that have left.
// Sequence: more removals than are kept; then it asks for what it lacks.
// Cause: it got the removals that were left as if they were all.
func TestChangesSinceRefusesAfterDroppedRemovals(t *testing.T) {
	is := is.New(t)
	var m Mirror
	m.Replace([]Item{item("stays", 1)}, 1)
	rev := Revision(1)
	for range maxRemovals + 1 {
		m.Apply([]Change{{Item: item("a", rev+1)}, removal("a", rev+2)}, rev+2)
		rev += 2
	}
	_, ok := m.ChangesSince(1)
	is.True(!ok)
	changes, ok := m.ChangesSince(3) // after the removal that was forgotten
	is.True(ok)
	is.Equal(len(changes), maxRemovals)
}
