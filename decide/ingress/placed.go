package ingress

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/target"
)

// Placed says where the requests of one service went that this entry VM placed
// within some time, its own and those of VMs that asked it.
type Placed struct {
	Service  fleet.ServiceName
	ByRegion map[fleet.Region]int // requests, by the region of their target
	// Crossed are the requests that went to other regions, by what decided for
	// them, and Slower is how many of these the own region's best target was
	// expected to answer sooner.
	Crossed map[Why]int
	Slower  int
	// Kept and Wanted are the share of other regions that is kept to, and the
	// one with which requests would be answered soonest.
	Kept, Wanted float64
}

// Why is what decided for the region in which a request was placed.
type Why string

// What decides for a region. The first group holds for requests that have a
// target on both sides.
const (
	WhyHash    Why = "hash"      // the object belongs to that side of the share
	WhyWarm    Why = "warm"      // the object is warm on that side alone
	WhyBand    Why = "band"      // the share that ran lies beside the one kept to
	WhyFarOff  Why = "far-off"   // it lies far beside it
	WhyHistory Why = "history"   // the share would change by more than the bound
	WhyFull    Why = "full-here" // the side to which it belongs has no free slot and is slower

	WhyOnly  Why = "only"  // no target elsewhere may take it
	WhyAlone Why = "alone" // it may end its target
	WhyHomes Why = "homes" // its route is bound to regions

	// No target of the own region may take it; the rest of the name says what
	// holds for the first one in its order.
	WhyNoTarget    Why = "none-here: no target"
	WhyUnusable    Why = "none-here: leaving or evacuated"
	WhyTried       Why = "none-here: tried"
	WhyEjected     Why = "none-here: ejected"
	WhyNotOwner    Why = "none-here: cold, of another coordinator"
	WhyNoLimitRoom Why = "none-here: no room in its rate limit"
	WhyNoColdRoom  Why = "none-here: cold, no room this second"
	WhyUnspecified Why = "none-here"
)

// whyNoneHere says why no target of the own region may take j.
func (r *Reducer) whyNoneHere(now clock.Time, j *job) Why {
	if len(j.Homes) > 0 && !slices.Contains(j.Homes, r.region) {
		return WhyHomes
	}
	var t *targetState
	if j.obj != nil {
		t = r.firstHere(j)
	} else if at := slices.IndexFunc(j.svc.unnamedOrder(), r.here); at >= 0 {
		t = j.svc.unnamed[at]
	}
	switch {
	case t == nil:
		return WhyNoTarget
	case !r.usable(j, t):
		return WhyUnusable
	case slices.Contains(j.Tried, t.ID):
		return WhyTried
	case t.standing.Standing() != target.InUse:
		return WhyEjected
	case t.cold(now) && !r.owns(t):
		return WhyNotOwner
	case t.cold(now):
		return WhyNoColdRoom
	case !r.limitRoom(now, t):
		return WhyNoLimitRoom
	default:
		return WhyUnspecified
	}
}

// here reports whether t is in the own region.
func (r *Reducer) here(t *targetState) bool { return t.region == r.region }

// placements counts the requests of one service since TakePlaced.
type placements struct {
	byRegion map[fleet.Region]int
	crossed  map[Why]int
	slower   int
}

// TakePlaced returns what was placed since its last call, a record for each
// service with requests.
func (r *Reducer) TakePlaced() []Placed {
	var list []*service
	for _, s := range r.services {
		if s.placed != nil {
			list = append(list, s)
		}
	}
	sortServices(list)
	out := make([]Placed, 0, len(list))
	for _, s := range list {
		out = append(out, Placed{
			Service: s.name, ByRegion: s.placed.byRegion,
			Crossed: s.placed.crossed, Slower: s.placed.slower,
			Kept: s.share.target, Wanted: s.share.wanted,
		})
		s.placed = nil
	}
	return out
}

// notePlaced counts a request that was placed.
func (r *Reducer) notePlaced(j *job) {
	s := j.svc
	if s.placed == nil {
		s.placed = &placements{byRegion: make(map[fleet.Region]int), crossed: make(map[Why]int)}
	}
	s.placed.byRegion[j.target.region]++
	if r.here(j.target) {
		return
	}
	s.placed.crossed[j.why]++
	if j.slower {
		s.placed.slower++
	}
}
