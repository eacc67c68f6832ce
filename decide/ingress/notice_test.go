package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/notice"
	"github.com/azurethread/azurethread/decide/verdict"
)

// noticeHarness has two targets in the own region, t1 and t2.
func noticeHarness(t *testing.T, members ...fleet.VMID) *harness {
	s := newHarness(t, Bounds{RetryRatio: 1, RetrySlack: 100}, members...)
	s.configure(1, idempotentRoute("a"))
	s.register("t1", 1)
	s.register("t2", 1)
	return s
}

// coordinatorHarness is a noticeHarness with another VM in the region, whose
// coordinator is this one.
func coordinatorHarness(t *testing.T) (s *harness, peer fleet.VMID) {
	for n := 0; ; n++ {
		peer = fleet.VMID(fmt.Sprint("peer-", n))
		if s = noticeHarness(t, selfVM, peer); s.r.coordinator("r1", "svc") == selfVM {
			return s, peer
		}
	}
}

// register registers an instance of a target.
func (s *harness) register(id fleet.TargetID, startedAt int64) *Ready {
	return s.step(&TargetsChanged{Updated: []Target{{ID: id, Service: "svc", Domain: "d1", Slots: 50, StartedAt: startedAt}}})
}

func (s *harness) notice(id fleet.TargetID, startedAt int64, n notice.Notice) *Ready {
	return s.step(&NoticeReceived{Target: id, StartedAt: startedAt, Notice: n})
}

// sentTo sends n requests, answers each at once, and returns how many t got.
func (s *harness) sentTo(t fleet.TargetID, n int) int {
	got := 0
	for range n {
		s.last++
		for _, e := range s.step(&Arrive{Request: s.last, Host: "h", Path: "/a/x", Object: fmt.Sprint(s.last)}).Sends {
			if e.Target == t {
				got++
			}
			s.step(&Answered{Attempt: e.Attempt})
		}
	}
	return got
}

var (
	leaving   = notice.Notice{Leaving: true}
	threeSecs = notice.Notice{Backoff: 3 * time.Second}
)

// Guards against requests to a target that has stated in an answer that it is
// leaving, while its registration says that it is ready.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	is := is.New(t)
	s := noticeHarness(t, selfVM)
	is.True(s.sentTo("t1", 20) > 0)
	is.Equal(s.notice("t1", 1, leaving).StateChanges[0].Change, changeLeaving)
	is.Equal(s.sentTo("t1", 20), 0)
	s.register("t1", 1) // a heartbeat
	s.advance(time.Minute)
	is.Equal(s.sentTo("t1", 20), 0)
	s.register("t1", 2)
	is.True(s.sentTo("t1", 20) > 0)
	s.notice("t1", 1, leaving) // a late answer of the earlier instance
	is.True(s.sentTo("t1", 20) > 0)
}

// Guards against using a leaving target again because its registration has lapsed
// while the store was down, and returned.
func TestLeavingOutlastsALapsedRegistration(t *testing.T) {
	for name, c := range map[string]struct {
		startedAt int64
		absent    time.Duration
		used      bool
	}{
		"the same instance":                {startedAt: 1, absent: 20 * time.Second},
		"an instance without a start time": {startedAt: 0, absent: 20 * time.Second},
		"another instance":                 {startedAt: 2, absent: 20 * time.Second, used: true},
		"after a long time":                {startedAt: 1, absent: removedRetention, used: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := noticeHarness(t, selfVM)
			s.notice("t1", 1, leaving)
			s.step(&TargetsChanged{Removed: []fleet.TargetID{"t1"}, StoreDegraded: true})
			s.advance(maxLapseTime + c.absent)
			is.Equal(s.r.TargetCount(), 1)
			s.register("t1", c.startedAt)
			is.Equal(s.sentTo("t1", 20) > 0, c.used)
		})
	}
}

// Guards against requests to a target that has asked for a time without any, and
// against all of them at once when that time is over.
func TestBackoffOfATargetIsFollowed(t *testing.T) {
	is := is.New(t)
	s := noticeHarness(t, selfVM)
	s.notice("t1", 1, threeSecs)
	is.Equal(s.sentTo("t1", 20), 0)
	s.advance(3*time.Second - time.Millisecond)
	is.Equal(s.sentTo("t1", 20), 0)
	s.advance(time.Millisecond)
	var first []Send
	for id := RequestID(1000); id < 1020; id++ {
		for _, e := range s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: fmt.Sprint(id)}).Sends {
			if e.Target == "t1" {
				first = append(first, e)
			}
		}
	}
	is.Equal(len(first), 1)
	s.step(&Answered{Attempt: first[0].Attempt})
	is.True(s.sentTo("t1", 20) > 0)
}

// Guards against callers that wait, or come back too early, when no target can take
// their requests and the targets have said until when.
func TestRequestIsRefusedAtOnceIfAllTargetsBackOff(t *testing.T) {
	is := is.New(t)
	s := noticeHarness(t, selfVM)
	s.notice("t1", 1, threeSecs)
	s.notice("t2", 1, notice.Notice{Backoff: 5 * time.Second})
	s.now = s.now.Add(time.Second)
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"})
	is.Equal(len(out.Sends), 0)
	f := out.Refusals[0]
	is.Equal(f.Verdict, verdict.NotRun)
	is.Equal(f.Reason, verdict.ReasonUnavailable)
	is.True(f.RetryAfter >= 2*time.Second) // the earliest end
	is.True(f.RetryAfter <= 3*time.Second)
}

// Guards against requests that wait for targets of which all are leaving.
func TestRequestIsRefusedAtOnceIfAllTargetsLeave(t *testing.T) {
	is := is.New(t)
	s := noticeHarness(t, selfVM)
	s.notice("t1", 1, leaving)
	s.notice("t2", 1, leaving)
	f := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"}).Refusals[0]
	is.Equal(f.Verdict, verdict.NotRun)
	is.Equal(f.Reason, verdict.ReasonUnavailable)
	is.True(f.RetryAfter > 0)
}

// Guards against requests that keep waiting for a target after it has asked for a
// backoff that ends later than their wait.
func TestWaitingRequestsAreRefusedWhenTheLastTargetBacksOff(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 1)
	var waiting RequestID
	for id := RequestID(1); waiting == 0; id++ {
		if len(s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: "o"}).Sends) == 0 {
			waiting = id
		}
	}
	out := s.notice("t1", 0, threeSecs)
	is.Equal(len(out.Refusals), 1)
	is.Equal(out.Refusals[0].Request, waiting)
	is.Equal(out.Refusals[0].Reason, verdict.ReasonUnavailable)
}

// Guards against a failure that is explained by notices although the request may have
// run.
func TestNoticesDoNotExplainRequestsThatMayHaveRun(t *testing.T) {
	is := is.New(t)
	s := noticeHarness(t, selfVM)
	s.earnRetries()
	e := s.step(&Arrive{Request: 100, Host: "h", Path: "/a/x"}).Sends[0]
	s.notice("t1", 1, leaving)
	s.notice("t2", 1, leaving)
	f := s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}).Refusals[0]
	is.Equal(f.Verdict, verdict.MayHaveRun)
	is.Equal(f.Reason, verdict.ReasonConnectionLost)
}

// Guards against a target that a coordinator grants again and again although the
// entry VMs know that it is not available.
func TestGrantOfAnUnavailableTargetIsReturned(t *testing.T) {
	for name, n := range map[string]notice.Notice{"leaving": leaving, "backoff": threeSecs} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := noticeHarness(t, otherVM)
			out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"})
			asked := out.Messages[0].Message.(*PlacementRequest)
			out = s.notice("t1", 1, n)
			is.Equal(len(out.Messages), 1) // the coordinator is told at once
			out = s.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: asked.ID, Target: "t1"}})
			is.Equal(len(out.Sends), 0)
			told := out.Messages[0].Message.(*TargetNotices).List[0]
			is.Equal(told.Target, fleet.TargetID("t1"))
			is.Equal(told.Leaving, n.Leaving)
			is.Equal(told.Backoff, n.Backoff)
			is.Equal(out.Messages[1].Message, &Report{ID: asked.ID, Result: ResultNotSent})
			again := out.Messages[2].Message.(*PlacementRequest)
			is.Equal(again.Tried, []fleet.TargetID{"t1"})
			out = s.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: again.ID, Target: "t2"}})
			is.Equal(len(out.Sends), 1)
		})
	}
}

// Guards against a request that a coordinator without knowledge of the notices sends
// back and forth until its deadline.
func TestReturnedGrantsAreLimited(t *testing.T) {
	is := is.New(t)
	s := noticeHarness(t, otherVM)
	s.notice("t1", 1, leaving)
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"})
	for range maxReturnedGrants + 1 {
		asked := out.Messages[len(out.Messages)-1].Message.(*PlacementRequest)
		out = s.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: asked.ID, Target: "t1"}})
	}
	is.Equal(len(out.Sends), 1)
	is.Equal(out.Sends[0].Target, fleet.TargetID("t2"))
}

// Guards against a coordinator that has just started and grants targets that the
// entry VMs know to be leaving.
func TestNewCoordinatorIsToldOfNotices(t *testing.T) {
	is := is.New(t)
	s := noticeHarness(t, otherVM)
	s.notice("t1", 1, leaving)
	s.notice("t2", 1, threeSecs)
	s.now = s.now.Add(time.Second)
	notices := func() *TargetNotices {
		s.last++
		for _, m := range s.step(&Arrive{Request: s.last, Host: "h", Path: "/a/x"}).Messages {
			if n, ok := m.Message.(*TargetNotices); ok {
				return n
			}
		}
		return nil
	}
	is.Equal(notices().List, []TargetNotice{
		{Target: "t1", StartedAt: 1, Leaving: true, Age: time.Second},
		{Target: "t2", StartedAt: 1, Backoff: 2 * time.Second},
	})
	is.Equal(notices(), nil)
	s.step(&MembersChanged{VMs: []fleet.VM{{ID: otherVM, Domain: "d1", Region: "r1", Incarnation: 2}}})
	is.True(notices() != nil)
}

// Guards against a coordinator that grants a target although another entry VM has
// reported its notice.
func TestCoordinatorFollowsNoticesOfOthers(t *testing.T) {
	is := is.New(t)
	s, peer := coordinatorHarness(t)
	s.step(&IncomingMessage{From: peer, Message: &TargetNotices{List: []TargetNotice{
		{Target: "t1", StartedAt: 1, Backoff: 3 * time.Second},
		{Target: "t2", StartedAt: 9, Leaving: true}, // another instance
		{Target: "unknown", Leaving: true},
	}}})
	is.Equal(s.sentTo("t1", 20), 0)
	is.Equal(s.sentTo("t2", 20), 20)
	s.advance(3 * time.Second)
	is.True(s.sentTo("t1", 20) > 0)
}

// Guards against other entry VMs that learn of a leaving target only from its next
// answer to them. The coordinator tells them; they do not tell it again.
func TestLeavingIsToldToTheRegion(t *testing.T) {
	is := is.New(t)
	s, peer := coordinatorHarness(t)
	out := s.notice("t1", 1, leaving)
	is.Equal(len(out.Messages), 1)
	is.Equal(out.Messages[0].To, peer)
	o := noticeHarness(t, otherVM)
	out = o.step(&IncomingMessage{From: otherVM, Message: out.Messages[0].Message})
	is.Equal(len(out.Messages), 0)
	is.Equal(o.r.Status(o.now).Services["svc"].Leaving, 1)
}

// Guards against a gateway that sends a request to a target which has told it, and not
// the VM that placed the request, that it wants none.
func TestGatewayHoldsBackRequestsForUnavailableTargets(t *testing.T) {
	is := is.New(t)
	s := noticeHarness(t, selfVM)
	out := s.step(&ForwardRequest{Request: 1, Target: "t1", TimeLeft: time.Second})
	is.Equal(len(out.Sends), 1)
	out = s.notice("t1", 1, threeSecs)
	is.Equal(out.Recalls, []Recall{{Request: 1, Attempt: 1}})
	s.now = s.now.Add(time.Second)
	out = s.step(&Failed{Attempt: 1, Verdict: verdict.NotRun, Reason: verdict.ReasonUnavailable})
	is.Equal(out.Refusals[0].Notice, notice.Notice{Backoff: 2 * time.Second})
	out = s.step(&ForwardRequest{Request: 2, Target: "t1", TimeLeft: time.Second})
	is.Equal(len(out.Sends), 0)
	f := out.Refusals[0]
	is.Equal(f.Verdict, verdict.NotRun)
	is.Equal(f.Reason, verdict.ReasonUnavailable)
	is.Equal(f.Notice, notice.Notice{Backoff: 2 * time.Second})
}

// Guards against requests that still wait for a connection to a target when it states
// a notice. Sending them elsewhere costs neither an attempt nor a retry.
func TestWaitingSendsAreRecalled(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM) // no retries are allowed
	rt := idempotentRoute("a")
	rt.Attempts = 1
	s.configure(1, rt)
	s.register("t1", 1)
	sent := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"}).Sends[0]
	s.register("t2", 1)
	out := s.notice("t1", 1, leaving)
	is.Equal(out.Recalls, []Recall{{Request: 1, Attempt: sent.Attempt}})
	out = s.step(&Failed{Attempt: sent.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonUnavailable})
	is.Equal(len(out.Sends), 1)
	is.Equal(out.Sends[0].Target, fleet.TargetID("t2"))
}

// Guards against state that grows with the targets that have left.
func TestRemovedTargetsAreLimited(t *testing.T) {
	is := is.New(t)
	var m removedTargets
	add := func(now clock.Time, n int) {
		v := &targetState{Target: Target{ID: fleet.TargetID(fmt.Sprint(n))}}
		v.availability.Apply(now, leaving)
		m.keep(now, v)
	}
	for n := range 2 * maxRemoved {
		add(clock.Time(time.Hour), n)
	}
	is.Equal(len(m.states), maxRemoved)
	is.Equal(len(m.queue), maxRemoved)
	add(clock.Time(time.Hour).Add(removedRetention), 0)
	is.Equal(len(m.states), 1)
	is.Equal(len(m.queue), 1)
}

// simNotices makes the targets of a simulated fleet state notices, and records what
// each VM was told by answers.
type simNotices struct {
	states map[fleet.TargetID]*simNotice
	told   map[toldKey]*toldNotice
}

// simNotice is what a target currently states.
type simNotice struct {
	startedAt int64
	leaving   bool
	until     clock.Time // it refuses requests until then
}

type toldKey struct {
	vm        fleet.VMID
	target    fleet.TargetID
	startedAt int64
}

type toldNotice struct {
	leaving bool
	until   clock.Time
}

// drawNotice changes what a target states, at random, and returns the notice of an answer.
func (s *fleetSim) drawNotice(t *simTarget) notice.Notice {
	if s.notices == nil {
		return notice.Notice{}
	}
	st, ok := s.notices.states[t.ID]
	if !ok || st.startedAt != t.StartedAt {
		st = &simNotice{startedAt: t.StartedAt}
		s.notices.states[t.ID] = st
	}
	switch s.rng.IntN(60) {
	case 0:
		st.leaving = true
	case 1:
		st.until = s.now.Add(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
	}
	return notice.Notice{Leaving: st.leaving, Backoff: max(st.until.Sub(s.now), 0)}
}

// receiveNotice passes a notice to a VM.
func (s *fleetSim) receiveNotice(vm *simVM, t *simTarget, startedAt int64, n notice.Notice) {
	if n.Empty() {
		return
	}
	key := toldKey{vm.id, t.ID, startedAt}
	told, ok := s.notices.told[key]
	if !ok {
		told = new(toldNotice)
		s.notices.told[key] = told
	}
	told.leaving = told.leaving || n.Leaving
	if n.Backoff > 0 {
		told.until = max(told.until, s.now.Add(n.Backoff))
	}
	s.step(vm, &NoticeReceived{Target: t.ID, StartedAt: startedAt, Notice: n})
}

// recall ends, in one of three cases, a send that still waits for a connection.
func (s *fleetSim) recall(vm *simVM, c Recall) {
	q := vm.owner[c.Attempt]
	if q == nil || s.notices == nil || s.rng.IntN(3) != 0 {
		return
	}
	s.after(0, func() {
		if q.running[c.Attempt] && vm.owner[c.Attempt] == q {
			delete(q.running, c.Attempt)
			delete(vm.owner, c.Attempt)
			s.step(vm, &Failed{Attempt: c.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonUnavailable})
		}
	})
}

// checkNotice fails if a VM sends to a target in spite of what it was told.
func (s *fleetSim) checkNotice(vm *simVM, e Send) {
	if s.notices == nil || e.Gateway != "" {
		return
	}
	told, ok := s.notices.told[toldKey{vm.id, e.Target, e.StartedAt}]
	if ok && (told.leaving || s.now.Before(told.until)) {
		s.t.Fatalf("%s sends to target %s, which has told it: leaving %v, no requests for %v", vm.id, e.Target, told.leaving, told.until.Sub(s.now))
	}
}

// Guards against requests that an entry VM sends to a target after the target's own
// answer, under random requests, results, message losses and changes of targets.
func TestNoticesInTheFleet(t *testing.T) {
	told := 0
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newFleetSim(t, seed)
			s.notices = &simNotices{states: make(map[fleet.TargetID]*simNotice), told: make(map[toldKey]*toldNotice)}
			s.loss = float64(seed%4) / 20
			for n := range 12 {
				s.randomChange(n)
			}
			for n := range 1000 {
				s.arrive()
				if s.rng.IntN(20) == 0 {
					s.randomChange(100 + n)
				}
				s.run(s.now.Add(time.Duration(s.rng.IntN(15)) * time.Millisecond))
			}
			s.run(s.now.Add(20 * time.Second))
			told += len(s.notices.told)
			s.checkRetries()
		})
	}
	if told == 0 {
		t.Fatal("no target has stated a notice")
	}
}
