package config

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/clock/clocktest"
	"github.com/azurethread/azurethread/decide/fleet"
)

// network connects several States and a platform under one simulated clock.
type network struct {
	now     clock.Time
	rng     *rand.Rand
	seq     int // deliveries so far
	queue   clocktest.Queue[delivery]
	daemons []*testDaemon // by id
	byID    map[fleet.VMID]*testDaemon

	lossRate               float64
	minDelay               time.Duration
	maxDelay               time.Duration
	crossDomainDelay       time.Duration            // added between domains and to the platform
	partitions             map[[2]fleet.Domain]bool // pairs of domains that cannot reach each other
	domainsWithoutPlatform map[fleet.Domain]bool    // domains that cannot reach the platform
	vmsWithoutPlatform     map[fleet.VMID]bool      // single VMs that cannot reach the platform
	platformDown           bool
	reorder                bool
	platform               platformStore
	platformCalls          int
	messages               int
	sizeOf                 func(Message) int // nil: bytes are not counted
	bytes                  int
	hashByRevision         map[uint64]uint64 // hash of the content first applied, by revision
	violations             []string
}

// testDaemon is one daemon; a restart replaces its State.
type testDaemon struct {
	id          fleet.VMID
	domain      fleet.Domain
	incarnation fleet.Incarnation
	st          *State
	ready       Ready
	wake        clock.Time
	revision    uint64 // last revision applied by the current process
	hash        uint64
	appliedAt   clock.Time
	watch       *WatchPlatform
	restored    int
	sent, bytes int
}

type delivery struct {
	to *testDaemon
	st *State // receiving process; dropped if it has restarted since
	ev Event
}

// newNetwork starts perDomain daemons in each of the domains "a", "b", ..., and a
// platform with one service at revision 1.
func newNetwork(seed uint64, domains, perDomain int) *network {
	n := &network{
		now:                    clock.Time(time.Hour),
		rng:                    rand.New(rand.NewPCG(seed, 1)),
		byID:                   map[fleet.VMID]*testDaemon{},
		minDelay:               time.Millisecond,
		maxDelay:               3 * time.Millisecond,
		partitions:             map[[2]fleet.Domain]bool{},
		domainsWithoutPlatform: map[fleet.Domain]bool{},
		vmsWithoutPlatform:     map[fleet.VMID]bool{},
		hashByRevision:         map[uint64]uint64{},
	}
	n.storeDocument(&catalogue.Catalogue{Revision: 1, Services: []catalogue.Service{{Name: "calc-lookup", Revision: 1}}})
	for d := range domains {
		for i := range perDomain {
			domain := fleet.Domain(fmt.Sprintf("%c", 'a'+d))
			if domains > 26 {
				domain = fleet.Domain(fmt.Sprintf("d%02d", d))
			}
			v := &testDaemon{id: fleet.VMID(fmt.Sprintf("%s%d", domain, i)), domain: domain}
			n.daemons = append(n.daemons, v)
			n.byID[v.id] = v
		}
	}
	for _, v := range n.daemons {
		n.startProcess(v)
	}
	n.deliverMembers()
	return n
}

// restart starts a new process of v without any state.
func (n *network) restart(v *testDaemon) {
	n.startProcess(v)
	n.deliverMembers()
}

func (n *network) startProcess(v *testDaemon) {
	v.incarnation++
	v.revision, v.hash = 0, 0
	v.watch = nil
	v.st = New(Config{Self: v.id, Domain: v.domain, Incarnation: v.incarnation, Seed: n.rng.Uint64()})
}

func (n *network) kill(v *testDaemon) {
	v.st = nil
	n.deliverMembers()
}

// knownPerOtherDomain is the number of members of each other domain that a daemon
// knows.
const knownPerOtherDomain = 4

// deliverMembers sends every daemon the membership, after a delay: all members of
// its own domain and some of the others.
func (n *network) deliverMembers() {
	membersByDomain := map[fleet.Domain][]Member{}
	var sample []Member
	for _, v := range n.daemons {
		m := Member{ID: v.id, Domain: v.domain, Incarnation: v.incarnation}
		if v.st == nil {
			m.State = fleet.Dead
		}
		membersByDomain[v.domain] = append(membersByDomain[v.domain], m)
		if len(membersByDomain[v.domain]) <= knownPerOtherDomain {
			sample = append(sample, m)
		}
	}
	events := map[fleet.Domain]*Members{}
	for d, own := range membersByDomain {
		events[d] = &Members{Members: append(slices.Clone(own), sample...)}
	}
	for _, v := range n.daemons {
		if v.st != nil {
			n.deliver(v, events[v.domain], n.memberDelay())
		}
	}
}

// memberDelay keeps membership changes in order unless reorder is set; with
// reorder, daemons keep different views.
func (n *network) memberDelay() time.Duration {
	if !n.reorder {
		return n.maxDelay + time.Duration(n.seq)*time.Nanosecond
	}
	return n.delay()
}

func (n *network) delay() time.Duration {
	return n.minDelay + time.Duration(n.rng.Int64N(int64(n.maxDelay-n.minDelay)+1))
}

func (n *network) deliver(to *testDaemon, ev Event, after time.Duration) {
	n.seq++
	n.queue.Push(n.now.Add(after), delivery{to: to, st: to.st, ev: ev})
}

// run processes all deliveries and ticks of the next d.
func (n *network) run(d time.Duration) {
	until := n.now.Add(d)
	for {
		v, at := n.nextWake()
		if due, x, ok := n.queue.Pop(clock.Min(at, until)); ok {
			n.now = max(n.now, due)
			if x.to.st == x.st && x.st != nil {
				n.step(x.to, x.ev)
			}
			continue
		}
		if v == nil || at.After(until) {
			break
		}
		n.now = max(n.now, at)
		n.step(v, &Tick{})
	}
	n.now = until
}

func (n *network) nextWake() (*testDaemon, clock.Time) {
	var first *testDaemon
	at := clock.Never
	for _, v := range n.daemons {
		if v.st != nil && v.wake.Before(at) {
			first, at = v, v.wake
		}
	}
	return first, at
}

func (n *network) step(v *testDaemon, ev Event) {
	v.st.Step(n.now, ev, &v.ready)
	v.wake = v.ready.WakeAt
	for _, a := range v.ready.Apply {
		n.checkApplied(v, a.Catalogue)
	}
	for _, s := range v.ready.Send {
		n.send(v, s)
	}
	for _, w := range v.ready.Watch {
		n.watch(v, w)
	}
	for _, f := range v.ready.Fetch {
		n.fetch(v, f.Seq)
	}
	for range v.ready.Stop {
		v.watch = nil
	}
	for _, r := range v.ready.Restore {
		n.restore(v, r.Catalogue)
	}
}

// checkApplied checks the invariants of a catalogue that comes into force: the
// revision has not decreased, and its content is the same at every daemon.
func (n *network) checkApplied(v *testDaemon, c *catalogue.Catalogue) {
	h, err := Hash(c)
	if err != nil {
		n.recordViolation("%s: %v", v.id, err)
	}
	if c.Revision < v.revision {
		n.recordViolation("%s went back from revision %d to %d", v.id, v.revision, c.Revision)
	}
	if first, ok := n.hashByRevision[c.Revision]; ok && first != h {
		n.recordViolation("%s applied revision %d with hash %016x, seen before with %016x", v.id, c.Revision, h, first)
	}
	n.hashByRevision[c.Revision] = h
	v.revision, v.hash, v.appliedAt = c.Revision, h, n.now
}

func (n *network) recordViolation(format string, args ...any) {
	n.violations = append(n.violations, fmt.Sprintf(format, args...))
}

func (n *network) send(from *testDaemon, s Send) {
	n.messages++
	from.sent++
	if n.sizeOf != nil {
		size := n.sizeOf(s.Msg)
		n.bytes += size
		from.bytes += size
	}
	to := n.byID[s.To]
	if to == nil || to.st == nil || n.partitioned(from.domain, to.domain) || n.rng.Float64() < n.lossRate {
		return
	}
	delay := n.delay()
	if from.domain != to.domain {
		delay += n.crossDomainDelay
	}
	n.deliver(to, &PeerMessage{From: from.id, Msg: s.Msg}, delay)
}

func (n *network) partitioned(a, b fleet.Domain) bool {
	return n.partitions[[2]fleet.Domain{a, b}] || n.partitions[[2]fleet.Domain{b, a}]
}

func (n *network) reachesPlatform(v *testDaemon) bool {
	return !n.platformDown && !n.domainsWithoutPlatform[v.domain] && !n.vmsWithoutPlatform[v.id]
}

// heal ends all faults and starts the daemons that are down.
func (n *network) heal() {
	n.lossRate = 0
	n.reorder = false
	n.platformDown = false
	clear(n.partitions)
	clear(n.domainsWithoutPlatform)
	for _, v := range n.daemons {
		if v.st == nil {
			n.restart(v)
		}
	}
	n.deliverMembers()
}

// checkConverged returns an error unless all daemons that run have the platform's
// document in force, are confirmed, and have violated no invariant.
func (n *network) checkConverged() error {
	if len(n.violations) > 0 {
		return fmt.Errorf("%v", n.violations)
	}
	want, err := Hash(n.platform.cat)
	if err != nil {
		return err
	}
	for _, v := range n.daemons {
		if v.st == nil {
			continue
		}
		if v.revision != n.platform.cat.Revision || v.hash != want {
			return fmt.Errorf("%s has revision %d with hash %016x, the platform has %d with %016x",
				v.id, v.revision, v.hash, n.platform.cat.Revision, want)
		}
		if d := v.st.Counters().Diverged; d > 0 {
			return fmt.Errorf("%s counted %d divergences: different contents under one revision", v.id, d)
		}
		if st := v.st.Status(n.now); st.CutOff || st.PlatformBehind {
			return fmt.Errorf("%s: %+v", v.id, st)
		}
	}
	return nil
}
