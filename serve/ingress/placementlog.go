package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/ingress"
)

// placementLogInterval is the time between two lines on where requests were placed: the
// span over which operators bound the change of a region's share.
const placementLogInterval = 2 * time.Second

// logPlacementPeriodically writes where this VM placed requests, a line for each service.
// Few VMs place any, and of the requests themselves one in many has a line, so
// nothing else shows how the share of a region moved.
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
	s.core.Ask(func(_ clock.Time, r *ingress.Reducer) { placed = r.TakePlacementStats() })
	for _, p := range placed {
		s.event(eventPlaced).WithField("service", p.Service).WithField("by_region", p.ByRegion).
			WithField("crossed", p.RemoteByReason).WithField("slower", p.RemoteSlower).
			WithField("kept", p.Share).WithField("wanted", p.WantedShare).Info("requests were placed")
	}
}
