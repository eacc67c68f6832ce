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

// Config states who this daemon is.
type Config struct {
	Self        fleet.VMID
	Domain      fleet.Domain
	Incarnation fleet.Incarnation
	// Seed starts the random choice of peers.
	Seed uint64
}

// State is one daemon's state of the configuration and its dissemination. It is
// not safe for concurrent use.
type State struct {
	cfg  Config
	rng  *rand.Rand
	view view

	held    *content   // in force; nil before the first
	heldAt  clock.Time // when it came into force
	history history
	parts   assembly

	confirm confirmation
	join    join
	catchUp catchUp
	push    push
	read    reading
	gossip  gossip

	last     Status
	counters Counters
	now      clock.Time
	started  bool
}

// New returns the state of a daemon that has just started.
func New(cfg Config) *State {
	s := &State{
		cfg: cfg,
		rng: rand.New(rand.NewPCG(cfg.Seed, rank.Score(string(cfg.Self), string(cfg.Domain)))),
	}
	s.view = newView(s.self(), nil)
	return s
}

func (s *State) self() Member {
	return Member{ID: s.cfg.Self, Domain: s.cfg.Domain, Incarnation: s.cfg.Incarnation, State: fleet.Live}
}

// Step takes one event and puts its effects into out, which it clears first.
// now must not fall.
func (s *State) Step(now clock.Time, ev Event, out *Ready) {
	out.reset()
	s.begin(now)
	switch ev := ev.(type) {
	case *Members:
		s.members(ev)
	case *PlatformRead:
		s.platformRead(ev, out)
	case *PeerMessage:
		s.peerMessage(ev, out)
	case *Accepted:
		s.accepted(ev, out)
	case *Tick:
	}
	s.due(out)
	s.finish(out)
}

// begin detects pauses. A process that was suspended for an hour reads messages
// that waited in its sockets; their ages are an hour too low, and would confirm
// a configuration that may be an hour old.
func (s *State) begin(now clock.Time) {
	if !s.started {
		s.started = true
		s.now = now
		s.start()
		return
	}
	if now.Sub(s.now) > PauseBound {
		s.counters.Pauses++
		s.confirm.ignoreUntil = now.Add(PauseSettle)
	}
	s.now = max(now, s.now)
}

// start sets the timers of a new daemon with jitter, so that daemons started
// together don't send together.
func (s *State) start() {
	s.join.begin(s.now)
	s.gossip.nextDigest = s.now.Add(s.jitter(DigestInterval))
	s.gossip.nextCross = s.now.Add(s.jitter(CrossDigestInterval))
	s.gossip.nextHeartbeat = s.now.Add(s.jitter(HeartbeatInterval))
	s.read.tooFewSince = s.now.Add(TakeoverAfter)
}

// jitter returns a random duration below d.
func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *State) members(ev *Members) {
	s.view = newView(s.self(), ev.Members)
	s.join.members = true
	if s.held == nil && !s.join.asked {
		s.join.retry = s.now
	}
	s.gossip.forget(s.view)
	s.read.forget(s.view)
}

func (s *State) peerMessage(ev *PeerMessage, out *Ready) {
	if ev.Msg == nil {
		s.counters.Malformed++
		return
	}
	if err := ev.Msg.check(); err != nil {
		s.countRefusal(err)
		return
	}
	switch m := ev.Msg.(type) {
	case *Digest:
		s.digest(ev.From, m, out)
	case *Want:
		s.want(ev.From, m, out)
	case *Delta:
		s.delta(ev.From, m, out)
	case *Snapshot:
		s.snapshot(ev.From, m, out)
	case *Push:
		s.pushed(ev.From, m, out)
	}
}

// countRefusal counts a refused message by its cause.
func (s *State) countRefusal(err error) {
	switch {
	case errors.Is(err, errFormat):
		s.counters.OtherFormat++
	case errors.Is(err, errHash):
		s.counters.HashMismatch++
	default:
		s.counters.Malformed++
	}
}

func (s *State) accepted(ev *Accepted, out *Ready) {
	c, err := newContent(ev.Catalogue)
	if err != nil {
		s.countRefusal(err)
		return
	}
	before := s.held
	if s.adopt(c, out) {
		s.originate(before, true)
		s.join.end()
	}
	s.confirmHeld(c.point(), ev.Confirmed)
}

// adopt puts c in force if it may be, and reports whether it did. Nothing else
// brings a revision into force.
func (s *State) adopt(c *content, out *Ready) bool {
	if s.held != nil && !s.mayReplace(c) {
		return false
	}
	switch {
	case s.held == nil:
	case s.held.cat.Revision == c.cat.Revision:
		s.history.clear()
	default:
		s.history.record(s.held, c)
	}
	s.held = c
	s.heldAt = s.now
	s.catchUp.prune(c.point())
	s.counters.Applied++
	out.Apply = append(out.Apply, Apply{Catalogue: c.cat})
	return true
}

// adoptFrom is adopt for content that a peer sent. Content from another domain
// is pushed in the own one, which may have no other way to it.
func (s *State) adoptFrom(from fleet.VMID, c *content, out *Ready) bool {
	before := s.held
	if !s.adopt(c, out) {
		return false
	}
	if !s.view.isOwn(from) {
		s.originate(before, true)
	}
	return true
}

// mayReplace holds the two rules that make all daemons agree: the higher
// revision wins, and of two contents under one revision the greater hash.
func (s *State) mayReplace(c *content) bool {
	held, next := s.held.point(), c.point()
	switch {
	case next.Revision < held.Revision:
		s.counters.Lower++
		return false
	case next.Revision > held.Revision:
		return true
	case next.Hash == held.Hash:
		return false
	}
	s.counters.Diverged++
	return next.Hash > held.Hash
}

// point returns what is in force; the zero Point before the first.
func (s *State) point() Point {
	if s.held == nil {
		return Point{}
	}
	return s.held.point()
}

// due runs whatever is due at s.now.
func (s *State) due(out *Ready) {
	s.dueJoin(out)
	s.dueCatchUp(out)
	s.dueRead(out)
	s.duePush(out)
	s.dueGossip(out)
}

// finish reports a changed status and sets the wake time.
func (s *State) finish(out *Ready) {
	if st := s.Status(s.now); st != s.last {
		s.last = st
		out.Status = append(out.Status, StatusChange{Status: st})
	}
	s.counters.MessagesOut += uint64(len(out.Send))
	out.Wake = s.wake()
}

func (s *State) wake() clock.Time {
	w := clock.Min(s.gossip.wake(), s.read.wake())
	w = clock.Min(w, s.join.wake(s.now))
	w = clock.Min(w, s.catchUp.wake(s.now))
	w = clock.Min(w, s.push.wake())
	return clock.Min(w, s.confirm.wake(s.now))
}

func (s *State) send(to fleet.VMID, m Message, out *Ready) {
	out.Send = append(out.Send, Send{To: to, Msg: m})
}

// Ready reports whether a catalogue is in force.
func (s *State) Ready() bool { return s.held != nil }

// Catalogue returns the catalogue in force, or nil. It must not be changed.
func (s *State) Catalogue() *catalogue.Catalogue {
	if s.held == nil {
		return nil
	}
	return s.held.cat
}

// Status returns the status at now.
func (s *State) Status(now clock.Time) Status {
	p := s.point()
	return Status{
		Ready:          s.Ready(),
		CutOff:         s.CutOff(now),
		PlatformBehind: s.read.behind,
		Reading:        s.read.working(now),
		Revision:       p.Revision,
		Hash:           p.Hash,
	}
}

// Counters returns the counts since the start.
func (s *State) Counters() Counters { return s.counters }
