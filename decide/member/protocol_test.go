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

// newStateWithPeer returns the state of one VM of a domain that knows peer as
// the other member, and a function that passes it an event after some time.
func newStateWithPeer(t *testing.T) (s *member.State, peer fleet.VM, step func(d time.Duration, ev member.Event)) {
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
	step(0, &member.PlatformList{List: fleet.List{VMs: []fleet.VM{peer}}})
	step(time.Millisecond, messageFrom(peer, &member.SyncAck{Domain: peer.Domain, Facts: []member.Fact{{
		ID: peer.ID, Incarnation: 5, CallAddr: peer.CallAddr, PeerAddr: peer.PeerAddr,
	}}}))
	return s, peer, step
}

func messageFrom(vm fleet.VM, m member.Msg) *member.Message {
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

// A VM is paused for longer than a suspicion lasts, while the refutation waits
// in its inbox. When it resumes, it must not drop the refuted VM because the
// deadline passed while it could not read messages.
func TestPauseExtendsSuspicions(t *testing.T) {
	is := is.New(t)
	s, peer, step := newStateWithPeer(t)
	step(time.Millisecond, messageFrom(peer, &member.Spread{Facts: []member.Fact{
		{ID: peer.ID, Incarnation: 5, Status: member.Suspected}}}))
	step(5*time.Second, &member.Tick{})
	is.Equal(stateOf(t, s, peer.ID), fleet.Live)
	step(time.Millisecond, messageFrom(peer, &member.Spread{Facts: []member.Fact{
		{ID: peer.ID, Incarnation: 5, Refutations: 1}}}))
	step(200*time.Millisecond, &member.Tick{})
	is.Equal(stateOf(t, s, peer.ID), fleet.Live)
}

// After a partition heals, the other side sends the fact that a VM is dead,
// although this VM has just received a message from it. The fact is older than
// the message, but has the same incarnation and refutation count. Applied at
// once, it would drop, for a moment, a VM that all others reach.
func TestRecentMessageOverridesDeath(t *testing.T) {
	is := is.New(t)
	s, peer, step := newStateWithPeer(t)
	dead := &member.Spread{Facts: []member.Fact{{ID: peer.ID, Incarnation: 5, Status: member.Dead}}}
	step(time.Millisecond, messageFrom(peer, dead))
	is.Equal(stateOf(t, s, peer.ID), fleet.Live)
	for range 10 { // no refutation comes
		step(100*time.Millisecond, &member.Tick{})
	}
	is.Equal(stateOf(t, s, peer.ID), fleet.Dead)
}

// A VM of another domain sends facts about its members. Facts don't name their
// domain, so they must be recognised by the sender; otherwise the two domains
// merge.
func TestFactsOfOtherDomainAreIgnored(t *testing.T) {
	is := is.New(t)
	s, _, step := newStateWithPeer(t)
	other := membertest.NewVM("r00", "r00-d1", 0)
	step(time.Millisecond, &member.PlatformList{List: fleet.List{VMs: []fleet.VM{other}}})
	facts := []member.Fact{{ID: "x", Incarnation: 1, PeerAddr: "10.0.0.9:1"}}
	for _, m := range []member.Msg{
		&member.Ping{Seq: 1, Facts: facts}, &member.Ack{Seq: 1, Facts: facts}, &member.Spread{Facts: facts},
		&member.Sync{Domain: "r00-d1", Digest: facts}, &member.SyncAck{Domain: "r00-d1", Facts: facts},
	} {
		step(time.Millisecond, messageFrom(other, m))
		is.Equal(len(s.Members(nil)), 2)
	}
}

// Two VMs that both act as a domain's author publish in the same millisecond,
// so their rows have equal versions. Unless the author decides, neither row
// replaces the other, the hashes of the tables agree, and two parts of the
// fleet keep different rows permanently.
func TestEqualVersionsAreOrderedByAuthor(t *testing.T) {
	is := is.New(t)
	row := func(author fleet.VMID) member.Row {
		return member.Row{Region: "r01", Domain: "r01-d0", Version: 9, Author: author, Live: 1,
			VMs: []member.RowVM{{ID: author, PeerAddr: "10.0.0.9:1"}}}
	}
	for _, order := range [][]fleet.VMID{{"a", "b"}, {"b", "a"}} {
		s, peer, step := newStateWithPeer(t)
		for _, author := range order {
			step(time.Millisecond, messageFrom(peer, &member.Spread{Rows: []member.Row{row(author)}}))
		}
		_, ok := s.VM("b")
		is.True(ok)
		_, ok = s.VM("a")
		is.True(!ok)
	}
}

// The link between two domains of a region breaks, while other regions reach
// both. Unless each domain uses its own result, all regions avoid domains that
// they can reach.
func TestResultOfOtherDomainIsVerified(t *testing.T) {
	is := is.New(t)
	n := newNetwork(13)
	vms := membertest.Fleet(3, 2, 2)
	startAndSettle(n, vms)
	a, b := fleet.Domain("r00-d0"), fleet.Domain("r00-d1")
	n.Cut = func(from, to *fleet.VM) bool {
		return (from.Domain == a && to.Domain == b) || (from.Domain == b && to.Domain == a)
	}
	n.Run(6 * time.Second)
	counts := changeCounts(n)
	n.Run(time.Minute)
	for _, entry := range n.VMs {
		switch {
		case entry.VM.Domain == a:
			is.True(!slices.Contains(offers(entry), vms[2].ID))
		case entry.VM.Domain == b:
			is.True(!slices.Contains(offers(entry), vms[0].ID))
		default:
			is.Equal(offers(entry), runningVMs(n))
			is.Equal(len(entry.Changes), counts[entry.VM.ID])
		}
	}
}

// A large outage makes other domains publish as many results as a VM stores;
// then the region's other domain is lost. The own result, the only one that
// withdraws VMs, must still be stored, or callers are sent to the lost domain.
func TestOwnResultEvictsOthers(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3)
	vms := membertest.Fleet(1, 2, 1)
	startAndSettle(n, vms)
	others := make([]member.ReachResult, member.MaxReachResults)
	for i := range others {
		others[i] = member.ReachResult{
			Region:        "far",
			Domain:        fleet.Domain(fmt.Sprintf("far-%d", i)),
			WatcherRegion: "far",
			WatcherDomain: "far-seen",
		}
	}
	n.Stop(vms[1].ID)
	n.Step(n.VMs[0], messageFrom(vms[1], &member.PartialAck{ReachResults: others}))
	n.Run(5 * time.Second)
	is.Equal(offers(n.VMs[0]), runningVMs(n))
}
