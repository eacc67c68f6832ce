package member_test

import (
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
		for _, node := range n.VMs {
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
			for _, node := range n.VMs {
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
		leaver := n.VM(vms[0].ID)
		n.Step(leaver, &member.Leave{})
		n.Run(leavingWithin)
		is.Equal(len(disagreements(n, up(n))), 0)
		for _, node := range n.VMs {
			if node != leaver && node.VM.Domain == leaver.VM.Domain {
				vm, ok := node.State.VM(leaver.VM.ID)
				is.True(ok)
				is.Equal(vm.State, fleet.Leaving)
			}
		}
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
		for _, other := range n.VMs {
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
	old := n.VM(vms[0].ID)
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
	n.Sent = func(_ *membertest.EntryVM, s *member.Send) {
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
	paused := n.VM(vms[0].ID)
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
			fresh = append(fresh, membertest.NewVM(vms[0].Region, vms[0].Domain, 100+i))
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
	for _, node := range n.VMs {
		n.Step(node, &member.Listed{List: fleet.List{VMs: vms[:1]}})
	}
	n.Run(3 * time.Minute)
	for _, node := range n.VMs {
		n.Step(node, &member.Listed{List: fleet.List{VMs: vms[:1]}})
	}
	n.Run(time.Minute)
	is.Equal(len(disagreements(n, up(n))), 0)
	n.Stop(vms[2].ID)
	n.Run(deadWithin)
	dead := vms[2]
	for _, node := range n.VMs {
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
	n.Stepped = func(*membertest.EntryVM, *member.Ready) { steps++ }
	n.Run(10 * time.Second)
	is.True(steps < 10*len(vms)*60)
	var out member.Ready
	s := n.VMs[0].State
	for range 3 {
		s.Step(n.Now, &member.Tick{}, &out)
		is.True(out.Wake > n.Now || out.Wake == clock.Never)
	}
}
