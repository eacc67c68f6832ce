package member_test

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member/membertest"
)

// startAndSettle starts all VMs and waits until they agree.
func startAndSettle(n *membertest.Network, vms []fleet.VM) {
	for _, vm := range vms {
		n.Start(vm, vms)
	}
	n.Run(10 * time.Second)
}

// offers returns the ids of the VMs that an entry VM would return in a look-up,
// in order.
func offers(entry *membertest.EntryVM) []fleet.VMID {
	var out []fleet.VMID
	for _, d := range entry.State.Domains(nil) {
		if !d.Reachable {
			continue
		}
		for _, vm := range d.VMs {
			out = append(out, vm.ID)
		}
	}
	slices.Sort(out)
	return out
}

func offered(entry *membertest.EntryVM, id fleet.VMID) bool {
	return slices.Contains(offers(entry), id)
}

// runningVMs returns the ids of the running VMs that aren't leaving, in order.
func runningVMs(n *membertest.Network) []fleet.VMID {
	var out []fleet.VMID
	for _, entry := range n.VMs {
		if entry.Up && entry.State.Self().State == fleet.Live {
			out = append(out, entry.VM.ID)
		}
	}
	slices.Sort(out)
	return out
}

// disagreements lists the running VMs whose offers differ from want.
func disagreements(n *membertest.Network, want []fleet.VMID) []fleet.VMID {
	var out []fleet.VMID
	for _, entry := range n.VMs {
		if entry.Up && !slices.Equal(offers(entry), want) {
			out = append(out, entry.VM.ID)
		}
	}
	return out
}

// withdrawnSince counts how often any VM reported a VM as not live since the
// given counts of changes were taken.
func withdrawnSince(n *membertest.Network, counts map[fleet.VMID]int, id fleet.VMID) int {
	count := 0
	for _, entry := range n.VMs {
		for _, c := range entry.Changes[counts[entry.VM.ID]:] {
			if c.VM.ID == id && c.VM.State != fleet.Live {
				count++
			}
		}
	}
	return count
}

// changeCounts returns the number of changes that each entry VM has reported.
func changeCounts(n *membertest.Network) map[fleet.VMID]int {
	counts := make(map[fleet.VMID]int)
	for _, entry := range n.VMs {
		counts[entry.VM.ID] = len(entry.Changes)
	}
	return counts
}
