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
	// watchTimeout is how long the store may hold a watch. An answer may be lost
	// although the connection stays open; the change in it is then seen after this
	// time plus the client's own timeout.
	watchTimeout = 2 * time.Second
	// catchUpTimeout is the timeout of the watch that brings the first copy up to
	// date. It is short because other VMs rely on this one as soon as that watch
	// has returned, even without changes.
	catchUpTimeout = time.Millisecond
	// startupPause is the pause after the first copy is up to date. The VMs of a
	// starting fleet register within that time; with watchPause instead, each VM
	// read the store once or twice more before it knew which reader to follow.
	startupPause = time.Second
	// readerCopyTimeout is how long to wait for the reader's copy. A copy of 3,300
	// keys takes 0.15 MB compressed; sending it to fifty followers takes 0.3 s on a
	// link of 200 Mbit/s, and followers that were restarted slightly before the
	// reader wait longer.
	readerCopyTimeout = 1500 * time.Millisecond
	// watchPause is the pause between two watches, so that changes close together
	// are read by one call. Calls are billed, and a fleet of 85 VMs made 4,647 of
	// them in a minute with half of this pause. Draining targets still serve for
	// seconds.
	watchPause = 400 * time.Millisecond
	// retryPause and maxRetryPause are the bounds of the pause between calls to a
	// failing store. Each call is billed, also a refused one, and neighbours relay
	// changes meanwhile; the keys of VMs must be restored 2 s after the store
	// recovers.
	retryPause    = 400 * time.Millisecond
	maxRetryPause = 1600 * time.Millisecond
	// neighbourDelay is how long the first read may take before neighbours are
	// asked too. Their copies cross regions and take 0.15 MB each with about 3,300
	// keys; the store answers in a tenth of this time.
	neighbourDelay = 300 * time.Millisecond
	// relayInterval is the interval between requests to neighbours while the store
	// fails.
	relayInterval = 400 * time.Millisecond
)

// storeBackoff returns a function that computes the next pause between calls to
// a failing store, and one that resets it after a success.
func (s *Server) storeBackoff() (next func() time.Duration, reset func()) {
	b := retry.Backoff{Min: retryPause, Max: maxRetryPause}
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(string(s.settings.Self.ID)), uint64(s.settings.Self.Incarnation)))
	return func() time.Duration { return b.Next(rng) }, b.Reset
}

// noEra means that the store has not answered yet.
const noEra = -1

// noteEra records the store's era after a call. The store is in a later one if it has
// come back from a copy of an earlier state.
func (s *Server) noteEra() {
	era := int64(s.store.Era())
	before := s.storeEra.Load()
	if era <= before || !s.storeEra.CompareAndSwap(before, era) || before == noEra {
		return
	}
	s.event(eventStore).WithField("era", era).WithField("previous", before).WithField("copy_revision", s.copyAsOf()).
		Warn("store has come back from a copy of an earlier state")
}

// allKeys is the prefix of all keys. One watch of all keys costs a third of
// three separate watches, and almost every change concerns this VM.
const allKeys = ""

// followStore keeps the copy of the store up to date and turns its changes into
// events.
func (s *Server) followStore() {
	s.fetchReaderCopy()
	nextPause, resetPause := s.storeBackoff()
	timeout := watchTimeout
	for s.ctx.Err() == nil {
		if s.copyValid() && s.followReader() {
			s.sleep(reader.PollInterval)
			continue
		}
		timer := s.askNeighboursAfter(neighbourDelay)
		result, err := s.readStore(timeout)
		timer.Stop()
		s.noteEra()
		if err != nil {
			s.storeFailed(err)
			s.askNeighboursFor(nextPause())
			continue
		}
		resetPause()
		if result == readFirstCopy {
			s.storeReached()
			timeout = catchUpTimeout
			continue
		}
		s.storeAnswered()
		s.sendCopyToAwaiting()
		switch {
		case timeout == catchUpTimeout:
			s.sleep(startupPause)
		case result == readChanges:
			s.sleep(watchPause)
		}
		timeout = watchTimeout
	}
}

// fetchReaderCopy requests the first copy of a VM in a large region from the VM
// that reads the store for it. After a restart of a whole fleet, sending
// everything to each VM would occupy the store's link for seconds, so VMs that
// receive callers' requests would wait for VMs that receive none.
func (s *Server) fetchReaderCopy() {
	timer := s.askNeighboursAfter(neighbourDelay)
	snap, err := s.store.Range(s.ctx, prefixMembers, kv.Any)
	timer.Stop()
	if err != nil {
		s.storeFailed(err)
		return
	}
	vms := []fleet.VM{s.settings.Self}
	for _, it := range snap.Items {
		if vm, err := decodeMember(it); err == nil && vm.ID != s.settings.Self.ID {
			vms = append(vms, vm) // decoding errors are logged when the copy is applied
		}
	}
	if from, ok := s.readers.Source(s.now(), s.settings.Self, vms); ok {
		s.requestReaderUpdate(from, readerCopyTimeout)
	}
}

// askNeighboursAfter asks neighbours for a copy after d if there is none by
// then: a neighbour may answer sooner than the store, or the store may not
// answer at all.
func (s *Server) askNeighboursAfter(d time.Duration) *time.Timer {
	return time.AfterFunc(d, func() {
		if !s.copyValid() {
			s.askNeighbours()
		}
	})
}

// askNeighboursFor asks neighbours for what they have read, repeatedly for the
// duration d.
func (s *Server) askNeighboursFor(d time.Duration) {
	for d > 0 && s.ctx.Err() == nil {
		s.askNeighbours()
		s.sleep(min(d, relayInterval))
		d -= relayInterval
	}
}

// readResult is the result of reading the store.
type readResult uint8

const (
	readNothing readResult = iota
	readChanges
	// readFirstCopy is the first copy, which may be outdated.
	readFirstCopy
)

// readStore brings the copy up to date: by a full read at the start and when the
// store has dropped the history, otherwise by a watch with the given timeout.
func (s *Server) readStore(timeout time.Duration) (readResult, error) {
	s.copyMu.Lock()
	valid, asOf := s.copy.Valid(), s.copy.AsOf()
	s.copyMu.Unlock()
	if valid {
		c, err := s.store.Watch(s.ctx, allKeys, asOf, timeout)
		if err == nil {
			return s.updateCopy(func() []mirror.Change { return s.copy.Apply(c.Events, c.AsOf) }), nil
		}
		if !errors.Is(err, kv.ErrCompacted) {
			return readNothing, err
		}
		s.event(eventStore).WithField("revision", asOf).Warn("store has compacted its history: reading all keys")
	}
	// The first copy may come from an outdated replica: the watch that follows
	// returns what is missing. A later full read may not, as the copy would reject
	// it as too old. With about 1,900 keys, reading from any replica saves three to
	// four calls at full price at each start of a VM.
	from := kv.Any
	if valid {
		from = kv.Latest
	}
	snap, err := s.store.Range(s.ctx, allKeys, from)
	if err != nil {
		return readNothing, err
	}
	result := s.updateCopy(func() []mirror.Change {
		changes, ok := s.copy.Replace(snap.Items, snap.AsOf)
		if !ok {
			s.metrics.oldReads.Add(1)
			s.event(eventStore).WithField("revision", snap.AsOf).WithField("copy_revision", s.copy.AsOf()).
				Warn("all keys were read at an earlier revision than the copy: ignored")
		}
		return changes
	})
	if !valid {
		result = readFirstCopy
	}
	return result, nil
}

// updateCopy changes the copy and turns the changes into events, in the same
// order for all sources.
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

// storeFailed records a failed call to the store.
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

// noteStoreRead records that the copy matched the store at the given time.
func (s *Server) noteStoreRead(at clock.Time) {
	if at > clock.Time(s.storeReadAt.Load()) {
		s.storeReadAt.Store(int64(at))
	}
}

// storeAnswered records an answer to a read of the store.
func (s *Server) storeAnswered() {
	s.noteStoreRead(s.now())
	s.storeReached()
}

// storeReached records that the store is reachable. A VM that follows a reader
// learns this only from renewing its lease.
func (s *Server) storeReached() {
	if s.storeUnreachable.Swap(false) {
		s.event(eventStore).Info("store is reachable")
	}
}

// degradedPeriod is how long after a failed call to the store a removal may mean
// that the target could not renew its registration: this VM could not reach the
// store either.
const degradedPeriod = 4 * time.Second

// storeDegraded reports whether removals may result from a failure of the store.
func (s *Server) storeDegraded() bool {
	at := s.storeFailedAt.Load()
	return at != 0 && s.now().Sub(clock.Time(at)) < degradedPeriod
}
