package member_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member/membertest"
)

// Symptom: a living VM is declared dead. Sequence: its answers no longer reach
// one neighbour, while all other links work. Cause: a broken one-way link
// looks like a death to the one VM behind it; the relays know better.
func TestOneWayLink(t *testing.T) {
	for _, members := range []int{3, 8, 43} {
		is := is.New(t)
		n := newNetwork(5)
		vms := membertest.Fleet(1, 1, members)
		start(n, vms)
		marks := mark(n)
		mute, deaf := vms[0].ID, vms[1].ID
		n.Cut = func(from, to *fleet.VM) bool { return from.ID == mute && to.ID == deaf }
		n.Run(30 * time.Second)
		is.Equal(withdrawnSince(n, marks, mute), 0)
		is.Equal(withdrawnSince(n, marks, deaf), 0)
	}
}

// Symptom: with two VMs in a domain, one declares the other dead although
// callers reach both. Sequence: the link from one to the other breaks. Cause:
// the domain has no third VM to ask; VMs of the region's other domain are.
func TestOneWayLinkAmongTwo(t *testing.T) {
	is := is.New(t)
	n := newNetwork(5)
	vms := membertest.Fleet(1, 2, 2)
	start(n, vms)
	marks := mark(n)
	n.Cut = func(from, to *fleet.VM) bool { return from.ID == vms[0].ID && to.ID == vms[1].ID }
	n.Run(30 * time.Second)
	is.Equal(withdrawnSince(n, marks, vms[0].ID), 0)
	is.Equal(withdrawnSince(n, marks, vms[1].ID), 0)
}

// Symptom: after a network partition heals, parts of the fleet go on ignoring
// each other, or drop each other again and again. Sequence: one domain is cut
// off for a minute, longer than the memory of the dead, then comes back.
// Cause: both sides hold the other for gone and nobody calls first.
func TestPartitionBetweenDomainsHeals(t *testing.T) {
	for _, c := range fleets[1:4] {
		is := is.New(t)
		n := newNetwork(9)
		vms := membertest.Fleet(c.regions, c.domains, c.members)
		start(n, vms)
		island := vms[0].Domain
		n.Cut = func(from, to *fleet.VM) bool { return (from.Domain == island) != (to.Domain == island) }
		n.Run(deadWithin)
		for _, node := range n.VMs {
			// Each side goes on with what it can reach, all of its own.
			want := sideOf(n, island, node.VM.Domain == island)
			is.Equal(offers(node), want)
		}
		n.Run(time.Minute)
		n.Cut = nil
		n.Run(5 * time.Second)
		marks := mark(n)
		is.Equal(len(disagreements(n, up(n))), 0)
		n.Run(time.Minute)
		for _, vm := range vms {
			is.Equal(withdrawnSince(n, marks, vm.ID), 0)
		}
	}
}

func sideOf(n *membertest.Network, d fleet.Domain, inside bool) []fleet.VMID {
	var out []fleet.VMID
	for _, node := range n.VMs {
		if node.Up && (node.VM.Domain == d) == inside {
			out = append(out, node.VM.ID)
		}
	}
	slices.Sort(out)
	return out
}

// cutInside cuts the links between the parts of a domain.
func cutInside(n *membertest.Network, d fleet.Domain, part func(id fleet.VMID) int) {
	n.Cut = func(from, to *fleet.VM) bool {
		return from.Domain == d && to.Domain == d && part(from.ID) != part(to.ID)
	}
}

func partOf(vms []fleet.VM, size int) func(id fleet.VMID) int {
	return func(id fleet.VMID) int {
		return slices.IndexFunc(vms, func(vm fleet.VM) bool { return vm.ID == id }) / size
	}
}

// Symptom: the two halves of a domain drop each other although callers and
// other domains reach both. Sequence: its VMs can't reach each other across
// some line. Cause: all relays asked stand on the own side of it.
func TestNeighboursRelayAcrossParts(t *testing.T) {
	is := is.New(t)
	n := newNetwork(11)
	vms := membertest.Fleet(2, 2, 8)
	start(n, vms)
	marks := mark(n)
	cutInside(n, vms[0].Domain, partOf(vms, 4))
	n.Run(time.Minute)
	for _, vm := range vms {
		is.Equal(withdrawnSince(n, marks, vm.ID), 0)
	}
}

// Symptom: the two halves of a partitioned domain replace each other's row, so
// that the rest of the fleet loses one half of the living at each turn.
// Sequence: as above, and the region has no other domain to relay. Cause:
// each half has an author that holds the other half dead.
func TestPartitionedDomainStaysWholeElsewhere(t *testing.T) {
	is := is.New(t)
	n := newNetwork(11)
	vms := membertest.Fleet(2, 1, 8)
	start(n, vms)
	d := vms[0].Domain
	cutInside(n, d, partOf(vms, 4))
	n.Run(12 * time.Second)
	marks := mark(n)
	n.Run(time.Minute)
	for _, node := range n.VMs {
		if node.VM.Domain != d {
			is.Equal(offers(node), up(n))
			is.Equal(len(node.Changes), marks[node.VM.ID])
		}
	}
	n.Cut = nil
	n.Run(15 * time.Second)
	is.Equal(len(disagreements(n, up(n))), 0)
}

// Symptom: a dead VM is offered for ever. Sequence: a domain is partitioned in
// three, and one part dies. Cause: the two others go on naming it, each on
// the other's row.
func TestPartitionedDomainForgetsItsDead(t *testing.T) {
	is := is.New(t)
	n := newNetwork(11)
	vms := membertest.Fleet(2, 1, 6)
	start(n, vms)
	cutInside(n, vms[0].Domain, partOf(vms, 2))
	n.Run(20 * time.Second)
	n.Stop(vms[4].ID)
	n.Stop(vms[5].ID)
	n.Run(20 * time.Second)
	for _, node := range n.VMs[6:] {
		is.Equal(offers(node), up(n))
	}
}

// Symptom: two domains never meet again after a cut. Sequence: while they are
// cut off from each other, each loses all VMs that the other knows as its
// representatives. Cause: each asks only for those.
func TestRepresentativesLostDuringCut(t *testing.T) {
	is := is.New(t)
	n := newNetwork(4)
	vms := membertest.Fleet(1, 2, 4)
	start(n, vms)
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
	is.Equal(len(up(n)), 4)
	is.Equal(len(disagreements(n, up(n))), 0)
}
