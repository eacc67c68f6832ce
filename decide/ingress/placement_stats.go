package ingress

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/target"
)

// PlacementStats counts the requests of one service that this entry VM placed
// within some time, both its own and those of VMs that asked it.
type PlacementStats struct {
	Service  fleet.ServiceName
	ByRegion map[fleet.Region]int // requests, by the region of their target
	// RemoteByReason counts the requests placed in other regions by reason.
	// RemoteSlower counts those of them that the own region's best target was
	// expected to answer sooner.
	RemoteByReason map[RegionReason]int
	RemoteSlower   int
	// NoChoice counts the placed requests that had targets on one side only, or may
	// not change their region.
	NoChoice int
	// Waiting is the number of requests that wait for a target now.
	Waiting int
	// RefusedOnArrival counts the requests that would have waited in vain, and
	// WaitedAccounts the client accounts of those that began to wait; requests without an
	// account count as one. Both are 0 without admission.
	RefusedOnArrival, WaitedAccounts int
	// LocalRTT and RemoteRTT are the present round-trip times within the own region
	// and to the farthest one.
	LocalRTT, RemoteRTT time.Duration
	// Share is the present setpoint of the share of requests that run in other
	// regions. WantedShare is the share with which requests would be answered
	// soonest.
	Share, WantedShare float64
}

// RegionReason is what determined the region in which a request was placed.
type RegionReason string

// Reasons for a region. The first group applies to requests with a target on both
// sides.
const (
	ReasonHash     RegionReason = "hash"      // the object's hash belongs to that side of the share
	ReasonWarm     RegionReason = "warm"      // the object is warm on that side alone
	ReasonBand     RegionReason = "band"      // the recent share deviates from the one in force
	ReasonFarBand  RegionReason = "far-off"   // the recent share deviates far from the one in force
	ReasonHistory  RegionReason = "history"   // the share would change by more than the limit
	ReasonRange    RegionReason = "range"     // the recent share is out of the range in which it should rest
	ReasonSideFull RegionReason = "full-here" // the side to which it belongs has no free slot and is slower

	ReasonOnlyLocal      RegionReason = "only"  // no target of another region may take it
	ReasonLargeOverflow  RegionReason = "large" // it has a large body and found no room in the own region in time
	ReasonMayCrashTarget RegionReason = "alone" // it may crash its target
	ReasonAllowedRegions RegionReason = "homes" // its route is bound to regions

	// No target of the own region may take it; the rest of the name says why the
	// first one in the object's order may not.
	ReasonNoTarget    RegionReason = "none-here: no target"
	ReasonUnusable    RegionReason = "none-here: leaving or evacuated"
	ReasonTried       RegionReason = "none-here: tried"
	ReasonEjected     RegionReason = "none-here: ejected"
	ReasonNotOwner    RegionReason = "none-here: cold, of another coordinator"
	ReasonRateLimit   RegionReason = "none-here: no room in its rate limit"
	ReasonColdLimit   RegionReason = "none-here: cold, no room this second"
	ReasonUnspecified RegionReason = "none-here"
)

// noLocalReason returns why no target of the own region may take j.
func (r *Reducer) noLocalReason(now clock.Time, j *job) RegionReason {
	if len(j.AllowedRegions) > 0 && !slices.Contains(j.AllowedRegions, r.region) {
		return ReasonAllowedRegions
	}
	var t *targetState
	if j.obj != nil {
		t = r.firstLocal(j)
	} else if at := slices.IndexFunc(j.svc.orderWithoutObject(), r.isLocal); at >= 0 {
		t = j.svc.withoutObject[at]
	}
	switch {
	case t == nil:
		return ReasonNoTarget
	case !r.usable(j, t):
		return ReasonUnusable
	case slices.Contains(j.Tried, t.ID):
		return ReasonTried
	case t.standing.State() != target.InUse:
		return ReasonEjected
	case t.cold(now) && !r.owns(t):
		return ReasonNotOwner
	case t.cold(now):
		return ReasonColdLimit
	case !r.withinLimit(now, t):
		return ReasonRateLimit
	default:
		return ReasonUnspecified
	}
}

// isLocal reports whether t is in the own region.
func (r *Reducer) isLocal(t *targetState) bool { return t.region == r.region }

// placementCounts counts the requests of one service since TakePlacementStats.
type placementCounts struct {
	byRegion       map[fleet.Region]int
	remoteByReason map[RegionReason]int
	remoteSlower   int
	noChoice       int

	refusedOnArrival int
	waitedAccounts   map[route.AccountName]bool
}

// TakePlacementStats returns the counts since its last call, one record for each
// service with requests.
func (r *Reducer) TakePlacementStats() []PlacementStats {
	list := r.servicesWith(func(s *service) bool { return s.counts != nil })
	out := make([]PlacementStats, 0, len(list))
	for _, s := range list {
		out = append(out, PlacementStats{
			Service: s.name, ByRegion: s.counts.byRegion,
			RemoteByReason: s.counts.remoteByReason, RemoteSlower: s.counts.remoteSlower,
			NoChoice: s.counts.noChoice, Waiting: s.waiting.Len(),
			LocalRTT: time.Duration(r.rtt(r.region)), RemoteRTT: time.Duration(r.farthestRTT()),
			Share: s.share.setpoint, WantedShare: s.share.wanted,
			RefusedOnArrival: s.counts.refusedOnArrival, WaitedAccounts: len(s.counts.waitedAccounts),
		})
		s.counts = nil
	}
	return out
}

// countsNow returns the counts since TakePlacementStats.
func (s *service) countsNow() *placementCounts {
	if s.counts == nil {
		s.counts = &placementCounts{
			byRegion: make(map[fleet.Region]int), remoteByReason: make(map[RegionReason]int),
			waitedAccounts: make(map[route.AccountName]bool),
		}
	}
	return s.counts
}

// countWaitingAccount counts the account of j, which begins to wait.
func (s *service) countWaitingAccount(j *job) { s.countsNow().waitedAccounts[j.Account] = true }

// countPlacement counts a request that was placed.
func (r *Reducer) countPlacement(j *job) {
	s := j.svc
	c := s.countsNow()
	c.byRegion[j.target.region]++
	c.noChoice += count(!j.hadChoice)
	if r.isLocal(j.target) {
		return
	}
	c.remoteByReason[j.regionReason]++
	if j.localFaster {
		c.remoteSlower++
	}
}
