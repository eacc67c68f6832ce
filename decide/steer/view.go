package steer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Shifts resolves the region to which traffic shifts move a client block.
type Shifts interface {
	// Region returns the region to which the block is moved from home. If
	// moved is true and to is empty, the block goes to any other region, by
	// weight.
	Region(service fleet.ServiceName, home fleet.Region, block uint64) (to fleet.Region, shiftID string, moved bool)
}

// DomainService names one service in one failure domain.
type DomainService struct {
	Domain  fleet.Domain
	Service fleet.ServiceName
}

// Route is the traffic of one service from one region to another. An empty
// Service means every service, an empty To every other region.
type Route struct {
	Service  fleet.ServiceName
	From, To fleet.Region
}

// Inputs is what a View is built from. The View keeps no reference to the
// slices and maps; Blocks and Shifts must not change afterwards.
type Inputs struct {
	// Self is the region of this entry VM, and the home region of clients
	// that are in no block.
	Self   fleet.Region
	Blocks *block.Table // nil: Self is the home region of every client
	VMs    []fleet.VM   // in any state; answers contain only Live ones
	// Weights holds, for each failure domain and service, the share of its
	// normal traffic that the domain takes, as determined by Damper. A
	// missing weight is FullWeight.
	Weights map[DomainService]Weight
	Shifts  Shifts // nil: no shifts
	// Running holds the routes of the running shifts.
	Running []Route
}

// View is an immutable snapshot from which look-ups are answered. It is safe
// for concurrent use.
type View struct {
	self     int // index of the own region; -1 if it has no live entry VM
	selfName fleet.Region
	blocks   *block.Table
	shifts   Shifts
	running  []Route

	vms       []Choice  // live entry VMs, grouped by domain
	seeds     []uint64  // hash of each VM's id, in the order of vms
	domains   []domain  // grouped by region
	regions   []region  // ascending by name
	homes     []homeRef // by block.HomeID
	byRegion  map[fleet.Region]int
	byService map[fleet.ServiceName]int
	// weights holds one row per service named in Inputs.Weights and a last
	// row of full weights for all others; a row has one weight per domain.
	weights [][]Weight
	// evenWeights marks, in the same rows, the regions whose domains all have
	// the same weight.
	evenWeights [][]bool
	// regionWeights holds, in the same rows, the weight of each region: the
	// sum of VMs times weight over its domains.
	regionWeights [][]float64
}

// domain is a failure domain with live entry VMs.
type domain struct {
	name     fleet.Domain
	seed     uint64
	from, to int // its entry VMs in View.vms
}

// region is a region with live entry VMs.
type region struct {
	name     fleet.Region
	seed     uint64
	from, to int // its domains in View.domains
}

// homeRef is a block.Home as indexes into the View. The region is -1 if it has
// no live entry VM; preferred domains without one are left out.
type homeRef struct {
	region  int
	name    fleet.Region
	domains []int
}

// New builds a View. Its cost grows with the entry VMs and homes, not with
// the blocks.
func New(in Inputs) *View {
	v := &View{
		selfName:  in.Self,
		blocks:    in.Blocks,
		shifts:    in.Shifts,
		running:   slices.Clone(in.Running),
		byRegion:  make(map[fleet.Region]int),
		byService: make(map[fleet.ServiceName]int),
	}
	v.addVMs(in.VMs)
	v.self = v.regionIndex(in.Self)
	v.addHomes(in.Blocks)
	v.addWeights(in.Weights)
	return v
}

// addVMs groups the live entry VMs by region and failure domain. All orders
// are by name, so that two daemons with the same inputs build the same View.
func (v *View) addVMs(vms []fleet.VM) {
	live := make([]fleet.VM, 0, len(vms))
	for _, m := range vms {
		if m.State == fleet.Live {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, compareVMs)
	live = slices.CompactFunc(live, func(a, b fleet.VM) bool { return a.ID == b.ID })
	for i, m := range live {
		v.vms = append(v.vms, Choice{VM: m.ID, Addr: m.CallAddr, Region: m.Region, Domain: m.Domain, Site: m.Site})
		v.seeds = append(v.seeds, seedOf("vm", m.ID))
		newRegion := i == 0 || live[i-1].Region != m.Region
		if newRegion {
			v.byRegion[m.Region] = len(v.regions)
			v.regions = append(v.regions, region{
				name: m.Region, seed: seedOf("region", m.Region),
				from: len(v.domains), to: len(v.domains),
			})
		}
		if newRegion || live[i-1].Domain != m.Domain {
			v.domains = append(v.domains, domain{
				name: m.Domain, seed: seedOf("domain", m.Domain), from: i, to: i,
			})
			v.regions[len(v.regions)-1].to++
		}
		v.domains[len(v.domains)-1].to++
	}
}

// seedOf hashes a name with its kind: an entry VM may have its domain's name,
// and their scores must still be independent.
func seedOf[T ~string](kind string, name T) uint64 {
	return xxhash.Sum64String(kind + "/" + string(name))
}

func (v *View) regionIndex(name fleet.Region) int {
	if i, ok := v.byRegion[name]; ok {
		return i
	}
	return -1
}

// addHomes resolves the names of the table's homes to indexes, so that look-ups
// compare no names.
func (v *View) addHomes(t *block.Table) {
	v.homes = make([]homeRef, t.Homes())
	for i := range v.homes {
		h := t.Home(block.HomeID(i))
		ref := homeRef{region: v.regionIndex(h.Region), name: h.Region}
		if ref.region >= 0 {
			ref.domains = v.domainIndexes(v.regions[ref.region], h.Domains)
		}
		v.homes[i] = ref
	}
}

func (v *View) domainIndexes(r region, names []fleet.Domain) []int {
	var out []int
	for _, name := range names {
		for i := r.from; i < r.to; i++ {
			if v.domains[i].name == name {
				out = append(out, i)
			}
		}
	}
	return out
}

// addWeights arranges the weights in rows by service. The result doesn't depend
// on the order of iteration, as each weight has a place of its own.
func (v *View) addWeights(weights map[DomainService]Weight) {
	byDomain := make(map[fleet.Domain]int, len(v.domains))
	for i, d := range v.domains {
		byDomain[d.name] = i
	}
	for _, s := range servicesOf(weights) {
		v.byService[s] = len(v.weights)
		v.weights = append(v.weights, fullWeights(len(v.domains)))
	}
	v.weights = append(v.weights, fullWeights(len(v.domains)))
	for k, w := range weights {
		if d, ok := byDomain[k.Domain]; ok {
			v.weights[v.byService[k.Service]][d] = min(w, FullWeight)
		}
	}
	for _, row := range v.weights {
		v.regionWeights = append(v.regionWeights, v.sumRegionWeights(row))
		v.evenWeights = append(v.evenWeights, v.evenRegions(row))
	}
}

func servicesOf(weights map[DomainService]Weight) []fleet.ServiceName {
	var names []fleet.ServiceName
	for k := range weights {
		names = append(names, k.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func fullWeights(n int) []Weight {
	row := make([]Weight, n)
	for i := range row {
		row[i] = FullWeight
	}
	return row
}

func (v *View) sumRegionWeights(row []Weight) []float64 {
	totals := make([]float64, len(v.regions))
	for i, r := range v.regions {
		for j := r.from; j < r.to; j++ {
			d := &v.domains[j]
			totals[i] += float64(d.to-d.from) * float64(row[j])
		}
	}
	return totals
}

func (v *View) evenRegions(row []Weight) []bool {
	even := make([]bool, len(v.regions))
	for i, r := range v.regions {
		even[i] = true
		for _, w := range row[r.from:r.to] {
			even[i] = even[i] && w == row[r.from]
		}
	}
	return even
}

// compareVMs orders by region, domain and id, and VMs of one id by descending
// incarnation.
func compareVMs(a, b fleet.VM) int {
	return cmp.Or(
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(a.ID, b.ID),
		cmp.Compare(b.Incarnation, a.Incarnation),
	)
}
