package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/member/membertest"
)

// The bounds of issue 5, point 5.
const (
	deadWithin    = 3 * time.Second
	leavingWithin = time.Second
)

// fleets have at most RowVMs members a domain, or one domain: a larger domain
// offers others only a part of its VMs.
var fleets = []struct{ regions, domains, members int }{
	{1, 1, 2}, {3, 2, 1}, {3, 2, 2}, {2, 2, 8}, {1, 1, 43}, {4, 3, 6},
}

func wan(from, to *fleet.VM) time.Duration {
	switch {
	case from.Domain == to.Domain:
		return 300 * time.Microsecond
	case from.Region == to.Region:
		return 1500 * time.Microsecond
	default:
		return 55 * time.Millisecond
	}
}

func newNetwork(seed uint64) *membertest.Network {
	n := membertest.New(seed)
	n.Latency = wan
	return n
}

func TestFleetSettles(t *testing.T) {
	for _, c := range fleets {
		is := is.New(t)
		n := newNetwork(1)
		start(n, membertest.Fleet(c.regions, c.domains, c.members))
		is.Equal(len(disagreements(n, up(n))), 0)
		for _, node := range n.Nodes {
			is.True(node.State.Joined())
			is.Equal(len(node.State.Members(nil)), c.members)
		}
	}
}

// Symptom: callers in any region are still sent to an entry VM that has died.
// Sequence: all is well; one VM's machine vanishes without closing a
// connection. Cause: only the ping that finds no answer can tell.
func TestDeadVMIsDroppedEverywhere(t *testing.T) {
	for _, c := range fleets {
		for seed := range uint64(8) {
			is := is.New(t)
			n := newNetwork(seed)
			vms := membertest.Fleet(c.regions, c.domains, c.members)
			start(n, vms)
			n.Run(time.Duration(seed) * 130 * time.Millisecond)
			victim := vms[int(seed)%len(vms)].ID
			n.Stop(victim)
			n.Run(deadWithin)
			for _, node := range n.Nodes {
				is.True(!node.Up || !offered(node, victim))
			}
			is.Equal(len(disagreements(n, up(n))), 0)
		}
	}
}

// Symptom: an entry VM that is about to stop still gets callers. Sequence: it
// announces that it leaves. Cause: the announcement must reach every daemon,
// not only its neighbours.
func TestLeavingVMIsDroppedEverywhere(t *testing.T) {
	for _, c := range fleets {
		is := is.New(t)
		n := newNetwork(3)
		vms := membertest.Fleet(c.regions, c.domains, c.members)
		start(n, vms)
		leaver := n.Node(vms[0].ID)
		n.Step(leaver, &member.Leave{})
		n.Run(leavingWithin)
		is.Equal(len(disagreements(n, up(n))), 0)
		for _, node := range n.Nodes {
			if node != leaver && node.VM.Domain == leaver.VM.Domain {
				vm, ok := node.State.VM(leaver.VM.ID)
				is.True(ok)
				is.Equal(vm.State, fleet.Leaving)
			}
		}
	}
}

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
		for _, node := range n.Nodes {
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
	for _, node := range n.Nodes {
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
func TestPartedDomainStaysWholeElsewhere(t *testing.T) {
	is := is.New(t)
	n := newNetwork(11)
	vms := membertest.Fleet(2, 1, 8)
	start(n, vms)
	d := vms[0].Domain
	cutInside(n, d, partOf(vms, 4))
	n.Run(12 * time.Second)
	marks := mark(n)
	n.Run(time.Minute)
	for _, node := range n.Nodes {
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
func TestPartedDomainForgetsItsDead(t *testing.T) {
	is := is.New(t)
	n := newNetwork(11)
	vms := membertest.Fleet(2, 1, 6)
	start(n, vms)
	cutInside(n, vms[0].Domain, partOf(vms, 2))
	n.Run(20 * time.Second)
	n.Stop(vms[4].ID)
	n.Stop(vms[5].ID)
	n.Run(20 * time.Second)
	for _, node := range n.Nodes[6:] {
		is.Equal(offers(node), up(n))
	}
}

// Symptom: other regions go on offering a lost domain. Sequence: it is lost,
// and the only VM of its neighbour domain restarts at the same moment. Cause:
// the one VM that could notice has never heard of the lost domain.
func TestNeighbourRestartsAsDomainIsLost(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2)
	vms := membertest.Fleet(3, 2, 1)
	start(n, vms)
	n.Stop(vms[0].ID)
	n.Start(vms[1], vms)
	n.Run(10 * time.Second)
	is.Equal(len(disagreements(n, up(n))), 0)
}

// Symptom: two domains never meet again after a cut. Sequence: while they are
// cut off from each other, each loses all VMs that the other knows as its
// representatives. Cause: each asks only for those.
func TestRepresentativesLostDuringCut(t *testing.T) {
	is := is.New(t)
	n := newNetwork(4)
	vms := membertest.Fleet(1, 2, 4)
	start(n, vms)
	views := n.Nodes[0].State.Domains(nil)
	other := n.Nodes[4].State.Domains(nil)
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

// solo is one VM of a domain, fed by hand; it knows peer as a neighbour.
func solo(t *testing.T) (s *member.State, peer fleet.VM, step func(d time.Duration, ev member.Event)) {
	t.Helper()
	vms := membertest.Fleet(1, 1, 2)
	peer = vms[1]
	peer.Incarnation = 5
	s = member.New(vms[0], 1, member.Options{})
	now := membertest.Epoch
	var out member.Ready
	step = func(d time.Duration, ev member.Event) {
		now = now.Add(d)
		s.Step(now, ev, &out)
	}
	step(0, &member.Listed{List: fleet.List{VMs: []fleet.VM{peer}}})
	step(time.Millisecond, from(peer, &member.SyncAck{Domain: peer.Domain, Facts: []member.Fact{{
		ID: peer.ID, Incarnation: 5, CallAddr: peer.CallAddr, PeerAddr: peer.PeerAddr,
	}}}))
	return s, peer, step
}

func from(vm fleet.VM, m member.Msg) *member.Message {
	return &member.Message{From: vm.ID, Incarnation: vm.Incarnation, Msg: m}
}

func stateOf(t *testing.T, s *member.State, id fleet.VMID) fleet.State {
	t.Helper()
	vm, ok := s.VM(id)
	if !ok {
		t.Fatalf("%s unknown", id)
	}
	return vm.State
}

// Symptom: a VM that wakes from a pause drops a neighbour that has refuted a
// suspicion long ago. Sequence: the suspicion arrives, the process is paused
// for longer than it lasts, the refutation waits in its inbox. Cause: the
// deadline went by while nothing could be read.
func TestPauseExtendsSuspicions(t *testing.T) {
	is := is.New(t)
	s, peer, step := solo(t)
	step(time.Millisecond, from(peer, &member.Spread{Facts: []member.Fact{
		{ID: peer.ID, Incarnation: 5, Status: member.Suspected}}}))
	step(5*time.Second, &member.Tick{})
	is.Equal(stateOf(t, s, peer.ID), fleet.Live)
	step(time.Millisecond, from(peer, &member.Spread{Facts: []member.Fact{
		{ID: peer.ID, Incarnation: 5, Refutations: 1}}}))
	step(200*time.Millisecond, &member.Tick{})
	is.Equal(stateOf(t, s, peer.ID), fleet.Live)
}

// Symptom: after a partition heals, VMs that everybody reaches are dropped
// for an instant. Sequence: a message of the other side says that a VM is
// dead, from which this one has just heard. Cause: that word is older than
// what was heard, but can't be told apart by its numbers.
func TestHearingOutweighsHearsay(t *testing.T) {
	is := is.New(t)
	s, peer, step := solo(t)
	dead := &member.Spread{Facts: []member.Fact{{ID: peer.ID, Incarnation: 5, Status: member.Dead}}}
	step(time.Millisecond, from(peer, dead))
	is.Equal(stateOf(t, s, peer.ID), fleet.Live)
	for range 10 { // no refutation comes
		step(100*time.Millisecond, &member.Tick{})
	}
	is.Equal(stateOf(t, s, peer.ID), fleet.Dead)
}

// Symptom: two domains become one in everybody's eyes. Sequence: a VM of
// another domain sends facts about its members. Cause: facts don't name their
// domain, so only the sender tells.
func TestFactsOfOtherDomainAreIgnored(t *testing.T) {
	is := is.New(t)
	s, _, step := solo(t)
	stranger := membertest.VM("r00", "r00-d1", 0)
	step(time.Millisecond, &member.Listed{List: fleet.List{VMs: []fleet.VM{stranger}}})
	facts := []member.Fact{{ID: "x", Incarnation: 1, PeerAddr: "10.0.0.9:1"}}
	for _, m := range []member.Msg{
		&member.Ping{Seq: 1, Facts: facts}, &member.Ack{Seq: 1, Facts: facts}, &member.Spread{Facts: facts},
		&member.Sync{Domain: "r00-d1", Marks: facts}, &member.SyncAck{Domain: "r00-d1", Facts: facts},
	} {
		step(time.Millisecond, from(stranger, m))
		is.Equal(len(s.Members(nil)), 2)
	}
}

// Symptom: two parts of the fleet keep different rows of a domain for ever.
// Sequence: two VMs that both think themselves its author publish in the same
// millisecond. Cause: the versions are equal, so neither row replaces the
// other, and the hashes of the tables agree.
func TestEqualVersionsAreOrderedByAuthor(t *testing.T) {
	is := is.New(t)
	row := func(author fleet.VMID) member.Row {
		return member.Row{Region: "r01", Domain: "r01-d0", Version: 9, Author: author, Live: 1,
			VMs: []member.RowVM{{ID: author, PeerAddr: "10.0.0.9:1"}}}
	}
	for _, order := range [][]fleet.VMID{{"a", "b"}, {"b", "a"}} {
		s, peer, step := solo(t)
		for _, author := range order {
			step(time.Millisecond, from(peer, &member.Spread{Rows: []member.Row{row(author)}}))
		}
		_, ok := s.VM("b")
		is.True(ok)
		_, ok = s.VM("a")
		is.True(!ok)
	}
}

// Symptom: a domain that its neighbours can't reach is avoided by all regions
// for good. Sequence: the link between two domains of a region breaks; other
// regions reach both. Cause: each region must trust its own finding more.
func TestNeighboursWordIsChecked(t *testing.T) {
	is := is.New(t)
	n := newNetwork(13)
	vms := membertest.Fleet(3, 2, 2)
	start(n, vms)
	a, b := fleet.Domain("r00-d0"), fleet.Domain("r00-d1")
	n.Cut = func(from, to *fleet.VM) bool {
		return (from.Domain == a && to.Domain == b) || (from.Domain == b && to.Domain == a)
	}
	n.Run(6 * time.Second)
	marks := mark(n)
	n.Run(time.Minute)
	for _, node := range n.Nodes {
		switch {
		case node.VM.Domain == a:
			is.True(!slices.Contains(offers(node), vms[2].ID))
		case node.VM.Domain == b:
			is.True(!slices.Contains(offers(node), vms[0].ID))
		default:
			is.Equal(offers(node), up(n))
			is.Equal(len(node.Changes), marks[node.VM.ID])
		}
	}
}

// Symptom: a whole domain or region is lost and callers elsewhere are still
// sent there. Sequence: all its VMs vanish at once. Cause: nobody is left
// inside to report it, so those outside have to notice.
func TestLostDomainAndRegion(t *testing.T) {
	for _, lost := range []func(vm fleet.VM) bool{
		func(vm fleet.VM) bool { return vm.Domain == "r01-d0" },
		func(vm fleet.VM) bool { return vm.Region == "r01" },
	} {
		for seed := range uint64(8) {
			is := is.New(t)
			n := newNetwork(seed)
			vms := membertest.Fleet(3, 2, 2)
			start(n, vms)
			n.Run(time.Duration(seed) * 130 * time.Millisecond)
			for _, vm := range vms {
				if lost(vm) {
					n.Stop(vm.ID)
				}
			}
			n.Run(deadWithin)
			is.Equal(len(disagreements(n, up(n))), 0)
		}
	}
}

// Symptom: half a domain fails and the other half needs many seconds to see
// it. Sequence: a switch takes 21 of 43 VMs with it. Cause: the monitors of a
// dead VM are dead too; the search has to go on behind a silent VM at once.
func TestHalfOfLargeDomainLost(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		n := newNetwork(seed)
		vms := membertest.Fleet(1, 1, 43)
		start(n, vms)
		n.Run(time.Duration(seed) * 170 * time.Millisecond)
		for i := 0; i < 42; i += 2 {
			n.Stop(vms[i].ID)
		}
		n.Run(deadWithin)
		is.Equal(len(disagreements(n, up(n))), 0)
	}
}

// Symptom: a replaced VM is taken for its dead predecessor, or the other way
// round. Sequence: the process dies and another starts under the same id, at
// another address. Cause: facts about the two differ only by incarnation.
func TestRestartHasHigherIncarnation(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 1600 * time.Millisecond, 5 * time.Second} {
		is := is.New(t)
		n := newNetwork(17)
		vms := membertest.Fleet(2, 2, 2)
		start(n, vms)
		n.Stop(vms[1].ID)
		n.Run(after)
		moved := vms[1]
		moved.CallAddr = "10.9.9.9:8080"
		node := n.Start(moved, vms)
		n.Run(4 * time.Second)
		for _, other := range n.Nodes {
			vm, ok := other.State.VM(moved.ID)
			is.True(ok)
			is.Equal(vm.Incarnation, node.VM.Incarnation)
			is.Equal(vm.CallAddr, moved.CallAddr)
			is.Equal(offers(other), up(n))
		}
	}
}

// Symptom: a restarted VM stays dead for the others for ever. Sequence: it
// comes back on a machine whose clock is behind, so its incarnation is lower
// than the one remembered. Cause: the others ignore what an earlier process
// says.
func TestRestartWithClockBehind(t *testing.T) {
	is := is.New(t)
	n := newNetwork(19)
	vms := membertest.Fleet(1, 1, 3)
	start(n, vms)
	n.Stop(vms[0].ID)
	n.Run(4 * time.Second)
	behind := vms[0]
	behind.Incarnation = fleet.Incarnation(n.Now.Add(-time.Hour))
	node := n.Start(behind, vms)
	n.Run(4 * time.Second)
	is.Equal(len(disagreements(n, up(n))), 0)
	is.True(node.State.Self().Incarnation > node.VM.Incarnation)
	is.True(!node.Superseded)
}

// Symptom: two processes under one id drop each other in turns. Sequence: a
// VM that was paused wakes up after its replacement has started. Cause: only
// the newer one may stay.
func TestOlderProcessIsSuperseded(t *testing.T) {
	is := is.New(t)
	n := newNetwork(23)
	vms := membertest.Fleet(1, 1, 3)
	start(n, vms)
	old := n.Node(vms[0].ID)
	newer := member.Fact{ID: old.VM.ID, Incarnation: old.VM.Incarnation + 1, PeerAddr: old.VM.PeerAddr}
	n.Step(old, &member.Message{From: vms[1].ID, Incarnation: vms[1].Incarnation,
		Msg: &member.Spread{Facts: []member.Fact{newer}}})
	is.True(old.Superseded)
	is.Equal(old.State.Self().Incarnation, old.VM.Incarnation)
}

// Symptom: a VM disappears from look-ups for seconds although it lives.
// Sequence: it can't be reached for a second, is suspected, and comes back.
// Cause: without a refutation the suspicion would run out.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	is := is.New(t)
	n := newNetwork(29)
	vms := membertest.Fleet(1, 1, 8)
	start(n, vms)
	marks := mark(n)
	suspect := vms[3].ID
	suspected := false
	n.Sent = func(_ *membertest.Node, s *member.Send) {
		if b, ok := s.Msg.(*member.Spread); ok {
			suspected = suspected || slices.ContainsFunc(b.Facts, func(f member.Fact) bool {
				return f.ID == suspect && f.Status == member.Suspected
			})
		}
	}
	n.Cut = func(from, to *fleet.VM) bool { return from.ID == suspect || to.ID == suspect }
	for !suspected {
		n.Run(10 * time.Millisecond)
	}
	n.Cut = nil
	n.Run(10 * time.Second)
	is.Equal(withdrawnSince(n, marks, suspect), 0)
	is.Equal(len(disagreements(n, up(n))), 0)
}

// Symptom: a VM that was paused for some seconds drops all others when it
// wakes up. Sequence: its process is stopped and continued; the answers to
// its pings wait in its inbox. Cause: it measures its own pause.
func TestPausedVMSuspectsNobody(t *testing.T) {
	is := is.New(t)
	n := newNetwork(31)
	vms := membertest.Fleet(1, 1, 5)
	start(n, vms)
	paused := n.Node(vms[0].ID)
	paused.Up = false
	n.Run(2 * time.Second)
	paused.Up = true
	before := len(paused.Changes)
	n.Step(paused, &member.Tick{})
	n.Run(400 * time.Millisecond)
	is.Equal(len(paused.Changes), before)
	n.Run(10 * time.Second)
	is.Equal(len(disagreements(n, up(n))), 0)
}

// Symptom: a domain whose VMs were all replaced stays empty or keeps the old
// ones. Sequence: all VMs of a domain stop, and new ones with new ids start,
// which know each other only from a list that still names the old ones.
// Cause: nobody who was there remains.
func TestDomainReplacedAtOnce(t *testing.T) {
	for _, members := range []int{1, 2, 6} {
		is := is.New(t)
		n := newNetwork(37)
		vms := membertest.Fleet(2, 2, members)
		start(n, vms)
		for _, vm := range vms[:members] {
			n.Stop(vm.ID)
		}
		n.Run(2 * time.Second)
		var fresh []fleet.VM
		for i := range members {
			fresh = append(fresh, membertest.VM(vms[0].Region, vms[0].Domain, 100+i))
		}
		list := append(slices.Clone(vms), fresh...)
		for _, vm := range fresh {
			n.Start(vm, list)
		}
		n.Run(6 * time.Second)
		is.Equal(len(disagreements(n, up(n))), 0)
	}
}

// Symptom: a VM that the platform's list doesn't name yet, or names no more,
// disappears. Sequence: it joins by way of a seed; the list lags by minutes.
// Cause: the list may only ever add contacts.
func TestListNeverOverridesEvidence(t *testing.T) {
	is := is.New(t)
	n := newNetwork(41)
	vms := membertest.Fleet(1, 1, 3)
	start(n, vms)
	marks := mark(n)
	for _, node := range n.Nodes {
		n.Step(node, &member.Listed{List: fleet.List{VMs: vms[:1]}})
	}
	n.Run(3 * time.Minute)
	for _, node := range n.Nodes {
		n.Step(node, &member.Listed{List: fleet.List{VMs: vms[:1]}})
	}
	n.Run(time.Minute)
	is.Equal(len(disagreements(n, up(n))), 0)
	n.Stop(vms[2].ID)
	n.Run(deadWithin)
	dead := vms[2]
	for _, node := range n.Nodes {
		if node.Up {
			n.Step(node, &member.Listed{List: fleet.List{VMs: []fleet.VM{dead}}})
		}
	}
	n.Run(time.Second)
	is.Equal(len(disagreements(n, up(n))), 0)
	is.True(withdrawnSince(n, marks, vms[0].ID) == 0)
}

// Symptom: a paused or slow clock makes a step go back in time and panics or
// floods. Sequence: many ticks at one instant. Cause: a wake-up that is
// already past must not spin.
func TestNoBusyWake(t *testing.T) {
	is := is.New(t)
	n := newNetwork(43)
	vms := membertest.Fleet(3, 2, 2)
	start(n, vms)
	steps := 0
	n.Stepped = func(*membertest.Node, *member.Ready) { steps++ }
	n.Run(10 * time.Second)
	is.True(steps < 10*len(vms)*60)
	var out member.Ready
	s := n.Nodes[0].State
	for range 3 {
		s.Step(n.Now, &member.Tick{}, &out)
		is.True(out.Wake > n.Now || out.Wake == clock.Never)
	}
}

// Symptom: callers are still sent to a domain that this one can't reach.
// Sequence: a wide outage makes other domains publish as many results as a VM
// keeps; then the neighbour domain is lost. Cause: the own result, which alone
// decides, found no room.
func TestOwnResultHasRoom(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3)
	vms := membertest.Fleet(1, 2, 1)
	start(n, vms)
	others := make([]member.Reach, member.MaxReaches)
	for i := range others {
		others[i] = member.Reach{
			Region:     "far",
			Domain:     fleet.Domain(fmt.Sprintf("far-%d", i)),
			SeenRegion: "far",
			SeenDomain: "far-seen",
		}
	}
	n.Stop(vms[1].ID)
	n.Step(n.Nodes[0], from(vms[1], &member.PartialAck{Reaches: others}))
	n.Run(5 * time.Second)
	is.Equal(offers(n.Nodes[0]), up(n))
}
