package shift

import (
	"math"
	"slices"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// flow is the traffic of one service that a shift moves, with its figures. A
// missing figure is nil.
type flow struct {
	service   fleet.ServiceName
	count     *Count
	sender    *Load
	receivers []receiver
}

// receiver is one region that receives a flow.
type receiver struct {
	region   fleet.Region
	load     *Load
	fraction float64 // largest part of the flow that it may receive
}

// flowsOf returns one flow per service of s.
func flowsOf(o Options, s *catalogue.Shift, services []fleet.ServiceName, e *Evidence) []flow {
	flows := make([]flow, 0, len(services))
	for _, name := range services {
		f := flow{service: name, count: e.count(s.ID, name), sender: e.load(s.From, name)}
		if s.To != "" {
			f.receivers = []receiver{{region: s.To, load: e.load(s.To, name), fraction: 1}}
		} else {
			f.receivers = splitByCapacity(o, s, name, e)
		}
		flows = append(flows, f)
	}
	return flows
}

// splitByCapacity divides a flow among all regions but its sender in proportion
// to their capacity. Regions that can't serve receive nothing, as look-ups
// don't return them. The actual part of a region depends on hashes and weights,
// so SplitFactor times its proportional part is assumed.
func splitByCapacity(o Options, s *catalogue.Shift, name fleet.ServiceName, e *Evidence) []receiver {
	var out []receiver
	total := 0.0
	for i := range e.Loads {
		l := &e.Loads[i]
		if l.Service != name || l.Region == s.From || (l.valid() && l.failing()) {
			continue
		}
		out = append(out, receiver{region: l.Region, load: l, fraction: l.Capacity})
		total += l.Capacity
	}
	for i := range out {
		out[i].fraction = math.Min(1, o.SplitFactor*out[i].fraction/total)
	}
	slices.SortFunc(out, func(a, b receiver) int {
		if a.region < b.region {
			return -1
		}
		return 1
	})
	return out
}

// maxSlots returns the largest number of additional slots that the flow may
// occupy in other regions if the share rises from low to high. It assumes the
// larger of two parts of the requests: the one counted for the blocks between
// low and high, and their proportional one, because blocks with few requests now
// may have more later. ColdFactor covers the cold caches that moved clients meet.
func (f *flow) maxSlots(o Options, low, high catalogue.Share) float64 {
	if low >= high || f.count.Total == 0 {
		return 0
	}
	counted := f.count.fractionBelow(high) - f.count.fractionBelow(low/unitsPerPosition*unitsPerPosition)
	return f.count.Demand() * math.Max(counted, fractionOf(high-low)) * o.ColdFactor
}

// movedFraction returns the counted fraction of requests that the shift moves.
func (f *flow) movedFraction() float64 {
	if f.count.Total == 0 {
		return 0
	}
	return float64(f.count.Moved) / float64(f.count.Total)
}

// forecastFraction returns the fraction of requests that would be moved at
// share high if the share is now. If more requests are moved than the positions
// below now account for, for example because callers still use old answers, the
// excess is assumed to remain.
func (f *flow) forecastFraction(now, high catalogue.Share) float64 {
	excess := math.Max(0, f.movedFraction()-f.count.fractionBelow(now))
	return math.Min(1, f.count.fractionBelow(high)+excess)
}

// marginDeviations is the sampling margin of a forecast below the cap, in
// standard deviations.
const marginDeviations = 3

// withMargin returns the fraction p, counted over total requests, plus its
// sampling margin.
func withMargin(p float64, total uint64) float64 {
	if total == 0 {
		return p
	}
	return p + marginDeviations*math.Sqrt(p*(1-p)/float64(total))
}
