package emulate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// reach notes when requests reach targets, and where.
type reach struct {
	at   clock.Time
	away bool // from the region of their callers
}

// Shift is a change of the share of a region's requests that reach targets of
// other regions, from one window to the next.
type Shift struct {
	Region   fleet.Region
	Second   float64 // at which the first window ends and the next one begins
	Before   Share
	After    Share
	Deviates float64 // standard deviations of chance that it lies beyond the bound
}

// Share counts requests of a region and those of them that reached others.
type Share struct{ All, Away int }

func (s Share) part() float64 { return float64(s.Away) / float64(s.All) }

// Change is by how much the share differs.
func (s *Shift) Change() float64 { return math.Abs(s.After.part() - s.Before.part()) }

// shiftStep is the distance between the instants at which windows are compared.
const shiftStep = 100 * time.Millisecond

// shiftLeast is the number of requests in a window below which its share says
// nothing: by chance alone one of 20 deviates by 0.11, which is most of what
// operators allow.
const shiftLeast = 20

// worstShift compares, for each region and at each step of the load, the
// requests that reached targets in the window before with those in the window
// after, and returns the change that is hardest to put down to chance. The last
// window begins with the end of the load: it holds what was on its way then.
func (b *books) worstShift(bound float64, window, load time.Duration) Shift {
	var worst Shift
	for _, region := range sortedKeys(b.reached) {
		list := b.reached[region]
		slices.SortStableFunc(list, func(x, y reach) int { return cmp.Compare(x.at, y.at) })
		for at := b.began.Add(window); at <= b.began.Add(load); at = at.Add(shiftStep) {
			s := Shift{Region: region, Second: at.Sub(b.began).Seconds()}
			s.Before, s.After = sum(list, at.Add(-window), at), sum(list, at, at.Add(window))
			if min(s.Before.All, s.After.All) < shiftLeast {
				continue
			}
			s.Deviates = (s.Change() - bound) / s.chance()
			if worst.Region == "" || s.Deviates > worst.Deviates {
				worst = s
			}
		}
	}
	return worst
}

// chance is the standard deviation of the difference if both windows were drawn
// with the share of the two together.
func (s *Shift) chance() float64 {
	both := Share{All: s.Before.All + s.After.All, Away: s.Before.Away + s.After.Away}
	p := both.part()
	least := 1 / float64(both.All) // a share of 0 or 1 is not known for certain
	return math.Sqrt(max(p*(1-p), least) * (1/float64(s.Before.All) + 1/float64(s.After.All)))
}

// sum counts what came from one instant until another.
func sum(list []reach, from, until clock.Time) Share {
	var s Share
	first, _ := slices.BinarySearchFunc(list, from, func(x reach, at clock.Time) int { return cmp.Compare(x.at, at) })
	for _, x := range list[first:] {
		if !x.at.Before(until) {
			break
		}
		s.All++
		if x.away {
			s.Away++
		}
	}
	return s
}
