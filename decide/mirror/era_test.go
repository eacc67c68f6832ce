package mirror

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
)

// testRules interpret the keys of the tests: "config" has a version as its value, "run/"
// keys are runs of processes with "ready" or "leaving" and a number of their writes, others
// are transient.
type testRules struct{}

func (testRules) Class(key string) Class {
	switch {
	case key == "config":
		return Lasting
	case strings.HasPrefix(key, "run/"):
		return Instance
	default:
		return Transient
	}
}

func (testRules) Compare(key string, a, b []byte) (int, bool) {
	switch {
	case key == "config":
		return strings.Compare(string(a), string(b)), len(a) > 0 && len(b) > 0
	case strings.HasPrefix(key, "run/"):
		return slices.Compare(runOrder(a), runOrder(b)), len(a) > 0 && len(b) > 0
	default:
		return 0, false
	}
}

// runOrder returns the order of a value "ready 3" or "leaving 4".
func runOrder(value []byte) []int {
	var state string
	var seq int
	_, _ = fmt.Sscan(string(value), &state, &seq) // values without a number have 0
	if state == "leaving" {
		return []int{1, seq}
	}
	return []int{0, seq}
}

func write(key, value string, rev Revision) Item {
	return Item{Key: key, Value: []byte(value), Revision: rev}
}

// newKnown returns a mirror of the first era with the given items.
func newKnown(asOf Revision, items ...Item) *Mirror {
	m := New(testRules{})
	m.Replace(testNow, State{Items: items, At: Position{Revision: asOf}})
	return &m
}

// enter applies the first state of the second era.
func enter(m *Mirror, asOf Revision, items ...Item) []Change {
	changes, _ := m.Replace(testNow, State{Items: items, At: Position{Era: 1, Revision: asOf}})
	return changes
}

// value returns what is in force for a key, "" if it is absent.
func value(m *Mirror, key string) string {
	it, ok := m.Get(key)
	if !ok {
		return ""
	}
	return string(it.Value)
}

// Guards against writes that are refused as old: the store's revisions have gone back.
func TestWritesOfALaterEraAreNewWhateverTheirRevision(t *testing.T) {
	is := is.New(t)
	m := newKnown(50, write("config", "v5", 50))
	enter(m, 30, write("config", "v4", 20))
	is.Equal(value(m, "config"), "v5")
	changes, ok := m.Apply(testNow, []Change{{Item: write("config", "v6", 31)}}, Position{Era: 1, Revision: 31})
	is.True(ok)
	is.Equal(len(changes), 1)
	is.Equal(value(m, "config"), "v6")
}

// Guards against a watch that goes on in the middle of another history.
func TestEventsOfAnotherEraAreRefused(t *testing.T) {
	is := is.New(t)
	m := newKnown(50, write("a", "1", 50))
	_, ok := m.Apply(testNow, []Change{{Item: write("a", "2", 51)}}, Position{Era: 1, Revision: 51})
	is.True(!ok)
	is.Equal(value(m, "a"), "1")
	enter(m, 30)
	_, ok = m.Apply(testNow, []Change{{Item: write("a", "2", 51)}}, Position{Revision: 51})
	is.True(!ok)
	_, ok = m.Replace(testNow, State{At: Position{Revision: 60}})
	is.True(!ok)
}

// Guards against knowledge that is undone by the store's copy, or kept against what is
// written since.
func TestWhatHoldsAfterAReturn(t *testing.T) {
	for name, c := range map[string]struct {
		known   []Item
		removed []Change // in the first era, after known
		stored  []Item   // first state of the second era, at 30
		later   []Change // in the second era
		after   time.Duration
		want    map[string]string
	}{
		"a missing key is no removal": {
			known: []Item{write("a", "1", 40)}, want: map[string]string{"a": "1"},
		},
		"a missing key is given up": {
			known: []Item{write("a", "1", 40)}, after: holdTime, want: map[string]string{"a": ""},
		},
		"a key that the copy had was removed since": {
			known: []Item{write("a", "1", 10), write("b", "1", 20)}, stored: []Item{write("b", "1", 20)}, want: map[string]string{"a": ""},
		},
		"a value that is written again": {
			known: []Item{write("a", "2", 40)}, stored: []Item{write("a", "1", 10)},
			later: []Change{{Item: write("a", "2", 31)}}, after: holdTime, want: map[string]string{"a": "2"},
		},
		"an older value of the copy": {
			known: []Item{write("a", "2", 40)}, stored: []Item{write("a", "1", 10)}, want: map[string]string{"a": "2"},
		},
		"a value that is not written again": {
			known: []Item{write("a", "2", 40)}, stored: []Item{write("a", "1", 10)}, after: holdTime, want: map[string]string{"a": "1"},
		},
		"a value of a later revision than the known one": {
			known: []Item{write("a", "2", 15)}, stored: []Item{write("a", "3", 25)}, want: map[string]string{"a": "3"},
		},
		"a removal that the copy does not have": {
			known: []Item{write("a", "1", 10)}, removed: []Change{removal("a", 40)},
			stored: []Item{write("a", "1", 10)}, want: map[string]string{"a": ""},
		},
		"a removal that is not made again": {
			known: []Item{write("a", "1", 10)}, removed: []Change{removal("a", 40)},
			stored: []Item{write("a", "1", 10)}, after: holdTime, want: map[string]string{"a": "1"},
		},
		"a version of the configuration never goes back": {
			known: []Item{write("config", "v5", 40)}, stored: []Item{write("config", "v4", 10)}, after: time.Hour, want: map[string]string{"config": "v5"},
		},
		"an older version that is written again": {
			known: []Item{write("config", "v5", 40)}, stored: []Item{write("config", "v3", 10)},
			later: []Change{{Item: write("config", "v4", 31)}}, after: time.Hour, want: map[string]string{"config": "v5"},
		},
		"a copy from before the first configuration": {
			known: []Item{write("config", "v5", 40)}, after: time.Hour, want: map[string]string{"config": "v5"},
		},
		"a process that leaves is never ready again": {
			known: []Item{write("run/a", "leaving 2", 40)}, stored: []Item{write("run/a", "ready 1", 10)}, after: time.Hour, want: map[string]string{"run/a": "leaving 2"},
		},
		"a process that leaves and has gone since": {
			known: []Item{write("run/a", "leaving 2", 40)}, stored: []Item{write("run/a", "ready 1", 10)},
			later: []Change{removal("run/a", 31)}, want: map[string]string{"run/a": ""},
		},
		"a process that is gone": {
			known: []Item{write("run/a", "ready 1", 10)}, removed: []Change{removal("run/a", 40)},
			stored: []Item{write("run/a", "ready 1", 10)}, after: holdTime, want: map[string]string{"run/a": ""},
		},
		"an older word of a process that is gone": {
			known: []Item{write("run/a", "ready 3", 35)}, removed: []Change{removal("run/a", 40)},
			stored: []Item{write("run/a", "ready 1", 10)}, later: []Change{{Item: write("run/a", "ready 2", 31)}}, after: holdTime, want: map[string]string{"run/a": ""},
		},
		"a process that was taken for gone and registers again": {
			known: []Item{write("run/a", "ready 1", 10)}, removed: []Change{removal("run/a", 40)},
			stored: []Item{write("run/a", "ready 1", 10)}, later: []Change{{Item: write("run/a", "ready 1", 31)}}, want: map[string]string{"run/a": "ready 1"},
		},
		"it has registered again before the first read": {
			known: []Item{write("run/a", "ready 1", 10)}, removed: []Change{removal("run/a", 40)},
			stored: []Item{write("run/a", "ready 1", 28)}, want: map[string]string{"run/a": "ready 1"},
		},
		"an entry of a gone process that nobody removes": {
			known: []Item{write("run/a", "ready 1", 10)}, removed: []Change{removal("run/a", 40)},
			stored: []Item{write("run/a", "ready 1", 10)}, after: instanceRetention, want: map[string]string{"run/a": "ready 1"},
		},
		"a process that has registered since the copy": {
			known: []Item{write("run/a", "ready 1", 40)}, later: []Change{{Item: write("run/a", "ready 2", 31)}}, after: time.Hour, want: map[string]string{"run/a": "ready 2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newKnown(39, c.known...)
			m.Apply(testNow, c.removed, Position{Revision: 45})
			derived := receiver{}
			for _, it := range m.Items("") {
				derived[it.Key] = true
			}
			derived.apply(enter(m, 30, c.stored...))
			changes, ok := m.Apply(testNow, c.later, Position{Era: 1, Revision: 35})
			is.True(ok)
			derived.apply(changes)
			derived.apply(m.Expire(testNow.Add(c.after)))
			for key, want := range c.want {
				is.Equal(value(m, key), want)
				is.Equal(derived[key], want != "") // the changes lead to the same
			}
		})
	}
}

// Guards against a first copy of an outdated replica being taken for knowledge that holds
// against the store.
func TestAnOutdatedCopyHoldsAgainstNothing(t *testing.T) {
	is := is.New(t)
	m := New(testRules{})
	m.Replace(testNow, State{Items: []Item{write("a", "1", 40), write("run/a", "leaving 2", 41)}, At: Position{Revision: 41}, Outdated: true})
	changes := enter(&m, 30, write("run/a", "ready 1", 20))
	is.Equal(len(changes), 2)
	is.Equal(value(&m, "a"), "")
	is.Equal(value(&m, "run/a"), "ready 1")
	is.Equal(len(m.Retained(testNow)), 0)
}

// Guards against a mirror that starts in a new era with the store's copy only: it learns
// what others retain.
func TestRetainedIsTold(t *testing.T) {
	is := is.New(t)
	m := newKnown(50, write("config", "v5", 50), write("run/left", "leaving 2", 45), write("run/gone", "ready 1", 10))
	m.Apply(testNow, []Change{removal("run/gone", 51)}, Position{Revision: 51})
	copied := []Item{write("config", "v4", 20), write("run/left", "ready 1", 11), write("run/gone", "ready 1", 10)}
	enter(m, 30, copied...)
	started := New(testRules{})
	started.Replace(testNow, State{Items: copied, At: Position{Era: 1, Revision: 31}, Retained: m.Retained(testNow)})
	late := New(testRules{})
	late.Replace(testNow, State{Items: copied, At: Position{Era: 1, Revision: 31}})
	changes := late.Merge(testNow, started.Retained(testNow))
	is.Equal(len(changes), 3)
	for _, x := range []*Mirror{&started, &late} {
		is.Equal(value(x, "config"), "v5")
		is.Equal(value(x, "run/left"), "leaving 2")
		is.Equal(value(x, "run/gone"), "")
	}
	is.Equal(len(late.Merge(testNow, m.Retained(testNow))), 0)
}

// Guards against a mirror that missed a removal and tells others of the key, or keeps it
// though others know better.
func TestTheLaterKnowledgeIsMerged(t *testing.T) {
	for _, key := range []string{"run/a", "evacuate/a"} {
		is := is.New(t)
		known := write(key, "ready 1", 40)
		knows, missed := newKnown(41, known), newKnown(41, known)
		knows.Apply(testNow, []Change{removal(key, 45)}, Position{Revision: 45})
		enter(knows, 30)
		enter(missed, 30)
		is.Equal(value(missed, key), "ready 1")
		is.Equal(len(knows.Merge(testNow, missed.Retained(testNow))), 0)
		is.Equal(missed.Merge(testNow, knows.Retained(testNow)), []Change{removal(key, 30)})
		is.Equal(value(missed, key), "")
	}
}

// testStore is a store that comes back from copies, with the words of its writers.
type testStore struct {
	at      Position
	items   map[string]Item
	log     []Change // of this era
	copied  *testStore
	words   map[string]string // what the writers have written last
	lost    []string          // keys to be written again, in this order
	version int
	runs    int
}

func (s *testStore) set(key, value string) {
	s.at.Revision++
	if value == "" {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.log = append(s.log, removal(key, s.at.Revision))
		}
		return
	}
	s.items[key] = write(key, value, s.at.Revision)
	s.log = append(s.log, Change{Item: s.items[key]})
}

// change lets a writer make a change.
func (s *testStore) change(rng *rand.Rand) {
	key, word := "", ""
	switch rng.IntN(5) {
	case 0:
		s.version++
		key, word = "config", fmt.Sprintf("v%06d", s.version)
	case 1:
		s.runs++
		key, word = fmt.Sprintf("run/%d", s.runs), "ready 1"
	case 2, 3: // a process goes on to its next state: ready, leaving, gone
		key = fmt.Sprintf("run/%d", 1+rng.IntN(s.runs+1))
		switch s.words[key] {
		case "":
			return
		case "ready 1":
			word = "leaving 2"
		}
	case 4:
		key = fmt.Sprintf("evacuate/%d", rng.IntN(3))
		if s.words[key] == "" {
			word = "1"
		}
	}
	s.words[key] = word
	s.set(key, word)
}

func (s *testStore) save() {
	s.copied = &testStore{at: s.at, items: maps.Clone(s.items)}
}

// comeBack brings back the copy.
func (s *testStore) comeBack() {
	for key := range s.items {
		if s.copied.items[key].Revision != s.items[key].Revision {
			s.lost = append(s.lost, key)
		}
	}
	for key := range s.copied.items {
		if _, ok := s.items[key]; !ok {
			s.lost = append(s.lost, key)
		}
	}
	slices.Sort(s.lost)
	s.lost = slices.Compact(s.lost)
	s.at = Position{s.at.Era + 1, s.copied.at.Revision}
	s.items, s.log = maps.Clone(s.copied.items), nil
	s.copied.at = s.at
}

// writeAgain writes some of the lost words again.
func (s *testStore) writeAgain(n int) {
	for _, key := range s.lost[:min(n, len(s.lost))] {
		s.set(key, s.words[key])
	}
	s.lost = s.lost[min(n, len(s.lost)):]
}

// follower is a mirror whose changes a receiver applies.
type follower struct {
	m       Mirror
	derived map[string]string
}

func (f *follower) apply(changes []Change) {
	for _, c := range changes {
		if c.Removed {
			delete(f.derived, c.Key)
		} else {
			f.derived[c.Key] = string(c.Value)
		}
	}
}

func (f *follower) start() { f.m, f.derived = New(testRules{}), make(map[string]string) }

// read brings f up to date with the store.
func (f *follower) read(now clock.Time, s *testStore) {
	if f.m.Valid() && f.m.At().Era == s.at.Era {
		var events []Change
		for _, c := range s.log {
			if c.Revision > f.m.At().Revision {
				events = append(events, c)
			}
		}
		changes, _ := f.m.Apply(now, events, s.at)
		f.apply(changes)
		return
	}
	changes, _ := f.m.Replace(now, State{Items: slices.Collect(maps.Values(s.items)), At: s.at})
	f.apply(changes)
}

// relay brings f up to date with another mirror.
func (f *follower) relay(now clock.Time, from *follower) {
	if !from.m.Valid() || (f.m.Valid() && from.m.At().Compare(f.m.At()) < 0) {
		return
	}
	changes, _ := f.m.Replace(now, State{Items: from.m.Items(""), At: from.m.At(), Base: from.m.Base(), Retained: from.m.Retained(now)})
	f.apply(changes)
}

// Guards against mirrors that end in another state than the writers' words, go back to an
// earlier configuration, or use a process again that leaves or is gone: random changes,
// copies and returns, words that are written again one after the other, reads, relays and
// mirrors that start anew.
func TestRandomReturnsConverge(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 58))
		now := testNow
		s := &testStore{at: Position{0, 1}, items: make(map[string]Item), words: make(map[string]string)}
		s.save()
		followers := make([]follower, 3)
		for i := range followers {
			followers[i].start()
		}
		seen := make([]map[string]string, len(followers)) // per follower, the latest words
		for i := range seen {
			seen[i] = make(map[string]string)
		}
		check := func(step int) {
			for i := range followers {
				checkForward(t, seed, step, &followers[i], seen[i])
			}
		}
		for step := range 300 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			f := &followers[rng.IntN(len(followers))]
			switch rng.IntN(20) {
			case 0:
				s.save()
			case 1:
				s.comeBack()
			case 2, 3, 4:
				s.writeAgain(1 + rng.IntN(2))
			case 5:
				i := rng.IntN(len(followers))
				followers[i].start()
				clear(seen[i])
				if other := &followers[(i+1)%len(followers)]; rng.IntN(2) == 0 {
					followers[i].read(now, s)
					followers[i].apply(followers[i].m.Merge(now, other.m.Retained(now)))
				} else {
					followers[i].relay(now, other)
				}
			case 6:
				f.relay(now, &followers[rng.IntN(len(followers))])
			case 7, 8, 9, 10, 11:
				f.read(now, s)
			case 12:
				f.apply(f.m.Expire(now))
			default:
				s.change(rng)
			}
			check(step)
		}
		s.writeAgain(len(s.lost))
		for i := range followers {
			f := &followers[i]
			f.read(now, s)
			if got := f.derived["config"]; got != s.words["config"] {
				t.Fatalf("seed %d: configuration %q, not %q", seed, got, s.words["config"])
			}
			f.apply(f.m.Expire(now.Add(instanceRetention)))
			compareWords(t, seed, f, s)
		}
	}
}

// checkForward reports what has gone back at a follower since the last check.
func checkForward(t *testing.T, seed uint64, step int, f *follower, seen map[string]string) {
	t.Helper()
	if got := f.derived["config"]; got < seen["config"] {
		t.Fatalf("seed %d, step %d: configuration %q after %q", seed, step, got, seen["config"])
	}
	seen["config"] = f.derived["config"]
	for key, word := range f.derived {
		if strings.HasPrefix(key, "run/") && word == "ready 1" && (seen[key] == "leaving 2" || seen[key] == "gone") {
			t.Fatalf("seed %d, step %d: %s is ready after it was %s", seed, step, key, seen[key])
		}
	}
	for key, word := range seen {
		if _, ok := f.derived[key]; !ok && strings.HasPrefix(key, "run/") && word == "leaving 2" {
			seen[key] = "gone"
		}
	}
	for key, word := range f.derived {
		seen[key] = word
	}
}

// compareWords reports what differs between a follower and the writers' words.
func compareWords(t *testing.T, seed uint64, f *follower, s *testStore) {
	t.Helper()
	for key, word := range s.words {
		if f.derived[key] != word {
			t.Fatalf("seed %d: %s is %q, not %q", seed, key, f.derived[key], word)
		}
	}
	for key := range f.derived {
		if it, ok := f.m.Get(key); !ok || string(it.Value) != f.derived[key] {
			t.Fatalf("seed %d: %s is %q by the changes, %q in the mirror", seed, key, f.derived[key], it.Value)
		}
	}
}
