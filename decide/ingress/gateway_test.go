package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

const (
	firstGateway  = fleet.VMID("gate-1")
	secondGateway = fleet.VMID("gate-2")
)

// gatewayBench has one target in each failure domain of the other region, and
// VMs there that carry requests.
func gatewayBench(t *testing.T, idempotent bool) *bench {
	t.Helper()
	s := newBench(t, Bounds{RepeatRatio: 1, RepeatSlack: 20}, selfVM)
	s.step(&MembersChanged{VMs: gatewayMembers()})
	rt := one("a")
	rt.Idempotent = idempotent
	rt.Timeout = 5 * time.Second
	s.configure(1, rt)
	s.target("t1", "far", 9)
	s.target("t2", "far", 9)
	s.earnRepeat()
	return s
}

func gatewayMembers() []fleet.VM {
	return []fleet.VM{
		{ID: selfVM, Domain: "d1", Region: "r1", GatewayAddr: "a"},
		{ID: firstGateway, Domain: "far", Region: "r2", GatewayAddr: "a"},
		{ID: secondGateway, Domain: "far", Region: "r2", GatewayAddr: "a"},
		{ID: "old", Domain: "far", Region: "r2"}, // takes no requests of others
	}
}

// sendOf has a request come and returns its first send.
func (s *bench) sendOf(id RequestID) Send {
	s.t.Helper()
	for _, e := range s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"}).Sends {
		if e.Request == id {
			return e
		}
	}
	s.t.Fatalf("request %d is not sent", id)
	return Send{}
}

// Guards against two crossings to open a connection before each request to
// another region.
func TestRequestsToOtherRegionsGoThroughAGateway(t *testing.T) {
	is := is.New(t)
	s := gatewayBench(t, true)
	first := s.sendOf(100).Gateway
	is.True(first == firstGateway || first == secondGateway)
	is.Equal(s.sendOf(101).Gateway, first) // the same one, to which connections are open
	s.step(&TargetsChanged{Gone: []fleet.TargetID{"t1", "t2"}})
	s.target("near", "d1", 3)
	is.Equal(s.sendOf(102).Gateway, fleet.VMID(""))
}

// Guards against requests that fail, or are paid for as repeats, because the
// gateway could not be reached: nothing of them has left this VM.
func TestARequestThatDidNotReachItsGatewayIsSentDirectly(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		s := gatewayBench(t, idempotent)
		e := s.sendOf(100)
		repeats := s.r.services["svc"].repeats.tokens
		out := s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway})
		is.Equal(len(out.Sends), 1)
		is.Equal(out.Sends[0].Target, e.Target)
		is.Equal(out.Sends[0].Gateway, fleet.VMID(""))
		is.Equal(s.r.services["svc"].repeats.tokens, repeats)
		is.True(s.sendOf(101).Gateway != e.Gateway) // the other one, for a while
		out = s.step(&Answered{Attempt: out.Sends[0].Attempt, Outcome: Served})
		is.Equal(len(out.Delivers), 1)
	}
}

// Guards against a second run of a request whose gateway was lost with it, and
// against targets that are taken out of use for their gateway's failure.
func TestALostGatewayMayHaveSentTheRequest(t *testing.T) {
	is := is.New(t)
	s := gatewayBench(t, false)
	e := s.sendOf(100)
	out := s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonGateway})
	is.Equal(len(out.Sends), 0)
	is.Equal(len(out.Probes), 0)
	is.Equal(out.Refusals[0].Verdict, verdict.MayHaveRun)
	is.Equal(out.Refusals[0].Reason, verdict.ReasonGateway)
	is.Equal(len(out.Beliefs), 0)
}

// Guards against requests that wait for a gateway that stands still or is cut
// off: one that may run twice is sent a second time, and the next ones go
// another way.
func TestASilentGatewayIsAvoided(t *testing.T) {
	is := is.New(t)
	s := gatewayBench(t, true)
	e := s.sendOf(100)
	wait := gatewayMargin + time.Duration(gatewayTrips)*initialFar
	s.now = s.now.Add(wait)
	out := s.step(&Tick{})
	is.Equal(out.Silent, []fleet.VMID{e.Gateway})
	is.Equal(len(out.Sends), 1)
	is.True(out.Sends[0].Target != e.Target)
	is.True(out.Sends[0].Gateway != e.Gateway)
	is.True(s.sendOf(101).Gateway != e.Gateway)

	// After a while one request tries it, and once it speaks all go there again.
	s.now = s.now.Add(avoidFor)
	probe := s.sendOf(102)
	is.Equal(probe.Gateway, e.Gateway)
	is.True(s.sendOf(103).Gateway != e.Gateway)
	s.step(&Received{Attempt: probe.Attempt})
	is.Equal(s.sendOf(104).Gateway, e.Gateway)
}

// Guards against a second send of every request that takes its time at a target,
// although its gateway has said that it has it.
func TestAGatewayThatHasARequestIsNotSilent(t *testing.T) {
	is := is.New(t)
	s := gatewayBench(t, true)
	e := s.sendOf(100)
	s.step(&Received{Attempt: e.Attempt})
	s.now = s.now.Add(gatewayMargin + time.Duration(gatewayTrips)*initialFar)
	is.Equal(len(s.step(&Tick{}).Sends), 0)
	is.Equal(s.sendOf(101).Gateway, e.Gateway)
}

// A request that must not run twice waits for its gateway, whatever that says.
func TestARequestIsNotSentTwiceForASilentGateway(t *testing.T) {
	is := is.New(t)
	s := gatewayBench(t, false)
	s.sendOf(100)
	s.now = s.now.Add(gatewayMargin + time.Duration(gatewayTrips)*initialFar)
	is.Equal(len(s.step(&Tick{}).Sends), 0)
}

// A gateway sends once what it is given, and passes on what comes of it.
func TestAGatewayPassesOnWhatComes(t *testing.T) {
	const id = RequestID(7)
	carry := func(is *is.I, s *bench) Send {
		out := s.step(&Carry{Request: id, Target: "t1", Left: time.Second})
		is.Equal(len(out.Sends), 1)
		is.Equal(out.Sends[0].Gateway, fleet.VMID(""))
		is.Equal(out.Sends[0].Left, time.Second)
		return out.Sends[0]
	}
	over := func(is *is.I, s *bench) {
		is.Equal(len(s.r.carries), 0)
		is.Equal(len(s.r.carriesBy), 0)
	}
	t.Run("answer", func(t *testing.T) {
		for _, o := range []Outcome{Served, ServerError, Refused, Misdirected, Unfit} {
			is, s := is.New(t), gatewayBench(t, true)
			e := carry(is, s)
			out := s.step(&Answered{Attempt: e.Attempt, Outcome: o})
			is.Equal(out.Delivers, []Deliver{{Request: id, Attempt: e.Attempt}})
			over(is, s)
		}
	})
	t.Run("failure", func(t *testing.T) {
		is, s := is.New(t), gatewayBench(t, true)
		e := carry(is, s)
		out := s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
		is.Equal(out.Refusals, []Refusal{{Request: id, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect}})
		over(is, s)
	})
	t.Run("no time left", func(t *testing.T) {
		is, s := is.New(t), gatewayBench(t, true)
		e := carry(is, s)
		s.now = s.now.Add(time.Second + answerMargin)
		out := s.step(&Tick{})
		is.Equal(out.Refusals[0].Verdict, verdict.MayHaveRun)
		is.Equal(out.Cancels, []Cancel{{Request: id, Attempt: e.Attempt}})
		over(is, s)
	})
	t.Run("given up by its entry VM", func(t *testing.T) {
		is, s := is.New(t), gatewayBench(t, true)
		e := carry(is, s)
		out := s.step(&CallerGone{Request: id})
		is.Equal(out.Cancels, []Cancel{{Request: id, Attempt: e.Attempt}})
		is.Equal(out.Dropped, []RequestID{id})
		over(is, s)
	})
	t.Run("unknown target", func(t *testing.T) {
		is, s := is.New(t), gatewayBench(t, true)
		out := s.step(&Carry{Request: id, Target: "none", Left: time.Second})
		is.Equal(out.Refusals, []Refusal{{Request: id, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway}})
		over(is, s)
	})
}

// simCarried is a request that an entry VM of a simulated fleet carries.
type simCarried struct {
	sender  *simVM
	attempt AttemptID // of the sender
	q       *simRequest
}

// throughGateway draws what becomes of a send on its way to its gateway.
func (s *fleetSim) throughGateway(vm *simVM, q *simRequest, e Send) {
	lost := func(after time.Duration, v verdict.Verdict) {
		s.after(after, func() { s.endCarried(vm, q, &Failed{Attempt: e.Attempt, Verdict: v, Reason: verdict.ReasonGateway}) })
	}
	switch n := s.rng.IntN(100); {
	case n < 5:
		lost(time.Millisecond, verdict.NotRun)
	case n < 8:
		lost(100*time.Millisecond, verdict.MayHaveRun)
	case n < 10: // silence, for longer than any request has
		lost(time.Minute, verdict.MayHaveRun)
	default:
		s.after(time.Duration(1+s.rng.IntN(3))*time.Millisecond, func() { s.atGateway(vm, q, e) })
	}
}

// atGateway has the gateway of a send take the request.
func (s *fleetSim) atGateway(vm *simVM, q *simRequest, e Send) {
	if !q.running[e.Attempt] {
		return // cancelled on the way
	}
	var gate *simVM
	for _, o := range s.vms {
		if o.id == e.Gateway {
			gate = o
		}
	}
	gate.last++
	id := gate.last
	gate.open[id] = &simRequest{
		id: id, due: s.now.Add(e.Left), running: make(map[AttemptID]bool), content: q.content,
		carried: &simCarried{sender: vm, attempt: e.Attempt, q: q},
	}
	q.gates = append(q.gates, simGate{gate, id, e.Attempt})
	s.step(gate, &Carry{Request: id, Target: e.Target, Left: e.Left})
	if s.rng.IntN(20) > 0 && q.running[e.Attempt] {
		s.step(vm, &Received{Attempt: e.Attempt})
	}
}

// simGate names a request at its gateway.
type simGate struct {
	vm      *simVM
	id      RequestID
	attempt AttemptID // of the sender
}

// leaveGateways tells gateways that a send has been given up.
func (s *fleetSim) leaveGateways(q *simRequest, id AttemptID) {
	for _, g := range q.gates {
		if g.attempt == id && g.vm.open[g.id] != nil {
			s.after(time.Millisecond, func() {
				if g.vm.open[g.id] != nil {
					s.step(g.vm, &CallerGone{Request: g.id})
				}
			})
		}
	}
}

// endCarried takes the end of a carried request to its entry VM.
func (s *fleetSim) endCarried(vm *simVM, q *simRequest, ev Event) {
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

// passed counts a send that a gateway makes, and reports whether it is not the
// request's first one.
func (q *simRequest) passed() bool {
	q.sends++
	return q.sends > 1
}
