package ingress

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

func vmsOf(places ...string) []fleet.VM {
	var vms []fleet.VM
	for i, d := range places {
		vms = append(vms, fleet.VM{
			ID: fleet.VMID(fmt.Sprint("vm", i)), Domain: fleet.Domain(d), Region: fleet.Region(d[:1]),
		})
	}
	return vms
}

func domainsOf(vms []fleet.VM) []string {
	out := []string{}
	for _, vm := range vms {
		out = append(out, string(vm.Domain))
	}
	return out
}

// Symptom: all callers of a failure domain fail for seconds when its only entry
// VM is stopped or killed, beside others that serve.
// Sequence: callers hold an answer that names this VM alone.
// Cause: answers named the VMs of the failure domain, however few.
func TestLookupNamesSeveralVMs(t *testing.T) {
	is := is.New(t)
	l := Lookup{Domain: "a1", Region: "a"}
	is.Equal(domainsOf(nearest(vmsOf("a1", "a2", "a2", "b1"), l)), []string{"a1", "a2"})
	is.Equal(domainsOf(nearest(vmsOf("a1", "a1", "a2", "b1"), l)), []string{"a1", "a1"})
	is.Equal(domainsOf(nearest(vmsOf("a1", "a1", "a1", "a2"), l)), []string{"a1", "a1", "a1"})
	is.Equal(len(nearest(vmsOf("a2", "a3", "a3", "b1"), l)), 3) // all of the region
	is.Equal(len(nearest(vmsOf("b1", "b2", "c1"), l)), 3)       // all there are
	is.Equal(len(nearest(nil, l)), 0)
}

// Symptom: bodies that are bound to their region are sent to another one.
// Sequence: a region has a single entry VM.
// Cause: a second address was looked for everywhere.
func TestLookupStaysInRegion(t *testing.T) {
	is := is.New(t)
	l := Lookup{Domain: "a1", Region: "a"}
	is.Equal(domainsOf(nearest(vmsOf("a1", "b1", "b2"), l)), []string{"a1"})
}

// Symptom: the callers of all small failure domains turn to the same VM.
// Sequence: each of them has one VM and needs a second.
// Cause: the second was the first of the list.
func TestLookupSpreadsSecondVM(t *testing.T) {
	is := is.New(t)
	vms := vmsOf("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8")
	second := map[fleet.VMID]int{}
	for _, vm := range vms {
		second[nearest(vms, Lookup{Domain: vm.Domain, Region: "a"})[1].ID]++
	}
	is.True(len(second) >= 4)
}

// Pattern: a failure domain of thirty VMs with a sixth of a core and three with
// most of one, which hold a third of its processors. Requests that are spread
// over all of them meet a target from so many VMs that nine of ten open a
// connection, and wait for a sixth of a core each time.
func TestLookupPrefersStrongVMs(t *testing.T) {
	is := is.New(t)
	sized := func(strong, weak int) []fleet.VM {
		vms := vmsOf(slices.Repeat([]string{"a1"}, strong+weak)...)
		for i := range vms {
			vms[i].Cores = 0.16
			if i < strong {
				vms[i].Cores = 0.8
			}
		}
		return vms
	}
	l := Lookup{Domain: "a1", Region: "a"}
	is.Equal(len(nearest(sized(3, 30), l)), 3)
	is.Equal(len(nearest(sized(2, 8), l)), 2)
	is.Equal(len(nearest(sized(2, 30), l)), 32) // too few of them to bear it
	is.Equal(len(nearest(sized(1, 2), l)), 3)   // one may be down
	is.Equal(len(nearest(sized(0, 9), l)), 9)
}

// BenchmarkNearest is a look-up among 85 entry VMs of three regions.
func BenchmarkNearest(b *testing.B) {
	var places []string
	for i := range 85 {
		places = append(places, fmt.Sprint([]string{"a", "b", "c"}[i%3], i%9))
	}
	vms := vmsOf(places...)
	for b.Loop() {
		nearest(vms, Lookup{Domain: "a3", Region: "a"})
	}
}
