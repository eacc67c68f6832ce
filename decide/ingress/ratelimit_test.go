package ingress

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/target"
	"github.com/azurethread/azurethread/decide/verdict"
)

// limitHarness has one target t1, in the other region if far is set and in the own
// region otherwise.
func limitHarness(t *testing.T, far bool, members ...fleet.VMID) *harness {
	s := newHarness(t, Bounds{}, members...)
	rt := idempotentRoute("a")
	rt.Timeout = 0
	s.configure(1, rt)
	d := fleet.Domain("d1")
	if far {
		d = "far"
	}
	s.target("t1", d, 50)
	return s
}

// sendAtRate sends n requests per second for a duration, answers each at once with
// the given limit, and returns how many the target got.
func (s *harness) sendAtRate(d time.Duration, n int, limit RateLimit) int {
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

var noLimit = RateLimit{Known: true}

func limitOf(rate float64) RateLimit { return RateLimit{Known: true, Limited: true, PerSecond: rate} }

// Guards against a target that is never fully used again after it stated a limit
// once.
func TestLimitEndsWhenAnswersNoLongerStateIt(t *testing.T) {
	for _, rate := range []float64{0, 0.1, 4.8} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			is := is.New(t)
			s := limitHarness(t, false, selfVM)
			s.sendAtRate(time.Second, 50, limitOf(rate))
			inLimit := s.sendAtRate(20*time.Second, 50, limitOf(rate))
			is.True(inLimit > 0)
			is.True(float64(inLimit) <= max(rate*20, 20/limitMaxInterval.Seconds()))
			s.sendAtRate(limitMaxInterval+limitEndDelay, 50, noLimit)
			is.Equal(s.sendAtRate(time.Second, 50, noLimit), 50)
		})
	}
}

// Guards against coordinators of several regions that each use a target's limit in
// full.
func TestOtherRegionsOnlyProbeForTheEndOfALimit(t *testing.T) {
	is := is.New(t)
	s := limitHarness(t, true, selfVM)
	s.step(&MembersChanged{VMs: []fleet.VM{
		{ID: selfVM, Domain: "d1", Region: "r1"}, {ID: "there", Domain: "far", Region: "r2"},
	}})
	s.sendAtRate(time.Second, 50, limitOf(4.8))
	is.True(s.sendAtRate(20*time.Second, 50, limitOf(4.8)) <= 3)
	s.sendAtRate(limitProbeInterval+limitEndDelay, 50, noLimit)
	is.Equal(s.sendAtRate(time.Second, 50, noLimit), 50)
}

// Guards against losing the targets of a region without entry VMs as soon as they
// state a limit.
func TestLimitIsEnforcedForARegionWithoutEntryVMs(t *testing.T) {
	is := is.New(t)
	s := limitHarness(t, true, selfVM)
	s.sendAtRate(time.Second, 50, limitOf(4.8))
	got := s.sendAtRate(20*time.Second, 50, limitOf(4.8))
	is.True(got > 20)
	is.True(got <= 96)
}

// Guards against memory and time spent per request on a limit that is never
// reached.
func TestHugeLimitsHaveNoEffect(t *testing.T) {
	is := is.New(t)
	s := limitHarness(t, false, selfVM)
	s.sendAtRate(time.Second, 50, limitOf(math.MaxFloat64))
	is.Equal(s.sendAtRate(4*time.Second, 50, limitOf(math.MaxFloat64)), 200)
	var list sends
	for n := range 3 * maxSends {
		list.add(clock.Time(n), time.Hour)
	}
	is.Equal(len(list), maxSends)
}

// Guards against counting slots as free that a rate limit keeps idle, so that no
// request goes to another region before the own one is full.
func TestLimitedTargetsHaveFewerSlots(t *testing.T) {
	is := is.New(t)
	s := limitHarness(t, false, selfVM)
	s.sendAtRate(time.Second, 50, noLimit)
	svc := s.r.services["svc"]
	for range 100 {
		svc.latency.Observe(200 * time.Millisecond)
	}
	is.Equal(svc.occupancy.slots, 50)
	s.sendAtRate(time.Second, 50, limitOf(20))
	is.True(svc.occupancy.slots <= 4)
	s.sendAtRate(2*time.Second, 50, noLimit)
	is.Equal(svc.occupancy.slots, 50)
}

// Guards against a new coordinator that lets entry VMs overload a target whose
// limit they already know, in its own or another region.
func TestNewCoordinatorLearnsLimitsFromPlacementRequests(t *testing.T) {
	for name, far := range map[string]bool{"own region": false, "other region": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := limitHarness(t, far, selfVM, otherVM)
			s.step(&MembersChanged{VMs: []fleet.VM{
				{ID: selfVM, Domain: "d1", Region: "r1"}, {ID: "there", Domain: "far", Region: "r2"},
			}})
			is.Equal(s.grantsAtRate(time.Second), 50)
			named := TargetLimit{Target: "t1", PerSecond: 4.8, Age: time.Minute}
			s.now = s.now.Add(2 * named.Age)
			is.True(s.grantsAtRate(4*time.Second, named) <= 14)

			// The limit ends, and VMs that do not know this yet still report it.
			s.sendAtRate(limitProbeInterval+limitEndDelay, 50, noLimit)
			is.Equal(s.grantsAtRate(time.Second, named), 50)
		})
	}
}

// grantsAtRate returns how many placement requests are granted out of 50 per
// second that carry the given limits.
func (s *harness) grantsAtRate(d time.Duration, limited ...TargetLimit) int {
	n := 0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(20 * time.Millisecond) {
		s.last++
		out := s.step(&IncomingMessage{From: otherVM, Message: &PlacementRequest{
			ID: PlacementID(s.last), Service: "svc", Route: "a", Domain: "d1", TimeLeft: time.Minute, Limits: limited,
		}})
		for _, msg := range out.Messages {
			if _, ok := msg.Message.(*Grant); ok {
				n++
			}
		}
		s.step(&IncomingMessage{From: otherVM, Message: &Withdraw{ID: PlacementID(s.last)}})
	}
	return n
}

// Guards against entry VMs that report only the first limits, or only those of
// their region, so that the coordinator has to learn the others from overloads.
func TestPlacementRequestsRotateLimits(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM, otherVM)
	s.configure(1, idempotentRoute("a"))
	svc := s.r.serviceOf("svc")
	const targets = 3 * maxTargetLimits
	for n := range targets {
		id := fleet.TargetID(fmt.Sprint("t", n))
		s.target(id, []fleet.Domain{"d1", "far"}[n%2], 3)
		s.r.out = &s.out
		s.r.setLimit(s.now, s.r.targets[id], rateLimit{active: true, perSecond: 1, statedAt: s.now})
	}
	reported := make(map[fleet.TargetID]bool)
	for range 2 * targets / maxTargetLimits {
		list := s.r.limitsFor(s.now, svc, nil)
		is.Equal(len(list), maxTargetLimits)
		for _, l := range list {
			reported[l.Target] = true
		}
		s.r.nextPlacement++
	}
	is.Equal(len(reported), targets)
}

// Guards against a delayed answer that ends a limit stated after its request was
// sent.
func TestLateAnswersDoNotEndALimit(t *testing.T) {
	is := is.New(t)
	s := limitHarness(t, false, selfVM)
	s.last = 1000
	late := s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x", Timeout: time.Minute}).Sends[0]
	s.sendAtRate(time.Second, 50, limitOf(4.8))
	s.now = s.now.Add(2 * limitEndDelay)
	s.step(&Answered{Attempt: late.Attempt, Limit: noLimit})
	is.True(s.sendAtRate(4*time.Second, 50, limitOf(4.8)) <= 20)
}

// Guards against logs that cannot tell why a target gets more than its limit: the
// line states the limit, and the counts show whether who placed a request knew it.
func TestLimitsAreLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	s := limitHarness(t, false, selfVM)
	s.last = 1
	first := s.step(&Arrive{Request: s.last, Host: "h", Path: "/a/x"}).Sends[0]
	changes := s.step(&Answered{Attempt: first.Attempt, Limit: limitOf(4.8)}).StateChanges
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Limit, limitOf(4.8))
	sent := uint64(s.sendAtRate(4*time.Second, 50, limitOf(4.8)))
	st := s.r.Status(s.now).Services["svc"]
	is.True(sent > 0)
	is.Equal([]uint64{st.LimitedPlaced, st.LimitedSent}, []uint64{sent, sent})
}

// Guards against a limit that is forgotten with its target's registration: one that
// lapses while the store is in trouble returns although the instance is the same, and
// until the first answer the target got all requests.
func TestLimitOutlivesItsRegistration(t *testing.T) {
	const allowed = 1.5*4.8*4 + 5 // in 4 s, by the operators' rule
	s := limitHarness(t, false, selfVM)
	s.sendAtRate(2*time.Second, 50, limitOf(4.8))
	got := 0
	for range 4 {
		s.step(&TargetsChanged{Removed: []fleet.TargetID{"t1"}})
		s.target("t1", "d1", 200)
		for range 50 { // no answer comes for a second
			s.now = s.now.Add(20 * time.Millisecond)
			s.last++
			got += len(s.step(&Arrive{Request: s.last, Host: "h", Path: "/a/x"}).Sends)
		}
	}
	if float64(got) > allowed {
		t.Errorf("%d requests in 4 s, at most %.1f are allowed", got, allowed)
	}
}

// Guards against state that is kept over a lapse although it is of another instance,
// and against state that is lost because the registration names another service.
func TestReturningTargetsKeepTheirOwnState(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Target)
		kept   bool
	}{
		"the same":         {func(*Target) {}, true},
		"another instance": {func(d *Target) { d.StartedAt = 2 }, false},
		"another service":  {func(d *Target) { d.Service = "other" }, true},
		"another domain":   {func(d *Target) { d.Domain = "d2" }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newHarness(t, Bounds{ColdFactor: 1, ColdSlack: 50}, selfVM)
			s.configure(1, idempotentRoute("a"))
			d := Target{ID: "t1", Service: "svc", Domain: "d1", Slots: 3, StartedAt: 1, Cold: time.Minute}
			s.step(&TargetsChanged{Updated: []Target{d}})
			first := s.arriveOnce(1, "/a/x", "")
			s.step(&Answered{Attempt: first.Attempt, Limit: limitOf(1)})
			s.r.targets["t1"].standing.Eject(s.now, s.r.rng)
			second := s.r.targets["t1"]
			s.step(&TargetsChanged{Removed: []fleet.TargetID{"t1"}})
			d.Cold = 0
			c.change(&d)
			s.step(&TargetsChanged{Updated: []Target{d}})
			st := s.r.targets["t1"]
			is.Equal(st == second, name == "the same")
			is.Equal(st.limit.active, c.kept)
			is.Equal(len(st.sends) > 0, c.kept)
			is.Equal(st.cold(s.now), c.kept)
			is.Equal(st.standing.State() == target.Ejected, c.kept)
			is.Equal(len(s.r.serviceOf(d.Service).limited), map[bool]int{true: 1}[c.kept])
		})
	}
}

// Guards against places that stay taken, and reports that are lost, because a request
// was under way when its target's registration lapsed and returned.
func TestRequestsUnderWayOverALapseAreCounted(t *testing.T) {
	is := is.New(t)
	s := limitHarness(t, false, selfVM)
	sent := s.arriveOnce(1, "/a/x", "")
	s.step(&TargetsChanged{Removed: []fleet.TargetID{"t1"}})
	s.target("t1", "d1", 50)
	is.Equal(s.r.targets["t1"].inFlight, 1)
	s.step(&Answered{Attempt: sent.Attempt, Limit: limitOf(4.8)})
	is.Equal(s.r.targets["t1"].inFlight, 0)
	is.True(s.r.targets["t1"].limit.active)
}

// Guards against a coordinator that does not know a target's limit and places requests
// there for an entry VM that does: it may have just started.
func TestGrantsWithoutRegardToALimitAreReturned(t *testing.T) {
	for name, c := range map[string]struct {
		terms   LimitTerms
		sent    bool
		limited int // targets with a limit afterwards
	}{
		"the coordinator knows no limit":   {LimitTerms{}, false, 1},
		"it counts the request":            {LimitTerms{Counted: true}, true, 1},
		"it has seen the limit end":        {LimitTerms{Ended: true, EndedAge: time.Second}, true, 0},
		"it has seen an earlier limit end": {LimitTerms{Ended: true, EndedAge: 3 * time.Second}, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := limitHarness(t, false, otherVM)
			s.target("t2", "d1", 50)
			ask := func(id RequestID) *PlacementRequest {
				return s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"}).Messages[0].Message.(*PlacementRequest)
			}
			first := s.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: ask(1).ID, Target: "t1"}}).Sends[0]
			s.step(&Answered{Attempt: first.Attempt, Limit: limitOf(4.8)})
			s.now = s.now.Add(2 * time.Second)
			id := ask(2).ID
			s.step(&IncomingMessage{From: otherVM, Message: &GrantTerms{ID: id, Terms: c.terms}})
			out := s.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: id, Target: "t1"}})
			is.Equal(len(out.Sends) == 1, c.sent)
			is.Equal(len(s.r.services["svc"].limited), c.limited)
			if c.sent {
				return
			}
			is.Equal(out.Messages[0].Message.(*Report).Result, ResultNotSent)
			again := out.Messages[1].Message.(*PlacementRequest)
			is.Equal(again.Tried, []fleet.TargetID{"t1"})
			is.Equal(again.Limits[0].Target, fleet.TargetID("t1"))
		})
	}
}

// Guards against one request of each entry VM at a limited target when the coordinator
// of all of them falls silent.
func TestVMsWithoutACoordinatorSpareLimitedTargets(t *testing.T) {
	is := is.New(t)
	s := limitHarness(t, false, otherVM)
	s.step(&IncomingMessage{From: otherVM, Message: &PlacementRequest{
		ID: 1, Service: "svc", Limits: []TargetLimit{{Target: "t1", PerSecond: 4.8}},
	}})
	s.step(&IncomingMessage{From: otherVM, Message: &Withdraw{ID: 1}})
	s.now = s.now.Add(time.Minute)
	s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x", Timeout: time.Minute})
	s.now = s.now.Add(time.Second)
	out := s.step(&Tick{}) // the coordinator has not answered
	is.Equal(len(out.Sends), 0)
	is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
}

// Guards against a gateway that passes on what coordinators of other regions have
// placed without knowing the limit of a target of its own region.
func TestGatewaysReturnRequestsBeyondALimit(t *testing.T) {
	is := is.New(t)
	s := limitHarness(t, false, selfVM)
	s.sendAtRate(time.Second, 50, limitOf(4.8))
	out := s.step(&ForwardRequest{Request: 9000, Target: "t1", TimeLeft: time.Second})
	is.Equal(len(out.Sends), 0)
	is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
	is.Equal(out.Refusals[0].Limit.PerSecond, 4.8)
	out = s.step(&ForwardRequest{Request: 9001, Target: "t1", TimeLeft: time.Second, Terms: LimitTerms{Counted: true}})
	is.Equal(len(out.Sends), 1)
	s.step(&Answered{Attempt: out.Sends[0].Attempt, Limit: limitOf(2)})
	is.Equal(s.r.targets["t1"].limit.perSecond, 2.0)
}

// Guards against losing the limit of a target's present instance to a late answer of the
// one before it.
func TestLateAnswersOfAnEarlierInstanceEndNoLimit(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.registerInstance("t1", 1, 0)
	late, first := s.arriveOnce(1, "/a/x", ""), s.arriveOnce(2, "/a/x", "")
	s.step(&Answered{Attempt: first.Attempt, Limit: limitOf(4.8)})
	s.registerInstance("t1", 2, 0)
	again := s.arriveOnce(3, "/a/x", "")
	s.step(&Answered{Attempt: again.Attempt, Limit: limitOf(4.8)})
	s.now = s.now.Add(2 * limitEndDelay)
	s.step(&Answered{Attempt: late.Attempt, Limit: noLimit})
	is.Equal(len(s.r.services["svc"].limited), 1)
}

// Guards against a target that an entry VM spares for ever: the VM was told a limit long
// ago, and its coordinator has started since and knows neither the limit nor its end.
func TestOldLimitsReturnNoGrants(t *testing.T) {
	is := is.New(t)
	s := limitHarness(t, false, otherVM)
	grant := func(id RequestID) []Send {
		ask := s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"}).Messages[0].Message.(*PlacementRequest)
		return s.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: ask.ID, Target: "t1"}}).Sends
	}
	s.step(&Answered{Attempt: grant(1)[0].Attempt, Limit: limitOf(4.8)})
	s.now = s.now.Add(limitMemory - time.Second)
	is.Equal(len(grant(2)), 0)
	s.now = s.now.Add(time.Second)
	is.Equal(len(grant(3)), 1)
}
