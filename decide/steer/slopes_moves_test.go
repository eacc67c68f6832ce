package steer_test

import (
	"net/netip"
	"slices"

	"github.com/azurethread/azurethread/decide/block/blocktest"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/steer/slope"
	"github.com/azurethread/azurethread/decide/steer/steertest"
)

// measureMoves measures which clients move, over all blocks of the planned
// fleet.
func (r *recorder) measureMoves() {
	for _, prefer := range []bool{true, false} {
		suffix, kind := "", ""
		if !prefer {
			suffix, kind = "-free", " without preferred domains"
		}
		in := steertest.Planned.Inputs(blocktest.Table(plannedBlocks, steertest.Planned.Topology(), prefer, 1))
		m := moveMeasurement{r: r, in: in, addrs: blocktest.Addrs(in.Blocks, 1_000_000, 2), suffix: suffix, kind: kind}
		m.before = m.firstChoices()
		m.measureSpread()
		m.measureSiteLoss()
		m.measureWeightChange()
	}
}

type moveMeasurement struct {
	r            *recorder
	in           steer.Inputs
	addrs        []netip.Addr
	before       []steer.Choice
	suffix, kind string
}

func (m *moveMeasurement) firstChoices() []steer.Choice {
	v := steer.New(m.in)
	out := make([]steer.Choice, len(m.addrs))
	for i, a := range m.addrs {
		v.Lookup(service, a, out[i:i+1])
	}
	return out
}

// record adds a series of one point, at the number of sites.
func (m *moveMeasurement) record(name, title, unit string, y float64) {
	m.r.add(name+m.suffix+"/once", title+m.kind, unit, "sites", slope.Point{X: float64(steertest.Planned.Sites), Y: y})
}

// measureSpread compares the load of the sites, with equal capacity for each VM.
func (m *moveMeasurement) measureSpread() {
	clients := make(map[fleet.Site]float64)
	for _, c := range m.before {
		clients[c.Site]++
	}
	vms := make(map[fleet.Site]float64)
	for _, vm := range m.in.VMs {
		vms[vm.Site]++
	}
	mean := float64(len(m.addrs)) / float64(len(m.in.VMs))
	worst := 0.0
	for site, n := range clients {
		worst = max(worst, n/vms[site]/mean)
	}
	m.record("spread", "clients per entry VM, most loaded site to mean", "ratio", worst)
}

// measureSiteLoss removes each of a sample of sites in turn.
func (m *moveMeasurement) measureSiteLoss() {
	const lost = 47 // sites, one in 20
	moved, others := 0.0, 0.0
	vms := m.in.VMs
	for i := range lost {
		site := vms[i*20].Site
		m.in.VMs = slices.Clone(vms)
		for j := range m.in.VMs {
			if m.in.VMs[j].Site == site {
				m.in.VMs[j].State = fleet.Dead
			}
		}
		for j, c := range m.firstChoices() {
			switch {
			case m.before[j].Site == site:
				moved++
			case c != m.before[j]:
				others++
			}
		}
	}
	m.in.VMs = vms
	total := float64(lost * len(m.addrs))
	sites := float64(steertest.Planned.Sites)
	m.record("site-loss", "clients moved by the loss of a site, in parts of the ideal 1/sites", "ratio", (moved+others)/total*sites)
	m.record("site-loss-others", "clients of other sites moved by it, in parts of 1/sites", "ratio", others/total*sites)
}

// measureWeightChange lowers the weight of one domain by 1%.
func (m *moveMeasurement) measureWeightChange() {
	key := steer.DomainService{Domain: "r05-d1", Service: service}
	m.in.Weights = map[steer.DomainService]steer.Weight{key: steer.FullWeight / 100 * 99}
	moved, others, mine := 0.0, 0.0, 0.0
	for j, c := range m.firstChoices() {
		if m.before[j].Domain == key.Domain {
			mine++
		}
		switch {
		case c == m.before[j]:
		case m.before[j].Domain == key.Domain:
			moved++
		default:
			others++
		}
	}
	m.record("weight-change", "clients of a domain moved by 1% less weight, in parts of its clients", "ratio", moved/mine)
	m.record("weight-change-others", "clients of other domains moved by it", "clients", others)
}
