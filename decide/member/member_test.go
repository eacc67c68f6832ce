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

// The required bounds on the time until a dead or leaving VM is dropped by all.
const (
	deadWithin    = 3 * time.Second
	leavingWithin = time.Second
)

// fleetShapes have at most MaxRowVMs members per domain, or a single domain,
// since a larger domain offers only some of its VMs to other domains.
var fleetShapes = []struct{ regions, domains, members int }{
	{1, 1, 2}, {3, 2, 1}, {3, 2, 2}, {2, 2, 8}, {1, 1, 43}, {4, 3, 6},
}

func wanLatency(from, to *fleet.VM) time.Duration {
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
	n.Latency = wanLatency
	return n
}

func TestFleetConverges(t *testing.T) {
	for _, c := range fleetShapes {
		is := is.New(t)
		n := newNetwork(1)
		startAndSettle(n, membertest.Fleet(c.regions, c.domains, c.members))
		is.Equal(len(disagreements(n, runningVMs(n))), 0)
		for _, entry := range n.VMs {
			is.True(entry.State.Joined())
			is.Equal(len(entry.State.Members(nil)), c.members)
		}
	}
}

// An entry VM that dies without closing its connections is detected only by
// unanswered pings. Callers in every region must no longer be sent to it within
// deadWithin.
func TestDeadVMIsDroppedEverywhere(t *testing.T) {
	for _, c := range fleetShapes {
		for seed := range uint64(8) {
			is := is.New(t)
			n := newNetwork(seed)
			vms := membertest.Fleet(c.regions, c.domains, c.members)
			startAndSettle(n, vms)
			n.Run(time.Duration(seed) * 130 * time.Millisecond)
			stopped := vms[int(seed)%len(vms)].ID
			n.Stop(stopped)
			n.Run(deadWithin)
			for _, entry := range n.VMs {
				is.True(!entry.Up || !offered(entry, stopped))
			}
			is.Equal(len(disagreements(n, runningVMs(n))), 0)
		}
	}
}

// The announcement that a VM is leaving must reach every daemon, not only those
// of its domain. Otherwise a VM that is about to stop still gets callers.
func TestLeavingVMIsDroppedEverywhere(t *testing.T) {
	for _, c := range fleetShapes {
		is := is.New(t)
		n := newNetwork(3)
		vms := membertest.Fleet(c.regions, c.domains, c.members)
		startAndSettle(n, vms)
		leaving := n.VM(vms[0].ID)
		n.Step(leaving, &member.Leave{})
		n.Run(leavingWithin)
		is.Equal(len(disagreements(n, runningVMs(n))), 0)
		for _, entry := range n.VMs {
			if entry != leaving && entry.VM.Domain == leaving.VM.Domain {
				vm, ok := entry.State.VM(leaving.VM.ID)
				is.True(ok)
				is.Equal(vm.State, fleet.Leaving)
			}
		}
	}
}

// A domain is lost while the only VM of the region's other domain restarts.
// That VM, which alone can detect the loss, has no row of the lost domain, and
// other regions would go on offering it.
func TestOnlyWatcherRestartsAsDomainIsLost(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2)
	vms := membertest.Fleet(3, 2, 1)
	startAndSettle(n, vms)
	n.Stop(vms[0].ID)
	n.Start(vms[1], vms)
	n.Run(10 * time.Second)
	is.Equal(len(disagreements(n, runningVMs(n))), 0)
}

// When all VMs of a domain or region fail at once, none is left to report it.
// VMs elsewhere must detect the loss and stop sending callers there.
func TestLostDomainOrRegionIsDropped(t *testing.T) {
	for _, lost := range []func(vm fleet.VM) bool{
		func(vm fleet.VM) bool { return vm.Domain == "r01-d0" },
		func(vm fleet.VM) bool { return vm.Region == "r01" },
	} {
		for seed := range uint64(8) {
			is := is.New(t)
			n := newNetwork(seed)
			vms := membertest.Fleet(3, 2, 2)
			startAndSettle(n, vms)
			n.Run(time.Duration(seed) * 130 * time.Millisecond)
			for _, vm := range vms {
				if lost(vm) {
					n.Stop(vm.ID)
				}
			}
			n.Run(deadWithin)
			is.Equal(len(disagreements(n, runningVMs(n))), 0)
		}
	}
}

// A failed switch takes down 21 of 43 VMs, so the VMs that probe a dead VM are
// often dead too. Detection takes many seconds unless the successors of a
// silent VM are probed at once.
func TestLostHalfOfDomainIsDropped(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		n := newNetwork(seed)
		vms := membertest.Fleet(1, 1, 43)
		startAndSettle(n, vms)
		n.Run(time.Duration(seed) * 170 * time.Millisecond)
		for i := 0; i < 42; i += 2 {
			n.Stop(vms[i].ID)
		}
		n.Run(deadWithin)
		is.Equal(len(disagreements(n, runningVMs(n))), 0)
	}
}

// A process dies and another one starts under the same id at another address.
// Facts about the two differ only by incarnation, and must not be confused.
func TestRestartHasHigherIncarnation(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 1600 * time.Millisecond, 5 * time.Second} {
		is := is.New(t)
		n := newNetwork(17)
		vms := membertest.Fleet(2, 2, 2)
		startAndSettle(n, vms)
		n.Stop(vms[1].ID)
		n.Run(after)
		moved := vms[1]
		moved.CallAddr = "10.9.9.9:8080"
		entry := n.Start(moved, vms)
		n.Run(4 * time.Second)
		for _, other := range n.VMs {
			vm, ok := other.State.VM(moved.ID)
			is.True(ok)
			is.Equal(vm.Incarnation, entry.VM.Incarnation)
			is.Equal(vm.CallAddr, moved.CallAddr)
			is.Equal(offers(other), runningVMs(n))
		}
	}
}

// A VM restarts on a machine whose clock is behind, so its incarnation is lower
// than the one the others have recorded. They ignore messages of earlier
// processes, so it would stay dead for them if it kept that incarnation.
func TestRestartWithClockBehind(t *testing.T) {
	is := is.New(t)
	n := newNetwork(19)
	vms := membertest.Fleet(1, 1, 3)
	startAndSettle(n, vms)
	n.Stop(vms[0].ID)
	n.Run(4 * time.Second)
	behind := vms[0]
	behind.Incarnation = fleet.Incarnation(n.Now.Add(-time.Hour))
	entry := n.Start(behind, vms)
	n.Run(4 * time.Second)
	is.Equal(len(disagreements(n, runningVMs(n))), 0)
	is.True(entry.State.Self().Incarnation > entry.VM.Incarnation)
	is.True(!entry.Superseded)
}

// A VM that was paused resumes after its replacement has started. Unless the
// older process stops, the two keep replacing each other under one id.
func TestOlderProcessIsSuperseded(t *testing.T) {
	is := is.New(t)
	n := newNetwork(23)
	vms := membertest.Fleet(1, 1, 3)
	startAndSettle(n, vms)
	old := n.VM(vms[0].ID)
	newer := member.Fact{ID: old.VM.ID, Incarnation: old.VM.Incarnation + 1, PeerAddr: old.VM.PeerAddr}
	n.Step(old, &member.Message{From: vms[1].ID, Incarnation: vms[1].Incarnation,
		Msg: &member.Spread{Facts: []member.Fact{newer}}})
	is.True(old.Superseded)
	is.Equal(old.State.Self().Incarnation, old.VM.Incarnation)
}

// A VM is unreachable for about a second, suspected, and reachable again. It
// must refute the suspicion, or it disappears from look-ups although it is
// live.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	is := is.New(t)
	n := newNetwork(29)
	vms := membertest.Fleet(1, 1, 8)
	startAndSettle(n, vms)
	counts := changeCounts(n)
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
	is.Equal(withdrawnSince(n, counts, suspect), 0)
	is.Equal(len(disagreements(n, runningVMs(n))), 0)
}

// The process of a VM is paused for seconds while the answers to its pings wait
// in its inbox. When it resumes, it must not count its own pause as a timeout
// and drop all others.
func TestPausedVMDropsNobody(t *testing.T) {
	is := is.New(t)
	n := newNetwork(31)
	vms := membertest.Fleet(1, 1, 5)
	startAndSettle(n, vms)
	paused := n.VM(vms[0].ID)
	paused.Up = false
	n.Run(2 * time.Second)
	paused.Up = true
	before := len(paused.Changes)
	n.Step(paused, &member.Tick{})
	n.Run(400 * time.Millisecond)
	is.Equal(len(paused.Changes), before)
	n.Run(10 * time.Second)
	is.Equal(len(disagreements(n, runningVMs(n))), 0)
}

// All VMs of a domain stop, and VMs with new ids start that know each other
// only from a list that still names the old ones. No old VM remains that could
// report the change; the domain must neither stay empty nor keep the old VMs.
func TestDomainReplacedAtOnce(t *testing.T) {
	for _, members := range []int{1, 2, 6} {
		is := is.New(t)
		n := newNetwork(37)
		vms := membertest.Fleet(2, 2, members)
		startAndSettle(n, vms)
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
		is.Equal(len(disagreements(n, runningVMs(n))), 0)
	}
}

// The platform's list lags by minutes: it may lack a VM that joined through a
// seed, or still name a dead one. It must only add contacts, and never remove a
// live VM or make a dead one live.
func TestPlatformListOnlyAddsContacts(t *testing.T) {
	is := is.New(t)
	n := newNetwork(41)
	vms := membertest.Fleet(1, 1, 3)
	startAndSettle(n, vms)
	counts := changeCounts(n)
	for _, entry := range n.VMs {
		n.Step(entry, &member.PlatformList{List: fleet.List{VMs: vms[:1]}})
	}
	n.Run(3 * time.Minute)
	for _, entry := range n.VMs {
		n.Step(entry, &member.PlatformList{List: fleet.List{VMs: vms[:1]}})
	}
	n.Run(time.Minute)
	is.Equal(len(disagreements(n, runningVMs(n))), 0)
	n.Stop(vms[2].ID)
	n.Run(deadWithin)
	dead := vms[2]
	for _, entry := range n.VMs {
		if entry.Up {
			n.Step(entry, &member.PlatformList{List: fleet.List{VMs: []fleet.VM{dead}}})
		}
	}
	n.Run(time.Second)
	is.Equal(len(disagreements(n, runningVMs(n))), 0)
	is.True(withdrawnSince(n, counts, vms[0].ID) == 0)
}

// A Ready.WakeAt that has already passed would make the caller step in a busy
// loop. Ticks at the same instant must ask for a later one.
func TestNoBusyLoop(t *testing.T) {
	is := is.New(t)
	n := newNetwork(43)
	vms := membertest.Fleet(3, 2, 2)
	startAndSettle(n, vms)
	steps := 0
	n.Stepped = func(*membertest.EntryVM, *member.Ready) { steps++ }
	n.Run(10 * time.Second)
	is.True(steps < 10*len(vms)*60)
	var out member.Ready
	s := n.VMs[0].State
	for range 3 {
		s.Step(n.Now, &member.Tick{}, &out)
		is.True(out.WakeAt > n.Now || out.WakeAt == clock.Never)
	}
}
