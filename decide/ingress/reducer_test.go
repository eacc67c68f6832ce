package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// harness runs one reducer on a simulated clock.
type harness struct {
	t    *testing.T
	r    *Reducer
	now  clock.Time
	out  Ready
	last RequestID // of sendAtRate and arriveContent
}

const (
	selfVM  = fleet.VMID("self")
	otherVM = fleet.VMID("other")
)

func newHarness(t *testing.T, b Bounds, members ...fleet.VMID) *harness {
	regions := map[fleet.Domain]fleet.Region{"d1": "r1", "d2": "r1", "far": "r2"}
	s := &harness{t: t, now: clock.Time(time.Hour)}
	s.r = New(Options{Self: selfVM, Domain: "d1", Regions: regions, Bounds: b, Seed: 1})
	var vms []fleet.VM
	for _, id := range members {
		vms = append(vms, fleet.VM{ID: id, Domain: "d1", Region: "r1"})
	}
	s.step(&MembersChanged{VMs: vms})
	return s
}

func (s *harness) step(ev Event) *Ready {
	s.t.Helper()
	s.out.Reset()
	s.r.Step(s.now, ev, &s.out)
	if err := s.r.Check(); err != nil {
		s.t.Fatal(err)
	}
	return &s.out
}

// advance advances the clock by d, with a Tick at every wake-up time.
func (s *harness) advance(d time.Duration) {
	end := s.now.Add(d)
	for {
		s.out.Reset()
		s.r.Step(s.now, &Tick{}, &s.out)
		if s.out.WakeAt > end {
			break
		}
		s.now = max(s.out.WakeAt, s.now+1)
	}
	s.now = end
}

func (s *harness) configure(version uint64, routes ...route.Route) {
	cfg := &route.Config{Version: version, Services: make(map[fleet.ServiceName]route.Service)}
	for _, r := range routes {
		r.Host, r.Attempts = "h", max(r.Attempts, 1)
		cfg.Routes = append(cfg.Routes, r)
		for _, p := range r.Parts {
			cfg.Services[p.Service] = route.Service{Name: p.Service, ColdRate: 2, ColdTime: 3 * time.Second}
		}
	}
	s.step(&Configured{Table: route.NewTable(cfg)})
}

func (s *harness) target(id fleet.TargetID, d fleet.Domain, slots int) {
	s.step(&TargetsChanged{Updated: []Target{{ID: id, Service: "svc", Domain: d, Slots: slots}}})
}

// earnRetries sends and cancels requests until the budget pays for a retry.
func (s *harness) earnRetries() {
	for id := RequestID(1); id <= 20; id++ {
		s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"})
		s.step(&CallerGone{Request: id})
	}
}

func idempotentRoute(name string) route.Route {
	return route.Route{
		Name: name, Prefix: "/" + name + "/", Idempotent: true, Attempts: 3, Timeout: time.Second,
		Parts: []route.Part{{Service: "svc", Weight: 1}},
	}
}

// Guards against a target that is given a request with no time left. The search
// for a target for a second send continued after the deadline, and the coordinator
// granted one.
func TestNoSendAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{RetryRatio: 1, RetrySlack: 10}, otherVM)
	rt := idempotentRoute("a")
	rt.Timeout = minHedgeDelay + placementTimeout/2
	s.configure(1, rt)
	s.target("t1", "d1", 3)
	s.target("t2", "d1", 3)
	s.earnRetries()
	out := s.step(&Arrive{Request: 100, Host: "h", Path: "/a/x"})
	req := out.Messages[0].Message.(*PlacementRequest)
	out = s.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: req.ID, Target: "t1"}})
	is.Equal(len(out.Sends), 1)
	s.now = s.now.Add(minHedgeDelay)
	out = s.step(&Tick{})
	second := out.Messages[0].Message.(*PlacementRequest)
	s.now = s.now.Add(placementTimeout / 2)
	is.Equal(len(s.step(&Tick{}).Sends), 0)
	out = s.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: second.ID, Target: "t2"}})
	is.Equal(len(out.Sends), 0)
}

// Guards against a second send after the deadline, while the target's own answer
// is still awaited.
func TestNoHedgeAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{RetryRatio: 1, RetrySlack: 10}, selfVM)
	rt := idempotentRoute("a")
	rt.Timeout = minHedgeDelay - answerMargin/2
	s.configure(1, rt)
	s.target("t1", "d1", 3)
	s.target("t2", "d1", 3)
	s.earnRetries()
	is.Equal(len(s.step(&Arrive{Request: 100, Host: "h", Path: "/a/x"}).Sends), 1)
	s.now = s.now.Add(rt.Timeout)
	s.step(&Tick{})
	s.now = s.now.Add(answerMargin / 2)
	is.Equal(len(s.step(&Tick{}).Sends), 0)
}

// Guards against a send after the process was stalled, when the timeouts of the
// coordinator and of the request have both passed: timers were handled in order
// without checking the deadline.
func TestNoSearchAfterAStall(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, otherVM)
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 3)
	s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"})
	s.now = s.now.Add(5 * time.Second)
	out := s.step(&Tick{})
	is.Equal(len(out.Sends), 0)
	is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
}

// Guards against a request that waits for a cut-off coordinator until its caller
// gives up. The coordinator's lease has not ended yet.
func TestSilentCoordinator(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, otherVM)
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 3)
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"})
	req := out.Messages[0].Message.(*PlacementRequest)
	s.now = s.now.Add(req.MaxWait + placementTimeout)
	out = s.step(&Tick{})
	is.Equal(len(out.Sends), 1)
	out = s.step(&Arrive{Request: 2, Host: "h", Path: "/a/x"})
	is.Equal(len(out.Sends), 1) // it isn't asked again for a while
}

// Guards against slots that stay taken after an entry VM has crashed: the places
// that a coordinator had granted to it were freed only by its reports.
func TestPlacesOfALostVM(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM, otherVM)
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 1)
	for id := PlacementID(1); id <= 2; id++ {
		s.step(&IncomingMessage{From: otherVM, Message: &PlacementRequest{ID: id, Service: "svc", TimeLeft: time.Minute}})
	}
	is.Equal(s.r.Status(s.now).Services["svc"].InFlight, 2)
	s.step(&MembersChanged{VMs: []fleet.VM{{ID: selfVM, Domain: "d1", Region: "r1"}}})
	is.Equal(s.r.Status(s.now).Services["svc"].InFlight, 0)
}

// Guards against an older configuration replacing a newer one after an outdated
// copy of the store was read.
func TestOlderConfigurationIsRefused(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	s.target("t1", "d1", 3)
	s.configure(5, idempotentRoute("new"))
	s.configure(4, idempotentRoute("old"))
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/old/x"})
	is.Equal(out.Refusals[0].Reason, verdict.ReasonUnknownService)
	out = s.step(&Arrive{Request: 2, Host: "h", Path: "/new/x"})
	is.Equal(len(out.Sends), 1)
}

// Guards against refusing all requests for seconds after a store outage. Targets
// cannot renew their registrations while the store is down; the registrations are
// gone when it returns, and present again a second later.
func TestLapsedRegistrations(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 3)
	s.step(&TargetsChanged{Removed: []fleet.TargetID{"t1"}, StoreDegraded: true})
	is.Equal(len(s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"}).Sends), 1)
	s.advance(maxLapseTime / 2)
	s.target("t1", "d1", 3) // the registration has returned
	s.advance(maxLapseTime)
	is.Equal(len(s.step(&Arrive{Request: 2, Host: "h", Path: "/a/x"}).Sends), 1)
	s.step(&TargetsChanged{Removed: []fleet.TargetID{"t1"}, StoreDegraded: true})
	s.advance(maxLapseTime + time.Millisecond)
	is.Equal(s.r.TargetCount(), 0) // it has not returned
}

// Guards against using a leaving target up to the moment at which it stops serving.
// Its registration disappears while the store is in trouble, and after that the
// target serves for one second only.
func TestLapseEndsBeforeTheDrain(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	s.r.opts.DrainTime = time.Second
	s.target("t1", "d1", 3)
	s.step(&TargetsChanged{Removed: []fleet.TargetID{"t1"}, StoreDegraded: true})
	s.advance(800 * time.Millisecond)
	is.Equal(s.r.TargetCount(), 0)
}

// Guards against overloading the targets of a failure domain when its evacuation
// ends: they are cold, and their registrations do not say so yet.
func TestTargetsAreColdAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{ColdFactor: 1, ColdSlack: 2}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 50)
	s.step(&Evacuated{Domain: "d1", Begin: true})
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"})
	is.Equal(len(out.Sends), 0)
	s.advance(time.Second)
	s.step(&Evacuated{Domain: "d1"})
	sent := 0
	for id := RequestID(2); id < 30; id++ {
		sent += len(s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"}).Sends)
	}
	is.Equal(sent, 2) // half of 2 * 1 + 2
}

// Guards against one idle slot of three while requests wait. The load stated in an
// answer includes the answered request, which was counted as a request of another
// VM.
func TestOwnRequestIsNotCountedAsAnother(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 3)
	first := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"}).Sends[0]
	s.step(&Answered{Attempt: first.Attempt, Load: Load{Known: true, Running: 1, Slots: 3}})
	for id := RequestID(2); id < 2+3+queueLimitNoObject; id++ {
		is.Equal(len(s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"}).Sends), 1)
	}
	is.Equal(len(s.step(&Arrive{Request: 100, Host: "h", Path: "/a/x"}).Sends), 0)
}

// Guards against new targets that get no requests under high load. An object is
// moved only when its target is full, and no object is at a new target yet.
func TestJoinedTargetsAreTried(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{ColdFactor: 1, ColdSlack: 4}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 50)
	serveOne := func(id RequestID, object string) Send {
		send := s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: object}).Sends[0]
		s.step(&Answered{Attempt: send.Attempt})
		return send
	}
	for id := RequestID(1); id <= 10; id++ {
		is.Equal(serveOne(id, "o").Target, fleet.TargetID("t1"))
	}
	s.now = s.now.Add(time.Minute)
	s.step(&TargetsChanged{Updated: []Target{{ID: "t2", Service: "svc", Domain: "d1", Slots: 3, Cold: 3 * time.Second}}})
	is.Equal(serveOne(11, "new").Target, fleet.TargetID("t2"))
	is.Equal(serveOne(12, "o").Target, fleet.TargetID("t1")) // one request is enough
}
