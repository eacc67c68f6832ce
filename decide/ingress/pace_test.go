package ingress

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

// servePaced passes in a request whose answer takes this long and states a pace.
func (s *harness) servePaced(id RequestID, object string, took time.Duration, percent int) fleet.TargetID {
	s.t.Helper()
	send := s.arriveOnce(id, "/a/x", object)
	s.now = s.now.Add(took)
	s.step(&Answered{Attempt: send.Attempt, Outcome: Served, Load: Load{Known: true, Running: 1, Slots: 3, Pace: percent}})
	return send.Target
}

// newPaceHarness has targets t0 to t3 of a service, and measured work without an object.
func newPaceHarness(t *testing.T, members ...fleet.VMID) *harness {
	s := newHarness(t, Bounds{}, members...)
	s.configure(1, idempotentRoute("a"))
	for i := range 4 {
		s.target(fleet.TargetID(fmt.Sprint("t", i)), "d1", 1)
	}
	return s
}

// Load: a fifth of the machines at two and a half times. Guards against requests that go to
// busy targets while others are free, and against busy ones that get none.
func TestFifthOfMachinesAtTwoAndAHalfTimes(t *testing.T) {
	is := is.New(t)
	const targets, busy = 20, 4
	atBusy := func(percent, requests int) (n int) {
		s := newHarness(t, Bounds{}, selfVM)
		s.configure(1, idempotentRoute("a"))
		for i := range targets {
			s.target(fleet.TargetID(fmt.Sprintf("t%02d", i)), "d1", 1)
		}
		var sends []Send
		for id := range RequestID(targets) { // one at each target
			sends = append(sends, s.arriveOnce(id, "/a/x", ""))
		}
		s.now = s.now.Add(workWarm)
		isBusy := make(map[fleet.TargetID]bool)
		for i, send := range sends {
			load := Load{Known: true, Running: 1, Slots: 1}
			if isBusy[send.Target] = i < busy; i < busy {
				load.Pace = percent
			}
			s.step(&Answered{Attempt: send.Attempt, Outcome: Served, Load: load})
		}
		for id := range RequestID(requests) {
			n += count(isBusy[s.arriveOnce(100+id, "/a/x", "").Target])
		}
		return n
	}
	is.Equal(atBusy(0, targets-busy), busy) // not stated
	is.Equal(atBusy(250, targets-busy), 0)
	is.Equal(atBusy(250, targets), 0) // waiting for another request takes less than 2.5 times as long
	is.Equal(atBusy(150, targets), busy)
}

// Guards against a target that gets no requests although its machine is as usual again,
// and against a busy one that gets all of them.
func TestBusyTargetIsUsedAgain(t *testing.T) {
	is := is.New(t)
	s := newPaceHarness(t, selfVM)
	for id := range RequestID(20) {
		s.serve(id, "/a/x", "", workWarm)
	}
	first := s.servePaced(100, "", workWarm, 250)
	is.True(s.arriveOnce(101, "/a/x", "").Target != first)
	s.step(&CallerGone{Request: 101})
	s.now = s.now.Add(10 * time.Second)
	is.Equal(s.arriveOnce(102, "/a/x", "").Target, first)
}

// Guards against a target that seems slow for seconds after its machine was busy: the pace
// would count in the measured speed and again in the expected work.
func TestStatedPaceIsNotMeasured(t *testing.T) {
	is := is.New(t)
	run := func(percent int) (speed, work float64) {
		s := newHarness(t, Bounds{}, selfVM)
		s.configure(1, idempotentRoute("a"))
		s.target("t", "d1", 3)
		for id := range RequestID(30) {
			s.servePaced(id, "", workWarm, 100)
		}
		for id := range RequestID(30) {
			s.servePaced(100+id, "", workWarm*5/2, percent)
		}
		return s.r.targets["t"].speed.Value(0) / float64(referenceSpeed), s.r.routeOf("a").expected(objectNone)
	}
	speed, work := run(0)
	pacedSpeed, pacedWork := run(250)
	is.True(pacedWork < 0.75*work)
	is.True(work > 2.4*float64(workWarm))
	is.True(pacedSpeed <= speed)
	// Of work that took 750 ms, 0.56 of the stated excess is divided out.
	is.True(pacedWork > float64(workWarm) && pacedWork < 1.7*float64(workWarm))
}

// Guards against requests that wait in the queue of a busy target: it moves two and a half
// times more slowly, and its pace may be as usual when they would be placed.
func TestShorterQueueAtBusyTarget(t *testing.T) {
	is := is.New(t)
	placed := func(percent int) int {
		s := newPlacementHarness(t)
		s.servePaced(90, "o0", workWarm, percent)
		n := 0
		for id := RequestID(100); id < 110; id++ {
			for _, send := range s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: "o0"}).Sends {
				n += count(send.Target == "t1")
			}
		}
		return n
	}
	is.Equal(placed(0), 4) // two in the slots and two waiting
	is.Equal(placed(100), 4)
	is.Equal(placed(250), 2)
	is.Equal(placed(50), 4) // a quick target has no longer queue
}

// grantTo passes in a placement request of another entry VM and returns its target.
func (s *harness) grantTo(from fleet.VMID, id PlacementID) fleet.TargetID {
	s.t.Helper()
	out := s.step(&IncomingMessage{From: from, Message: &PlacementRequest{ID: id, Service: "svc", Route: "a", Domain: "d1", MaxWait: time.Second, TimeLeft: 10 * time.Second}})
	for _, m := range out.Messages {
		if g, ok := m.Message.(*Grant); ok && m.To == from {
			return g.Target
		}
	}
	s.t.Fatal("no target is granted")
	return ""
}

func (s *harness) report(from fleet.VMID, id PlacementID, took time.Duration) {
	s.t.Helper()
	s.step(&IncomingMessage{From: from, Message: &Report{ID: id, Result: ResultServed, Took: took, Load: Load{Known: true, Running: 1, Slots: 3}}})
}

// Guards against a coordinator that does not learn the pace, or divides it out of the
// wrong answer. Two VMs report at once, and one of them states no pace. A second
// coordinator starts with all targets as usual.
func TestCoordinatorLearnsPaceFromOtherVMs(t *testing.T) {
	is := is.New(t)
	s, second := newPaceHarness(t, selfVM), newPaceHarness(t, selfVM)
	a, b := s.grantTo("vm-a", 1), s.grantTo("vm-b", 1)
	is.True(a != b)
	s.now = s.now.Add(workWarm)
	s.step(&IncomingMessage{From: "vm-a", Message: &TargetPace{Target: a, Percent: 250}})
	is.Equal(s.r.targets[a].pace.Factor(s.now), 2.5) // also if the report is lost
	s.report("vm-b", 1, workWarm)
	is.True(!s.r.targets[b].pace.Known())
	undivided := s.r.routeOf("a").expected(objectNone)
	s.report("vm-a", 1, workWarm)
	is.True(s.r.routeOf("a").expected(objectNone) < undivided)
	is.Equal(len(s.r.announcedPaces), 0)
	// An announcement whose report was lost does not apply to another target's report.
	s.step(&IncomingMessage{From: "vm-b", Message: &TargetPace{Target: a, Percent: 250}})
	is.True(s.grantTo("vm-b", 2) != a)
	is.Equal(second.grantTo("vm-b", 2), a)
	before := s.r.routeOf("a").expected(objectNone)
	s.now = s.now.Add(workWarm)
	s.report("vm-b", 2, workWarm)
	is.True(s.r.routeOf("a").expected(objectNone) >= before)
}

// Guards against unbounded memory: VMs that end between the two messages send no report.
func TestAnnouncedPacesAreBounded(t *testing.T) {
	is := is.New(t)
	s := newPaceHarness(t, selfVM, otherVM)
	for i := range 1000 {
		s.step(&IncomingMessage{From: fleet.VMID(fmt.Sprint("vm-", i)), Message: &TargetPace{Target: "t0", Percent: 250}})
		is.True(len(s.r.announcedPaces) <= 3)
	}
}

// Guards against a pace that never reaches the coordinator that placed the request, or
// reaches it after the report, or comes from an answer without one. Each coordinator that
// a VM asks gets the paces of its own grants.
func TestPacePrecedesReport(t *testing.T) {
	for percent, want := range map[int]int{0: 1, 100: 2, 250: 2} {
		t.Run(fmt.Sprint(percent), func(t *testing.T) {
			is := is.New(t)
			s := newPaceHarness(t, otherVM)
			for id, from := range []fleet.VMID{otherVM, otherVM} {
				req := s.step(&Arrive{Request: RequestID(id + 1), Host: "h", Path: "/a/x"}).Messages[0]
				is.Equal(req.To, from)
				send := s.step(&IncomingMessage{From: from, Message: &Grant{ID: req.Message.(*PlacementRequest).ID, Target: "t1"}}).Sends[0]
				out := s.step(&Answered{Attempt: send.Attempt, Outcome: Served, Load: Load{Known: true, Slots: 3, Pace: percent}})
				is.Equal(len(out.Messages), want)
				if want == 2 {
					is.Equal(out.Messages[0], OutgoingMessage{To: from, Message: &TargetPace{Target: "t1", Percent: percent}})
				}
				_, last := out.Messages[want-1].Message.(*Report)
				is.True(last)
			}
		})
	}
}

// Guards against a target that starts with the pace of its earlier instance, whose late
// answers state it.
func TestRestartResetsPace(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	s.configure(1, idempotentRoute("a"))
	register := func(startedAt int64) {
		s.step(&TargetsChanged{Updated: []Target{{ID: "t", Service: "svc", Domain: "d1", Slots: 3, StartedAt: startedAt}}})
	}
	register(1)
	s.servePaced(1, "", workWarm, 250)
	late := s.arriveOnce(2, "/a/x", "")
	is.True(s.r.targets["t"].pace.Known())
	register(2)
	is.Equal(s.r.targets["t"].pace.Factor(s.now), 1.0)
	s.step(&Answered{Attempt: late.Attempt, Outcome: Served, Load: Load{Known: true, Slots: 3, Pace: 250}})
	s.step(&IncomingMessage{From: "vm-a", Message: &TargetPace{Target: "t", StartedAt: 1, Percent: 250}})
	is.True(!s.r.targets["t"].pace.Known())
	s.step(&IncomingMessage{From: "vm-a", Message: &TargetPace{Target: "unknown", Percent: 250}})
	s.step(&IncomingMessage{From: "vm-a", Message: &TargetPace{Target: "t", StartedAt: 2, Percent: -7}})
	is.True(!s.r.targets["t"].pace.Known())
}

// Guards against a share of other regions that follows the paces of single targets of the
// own region, which last for less than a second.
func TestShareIgnoresPace(t *testing.T) {
	is := is.New(t)
	s := newPlacementHarness(t)
	for id := RequestID(100); id < 103; id++ {
		s.arriveOnce(id, "/a/x", "o0") // more than t1 has slots
	}
	svc := s.r.targets["t1"].svc
	j := &job{PlacementRequest: PlacementRequest{Service: "svc", Route: "a", Object: "o0", Domain: "d1"}, svc: svc, obj: svc.objects.get("o0")}
	local, _ := s.r.bestOptions(s.now, j, false)
	is.Equal(s.r.usualCost(s.now, j, local), local.cost)
	s.r.targets["t1"].pace.Observe(s.now, 250)
	busy, _ := s.r.bestOptions(s.now, j, false)
	is.True(busy.cost > 2*local.cost)
	is.True(math.Abs(s.r.usualCost(s.now, j, busy)/local.cost-1) < 1e-9)
}
