package machine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/clock/clocktest"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/tally/tallytest"
)

const ownDomain = fleet.Domain("attiki-1")

// daemon is one daemon of the domain, with what the tests observe of it.
type daemon struct {
	vm             fleet.VM
	state          *State // nil while it is down
	out            Ready
	wake           clock.Time
	watches        bool
	stalledReplica *fleet.List // list of the stalled replica that it reads, if any
	shownVersion   uint64      // version that the platform has shown it last
	isolated       bool        // can reach neither other members nor the platform
	applied        *fleet.List
	appliedAt      clock.Time // when applied came into force
	version        ListVersion
	absentSince    map[fleet.TargetID]clock.Time // since when held lacks a target that is in force
}

type delivery struct {
	to    *daemon
	state *State // the process that it is for
	ev    Event
}

// network connects the daemons of one domain with each other and a platform.
type network struct {
	now          clock.Time
	rng          *rand.Rand
	daemons      []*daemon
	byID         map[fleet.VMID]*daemon
	queue        clocktest.Queue[delivery]
	lossRate     float64
	list         fleet.List // of the platform
	platformDown bool
	restored     bool // whether the platform was ever restored from older data
	messages     int
	bytes        int
	violations   []string
}

// confirmEvery is how often the platform answers a watch without a change.
const confirmEvery = 5 * time.Second

// newNetwork starts size daemons; the first two are the readers.
func newNetwork(seed uint64, size, vms, targets int) *network {
	n := &network{now: clock.Time(time.Hour), rng: rand.New(rand.NewPCG(seed, 1)), byID: map[fleet.VMID]*daemon{}}
	n.list.Version = 100
	for i := range vms {
		n.list.VMs = append(n.list.VMs, testVM(i))
	}
	for i := range targets {
		n.list.Targets = append(n.list.Targets, testTarget(i))
	}
	for i := range size {
		v := &daemon{vm: testVM(i)}
		n.daemons = append(n.daemons, v)
		n.byID[v.vm.ID] = v
	}
	for i, v := range n.daemons {
		n.start(v)
		if i < 2 {
			n.step(v, &ReaderRole{On: true})
		}
	}
	return n
}

func testVM(i int) fleet.VM {
	return fleet.VM{
		ID: fleet.VMID(fmt.Sprintf("attiki-1-vm%04d", i)), Region: "attiki", Domain: ownDomain, Site: "attiki-1",
		CallAddr: fmt.Sprintf("10.1.%d.%d:8080", i/256, i%256), PeerAddr: fmt.Sprintf("10.1.%d.%d:8081", i/256, i%256),
	}
}

func testTarget(i int) fleet.Target {
	return fleet.Target{
		ID: fleet.TargetID(fmt.Sprintf("calc-%04d", i)), Service: "calc-lookup", Region: "attiki", Domain: ownDomain,
		Site: "attiki-1", Addr: fmt.Sprintf("10.2.%d.%d:9000", i/256, i%256), Slots: 3, Connections: 330,
	}
}

func (n *network) start(v *daemon) {
	v.state = New(n.now, v.vm, n.rng.Uint64())
	v.applied, v.version, v.watches = nil, ListVersion{}, false
	v.absentSince = map[fleet.TargetID]clock.Time{}
	n.announceMembers()
}

func (n *network) announceMembers() {
	var ids []fleet.VMID
	for _, v := range n.daemons {
		if v.state != nil {
			ids = append(ids, v.vm.ID)
		}
	}
	for _, v := range n.daemons {
		if v.state != nil {
			n.step(v, &Members{IDs: ids})
		}
	}
}

func (n *network) step(v *daemon, ev Event) {
	if r, ok := ev.(*ListRead); ok {
		v.shownVersion = r.List.Version
	}
	v.state.Step(n.now, ev, &v.out)
	n.checkStep(v)
	v.wake = v.out.WakeAt
	n.push(v.wake, v, &Tick{})
	for _, s := range v.out.Sends {
		n.messages++
		n.bytes += tallytest.Size(NewBody(s.Msg))
		to := n.byID[s.To]
		if to.state != nil && !to.isolated && !v.isolated && n.rng.Float64() >= n.lossRate {
			n.push(n.now.Add(time.Millisecond+time.Duration(n.rng.Int64N(int64(time.Millisecond)))), to, &PeerMessage{From: v.vm.ID, Msg: s.Msg})
		}
	}
	if v.out.Watch && !v.watches {
		n.sendList(v)
		n.scheduleConfirmation(v)
	}
	v.watches = v.out.Watch
}

// sendList delivers the platform's list to a daemon.
func (n *network) sendList(v *daemon) {
	if !n.platformDown && !v.isolated {
		l := n.listFor(v)
		l.VMs, l.Targets = slices.Clone(l.VMs), slices.Clone(l.Targets)
		n.push(n.now.Add(2*time.Millisecond), v, &ListRead{List: l})
	}
}

// listFor returns the list that a daemon reads from the platform.
func (n *network) listFor(v *daemon) fleet.List {
	if v.stalledReplica != nil {
		return *v.stalledReplica
	}
	return n.list
}

// scheduleConfirmation schedules the platform's next answer to a watch without
// a change.
func (n *network) scheduleConfirmation(v *daemon) {
	n.push(n.now.Add(confirmEvery), v, &ListUnchanged{})
}

func (n *network) push(at clock.Time, to *daemon, ev Event) {
	n.queue.Push(at, delivery{to: to, state: to.state, ev: ev})
}

// change creates a new version of the platform's list.
func (n *network) change(edit func(*fleet.List)) {
	n.list.VMs, n.list.Targets = slices.Clone(n.list.VMs), slices.Clone(n.list.Targets)
	edit(&n.list)
	n.list.Version++
	n.sendListToWatchers()
}

func (n *network) sendListToWatchers() {
	for _, v := range n.daemons {
		if v.state != nil && v.watches {
			n.sendList(v)
		}
	}
}

func (n *network) run(d time.Duration) {
	until := n.now.Add(d)
	for at, x, ok := n.queue.Pop(until); ok; at, x, ok = n.queue.Pop(until) {
		n.now = max(n.now, at)
		if x.to.state != x.state || x.state == nil {
			continue
		}
		switch x.ev.(type) {
		case *Tick:
			if x.to.wake != at {
				continue
			}
		case *ListUnchanged:
			if !x.to.watches {
				continue
			}
			n.scheduleConfirmation(x.to)
			if n.platformDown || x.to.isolated {
				continue
			}
			if x.to.shownVersion != n.listFor(x.to).Version {
				n.sendList(x.to) // the platform answers a watch on another version with its list
				continue
			}
		}
		n.step(x.to, x.ev)
	}
	n.now = until
}

// checkStep records a violation if a step's effects break a rule of the
// package: a lower version, a new epoch without a restore, or a live target
// lost too early.
func (n *network) checkStep(v *daemon) {
	held := v.state.Held()
	if held.compare(v.version) < 0 {
		n.recordViolation("%s returned from list %v to the older %v", v.vm.ID, v.version, held)
	}
	if held.Epoch > 0 && !n.restored {
		n.recordViolation("%s started epoch %d, but the platform was never restored", v.vm.ID, held.Epoch)
	}
	v.version = held
	if v.out.Apply == nil {
		return
	}
	if v.applied != nil {
		n.checkGrace(v)
	}
	v.applied, v.appliedAt = v.out.Apply, n.now
}

// checkGrace records a violation if a live target vanishes before TargetGrace.
func (n *network) checkGrace(v *daemon) {
	for _, t := range v.applied.Targets {
		if slices.ContainsFunc(v.state.held.targets, func(h fleet.Target) bool { return h.ID == t.ID }) {
			delete(v.absentSince, t.ID)
			continue
		}
		if _, ok := v.absentSince[t.ID]; !ok {
			v.absentSince[t.ID] = n.now
		}
		stays := slices.ContainsFunc(v.out.Apply.Targets, func(a fleet.Target) bool { return a.ID == t.ID })
		if !stays && t.State == fleet.Live && n.now.Sub(v.absentSince[t.ID]) < TargetGrace {
			n.recordViolation("%s dropped target %s after %s", v.vm.ID, t.ID, n.now.Sub(v.absentSince[t.ID]))
		}
	}
}

func (n *network) recordViolation(format string, args ...any) {
	if len(n.violations) > 4 {
		return
	}
	n.violations = append(n.violations, fmt.Sprintf(format, args...))
}

// checkConverged returns an error if there was a violation or a running daemon
// doesn't hold the platform's list.
func (n *network) checkConverged() error {
	for _, v := range n.daemons {
		switch {
		case len(n.violations) > 0:
			return fmt.Errorf("%v", n.violations)
		case v.state == nil:
		case v.applied == nil:
			return fmt.Errorf("%s has no list", v.vm.ID)
		case v.applied.Version != n.list.Version || !slices.Equal(v.applied.Targets, n.list.Targets) || !slices.Equal(v.applied.VMs, n.list.VMs):
			return fmt.Errorf("%s holds version %d with %d targets, the platform has version %d with %d targets", v.vm.ID,
				v.applied.Version, len(v.applied.Targets), n.list.Version, len(n.list.Targets))
		}
	}
	return nil
}
