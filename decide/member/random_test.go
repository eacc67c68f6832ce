package member_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/member/membertest"
)

// TestMain fixes the seed of the randomised runs. For longer ones:
//
//	go test ./decide/member -run Random -rapid.checks=100000 -rapid.seed=0
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// convergeWithin is the time after the last fault within which all VMs agree.
// The largest part of it is mergedTTL in a partitioned domain.
const convergeWithin = 25 * time.Second

// faultyNetwork is a network with random faults.
type faultyNetwork struct {
	*membertest.Network
	vms         []fleet.VM
	links       map[[2]fleet.VMID]bool
	isolated    func(vm *fleet.VM) bool // VMs that are cut off from all others
	lossPercent int
	lossRandom  uint64 // state of the random numbers that decide on losses
}

func newFaultyNetwork(t *rapid.T) *faultyNetwork {
	f := &faultyNetwork{Network: newNetwork(rapid.Uint64Range(1, 1<<40).Draw(t, "seed"))}
	shapes := [][3]int{{1, 1, 5}, {1, 3, 3}, {2, 2, 2}, {3, 2, 1}, {2, 2, 3}, {1, 1, 10}}
	shape := rapid.SampledFrom(shapes).Draw(t, "fleet")
	f.vms = membertest.Fleet(shape[0], shape[1], shape[2])
	f.Cut = f.isLost
	f.heal()
	return f
}

func (f *faultyNetwork) heal() {
	f.links = make(map[[2]fleet.VMID]bool)
	f.isolated = nil
	f.lossPercent = 0
}

func (f *faultyNetwork) isLost(from, to *fleet.VM) bool {
	f.lossRandom = f.lossRandom*6364136223846793005 + f.Seed | 1
	switch {
	case f.links[[2]fleet.VMID{from.ID, to.ID}]:
		return true
	case f.isolated != nil && f.isolated(from) != f.isolated(to):
		return true
	default:
		return int(f.lossRandom>>33%100) < f.lossPercent
	}
}

// injectFault draws one fault or recovery and advances the clock.
func (f *faultyNetwork) injectFault(t *rapid.T, paused map[fleet.VMID]bool) {
	vm := rapid.SampledFrom(f.vms).Draw(t, "vm")
	entry := f.VM(vm.ID)
	switch rapid.SampledFrom([]string{"stop", "start", "leave", "link", "isolate", "domain", "loss", "heal", "pause"}).Draw(t, "fault") {
	case "stop":
		f.Stop(vm.ID)
		delete(paused, vm.ID)
	case "start":
		delete(paused, vm.ID)
		f.Start(vm, f.vms)
	case "leave":
		if entry.Up {
			f.Step(entry, &member.Leave{})
		}
	case "link":
		to := rapid.SampledFrom(f.vms).Draw(t, "to")
		f.links[[2]fleet.VMID{vm.ID, to.ID}] = true
	case "isolate":
		bits := rapid.Uint64().Draw(t, "isolated")
		f.isolated = func(v *fleet.VM) bool {
			at := slices.IndexFunc(f.vms, func(o fleet.VM) bool { return o.ID == v.ID })
			return bits>>at&1 == 1
		}
	case "domain":
		f.isolated = func(v *fleet.VM) bool { return v.Domain == vm.Domain }
	case "loss":
		f.lossPercent = rapid.IntRange(0, 30).Draw(t, "loss")
	case "heal":
		f.heal()
	case "pause":
		if entry.Up {
			entry.Up = false
			paused[vm.ID] = true
		}
	}
	f.Run(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
}

// resume continues the paused processes. Each runs its next step late.
func (f *faultyNetwork) resume(paused map[fleet.VMID]bool) {
	for _, vm := range f.vms {
		if paused[vm.ID] {
			entry := f.VM(vm.ID)
			entry.Up = true
			f.Step(entry, &member.Tick{})
		}
	}
}

// TestRandomFaults asserts after a random sequence of faults: once they end,
// all running VMs agree on the live VMs; from then on no VM drops a running
// VM; and a VM that crashes is dropped by all within deadWithin.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFaultyNetwork(t)
		startAndSettle(f.Network, f.vms)
		paused := make(map[fleet.VMID]bool)
		for range rapid.IntRange(1, 15).Draw(t, "faults") {
			f.injectFault(t, paused)
		}
		f.resume(paused)
		f.heal()
		f.Run(convergeWithin)
		f.requireAgreement(t, "after the faults")

		counts := changeCounts(f.Network)
		f.Run(20 * time.Second)
		for _, id := range runningVMs(f.Network) {
			if n := withdrawnSince(f.Network, counts, id); n > 0 {
				t.Fatalf("%s dropped %d times without a fault", id, n)
			}
		}
		live := runningVMs(f.Network)
		if len(live) < 2 {
			return
		}
		f.Stop(rapid.SampledFrom(live).Draw(t, "crash"))
		f.Run(deadWithin)
		f.requireAgreement(t, "after the crash")
	})
}

func (f *faultyNetwork) requireAgreement(t *rapid.T, when string) {
	want := runningVMs(f.Network)
	for _, id := range disagreements(f.Network, want) {
		t.Fatalf("%s: %s offers %v, not %v", when, id, offers(f.VM(id)), want)
	}
}

// TestSameSeedSameRun asserts that a State depends only on its events and seed.
func TestSameSeedSameRun(t *testing.T) {
	run := func() string {
		n := newNetwork(77)
		log := ""
		n.Sent = func(from *membertest.EntryVM, s *member.Send) {
			log += fmt.Sprintf("%d %s %s %T%+v\n", n.Now, from.VM.ID, s.To.ID, s.Msg, s.Msg)
		}
		vms := membertest.Fleet(2, 2, 3)
		startAndSettle(n, vms)
		n.Stop(vms[2].ID)
		n.Run(5 * time.Second)
		return log
	}
	if a, b := run(), run(); a != b || a == "" {
		t.Fatal("two runs of one seed differ")
	}
}
