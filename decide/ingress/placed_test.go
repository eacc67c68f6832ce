package ingress

import (
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Guards against crossings to other regions that no line explains.
func TestPlacedSaysWhatSentRequestsElsewhere(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*bench)
		why     Why
		slower  int
	}{
		{"no target here", func(*bench) {}, WhyNoTarget, 0},
		{"the only one here is ejected", func(s *bench) {
			s.target("near", "d1", 3)
			s.r.targets["near"].standing.Eject(s.now, s.r.rng)
		}, WhyEjected, 0},
		{"its object belongs there", func(s *bench) {
			s.target("near", "d1", 3)
			s.r.services["svc"].share.begin(s.now, 1)
		}, WhyHash, 1},
		{"its object is warm there", func(s *bench) {
			s.target("near", "d1", 3)
			s.r.services["svc"].objects.get("o").remember(s.now, s.r.targets["far"])
		}, WhyWarm, 0},
		{"its route is bound to the other region", func(s *bench) {
			s.target("near", "d1", 3)
			rt := one("a")
			rt.Homes = []fleet.Region{"r2"}
			s.configure(2, rt)
		}, WhyHomes, 0},
		{"the share would fall too fast", func(s *bench) {
			s.target("near", "d1", 3)
			share := &s.r.services["svc"].share
			share.bound = 0.15
			share.begin(s.now, 0.9)
			for n := range 120 { // most of them elsewhere, the last ones here
				share.count(s.now, n < 100)
			}
		}, WhyHistory, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newBench(t, Bounds{RegionShift: 0.15}, selfVM)
			s.configure(1, one("a"))
			s.target("far", "far", 3)
			c.prepare(s)
			is.Equal(len(s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x", Object: "o"}).Sends), 1)
			placed := s.r.TakePlaced()
			is.Equal(len(placed), 1)
			is.Equal(placed[0].Crossed, map[Why]int{c.why: 1})
			is.Equal(placed[0].Slower, c.slower)
			is.Equal(len(s.r.TakePlaced()), 0)
		})
	}
}
