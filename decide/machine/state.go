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
	// LowerFor is how long the platform must have shown a lower version
	// before it counts as restored.
	LowerFor = time.Minute
	// LowerGap is the longest time between two answers of the platform that
	// count as showing a lower version all along. It must exceed the time
	// that the platform holds a watch.
	LowerGap = 45 * time.Second
	// Grace keeps a target that a newer list doesn't hold.
	Grace = 10 * time.Second
	// EpochGrace keeps one that the first list of a new epoch doesn't hold.
	EpochGrace = 5 * time.Minute
	// SilentFor is how long a daemon must have got no message from its
	// neighbours before it watches the platform without being a reader.
	SilentFor = 20 * time.Second
	// JoinWait is the same for a daemon that has no list yet.
	JoinWait = 2 * time.Second
	// RankStagger is the further wait for each rank, so that a failure that
	// all daemons see doesn't make them all watch.
	RankStagger = time.Second
)

const (
	// maxHistory bounds the contents kept to make deltas from.
	maxHistory = 8
	// maxWants bounds the members asked for one list; after them the next
	// digest has to show again that there is something to ask for.
	maxWants = 8
)

// State is one daemon's state of the list and its dissemination. It isn't safe
// for concurrent use.
type State struct {
	self    fleet.VM
	rng     *rand.Rand
	now     clock.Time
	members []fleet.VMID // of the domain, self included, in order of rank

	held        *content // nil before the first list
	history     []*content
	retained    []retainedTarget // in order of id
	changed     bool             // the list in force must be reported
	confirmedAt clock.Time       // when the platform last showed held to any reader; 0: not known

	reading  bool
	platform platformView
	push     push
	catchUp  catchUp
	pushed   map[fleet.VMID]Point      // last push passed on, by root
	served   map[fleet.VMID]clock.Time // last whole list sent, by member
	heard    clock.Time                // last message of another member
	digestAt clock.Time
	digests  int
}

// platformView is what the platform has shown to this daemon.
type platformView struct {
	shown *content   // nil while this daemon doesn't watch
	lower clock.Time // since when that is lower than below; Never if it isn't
	below Point
	seen  clock.Time // when it was last found lower
}

// push is the dissemination of changes with this daemon as the root.
type push struct {
	base *content // before the first change not yet pushed; nil for none
	at   clock.Time
	last clock.Time
}

// catchUp is the fetch of a newer list that a member is known to hold.
type catchUp struct {
	to       Point
	wants    int
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
		platform: platformView{lower: clock.Never},
		push:     push{at: clock.Never},
		catchUp:  catchUp{deadline: clock.Never},
		pushed:   make(map[fleet.VMID]Point),
		served:   make(map[fleet.VMID]clock.Time),
		heard:    now,
	}
	s.digestAt = now.Add(s.around(DigestEvery))
	return s
}

// Held returns the point of the list in force; zero before the first.
func (s *State) Held() Point {
	if s.held == nil {
		return Point{}
	}
	return s.held.point
}

// Step takes one event and fills out with its effects.
func (s *State) Step(now clock.Time, ev Event, out *Ready) {
	out.reset()
	s.now = max(s.now, now)
	switch e := ev.(type) {
	case *Read:
		s.platform.shown = newContent(e.List, s.self.Domain)
		s.compareShown()
	case *Unchanged:
		s.compareShown()
	case *Reading:
		s.reading = e.On
	case *Members:
		s.setMembers(e.IDs, out)
	case *PeerMessage:
		s.message(e, out)
	case *Tick:
	}
	s.run(out)
	if s.changed {
		s.changed = false
		out.Apply = s.list()
	}
	out.Watch = s.watches()
	if !out.Watch {
		s.platform = platformView{lower: clock.Never}
	}
	out.Wake = s.wake()
}

func (s *State) setMembers(ids []fleet.VMID, out *Ready) {
	all := append([]fleet.VMID{s.self.ID}, ids...)
	s.members = slices.Compact(rank.Order("", all))
	for id := range s.pushed {
		if !slices.Contains(s.members, id) {
			delete(s.pushed, id)
		}
	}
	clear(s.served)
	if s.held == nil && s.catchUp.deadline == clock.Never {
		s.askNext(out)
	}
}

func (s *State) message(e *PeerMessage, out *Ready) {
	if e.Msg.Validate() != nil {
		return
	}
	s.heard = s.now
	switch m := e.Msg.(type) {
	case *Digest:
		s.digest(e.From, m, out)
	case *Want:
		s.handleWant(e.From, m.Have, out)
	case *Delta:
		s.delta(e.From, m, out)
	case *Part:
		s.part(m)
	case *Push:
		s.delta(e.From, &m.Delta, out)
		s.forward(m, out)
	}
}

// run does what is due.
func (s *State) run(out *Ready) {
	s.expireRetained()
	if s.push.at <= s.now {
		s.pushChange(out)
	}
	if s.catchUp.deadline <= s.now {
		s.askNext(out)
	}
	if s.digestAt <= s.now {
		s.digestAt = s.now.Add(s.around(DigestEvery))
		s.sendDigest(out)
	}
}

func (s *State) wake() clock.Time {
	w := clock.Min(s.digestAt, clock.Min(s.push.at, s.catchUp.deadline))
	for i := range s.retained {
		w = clock.Min(w, s.retained[i].until)
	}
	if at := s.isolatedAt(); at > s.now {
		w = clock.Min(w, at)
	}
	return w
}

// watches reports whether this daemon should watch the platform.
func (s *State) watches() bool { return s.reading || s.isolatedAt() <= s.now }

// isolatedAt returns from when on this daemon watches although it isn't a
// reader. Without it a daemon missing from its neighbours' membership would
// keep a stale list, or never get one, although it can reach the platform.
func (s *State) isolatedAt() clock.Time {
	wait := SilentFor
	if s.held == nil {
		wait = JoinWait
	}
	rank := slices.Index(s.members, s.self.ID)
	return s.heard.Add(wait + time.Duration(rank)*RankStagger)
}

// around returns a random duration from 3/4 to 5/4 of d, so that daemons don't
// synchronise.
func (s *State) around(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d/2)))
}

func (s *State) send(to fleet.VMID, m Message, out *Ready) {
	out.Sends = append(out.Sends, Send{To: to, Msg: m})
}
