package emulate

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"gonum.org/v1/gonum/stat"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
)

// randomSite draws a deployment, its load and its faults. All values are drawn
// from plausible ranges and are independent of any known deployment.
func randomSite(seed uint64) *Pattern {
	d := draw{rand.New(rand.NewPCG(seed, 26))}
	p := &Pattern{
		Name: fmt.Sprintf("site-%d", seed), Seconds: 6,
		Network: Network{
			CallerMS: d.between(1, 8), DomainMS: d.between(0.1, 0.5),
			RegionMS: d.between(0.5, 3), FarMS: d.between(10, 100), IdleSeconds: d.between(2, 12),
		},
		RegionShift: d.between(0.05, 0.3), RepeatRatio: d.between(0.1, 0.3), RepeatSlack: d.between(5, 60),
		ColdFactor: d.between(1, 2), ColdSlack: d.between(2, 10),
	}
	for i := range 1 + d.IntN(3) {
		p.Services = append(p.Services, d.service(i))
	}
	for i := range 1 + d.IntN(4) {
		p.Kinds = append(p.Kinds, d.kind(i, p.Services))
	}
	p.Domains = d.domains(p.Services)
	d.load(p)
	for range 1 + d.IntN(3) {
		p.Events = append(p.Events, d.event(p))
	}
	return p
}

type draw struct{ *rand.Rand }

func (d draw) between(low, high float64) float64 { return low + (high-low)*d.Float64() }

// spread draws a number between low and high on a logarithmic scale, so half of
// them are below the geometric mean.
func (d draw) spread(low, high float64) float64 {
	return low * math.Pow(high/low, d.Float64())
}

func (d draw) service(i int) Service {
	slots := 2 + d.IntN(6)
	return Service{
		Name: fleet.ServiceName(fmt.Sprintf("s%d", i)), Slots: slots, Queue: d.IntN(4 * slots),
		CachedObjects: 10 + d.IntN(110), ColdRate: d.between(4, 40), ColdTime: d.between(1, 4),
	}
}

func (d draw) kind(i int, services []Service) Kind {
	aim, worth := d.spread(200, 1500), d.between(1, 3)
	return Kind{
		Name: fmt.Sprintf("k%d", i), Service: services[d.IntN(len(services))].Name, Share: d.between(1, 6),
		Idempotent: d.IntN(2) == 0, Priority: d.IntN(3), LatencyGoalMS: aim, PatienceMS: aim * d.between(2, 5),
		WorkMS: aim * d.between(0.3, 1.2), WorkSpread: d.between(0, 0.5), WarmSaving: d.between(0.2, 0.8),
		Objects: int(d.spread(10, 300)), BodyBytes: d.IntN(2) * 60_000, Retries: d.IntN(3),
		Worth: worth, LateWorth: worth * d.between(0, 0.4),
	}
}

// domains draws the failure domains of two to four regions that differ in size by
// up to a factor of ten.
func (d draw) domains(services []Service) []Domain {
	var all []Domain
	for r := range 2 + d.IntN(3) {
		size := d.spread(0.1, 1)
		for z := range 1 + d.IntN(3) {
			domain := Domain{
				Name: fleet.Domain(fmt.Sprintf("r%d-%d", r, z)), Region: fleet.Region(fmt.Sprintf("r%d", r)),
				VMs: 1 + d.IntN(3), Targets: make(map[fleet.ServiceName]int),
			}
			for _, s := range services {
				domain.Targets[s.Name] = max(1, int(size*d.between(1, 5)))
			}
			all = append(all, domain)
		}
	}
	return all
}

// load sets the callers' rate of each failure domain. The total is such that the
// most loaded service uses between four tenths and all of its slots.
func (d draw) load(p *Pattern) {
	slots, need := make(map[fleet.ServiceName]float64), make(map[fleet.ServiceName]float64)
	for _, s := range p.Services {
		for _, domain := range p.Domains {
			slots[s.Name] += float64(domain.Targets[s.Name] * s.Slots)
		}
	}
	shares := 0.0
	for _, k := range p.Kinds {
		shares += k.Share
		need[k.Service] += k.Share * k.WorkMS / 1000 * (1 - k.WarmSaving/2)
	}
	rate := math.Inf(1)
	for s, n := range need {
		rate = min(rate, slots[s]/n*shares)
	}
	rate *= d.between(0.4, 1)
	weights := 0.0
	for i := range p.Domains {
		p.Domains[i].PerSecond = d.spread(0.2, 1)
		weights += p.Domains[i].PerSecond
	}
	for i := range p.Domains {
		p.Domains[i].PerSecond *= rate / weights
	}
}

// siteEvents are the events of random sites, which have no accounts.
var siteEvents = []EventKind{
	Burst, Evacuate, KillVMs, RestartTargets, SlowTargets, GreyTargets, ShedTargets, LimitTargets, QueryOfDeath,
}

func (d draw) event(p *Pattern) Event {
	e := Event{
		Kind: siteEvents[d.IntN(len(siteEvents))], Start: d.between(1, 5), Duration: d.between(0.5, 3),
		Share: d.between(0.1, 1),
	}
	switch e.Kind {
	case Burst:
		e.Value = d.between(1.3, 2.5)
	case SlowTargets:
		e.Value = d.between(2, 10)
	case GreyTargets, ShedTargets:
		e.Value = d.between(0.2, 0.9)
	case Evacuate:
		e.Domain = p.Domains[d.IntN(len(p.Domains))].Name
	}
	return e
}

// siteWorth is the mean worth of a random site's runs with and without a
// mechanism.
type siteWorth struct{ with, without float64 }

func (d siteWorth) gain() float64  { return d.with - d.without }
func (d siteWorth) level() float64 { return d.with + d.without }

// meanWorths returns the mean worth of each site's runs.
func meanWorths(sites []*Pattern, without ingress.Mechanisms) []float64 {
	worth := make([]float64, len(sites))
	parallel(len(sites), func(i int) {
		for seed := range uint64(fewSeeds) {
			worth[i] += Run(sites[i], Variant{Seed: seed + 1, Disabled: without}).All.Worth() / fewSeeds
		}
	})
	return worth
}

// worstTenth returns the tenth of the sites with the lowest worth. It ranks them by
// the mean of both variants: ranked by one variant only, sites with a bad result by
// chance would appear as a difference.
func worstTenth(all []siteWorth) []siteWorth {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b siteWorth) int { return cmp.Compare(a.level(), b.level()) })
	return all[:len(all)/10]
}

// meanGain returns the mean gain of sites and its standard error.
func meanGain(sites []siteWorth) (gain, deviation float64) {
	gains := make([]float64, len(sites))
	for i, d := range sites {
		gains[i] = d.gain()
	}
	gain, deviation = stat.MeanStdDev(gains, nil)
	return gain, stat.StdErr(deviation, float64(len(gains)))
}

var siteCount = flag.Int("sites", 120, "number of random sites in TestNoMechanismHarmsTheWorstSites")

// Guards against mechanisms that improve the known deployments but make others
// worse, because they fit the figures of these deployments and not what
// deployments have in common. The deployments, loads and faults are random.
func TestNoMechanismHarmsTheWorstSites(t *testing.T) {
	const confidence = 3 // standard errors: one mechanism in 700 exceeds this by chance
	sites := make([]*Pattern, *siteCount)
	for i := range sites {
		sites[i] = randomSite(uint64(i))
		is.New(t).NoErr(sites[i].Check())
	}
	with := meanWorths(sites, 0)
	for _, name := range ingress.MechanismNames() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mechanism, err := ingress.ParseMechanisms(name)
			is.NoErr(err)
			var all []siteWorth
			for i, without := range meanWorths(sites, mechanism) {
				all = append(all, siteWorth{with: with[i], without: without})
			}
			gain, stdErr := meanGain(worstTenth(all))
			gainOfAll, stdErrOfAll := meanGain(all)
			t.Logf("worth of the worst tenth %+.4f (standard error %.4f), of all %+.4f (%.4f)", gain, stdErr, gainOfAll, stdErrOfAll)
			is.True(gain >= -confidence*stdErr)
		})
	}
}
