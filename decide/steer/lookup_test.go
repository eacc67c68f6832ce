package steer_test

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/block/blocktest"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/steer/steertest"
)

const service = fleet.ServiceName("calc-lookup")

// smallFleet has the size of a present deployment, with one site per domain.
var smallFleet = steertest.Size{Regions: 3, Domains: 6, Sites: 6, VMs: 12}

// mediumFleet is large enough to measure shares of clients.
var mediumFleet = steertest.Size{Regions: 4, Domains: 12, Sites: 48, VMs: 192}

// oddHashShift moves the blocks with an odd hash out of one region.
type oddHashShift struct {
	from, to fleet.Region
}

func (h oddHashShift) Region(s fleet.ServiceName, home fleet.Region, hash uint64) (fleet.Region, string, bool) {
	if home != h.from || s != service || hash%2 == 0 {
		return "", "", false
	}
	return h.to, "rehearsal-1", true
}

// lookupAll returns the answer and the choices for every address.
func lookupAll(v *steer.View, addrs []netip.Addr) (answers []steer.Answer, choices [][]steer.Choice) {
	for _, a := range addrs {
		out := make([]steer.Choice, 4)
		ans := v.Lookup(service, a, out)
		answers = append(answers, ans)
		choices = append(choices, out[:ans.N])
	}
	return answers, choices
}

// distinctDomains returns the number of failure domains in choices.
func distinctDomains(choices []steer.Choice) int {
	var names []fleet.Domain
	for _, c := range choices {
		names = append(names, c.Domain)
	}
	slices.Sort(names)
	return len(slices.Compact(names))
}

// distinctVMs returns the number of entry VMs in choices.
func distinctVMs(choices []steer.Choice) int {
	vms := map[fleet.VMID]bool{}
	for _, c := range choices {
		vms[c.VM] = true
	}
	return len(vms)
}

func TestAnswerIsInHomeRegionAndSpansTwoDomains(t *testing.T) {
	for _, size := range []steertest.Size{smallFleet, mediumFleet} {
		is := is.New(t)
		tab := blocktest.Table(1000, size.Topology(), true, 1)
		v := steer.New(size.Inputs(tab))
		addrs := blocktest.Addrs(tab, 1000, 1)
		answers, choices := lookupAll(v, addrs)
		for i, a := range answers {
			m, _ := tab.Lookup(addrs[i])
			home := tab.Home(m.Home)
			is.True(a.Known)
			is.Equal(a.Home, home.Region)
			is.Equal(a.Region, home.Region)
			is.Equal(a.Block, block.Hash(m.Prefix))
			is.Equal(a.TTL, steer.TTLSteady)
			is.True(a.N >= 2)
			is.Equal(choices[i][0].Domain, home.Domains[0]) // the preferred one
			is.True(distinctDomains(choices[i][:2]) == 2)
			is.Equal(distinctVMs(choices[i]), a.N)
		}
	}
}

func TestUnknownClientUsesOwnRegion(t *testing.T) {
	is := is.New(t)
	in := smallFleet.Inputs(nil)
	in.Self = "r02"
	answers, choices := lookupAll(steer.New(in), []netip.Addr{
		netip.MustParseAddr("192.0.2.7"), netip.MustParseAddr("192.0.2.250"), netip.MustParseAddr("fe80::1%eth0"),
	})
	for i, a := range answers {
		is.True(!a.Known)
		is.Equal(a.Region, fleet.Region("r02"))
		is.True(distinctDomains(choices[i]) >= 2)
	}
	is.Equal(answers[0].Block, answers[1].Block) // one /24
}

// Guards against sending callers to an entry VM that refuses them. A VM that is
// leaving or dead stays in the platform's list, which lags, so look-ups must
// answer with live VMs only.
func TestOnlyLiveVMsAreAnswered(t *testing.T) {
	is := is.New(t)
	tab := blocktest.Table(1000, smallFleet.Topology(), false, 1)
	in := smallFleet.Inputs(tab)
	in.VMs[0].State, in.VMs[1].State = fleet.Leaving, fleet.Dead
	_, choices := lookupAll(steer.New(in), blocktest.Addrs(tab, 1000, 1))
	for _, c := range choices {
		for _, x := range c {
			is.True(x.VM != in.VMs[0].ID && x.VM != in.VMs[1].ID)
		}
	}
}

func TestNoLiveEntryVM(t *testing.T) {
	is := is.New(t)
	a := steer.New(steer.Inputs{Self: "attiki"}).Lookup(service, netip.MustParseAddr("192.0.2.7"), make([]steer.Choice, 2))
	is.Equal(a.N, 0)
	is.Equal(a.Region, fleet.Region(""))
}

// Guards against callers without any usable address when a region has one
// failure domain left and that domain fails: the last choice must be in another
// region.
func TestRegionWithOneDomainAddsChoiceElsewhere(t *testing.T) {
	is := is.New(t)
	tab := blocktest.Table(1000, smallFleet.Topology(), false, 1)
	in := smallFleet.Inputs(tab)
	for i := range in.VMs {
		if in.VMs[i].Domain == "r01-d1" {
			in.VMs[i].State = fleet.Dead
		}
	}
	answers, choices := lookupAll(steer.New(in), blocktest.Addrs(tab, 1000, 1))
	for i, a := range answers {
		is.Equal(a.Region, a.Home)
		is.True(distinctDomains(choices[i]) >= 2)
	}
}

// Guards against overloading one region after the loss of another. When all
// entry VMs of a region die, its clients must spread over all other regions by
// weight, with a short time to live so that they return soon after the region
// does.
func TestLostRegionSpreadsByWeight(t *testing.T) {
	is := is.New(t)
	tab := blocktest.Table(40_000, mediumFleet.Topology(), false, 1)
	in := mediumFleet.Inputs(tab)
	for i := range in.VMs {
		if in.VMs[i].Region == "r00" {
			in.VMs[i].State = fleet.Dead
		}
	}
	in.Weights = map[steer.DomainService]steer.Weight{}
	for _, d := range mediumFleet.Topology()["r01"] {
		in.Weights[steer.DomainService{Domain: d, Service: service}] = steer.FullWeight / 2
	}
	answers, _ := lookupAll(steer.New(in), blocktest.Addrs(tab, 20_000, 1))
	lost := map[fleet.Region]float64{}
	total := 0.0
	for _, a := range answers {
		if a.Home == "r00" {
			is.Equal(a.TTL, steer.TTLMoving)
			lost[a.Region]++
			total++
		} else {
			is.Equal(a.Region, a.Home)
		}
	}
	is.True(within(lost["r01"]/total, 0.2, 0.03))
	is.True(within(lost["r02"]/total, 0.4, 0.03))
	is.True(within(lost["r03"]/total, 0.4, 0.03))
}

func within(got, want, tolerance float64) bool { return got > want-tolerance && got < want+tolerance }

func TestShiftMovesItsClients(t *testing.T) {
	is := is.New(t)
	tab := blocktest.Table(2000, smallFleet.Topology(), true, 1)
	in := smallFleet.Inputs(tab)
	in.Shifts = oddHashShift{from: "r00", to: "r01"}
	in.Running = []steer.Route{{Service: service, From: "r00", To: "r01"}}
	answers, choices := lookupAll(steer.New(in), blocktest.Addrs(tab, 2000, 1))
	moved := 0
	for i, a := range answers {
		want := a.Home == "r00" && a.Block%2 == 1
		is.Equal(a.Moved, want)
		is.Equal(a.TTL == steer.TTLMoving, a.Home == "r00")
		if !want {
			is.Equal(a.Region, a.Home)
			is.Equal(a.ShiftID, "")
			continue
		}
		moved++
		is.Equal(a.Region, fleet.Region("r01"))
		is.Equal(a.ShiftID, "rehearsal-1")
		is.Equal(choices[i][0].Region, fleet.Region("r01"))
	}
	is.True(moved > 200)
}

func TestShiftToEveryOtherRegion(t *testing.T) {
	is := is.New(t)
	tab := blocktest.Table(2000, smallFleet.Topology(), false, 1)
	in := smallFleet.Inputs(tab)
	in.Shifts = oddHashShift{from: "r00"}
	answers, _ := lookupAll(steer.New(in), blocktest.Addrs(tab, 2000, 1))
	to := map[fleet.Region]int{}
	for _, a := range answers {
		if a.Moved {
			to[a.Region]++
		}
	}
	is.Equal(len(to), 2)
	is.Equal(to["r00"], 0)
}

// Guards against unusable answers when the receiver of a running shift, such as
// a rehearsal, loses all its entry VMs. The shift still names that region, so
// its clients must stay at home and not count as moved.
func TestShiftToLostRegionMovesNobody(t *testing.T) {
	is := is.New(t)
	tab := blocktest.Table(2000, smallFleet.Topology(), false, 1)
	in := smallFleet.Inputs(tab)
	in.Shifts = oddHashShift{from: "r00", to: "r01"}
	for i := range in.VMs {
		if in.VMs[i].Region == "r01" {
			in.VMs[i].State = fleet.Dead
		}
	}
	answers, _ := lookupAll(steer.New(in), blocktest.Addrs(tab, 2000, 1))
	for _, a := range answers {
		is.True(!a.Moved)
		is.True(a.Region != "r01")
		is.True(a.Home == "r01" || a.Region == a.Home)
	}
}

// Guards against answers to one client that differ between daemons because they
// received the same fleet in a different order.
func TestOrderOfInputsDoesNotMatter(t *testing.T) {
	is := is.New(t)
	tab := blocktest.Table(1000, mediumFleet.Topology(), false, 1)
	addrs := blocktest.Addrs(tab, 500, 1)
	in := mediumFleet.Inputs(tab)
	_, want := lookupAll(steer.New(in), addrs)
	slices.Reverse(in.VMs)
	stale := in.VMs[0]
	stale.Incarnation = 0
	in.VMs = append(in.VMs, stale) // an earlier incarnation still listed
	_, got := lookupAll(steer.New(in), addrs)
	is.Equal(got, want)
}

func TestLookupAllocatesNothing(t *testing.T) {
	is := is.New(t)
	tab := blocktest.Table(2000, smallFleet.Topology(), true, 1)
	in := smallFleet.Inputs(tab)
	in.Shifts = oddHashShift{from: "r00"}
	in.Running = []steer.Route{{From: "r00"}}
	v := steer.New(in)
	addrs := blocktest.Addrs(tab, 100, 1)
	out := make([]steer.Choice, 4)
	n := testing.AllocsPerRun(100, func() {
		for _, a := range addrs {
			v.Lookup(service, a, out)
		}
	})
	is.Equal(n, 0.0)
}
