package member_test

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member/membertest"
)

// start runs the whole fleet and waits until it has settled.
func start(n *membertest.Network, vms []fleet.VM) {
	for _, vm := range vms {
		n.Start(vm, vms)
	}
	n.Run(10 * time.Second)
}

// offers returns the ids of the VMs that node would name in a look-up, in
// order.
func offers(node *membertest.EntryVM) []fleet.VMID {
	var out []fleet.VMID
	for _, d := range node.State.Domains(nil) {
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

func offered(node *membertest.EntryVM, id fleet.VMID) bool {
	return slices.Contains(offers(node), id)
}

// up returns the ids of the running nodes that aren't leaving, in order.
func up(n *membertest.Network) []fleet.VMID {
	var out []fleet.VMID
	for _, node := range n.VMs {
		if node.Up && node.State.Self().State == fleet.Live {
			out = append(out, node.VM.ID)
		}
	}
	slices.Sort(out)
	return out
}

// disagreements lists the running nodes whose offers differ from want.
func disagreements(n *membertest.Network, want []fleet.VMID) []fleet.VMID {
	var out []fleet.VMID
	for _, node := range n.VMs {
		if node.Up && !slices.Equal(offers(node), want) {
			out = append(out, node.VM.ID)
		}
	}
	return out
}

// withdrawnSince counts the times that a running node reported a VM as other
// than live, from the given number of changes on.
func withdrawnSince(n *membertest.Network, marks map[fleet.VMID]int, id fleet.VMID) int {
	count := 0
	for _, node := range n.VMs {
		for _, c := range node.Changes[marks[node.VM.ID]:] {
			if c.VM.ID == id && c.VM.State != fleet.Live {
				count++
			}
		}
	}
	return count
}

func mark(n *membertest.Network) map[fleet.VMID]int {
	m := make(map[fleet.VMID]int)
	for _, node := range n.VMs {
		m[node.VM.ID] = len(node.Changes)
	}
	return m
}
