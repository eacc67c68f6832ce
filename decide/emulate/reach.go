package emulate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// arrival notes when requests reach targets, and where.
type arrival struct {
	at          clock.Time
	otherRegion bool // from the region of their callers
}

// ShareChange is a change of the share of a region's requests that reach targets of
// other regions, from one window to the next.
type ShareChange struct {
	Region   fleet.Region
	Second   float64 // at which the first window ends and the next one begins
	Before   RegionCount
	After    RegionCount
	Deviates float64 // standard deviations of chance that it lies beyond the bound
}

// RegionCount counts requests of a region and those of them that reached others.
type RegionCount struct{ All, Away int }

func (s RegionCount) otherShare() float64 { return float64(s.Away) / float64(s.All) }

// Change is by how much the share differs.
func (s *ShareChange) Change() float64 { return math.Abs(s.After.otherShare() - s.Before.otherShare()) }

// shareCheckInterval is the distance between the instants at which windows are compared.
const shareCheckInterval = 100 * time.Millisecond

// minWindowRequests is the number of requests in a window below which its share says
// nothing: by chance alone one of 20 deviates by 0.11, which is most of what
// operators allow.
const minWindowRequests = 20

// worstShareChange compares, for each region and at each step of the load, the
// requests that reached targets in the window before with those in the window
// after, and returns the change that is hardest to put down to chance. The last
// window begins with the end of the load: it holds what was on its way then.
func (b *recorder) worstShareChange(bound float64, window, load time.Duration) ShareChange {
	var worst ShareChange
	for _, region := range sortedKeys(b.arrivals) {
		list := b.arrivals[region]
		slices.SortStableFunc(list, func(x, y arrival) int { return cmp.Compare(x.at, y.at) })
		for at := b.loadStart.Add(window); at <= b.loadStart.Add(load); at = at.Add(shareCheckInterval) {
			s := ShareChange{Region: region, Second: at.Sub(b.loadStart).Seconds()}
			s.Before, s.After = countArrivals(list, at.Add(-window), at), countArrivals(list, at, at.Add(window))
			if min(s.Before.All, s.After.All) < minWindowRequests {
				continue
			}
			s.Deviates = (s.Change() - bound) / s.standardDeviation()
			if worst.Region == "" || s.Deviates > worst.Deviates {
				worst = s
			}
		}
	}
	return worst
}

// standardDeviation is the standard deviation of the difference if both windows were drawn
// with the share of the two together.
func (s *ShareChange) standardDeviation() float64 {
	both := RegionCount{All: s.Before.All + s.After.All, Away: s.Before.Away + s.After.Away}
	p := both.otherShare()
	least := 1 / float64(both.All) // a share of 0 or 1 is not known for certain
	return math.Sqrt(max(p*(1-p), least) * (1/float64(s.Before.All) + 1/float64(s.After.All)))
}

// countArrivals counts what came from one instant until another.
func countArrivals(list []arrival, from, until clock.Time) RegionCount {
	var s RegionCount
	first, _ := slices.BinarySearchFunc(list, from, func(x arrival, at clock.Time) int { return cmp.Compare(x.at, at) })
	for _, x := range list[first:] {
		if !x.at.Before(until) {
			break
		}
		s.All++
		if x.otherRegion {
			s.Away++
		}
	}
	return s
}
