package member

import (
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// record is the stored state of a VM of the own domain.
type record struct {
	vm                  fleet.VM // State is Live, Leaving or Dead
	refutations         uint32
	rank                uint64
	suspectedAt         clock.Time        // zero unless suspected
	lastHeard           clock.Time        // last message received from it
	diedAt              clock.Time        // set when State is Dead
	reportedState       fleet.State       // as last reported in Ready.Changed
	reportedIncarnation fleet.Incarnation // as last reported in Ready.Changed
	reported            bool              // whether it was ever reported
}

func (r *record) suspected() bool { return r.suspectedAt != 0 }

func (r *record) dead() bool { return r.vm.State == fleet.Dead }

// contact is a VM named by the platform's list or the seeds.
type contact struct {
	vm         fleet.VM
	lastListed clock.Time // last time the list or the seeds named it
}

// schedule holds the instants at which the periodic tasks are next due.
type schedule struct {
	probe  clock.Time
	random clock.Time
	report clock.Time
	watch  clock.Time
	join   clock.Time // end of joining; Never once joined
}

// State is the view that one entry VM has of the membership. It isn't safe for
// concurrent use.
type State struct {
	opts Options
	self *record
	rng  *rand.Rand

	members      []*record // of the own domain, self included, in ring order
	byID         map[fleet.VMID]*record
	contacts     []contact // in order of id
	rows         []*storedRow
	reachResults []storedReachResult
	watches      []watch
	probes       []probe
	piggyback    []queuedFact
	merged       []mergedVM

	due     schedule
	started bool
	joined  bool
	now     clock.Time
	wake    clock.Time
	seq     uint32

	outbox             outbox
	backupOutbox       outbox
	probeOrder         []fleet.VMID // VMs that probeRandom has yet to ping
	mismatches         []mismatch
	lastSync           clock.Time
	lastRefuted        clock.Time
	unansweredReports  int
	ownRowStale        bool // the own row must be compared with the members
	repeatOwnRowDue    bool // the own row must be pushed again
	dutiesStale        bool // the duties must be compared with those last reported
	dutiesHash         uint64
	superseded         bool
	reachChanged       bool       // the watches must be adapted to changed reachability results
	reportedRemoteVMs  []fleet.VM // of other domains, as last reported in Ready.Changed
	reportedRemoteHash uint64     // remoteHash when reportedRemoteVMs was set
	publishedAt        clock.Time // when the own row was last published
}

// New returns the state of the entry VM self. Its Incarnation must be higher
// than that of every earlier process under the same id; the start instant in
// nanoseconds is suitable. The seed determines all random choices.
func New(self fleet.VM, seed uint64, o Options) *State {
	self.State = fleet.Live
	r := &record{vm: self, rank: rank(self.ID)}
	s := &State{
		opts:    o.withDefaults(),
		self:    r,
		rng:     rand.New(rand.NewPCG(seed, r.rank)),
		members: []*record{r},
		byID:    map[fleet.VMID]*record{self.ID: r},
		wake:    clock.Never,
	}
	s.due.join = clock.Never
	return s
}

// Step processes one event and fills out with its effects. Instants must not
// decrease from one event to the next.
func (s *State) Step(now clock.Time, ev Event, out *Ready) {
	out.reset()
	s.scheduleFirst(now)
	s.extendDeadlines(now)
	s.now = now
	switch e := ev.(type) {
	case *PlatformList:
		s.applyPlatformList(e.List)
	case *Message:
		s.handleMessage(e, out)
	case *SendFailed:
		s.sendFailed(e.To, out)
	case *Leave:
		s.leave()
	case *Tick:
	}
	s.runDue(out)
	s.reportChanges(out)
	s.wake = s.nextWake()
	out.WakeAt = s.wake
}

// scheduleFirst schedules the periodic tasks at the first step, with jitter so
// that VMs that start together don't act at the same instants.
func (s *State) scheduleFirst(now clock.Time) {
	if s.started {
		return
	}
	s.started = true
	s.now = now
	s.due.probe = now.Add(s.jitter(s.opts.ProbeEvery))
	s.due.random = now
	s.due.report = now.Add(s.jitter(minReportInterval))
	s.due.watch = now.Add(s.jitter(s.opts.WatchEvery))
	s.due.join = now.Add(joinTimeout)
	s.self.lastHeard = now
	s.membersChanged()
	for _, vm := range s.opts.Seeds {
		s.addContact(vm)
	}
}

// membersChanged must be called when the members of the own domain change.
func (s *State) membersChanged() {
	s.ownRowStale = true
	s.dutiesStale = true
}

// jitter returns a random duration below d.
func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

// extendDeadlines moves all deadlines after this process was paused. Without
// it, a VM that was paused for seconds would suspect every member when it
// resumes, since each ack is overdue although it waits in a socket buffer.
func (s *State) extendDeadlines(now clock.Time) {
	late := now.Sub(s.wake)
	if s.wake == clock.Never || late < pauseThreshold {
		return
	}
	for i := range s.probes {
		s.probes[i].deadline = s.probes[i].deadline.Add(late)
	}
	for i := range s.watches {
		s.watches[i].extendDeadline(late)
	}
	for _, r := range s.members {
		if r.suspected() {
			r.suspectedAt = r.suspectedAt.Add(late)
		}
	}
}

// runDue runs every task that is due.
func (s *State) runDue(out *Ready) {
	s.expireJoin()
	s.expireProbes(out)
	s.expireSuspicions()
	s.expireTombstones()
	if s.due.probe <= s.now {
		s.due.probe = s.now.Add(s.opts.ProbeEvery)
		s.probeRing(out)
	}
	if s.due.random <= s.now {
		s.runRandom(out)
	}
	if s.due.report <= s.now {
		s.due.report = s.now.Add(s.ReportEvery())
		s.reportLoad(out)
	}
	s.runWatches(out)
	s.refreshOwnRow()
	s.flush(out)
}

func (s *State) runRandom(out *Ready) {
	if !s.joined {
		s.due.random = s.now.Add(joinRetryInterval)
		s.syncWithContacts(out)
		return
	}
	s.due.random = s.now.Add(s.opts.RandomEvery)
	s.probeRandom(out)
}

// ReportEvery returns the time between two load reports of a VM. It is longer
// in a larger domain.
func (s *State) ReportEvery() time.Duration {
	return min(maxReportInterval, max(minReportInterval, time.Duration(s.liveMembers())*reportIntervalPerVM))
}

func (s *State) nextWake() clock.Time {
	w := clock.Min(s.due.probe, s.due.random)
	w = clock.Min(w, clock.Min(s.due.report, s.due.join))
	w = clock.Min(w, clock.Min(s.outbox.due(), s.backupOutbox.due()))
	for i := range s.probes {
		w = clock.Min(w, s.probes[i].deadline)
	}
	for _, r := range s.members {
		if r.suspected() {
			w = clock.Min(w, r.suspectedAt.Add(s.opts.SuspectFor))
		}
	}
	return clock.Min(w, s.nextWatch())
}

// expireJoin ends joining if no other member has answered within joinTimeout.
// While joining, this VM has no duties: a VM that knows only itself would
// publish a row that hides the rest of its domain.
func (s *State) expireJoin() {
	if s.joined || s.now < s.due.join {
		return
	}
	s.completeJoin()
}

func (s *State) completeJoin() {
	if s.joined {
		return
	}
	s.joined = true
	s.due.join = clock.Never
	s.membersChanged()
	s.broadcast(s.factAbout(s.self, true))
}

func (s *State) leave() {
	if s.self.vm.State == fleet.Leaving {
		return
	}
	s.self.vm.State = fleet.Leaving
	s.membersChanged()
	s.broadcast(s.factAbout(s.self, true))
}

// applyPlatformList adds the VMs of the platform's list as contacts. The list
// lags, so it never changes the status of a member.
func (s *State) applyPlatformList(l fleet.List) {
	kept := make(map[fleet.Domain]int)
	for _, vm := range l.VMs {
		if vm.State == fleet.Dead {
			continue
		}
		kept[vm.Domain]++
		if vm.Domain == s.self.vm.Domain || kept[vm.Domain] <= maxContactsPerDomain {
			s.addContact(vm)
		}
	}
	s.expireContacts()
	s.rng.Shuffle(len(s.probeOrder), func(i, j int) {
		s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i]
	})
}

func (s *State) handleMessage(m *Message, out *Ready) {
	if m.From == s.self.vm.ID || m.Msg == nil {
		return
	}
	s.recordHeard(m)
	switch b := m.Msg.(type) {
	case *Ping:
		s.handlePing(m, b, out)
	case *Ack:
		s.handleAck(m, b, out)
	case *PingReq:
		s.handlePingReq(m, b, out)
	case *Sync:
		s.handleSync(m, b, out)
	case *SyncAck:
		s.handleSyncAck(m, b)
	case *Spread:
		s.handleSpread(m, b)
	case *Report:
		s.handleReport(m, out)
	case *ReportAck:
		s.unansweredReports = 0
		s.applyReachResults(b.ReachResults)
	case *Partial:
		s.handlePartial(m, b, out)
	case *PartialAck:
		s.applyReachResults(b.ReachResults)
	case *Watch:
		s.handleWatch(m, b, out)
	case *WatchAck:
		s.handleWatchAck(m, b, out)
	}
}

// recordHeard records that a VM's current process has sent a message, which
// proves that it is live.
func (s *State) recordHeard(m *Message) {
	r := s.byID[m.From]
	if r == nil || m.Incarnation < r.vm.Incarnation {
		return
	}
	r.lastHeard = s.now
}
