package member_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member/membertest"
)

// The answers of a VM no longer reach one other member, while all other links
// work. That member can't distinguish the broken one-way link from a death; the
// indirect probes must keep it from declaring the live VM dead.
func TestOneWayLink(t *testing.T) {
	for _, members := range []int{3, 8, 43} {
		is := is.New(t)
		n := newNetwork(5)
		vms := membertest.Fleet(1, 1, members)
		startAndSettle(n, vms)
		counts := changeCounts(n)
		sender, receiver := vms[0].ID, vms[1].ID
		n.Cut = func(from, to *fleet.VM) bool { return from.ID == sender && to.ID == receiver }
		n.Run(30 * time.Second)
		is.Equal(withdrawnSince(n, counts, sender), 0)
		is.Equal(withdrawnSince(n, counts, receiver), 0)
	}
}

// A one-way link between the two VMs of a domain breaks. The domain has no
// third VM as a relay, so VMs of the region's other domain must relay, or one
// VM declares the other dead although callers reach both.
func TestOneWayLinkInDomainOfTwo(t *testing.T) {
	is := is.New(t)
	n := newNetwork(5)
	vms := membertest.Fleet(1, 2, 2)
	startAndSettle(n, vms)
	counts := changeCounts(n)
	n.Cut = func(from, to *fleet.VM) bool { return from.ID == vms[0].ID && to.ID == vms[1].ID }
	n.Run(30 * time.Second)
	is.Equal(withdrawnSince(n, counts, vms[0].ID), 0)
	is.Equal(withdrawnSince(n, counts, vms[1].ID), 0)
}

// One domain is cut off for a minute, longer than records of dead VMs are
// kept, and then returns. Each side has recorded the other as unreachable.
// They must contact each other again, and then not drop each other repeatedly.
func TestPartitionBetweenDomainsHeals(t *testing.T) {
	for _, c := range fleetShapes[1:4] {
		is := is.New(t)
		n := newNetwork(9)
		vms := membertest.Fleet(c.regions, c.domains, c.members)
		startAndSettle(n, vms)
		cutOff := vms[0].Domain
		n.Cut = func(from, to *fleet.VM) bool { return (from.Domain == cutOff) != (to.Domain == cutOff) }
		n.Run(deadWithin)
		for _, entry := range n.VMs {
			// Each side offers exactly the VMs on its side.
			want := runningOnSide(n, cutOff, entry.VM.Domain == cutOff)
			is.Equal(offers(entry), want)
		}
		n.Run(time.Minute)
		n.Cut = nil
		n.Run(5 * time.Second)
		counts := changeCounts(n)
		is.Equal(len(disagreements(n, runningVMs(n))), 0)
		n.Run(time.Minute)
		for _, vm := range vms {
			is.Equal(withdrawnSince(n, counts, vm.ID), 0)
		}
	}
}

func runningOnSide(n *membertest.Network, d fleet.Domain, inside bool) []fleet.VMID {
	var out []fleet.VMID
	for _, entry := range n.VMs {
		if entry.Up && (entry.VM.Domain == d) == inside {
			out = append(out, entry.VM.ID)
		}
	}
	slices.Sort(out)
	return out
}

// partitionDomain cuts the links between the parts of a domain.
func partitionDomain(n *membertest.Network, d fleet.Domain, part func(id fleet.VMID) int) {
	n.Cut = func(from, to *fleet.VM) bool {
		return from.Domain == d && to.Domain == d && part(from.ID) != part(to.ID)
	}
}

func partIndex(vms []fleet.VM, size int) func(id fleet.VMID) int {
	return func(id fleet.VMID) int {
		return slices.IndexFunc(vms, func(vm fleet.VM) bool { return vm.ID == id }) / size
	}
}

// The two halves of a domain can't reach each other, while callers and other
// domains reach both. With relays only from the own half, each half would drop
// the other.
func TestOtherDomainsRelayAcrossPartition(t *testing.T) {
	is := is.New(t)
	n := newNetwork(11)
	vms := membertest.Fleet(2, 2, 8)
	startAndSettle(n, vms)
	counts := changeCounts(n)
	partitionDomain(n, vms[0].Domain, partIndex(vms, 4))
	n.Run(time.Minute)
	for _, vm := range vms {
		is.Equal(withdrawnSince(n, counts, vm.ID), 0)
	}
}

// As in TestOtherDomainsRelayAcrossPartition, but the region has no other
// domain for relays. Each half has an author that has recorded the other half
// as dead. If the two authors replace each other's rows, the rest of the fleet
// loses one live half at each change.
func TestPartitionedDomainIsOfferedCompletely(t *testing.T) {
	is := is.New(t)
	n := newNetwork(11)
	vms := membertest.Fleet(2, 1, 8)
	startAndSettle(n, vms)
	d := vms[0].Domain
	partitionDomain(n, d, partIndex(vms, 4))
	n.Run(12 * time.Second)
	counts := changeCounts(n)
	n.Run(time.Minute)
	for _, entry := range n.VMs {
		if entry.VM.Domain != d {
			is.Equal(offers(entry), runningVMs(n))
			is.Equal(len(entry.Changes), counts[entry.VM.ID])
		}
	}
	n.Cut = nil
	n.Run(15 * time.Second)
	is.Equal(len(disagreements(n, runningVMs(n))), 0)
}

// A domain is partitioned into three parts, and one part dies. The two others
// must not keep listing its VMs because each finds them in the other's row, or
// the dead VMs are offered permanently.
func TestPartitionedDomainDropsDeadVMs(t *testing.T) {
	is := is.New(t)
	n := newNetwork(11)
	vms := membertest.Fleet(2, 1, 6)
	startAndSettle(n, vms)
	partitionDomain(n, vms[0].Domain, partIndex(vms, 2))
	n.Run(20 * time.Second)
	n.Stop(vms[4].ID)
	n.Stop(vms[5].ID)
	n.Run(20 * time.Second)
	for _, entry := range n.VMs[6:] {
		is.Equal(offers(entry), runningVMs(n))
	}
}

// While two domains are cut off from each other, each loses all VMs that the
// other knows as its representatives. If they asked only those, they would
// never reconnect.
func TestRepresentativesLostDuringCut(t *testing.T) {
	is := is.New(t)
	n := newNetwork(4)
	vms := membertest.Fleet(1, 2, 4)
	startAndSettle(n, vms)
	views := n.VMs[0].State.Domains(nil)
	other := n.VMs[4].State.Domains(nil)
	n.Cut = func(from, to *fleet.VM) bool { return from.Domain != to.Domain }
	n.Run(5 * time.Second)
	for _, vm := range append(other[0].VMs[:2], views[1].VMs[:2]...) {
		n.Stop(vm.ID) // the first two of a row are its representatives
	}
	n.Run(time.Minute)
	n.Cut = nil
	n.Run(15 * time.Second)
	is.Equal(len(runningVMs(n)), 4)
	is.Equal(len(disagreements(n, runningVMs(n))), 0)
}
