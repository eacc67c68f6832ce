package ingress

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// shareRange is the range of shares between which a region must not rest: low and high
// are allowed, what lies between is not. With low > high every share is allowed.
//
// Operators limit by how much the share of a region's requests that run in other regions
// may change. What is placed and what runs differ as soon as the load changes: a request
// is on its way to another region for longer than to a target nearby. When requests end,
// what still arrives is what was on its way, and nearly all of it does so in other
// regions, unless hardly any or nearly all requests were placed there. While the load
// goes on, the share may pass through the range at the allowed rate.
type shareRange struct{ low, high float64 }

// forbiddenShares returns the range of shares s for which the share of what is on its
// way, w s / (w s + 1 - s), exceeds s by more than bound. w is the ratio of the ways to
// other regions and within the own one.
func forbiddenShares(bound, w float64) shareRange {
	if w <= 1 {
		return shareRange{low: 1, high: 0}
	}
	// The bounds of the range are the roots of s*s - (1-bound)*s + bound/(w-1).
	middle := (1 - bound) / 2
	d := middle*middle - bound/(w-1)
	if d <= 0 {
		return shareRange{low: 1, high: 0}
	}
	root := math.Sqrt(d)
	return shareRange{low: middle - root, high: middle + root}
}

func (x shareRange) empty() bool { return x.low >= x.high }

// onTheWay returns how many of the region's requests are on their way to other regions at
// any moment if all go there; false if that is not known yet.
func (r *Reducer) onTheWay(now clock.Time) (float64, bool) {
	perSecond, known := r.callerRate.perSecond(now)
	way := time.Duration(r.rtt(r.region)*3/2 + r.farthestRTT()/2)
	return perSecond * float64(r.regionVMs) * way.Seconds(), known
}

// leastOnTheWay returns how many requests have to be on their way for their share to mean
// something: that of fewer varies by more than the far band by chance. If they were enough
// before, half as many suffice.
func (r *Reducer) leastOnTheWay(before bool) float64 {
	deviation := shiftFarBand * r.shiftBound()
	least := 0.25 / (deviation * deviation) // a share of n has a variance of 0.25/n at most
	if before {
		return least / 2
	}
	return least
}

// wayRatio is the ratio of the time that a request is on its way to another region and
// within the own one. In both cases its entry VM asks the coordinator first; then it goes
// to its target, through a gateway in the other region.
func wayRatio(local, remote float64) float64 {
	own := local + local/2
	return (own + remote/2) / own
}

// resting is where the share of a service should rest.
type resting uint8

const (
	restAnywhere resting = iota // where answers come soonest
	restLow                     // below the forbidden range
	restHigh                    // above it
)

// restingShare keeps the share of a region that is short of slots out of the forbidden
// range. A region with enough slots needs other regions only for some time, and its share
// follows the load.
type restingShare struct {
	state     resting
	forbidden shareRange
	demand    demand
	updatedAt clock.Time
	// significant means that enough requests are on their way for their share to mean
	// something.
	significant bool
}

const (
	// restInterval is the interval at which the state is determined.
	restInterval = 250 * time.Millisecond
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 4 * time.Second
	// fitShare is the part of the region's slots, less the headroom, that its requests
	// may take when they come back from other regions. Their objects start cold then,
	// which takes several times as long.
	fitShare = 0.5
)

// aim returns the share to which the setpoint should go, given the one with which
// requests would be answered soonest.
func (x *restingShare) aim(wanted float64) float64 {
	switch x.state {
	case restHigh:
		return max(wanted, x.forbidden.high)
	case restLow:
		return min(wanted, x.forbidden.low)
	default:
		return wanted
	}
}

// side returns the side to which requests must go so that the recent share stays in its
// range, once the setpoint has reached it; sideAny if they may go to either. Otherwise
// objects that stay where they are warm would keep the share out of the range.
func (x *restingShare) side(setpoint, recent float64) side {
	switch {
	case x.state == restHigh && setpoint >= x.forbidden.high && recent < x.forbidden.high:
		return sideRemote
	case x.state == restLow && setpoint <= x.forbidden.low && recent > x.forbidden.low:
		return sideLocal
	default:
		return sideAny
	}
}

// mayCross reports whether one more request may leave the side to which it belongs
// because that side is full: the recent share may be short of its range by the far band.
// Requests whose object is warm nowhere may run at home beyond that: while caches are
// cold, all regions are full, and idle slots would cost more than the range brings.
func (x *restingShare) mayCross(recent, bound float64, toRemote, warm bool) bool {
	switch {
	case x.state == restHigh && !toRemote:
		return !warm || recent > x.forbidden.high-shiftFarBand*bound
	case x.state == restLow && toRemote:
		return recent < x.forbidden.low+shiftFarBand*bound
	default:
		return false
	}
}

// demand measures how many slots the requests of a region take, wherever they run.
type demand struct {
	current, previous time.Duration // work done in two windows
	windowStart       clock.Time    // of current
	windows           int           // that are over
}

// add records the work of one request.
func (d *demand) add(now clock.Time, work time.Duration) {
	d.rotate(now)
	d.current += work
}

func (d *demand) rotate(now clock.Time) {
	switch passed := now.Sub(d.windowStart); {
	case d.windowStart == 0:
		d.windowStart = now
	case passed >= 2*demandWindow:
		*d = demand{windowStart: now}
	case passed >= demandWindow:
		d.previous, d.current = d.current, 0
		d.windowStart = d.windowStart.Add(demandWindow)
		d.windows++
	}
}

// slots returns the number of slots in use on average; false if it is unknown.
func (d *demand) slots(now clock.Time) (float64, bool) {
	d.rotate(now)
	// The first window holds requests that ended in it and started before.
	return d.previous.Seconds() / demandWindow.Seconds(), d.windows >= 2
}

// isShortOfSlots reports whether the own region has so few of the service's slots that
// its share may rest above the forbidden range: if all regions have the same number of
// requests, what runs elsewhere beyond its need fits into the headroom of the others.
func (r *Reducer) isShortOfSlots(s *service, forbidden shareRange) bool {
	x := r.slotsOf(s)
	need := x.share()
	beyond := (forbidden.high - need) * x.fair()
	return need > forbidden.low && beyond <= minHeadroom*float64(x.all-x.own)
}

// updateResting determines where the share of s should rest.
func (r *Reducer) updateResting(now clock.Time, s *service) {
	rest := &s.share.rest
	if rest.updatedAt > 0 && now.Sub(rest.updatedAt) < restInterval {
		return
	}
	rest.updatedAt = now
	rest.forbidden = forbiddenShares(r.shiftBound(), wayRatio(r.rtt(r.region), r.farthestRTT()))
	onTheWay, known := r.onTheWay(now)
	rest.significant = known && onTheWay >= r.leastOnTheWay(rest.significant)
	if rest.forbidden.empty() || (known && !rest.significant) || !r.isShortOfSlots(s, rest.forbidden) {
		rest.state = restAnywhere
		return
	}
	own := float64(s.occupancy.slots) * (1 - minHeadroom)
	taken, known := rest.demand.slots(now)
	switch {
	case known && taken > own:
		rest.state = restHigh
	case known && taken < fitShare*own && !r.lacksHeadroom(now, s):
		rest.state = restLow
	case rest.state == restLow:
		rest.state = restAnywhere // until the demand shows where
	case known || rest.state == restHigh:
		// The demand is between the two limits, or unknown: the state stays.
	case s.share.known && s.share.setpoint < rest.forbidden.low+shiftBand*s.share.maxChange:
		// A coordinator that takes over goes on as the one before.
	default:
		rest.state = restHigh
	}
}
