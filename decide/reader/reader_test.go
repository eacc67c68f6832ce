package reader

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

const now = clock.Time(1_000_000_000)

func region(n int) []fleet.VM {
	var vms []fleet.VM
	for i := range n {
		vms = append(vms, fleet.VM{ID: fleet.VMID(fmt.Sprint("vm-", i)), Region: "r1"})
	}
	return vms
}

// In a region of twenty VMs three read the store, and the others poll them in
// about equal parts. This reduces the 29 watches a second of 59 VMs to 5.
func TestFewReadInALargeRegion(t *testing.T) {
	is := is.New(t)
	vms := append(region(20), fleet.VM{ID: "far", Region: "r2"})
	asked := map[fleet.VMID]int{}
	reading := 0
	for _, vm := range vms {
		var s Selector
		if from, ok := s.Source(now, vm, vms); ok {
			asked[from.ID]++
		} else {
			reading++
		}
	}
	is.Equal(reading, readersPerRegion+1) // and the only VM of the other region
	is.Equal(len(asked), readersPerRegion)
	for _, n := range asked {
		is.True(n >= 2)
	}
}

// In a small region, such as one of four VMs of which two may be lost at once,
// all VMs read the store.
func TestAllReadInASmallRegion(t *testing.T) {
	is := is.New(t)
	vms := region(maxVMsAllReading)
	for _, vm := range vms {
		var s Selector
		_, ok := s.Source(now, vm, vms)
		is.True(!ok)
	}
}

// Guards against a VM keeping an old configuration although it can reach the
// store: the readers that it polls terminate or are cut off, one after the
// other, and it waits for their answers.
func TestFollowerWithoutReaderReadsStore(t *testing.T) {
	is := is.New(t)
	vms := region(20)
	var s Selector
	var self fleet.VM
	for _, vm := range vms {
		if _, ok := s.Source(now, vm, vms); ok {
			self = vm
			break
		}
	}
	seen := map[fleet.VMID]bool{}
	for range readersPerRegion {
		from, ok := s.Source(now, self, vms)
		is.True(ok)
		is.True(!seen[from.ID]) // another one each time
		seen[from.ID] = true
		s.Failed(now, from.ID)
	}
	_, ok := s.Source(now, self, vms)
	is.True(!ok) // the store itself
	_, ok = s.Source(now.Add(avoidTime), self, vms)
	is.True(ok) // asked again
}

func TestFresh(t *testing.T) {
	is := is.New(t)
	is.True(Fresh(maxStoreAge))
	is.True(!Fresh(maxStoreAge + 1))
}

// In a region of thirty-three small and nine large VMs in three failure
// domains, the readers are large VMs, one in each domain, and each is polled
// by the VMs of its own domain.
func TestReadersAreStrongAndSpread(t *testing.T) {
	is := is.New(t)
	var vms []fleet.VM
	for i := range 42 {
		vm := fleet.VM{ID: fleet.VMID(fmt.Sprint("vm-", i)), Region: "r1", Domain: fleet.Domain(fmt.Sprint("d", i%3)), Cores: 0.16}
		if i < 9 {
			vm.Cores = 0.8
		}
		vms = append(vms, vm)
	}
	readers := readersOf("r1", vms)
	is.Equal(len(readers), readersPerRegion)
	domains := map[fleet.Domain]bool{}
	for _, vm := range readers {
		is.Equal(vm.Cores, 0.8)
		domains[vm.Domain] = true
	}
	is.Equal(len(domains), 3)
	for _, vm := range vms[9:] {
		var s Selector
		from, ok := s.Source(now, vm, vms)
		is.True(ok)
		is.Equal(from.Domain, vm.Domain)
	}
}
