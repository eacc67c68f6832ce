package config

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// readMode is the kind of platform read in progress.
type readMode uint8

const (
	readIdle readMode = iota
	readFetching
	readWatching
)

// readSpacing is the minimum time between the starts of two reads. It merges
// the changes of a burst, and prevents a busy loop if the platform answers every
// watch at once.
const readSpacing = 500 * time.Millisecond

// platformBehindSpacing is the time between reads while the platform returns
// older data.
const platformBehindSpacing = time.Second

// platformReader is the state of this daemon's reads of the platform.
type platformReader struct {
	mode      readMode
	active    bool
	seq       uint64
	deadline  clock.Time // when the read in progress times out
	nextAt    clock.Time // when the next read starts
	startedAt clock.Time // when the last read started
	watches   int        // since the last fetch without a watch
	failures  int        // since the last success

	index      uint64  // platform's index of its document
	version    Version // content at index
	indexKnown bool    // whether index and version are known

	everSucceeded bool       // whether a read has succeeded yet
	lastSuccess   clock.Time // time as of which the last successful read was current

	lastReads   map[fleet.VMID]clock.Time // last successful read of other members
	tooFewSince clock.Time                // since when too few members ranked before this one read successfully

	platformBehind      bool
	platformBehindSince clock.Time
	restoreAt           clock.Time
}

// working reports whether this daemon reads the platform successfully.
func (r *platformReader) working(now clock.Time) bool {
	return r.active && r.everSucceeded && now.Sub(r.lastSuccess) <= TakeoverAfter
}

// age returns the age of the last successful read for messages.
func (r *platformReader) age(now clock.Time) Age {
	if !r.everSucceeded {
		return Unknown
	}
	return toAge(now.Sub(r.lastSuccess))
}

// recordRead records that a member has read the platform at the given time.
func (r *platformReader) recordRead(id fleet.VMID, at clock.Time) {
	if r.lastReads == nil {
		r.lastReads = map[fleet.VMID]clock.Time{}
	}
	r.lastReads[id] = max(r.lastReads[id], at)
}

// isReading reports whether a heartbeat has shown a recent successful read by a
// member.
func (r *platformReader) isReading(id fleet.VMID, now clock.Time) bool {
	at, ok := r.lastReads[id]
	return ok && now.Sub(at) <= TakeoverAfter
}

func (r *platformReader) removeFormerMembers(v view) {
	for id := range r.lastReads {
		if !v.isDomainMember(id) {
			delete(r.lastReads, id)
		}
	}
}

func (r *platformReader) wake() clock.Time {
	switch {
	case !r.active:
		return clock.Never
	case r.mode == readIdle:
		return r.nextAt
	default:
		return r.deadline
	}
}

// shouldRead decides whether this daemon should read the platform: because of its
// rank, or because too few members ranked before it have read successfully for too
// long.
func (s *State) shouldRead() bool {
	r, rank := &s.reader, s.view.rank
	if rank < 0 {
		return false
	}
	if rank < ReadersPerDomain {
		return true
	}
	working := 0
	for _, id := range s.view.domain.ranked[:rank] {
		if r.isReading(id, s.now) {
			working++
		}
	}
	if working >= ReadersPerDomain {
		r.tooFewSince = s.now
		return false
	}
	wait := TakeoverStagger * time.Duration(rank-ReadersPerDomain+1)
	return s.now.Sub(r.tooFewSince) >= wait
}

// isFirstReader reports whether no member ranked before this one is known to read
// the platform.
func (s *State) isFirstReader() bool {
	for _, id := range s.view.domain.ranked[:max(0, s.view.rank)] {
		if s.reader.isReading(id, s.now) {
			return false
		}
	}
	return true
}

// domainHasReader reports whether a member of this daemon's domain reads the
// platform, so that a push of a change can be expected from it.
func (s *State) domainHasReader() bool {
	if s.reader.working(s.now) {
		return true
	}
	for _, id := range s.view.domain.ranked {
		if s.reader.isReading(id, s.now) {
			return true
		}
	}
	return false
}

func (s *State) runReadTimers(out *Ready) {
	r := &s.reader
	if !s.shouldRead() {
		s.deactivateReader(out)
		return
	}
	if !r.active {
		s.activateReader()
	}
	if r.mode != readIdle && !s.now.Before(r.deadline) {
		s.timeOutRead(out)
	}
	if r.mode == readIdle && !s.now.Before(r.nextAt) {
		s.startRead(out)
	}
}

func (s *State) activateReader() {
	s.reader.active = true
	s.reader.nextAt = s.now
	if s.view.rank >= ReadersPerDomain {
		s.counters.Takeovers++
	}
}

func (s *State) deactivateReader(out *Ready) {
	r := &s.reader
	if r.mode == readWatching {
		out.Stop = append(out.Stop, StopWatching{Seq: r.seq})
	}
	r.active = false
	r.mode = readIdle
	r.failures = 0
	r.platformBehind = false
}

// timeOutRead ends a read that was not answered in time.
func (s *State) timeOutRead(out *Ready) {
	if s.reader.mode == readWatching {
		out.Stop = append(out.Stop, StopWatching{Seq: s.reader.seq})
	}
	s.recordReadFailure()
}

// startRead watches from the known index, or fetches the document: if no index
// is known, after a failure, while the platform is behind, and after
// PlainReadEvery watches, since a watch on an index that the platform has lost
// would never return.
func (s *State) startRead(out *Ready) {
	r := &s.reader
	r.seq++
	r.startedAt = s.now
	if !r.indexKnown || r.failures > 0 || r.platformBehind || r.watches >= PlainReadEvery {
		r.mode = readFetching
		r.watches = 0
		r.deadline = s.now.Add(ReadTimeout)
		out.Fetch = append(out.Fetch, FetchPlatform{Seq: r.seq})
		return
	}
	r.mode = readWatching
	r.watches++
	r.deadline = s.now.Add(WatchWait + ReadTimeout)
	out.Watch = append(out.Watch, WatchPlatform{Seq: r.seq, After: r.index, Wait: WatchWait})
}

func (s *State) handlePlatformRead(ev *PlatformRead, out *Ready) {
	current := ev.Seq == s.reader.seq && s.reader.mode != readIdle
	if !current {
		// The answer to a read that has timed out may still hold a newer
		// document.
		if ev.Result == ReadDocument && ev.Catalogue != nil {
			s.handleDocument(ev, out)
		}
		return
	}
	switch ev.Result {
	case ReadDocument:
		if ev.Catalogue == nil || !s.handleDocument(ev, out) {
			s.recordReadFailure()
			return
		}
	case ReadNotModified:
		s.handleNotModified(ev, out)
	case ReadNotFound:
		s.handleNotFound(ev, out)
	default:
		s.recordReadFailure()
		return
	}
	s.recordReadSuccess(ev)
}

func (s *State) recordReadSuccess(ev *PlatformRead) {
	r := &s.reader
	r.mode = readIdle
	r.failures = 0
	r.everSucceeded = true
	r.lastSuccess = max(r.lastSuccess, clock.Min(ev.ConfirmedAt, s.now))
	r.nextAt = max(s.now, r.startedAt.Add(readSpacing))
	if r.platformBehind {
		r.nextAt = s.now.Add(platformBehindSpacing)
	}
	s.counters.Reads++
}

// recordReadFailure sets the time of the next attempt. The backoff grows with the
// position in the ranking, so that during an outage the whole fleet does not call
// the platform.
func (s *State) recordReadFailure() {
	r := &s.reader
	r.mode = readIdle
	r.failures++
	s.counters.ReadsFailed++
	wait := min(MaxReadBackoff, MinReadBackoff<<min(r.failures-1, 8))
	if s.view.rank >= ReadersPerDomain {
		wait = MaxReadBackoff * time.Duration(s.view.rank-ReadersPerDomain+1)
	}
	r.nextAt = s.now.Add(s.withJitter(wait))
}

// handleDocument processes the platform's document. It returns false if the
// document is malformed.
func (s *State) handleDocument(ev *PlatformRead, out *Ready) bool {
	c, err := newContent(ev.Catalogue)
	if err != nil || c.cat.Revision > MaxRevision {
		s.counters.Malformed++
		return false
	}
	r := &s.reader
	v := c.version()
	r.index, r.version, r.indexKnown = ev.Index, v, true
	if s.current == nil {
		s.addJoinOffer(joinOffer{content: c, confirmed: true, confirmedAt: ev.ConfirmedAt}, out)
		return true
	}
	s.checkLineage(v, ev.Lineage)
	before := s.current
	if s.install(c, out) {
		s.schedulePush(before, s.isFirstReader())
	} else if v == s.current.version() {
		s.announceCurrent()
	}
	s.confirmCurrent(v, ev.ConfirmedAt)
	s.checkBehind(v, ev.ConfirmedAt, out)
	return true
}

func (s *State) handleNotModified(ev *PlatformRead, out *Ready) {
	s.confirmCurrent(s.reader.version, ev.ConfirmedAt)
	if s.current != nil {
		s.checkBehind(s.reader.version, ev.ConfirmedAt, out)
	}
}

func (s *State) handleNotFound(ev *PlatformRead, out *Ready) {
	r := &s.reader
	r.index, r.version, r.indexKnown = ev.Index, Version{}, ev.Index > 0
	if s.current == nil {
		return
	}
	s.checkBehind(Version{}, ev.ConfirmedAt, out)
}

// checkLineage detects a platform that was restored from older data and has
// accepted writes since: the content in force here is missing from its lineage.
func (s *State) checkLineage(v Version, lineage []Version) {
	current := s.current.version()
	if v.Revision <= current.Revision || len(lineage) == 0 {
		return
	}
	oldest := lineage[0].Revision
	for _, l := range lineage {
		if l == current {
			return
		}
		oldest = min(oldest, l.Revision)
	}
	if oldest <= current.Revision {
		s.counters.HistoryLost++
	}
}

// checkBehind detects a platform that returns older content than the content in
// force, in an answer to a read that was sent after that came into force. If this
// persists for RestoreDelay times the position in the ranking (from 1), it requests
// that the platform be restored.
func (s *State) checkBehind(v Version, asked clock.Time, out *Ready) {
	r := &s.reader
	if !s.current.version().supersedes(v) {
		r.platformBehind = false
		return
	}
	if asked.Before(s.currentSince) {
		return
	}
	s.counters.PlatformBehind++
	if !r.platformBehind {
		r.platformBehind = true
		r.platformBehindSince = s.now
		r.restoreAt = s.now.Add(RestoreDelay * time.Duration(s.view.rank+1))
	}
	if s.now.Before(r.restoreAt) || s.catchUp.pending(s.current.cat.Revision, s.now) {
		return
	}
	r.restoreAt = s.now.Add(RestoreDelay)
	s.counters.Restores++
	out.Restore = append(out.Restore, RestorePlatform{Catalogue: s.current.cat})
}
