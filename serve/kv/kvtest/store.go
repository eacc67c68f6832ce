// Package kvtest provides a metadata store in memory for tests.
package kvtest

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/kv"
)

// ErrDown is the cause of failed calls while the store is down.
var ErrDown = errors.New("kvtest: the store is down")

// Store is the store itself; entry VMs have Clients of it. Like its real kin it compares
// revisions and leases whatever their era. It has no clock: leases end only by Revoke.
type Store struct {
	mu sync.Mutex
	state
	era     mirror.Era
	copy    state // see SaveCopy
	down    bool
	changed chan struct{} // closed and replaced on each change

	staleItems map[string]entry // of a replica that lags behind; nil: none does
	staleAt    mirror.Position
}

// state is what a copy of the store contains.
type state struct {
	rev         mirror.Revision
	items       map[string]entry
	keys        []string // of items in order; nil: they have changed
	history     []mirror.Change
	compactedAt mirror.Revision // history is kept after this revision
	leases      map[uint64]bool
	lastLease   uint64
}

func (s *state) clone() state {
	c := *s
	c.items, c.history, c.leases = maps.Clone(s.items), slices.Clone(s.history), maps.Clone(s.leases)
	return c
}

type entry struct {
	mirror.Item
	lease uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{
		state:   state{rev: 1, items: make(map[string]entry), leases: make(map[uint64]bool)},
		changed: make(chan struct{}),
	}
}

// Put writes a key as an operator or a target would.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kv.Write{Key: key, Value: []byte(value)})
	s.notify()
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	s.notify()
}

// Get returns the value of a key.
func (s *Store) Get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.items[key]
	return string(e.Value), ok
}

// SetDown makes every call fail, including those that wait, or ends the outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// FreezeReplica makes reads with kv.Any return the present state from now on.
func (s *Store) FreezeReplica() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleItems, s.staleAt = maps.Clone(s.items), s.at()
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedAt = s.rev
	s.notify()
}

// SaveCopy makes the copy from which the store comes back.
func (s *Store) SaveCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy = s.clone()
}

// ReturnFromCopy brings back the state of the copy: all later writes and leases are gone,
// and their revisions and lease ids are given out again. It returns the last of the lost
// changes of each key, in the order in which they were made.
func (s *Store) ReturnFromCopy() (lost []mirror.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.history {
		if c.Revision > s.copy.rev {
			lost = slices.DeleteFunc(lost, func(l mirror.Change) bool { return l.Key == c.Key })
			lost = append(lost, c)
		}
	}
	s.state = s.copy.clone()
	s.era++
	s.notify()
	return lost
}

// WriteAgain makes a change that was lost once more.
func (s *Store) WriteAgain(c mirror.Change) {
	if c.Removed {
		s.Remove(c.Key)
		return
	}
	s.Put(c.Key, string(c.Value))
}

// Grow raises the revision by n changes of other keys.
func (s *Store) Grow(n int) {
	for range n {
		s.Put("other/key", "")
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(w kv.Write) {
	s.rev++
	it := mirror.Item{Key: w.Key, Value: w.Value, Revision: s.rev}
	if _, ok := s.items[w.Key]; !ok {
		s.keys = nil
	}
	s.items[w.Key] = entry{Item: it, lease: w.Lease.ID}
	s.history = append(s.history, mirror.Change{Item: it})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	s.keys = nil
	delete(s.items, key)
	s.history = append(s.history, mirror.Change{Item: mirror.Item{Key: key, Revision: s.rev}, Removed: true})
}

// at returns the present position. mu must be held.
func (s *Store) at() mirror.Position { return mirror.Position{Era: s.era, Revision: s.rev} }

func (s *Store) checkUp() error {
	if s.down {
		return errDown()
	}
	return nil
}

func errDown() error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnect, Err: ErrDown}
}

// Era returns the present era; a Client knows only that of its answers.
func (s *Store) Era() mirror.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Range reads all items below prefix.
func (s *Store) Range(_ context.Context, prefix string, from kv.Replica) (kv.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUp(); err != nil {
		return kv.Snapshot{}, err
	}
	out, items, keys := kv.Snapshot{At: s.at()}, s.items, s.sortedKeys()
	if from == kv.Any && s.staleItems != nil {
		out.At, items, keys = s.staleAt, s.staleItems, slices.Sorted(maps.Keys(s.staleItems))
	}
	for _, key := range keys {
		if strings.HasPrefix(key, prefix) {
			out.Items = append(out.Items, items[key].Item)
		}
	}
	return out, nil
}

// sortedKeys returns the keys of the items in order.
func (s *state) sortedKeys() []string {
	if s.keys == nil {
		s.keys = slices.Sorted(maps.Keys(s.items))
	}
	return s.keys
}

// Page reads the first items below prefix whose keys are greater than after, at most limit.
// more means that there are further ones.
func (s *Store) Page(prefix, after string, limit int) (page kv.Snapshot, more bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUp(); err != nil {
		return kv.Snapshot{}, false, err
	}
	keys := s.sortedKeys()
	page.At = s.at()
	i, _ := slices.BinarySearch(keys, max(prefix, after))
	for _, key := range keys[i:] {
		switch {
		case key == after:
			continue
		case !strings.HasPrefix(key, prefix):
			return page, false, nil
		case len(page.Items) == limit:
			return page, true, nil
		}
		page.Items = append(page.Items, s.items[key].Item)
	}
	return page, false, nil
}

// Watch returns the changes below prefix after a revision, as kv.Store does.
func (s *Store) Watch(ctx context.Context, prefix string, after mirror.Revision, wait time.Duration) (kv.Changes, error) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		c, err := s.since(prefix, after)
		changed := s.changed
		s.mu.Unlock()
		if err != nil || len(c.Events) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-timeout:
			return c, nil
		case <-ctx.Done():
			return kv.Changes{}, ctx.Err()
		}
	}
}

func (s *Store) since(prefix string, after mirror.Revision) (kv.Changes, error) {
	if err := s.checkUp(); err != nil {
		return kv.Changes{}, err
	}
	if after < s.compactedAt || after > s.rev {
		return kv.Changes{}, kv.ErrCompacted
	}
	c := kv.Changes{At: s.at()}
	for _, ev := range s.history {
		if ev.Revision > after && strings.HasPrefix(ev.Key, prefix) {
			c.Events = append(c.Events, ev)
		}
	}
	return c, nil
}

// Commit runs t, whatever the era of its conditions and leases.
func (s *Store) Commit(_ context.Context, t kv.Txn) (mirror.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUp(); err != nil {
		return mirror.Position{}, err
	}
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return mirror.Position{}, kv.ErrConflict
		}
	}
	for _, w := range t.Writes {
		if w.Lease.ID != 0 && !s.leases[w.Lease.ID] {
			return mirror.Position{}, kv.ErrLeaseLost
		}
	}
	for _, w := range t.Writes {
		s.put(w)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	return s.at(), nil
}

// Grant creates a lease.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (kv.Lease, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUp(); err != nil {
		return kv.Lease{}, 0, err
	}
	s.lastLease++
	s.leases[s.lastLease] = true
	return kv.Lease{ID: s.lastLease, Era: s.era}, ttl, nil
}

// Renew renews the lease with an id.
func (s *Store) Renew(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUp(); err != nil {
		return err
	}
	if !s.leases[id] {
		return kv.ErrLeaseLost
	}
	return nil
}

// Revoke ends the lease with an id.
func (s *Store) Revoke(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUp(); err != nil {
		return err
	}
	delete(s.leases, id)
	for key, e := range s.items {
		if e.lease == id {
			s.remove(key)
		}
	}
	s.notify()
	return nil
}
