// Package membertest connects member.States by an in-memory network with a fake
// clock, for tests and benchmarks. It simulates latency, lost messages and
// stopped processes; it doesn't depend on the protocol.
package membertest

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/clock/clocktest"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
)

// Epoch is the initial time of a network.
const Epoch = clock.Time(1_800_000_000 * int64(time.Second))

// EntryVM is one entry VM with the process that runs under its id.
type EntryVM struct {
	VM    fleet.VM
	State *member.State
	Up    bool
	// Superseded is set once a step has returned Ready.Superseded.
	Superseded bool
	// Changes lists the changes that were reported.
	Changes []Change

	process int
	wake    clock.Time
	out     member.Ready
}

// Change is one entry of Ready.Changed.
type Change struct {
	At clock.Time
	VM fleet.VM
}

// Network delivers messages between entry VMs.
type Network struct {
	Now     clock.Time
	VMs     []*EntryVM
	Options member.Options
	Seed    uint64
	// Latency returns the one-way latency; 500 µs if nil.
	Latency func(from, to *fleet.VM) time.Duration
	// Cut, if set, reports whether a message from one VM to another is lost.
	Cut func(from, to *fleet.VM) bool
	// Sent, if set, is called for every message sent.
	Sent func(from *EntryVM, s *member.Send)
	// Stepped, if set, is called with the effects of every step.
	Stepped func(n *EntryVM, out *member.Ready)

	byID  map[fleet.VMID]*EntryVM
	queue clocktest.Queue[*delivery]
}

// New returns a network without entry VMs.
func New(seed uint64) *Network {
	return &Network{Now: Epoch, Seed: seed, byID: make(map[fleet.VMID]*EntryVM)}
}

// NewVM returns entry VM number i of a domain.
func NewVM(region fleet.Region, domain fleet.Domain, i int) fleet.VM {
	id := fleet.VMID(fmt.Sprintf("%s-vm-%d", domain, i))
	n := 0
	for _, c := range string(domain) {
		n = (n*31 + int(c)) % 251
	}
	host := fmt.Sprintf("10.%d.%d.%d", n, i/250, 1+i%250)
	return fleet.VM{
		ID:        id,
		Region:    region,
		Domain:    domain,
		Site:      fleet.Site(domain),
		CallAddr:  host + ":8080",
		PeerAddr:  host + ":7946",
		AdminAddr: host + ":8081",
	}
}

// Fleet returns regions x domains x members entry VMs.
func Fleet(regions, domains, members int) []fleet.VM {
	var out []fleet.VM
	for r := range regions {
		region := fleet.Region(fmt.Sprintf("r%02d", r))
		for d := range domains {
			domain := fleet.Domain(fmt.Sprintf("r%02d-d%d", r, d))
			for i := range members {
				out = append(out, NewVM(region, domain, i))
			}
		}
	}
	return out
}

// Start starts a process for vm, in place of an earlier one, with the given
// list of contacts. Its incarnation is the current time unless vm has one.
func (n *Network) Start(vm fleet.VM, contacts []fleet.VM) *EntryVM {
	if vm.Incarnation == 0 {
		vm.Incarnation = fleet.Incarnation(n.Now)
	}
	entry := n.byID[vm.ID]
	if entry == nil {
		entry = &EntryVM{}
		n.byID[vm.ID] = entry
		n.VMs = append(n.VMs, entry)
	}
	entry.VM = vm
	entry.Up = true
	entry.Superseded = false
	entry.process++
	entry.wake = 0
	seed := n.Seed*1000003 + uint64(len(n.VMs))*31 + uint64(entry.process)
	entry.State = member.New(vm, seed, n.Options)
	n.Step(entry, &member.PlatformList{List: fleet.List{VMs: contacts}})
	return entry
}

// VM returns the entry VM with an id.
func (n *Network) VM(id fleet.VMID) *EntryVM { return n.byID[id] }

// Stop ends the process of an entry VM without notice to the others.
func (n *Network) Stop(id fleet.VMID) {
	entry := n.byID[id]
	entry.Up = false
	entry.process++
}

// Step passes an event to an entry VM and sends the resulting messages.
func (n *Network) Step(entry *EntryVM, ev member.Event) {
	entry.State.Step(n.Now, ev, &entry.out)
	if n.Stepped != nil {
		n.Stepped(entry, &entry.out)
	}
	for _, vm := range entry.out.Changed {
		entry.Changes = append(entry.Changes, Change{At: n.Now, VM: vm})
	}
	entry.Superseded = entry.Superseded || entry.out.Superseded
	for i := range entry.out.Sends {
		n.send(entry, &entry.out.Sends[i])
	}
	if entry.out.WakeAt != entry.wake {
		entry.wake = entry.out.WakeAt
		n.push(&delivery{at: max(entry.wake, n.Now), entry: entry, process: entry.process})
	}
}

func (n *Network) send(from *EntryVM, s *member.Send) {
	if n.Sent != nil {
		n.Sent(from, s)
	}
	to := n.byID[s.To.ID]
	if to == nil || (n.Cut != nil && n.Cut(&from.VM, &to.VM)) {
		return
	}
	d := 500 * time.Microsecond
	if n.Latency != nil {
		d = n.Latency(&from.VM, &to.VM)
	}
	n.push(&delivery{at: n.Now.Add(d), entry: to, msg: &member.Message{
		From:        from.VM.ID,
		Incarnation: from.State.Self().Incarnation,
		Msg:         s.Msg,
	}})
}

// Run advances the clock by d.
func (n *Network) Run(d time.Duration) { n.RunUntil(n.Now.Add(d)) }

// RunUntil advances the clock to an instant and delivers what is due by then.
func (n *Network) RunUntil(end clock.Time) {
	for _, d, ok := n.queue.Pop(end); ok; _, d, ok = n.queue.Pop(end) {
		n.Now = max(n.Now, d.at)
		n.deliver(d)
	}
	n.Now = end
}

func (n *Network) deliver(d *delivery) {
	switch {
	case !d.entry.Up:
	case d.msg != nil:
		n.Step(d.entry, d.msg)
	case d.process == d.entry.process && d.at == d.entry.wake:
		d.entry.wake = 0
		n.Step(d.entry, &member.Tick{})
	}
}

func (n *Network) push(d *delivery) {
	n.queue.Push(d.at, d)
}

// delivery is a message or, without one, a Tick for the given process.
type delivery struct {
	at      clock.Time
	entry   *EntryVM
	process int
	msg     *member.Message
}
