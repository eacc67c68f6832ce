package ingress

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
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

// Pattern: the region's targets are replaced by fewer; objects stay where they
// are warm, in other regions, while those here are the quicker choice for some
// time, and then are full.
//
// Symptom: requests are refused, or wait beyond their aim, for want of a slot
// here, while targets of other regions are free.
// Sequence: the target share falls while the share that runs stays; the gap
// grows beyond the bound, and every request is sent to its own region.
// Cause: the target moved by itself, whatever the requests did.
func TestTheTargetStaysNearTheShareThatRan(t *testing.T) {
	is := is.New(t)
	s := regionShare{bound: 0.15}
	now := clock.Time(1)
	s.begin(now, 0.5)
	const warmElsewhere = 0.5
	for n := range 2000 { // 100 requests a second for 20 s
		s.follow(now, false) // the own region would answer sooner
		remote := s.sideOf(now, 0.99, []side{sideOwn, sideOthers}[n%2]) == sideOthers
		s.count(now, remote)
		is.True(s.off(now) < shiftFar*s.bound) // nothing is ever forced
		now = now.Add(10 * time.Millisecond)
	}
	is.True(s.target > warmElsewhere-0.1)
}

// Pattern: a crowd of three times what the region's targets bear comes within a
// second, and stays.
//
// Symptom: more than the operators' part of the region's requests change the
// region in which they run within two seconds.
// Sequence: all targets here are full at once; those elsewhere are free.
// Cause: the target follows the share that ran, and the share the target: each
// request that crosses lets another one cross.
func TestACrowdMovesTheShareSlowly(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newBench(t, Bounds{RegionShift: 0.15}, selfVM)
		rt := one("a")
		rt.Aim = 400 * time.Millisecond
		s.configure(1, rt)
		s.target("near", "d1", 10)
		for i := range 3 {
			s.target(fleet.TargetID(fmt.Sprint("far", i)), "far", 10)
		}
		rng := rand.New(rand.NewPCG(seed, 3))
		type end struct {
			at      clock.Time
			attempt AttemptID
		}
		var ends []end
		var runs []struct {
			at     clock.Time
			remote bool
		}
		id := RequestID(0)
		for step := range 20_000 { // 20 s
			perSecond := 60.0
			if step > 5000 {
				perSecond = 180
			}
			for len(ends) > 0 && !ends[0].at.After(s.now) {
				s.step(&Answered{Attempt: ends[0].attempt, Outcome: Served})
				ends = ends[1:]
			}
			if rng.Float64() < perSecond/1000 {
				id++
				out := s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: fmt.Sprint(rng.IntN(60))})
				for _, send := range out.Sends {
					ends = append(ends, end{s.now.Add(150 * time.Millisecond), send.Attempt})
					runs = append(runs, struct {
						at     clock.Time
						remote bool
					}{s.now, send.Target != "near"})
				}
			}
			s.now = s.now.Add(time.Millisecond)
		}
		share := func(from clock.Time) float64 {
			all, remote := 0, 0
			for _, r := range runs {
				if r.at >= from && r.at < from.Add(shiftWindow) {
					all++
					if r.remote {
						remote++
					}
				}
			}
			return float64(remote) / float64(max(all, 1))
		}
		first := runs[0].at
		for from := first; from < first.Add(16*time.Second); from = from.Add(250 * time.Millisecond) {
			change := share(from.Add(shiftWindow)) - share(from)
			is.True(change < 0.15 && change > -0.15) // between any two windows
		}
	}
}

// Pattern: load rises over ten seconds to nine tenths of what the region's
// targets bear, and then by half as much again within a moment.
//
// Symptom: requests wait here and are refused while other regions are idle.
// Sequence: as long as a slot is free here, it is the quicker choice; when none
// is, the share that may run elsewhere still stands at nothing and moves slowly.
// Cause: the share followed the expected answer of each request alone.
func TestTheShareMovesBeforeTheRegionIsFull(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{RegionShift: 0.15}, selfVM)
	s.configure(1, one("a"))
	s.target("near", "d1", 20)
	s.target("far", "far", 20)
	svc := s.r.services["svc"]
	svc.share.begin(s.now, 0)
	hold := func(n int) {
		for id := RequestID(1000); len(s.r.attempts) < n; id++ {
			s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: fmt.Sprint("held", id)})
		}
	}
	hold(15)
	arrivals := func() {
		for id := RequestID(1); id <= 100; id++ {
			out := s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: fmt.Sprint("o", id%10)})
			s.now = s.now.Add(20 * time.Millisecond)
			s.step(&Answered{Attempt: out.Sends[0].Attempt, Outcome: Served})
		}
	}
	arrivals()
	is.Equal(svc.share.target, 0.0) // a quarter is free
	hold(18)
	arrivals()
	is.True(svc.share.target > 0.02) // a tenth is free, and the answer here is sooner
}
