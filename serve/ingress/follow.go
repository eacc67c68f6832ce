package ingress

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/reader"
	"github.com/azurethread/azurethread/decide/retry"
	"github.com/azurethread/azurethread/serve/kv"
)

const (
	// watchTimeout is how long the store may hold a watch. An answer may be lost on
	// a connection that is alive; the change in it is seen after that time and
	// the client's own margin.
	watchTimeout = 2 * time.Second
	// catchUpTimeout is the wait of the watch that brings the first copy up to date:
	// others rely on this VM once it has heard what is newer, also if that is
	// nothing.
	catchUpTimeout = time.Millisecond
	// startupPause is the pause after the first copy is up to date. The VMs of a fleet
	// that starts list themselves within that time; with the usual pause each read
	// the store once or twice more before it knew whom to follow.
	startupPause = time.Second
	// readerCopyTimeout is how long the reader's copy is awaited. One of 3,300 keys has
	// 0.15 MB, packed; for each of fifty followers that takes a link of 200 Mbit/s
	// 0.3 s, and those wait that were restarted a little earlier than the reader.
	readerCopyTimeout = 1500 * time.Millisecond
	// watchPause lets changes that come together be read by one call. Calls are
	// priced, and a fleet of 85 made 4,647 of them in a minute with half of this
	// pause. Targets that leave still serve for seconds.
	watchPause = 400 * time.Millisecond
	// retryPause and maxRetryPause bound the time between calls to a store that
	// fails them. Each one is priced, refused ones too, and neighbours pass on
	// what changes meanwhile; keys have to be back 2 s after the store is.
	retryPause    = 400 * time.Millisecond
	maxRetryPause = 1600 * time.Millisecond
	// neighbourDelay is how long the first read may take before neighbours are
	// asked as well. Their copies cross regions, 0.15 MB each with some 3,300 keys,
	// and the store's answer takes a tenth of this time.
	neighbourDelay = 300 * time.Millisecond
	// relayInterval is how often neighbours are asked while the store fails.
	relayInterval = 400 * time.Millisecond
)

// storeBackoff returns a function that gives the next pause between calls to a
// store that fails them, and one that ends the series.
func (s *Server) storeBackoff() (next func() time.Duration, reset func()) {
	b := retry.Backoff{Min: retryPause, Max: maxRetryPause}
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(string(s.settings.Self.ID)), uint64(s.settings.Self.Incarnation)))
	return func() time.Duration { return b.Next(rng) }, b.Reset
}

// allKeys is the prefix of all keys. One watch of all of them costs a third
// of three, and almost every change concerns this VM.
const allKeys = ""

// followStore keeps the copy of the store up to date and turns its changes into
// events.
func (s *Server) followStore() {
	s.fetchReaderCopy()
	nextPause, resetPause := s.storeBackoff()
	wait := watchTimeout
	for s.ctx.Err() == nil {
		if s.copyValid() && s.followReader() {
			s.sleep(reader.PollInterval)
			continue
		}
		patience := s.askNeighboursAfter(neighbourDelay)
		found, err := s.readStore(wait)
		patience.Stop()
		if err != nil {
			s.storeFailed(err)
			s.askNeighboursFor(nextPause())
			continue
		}
		resetPause()
		if found == readFirstCopy {
			s.storeReached()
			wait = catchUpTimeout
			continue
		}
		s.storeAnswered()
		s.sendCopyToAwaiting()
		switch {
		case wait == catchUpTimeout:
			s.sleep(startupPause)
		case found == readChanges:
			s.sleep(watchPause)
		}
		wait = watchTimeout
	}
}

// fetchReaderCopy has a VM of a large region take its first copy from the one that
// reads the store for it. After a restart of a whole fleet the store would send
// everything to each VM, which takes its link seconds: those that take callers'
// requests would wait for those that don't.
func (s *Server) fetchReaderCopy() {
	patience := s.askNeighboursAfter(neighbourDelay)
	snap, err := s.store.Range(s.ctx, prefixMembers, kv.Any)
	patience.Stop()
	if err != nil {
		s.storeFailed(err)
		return
	}
	vms := []fleet.VM{s.settings.Self}
	for _, it := range snap.Items {
		if vm, err := decodeMember(it); err == nil && vm.ID != s.settings.Self.ID {
			vms = append(vms, vm) // what can't be decoded is said with the copy
		}
	}
	if from, ok := s.readers.Source(s.now(), s.settings.Self, vms); ok {
		s.requestReaderUpdate(from, readerCopyTimeout)
	}
}

// askNeighboursAfter has neighbours asked after a while if there is no copy yet: one may
// answer sooner than the store, or it alone.
func (s *Server) askNeighboursAfter(d time.Duration) *time.Timer {
	return time.AfterFunc(d, func() {
		if !s.copyValid() {
			s.askNeighbours()
		}
	})
}

// askNeighboursFor has neighbours pass on what they have read for some time.
func (s *Server) askNeighboursFor(d time.Duration) {
	for d > 0 && s.ctx.Err() == nil {
		s.askNeighbours()
		s.sleep(min(d, relayInterval))
		d -= relayInterval
	}
}

// readResult is what a read of the store has brought.
type readResult uint8

const (
	readNothing readResult = iota
	readChanges
	// readFirstCopy is the first copy, which may be behind.
	readFirstCopy
)

// readStore brings the copy up to date: by a full read at the start and when the
// store has dropped the history, and otherwise by a watch that lasts for wait.
func (s *Server) readStore(wait time.Duration) (readResult, error) {
	s.copyMu.Lock()
	valid, asOf := s.copy.Valid(), s.copy.AsOf()
	s.copyMu.Unlock()
	if valid {
		c, err := s.store.Watch(s.ctx, allKeys, asOf, wait)
		if err == nil {
			return s.updateCopy(func() []mirror.Change { return s.copy.Apply(c.Events, c.AsOf) }), nil
		}
		if !errors.Is(err, kv.ErrCompacted) {
			return readNothing, err
		}
		s.event(eventStore).WithField("revision", asOf).Warn("store has dropped its history; reading everything")
	}
	// The first copy may be behind: the watch that follows says what is missing.
	// A later one may not, as it would be refused for its age. With some 1,900
	// keys that saves each start of a VM three to four whole calls.
	from := kv.Any
	if valid {
		from = kv.Latest
	}
	snap, err := s.store.Range(s.ctx, allKeys, from)
	if err != nil {
		return readNothing, err
	}
	result := s.updateCopy(func() []mirror.Change {
		changes, _ := s.copy.Replace(snap.Items, snap.AsOf)
		return changes
	})
	if !valid {
		result = readFirstCopy
	}
	return result, nil
}

// updateCopy changes the copy and turns the changes into events, in this order for
// all sources.
func (s *Server) updateCopy(change func() []mirror.Change) readResult {
	s.copyMu.Lock()
	defer s.copyMu.Unlock()
	changes := change()
	if len(changes) == 0 {
		return readNothing
	}
	s.applyChanges(changes, s.storeDegraded())
	return readChanges
}

func (s *Server) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// storeFailed and storeAnswered note whether the store can be reached.
func (s *Server) storeFailed(err error) {
	if s.ctx.Err() != nil {
		return
	}
	if !s.storeUnreachable.Swap(true) {
		s.event(eventStore).WithError(err).Warn("store is not reachable")
	}
	s.storeFailedAt.Store(int64(s.now()))
	s.storeFailures.Add(1)
}

// noteStoreRead notes that what is known was the store's word at an instant.
func (s *Server) noteStoreRead(at clock.Time) {
	if at > clock.Time(s.storeReadAt.Load()) {
		s.storeReadAt.Store(int64(at))
	}
}

func (s *Server) storeAnswered() {
	s.noteStoreRead(s.now())
	s.storeReached()
}

// storeReached notes that the store can be reached. A VM that follows a reader
// learns it from its lease alone.
func (s *Server) storeReached() {
	if s.storeUnreachable.Swap(false) {
		s.event(eventStore).Info("store is reachable")
	}
}

// degradedPeriod is how long after a failed call to the store a removal may mean
// that a target could not renew its registration, as this VM could not reach
// the store either.
const degradedPeriod = 4 * time.Second

// storeDegraded reports whether removals may come from trouble of the store.
func (s *Server) storeDegraded() bool {
	at := s.storeFailedAt.Load()
	return at != 0 && s.now().Sub(clock.Time(at)) < degradedPeriod
}
