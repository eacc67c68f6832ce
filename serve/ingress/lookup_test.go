package ingress

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

// vmsOf returns one VM for each of the failure domains. The region of a domain is
// the first letter of its name.
func vmsOf(domains ...string) []fleet.VM {
	var vms []fleet.VM
	for i, d := range domains {
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

// Guards against all callers of a failure domain failing for seconds when its
// only entry VM is stopped or killed: look-ups return only the VMs of the
// domain, and callers keep using an answer with this single VM.
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

// Guards against bodies that are restricted to their region being sent to
// another one: a region has a single entry VM, and the second address is taken
// from any region.
func TestLookupStaysInRegion(t *testing.T) {
	is := is.New(t)
	l := Lookup{Domain: "a1", Region: "a"}
	is.Equal(domainsOf(nearest(vmsOf("a1", "b1", "b2"), l)), []string{"a1"})
}

// Guards against the callers of all small failure domains using the same VM:
// each domain has one VM and needs a second, which is always the first of the
// list.
func TestLookupSpreadsSecondVM(t *testing.T) {
	is := is.New(t)
	vms := vmsOf("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8")
	second := map[fleet.VMID]int{}
	for _, vm := range vms {
		second[nearest(vms, Lookup{Domain: vm.Domain, Region: "a"})[1].ID]++
	}
	is.True(len(second) >= 4)
}

// Guards against look-ups that spread requests over all VMs of a failure domain
// with thirty VMs of a sixth of a core and three of most of a core, which have a
// third of its CPU. Each target would get requests from so many VMs that nine of
// ten open a connection, and most requests would be processed with a sixth of a
// core.
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
	is.Equal(len(nearest(sized(2, 30), l)), 32) // the strong ones have too little CPU
	is.Equal(len(nearest(sized(1, 2), l)), 3)   // one may be down
	is.Equal(len(nearest(sized(0, 9), l)), 9)
}

// BenchmarkNearest measures a look-up among 85 entry VMs of three regions.
func BenchmarkNearest(b *testing.B) {
	var domains []string
	for i := range 85 {
		domains = append(domains, fmt.Sprint([]string{"a", "b", "c"}[i%3], i%9))
	}
	vms := vmsOf(domains...)
	for b.Loop() {
		nearest(vms, Lookup{Domain: "a3", Region: "a"})
	}
}
