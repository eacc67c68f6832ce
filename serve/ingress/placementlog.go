package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/ingress"
)

// placementLogInterval is the time between two log lines on the placement of
// requests. Operators limit the change of a region's share over the same period.
const placementLogInterval = 2 * time.Second

// logPlacementPeriodically logs where this VM placed requests, one line per
// service. Few VMs place requests, and only a sample of the requests is logged,
// so no other data shows how the share of a region changed.
func (s *Server) logPlacementPeriodically() {
	tick := time.NewTicker(placementLogInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.logPlacement()
		case <-s.ctx.Done():
			s.logPlacement()
			return
		}
	}
}

func (s *Server) logPlacement() {
	var placed []ingress.PlacementStats
	s.core.Query(func(_ clock.Time, r *ingress.Reducer) { placed = r.TakePlacementStats() })
	for _, p := range placed {
		s.event(eventPlaced).WithField("service", p.Service).WithField("by_region", p.ByRegion).
			WithField("crossed", p.RemoteByReason).WithField("slower", p.RemoteSlower).
			WithField("no_choice", p.NoChoice).WithField("waiting", p.Waiting).
			WithField("rtt_ms", p.LocalRTT.Seconds()*1000).WithField("far_rtt_ms", p.RemoteRTT.Seconds()*1000).
			WithField("refused_on_arrival", p.RefusedOnArrival).WithField("waited_accounts", p.WaitedAccounts).
			WithField("kept", p.Share).WithField("wanted", p.WantedShare).Info("requests were placed")
	}
}
