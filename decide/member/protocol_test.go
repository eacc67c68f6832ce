package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/member/membertest"
)

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
func TestRecentMessageOverridesDeath(t *testing.T) {
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
	stranger := membertest.NewVM("r00", "r00-d1", 0)
	step(time.Millisecond, &member.Listed{List: fleet.List{VMs: []fleet.VM{stranger}}})
	facts := []member.Fact{{ID: "x", Incarnation: 1, PeerAddr: "10.0.0.9:1"}}
	for _, m := range []member.Msg{
		&member.Ping{Seq: 1, Facts: facts}, &member.Ack{Seq: 1, Facts: facts}, &member.Spread{Facts: facts},
		&member.Sync{Domain: "r00-d1", Digest: facts}, &member.SyncAck{Domain: "r00-d1", Facts: facts},
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
func TestResultOfOtherDomainIsVerified(t *testing.T) {
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
	for _, node := range n.VMs {
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

// Symptom: callers are still sent to a domain that this one can't reach.
// Sequence: a wide outage makes other domains publish as many results as a VM
// keeps; then the neighbour domain is lost. Cause: the own result, which alone
// decides, found no room.
func TestOwnResultHasRoom(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3)
	vms := membertest.Fleet(1, 2, 1)
	start(n, vms)
	others := make([]member.ReachResult, member.MaxReachResults)
	for i := range others {
		others[i] = member.ReachResult{
			Region:     "far",
			Domain:     fleet.Domain(fmt.Sprintf("far-%d", i)),
			WatcherRegion: "far",
			WatcherDomain: "far-seen",
		}
	}
	n.Stop(vms[1].ID)
	n.Step(n.VMs[0], from(vms[1], &member.PartialAck{ReachResults: others}))
	n.Run(5 * time.Second)
	is.Equal(offers(n.VMs[0]), up(n))
}
