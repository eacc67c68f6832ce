package config

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// readMode is what a reader waits for.
type readMode uint8

const (
	readIdle readMode = iota
	readFetching
	readWatching
)

// readSpacing is the least time between the starts of two reads. It merges
// the changes of a burst, and keeps a platform that answers every watch at
// once from being asked in a loop.
const readSpacing = 500 * time.Millisecond

// behindSpacing is the time between reads while the platform shows older data.
const behindSpacing = time.Second

// reading is this daemon's part in reading the platform.
type reading struct {
	mode     readMode
	wanted   bool
	seq      uint64
	deadline clock.Time // when the read under way counts as failed
	next     clock.Time // when the next one starts
	begun    clock.Time // when the last one started
	watches  int        // since the last plain read
	fails    int        // since the last success

	index uint64 // platform's index of its document
	point Point  // content at index
	known bool   // whether index and point are

	ok   bool       // whether a read has succeeded yet
	okAt clock.Time // instant that the last success vouches for

	heartbeats  map[fleet.VMID]clock.Time // last successful read of other members
	tooFewSince clock.Time                // since when too few of better rank read

	behind      bool
	behindSince clock.Time
	restoreAt   clock.Time
}

// working reports whether this daemon reads the platform successfully.
func (r *reading) working(now clock.Time) bool {
	return r.wanted && r.ok && now.Sub(r.okAt) <= TakeoverAfter
}

// age returns the age of the last successful read for messages.
func (r *reading) age(now clock.Time) Age {
	if !r.ok {
		return Unknown
	}
	return toAge(now.Sub(r.okAt))
}

// noteHeartbeat notes that a member has read the platform at the instant at.
func (r *reading) noteHeartbeat(id fleet.VMID, at clock.Time) {
	if r.heartbeats == nil {
		r.heartbeats = map[fleet.VMID]clock.Time{}
	}
	r.heartbeats[id] = max(r.heartbeats[id], at)
}

// isReading reports whether a heartbeat has shown a recent successful read of a
// member.
func (r *reading) isReading(id fleet.VMID, now clock.Time) bool {
	at, ok := r.heartbeats[id]
	return ok && now.Sub(at) <= TakeoverAfter
}

func (r *reading) forget(v view) {
	for id := range r.heartbeats {
		if !v.isOwn(id) {
			delete(r.heartbeats, id)
		}
	}
}

func (r *reading) wake() clock.Time {
	switch {
	case !r.wanted:
		return clock.Never
	case r.mode == readIdle:
		return r.next
	default:
		return r.deadline
	}
}

// wantsToRead decides whether this daemon should read: by rank, or because
// those of better rank have shown no successful read for too long.
func (s *State) wantsToRead() bool {
	r, rank := &s.read, s.view.rank
	if rank < 0 {
		return false
	}
	if rank < ReadersPerDomain {
		return true
	}
	working := 0
	for _, id := range s.view.own.ranked[:rank] {
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

// firstReader reports whether no member of better rank is known to read.
func (s *State) firstReader() bool {
	for _, id := range s.view.own.ranked[:max(0, s.view.rank)] {
		if s.read.isReading(id, s.now) {
			return false
		}
	}
	return true
}

// domainReads reports whether this daemon's domain reads the platform, so that
// a change is about to come from there.
func (s *State) domainReads() bool {
	if s.read.working(s.now) {
		return true
	}
	for _, id := range s.view.own.ranked {
		if s.read.isReading(id, s.now) {
			return true
		}
	}
	return false
}

func (s *State) dueRead(out *Ready) {
	r := &s.read
	if !s.wantsToRead() {
		s.stopReading(out)
		return
	}
	if !r.wanted {
		s.startReading()
	}
	if r.mode != readIdle && !s.now.Before(r.deadline) {
		s.abandonRead(out)
	}
	if r.mode == readIdle && !s.now.Before(r.next) {
		s.beginRead(out)
	}
}

func (s *State) startReading() {
	s.read.wanted = true
	s.read.next = s.now
	if s.view.rank >= ReadersPerDomain {
		s.counters.Takeovers++
	}
}

func (s *State) stopReading(out *Ready) {
	r := &s.read
	if r.mode == readWatching {
		out.Stop = append(out.Stop, StopWatching{Seq: r.seq})
	}
	r.wanted = false
	r.mode = readIdle
	r.fails = 0
	r.behind = false
}

// abandonRead gives up a read that was never answered.
func (s *State) abandonRead(out *Ready) {
	if s.read.mode == readWatching {
		out.Stop = append(out.Stop, StopWatching{Seq: s.read.seq})
	}
	s.readFailed()
}

// beginRead watches from the known index, or reads at once: at first, after a
// failure, while the platform is behind, and now and then, since a watch on an
// index that the platform has lost would never return.
func (s *State) beginRead(out *Ready) {
	r := &s.read
	r.seq++
	r.begun = s.now
	if !r.known || r.fails > 0 || r.behind || r.watches >= PlainReadEvery {
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

func (s *State) platformRead(ev *PlatformRead, out *Ready) {
	current := ev.Seq == s.read.seq && s.read.mode != readIdle
	if !current {
		// An answer that was given up on may still bring something newer.
		if ev.Result == ReadDocument && ev.Catalogue != nil {
			s.document(ev, out)
		}
		return
	}
	switch ev.Result {
	case ReadDocument:
		if ev.Catalogue == nil || !s.document(ev, out) {
			s.readFailed()
			return
		}
	case ReadNotModified:
		s.notModified(ev, out)
	case ReadNotFound:
		s.notFound(ev, out)
	default:
		s.readFailed()
		return
	}
	s.readSucceeded(ev)
}

func (s *State) readSucceeded(ev *PlatformRead) {
	r := &s.read
	r.mode = readIdle
	r.fails = 0
	r.ok = true
	r.okAt = max(r.okAt, clock.Min(ev.Confirmed, s.now))
	r.next = max(s.now, r.begun.Add(readSpacing))
	if r.behind {
		r.next = s.now.Add(behindSpacing)
	}
	s.counters.Reads++
}

// readFailed sets the time of the next attempt. Those of later ranks are
// farther apart, so that in an outage the whole fleet doesn't call the
// platform.
func (s *State) readFailed() {
	r := &s.read
	r.mode = readIdle
	r.fails++
	s.counters.ReadsFailed++
	wait := min(MaxReadBackoff, MinReadBackoff<<min(r.fails-1, 8))
	if s.view.rank >= ReadersPerDomain {
		wait = MaxReadBackoff * time.Duration(s.view.rank-ReadersPerDomain+1)
	}
	r.next = s.now.Add(s.around(wait))
}

// document takes the platform's document; it returns false if that is
// unreadable.
func (s *State) document(ev *PlatformRead, out *Ready) bool {
	c, err := newContent(ev.Catalogue)
	if err != nil || c.cat.Revision > MaxRevision {
		s.counters.Malformed++
		return false
	}
	r := &s.read
	p := c.point()
	r.index, r.point, r.known = ev.Index, p, true
	if s.held == nil {
		s.offerJoin(offer{content: c, confirmed: true, at: ev.Confirmed}, out)
		return true
	}
	s.checkLineage(p, ev.Lineage)
	before := s.held
	if s.adopt(c, out) {
		s.originate(before, s.firstReader())
	} else if p == s.held.point() {
		s.announce()
	}
	s.confirmHeld(p, ev.Confirmed)
	s.checkBehind(p, ev.Confirmed, out)
	return true
}

func (s *State) notModified(ev *PlatformRead, out *Ready) {
	s.confirmHeld(s.read.point, ev.Confirmed)
	if s.held != nil {
		s.checkBehind(s.read.point, ev.Confirmed, out)
	}
}

func (s *State) notFound(ev *PlatformRead, out *Ready) {
	r := &s.read
	r.index, r.point, r.known = ev.Index, Point{}, ev.Index > 0
	if s.held == nil {
		return
	}
	s.checkBehind(Point{}, ev.Confirmed, out)
}

// checkLineage detects a platform that was restored to older data and has
// accepted writes since: what is in force here is not part of its history.
func (s *State) checkLineage(p Point, lineage []Point) {
	held := s.held.point()
	if p.Revision <= held.Revision || len(lineage) == 0 {
		return
	}
	oldest := lineage[0].Revision
	for _, l := range lineage {
		if l == held {
			return
		}
		oldest = min(oldest, l.Revision)
	}
	if oldest <= held.Revision {
		s.counters.HistoryLost++
	}
}

// checkBehind detects a platform that shows an older revision than the one in
// force, in an answer to a read that began after that came into force.
func (s *State) checkBehind(p Point, asked clock.Time, out *Ready) {
	r := &s.read
	if !s.held.point().supersedes(p) {
		r.behind = false
		return
	}
	if asked.Before(s.heldAt) {
		return
	}
	s.counters.PlatformBehind++
	if !r.behind {
		r.behind = true
		r.behindSince = s.now
		r.restoreAt = s.now.Add(RestoreAfter * time.Duration(s.view.rank+1))
	}
	if s.now.Before(r.restoreAt) || s.catchUp.pending(s.held.cat.Revision, s.now) {
		return
	}
	r.restoreAt = s.now.Add(RestoreAfter)
	s.counters.Restores++
	out.Restore = append(out.Restore, RestorePlatform{Catalogue: s.held.cat})
}
