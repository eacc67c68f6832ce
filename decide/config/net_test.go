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

// network joins a handful of States with a platform under one fake clock.
type network struct {
	now   clock.Time
	rng   *rand.Rand
	seq   int // deliveries so far
	queue clocktest.Queue[delivery]
	nodes []*node // by id
	byID  map[fleet.VMID]*node

	loss       float64
	minDelay   time.Duration
	maxDelay   time.Duration
	farDelay   time.Duration            // added between domains and to the platform
	cut        map[[2]fleet.Domain]bool // domains that can't reach each other
	cutStore   map[fleet.Domain]bool    // domains that can't reach the platform
	noStore    map[fleet.VMID]bool      // daemons that alone can't
	storeDown  bool
	reorder    bool
	store      store
	calls      int // platform calls
	messages   int
	sizeOf     func(Message) int // nil: bytes are not counted
	bytes      int
	contents   map[uint64]uint64 // hash first seen in force, by revision
	violations []string
}

// node is one daemon; a restart replaces its State.
type node struct {
	id          fleet.VMID
	domain      fleet.Domain
	incarnation fleet.Incarnation
	st          *State
	ready       Ready
	wake        clock.Time
	revision    uint64 // applied by this process
	hash        uint64
	appliedAt   clock.Time
	watch       *WatchPlatform
	restored    int
	sent, bytes int
}

type delivery struct {
	to *node
	st *State // the process it is for
	ev Event
}

// newNetwork starts perDomain daemons in each of domains "a", "b", ..., over a
// platform holding one service at revision 1.
func newNetwork(seed uint64, domains, perDomain int) *network {
	n := &network{
		now:      clock.Time(time.Hour),
		rng:      rand.New(rand.NewPCG(seed, 1)),
		byID:     map[fleet.VMID]*node{},
		minDelay: time.Millisecond,
		maxDelay: 3 * time.Millisecond,
		cut:      map[[2]fleet.Domain]bool{},
		cutStore: map[fleet.Domain]bool{},
		noStore:  map[fleet.VMID]bool{},
		contents: map[uint64]uint64{},
	}
	n.set(&catalogue.Catalogue{Revision: 1, Services: []catalogue.Service{{Name: "calc-lookup", Revision: 1}}})
	for d := range domains {
		for i := range perDomain {
			domain := fleet.Domain(fmt.Sprintf("%c", 'a'+d))
			if domains > 26 {
				domain = fleet.Domain(fmt.Sprintf("d%02d", d))
			}
			v := &node{id: fleet.VMID(fmt.Sprintf("%s%d", domain, i)), domain: domain}
			n.nodes = append(n.nodes, v)
			n.byID[v.id] = v
		}
	}
	for _, v := range n.nodes {
		n.begin(v)
	}
	n.announce()
	return n
}

// start begins a new process of v, which knows nothing.
func (n *network) start(v *node) {
	n.begin(v)
	n.announce()
}

func (n *network) begin(v *node) {
	v.incarnation++
	v.revision, v.hash = 0, 0
	v.watch = nil
	v.st = New(Config{Self: v.id, Domain: v.domain, Incarnation: v.incarnation, Seed: n.rng.Uint64()})
}

func (n *network) stop(v *node) {
	v.st = nil
	n.announce()
}

// rowSize is how many members of another domain a daemon knows.
const rowSize = 4

// announce tells every daemon the membership, a little later to each: all of
// its own domain, and some of the others.
func (n *network) announce() {
	whole := map[fleet.Domain][]Member{}
	var rows []Member
	for _, v := range n.nodes {
		m := Member{ID: v.id, Domain: v.domain, Incarnation: v.incarnation}
		if v.st == nil {
			m.State = fleet.Dead
		}
		whole[v.domain] = append(whole[v.domain], m)
		if len(whole[v.domain]) <= rowSize {
			rows = append(rows, m)
		}
	}
	events := map[fleet.Domain]*Members{}
	for d, own := range whole {
		events[d] = &Members{Members: append(slices.Clone(own), rows...)}
	}
	for _, v := range n.nodes {
		if v.st != nil {
			n.deliver(v, events[v.domain], n.memberDelay())
		}
	}
}

// memberDelay keeps news of membership in order unless reorder is set; then
// daemons go on with differing views.
func (n *network) memberDelay() time.Duration {
	if !n.reorder {
		return n.maxDelay + time.Duration(n.seq)*time.Nanosecond
	}
	return n.delay()
}

func (n *network) delay() time.Duration {
	return n.minDelay + time.Duration(n.rng.Int64N(int64(n.maxDelay-n.minDelay)+1))
}

func (n *network) deliver(to *node, ev Event, after time.Duration) {
	n.seq++
	n.queue.Push(n.now.Add(after), delivery{to: to, st: to.st, ev: ev})
}

// run passes time.
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

func (n *network) nextWake() (*node, clock.Time) {
	var first *node
	at := clock.Never
	for _, v := range n.nodes {
		if v.st != nil && v.wake.Before(at) {
			first, at = v, v.wake
		}
	}
	return first, at
}

func (n *network) step(v *node, ev Event) {
	v.st.Step(n.now, ev, &v.ready)
	v.wake = v.ready.Wake
	for _, a := range v.ready.Apply {
		n.applied(v, a.Catalogue)
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

// applied checks the invariants of everything that comes into force.
func (n *network) applied(v *node, c *catalogue.Catalogue) {
	h, err := Hash(c)
	if err != nil {
		n.violate("%s: %v", v.id, err)
	}
	if c.Revision < v.revision {
		n.violate("%s fell from %d to %d", v.id, v.revision, c.Revision)
	}
	if first, ok := n.contents[c.Revision]; ok && first != h {
		n.violate("%s holds other content at %d", v.id, c.Revision)
	}
	n.contents[c.Revision] = h
	v.revision, v.hash, v.appliedAt = c.Revision, h, n.now
}

func (n *network) violate(format string, args ...any) {
	n.violations = append(n.violations, fmt.Sprintf(format, args...))
}

func (n *network) send(from *node, s Send) {
	n.messages++
	from.sent++
	if n.sizeOf != nil {
		size := n.sizeOf(s.Msg)
		n.bytes += size
		from.bytes += size
	}
	to := n.byID[s.To]
	if to == nil || to.st == nil || n.parted(from.domain, to.domain) || n.rng.Float64() < n.loss {
		return
	}
	delay := n.delay()
	if from.domain != to.domain {
		delay += n.farDelay
	}
	n.deliver(to, &PeerMessage{From: from.id, Msg: s.Msg}, delay)
}

func (n *network) parted(a, b fleet.Domain) bool {
	return n.cut[[2]fleet.Domain{a, b}] || n.cut[[2]fleet.Domain{b, a}]
}

func (n *network) reaches(v *node) bool {
	return !n.storeDown && !n.cutStore[v.domain] && !n.noStore[v.id]
}

// heal mends everything and starts whoever is down.
func (n *network) heal() {
	n.loss = 0
	n.reorder = false
	n.storeDown = false
	clear(n.cut)
	clear(n.cutStore)
	for _, v := range n.nodes {
		if v.st == nil {
			n.start(v)
		}
	}
	n.announce()
}

// settled returns what is missing for all daemons to hold the platform's
// document.
func (n *network) settled() error {
	if len(n.violations) > 0 {
		return fmt.Errorf("%v", n.violations)
	}
	want, err := Hash(n.store.cat)
	if err != nil {
		return err
	}
	for _, v := range n.nodes {
		if v.st == nil {
			continue
		}
		if v.revision != n.store.cat.Revision || v.hash != want {
			return fmt.Errorf("%s holds %d, the platform %d", v.id, v.revision, n.store.cat.Revision)
		}
		if d := v.st.Counters().Diverged; d > 0 {
			return fmt.Errorf("%s saw %d times two contents under one revision", v.id, d)
		}
		if st := v.st.Status(n.now); st.CutOff || st.PlatformBehind {
			return fmt.Errorf("%s: %+v", v.id, st)
		}
	}
	return nil
}
