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

// settleWithin is the time after the last fault by which all agree. The
// longest part of it is mergedTTL in a partitioned domain.
const settleWithin = 25 * time.Second

// faults is a network under random faults.
type faults struct {
	*membertest.Network
	vms     []fleet.VM
	links   map[[2]fleet.VMID]bool
	island  func(vm *fleet.VM) bool
	lossy   int // of 100 messages that are lost
	counter uint64
}

func newFaults(t *rapid.T) *faults {
	f := &faults{Network: newNetwork(rapid.Uint64Range(1, 1<<40).Draw(t, "seed"))}
	shapes := [][3]int{{1, 1, 5}, {1, 3, 3}, {2, 2, 2}, {3, 2, 1}, {2, 2, 3}, {1, 1, 10}}
	shape := rapid.SampledFrom(shapes).Draw(t, "fleet")
	f.vms = membertest.Fleet(shape[0], shape[1], shape[2])
	f.Cut = f.lost
	f.heal()
	return f
}

func (f *faults) heal() {
	f.links = make(map[[2]fleet.VMID]bool)
	f.island = nil
	f.lossy = 0
}

func (f *faults) lost(from, to *fleet.VM) bool {
	f.counter = f.counter*6364136223846793005 + f.Seed | 1
	switch {
	case f.links[[2]fleet.VMID{from.ID, to.ID}]:
		return true
	case f.island != nil && f.island(from) != f.island(to):
		return true
	default:
		return int(f.counter>>33%100) < f.lossy
	}
}

// act draws one fault or recovery and lets some time pass.
func (f *faults) act(t *rapid.T, paused map[fleet.VMID]bool) {
	vm := rapid.SampledFrom(f.vms).Draw(t, "vm")
	node := f.VM(vm.ID)
	switch rapid.SampledFrom([]string{"stop", "start", "leave", "link", "island", "domain", "loss", "heal", "pause"}).Draw(t, "act") {
	case "stop":
		f.Stop(vm.ID)
		delete(paused, vm.ID)
	case "start":
		delete(paused, vm.ID)
		f.Start(vm, f.vms)
	case "leave":
		if node.Up {
			f.Step(node, &member.Leave{})
		}
	case "link":
		to := rapid.SampledFrom(f.vms).Draw(t, "to")
		f.links[[2]fleet.VMID{vm.ID, to.ID}] = true
	case "island":
		bits := rapid.Uint64().Draw(t, "island")
		f.island = func(v *fleet.VM) bool {
			at := slices.IndexFunc(f.vms, func(o fleet.VM) bool { return o.ID == v.ID })
			return bits>>at&1 == 1
		}
	case "domain":
		f.island = func(v *fleet.VM) bool { return v.Domain == vm.Domain }
	case "loss":
		f.lossy = rapid.IntRange(0, 30).Draw(t, "loss")
	case "heal":
		f.heal()
	case "pause":
		if node.Up {
			node.Up = false
			paused[vm.ID] = true
		}
	}
	f.Run(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
}

// resume continues paused processes: each takes its next step late.
func (f *faults) resume(paused map[fleet.VMID]bool) {
	for _, vm := range f.vms {
		if paused[vm.ID] {
			node := f.VM(vm.ID)
			node.Up = true
			f.Step(node, &member.Tick{})
		}
	}
}

// TestRandomFaults asserts, after any sequence of faults: once they end, all
// running VMs agree on who is live; from then on nobody drops a VM that runs;
// and a VM that crashes is dropped by all in time.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFaults(t)
		start(f.Network, f.vms)
		paused := make(map[fleet.VMID]bool)
		for range rapid.IntRange(1, 15).Draw(t, "acts") {
			f.act(t, paused)
		}
		f.resume(paused)
		f.heal()
		f.Run(settleWithin)
		f.requireAgreement(t, "after the faults")

		marks := mark(f.Network)
		f.Run(20 * time.Second)
		for _, id := range up(f.Network) {
			if n := withdrawnSince(f.Network, marks, id); n > 0 {
				t.Fatalf("%s dropped %d times without a fault", id, n)
			}
		}
		live := up(f.Network)
		if len(live) < 2 {
			return
		}
		f.Stop(rapid.SampledFrom(live).Draw(t, "crash"))
		f.Run(deadWithin)
		f.requireAgreement(t, "after the crash")
	})
}

func (f *faults) requireAgreement(t *rapid.T, when string) {
	want := up(f.Network)
	for _, id := range disagreements(f.Network, want) {
		t.Fatalf("%s: %s offers %v, not %v", when, id, offers(f.VM(id)), want)
	}
}

// TestSameSeedSameRun holds the reducer to depending on nothing but events
// and seed.
func TestSameSeedSameRun(t *testing.T) {
	run := func() string {
		n := newNetwork(77)
		log := ""
		n.Sent = func(from *membertest.EntryVM, s *member.Send) {
			log += fmt.Sprintf("%d %s %s %T%+v\n", n.Now, from.VM.ID, s.To.ID, s.Msg, s.Msg)
		}
		vms := membertest.Fleet(2, 2, 3)
		start(n, vms)
		n.Stop(vms[2].ID)
		n.Run(5 * time.Second)
		return log
	}
	if a, b := run(), run(); a != b || a == "" {
		t.Fatal("two runs of one seed differ")
	}
}
