package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/member/membertest"
)

// BenchmarkStep measures one step of a VM at rest: receiving and answering a
// ping, the most frequent message.
func BenchmarkStep(b *testing.B) {
	for _, members := range []int{4, 8, 16, 43, 86} {
		for _, domains := range []int{6, 20, 77} {
			b.Run(fmt.Sprintf("members=%d/domains=%d", members, domains), func(b *testing.B) {
				benchmarkStep(b, members, domains)
			})
		}
	}
}

// benchmarkStep runs one domain with all its members. The other domains have
// one VM each, which gives the same number of rows.
func benchmarkStep(b *testing.B, members, domains int) {
	n := newNetwork(1)
	vms := membertest.Fleet(1, 1, members)
	for d := 1; d < domains; d++ {
		region := fleet.Region(fmt.Sprintf("r%02d", d%22))
		vms = append(vms, membertest.NewVM(region, fleet.Domain(fmt.Sprintf("%s-x%d", region, d)), 0))
	}
	startAndSettle(n, vms)
	n.Run(20 * time.Second)
	entry := n.VM(vms[0].ID)
	ping := &member.Message{From: vms[1].ID, Incarnation: n.VM(vms[1].ID).VM.Incarnation}
	var out member.Ready
	now := n.Now
	b.ReportAllocs()
	for i := uint32(0); b.Loop(); i++ {
		ping.Msg = &member.Ping{Seq: i}
		now = now.Add(time.Microsecond)
		entry.State.Step(now, ping, &out)
	}
}

// BenchmarkDropped reports, on the fake clock, the time from a loss until the
// last VM has stopped offering the lost VMs.
func BenchmarkDropped(b *testing.B) {
	losses := map[string]func(vm, first fleet.VM) bool{
		"vm":     func(vm, first fleet.VM) bool { return vm.ID == first.ID },
		"domain": func(vm, first fleet.VM) bool { return vm.Domain == first.Domain },
		"region": func(vm, first fleet.VM) bool { return vm.Region == first.Region },
	}
	for _, c := range []struct{ regions, domains, members int }{{3, 2, 1}, {3, 2, 2}, {6, 3, 8}, {2, 2, 43}} {
		for _, loss := range []string{"vm", "domain", "region"} {
			name := fmt.Sprintf("%s/regions=%d/domains=%d/members=%d", loss, c.regions, c.domains, c.members)
			b.Run(name, func(b *testing.B) {
				var took []time.Duration
				for i := 0; b.Loop(); i++ {
					took = append(took, dropTime(uint64(i), membertest.Fleet(c.regions, c.domains, c.members), losses[loss]))
				}
				slices.Sort(took)
				b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
				b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max-ms")
			})
		}
	}
}

func dropTime(seed uint64, vms []fleet.VM, lost func(vm, first fleet.VM) bool) time.Duration {
	n := newNetwork(seed)
	startAndSettle(n, vms)
	n.Run(time.Duration(seed%10) * 100 * time.Millisecond)
	gone := make(map[fleet.VMID]bool)
	for _, vm := range vms {
		if lost(vm, vms[int(seed)%len(vms)]) {
			n.Stop(vm.ID)
			gone[vm.ID] = true
		}
	}
	from := n.Now
	n.Run(6 * time.Second)
	last := from
	for _, entry := range n.VMs {
		for _, c := range entry.Changes {
			if entry.Up && gone[c.VM.ID] && c.VM.State != fleet.Live {
				last = max(last, c.At)
			}
		}
	}
	return last.Sub(from)
}
