package tally

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/clock/clocktest"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/shift"
	"github.com/azurethread/azurethread/decide/tally/tallytest"
)

// entryVM is one simulated entry VM, with its own clock.
type entryVM struct {
	vm            fleet.VM
	state         *State // nil while the entry VM is down
	started       clock.Time
	offset        time.Duration // of its clock from the network's
	out           Ready
	wake          clock.Time    // on the network's clock
	sendDelay     time.Duration // additional delay of messages that it sends
	dropsIncoming bool          // receives no messages
	served        []clock.Time  // instants of its requests, on the network's clock
	reportsNoLoad bool          // sends no Measured events
	slots         uint32
}

type delivery struct {
	to    *entryVM
	state *State // the process that it is addressed to
	event Event
}

// network connects entry VMs by delayed messages. The first entry VM holds the lease.
type network struct {
	now            clock.Time
	rng            *rand.Rand
	vms            []*entryVM
	byID           map[fleet.VMID]*entryVM
	queue          clocktest.Queue[delivery]
	loss           float64
	repeat         bool                  // deliver each message twice
	unreachable    map[fleet.Domain]bool // domains that are cut off from the others
	catalogue      *catalogue.Catalogue
	leader         *entryVM
	extraRequests  int            // additional requests with random blocks by each entry VM every requestGap
	blocks         map[int]uint64 // a block for each position
	messages       int
	bytes          int
	leaderMessages int        // from and to the leader
	leaderBytes    int        // of these messages
	roundEnded     clock.Time // when the evidence last changed
}

const (
	testService = fleet.ServiceName("calc-lookup")
	testShift   = "drain-attiki"
	requestGap  = 100 * time.Millisecond // between two requests of one entry VM
)

func testCatalogue(revision uint64) *catalogue.Catalogue {
	return &catalogue.Catalogue{
		Revision: revision,
		Services: []catalogue.Service{{Name: testService}},
		Shifts: []catalogue.Shift{{
			ID: testShift, Service: testService, From: "r0", To: "r1", State: catalogue.Running,
			Share: 1000, Limits: catalogue.Limits{MaxShare: 5000},
		}},
	}
}

// newNetwork starts perDomain entry VMs in each domain. A region has two
// domains, or three or four with more than 20 domains, so that 77 domains are
// in 22 regions.
func newNetwork(seed uint64, domainCount, perDomain int) *network {
	n := &network{
		now:         clock.Time(1000 * time.Hour),
		rng:         rand.New(rand.NewPCG(seed, 1)),
		byID:        map[fleet.VMID]*entryVM{},
		unreachable: map[fleet.Domain]bool{},
		catalogue:   testCatalogue(1),

		blocks: map[int]uint64{},
	}
	perTwoRegions := 4
	if domainCount > 20 {
		perTwoRegions = 7
	}
	for d := range domainCount {
		for i := range perDomain {
			v := &entryVM{slots: 3, vm: fleet.VM{
				ID:     fleet.VMID(fmt.Sprintf("vm-%02d-%02d", d, i)),
				Region: fleet.Region(fmt.Sprintf("r%d", 2*d/perTwoRegions)),
				Domain: fleet.Domain(fmt.Sprintf("d%02d", d)),
			}}
			n.vms = append(n.vms, v)
			n.byID[v.vm.ID] = v
		}
	}
	for b := uint64(0); len(n.blocks) < shift.Positions; b++ {
		at := int(shift.Position(testShift, b)) * shift.Positions / catalogue.ShareUnit
		if _, ok := n.blocks[at]; !ok {
			n.blocks[at] = b
		}
	}
	n.leader = n.vms[0]
	for _, v := range n.vms {
		n.now = n.now.Add(countIntervalLength / time.Duration(len(n.vms))) // intervals of different entry VMs end at different times
		n.startProcess(v)
	}
	n.announce()
	return n
}

func (n *network) clockOf(v *entryVM) clock.Time { return n.now.Add(v.offset) }

func (n *network) startVM(v *entryVM) {
	n.startProcess(v)
	n.announce()
}

func (n *network) startProcess(v *entryVM) {
	v.state = New(n.clockOf(v), v.vm, Options{})
	v.started = n.now
	n.step(v, &Configured{Catalogue: n.catalogue})
	n.step(v, &LeaseChanged{Held: v == n.leader})
}

func (n *network) stopVM(v *entryVM) {
	v.state = nil
	n.announce()
}

// announce updates the domain views of all entry VMs at the same instant.
func (n *network) announce() {
	for _, v := range n.vms {
		if v.state != nil {
			n.step(v, &FleetChanged{Domains: n.views(v)})
		}
	}
}

func (n *network) views(of *entryVM) []member.DomainView {
	var out []member.DomainView
	for _, v := range n.vms {
		at := slices.IndexFunc(out, func(d member.DomainView) bool { return d.Domain == v.vm.Domain })
		if at < 0 {
			out = append(out, member.DomainView{Region: v.vm.Region, Domain: v.vm.Domain, Reachable: !n.disconnected(of, v)})
			at = len(out) - 1
		}
		if v.state == nil && !n.unreachable[v.vm.Domain] {
			continue
		}
		out[at].Live++
		if v.vm.Domain == of.vm.Domain || len(out[at].VMs) < member.MaxRowVMs {
			out[at].VMs = append(out[at].VMs, v.vm)
		}
	}
	return out
}

func (n *network) disconnected(a, b *entryVM) bool {
	return a.vm.Domain != b.vm.Domain && (n.unreachable[a.vm.Domain] || n.unreachable[b.vm.Domain])
}

func (n *network) step(v *entryVM, ev Event) {
	v.state.Step(n.clockOf(v), ev, &v.out)
	v.wake = clock.Never
	if v.out.WakeAt != clock.Never {
		v.wake = v.out.WakeAt.Add(-v.offset)
		n.push(v.wake, v, &Tick{})
	}
	if v == n.leader && v.out.Evidence {
		n.roundEnded = n.now
	}
	for _, s := range v.out.Sends {
		n.send(v, s)
	}
}

func (n *network) send(from *entryVM, s Send) {
	n.messages++
	size := tallytest.Size(NewBody(s.Msg))
	n.bytes += size
	to := n.byID[s.To]
	if from == n.leader || to == n.leader {
		n.leaderMessages++
		n.leaderBytes += size
	}
	if to.state == nil || to.dropsIncoming || n.disconnected(from, to) || n.rng.Float64() < n.loss {
		return
	}
	delay := time.Millisecond
	if from.vm.Region != to.vm.Region {
		delay = 55 * time.Millisecond
	}
	at := n.now.Add(delay + from.sendDelay + time.Duration(n.rng.Int64N(int64(time.Millisecond))))
	n.push(at, to, &PeerMessage{From: from.vm.ID, Msg: s.Msg})
	if n.repeat {
		n.push(at, to, &PeerMessage{From: from.vm.ID, Msg: s.Msg})
	}
}

func (n *network) push(at clock.Time, to *entryVM, ev Event) {
	n.queue.Push(at, delivery{to: to, state: to.state, event: ev})
}

// positionAt returns the position of the requests of an instant, so that a count
// shows when its requests were made. Successive seconds have distant positions;
// otherwise all requests of a window would be in one part of the shift.
func (n *network) positionAt(t clock.Time) int {
	return int(t/clock.Time(time.Second)) * 37 % shift.Positions
}

// run advances the time by d. Each entry VM serves a request and measures its load
// every requestGap.
func (n *network) run(d time.Duration) {
	for until := n.now.Add(d); n.now < until; n.now = n.now.Add(requestGap) {
		n.deliver(n.now.Add(requestGap))
		for _, v := range n.vms {
			if v.state == nil {
				continue
			}
			v.served = append(v.served, n.now)
			v.state.RecordRequest(testService, "r0", n.blocks[n.positionAt(n.now)], "", 50*time.Millisecond)
			for range n.extraRequests {
				v.state.RecordRequest(testService, "r0", n.rng.Uint64(), "", time.Millisecond)
				latency := time.Duration(n.rng.ExpFloat64() * float64(50*time.Millisecond))
				v.state.Meter().RecordAnswer(n.clockOf(v), testService, latency, true)
			}
			v.state.Meter().RecordAnswer(n.clockOf(v), testService, 50*time.Millisecond, true)
			if !v.reportsNoLoad {
				n.step(v, &Measured{Samples: []Sample{{Service: testService, Capacity: v.slots, InFlight: 1}}})
			}
		}
	}
}

func (n *network) deliver(until clock.Time) {
	begin := n.now
	for at, x, ok := n.queue.Pop(until); ok; at, x, ok = n.queue.Pop(until) {
		n.now = max(n.now, at)
		_, tick := x.event.(*Tick)
		if x.to.state == x.state && (!tick || x.to.wake == at) {
			n.step(x.to, x.event)
		}
	}
	n.now = begin
}

// count returns the count in the evidence, with instants on the network's clock.
func (n *network) count() shift.Count {
	for _, c := range n.leader.state.Evidence(n.clockOf(n.leader)).Counts {
		c.Since = c.Since.Add(-n.leader.offset)
		c.Until = c.Until.Add(-n.leader.offset)
		return c
	}
	return shift.Count{}
}

// plan returns the decision for the shift on the current evidence.
func (n *network) plan() shift.Decision {
	now := n.clockOf(n.leader)
	e := n.leader.state.Evidence(now)
	return shift.Plan(shift.Options{}, shift.Input{
		Now: now, Shift: n.catalogue.Shifts[0], Services: []fleet.ServiceName{testService}, Evidence: &e,
	})
}
