package ingress

import (
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Guards against placements in other regions without a reason in the log.
func TestPlacementStatsNameTheReasonForOtherRegions(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*harness)
		why     RegionReason
		slower  int
	}{
		{"no local target", func(*harness) {}, ReasonNoTarget, 0},
		{"the only local target is ejected", func(s *harness) {
			s.target("near", "d1", 3)
			s.r.targets["near"].standing.Eject(s.now, s.r.rng)
		}, ReasonEjected, 0},
		{"the object belongs to the other side", func(s *harness) {
			s.target("near", "d1", 3)
			s.r.services["svc"].share.start(s.now, 1)
		}, ReasonHash, 1},
		{"the object is warm on the other side", func(s *harness) {
			s.target("near", "d1", 3)
			s.r.services["svc"].objects.get("o").markWarm(s.now, s.r.targets["far"])
		}, ReasonWarm, 0},
		{"the route is bound to the other region", func(s *harness) {
			s.target("near", "d1", 3)
			rt := idempotentRoute("a")
			rt.Homes = []fleet.Region{"r2"}
			s.configure(2, rt)
		}, ReasonAllowedRegions, 0},
		{"the share would fall too fast", func(s *harness) {
			s.target("near", "d1", 3)
			share := &s.r.services["svc"].share
			share.maxChange = 0.15
			share.start(s.now, 0.9)
			for n := range 120 { // most of them in the other region, the last ones here
				share.count(s.now, n < 100)
			}
		}, ReasonHistory, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newHarness(t, Bounds{RegionShift: 0.15}, selfVM)
			s.configure(1, idempotentRoute("a"))
			s.target("far", "far", 3)
			c.prepare(s)
			is.Equal(len(s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x", Object: "o"}).Sends), 1)
			placed := s.r.TakePlacementStats()
			is.Equal(len(placed), 1)
			is.Equal(placed[0].RemoteByReason, map[RegionReason]int{c.why: 1})
			is.Equal(placed[0].RemoteSlower, c.slower)
			is.Equal(len(s.r.TakePlacementStats()), 0)
		})
	}
}
