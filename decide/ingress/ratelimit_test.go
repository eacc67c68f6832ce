package ingress

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// limitBench has one target t1 of the own region, and of the other region if far.
func limitBench(t *testing.T, far bool, members ...fleet.VMID) *bench {
	s := newBench(t, Bounds{}, members...)
	rt := one("a")
	rt.Timeout = 0
	s.configure(1, rt)
	d := fleet.Domain("d1")
	if far {
		d = "far"
	}
	s.target("t1", d, 50)
	return s
}

// gets sends n requests a second for a while, answers each at once with what
// limit says, and returns how many the target got.
func (s *bench) gets(d time.Duration, n int, limit RateLimit) int {
	got := 0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Second / time.Duration(n)) {
		s.last++
		out := s.step(&Arrive{Request: s.last, Host: "h", Path: "/a/x"})
		var answers []*Answered
		for _, e := range out.Sends {
			answers = append(answers, &Answered{Attempt: e.Attempt, Limit: limit})
		}
		if len(answers) == 0 && len(out.Refusals) == 0 {
			s.step(&CallerGone{Request: s.last})
		}
		for _, a := range answers {
			got++
			s.step(a)
		}
	}
	return got
}

var noLimit = RateLimit{Heard: true}

func limitOf(rate float64) RateLimit { return RateLimit{Heard: true, Named: true, PerSecond: rate} }

// A target that has named a limit once is never used in full again.
func TestLimitEndsWhenAnswersNoLongerNameIt(t *testing.T) {
	for _, rate := range []float64{0, 0.1, 4.8} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			is := is.New(t)
			s := limitBench(t, false, selfVM)
			s.gets(time.Second, 50, limitOf(rate))
			inLimit := s.gets(20*time.Second, 50, limitOf(rate))
			is.True(inLimit > 0)
			is.True(float64(inLimit) <= max(rate*20, 20/limitTrickle.Seconds()))
			s.gets(limitTrickle+limitLinger, 50, noLimit)
			is.Equal(s.gets(time.Second, 50, noLimit), 50)
		})
	}
}

// Coordinators of all regions use a target's limit in full, each for itself.
func TestOtherRegionsOnlyAskWhetherTheLimitHasEnded(t *testing.T) {
	is := is.New(t)
	s := limitBench(t, true, selfVM)
	s.step(&MembersChanged{VMs: []fleet.VM{
		{ID: selfVM, Domain: "d1", Region: "r1"}, {ID: "there", Domain: "far", Region: "r2"},
	}})
	s.gets(time.Second, 50, limitOf(4.8))
	is.True(s.gets(20*time.Second, 50, limitOf(4.8)) <= 3)
	s.gets(limitAsk+limitLinger, 50, noLimit)
	is.Equal(s.gets(time.Second, 50, noLimit), 50)
}

// Targets of a region whose entry VMs have all gone are lost to the others as
// soon as they name a limit.
func TestLimitIsKeptForARegionWithoutEntryVMs(t *testing.T) {
	is := is.New(t)
	s := limitBench(t, true, selfVM)
	s.gets(time.Second, 50, limitOf(4.8))
	got := s.gets(20*time.Second, 50, limitOf(4.8))
	is.True(got > 20)
	is.True(got <= 96)
}

// A limit that no number of requests reaches takes memory and time for each.
func TestHugeLimitsBindNobody(t *testing.T) {
	is := is.New(t)
	s := limitBench(t, false, selfVM)
	s.gets(time.Second, 50, limitOf(math.MaxFloat64))
	is.Equal(s.gets(4*time.Second, 50, limitOf(math.MaxFloat64)), 200)
	var list sends
	for n := range 3 * maxSends {
		list.add(clock.Time(n), time.Hour)
	}
	is.Equal(len(list), maxSends)
}

// What a limited target cannot take is counted as free, and no request goes to
// another region before the own one is full.
func TestLimitedTargetsHaveFewerSlots(t *testing.T) {
	is := is.New(t)
	s := limitBench(t, false, selfVM)
	s.gets(time.Second, 50, noLimit)
	svc := s.r.services["svc"]
	for range 100 {
		svc.latency.Observe(200 * time.Millisecond)
	}
	is.Equal(svc.here.slots, 50)
	s.gets(time.Second, 50, limitOf(20))
	is.True(svc.here.slots <= 4)
	s.gets(2*time.Second, 50, noLimit)
	is.Equal(svc.here.slots, 50)
}

// A coordinator that has just begun has a target overrun by entry VMs that know
// its limit, be it of its own region or of another one.
func TestNewCoordinatorLearnsLimitsFromAsks(t *testing.T) {
	for name, far := range map[string]bool{"own region": false, "other region": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := limitBench(t, far, selfVM, otherVM)
			s.step(&MembersChanged{VMs: []fleet.VM{
				{ID: selfVM, Domain: "d1", Region: "r1"}, {ID: "there", Domain: "far", Region: "r2"},
			}})
			is.Equal(s.grants(time.Second), 50)
			named := NamedLimit{Target: "t1", PerSecond: 4.8, Age: time.Minute}
			s.now = s.now.Add(2 * named.Age)
			is.True(s.grants(4*time.Second, named) <= 14)

			// It ends, and others who have not heard of that still name it.
			s.gets(limitAsk+limitLinger, 50, noLimit)
			is.Equal(s.grants(time.Second, named), 50)
		})
	}
}

// grants returns how many of 50 asks a second are granted that tell of limits.
func (s *bench) grants(d time.Duration, limited ...NamedLimit) int {
	n := 0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(20 * time.Millisecond) {
		s.last++
		out := s.step(&Heard{From: otherVM, Message: &Ask{
			ID: AskID(s.last), Service: "svc", Route: "a", Domain: "d1", Left: time.Minute, Limited: limited,
		}})
		for _, tell := range out.Tells {
			if _, ok := tell.Message.(*Grant); ok {
				n++
			}
		}
		s.step(&Heard{From: otherVM, Message: &Withdraw{ID: AskID(s.last)}})
	}
	return n
}

// Entry VMs that tell only of the first limits, or of those of their region, leave
// the others to be learned from overruns.
func TestAsksTellOfAllLimitsInTurn(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{}, selfVM, otherVM)
	s.configure(1, one("a"))
	svc := s.r.serviceOf("svc")
	const targets = 3 * maxNamedLimits
	for n := range targets {
		id := fleet.TargetID(fmt.Sprint("t", n))
		s.target(id, []fleet.Domain{"d1", "far"}[n%2], 3)
		s.r.out = &s.out
		s.r.nameLimit(s.now, s.r.targets[id], rateLimit{named: true, perSecond: 1, at: s.now})
	}
	told := make(map[fleet.TargetID]bool)
	for range 2 * targets / maxNamedLimits {
		list := s.r.limitsOf(s.now, svc)
		is.Equal(len(list), maxNamedLimits)
		for _, l := range list {
			told[l.Target] = true
		}
		s.r.nextAsk++
	}
	is.Equal(len(told), targets)
}

// An answer that was long on its way ends a limit that its target has named
// meanwhile.
func TestLateAnswersDoNotEndALimit(t *testing.T) {
	is := is.New(t)
	s := limitBench(t, false, selfVM)
	s.last = 1000
	late := s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x", Patience: time.Minute}).Sends[0]
	s.gets(time.Second, 50, limitOf(4.8))
	s.now = s.now.Add(2 * limitLinger)
	s.step(&Answered{Attempt: late.Attempt, Limit: noLimit})
	is.True(s.gets(4*time.Second, 50, limitOf(4.8)) <= 20)
}
