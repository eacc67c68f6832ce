// Package steertest generates fleets of entry VMs for tests and benchmarks.
package steertest

import (
	"fmt"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/block/blocktest"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
)

// Size is the size of a fleet.
type Size struct {
	Regions, Domains, Sites, VMs int
}

// Planned is the size of fleet that docs/CAPACITY.md assumes.
var Planned = Size{Regions: 22, Domains: 77, Sites: 940, VMs: 3300}

// Topology returns the regions and failure domains of s.
func (s Size) Topology() block.Topology { return blocktest.Topology(s.Regions, s.Domains) }

// Fleet returns the entry VMs of s, all live. Sites are assigned to domains and
// VMs to sites round-robin, so that their numbers differ by one at most.
func (s Size) Fleet() []fleet.VM {
	vms := make([]fleet.VM, s.VMs)
	for i := range vms {
		site := i % s.Sites
		domain := site % s.Domains
		region := blocktest.RegionName(domain % s.Regions)
		name := fmt.Sprintf("%s-d%d", region, domain/s.Regions)
		vms[i] = fleet.VM{
			ID:          fleet.VMID(fmt.Sprintf("entry-%d", i)),
			Region:      region,
			Domain:      fleet.Domain(name),
			Site:        fleet.Site(fmt.Sprintf("%s-s%d", name, site/s.Domains)),
			CallAddr:    fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Incarnation: 1,
		}
	}
	return vms
}

// Inputs returns the inputs of a View over s with the given blocks.
func (s Size) Inputs(blocks *block.Table) steer.Inputs {
	return steer.Inputs{Self: blocktest.RegionName(0), Blocks: blocks, VMs: s.Fleet()}
}
