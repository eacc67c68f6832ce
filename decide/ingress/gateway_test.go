package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

const (
	firstGateway  = fleet.VMID("gate-1")
	secondGateway = fleet.VMID("gate-2")
)

// gatewayHarness has two targets in the other region, and VMs there that forward
// requests.
func gatewayHarness(t *testing.T, idempotent bool) *harness {
	t.Helper()
	s := newHarness(t, Bounds{RetryRatio: 1, RetrySlack: 20}, selfVM)
	s.step(&MembersChanged{VMs: gatewayMembers()})
	rt := idempotentRoute("a")
	rt.Idempotent = idempotent
	rt.Timeout = 5 * time.Second
	s.configure(1, rt)
	s.target("t1", "far", 9)
	s.target("t2", "far", 9)
	s.earnRetries()
	return s
}

func gatewayMembers() []fleet.VM {
	return []fleet.VM{
		{ID: selfVM, Domain: "d1", Region: "r1", GatewayAddr: "a"},
		{ID: firstGateway, Domain: "far", Region: "r2", GatewayAddr: "a"},
		{ID: secondGateway, Domain: "far", Region: "r2", GatewayAddr: "a"},
		{ID: "old", Domain: "far", Region: "r2"}, // forwards no requests
	}
}

// arriveAndSend passes in a request and returns its first send.
func (s *harness) arriveAndSend(id RequestID) Send {
	s.t.Helper()
	for _, e := range s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"}).Sends {
		if e.Request == id {
			return e
		}
	}
	s.t.Fatalf("request %d is not sent", id)
	return Send{}
}

// Guards against two round trips for opening a connection before each request to
// another region.
func TestRequestsToOtherRegionsGoThroughAGateway(t *testing.T) {
	is := is.New(t)
	s := gatewayHarness(t, true)
	first := s.arriveAndSend(100).Gateway
	is.True(first == firstGateway || first == secondGateway)
	is.Equal(s.arriveAndSend(101).Gateway, first) // the same one, to which connections are open
	s.step(&TargetsChanged{Removed: []fleet.TargetID{"t1", "t2"}})
	s.target("near", "d1", 3)
	is.Equal(s.arriveAndSend(102).Gateway, fleet.VMID(""))
}

// Guards against requests that fail, or count as retries, because the gateway
// could not be reached: nothing has left this VM.
func TestARequestThatDidNotReachItsGatewayIsSentDirectly(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		s := gatewayHarness(t, idempotent)
		e := s.arriveAndSend(100)
		tokens := s.r.services["svc"].retryBudget.tokens
		out := s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway})
		is.Equal(len(out.Sends), 1)
		is.Equal(out.Sends[0].Target, e.Target)
		is.Equal(out.Sends[0].Gateway, fleet.VMID(""))
		is.Equal(s.r.services["svc"].retryBudget.tokens, tokens)
		is.True(s.arriveAndSend(101).Gateway != e.Gateway) // the other one, for a while
		out = s.step(&Answered{Attempt: out.Sends[0].Attempt, Outcome: Served})
		is.Equal(len(out.Delivers), 1)
	}
}

// Guards against a second run of a request whose gateway was lost, and against
// ejecting targets for failures of their gateway.
func TestALostGatewayMayHaveSentTheRequest(t *testing.T) {
	is := is.New(t)
	s := gatewayHarness(t, false)
	e := s.arriveAndSend(100)
	out := s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonGateway})
	is.Equal(len(out.Sends), 0)
	is.Equal(len(out.Probes), 0)
	is.Equal(out.Refusals[0].Verdict, verdict.MayHaveRun)
	is.Equal(out.Refusals[0].Reason, verdict.ReasonGateway)
	is.Equal(len(out.StateChanges), 0)
}

// Guards against requests that wait for a stalled or cut-off gateway: an
// idempotent one is sent a second time, and the following ones use another
// gateway.
func TestASilentGatewayIsAvoided(t *testing.T) {
	is := is.New(t)
	s := gatewayHarness(t, true)
	e := s.arriveAndSend(100)
	wait := gatewayMargin + time.Duration(gatewayRTTs)*initialRemoteRTT
	s.now = s.now.Add(wait)
	out := s.step(&Tick{})
	is.Equal(out.SilentGateways, []fleet.VMID{e.Gateway})
	is.Equal(len(out.Sends), 1)
	is.True(out.Sends[0].Target != e.Target)
	is.True(out.Sends[0].Gateway != e.Gateway)
	is.True(s.arriveAndSend(101).Gateway != e.Gateway)

	// After a while one request probes it, and once it responds all go there
	// again.
	s.now = s.now.Add(avoidPeriod)
	probe := s.arriveAndSend(102)
	is.Equal(probe.Gateway, e.Gateway)
	is.True(s.arriveAndSend(103).Gateway != e.Gateway)
	s.step(&GatewayAccepted{Attempt: probe.Attempt})
	is.Equal(s.arriveAndSend(104).Gateway, e.Gateway)
}

// Guards against a second send of every request that takes long at a target
// although its gateway has acknowledged it.
func TestAGatewayThatHasARequestIsNotSilent(t *testing.T) {
	is := is.New(t)
	s := gatewayHarness(t, true)
	e := s.arriveAndSend(100)
	s.step(&GatewayAccepted{Attempt: e.Attempt})
	s.now = s.now.Add(gatewayMargin + time.Duration(gatewayRTTs)*initialRemoteRTT)
	is.Equal(len(s.step(&Tick{}).Sends), 0)
	is.Equal(s.arriveAndSend(101).Gateway, e.Gateway)
}

// A request that is not idempotent waits for its gateway.
func TestARequestIsNotSentTwiceForASilentGateway(t *testing.T) {
	is := is.New(t)
	s := gatewayHarness(t, false)
	s.arriveAndSend(100)
	s.now = s.now.Add(gatewayMargin + time.Duration(gatewayRTTs)*initialRemoteRTT)
	is.Equal(len(s.step(&Tick{}).Sends), 0)
}

// A gateway sends a request once and returns the result.
func TestAGatewayReturnsEveryResult(t *testing.T) {
	const id = RequestID(7)
	forward := func(is *is.I, s *harness) Send {
		out := s.step(&ForwardRequest{Request: id, Target: "t1", TimeLeft: time.Second})
		is.Equal(len(out.Sends), 1)
		is.Equal(out.Sends[0].Gateway, fleet.VMID(""))
		is.Equal(out.Sends[0].TimeLeft, time.Second)
		return out.Sends[0]
	}
	checkRemoved := func(is *is.I, s *harness) {
		is.Equal(len(s.r.forwards), 0)
		is.Equal(len(s.r.forwardsByAttempt), 0)
	}
	t.Run("answer", func(t *testing.T) {
		for _, o := range []Outcome{Served, ServerError, Refused, Misdirected, InvalidAnswer} {
			is, s := is.New(t), gatewayHarness(t, true)
			e := forward(is, s)
			out := s.step(&Answered{Attempt: e.Attempt, Outcome: o})
			is.Equal(out.Delivers, []Deliver{{Request: id, Attempt: e.Attempt}})
			checkRemoved(is, s)
		}
	})
	t.Run("failure", func(t *testing.T) {
		is, s := is.New(t), gatewayHarness(t, true)
		e := forward(is, s)
		out := s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
		is.Equal(out.Refusals, []Refusal{{Request: id, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect}})
		checkRemoved(is, s)
	})
	t.Run("no time left", func(t *testing.T) {
		is, s := is.New(t), gatewayHarness(t, true)
		e := forward(is, s)
		s.now = s.now.Add(time.Second + answerMargin)
		out := s.step(&Tick{})
		is.Equal(out.Refusals[0].Verdict, verdict.MayHaveRun)
		is.Equal(out.Cancels, []Cancel{{Request: id, Attempt: e.Attempt}})
		checkRemoved(is, s)
	})
	t.Run("given up by its entry VM", func(t *testing.T) {
		is, s := is.New(t), gatewayHarness(t, true)
		e := forward(is, s)
		out := s.step(&CallerGone{Request: id})
		is.Equal(out.Cancels, []Cancel{{Request: id, Attempt: e.Attempt}})
		is.Equal(out.Abandoned, []RequestID{id})
		checkRemoved(is, s)
	})
	t.Run("unknown target", func(t *testing.T) {
		is, s := is.New(t), gatewayHarness(t, true)
		out := s.step(&ForwardRequest{Request: id, Target: "none", TimeLeft: time.Second})
		is.Equal(out.Refusals, []Refusal{{Request: id, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway}})
		checkRemoved(is, s)
	})
}

// Guards against a request that a gateway sends although its entry VM must have given it up: a
// broken path has held it up. Clocks have nothing to do with each other.
func TestAHeldUpRequestIsNotSent(t *testing.T) {
	is, s := is.New(t), gatewayHarness(t, true)
	const apart = -1234 * time.Hour
	forward := func(id RequestID, heldUp time.Duration) *Ready {
		return s.step(&ForwardRequest{Request: id, Target: "t1", TimeLeft: time.Second, Clock: "vm/1", Distance: apart + heldUp})
	}
	is.Equal(forward(1, 60*time.Millisecond).Sends[0].TimeLeft, time.Second)
	is.Equal(forward(2, 55*time.Millisecond).Sends[0].TimeLeft, time.Second)
	is.Equal(forward(3, 455*time.Millisecond).Sends[0].TimeLeft, 600*time.Millisecond)
	out := forward(4, 1055*time.Millisecond)
	is.Equal(len(out.Sends), 0)
	is.Equal(out.Refusals, []Refusal{{Request: 4, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway, HeldUp: time.Second}})
	out = s.step(&ForwardRequest{Request: 5, Target: "t1", TimeLeft: time.Second}) // of an earlier version
	is.Equal(out.Sends[0].TimeLeft, time.Second)
}

// Guards against a request that a gateway sends to a target of which it knows that it must get
// none: the entry VM that has placed it does not know that yet.
func TestAGatewaySendsNothingAgainstItsOwnKnowledge(t *testing.T) {
	for name, change := range map[string]Event{
		"evacuated": &Evacuated{Domain: "far", Begin: true},
		"draining":  &TargetsChanged{Updated: []Target{{ID: "t1", Service: "svc", Addr: "a", Domain: "far", Slots: 9, Draining: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			is, s := is.New(t), gatewayHarness(t, true)
			s.step(change)
			out := s.step(&ForwardRequest{Request: 1, Target: "t1", TimeLeft: time.Second})
			is.Equal(len(out.Sends), 0)
			is.Equal(out.Refusals, []Refusal{{Request: 1, Verdict: verdict.NotRun, Reason: verdict.ReasonUnavailable}})
		})
	}
}

// simForwarded is a request that an entry VM of a simulated fleet forwards.
type simForwarded struct {
	sender  *simVM
	attempt AttemptID // of the sender
	q       *simRequest
}

// sendThroughGateway simulates a random result of a send on its way to its
// gateway.
func (s *fleetSim) sendThroughGateway(vm *simVM, q *simRequest, e Send) {
	lost := func(after time.Duration, v verdict.Verdict) {
		s.after(after, func() { s.endForwarded(vm, q, &Failed{Attempt: e.Attempt, Verdict: v, Reason: verdict.ReasonGateway}) })
	}
	switch n := s.rng.IntN(100); {
	case n < 5:
		lost(time.Millisecond, verdict.NotRun)
	case n < 8:
		lost(100*time.Millisecond, verdict.MayHaveRun)
	case n < 10: // no answer within the lifetime of any request
		lost(time.Minute, verdict.MayHaveRun)
	default:
		onTheWay, heldUp, sent := time.Duration(1+s.rng.IntN(maxSimWay))*time.Millisecond, time.Duration(0), s.now
		if s.heldRNG.IntN(20) == 0 {
			heldUp = time.Duration(s.heldRNG.Int64N(int64(3 * time.Second)))
		}
		delivered := s.heldRNG.IntN(2) == 0 // even if it is cancelled meanwhile
		s.after(onTheWay+heldUp, func() {
			if q.running[e.Attempt] || (heldUp > 0 && delivered) {
				s.atGateway(vm, q, e, sent)
			}
		})
	}
}

// maxSimWay is the longest time on the way to a gateway in ms, apart from being held up.
const maxSimWay = 3

// atGateway passes a request to its gateway that was sent at a time.
func (s *fleetSim) atGateway(vm *simVM, q *simRequest, e Send, sent clock.Time) {
	var gate *simVM
	for _, o := range s.vms {
		if o.id == e.Gateway {
			gate = o
		}
	}
	gate.last++
	id := gate.last
	gate.open[id] = &simRequest{
		id: id, deadline: s.deadlineAtGateway(vm, gate, e, sent), running: make(map[AttemptID]bool), content: q.content,
		forwarded: &simForwarded{sender: vm, attempt: e.Attempt, q: q},
	}
	q.gateways = append(q.gateways, simGatewayRequest{gate, id, e.Attempt})
	s.step(gate, &ForwardRequest{
		Request: id, Target: e.Target, TimeLeft: e.TimeLeft,
		Clock: string(vm.id), Distance: s.now.Sub(sent) + gate.clockAhead - vm.clockAhead,
	})
	if s.rng.IntN(20) > 0 && q.running[e.Attempt] {
		s.step(vm, &GatewayAccepted{Attempt: e.Attempt})
	}
}

// deadlineAtGateway returns when a forwarded request must have ended. Of the first request of
// a VM, a gateway cannot know how long it was held up.
func (s *fleetSim) deadlineAtGateway(vm, gate *simVM, e Send, sent clock.Time) clock.Time {
	if !gate.knowsClock[vm.id] {
		if gate.knowsClock == nil {
			gate.knowsClock = make(map[fleet.VMID]bool)
		}
		gate.knowsClock[vm.id] = s.now.Sub(sent) <= maxSimWay*time.Millisecond
		return s.now.Add(e.TimeLeft)
	}
	const driftAllowance = 100 * time.Millisecond
	return max(s.now, sent.Add(e.TimeLeft+maxSimWay*time.Millisecond+driftAllowance)) // it may be refused now
}

// simGatewayRequest identifies a request at its gateway.
type simGatewayRequest struct {
	vm      *simVM
	id      RequestID
	attempt AttemptID // of the sender
}

// cancelAtGateways notifies gateways that a send has been cancelled.
func (s *fleetSim) cancelAtGateways(q *simRequest, id AttemptID) {
	for _, g := range q.gateways {
		if g.attempt == id && g.vm.open[g.id] != nil {
			s.after(time.Millisecond, func() {
				if g.vm.open[g.id] != nil {
					s.step(g.vm, &CallerGone{Request: g.id})
				}
			})
		}
	}
}

// endForwarded returns the result of a forwarded request to its entry VM.
func (s *fleetSim) endForwarded(vm *simVM, q *simRequest, ev Event) {
	var id AttemptID
	ran := verdict.NotRun
	switch ev := ev.(type) {
	case *Answered:
		id, ran = ev.Attempt, ev.Outcome.Verdict()
	case *Failed:
		id, ran = ev.Attempt, ev.Verdict
	}
	if !q.running[id] {
		return // cancelled
	}
	delete(q.running, id)
	delete(vm.owner, id)
	q.mayRun = q.mayRun || ran != verdict.NotRun
	s.step(vm, ev)
}
