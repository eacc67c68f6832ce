package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

func (s *bench) start(id fleet.TargetID, born int64, cold time.Duration) *Ready {
	return s.step(&TargetsChanged{Set: []Target{{
		ID: id, Service: "svc", Domain: "d1", Slots: 2, Addr: "10.0.0.1:1", Born: born, Cold: cold,
	}}})
}

// Symptom: a target that has just started is taken for full, for out of use and
// for one that remembers objects; its callers wait for answers that can't come.
// Sequence: it has requests in flight and has failed some; it dies and starts
// again under its ID while this VM is cut off from it.
// Cause: what was known was kept by the ID, which is that of several starts.
func TestANewStartKnowsNothing(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{ColdFactor: 1, ColdSlack: 50}, selfVM)
	rt := one("a")
	rt.Idempotent = false
	s.configure(1, rt)
	s.start("t1", 1000, 0)
	arrive := func(id RequestID) []Send {
		return s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: "o"}).Sends
	}
	first := arrive(1)[0]
	is.Equal(len(arrive(2)), 1)
	old := s.r.targets["t1"]
	old.standing.Eject(s.now, s.r.rng)
	s.start("t1", 1000, 0) // the same start says so once more
	is.True(s.r.targets["t1"] == old)

	out := s.start("t1", 2000, time.Second)
	is.Equal(out.Restarted, []string{"10.0.0.1:1"}) // kept connections lead nowhere
	is.Equal(len(out.Refusals)+len(out.Sends), 0)   // nothing is run twice, nor given up
	now := s.r.targets["t1"]
	is.Equal(now.inFlight, 0)
	is.True(!now.isWarm(s.now, "o"))
	is.True(now.cold(s.now))
	is.Equal(len(arrive(3)), 1) // it is in use

	// A late answer of the earlier start is delivered, and says nothing of the
	// new one.
	out = s.step(&Answered{Attempt: first.Attempt, Load: Load{Known: true, Running: 9, Slots: 2}})
	is.Equal(len(out.Delivers), 1)
	is.Equal(now.inFlight, 1)
	is.Equal(now.others, 0)
}

// Symptom: idempotent requests end with their deadline although other targets
// are free.
// Sequence: their target starts again; its connections never say that it ended.
// Cause: only silence of half a second and more led to a second send.
func TestRequestsAtAnEndedStartAreSentAgain(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{RepeatRatio: 1, RepeatSlack: 10}, selfVM)
	s.configure(1, one("a"))
	s.start("t1", 1000, 0)
	s.earnRepeat()
	is.Equal(len(s.step(&Arrive{Request: 100, Host: "h", Path: "/a/x"}).Sends), 1)
	s.target("t2", "d1", 2)
	out := s.start("t1", 2000, 0)
	is.Equal(len(out.Sends), 1)
	is.Equal(out.Sends[0].Target, fleet.TargetID("t2"))
}

// Symptom: requests fall to another service, or end as unknown.
// Sequence: their route bears a value that is not understood.
// Cause: the route was left out. It is kept and refuses what it can't place.
func TestARouteWithADefectRefuses(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{}, selfVM)
	broken := one("a")
	broken.Unserved = true
	s.configure(1, broken, one("b"))
	s.target("t1", "d1", 2)
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"})
	is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
	is.Equal(out.Refusals[0].Reason, verdict.ReasonRouteDefect)
	is.Equal(len(s.step(&Arrive{Request: 2, Host: "h", Path: "/b/x"}).Sends), 1)
}

// learnTime is the longest time until all entry VMs know of a start.
const learnTime = 300 * time.Millisecond

// restart has a target start again under its ID. Each entry VM learns of it at
// a moment of its own; half of the starts are cold. What a cold start gets is
// held to its bound from the moment at which all know of it: before, nobody can
// tell it from the earlier start.
func (s *fleetSim) restart() {
	t := s.anyTarget()
	if t == nil {
		return
	}
	t.Born++
	t.running = 0
	t.Cold, t.cold, t.coldSends = 0, 0, nil
	if s.rng.IntN(2) == 0 {
		t.Cold = 3 * time.Second
		born := t.Born
		s.after(learnTime, func() {
			if t.Born == born {
				t.cold = s.now.Add(t.Cold - learnTime)
			}
		})
	}
	for _, vm := range s.vms {
		s.after(time.Duration(s.rng.Int64N(int64(learnTime))), func() {
			s.step(vm, &TargetsChanged{Set: []Target{t.Target}}) // the latest: copies never go back
		})
	}
}

// Symptom: any of the invariants of the simulated fleet does not hold: a request
// that is not idempotent is sent again although it may have run, is said not to
// have run, or never ends; a place stays taken; repeats exceed their bound.
// Sequence: random requests and outcomes while targets start again under their
// IDs, twice in a row at times, and entry VMs learn of it one after the other.
// Cause: named by the message; the seed repeats it.
func TestRandomRestarts(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newFleetSim(t, 100+seed)
			s.loss = float64(seed%4) / 20
			for i := range 8 {
				d := simDomains[i%len(simDomains)]
				tg := &simTarget{under: make(map[simAttempt]func()), region: simRegions[d], Target: Target{
					ID: fleet.TargetID(fmt.Sprint("t-", i)), Domain: d, Slots: 3, Born: 1,
					Service: fleet.ServiceName(fmt.Sprint("s", 1+i%2)), Addr: "10.0.0.1:1",
				}}
				s.targets[tg.ID] = tg
				s.all(&TargetsChanged{Set: []Target{tg.Target}})
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
						t.Fatalf("%s: %d places of %s are taken at the end", vm.id, tg.inFlight, tg.ID)
					}
				}
			}
			s.checkRepeats()
		})
	}
}

// Symptom: a request has two final answers, or is at two targets at once beyond
// its second send.
// Sequence: its target starts again, and a second one is sought; there is none,
// so the search waits; then an answer of the earlier start comes, a failure.
// Cause: the failure began another search beside the one that waited.
func TestAFailureBeginsNoSecondSearch(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{RepeatRatio: 1, RepeatSlack: 10}, selfVM)
	s.configure(1, one("a"))
	s.start("t1", 1000, 0)
	s.earnRepeat()
	send := s.begin(100, "/a/x", "")
	s.start("t1", 2000, 0)
	is.True(s.r.requests[100].searching())
	out := s.step(&Answered{Attempt: send.Attempt, Outcome: ServerError})
	is.Equal(len(s.r.jobs), 1)
	is.Equal(len(out.Delivers)+len(out.Refusals), 0)
	s.now = s.now.Add(time.Duration(queueShare * float64(defaultAim)))
	is.Equal(len(s.step(&Tick{}).Refusals), 1)
}
