package ingress

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// linkHarness has three targets of the own region, one of them in another failure
// domain.
func linkHarness(t *testing.T) *harness {
	s := newHarness(t, Bounds{RetryRatio: 1, RetrySlack: 100}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 50)
	s.target("t2", "d1", 50)
	s.target("t3", "d2", 50)
	return s
}

// failConnect fails a send because no connection to its target could be opened.
func (s *harness) failConnect(e Send) *Ready {
	s.t.Helper()
	return s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
}

// linkProbed answers the latest probe of the links.
func (s *harness) linkProbed(found Listening) *Ready {
	s.t.Helper()
	return s.step(&LinkProbed{Target: s.r.links.probe.target.ID, Listening: found})
}

// Guards against a VM that takes the loss of its own links for the failure of targets,
// or the failure of a target for the loss of its links.
func TestLinksAreProbedAfterAFailure(t *testing.T) {
	is := is.New(t)
	s := linkHarness(t)
	first := s.arriveOnce(1, "/a/x", "")
	s.now = s.now.Add(time.Second)
	out := s.failConnect(first)
	is.Equal(len(out.LinkProbes), 1)
	is.True(out.LinkProbes[0].Target != first.Target)
	is.Equal(len(out.LinkChanges), 0)
	out = s.linkProbed(ListeningYes) // only the target has failed
	is.Equal(len(out.LinkChanges), 0)

	s.now = s.now.Add(time.Second)
	second := s.arriveOnce(2, "/a/x", "")
	s.now = s.now.Add(time.Second)
	is.Equal(len(s.failConnect(second).LinkProbes), 1)
	out = s.linkProbed(ListeningNo)
	is.Equal(len(out.LinkChanges), 0)
	is.Equal(len(out.LinkProbes), 1) // the third target
	s.now = s.now.Add(250 * time.Millisecond)
	out = s.linkProbed(ListeningUnknown)
	is.Equal(out.LinkChanges[0].Down, true)
	is.True(s.r.Status(s.now).LinksDown)

	probed := make(map[string]bool)
	for range 6 {
		s.now = s.now.Add(linkProbeInterval)
		for _, p := range s.step(&Tick{}).LinkProbes {
			probed[string(p.Target)] = true
		}
		s.linkProbed(ListeningNo)
	}
	is.Equal(len(probed), 3)
	s.now = s.now.Add(linkProbeInterval)
	is.Equal(len(s.step(&Tick{}).LinkProbes), 1)
	is.Equal(s.linkProbed(ListeningYes).LinkChanges[0].Down, false)
	is.True(!s.r.Status(s.now).LinksDown)
	s.now = s.now.Add(time.Minute)
	is.Equal(len(s.step(&Tick{}).LinkProbes), 0)
}

// Guards against an answer on a connection from before the loss of the links that is
// taken for the end of the loss.
func TestConnectionsOpenedBeforeProveNoLinks(t *testing.T) {
	is := is.New(t)
	s := linkHarness(t)
	before := s.arriveOnce(1, "/a/x", "")
	s.now = s.now.Add(100 * time.Millisecond)
	after := s.arriveOnce(2, "/a/x", "")
	s.now = s.now.Add(250 * time.Millisecond)
	s.failConnect(after)
	s.linkProbed(ListeningUnknown)
	s.linkProbed(ListeningUnknown)
	is.True(s.r.links.down)
	s.step(&Answered{Attempt: before.Attempt, ConnectTime: time.Millisecond})
	is.True(s.r.links.down)
}

// detourHarness is linkHarness with two more VMs of the own region, in both failure
// domains, and one of another region.
func detourHarness(t *testing.T, rt route.Route) *harness {
	s := linkHarness(t)
	s.configure(2, rt)
	s.step(&MembersChanged{VMs: []fleet.VM{
		{ID: selfVM, Domain: "d1", Region: "r1", GatewayAddr: "a"},
		{ID: "near", Domain: "d1", Region: "r1", GatewayAddr: "b"},
		{ID: "beside", Domain: "d2", Region: "r1", GatewayAddr: "c"},
		{ID: "remote", Domain: "far", Region: "r2", GatewayAddr: "d"},
	}})
	s.r.coordinatorOrders[coordinatorKey{"r1", "svc"}] = []fleet.VMID{selfVM} // it places its own requests
	return s
}

// loseLinks lets the connections to all targets fail, the first of them to a request.
func (s *harness) loseLinks(id RequestID) *Ready {
	s.t.Helper()
	s.now = s.now.Add(time.Second)
	first := s.arriveOnce(id, "/a/x", "")
	s.now = s.now.Add(minConnectTimeout)
	out := s.failConnect(first)
	sends := slices.Clone(out.Sends)
	for !s.r.links.down {
		s.now = s.now.Add(minConnectTimeout)
		out = s.linkProbed(ListeningUnknown)
		sends = append(sends, out.Sends...)
	}
	out.Sends = sends
	return out
}

// Guards against callers that are refused by a VM without links to targets, although
// other VMs could carry their requests: the whole time of a request went into one
// connection, and further ones were not allowed to it.
func TestRequestsOfAVMWithoutLinksAreCarried(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		rt := idempotentRoute("a")
		rt.Idempotent, rt.Attempts, rt.Aim, rt.Timeout = idempotent, 1, 400*time.Millisecond, 5*time.Second
		s := detourHarness(t, rt)
		out := s.loseLinks(1)
		is.Equal(len(out.Sends), 1) // the request that found the links down
		is.True(out.Sends[0].Gateway != "")
		second := s.arriveOnce(2, "/a/x", "")
		is.True(second.Gateway != "")
		s.step(&GatewayAccepted{Attempt: second.Attempt})
		is.Equal(len(s.step(&Answered{Attempt: second.Attempt}).Delivers), 1)

		s.now = s.now.Add(linkProbeInterval)
		s.step(&Tick{})
		s.linkProbed(ListeningYes)
		is.Equal(s.arriveOnce(3, "/a/x", "").Gateway, fleet.VMID(""))
	}
}

// Guards against targets that are ejected for all VMs because one VM cannot reach them.
func TestLostLinksAreNotHeldAgainstTargets(t *testing.T) {
	is := is.New(t)
	s := detourHarness(t, idempotentRoute("a"))
	var sends []Send
	for id := RequestID(1); id <= 12; id++ {
		sends = append(sends, s.arriveOnce(id, "/a/x", ""))
	}
	s.now = s.now.Add(minConnectTimeout)
	ejected := make(map[fleet.TargetID]bool)
	for i, e := range sends {
		for i == 4 && !s.r.links.down {
			s.linkProbed(ListeningUnknown)
		}
		down := s.r.links.down
		out := s.failConnect(e)
		for _, c := range out.StateChanges {
			if c.Change == "ejected" {
				ejected[c.Target] = true
			}
		}
		if down {
			is.Equal(len(out.Sends), 1)
			is.Equal(out.Sends[0].Target, e.Target) // the target itself is in order
		}
	}
	is.True(s.r.links.down)
	is.True(len(ejected) < minLinkFailures)
}

// Guards against a VM without links that goes on carrying requests for others, whose
// VMs then hold the failure against the targets.
func TestAGatewayWithoutLinksSaysSo(t *testing.T) {
	is := is.New(t)
	s := detourHarness(t, idempotentRoute("a"))
	f := s.step(&ForwardRequest{Request: 9000, Target: "t3", TimeLeft: time.Minute}).Sends[0]
	s.loseLinks(1)
	out := s.failConnect(f)
	is.Equal(out.Refusals[0].Reason, verdict.ReasonGateway)
	is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
	out = s.step(&ForwardRequest{Request: 9001, Target: "t3", TimeLeft: time.Second})
	is.Equal(len(out.Sends), 0)
	is.Equal(out.Refusals[0].Reason, verdict.ReasonGateway)
}

// Guards against requests that are given up because the first gateway of a VM without
// links has none either, and against requests that leave their regions on the way.
func TestAVMWithoutLinksTriesOtherGateways(t *testing.T) {
	for name, c := range map[string]struct {
		homes []fleet.Region
		order []fleet.VMID
	}{
		"any region":     {nil, []fleet.VMID{"near", "beside", "remote", ""}},
		"its own region": {[]fleet.Region{"r1"}, []fleet.VMID{"near", "beside", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rt := idempotentRoute("a")
			rt.Homes, rt.Timeout = c.homes, 10*time.Second
			s := detourHarness(t, rt)
			s.loseLinks(1)
			s.step(&CallerGone{Request: 1})
			s.r.silent = make(map[fleet.VMID]*silentVM)
			s.step(&TargetsChanged{Removed: []fleet.TargetID{"t2", "t3"}})
			e := s.arriveOnce(2, "/a/x", "")
			for i, want := range c.order {
				is.Equal(e.Gateway, want)
				if i < len(c.order)-1 {
					out := s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway})
					is.Equal(len(out.Sends), 1)
					e = out.Sends[0]
				}
			}
		})
	}
}

// Guards against a request that ends a target after the other: its caller repeats it before it
// is known that the target has terminated.
func TestCallersOfLostRequestsAwaitTheProof(t *testing.T) {
	lose := func(t *testing.T) (*harness, Probe) {
		s := quarantineHarness(t)
		s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x", Timeout: time.Minute, Fingerprint: oneContent})
		for { // until no attempt is left
			attempts := slices.Sorted(maps.Keys(s.r.attempts))
			out := s.step(&Failed{Attempt: attempts[0], Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
			if len(s.r.attempts) == 0 {
				is.New(t).Equal(len(out.Refusals), 0)
				return s, out.Probes[0]
			}
			p := out.Probes[0]
			s.step(&Probed{Target: p.Target, StartedAt: p.StartedAt, Listening: ListeningUnknown})
		}
	}
	for name, found := range map[string]Listening{"it listens": ListeningYes, "unknown": ListeningUnknown} {
		t.Run(name, func(t *testing.T) {
			s, p := lose(t)
			out := s.step(&Probed{Target: p.Target, StartedAt: p.StartedAt, Listening: found})
			is.New(t).Equal(len(out.Refusals), 1)
		})
	}
	t.Run("refused, then a link works", func(t *testing.T) {
		is := is.New(t)
		s, p := lose(t)
		out := s.step(&Probed{Target: p.Target, StartedAt: p.StartedAt, Listening: ListeningNo})
		is.Equal(len(out.Refusals), 0)
		for len(out.Refusals) == 0 {
			out = s.linkProbed(ListeningYes)
			for _, p := range out.Probes {
				out = s.step(&Probed{Target: p.Target, StartedAt: p.StartedAt, Listening: ListeningNo})
			}
		}
		is.Equal(s.r.quarantine.Ends(s.now, oneContent), 1)
	})
	t.Run("no proof comes", func(t *testing.T) {
		is := is.New(t)
		s, _ := lose(t)
		s.now = s.now.Add(maxProofWait - time.Millisecond)
		is.Equal(len(s.step(&Tick{}).Refusals), 0)
		s.now = s.now.Add(time.Millisecond)
		is.Equal(len(s.step(&Tick{}).Refusals), 1)
	})
}

// Guards against requests that are taken for the cause of crashes, because a device on
// the way resets the connections of one VM to all targets and refuses new ones.
func TestRefusedProbesWithoutLinksProveNoCrash(t *testing.T) {
	is := is.New(t)
	s := quarantineHarness(t)
	for range 5 {
		s.last++
		s.step(&Arrive{Request: s.last, Host: "h", Path: "/a/x", Timeout: time.Minute, Fingerprint: oneContent})
	}
	var probes []Probe
	for _, id := range slices.Sorted(maps.Keys(s.r.attempts)) {
		out := s.step(&Failed{Attempt: id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
		probes = append(probes, out.Probes...)
	}
	is.True(len(probes) > 0)
	for _, p := range probes {
		s.step(&Probed{Target: p.Target, StartedAt: p.StartedAt, Listening: ListeningNo})
	}
	for !s.r.links.down {
		s.linkProbed(ListeningNo)
	}
	s.now = s.now.Add(5 * time.Second)
	s.step(&Tick{})
	out := s.linkProbed(ListeningYes)
	is.Equal(len(out.Probes), len(probes)) // whether they have terminated is still open
	for _, p := range slices.Clone(out.Probes) {
		s.step(&Probed{Target: p.Target, StartedAt: p.StartedAt, Listening: ListeningYes})
	}
	is.Equal(s.r.quarantine.Ends(s.now, oneContent), 0)
}

// Checks the invariants of the simulated fleet while entry VMs lose their links to
// targets and get them back. The seed reproduces a failure.
func TestRandomFleetWithLostLinks(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newFleetSim(t, 500+seed)
			s.loss = float64(seed%4) / 20
			s.linkless = make(map[fleet.VMID]bool)
			for n := range 6 {
				s.randomChange(n)
			}
			const requests = 1000
			for n := range requests {
				s.arrive()
				if s.rng.IntN(60) == 0 {
					s.randomChange(100 + n)
				}
				if s.rng.IntN(50) == 0 {
					id := s.vms[s.rng.IntN(len(s.vms))].id
					s.linkless[id] = !s.linkless[id]
				}
				s.run(s.now.Add(time.Duration(s.rng.IntN(15)) * time.Millisecond))
			}
			s.run(s.now.Add(20 * time.Second))
			if s.finals != requests {
				t.Fatalf("%d of %d requests have ended", s.finals, requests)
			}
			s.checkRetries()
		})
	}
}

// Guards against requests that are sent through another VM to a target that has left the
// choice while the connection to it was being opened.
func TestNoDetourToATargetThatLeaves(t *testing.T) {
	is := is.New(t)
	rt := idempotentRoute("a")
	rt.Timeout = time.Minute
	s := detourHarness(t, rt)
	pending := s.arriveOnce(1, "/a/x", "")
	s.loseLinks(2)
	d := s.r.targets[pending.Target].Target
	d.Draining = true
	s.step(&TargetsChanged{Updated: []Target{d}})
	out := s.failConnect(pending)
	is.Equal(len(out.Sends), 1)
	is.True(out.Sends[0].Target != pending.Target)
}

// Guards against round-trip times within a region that are taken from a detour through
// another region.
func TestDetoursMeasureNoRoundTrips(t *testing.T) {
	is := is.New(t)
	s := detourHarness(t, idempotentRoute("a"))
	s.loseLinks(1)
	e := s.arriveOnce(2, "/a/x", "")
	is.True(e.Gateway != "")
	s.step(&Answered{Attempt: e.Attempt, ConnectTime: 110 * time.Millisecond})
	is.Equal(s.r.rtt("r1"), float64(initialLocalRTT))
}
