package machine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

// Intervals and timeouts of the protocol.
const (
	// DigestEvery is the mean time between two Digests sent by a daemon.
	DigestEvery = 4 * time.Second
	// PushEvery is the minimum time between two pushes of one root; changes in
	// between are merged.
	PushEvery = 200 * time.Millisecond
	// WantTimeout is the time without an answer after which a Want is sent to
	// another member.
	WantTimeout = 300 * time.Millisecond
	// LowerVersionFor is how long the platform must have shown lower versions
	// before it counts as restored from older data.
	LowerVersionFor = time.Minute
	// LowerVersionGap is the longest time between two answers with lower
	// versions that count as uninterrupted. It must exceed the time for which
	// the platform holds a watch open.
	LowerVersionGap = 45 * time.Second
	// TargetGrace is how long a target stays in force that a newer list lacks.
	TargetGrace = 10 * time.Second
	// NewEpochGrace is how long a target stays in force that the first list of
	// a new epoch lacks.
	NewEpochGrace = 5 * time.Minute
	// SilenceTimeout is the time without a message from other members after
	// which a daemon watches the platform without being a reader.
	SilenceTimeout = 20 * time.Second
	// JoinTimeout is the same for a daemon that has no list yet.
	JoinTimeout = 2 * time.Second
	// RankStagger is added to SilenceTimeout and JoinTimeout for each rank, so
	// that a failure that affects all daemons doesn't make all of them watch.
	RankStagger = time.Second
)

const (
	// maxHistory limits the earlier lists kept as bases of deltas.
	maxHistory = 8
	// maxWantAttempts limits the members asked for one list. After that, a
	// catch-up starts again only with the next Digest of a newer list.
	maxWantAttempts = 8
)

// State holds one daemon's list and the state of its dissemination. It isn't
// safe for concurrent use.
type State struct {
	self    fleet.VM
	rng     *rand.Rand
	now     clock.Time
	members []fleet.VMID // of the domain, self included, in order of rank

	held        *domainList // nil before the first list
	history     []*domainList
	retained    []retainedTarget // oldest first
	listChanged bool             // the list in force must be reported in Ready.Apply
	confirmedAt clock.Time       // when the platform last showed held to any reader; 0 if not known

	isReader       bool
	platform       platformView
	push           pendingPush
	catchUp        catchUp
	lastForwarded  map[fleet.VMID]ListVersion // last push forwarded, by root
	fullListSentAt map[fleet.VMID]clock.Time  // last whole list sent, by member
	lastHeard      clock.Time                 // last message from another member
	nextDigestAt   clock.Time
	digestsSent    int
}

// platformView holds what the platform has shown to this daemon.
type platformView struct {
	shown       *domainList // nil while this daemon doesn't watch
	lowerSince  clock.Time  // since when shown has been lower than lowerThan; Never if it isn't
	lowerThan   ListVersion
	lastLowerAt clock.Time // when shown was last found to be lower
}

// pendingPush is the next push with this daemon as the root.
type pendingPush struct {
	base       *domainList // list before the first change not yet pushed; nil if there was none
	dueAt      clock.Time
	lastSentAt clock.Time
}

// catchUp is the fetch of a newer list that another member is known to hold.
type catchUp struct {
	wanted   ListVersion
	attempts int
	deadline clock.Time // Never while nothing is being fetched
	parts    assembly
}

// retainedTarget is a target that stays in force although held lacks it.
type retainedTarget struct {
	target fleet.Target
	until  clock.Time
}

// New returns the state of the entry VM self without a list. The seed
// determines its random choices.
func New(now clock.Time, self fleet.VM, seed uint64) *State {
	s := &State{
		self:           self,
		rng:            rand.New(rand.NewPCG(seed, 1)),
		now:            now,
		members:        []fleet.VMID{self.ID},
		platform:       platformView{lowerSince: clock.Never},
		push:           pendingPush{dueAt: clock.Never},
		catchUp:        catchUp{deadline: clock.Never},
		lastForwarded:  make(map[fleet.VMID]ListVersion),
		fullListSentAt: make(map[fleet.VMID]clock.Time),
		lastHeard:      now,
	}
	s.nextDigestAt = now.Add(s.jitter(DigestEvery))
	return s
}

// Held returns the version of the list in force; zero before the first.
func (s *State) Held() ListVersion {
	if s.held == nil {
		return ListVersion{}
	}
	return s.held.version
}

// Step processes one event and fills out with its effects.
func (s *State) Step(now clock.Time, ev Event, out *Ready) {
	out.reset()
	s.now = max(s.now, now)
	switch e := ev.(type) {
	case *ListRead:
		s.platform.shown = newDomainList(e.List, s.self.Domain)
		s.compareShown()
	case *ListUnchanged:
		s.compareShown()
	case *ReaderRole:
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
	out.WakeAt = s.wake()
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

// runDue runs every task that is due.
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

// shouldWatch reports whether this daemon should watch the platform: as a
// reader or because it gets no messages from other members.
func (s *State) shouldWatch() bool { return s.isReader || s.isolatedAt() <= s.now }

// isolatedAt returns the instant from which this daemon watches the platform
// without being a reader. If only readers watched, a daemon that is missing
// from the other members' views would keep a stale list, or never get one,
// although it can reach the platform.
func (s *State) isolatedAt() clock.Time {
	wait := SilenceTimeout
	if s.held == nil {
		wait = JoinTimeout
	}
	rank := slices.Index(s.members, s.self.ID)
	return s.lastHeard.Add(wait + time.Duration(rank)*RankStagger)
}

// jitter returns a random duration from 3/4 to 5/4 of d, so that daemons don't
// act at the same instants.
func (s *State) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d/2)))
}

func (s *State) send(to fleet.VMID, m Message, out *Ready) {
	out.Sends = append(out.Sends, Send{To: to, Msg: m})
}
