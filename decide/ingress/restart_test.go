package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

func (s *harness) registerInstance(id fleet.TargetID, born int64, cold time.Duration) *Ready {
	return s.step(&TargetsChanged{Updated: []Target{{
		ID: id, Service: "svc", Domain: "d1", Slots: 2, Addr: "10.0.0.1:1", StartedAt: born, Cold: cold,
	}}})
}

// Guards against applying the state of a target's earlier instance after a restart
// under the same ID, while this VM was cut off from the target: the new instance
// was considered full, ejected and warm, and callers waited for answers that could
// not come.
func TestARestartedTargetHasFreshState(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{ColdFactor: 1, ColdSlack: 50}, selfVM)
	rt := idempotentRoute("a")
	rt.Idempotent = false
	s.configure(1, rt)
	s.registerInstance("t1", 1000, 0)
	arrive := func(id RequestID) []Send {
		return s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: "o"}).Sends
	}
	first := arrive(1)[0]
	is.Equal(len(arrive(2)), 1)
	old := s.r.targets["t1"]
	old.standing.Eject(s.now, s.r.rng)
	s.registerInstance("t1", 1000, 0) // the same instance again
	is.True(s.r.targets["t1"] == old)

	out := s.registerInstance("t1", 2000, time.Second)
	is.Equal(out.RestartedAddrs, []string{"10.0.0.1:1"}) // pooled connections are dead
	is.Equal(len(out.Refusals)+len(out.Sends), 0)        // nothing is run twice or given up
	now := s.r.targets["t1"]
	is.Equal(now.inFlight, 0)
	is.True(!now.isWarm(s.now, "o"))
	is.True(now.cold(s.now))
	is.Equal(len(arrive(3)), 1) // it is in use

	// A late answer of the earlier instance is delivered, and does not affect the
	// new one.
	out = s.step(&Answered{Attempt: first.Attempt, Load: Load{Known: true, Running: 9, Slots: 2}})
	is.Equal(len(out.Delivers), 1)
	is.Equal(now.inFlight, 1)
	is.Equal(now.otherLoad, 0)
}

// Guards against idempotent requests that wait until their deadline although other
// targets are free. Their target has restarted without closing its connections,
// and only a silence of half a second or more led to a second send.
func TestRequestsAtATerminatedInstanceAreSentAgain(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{RetryRatio: 1, RetrySlack: 10}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.registerInstance("t1", 1000, 0)
	s.earnRetries()
	is.Equal(len(s.step(&Arrive{Request: 100, Host: "h", Path: "/a/x"}).Sends), 1)
	s.target("t2", "d1", 2)
	out := s.registerInstance("t1", 2000, 0)
	is.Equal(len(out.Sends), 1)
	is.Equal(out.Sends[0].Target, fleet.TargetID("t2"))
}

// Guards against requests that go to another service or are refused as unknown,
// because their route has an invalid value and was left out. Such a route is kept,
// and its requests are refused.
func TestARouteWithADefectRefuses(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	broken := idempotentRoute("a")
	broken.Disabled = true
	s.configure(1, broken, idempotentRoute("b"))
	s.target("t1", "d1", 2)
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"})
	is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
	is.Equal(out.Refusals[0].Reason, verdict.ReasonRouteDefect)
	is.Equal(len(s.step(&Arrive{Request: 2, Host: "h", Path: "/b/x"}).Sends), 1)
}

// maxLearnTime is the longest time until all entry VMs know of a restart.
const maxLearnTime = 300 * time.Millisecond

// restart restarts a target under its ID. Each entry VM learns of it at a
// different time; half of the new instances are cold. The limit for a cold target
// is checked from the time at which all VMs know of it: before, they cannot
// distinguish it from the earlier instance.
func (s *fleetSim) restart() {
	t := s.anyTarget()
	if t == nil {
		return
	}
	t.StartedAt++
	t.running = 0
	t.Cold, t.coldUntil, t.coldSends = 0, 0, nil
	if s.rng.IntN(2) == 0 {
		t.Cold = 3 * time.Second
		born := t.StartedAt
		s.after(maxLearnTime, func() {
			if t.StartedAt == born {
				t.coldUntil = s.now.Add(t.Cold - maxLearnTime)
			}
		})
	}
	for _, vm := range s.vms {
		s.after(time.Duration(s.rng.Int64N(int64(maxLearnTime))), func() {
			s.step(vm, &TargetsChanged{Updated: []Target{t.Target}}) // the latest state: a VM never returns to an older one
		})
	}
}

// Checks the invariants of the simulated fleet while targets restart under their
// IDs, at times twice in a row, and entry VMs learn of it one after the other.
// Guards against requests that are not idempotent and are sent again although they
// may have run, against requests that never end or are wrongly said not to have
// run, against places that stay taken, and against retries above their limit. The
// seed reproduces a failure.
func TestRandomRestarts(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newFleetSim(t, 100+seed)
			s.loss = float64(seed%4) / 20
			for i := range 8 {
				d := simDomains[i%len(simDomains)]
				tg := &simTarget{inFlight: make(map[simAttempt]func()), region: simRegions[d], Target: Target{
					ID: fleet.TargetID(fmt.Sprint("t-", i)), Domain: d, Slots: 3, StartedAt: 1,
					Service: fleet.ServiceName(fmt.Sprint("s", 1+i%2)), Addr: "10.0.0.1:1",
				}}
				s.targets[tg.ID] = tg
				s.stepAll(&TargetsChanged{Updated: []Target{tg.Target}})
			}
			const requests = 1000
			for range requests {
				s.arrive()
				if s.rng.IntN(15) == 0 {
					s.restart()
				}
				s.run(s.now.Add(time.Duration(s.rng.IntN(15)) * time.Millisecond))
			}
			s.run(s.now.Add(20 * time.Second))
			if s.finals != requests {
				t.Fatalf("%d of %d requests have ended", s.finals, requests)
			}
			for _, vm := range s.vms {
				for _, tg := range vm.r.targets {
					if tg.inFlight != 0 {
						t.Fatalf("%s: %d requests counted in flight at %s at the end", vm.id, tg.inFlight, tg.ID)
					}
				}
			}
			s.checkRetries()
		})
	}
}

// Guards against two final answers, or more than two concurrent sends, for a
// request. Its target restarts and the search for a second target waits; then the
// earlier instance answers with a failure, which started another search.
func TestAFailureStartsNoSecondSearch(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{RetryRatio: 1, RetrySlack: 10}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.registerInstance("t1", 1000, 0)
	s.earnRetries()
	send := s.arriveOnce(100, "/a/x", "")
	s.registerInstance("t1", 2000, 0)
	is.True(s.r.requests[100].searching())
	out := s.step(&Answered{Attempt: send.Attempt, Outcome: ServerError})
	is.Equal(len(s.r.jobs), 1)
	is.Equal(len(out.Delivers)+len(out.Refusals), 0)
	s.now = s.now.Add(time.Duration(maxWaitShare * float64(defaultAim)))
	is.Equal(len(s.step(&Tick{}).Refusals), 1)
}
