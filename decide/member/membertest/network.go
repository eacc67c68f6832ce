// Package membertest joins membership reducers by a small in-memory network
// with a fake clock, for tests and benchmarks. It knows latency, cuts and
// stopped processes, and nothing of what the reducers do.
package membertest

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/clock/clocktest"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
)

// Epoch is the instant at which a network starts.
const Epoch = clock.Time(1_800_000_000 * int64(time.Second))

// EntryVM is one entry VM: the process that runs under its id now.
type EntryVM struct {
	VM    fleet.VM
	State *member.State
	Up    bool
	// Superseded is set once the process was told to give way.
	Superseded bool
	// Changes are the changes reported so far.
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

// Network delivers messages between nodes.
type Network struct {
	Now     clock.Time
	VMs   []*EntryVM
	Options member.Options
	Seed    uint64
	// Latency of one way; 500 µs if nil.
	Latency func(from, to *fleet.VM) time.Duration
	// Cut reports whether a message from one VM to another is lost.
	Cut func(from, to *fleet.VM) bool
	// Sent, if set, sees every message sent.
	Sent func(from *EntryVM, s *member.Send)
	// Stepped, if set, sees every step's effects.
	Stepped func(n *EntryVM, out *member.Ready)

	byID  map[fleet.VMID]*EntryVM
	queue clocktest.Queue[*delivery]
}

// New returns a network without nodes.
func New(seed uint64) *Network {
	return &Network{Now: Epoch, Seed: seed, byID: make(map[fleet.VMID]*EntryVM)}
}

// NewVM describes entry VM number i of a domain.
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

// Fleet describes regions x domains x members entry VMs.
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

// Start runs a process for vm, in place of an earlier one, and gives it the
// list of contacts. Its incarnation is the present instant unless vm has one.
func (n *Network) Start(vm fleet.VM, contacts []fleet.VM) *EntryVM {
	if vm.Incarnation == 0 {
		vm.Incarnation = fleet.Incarnation(n.Now)
	}
	node := n.byID[vm.ID]
	if node == nil {
		node = &EntryVM{}
		n.byID[vm.ID] = node
		n.VMs = append(n.VMs, node)
	}
	node.VM = vm
	node.Up = true
	node.Superseded = false
	node.process++
	node.wake = 0
	seed := n.Seed*1000003 + uint64(len(n.VMs))*31 + uint64(node.process)
	node.State = member.New(vm, seed, n.Options)
	n.Step(node, &member.Listed{List: fleet.List{VMs: contacts}})
	return node
}

// VM returns the node of an id.
func (n *Network) VM(id fleet.VMID) *EntryVM { return n.byID[id] }

// Stop ends the process of a node without a word.
func (n *Network) Stop(id fleet.VMID) {
	node := n.byID[id]
	node.Up = false
	node.process++
}

// Step gives an event to a node now and delivers its effects.
func (n *Network) Step(node *EntryVM, ev member.Event) {
	node.State.Step(n.Now, ev, &node.out)
	if n.Stepped != nil {
		n.Stepped(node, &node.out)
	}
	for _, vm := range node.out.Changed {
		node.Changes = append(node.Changes, Change{At: n.Now, VM: vm})
	}
	node.Superseded = node.Superseded || node.out.Superseded
	for i := range node.out.Sends {
		n.send(node, &node.out.Sends[i])
	}
	if node.out.Wake != node.wake {
		node.wake = node.out.Wake
		n.push(&delivery{at: max(node.wake, n.Now), node: node, process: node.process})
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
	n.push(&delivery{at: n.Now.Add(d), node: to, msg: &member.Message{
		From:        from.VM.ID,
		Incarnation: from.State.Self().Incarnation,
		Msg:         s.Msg,
	}})
}

// Run lets d pass.
func (n *Network) Run(d time.Duration) { n.RunUntil(n.Now.Add(d)) }

// RunUntil lets time pass up to an instant.
func (n *Network) RunUntil(end clock.Time) {
	for _, d, ok := n.queue.Pop(end); ok; _, d, ok = n.queue.Pop(end) {
		n.Now = max(n.Now, d.at)
		n.deliver(d)
	}
	n.Now = end
}

func (n *Network) deliver(d *delivery) {
	switch {
	case !d.node.Up:
	case d.msg != nil:
		n.Step(d.node, d.msg)
	case d.process == d.node.process && d.at == d.node.wake:
		d.node.wake = 0
		n.Step(d.node, &member.Tick{})
	}
}

func (n *Network) push(d *delivery) {
	n.queue.Push(d.at, d)
}

// delivery is a message, or without one a Tick of the given process.
type delivery struct {
	at      clock.Time
	node    *EntryVM
	process int
	msg     *member.Message
}
