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

// bench holds one reducer on a clock of its own.
type bench struct {
	t    *testing.T
	r    *Reducer
	now  clock.Time
	out  Ready
	last RequestID // of gets
}

const (
	selfVM  = fleet.VMID("self")
	otherVM = fleet.VMID("other")
)

func newBench(t *testing.T, b Bounds, members ...fleet.VMID) *bench {
	regions := map[fleet.Domain]fleet.Region{"d1": "r1", "d2": "r1", "far": "r2"}
	s := &bench{t: t, now: clock.Time(time.Hour)}
	s.r = New(Options{Self: selfVM, Domain: "d1", Regions: regions, Bounds: b, Seed: 1})
	var vms []fleet.VM
	for _, id := range members {
		vms = append(vms, fleet.VM{ID: id, Domain: "d1", Region: "r1"})
	}
	s.step(&MembersChanged{VMs: vms})
	return s
}

func (s *bench) step(ev Event) *Ready {
	s.t.Helper()
	s.out.Reset()
	s.r.Step(s.now, ev, &s.out)
	if err := s.r.Check(); err != nil {
		s.t.Fatal(err)
	}
	return &s.out
}

// pass lets time go by, stopping at every wake.
func (s *bench) pass(d time.Duration) {
	end := s.now.Add(d)
	for {
		s.out.Reset()
		s.r.Step(s.now, &Tick{}, &s.out)
		if s.out.Wake > end {
			break
		}
		s.now = max(s.out.Wake, s.now+1)
	}
	s.now = end
}

func (s *bench) configure(version uint64, routes ...route.Route) {
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

func (s *bench) target(id fleet.TargetID, d fleet.Domain, slots int) {
	s.step(&TargetsChanged{Set: []Target{{ID: id, Service: "svc", Domain: d, Slots: slots}}})
}

// earnRepeat has callers come and go until the budget pays for a repeat.
func (s *bench) earnRepeat() {
	for id := RequestID(1); id <= 20; id++ {
		s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"})
		s.step(&CallerGone{Request: id})
	}
}

func one(name string) route.Route {
	return route.Route{
		Name: name, Prefix: "/" + name + "/", Idempotent: true, Attempts: 3, Timeout: time.Second,
		Parts: []route.Part{{Service: "svc", Weight: 1}},
	}
}

// Symptom: a target is given a request with no time left, works on it for
// nobody, and the caller has its answer already.
// Sequence: an unanswered request is to be sent a second time; the coordinator
// names the target when the time for the answer is over.
// Cause: the search for a second target went on past the deadline.
func TestNoSendAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{RepeatRatio: 1, RepeatSlack: 10}, otherVM)
	rt := one("a")
	rt.Timeout = hedgeFloor + askTimeout/2
	s.configure(1, rt)
	s.target("t1", "d1", 3)
	s.target("t2", "d1", 3)
	s.earnRepeat()
	out := s.step(&Arrive{Request: 100, Host: "h", Path: "/a/x"})
	ask := out.Tells[0].Message.(*Ask)
	out = s.step(&Heard{From: otherVM, Message: &Grant{ID: ask.ID, Target: "t1"}})
	is.Equal(len(out.Sends), 1)
	s.now = s.now.Add(hedgeFloor)
	out = s.step(&Tick{})
	second := out.Tells[0].Message.(*Ask)
	s.now = s.now.Add(askTimeout / 2)
	is.Equal(len(s.step(&Tick{}).Sends), 0)
	out = s.step(&Heard{From: otherVM, Message: &Grant{ID: second.ID, Target: "t2"}})
	is.Equal(len(out.Sends), 0)
}

// Symptom: the same, when the time for a second send comes after the deadline.
// Sequence: the target's own answer is still awaited for a moment then.
// Cause: the second send looked at everything but the time.
func TestNoHedgeAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{RepeatRatio: 1, RepeatSlack: 10}, selfVM)
	rt := one("a")
	rt.Timeout = hedgeFloor - answerMargin/2
	s.configure(1, rt)
	s.target("t1", "d1", 3)
	s.target("t2", "d1", 3)
	s.earnRepeat()
	is.Equal(len(s.step(&Arrive{Request: 100, Host: "h", Path: "/a/x"}).Sends), 1)
	s.now = s.now.Add(rt.Timeout)
	s.step(&Tick{})
	s.now = s.now.Add(answerMargin / 2)
	is.Equal(len(s.step(&Tick{}).Sends), 0)
}

// Symptom: the same, after the process has stood still for a while.
// Sequence: the coordinator's word and the answer are both overdue when it goes
// on.
// Cause: what was due first came first, whatever else was over.
func TestNoSearchAfterAStall(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{}, otherVM)
	s.configure(1, one("a"))
	s.target("t1", "d1", 3)
	s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"})
	s.now = s.now.Add(5 * time.Second)
	out := s.step(&Tick{})
	is.Equal(len(out.Sends), 0)
	is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
}

// Symptom: a request waits for a coordinator that is gone until its caller
// gives up.
// Sequence: the coordinator is cut off; its lease has not ended yet.
// Cause: nothing bounded the wait for its word.
func TestSilentCoordinator(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{}, otherVM)
	s.configure(1, one("a"))
	s.target("t1", "d1", 3)
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"})
	ask := out.Tells[0].Message.(*Ask)
	s.now = s.now.Add(ask.Wait + askTimeout)
	out = s.step(&Tick{})
	is.Equal(len(out.Sends), 1)
	out = s.step(&Arrive{Request: 2, Host: "h", Path: "/a/x"})
	is.Equal(len(out.Sends), 1) // it isn't asked again for a while
}

// Symptom: a target's slots stay taken although nothing runs there.
// Sequence: an entry VM dies with places that a coordinator has given it.
// Cause: only its reports freed them.
func TestPlacesOfALostVM(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{}, selfVM, otherVM)
	s.configure(1, one("a"))
	s.target("t1", "d1", 1)
	for id := AskID(1); id <= 2; id++ {
		s.step(&Heard{From: otherVM, Message: &Ask{ID: id, Service: "svc", Left: time.Minute}})
	}
	is.Equal(s.r.Status(s.now).Services["svc"].InFlight, 2)
	s.step(&MembersChanged{VMs: []fleet.VM{{ID: selfVM, Domain: "d1", Region: "r1"}}})
	is.Equal(s.r.Status(s.now).Services["svc"].InFlight, 0)
}

// Symptom: a configuration that was replaced is in force again.
// Sequence: an old copy of the store is read after a newer one.
// Cause: the last one read was taken.
func TestOlderConfigurationIsRefused(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{}, selfVM)
	s.target("t1", "d1", 3)
	s.configure(5, one("new"))
	s.configure(4, one("old"))
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/old/x"})
	is.Equal(out.Refusals[0].Reason, verdict.ReasonUnknownService)
	out = s.step(&Arrive{Request: 2, Host: "h", Path: "/new/x"})
	is.Equal(len(out.Sends), 1)
}

// Symptom: every request is refused for seconds after the store was away.
// Sequence: targets can't renew their registrations while the store is down;
// they are gone when it is back, and back a second later.
// Cause: a registration that was gone was believed at once.
func TestLapsedRegistrations(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{}, selfVM)
	s.configure(1, one("a"))
	s.target("t1", "d1", 3)
	s.step(&TargetsChanged{Gone: []fleet.TargetID{"t1"}, Unsure: true})
	is.Equal(len(s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"}).Sends), 1)
	s.pass(lapseTime / 2)
	s.target("t1", "d1", 3) // it is back
	s.pass(lapseTime)
	is.Equal(len(s.step(&Arrive{Request: 2, Host: "h", Path: "/a/x"}).Sends), 1)
	s.step(&TargetsChanged{Gone: []fleet.TargetID{"t1"}, Unsure: true})
	s.pass(lapseTime + time.Millisecond)
	is.Equal(s.r.Targets(), 0) // it has not come back
}

// Symptom: a target that leaves gets requests until its very end.
// Sequence: its registration goes while the store is in trouble, and targets
// serve on for a second only.
// Cause: the time for lapsed registrations was the same for every deployment.
func TestLapseEndsBeforeTheDrain(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{}, selfVM)
	s.r.opts.Drain = time.Second
	s.target("t1", "d1", 3)
	s.step(&TargetsChanged{Gone: []fleet.TargetID{"t1"}, Unsure: true})
	s.pass(800 * time.Millisecond)
	is.Equal(s.r.Targets(), 0)
}

// Symptom: targets of a failure domain crash when it is taken back.
// Sequence: its evacuation ends; its targets are cold, and their registrations
// don't say so yet.
// Cause: they got their full share at once.
func TestTakenBackTargetsAreCold(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{ColdFactor: 1, ColdSlack: 2}, selfVM)
	s.configure(1, one("a"))
	s.target("t1", "d1", 50)
	s.step(&Evacuated{Domain: "d1", Begin: true})
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"})
	is.Equal(len(out.Sends), 0)
	s.pass(time.Second)
	s.step(&Evacuated{Domain: "d1"})
	sent := 0
	for id := RequestID(2); id < 30; id++ {
		sent += len(s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"}).Sends)
	}
	is.Equal(sent, 2) // half of 2 * 1 + 2
}

// Symptom: a target of three slots has one idle while requests wait.
// Sequence: each answer states the requests at the target, the answered one
// among them.
// Cause: that one was counted as a request of somebody else.
func TestOwnRequestIsNotAnothers(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{}, selfVM)
	s.configure(1, one("a"))
	s.target("t1", "d1", 3)
	first := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"}).Sends[0]
	s.step(&Answered{Attempt: first.Attempt, Load: Load{Known: true, Running: 1, Slots: 3}})
	for id := RequestID(2); id < 2+3+queueWithoutObject; id++ {
		is.Equal(len(s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"}).Sends), 1)
	}
	is.Equal(len(s.step(&Arrive{Request: 100, Host: "h", Path: "/a/x"}).Sends), 0)
}

// Symptom: targets that were added during a busy day get no requests, and the
// others no relief.
// Sequence: targets join after every object has its place.
// Cause: an object's place changes only when it is full, and nobody's first
// choice is a new target.
func TestJoinedTargetsAreTried(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{ColdFactor: 1, ColdSlack: 4}, selfVM)
	s.configure(1, one("a"))
	s.target("t1", "d1", 50)
	ask := func(id RequestID, object string) Send {
		send := s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: object}).Sends[0]
		s.step(&Answered{Attempt: send.Attempt})
		return send
	}
	for id := RequestID(1); id <= 10; id++ {
		is.Equal(ask(id, "o").Target, fleet.TargetID("t1"))
	}
	s.now = s.now.Add(time.Minute)
	s.step(&TargetsChanged{Set: []Target{{ID: "t2", Service: "svc", Domain: "d1", Slots: 3, Cold: 3 * time.Second}}})
	is.Equal(ask(11, "new").Target, fleet.TargetID("t2"))
	is.Equal(ask(12, "o").Target, fleet.TargetID("t1")) // once is enough
}
