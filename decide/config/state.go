package config

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

// Config identifies this daemon.
type Config struct {
	Self        fleet.VMID
	Domain      fleet.Domain
	Incarnation fleet.Incarnation
	// Seed initialises the random number generator for the choice of peers and
	// the jitter of timers.
	Seed uint64
}

// State holds the configuration in force at one daemon and the state of its
// dissemination. It is not safe for concurrent use.
type State struct {
	cfg  Config
	rng  *rand.Rand
	view view

	current      *content   // in force; nil until the first is installed
	currentSince clock.Time // when it came into force
	history      history
	assembly     snapshotAssembly

	confirmation confirmation
	join         join
	catchUp      catchUp
	push         push
	reader       platformReader
	gossip       gossip

	lastStatus Status
	counters   Counters
	now        clock.Time
	started    bool
}

// New returns the state of a daemon that has just started.
func New(cfg Config) *State {
	s := &State{
		cfg: cfg,
		rng: rand.New(rand.NewPCG(cfg.Seed, rank.Score(string(cfg.Self), string(cfg.Domain)))),
	}
	s.view = newView(s.selfMember(), nil)
	return s
}

func (s *State) selfMember() Member {
	return Member{ID: s.cfg.Self, Domain: s.cfg.Domain, Incarnation: s.cfg.Incarnation, State: fleet.Live}
}

// Step processes one event and stores its effects in out, which it clears first.
// now must not decrease.
func (s *State) Step(now clock.Time, ev Event, out *Ready) {
	out.reset()
	s.beginStep(now)
	switch ev := ev.(type) {
	case *Members:
		s.handleMembers(ev)
	case *PlatformRead:
		s.handlePlatformRead(ev, out)
	case *PeerMessage:
		s.handlePeerMessage(ev, out)
	case *Accepted:
		s.handleAccepted(ev, out)
	case *Tick:
	}
	s.runTimers(out)
	s.finishStep(out)
}

// beginStep sets the time and detects pauses. A process that was suspended for an
// hour reads messages that waited in its sockets; the ages in them are an hour too
// low and would confirm a configuration that may be an hour old.
func (s *State) beginStep(now clock.Time) {
	if !s.started {
		s.started = true
		s.now = now
		s.startTimers()
		return
	}
	if now.Sub(s.now) > PauseThreshold {
		s.counters.Pauses++
		s.confirmation.ignorePeersUntil = now.Add(PauseRecovery)
	}
	s.now = max(now, s.now)
}

// startTimers sets the timers of a new daemon with jitter, so that daemons that
// start at the same time do not send at the same time.
func (s *State) startTimers() {
	s.join.begin(s.now)
	s.gossip.nextDigest = s.now.Add(s.jitter(DigestInterval))
	s.gossip.nextCrossDomainDigest = s.now.Add(s.jitter(CrossDomainDigestInterval))
	s.gossip.nextHeartbeat = s.now.Add(s.jitter(HeartbeatInterval))
	s.reader.tooFewSince = s.now.Add(TakeoverAfter)
}

// jitter returns a random duration below d.
func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *State) handleMembers(ev *Members) {
	s.view = newView(s.selfMember(), ev.Members)
	s.join.membersKnown = true
	if s.current == nil && !s.join.askedAny {
		s.join.retryAt = s.now
	}
	s.gossip.removeFormerMembers(s.view)
	s.reader.removeFormerMembers(s.view)
}

func (s *State) handlePeerMessage(ev *PeerMessage, out *Ready) {
	if ev.Msg == nil {
		s.counters.Malformed++
		return
	}
	if err := ev.Msg.check(); err != nil {
		s.countRejected(err)
		return
	}
	switch m := ev.Msg.(type) {
	case *Digest:
		s.handleDigest(ev.From, m, out)
	case *UpdateRequest:
		s.handleUpdateRequest(ev.From, m, out)
	case *Delta:
		s.handleDelta(ev.From, m, out)
	case *Snapshot:
		s.handleSnapshot(ev.From, m, out)
	case *Push:
		s.handlePush(ev.From, m, out)
	}
}

// countRejected counts a rejected message by its cause.
func (s *State) countRejected(err error) {
	switch {
	case errors.Is(err, errFormat):
		s.counters.OtherFormat++
	case errors.Is(err, errHash):
		s.counters.HashMismatch++
	default:
		s.counters.Malformed++
	}
}

func (s *State) handleAccepted(ev *Accepted, out *Ready) {
	c, err := newContent(ev.Catalogue)
	if err != nil {
		s.countRejected(err)
		return
	}
	before := s.current
	if s.install(c, out) {
		s.schedulePush(before, true)
		s.join.finish()
	}
	s.confirmCurrent(c.version(), ev.ConfirmedAt)
}

// install puts c in force if it may replace the current content, and reports
// whether it did. This is the only way in which a revision comes into force.
func (s *State) install(c *content, out *Ready) bool {
	if s.current != nil && !s.mayReplace(c) {
		return false
	}
	switch {
	case s.current == nil:
	case s.current.cat.Revision == c.cat.Revision:
		s.history.clear()
	default:
		s.history.record(s.current, c)
	}
	s.current = c
	s.currentSince = s.now
	s.catchUp.prune(c.version())
	s.counters.Applied++
	out.Apply = append(out.Apply, Apply{Catalogue: c.cat})
	return true
}

// installFromPeer installs content that a peer has sent. Content from another
// domain is pushed in this daemon's domain, which may have no other source for it.
func (s *State) installFromPeer(from fleet.VMID, c *content, out *Ready) bool {
	before := s.current
	if !s.install(c, out) {
		return false
	}
	if !s.view.isDomainMember(from) {
		s.schedulePush(before, true)
	}
	return true
}

// mayReplace reports whether c may replace the current content. All daemons
// converge because of its two rules: the higher revision wins, and of two contents
// with the same revision the one with the greater hash.
func (s *State) mayReplace(c *content) bool {
	current, next := s.current.version(), c.version()
	switch {
	case next.Revision < current.Revision:
		s.counters.Lower++
		return false
	case next.Revision > current.Revision:
		return true
	case next.Hash == current.Hash:
		return false
	}
	s.counters.Diverged++
	return next.Hash > current.Hash
}

// currentVersion returns the revision and hash in force, or zeros if no catalogue
// is in force.
func (s *State) currentVersion() Version {
	if s.current == nil {
		return Version{}
	}
	return s.current.version()
}

// runTimers runs all timers that are due.
func (s *State) runTimers(out *Ready) {
	s.runJoinTimers(out)
	s.runCatchUpTimers(out)
	s.runReadTimers(out)
	s.runPushTimer(out)
	s.runGossipTimers(out)
}

// finishStep reports a changed Status and sets the time of the next Tick.
func (s *State) finishStep(out *Ready) {
	if st := s.Status(s.now); st != s.lastStatus {
		s.lastStatus = st
		out.Status = append(out.Status, StatusChange{Status: st})
	}
	s.counters.MessagesOut += uint64(len(out.Send))
	out.WakeAt = s.wake()
}

func (s *State) wake() clock.Time {
	w := clock.Min(s.gossip.wake(), s.reader.wake())
	w = clock.Min(w, s.join.wake(s.now))
	w = clock.Min(w, s.catchUp.wake(s.now))
	w = clock.Min(w, s.push.wake())
	return clock.Min(w, s.confirmation.wake(s.now))
}

func (s *State) send(to fleet.VMID, m Message, out *Ready) {
	out.Send = append(out.Send, Send{To: to, Msg: m})
}

// Ready reports whether a catalogue is in force.
func (s *State) Ready() bool { return s.current != nil }

// Catalogue returns the catalogue in force, or nil. It must not be modified.
func (s *State) Catalogue() *catalogue.Catalogue {
	if s.current == nil {
		return nil
	}
	return s.current.cat
}

// Status returns the status at now.
func (s *State) Status(now clock.Time) Status {
	v := s.currentVersion()
	return Status{
		Ready:          s.Ready(),
		CutOff:         s.CutOff(now),
		PlatformBehind: s.reader.platformBehind,
		Reading:        s.reader.working(now),
		Revision:       v.Revision,
		Hash:           v.Hash,
	}
}

// Counters returns the counts since the start.
func (s *State) Counters() Counters { return s.counters }
