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
	// watchWait is how long the store may hold a watch. An answer may be lost on
	// a connection that is alive; the change in it is seen after that time and
	// the client's own margin.
	watchWait = 2 * time.Second
	// catchUpWait is the wait of the watch that brings the first copy up to date:
	// others rely on this VM once it has heard what is newer, also if that is
	// nothing.
	catchUpWait = time.Millisecond
	// startPause is the pause after the first copy is up to date. The VMs of a fleet
	// that starts list themselves within that time; with the usual pause each read
	// the store once or twice more before it knew whom to follow.
	startPause = time.Second
	// firstCopyWait is how long the reader's copy is awaited. One of 3,300 keys has
	// 0.15 MB, packed; for each of fifty followers that takes a link of 200 Mbit/s
	// 0.3 s, and those wait that were restarted a little earlier than the reader.
	firstCopyWait = 1500 * time.Millisecond
	// watchPause lets changes that come together be read by one call. Calls are
	// priced, and a fleet of 85 made 4,647 of them in a minute with half of this
	// pause. Targets that leave still serve for seconds.
	watchPause = 400 * time.Millisecond
	// retryPause and maxRetryPause bound the time between calls to a store that
	// fails them. Each one is priced, refused ones too, and neighbours pass on
	// what changes meanwhile; keys have to be back 2 s after the store is.
	retryPause    = 400 * time.Millisecond
	maxRetryPause = 1600 * time.Millisecond
	// firstReadPatience is how long the first read may take before neighbours are
	// asked as well. Their copies cross regions, 0.15 MB each with some 3,300 keys,
	// and the store's answer takes a tenth of this time.
	firstReadPatience = 300 * time.Millisecond
	// relayEvery is how often neighbours are asked while the store fails.
	relayEvery = 400 * time.Millisecond
)

// storeBackoff returns a function that gives the next pause between calls to a
// store that fails them, and one that ends the series.
func (s *Server) storeBackoff() (next func() time.Duration, reset func()) {
	b := retry.Backoff{Min: retryPause, Max: maxRetryPause}
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(string(s.set.Self.ID)), uint64(s.set.Self.Incarnation)))
	return func() time.Duration { return b.Next(rng) }, b.Reset
}

// everything is the prefix of all keys. One watch of all of them costs a third
// of three, and almost every change concerns this VM.
const everything = ""

// follow keeps the copy of the store up to date and turns its changes into
// events.
func (s *Server) follow() {
	s.copyOfReader()
	nextPause, resetPause := s.storeBackoff()
	wait := watchWait
	for s.ctx.Err() == nil {
		if s.copyValid() && s.followReader() {
			s.pause(reader.PollInterval)
			continue
		}
		patience := s.relayAfter(firstReadPatience)
		found, err := s.read(wait)
		patience.Stop()
		if err != nil {
			s.storeFailed(err)
			s.relayFor(nextPause())
			continue
		}
		resetPause()
		if found == foundFirst {
			s.storeReached()
			wait = catchUpWait
			continue
		}
		s.storeAnswered()
		s.answerAwaiting()
		switch {
		case wait == catchUpWait:
			s.pause(startPause)
		case found == foundChanges:
			s.pause(watchPause)
		}
		wait = watchWait
	}
}

// copyOfReader has a VM of a large region take its first copy from the one that
// reads the store for it. After a restart of a whole fleet the store would send
// everything to each VM, which takes its link seconds: those that take callers'
// requests would wait for those that don't.
func (s *Server) copyOfReader() {
	patience := s.relayAfter(firstReadPatience)
	snap, err := s.store.Range(s.ctx, prefixMembers, kv.Any)
	patience.Stop()
	if err != nil {
		s.storeFailed(err)
		return
	}
	vms := []fleet.VM{s.set.Self}
	for _, it := range snap.Items {
		if vm, err := decodeMember(it); err == nil && vm.ID != s.set.Self.ID {
			vms = append(vms, vm) // what can't be decoded is said with the copy
		}
	}
	if from, ok := s.readers.Source(s.now(), s.set.Self, vms); ok {
		s.askReader(from, firstCopyWait)
	}
}

// relayAfter has neighbours asked after a while if there is no copy yet: one may
// answer sooner than the store, or it alone.
func (s *Server) relayAfter(d time.Duration) *time.Timer {
	return time.AfterFunc(d, func() {
		if !s.copyValid() {
			s.askRelay()
		}
	})
}

// relayFor has neighbours pass on what they have read for some time.
func (s *Server) relayFor(d time.Duration) {
	for d > 0 && s.ctx.Err() == nil {
		s.askRelay()
		s.pause(min(d, relayEvery))
		d -= relayEvery
	}
}

// found is what a read of the store has brought.
type found uint8

const (
	foundNothing found = iota
	foundChanges
	// foundFirst is the first copy, which may be behind.
	foundFirst
)

// read brings the copy up to date: by a full read at the start and when the
// store has dropped the history, and otherwise by a watch that lasts for wait.
func (s *Server) read(wait time.Duration) (found, error) {
	s.copyMu.Lock()
	valid, asOf := s.copy.Valid(), s.copy.AsOf()
	s.copyMu.Unlock()
	if valid {
		c, err := s.store.Watch(s.ctx, everything, asOf, wait)
		if err == nil {
			return s.take(func() []mirror.Change { return s.copy.Apply(c.Events, c.AsOf) }), nil
		}
		if !errors.Is(err, kv.ErrCompacted) {
			return foundNothing, err
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
	snap, err := s.store.Range(s.ctx, everything, from)
	if err != nil {
		return foundNothing, err
	}
	result := s.take(func() []mirror.Change {
		changes, _ := s.copy.Replace(snap.Items, snap.AsOf)
		return changes
	})
	if !valid {
		result = foundFirst
	}
	return result, nil
}

// take changes the copy and turns the changes into events, in this order for
// all sources.
func (s *Server) take(change func() []mirror.Change) found {
	s.copyMu.Lock()
	defer s.copyMu.Unlock()
	changes := change()
	if len(changes) == 0 {
		return foundNothing
	}
	s.apply(changes, s.storeUnsure())
	return foundChanges
}

func (s *Server) pause(d time.Duration) {
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
	if !s.storeLost.Swap(true) {
		s.event(eventStore).WithError(err).Warn("store is not reachable")
	}
	s.storeTrouble.Store(int64(s.now()))
	s.storeFailures.Add(1)
}

// heardAt notes that what is known was the store's word at an instant.
func (s *Server) heardAt(at clock.Time) {
	if at > clock.Time(s.storeHeard.Load()) {
		s.storeHeard.Store(int64(at))
	}
}

func (s *Server) storeAnswered() {
	s.heardAt(s.now())
	s.storeReached()
}

// storeReached notes that the store can be reached. A VM that follows a reader
// learns it from its lease alone.
func (s *Server) storeReached() {
	if s.storeLost.Swap(false) {
		s.event(eventStore).Info("store is reachable")
	}
}

// unsureFor is how long after a failed call to the store a removal may mean
// that a target could not renew its registration, as this VM could not reach
// the store either.
const unsureFor = 4 * time.Second

// storeUnsure reports whether removals may come from trouble of the store.
func (s *Server) storeUnsure() bool {
	at := s.storeTrouble.Load()
	return at != 0 && s.now().Sub(clock.Time(at)) < unsureFor
}
