package machine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

// The times of the protocol.
const (
	// DigestEvery is the mean time between two digests of a daemon.
	DigestEvery = 4 * time.Second
	// PushEvery is the least time between two pushes of one root; changes in
	// between are merged.
	PushEvery = 200 * time.Millisecond
	// WantTimeout is the time after which another member is asked.
	WantTimeout = 300 * time.Millisecond
	// LowerVersionFor is how long the platform must have shown a lower version
	// before it counts as restored.
	LowerVersionFor = time.Minute
	// LowerVersionGap is the longest time between two answers of the platform that
	// count as showing a lower version all along. It must exceed the time
	// that the platform holds a watch.
	LowerVersionGap = 45 * time.Second
	// TargetGrace keeps a target that a newer list doesn't hold.
	TargetGrace = 10 * time.Second
	// NewEpochGrace keeps one that the first list of a new epoch doesn't hold.
	NewEpochGrace = 5 * time.Minute
	// SilenceTimeout is how long a daemon must have got no message from its
	// neighbours before it watches the platform without being a reader.
	SilenceTimeout = 20 * time.Second
	// JoinTimeout is the same for a daemon that has no list yet.
	JoinTimeout = 2 * time.Second
	// RankStagger is the further wait for each rank, so that a failure that
	// all daemons see doesn't make them all watch.
	RankStagger = time.Second
)

const (
	// maxHistory bounds the contents kept to make deltas from.
	maxHistory = 8
	// maxWantAttempts bounds the members asked for one list; after them the next
	// digest has to show again that there is something to ask for.
	maxWantAttempts = 8
)

// State is one daemon's state of the list and its dissemination. It isn't safe
// for concurrent use.
type State struct {
	self    fleet.VM
	rng     *rand.Rand
	now     clock.Time
	members []fleet.VMID // of the domain, self included, in order of rank

	held        *domainList // nil before the first list
	history     []*domainList
	retained    []retainedTarget // in order of id
	listChanged     bool             // the list in force must be reported
	confirmedAt clock.Time       // when the platform last showed held to any reader; 0: not known

	isReader  bool
	platform platformView
	push     pendingPush
	catchUp  catchUp
	lastForwarded   map[fleet.VMID]ListVersion      // last push passed on, by root
	fullListSentAt   map[fleet.VMID]clock.Time // last whole list sent, by member
	lastHeard    clock.Time                // last message of another member
	nextDigestAt clock.Time
	digestsSent  int
}

// platformView is what the platform has shown to this daemon.
type platformView struct {
	shown *domainList   // nil while this daemon doesn't watch
	lowerSince clock.Time // since when that is lower than below; Never if it isn't
	lowerThan ListVersion
	lastLowerAt  clock.Time // when it was last found lower
}

// pendingPush is the dissemination of changes with this daemon as the root.
type pendingPush struct {
	base *domainList // before the first change not yet pushed; nil for none
	dueAt   clock.Time
	lastSentAt clock.Time
}

// catchUp is the fetch of a newer list that a member is known to hold.
type catchUp struct {
	wanted       ListVersion
	attempts    int
	deadline clock.Time // Never while there is none
	parts    assembly
}

// retainedTarget is a target that the list in force no longer holds.
type retainedTarget struct {
	target fleet.Target
	until  clock.Time
}

// New returns the state of the entry VM self, which knows no list. The seed
// drives its random choices.
func New(now clock.Time, self fleet.VM, seed uint64) *State {
	s := &State{
		self:     self,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      now,
		members:  []fleet.VMID{self.ID},
		platform: platformView{lowerSince: clock.Never},
		push:     pendingPush{dueAt: clock.Never},
		catchUp:  catchUp{deadline: clock.Never},
		lastForwarded:   make(map[fleet.VMID]ListVersion),
		fullListSentAt:   make(map[fleet.VMID]clock.Time),
		lastHeard:    now,
	}
	s.nextDigestAt = now.Add(s.jitter(DigestEvery))
	return s
}

// Held returns the point of the list in force; zero before the first.
func (s *State) Held() ListVersion {
	if s.held == nil {
		return ListVersion{}
	}
	return s.held.version
}

// Step takes one event and fills out with its effects.
func (s *State) Step(now clock.Time, ev Event, out *Ready) {
	out.reset()
	s.now = max(s.now, now)
	switch e := ev.(type) {
	case *Read:
		s.platform.shown = newDomainList(e.List, s.self.Domain)
		s.compareShown()
	case *Unchanged:
		s.compareShown()
	case *Reading:
		s.isReader = e.On
	case *Members:
		s.setMembers(e.IDs, out)
	case *PeerMessage:
		s.handleMessage(e, out)
	case *Tick:
	}
	s.runDue(out)
	if s.listChanged {
		s.listChanged = false
		out.Apply = s.effectiveList()
	}
	out.Watch = s.shouldWatch()
	if !out.Watch {
		s.platform = platformView{lowerSince: clock.Never}
	}
	out.Wake = s.wake()
}

func (s *State) setMembers(ids []fleet.VMID, out *Ready) {
	all := append([]fleet.VMID{s.self.ID}, ids...)
	s.members = slices.Compact(rank.Order("", all))
	for id := range s.lastForwarded {
		if !slices.Contains(s.members, id) {
			delete(s.lastForwarded, id)
		}
	}
	clear(s.fullListSentAt)
	if s.held == nil && s.catchUp.deadline == clock.Never {
		s.requestFromAnother(out)
	}
}

func (s *State) handleMessage(e *PeerMessage, out *Ready) {
	if e.Msg.Validate() != nil {
		return
	}
	s.lastHeard = s.now
	switch m := e.Msg.(type) {
	case *Digest:
		s.handleDigest(e.From, m, out)
	case *Want:
		s.handleWant(e.From, m.Have, out)
	case *Delta:
		s.handleDelta(e.From, m, out)
	case *Part:
		s.handlePart(m)
	case *Push:
		s.handleDelta(e.From, &m.Delta, out)
		s.forwardPush(m, out)
	}
}

// runDue does what is due.
func (s *State) runDue(out *Ready) {
	s.expireRetained()
	if s.push.dueAt <= s.now {
		s.sendPush(out)
	}
	if s.catchUp.deadline <= s.now {
		s.requestFromAnother(out)
	}
	if s.nextDigestAt <= s.now {
		s.nextDigestAt = s.now.Add(s.jitter(DigestEvery))
		s.sendDigest(out)
	}
}

func (s *State) wake() clock.Time {
	w := clock.Min(s.nextDigestAt, clock.Min(s.push.dueAt, s.catchUp.deadline))
	for i := range s.retained {
		w = clock.Min(w, s.retained[i].until)
	}
	if at := s.isolatedAt(); at > s.now {
		w = clock.Min(w, at)
	}
	return w
}

// shouldWatch reports whether this daemon should watch the platform.
func (s *State) shouldWatch() bool { return s.isReader || s.isolatedAt() <= s.now }

// isolatedAt returns from when on this daemon watches although it isn't a
// reader. Without it a daemon missing from its neighbours' membership would
// keep a stale list, or never get one, although it can reach the platform.
func (s *State) isolatedAt() clock.Time {
	wait := SilenceTimeout
	if s.held == nil {
		wait = JoinTimeout
	}
	rank := slices.Index(s.members, s.self.ID)
	return s.lastHeard.Add(wait + time.Duration(rank)*RankStagger)
}

// jitter returns a random duration from 3/4 to 5/4 of d, so that daemons don't
// synchronise.
func (s *State) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d/2)))
}

func (s *State) send(to fleet.VMID, m Message, out *Ready) {
	out.Sends = append(out.Sends, Send{To: to, Msg: m})
}
