package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Symptom: more than the operators' part of a region's requests change the
// region in which they run within two seconds.
// Sequence: a region with few slots begins with cold targets; they become warm
// and could take everything; then half of them leave.
// Cause: only the rise of the share elsewhere was bounded, and nothing at the
// start.
func TestRegionShareMovesSlowly(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{RegionShift: 0.15}, selfVM)
	s.configure(1, one("a"))
	for i := range 2 {
		s.target(fleet.TargetID(fmt.Sprint("near", i)), "d1", 3)
	}
	for i := range 6 {
		s.target(fleet.TargetID(fmt.Sprint("far", i)), "far", 3)
	}
	var shares []float64
	remote, all := 0, 0
	for n := range 4000 { // 100 requests a second for 40 s
		if n == 2000 {
			s.step(&TargetsChanged{Set: []Target{{ID: "near0", Service: "svc", Domain: "d1", Slots: 3, Draining: true}}})
		}
		id := RequestID(n + 1)
		out := s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: fmt.Sprint(n * 7 % 40)})
		for _, send := range out.Sends {
			all++
			if send.Target[:3] == "far" {
				remote++
			}
			s.step(&Answered{Attempt: send.Attempt})
		}
		s.now = s.now.Add(10 * time.Millisecond)
		if (n+1)%200 == 0 {
			shares = append(shares, float64(remote)/float64(all))
			remote, all = 0, 0
		}
	}
	for i := 1; i < len(shares); i++ {
		change := shares[i] - shares[i-1]
		is.True(change < 0.15 && change > -0.15) // from one window to the next
	}
	is.True(shares[0] > 0.3 && shares[0] < 0.7) // two of eight targets are here
}

// Symptom: while the share of other regions moves, objects start cold on the
// other side although their place here is free.
// Sequence: an object is warm on one side; the share passes the object's
// hash.
// Cause: the hash alone decided.
func TestObjectsStayOnTheirSide(t *testing.T) {
	is := is.New(t)
	s := regionShare{bound: 0.15}
	s.begin(1, 0.5)
	const low, high = 0.1, 0.9
	is.Equal(s.sideOf(1, low, sideAny), sideOthers)
	is.Equal(s.sideOf(1, high, sideAny), sideOwn)
	is.Equal(s.sideOf(1, low, sideOwn), sideOwn)
	is.Equal(s.sideOf(1, high, sideOthers), sideOthers)
	for i := range 40 { // 0.425 ran elsewhere: half of the bound too few
		s.count(1, i < 17)
	}
	is.Equal(s.sideOf(1, high, sideAny), sideOthers)
	is.Equal(s.sideOf(1, low, sideOwn), sideOwn) // others can make up for it
	for range 10 {                               // 0.34
		s.count(1, false)
	}
	is.Equal(s.sideOf(1, high, sideOwn), sideOthers) // the bound goes first
}
