package shift

import (
	"math"
	"slices"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// flow is what a shift moves of one service, with the figures about it. A
// missing figure is nil.
type flow struct {
	service   fleet.ServiceName
	count     *Count
	sender    *Load
	receivers []receiver
}

// receiver is one region that a flow goes to.
type receiver struct {
	region   fleet.Region
	load     *Load
	fraction float64 // largest part of the flow that it may get
}

// flowsOf gathers the flows of s.
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

// splitByCapacity divides a flow among all regions but its sender, by capacity. Regions
// that can't serve get nothing; look-ups answer with the others. Where a
// region's part really lies depends on hashes and weights, so each is reckoned
// with SplitFactor times its part.
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

// maxSlots returns the most slots that the flow may newly keep busy elsewhere if
// the share goes from low to high. Where the blocks between them carry more
// than their part of the requests, the count says so; where they carry less,
// that may change, and their part is reckoned with. What moves is cold.
func (f *flow) maxSlots(o Options, low, high catalogue.Share) float64 {
	if low >= high || f.count.Total == 0 {
		return 0
	}
	counted := f.count.fractionBelow(high) - f.count.fractionBelow(low/unitsPerPosition*unitsPerPosition)
	return f.count.Demand() * math.Max(counted, fractionOf(high-low)) * o.ColdFactor
}

// movedFraction returns the part of the flow's requests that the shift moves.
func (f *flow) movedFraction() float64 {
	if f.count.Total == 0 {
		return 0
	}
	return float64(f.count.Moved) / float64(f.count.Total)
}

// forecastFraction returns the part of the requests that would be moved at share high,
// when the share is now. What is moved beyond the count by position, such as by
// callers holding on to old answers, is taken to stay.
func (f *flow) forecastFraction(now, high catalogue.Share) float64 {
	excess := math.Max(0, f.movedFraction()-f.count.fractionBelow(now))
	return math.Min(1, f.count.fractionBelow(high)+excess)
}

// marginDeviations is how many standard deviations of sampling a forecast
// must stay below the cap.
const marginDeviations = 3

// withMargin returns p and the sampling margin of a part counted over total.
func withMargin(p float64, total uint64) float64 {
	if total == 0 {
		return p
	}
	return p + marginDeviations*math.Sqrt(p*(1-p)/float64(total))
}
