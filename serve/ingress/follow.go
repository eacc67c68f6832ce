package ingress

import (
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
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
	s.noteEra(s.store.Era())
	if err != nil {
		s.storeFailed(err)
		return
	}
	vms := append(s.membersIn(snap.Items), s.settings.Self)
	if from, ok := s.readers.Source(s.now(), s.settings.Self, vms); ok {
		s.requestReaderUpdate(from, readerCopyTimeout)
	}
}

// membersIn returns the other entry VMs among items of the store.
func (s *Server) membersIn(items []mirror.Item) (vms []fleet.VM) {
	for _, it := range items {
		if !strings.HasPrefix(it.Key, prefixMembers) {
			continue
		}
		if vm, err := decodeMember(it); err == nil && vm.ID != s.settings.Self.ID {
			vms = append(vms, vm) // decoding errors are logged when the copy is applied
		}
	}
	return vms
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
		select {
		case <-time.After(min(d, relayInterval)):
		case <-s.eraNoted:
			return // the store has answered another VM
		case <-s.ctx.Done():
		}
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

// readStore brings the copy up to date: by a full read at the start, when the store has
// dropped the history, when it has come back from a copy and when it has not answered the
// watch before, otherwise by a watch with the given timeout.
func (s *Server) readStore(timeout time.Duration) (readResult, error) {
	at := s.copyAt()
	first, unanswered := !s.copyValid(), s.watchUnanswered
	s.watchUnanswered = false
	if !first && !unanswered && at.Era >= s.knownEra() {
		result, err := s.watchStore(at, timeout)
		if !s.mustReadAll(at, err) {
			s.watchUnanswered = errors.Is(err, kv.ErrNoAnswer)
			return result, err
		}
	}
	if unanswered {
		s.metrics.fullReads.Add("no-answer", 1)
		s.event(eventStore).WithField("revision", at.Revision).Warn("changes were not read in time: reading all keys")
	}
	state, err := s.readAll(first)
	if err != nil {
		return readNothing, err
	}
	return s.applyState(state, first)
}

// mustReadAll reports whether a watch after a position has failed in a way that makes a
// further one useless.
func (s *Server) mustReadAll(at mirror.Position, err error) bool {
	line := s.event(eventStore).WithField("revision", at.Revision)
	switch {
	case errors.Is(err, kv.ErrEra):
		s.metrics.fullReads.Add("era", 1)
	case errors.Is(err, kv.ErrCompacted):
		s.metrics.fullReads.Add("compacted", 1)
		line.Warn("store has compacted its history: reading all keys")
	case errors.Is(err, kv.ErrTooManyChanges):
		s.metrics.fullReads.Add("too-many-changes", 1)
		line.WithError(err).Warn("changes come faster than they are read: reading all keys")
		s.noteBehind()
	default:
		return false
	}
	return true
}

// readAll reads all keys. The first copy may come from an outdated replica: the watch that
// follows returns what is missing. A later full read may not, as the copy would reject it
// as too old. With about 1,900 keys, reading from any replica saves three to four calls at
// full price at each start of a VM.
func (s *Server) readAll(first bool) (mirror.State, error) {
	if !first {
		snap, err := s.rangeAll(kv.Latest)
		return mirror.State{Items: snap.Items, At: snap.At}, err
	}
	snap, err := s.rangeAll(kv.Any)
	outdated := true
	if err == nil && snap.At.Era < s.knownEra() {
		snap, err = s.rangeAll(kv.Latest)
		outdated = false
	}
	if err != nil {
		return mirror.State{}, err
	}
	return mirror.State{Items: snap.Items, At: snap.At, Outdated: outdated, Retained: s.fetchRetained(&snap)}, nil
}

func (s *Server) rangeAll(from kv.Replica) (kv.Snapshot, error) {
	snap, err := s.store.Range(s.ctx, allKeys, from)
	s.noteEra(s.store.Era())
	return snap, err
}

// applyState replaces the copy by a full read.
func (s *Server) applyState(state mirror.State, first bool) (readResult, error) {
	if state.At.Era < s.knownEra() {
		return readNothing, errOldRead
	}
	replaced := false
	result := s.updateCopy(s.storeDegraded(), func(now clock.Time) (changes []mirror.Change) {
		changes, replaced = s.copy.Replace(now, state)
		return changes
	})
	switch {
	case !replaced:
		s.metrics.oldReads.Add(1)
		s.event(eventStore).WithField("revision", state.At.Revision).WithField("era", state.At.Era).
			WithField("copy_revision", s.copyAt().Revision).Warn("all keys were read at an earlier revision than the copy: ignored")
		return readNothing, errOldRead
	case first:
		return readFirstCopy, nil
	default:
		return result, nil
	}
}

// errOldRead means that a read of the store was older than what is known.
var errOldRead = errors.New("ingress: read of the store is older than the copy")

// watchStore waits for changes after a position.
func (s *Server) watchStore(at mirror.Position, timeout time.Duration) (readResult, error) {
	ctx, cancel := s.untilNextEra(at.Era)
	defer cancel()
	c, err := s.store.Watch(ctx, allKeys, at, timeout)
	s.noteEra(s.store.Era())
	if s.knownEra() > at.Era {
		return readNothing, kv.ErrEra
	}
	if err != nil {
		return readNothing, err
	}
	return s.updateCopy(s.storeDegraded(), func(now clock.Time) []mirror.Change {
		changes, _ := s.copy.Apply(now, c.Events, c.At) // refused if a relay has brought a later era
		return changes
	}), nil
}

// updateCopy changes the copy and turns the changes into events, in the same order for all
// sources. storeDegraded means that removals may result from a failure of the store.
func (s *Server) updateCopy(storeDegraded bool, change func(now clock.Time) []mirror.Change) readResult {
	s.copyMu.Lock()
	defer s.copyMu.Unlock()
	before, valid := s.copy.At(), s.copy.Valid()
	changes := change(s.now())
	if valid && s.copy.At().Era > before.Era {
		s.eraEntered(before)
	}
	s.scheduleExpiry()
	if len(changes) == 0 {
		return readNothing
	}
	s.applyChanges(changes, storeDegraded)
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
	if at <= clock.Time(s.storeReadAt.Load()) {
		return
	}
	s.storeReadAt.Store(int64(at))
	if since := s.behindSince.Load(); since != 0 && int64(at) >= since && s.behindSince.CompareAndSwap(since, 0) {
		s.core.Post(&ingress.Behind{})
	}
}

// noteBehind records that the store has changes which this VM cannot read yet.
func (s *Server) noteBehind() {
	now := s.now()
	if s.behindSince.CompareAndSwap(0, int64(now)) {
		s.core.Post(&ingress.Behind{Since: now})
	}
}

// behindFor returns for how long this VM has known of changes that it has not read, 0 if it
// knows of none.
func (s *Server) behindFor() time.Duration {
	since := s.behindSince.Load()
	if since == 0 {
		return 0
	}
	return s.now().Sub(clock.Time(since))
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
