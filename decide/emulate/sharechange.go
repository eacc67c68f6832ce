package emulate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// arrival records when a request reached a target.
type arrival struct {
	at          clock.Time
	otherRegion bool // the target is not in the caller's region
}

// ShareChange is the change, from one window to the next, of the share of a
// region's requests that reach targets in other regions.
type ShareChange struct {
	Region   fleet.Region
	Second   float64 // boundary between the two windows
	Before   RegionCount
	After    RegionCount
	Deviates float64 // excess over the bound, in standard deviations
}

// RegionCount counts the requests of a region (All) and those of them that reached
// targets in other regions (Away).
type RegionCount struct{ All, Away int }

func (s RegionCount) otherShare() float64 { return float64(s.Away) / float64(s.All) }

// Change returns the absolute change of the share.
func (s *ShareChange) Change() float64 { return math.Abs(s.After.otherShare() - s.Before.otherShare()) }

// shareCheckInterval is the interval at which windows are compared.
const shareCheckInterval = 100 * time.Millisecond

// minWindowRequests is the minimum number of requests in a window for its share
// to be compared. With 20 requests the standard deviation of the share is up to
// 0.11, which is most of the change that operators allow.
const minWindowRequests = 20

// worstShareChange compares, for each region and at each shareCheckInterval of the
// load, the requests that reached targets in the window before and in the window
// after. It returns the change that is least likely to exceed the bound by
// chance. The last window starts at the end of the load; it holds the requests
// that were in transit then.
func (rec *recorder) worstShareChange(bound float64, window, load time.Duration) ShareChange {
	var worst ShareChange
	for _, region := range sortedKeys(rec.arrivals) {
		list := rec.arrivals[region]
		slices.SortStableFunc(list, func(x, y arrival) int { return cmp.Compare(x.at, y.at) })
		for at := rec.loadStart.Add(window); at <= rec.loadStart.Add(load); at = at.Add(shareCheckInterval) {
			s := ShareChange{Region: region, Second: at.Sub(rec.loadStart).Seconds()}
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

// standardDeviation returns the standard deviation of the change if the requests
// of both windows were drawn with their common share.
func (s *ShareChange) standardDeviation() float64 {
	both := RegionCount{All: s.Before.All + s.After.All, Away: s.Before.Away + s.After.Away}
	p := both.otherShare()
	least := 1 / float64(both.All) // an observed share of 0 or 1 is not exact
	return math.Sqrt(max(p*(1-p), least) * (1/float64(s.Before.All) + 1/float64(s.After.All)))
}

// countArrivals counts the arrivals from one time to another.
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
