package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/verdict"
)

// quarantineBench has targets t0 to t9 and knows no other entry VM.
func quarantineBench(t *testing.T) *bench {
	s := newBench(t, Bounds{RepeatRatio: 1, RepeatSlack: 100}, selfVM)
	rt := one("a")
	rt.Timeout = 0
	s.configure(1, rt)
	for n := range 10 {
		s.target(fleet.TargetID("t"+string(rune('0'+n))), "d1", 3)
	}
	s.earnRepeat()
	s.last = 1000
	return s
}

var oneContent = numberedContent(1)

// arrives has a request of oneContent come.
func (s *bench) arrives() *Ready {
	s.last++
	return s.step(&Arrive{Request: s.last, Host: "h", Path: "/a/x", Patience: time.Minute, Fingerprint: oneContent})
}

// loses ends a send with its connection, and tells whether its target listens.
func (s *bench) loses(e Send, found Listening) *Ready {
	s.now = s.now.Add(10 * time.Millisecond)
	out := s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	for _, p := range append([]Probe(nil), out.Probes...) {
		sends := append([]Send(nil), out.Sends...)
		out = s.step(&Probed{Target: p.Target, Born: p.Born, Listening: found})
		out.Sends = append(out.Sends, sends...)
	}
	return out
}

// A reset of connections is taken for the end of their targets.
func TestLostConnectionsAreNoEnds(t *testing.T) {
	for name, found := range map[string]Listening{"it listens": ListeningYes, "no word": ListeningUnknown} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := quarantineBench(t)
			for range 5 {
				for out := s.arrives(); len(out.Sends) > 0; {
					out = s.loses(out.Sends[0], found)
				}
			}
			is.Equal(s.r.quarantine.Ends(s.now, oneContent), 0)
		})
	}
}

// A target that ends without closing its connections is known by its
// registration alone.
func TestARegistrationThatGoesProvesAnEnd(t *testing.T) {
	is := is.New(t)
	s := quarantineBench(t)
	first := s.arrives().Sends[0]
	s.loses(first, ListeningUnknown)
	s.now = s.now.Add(keepLost / 2)
	s.step(&TargetsChanged{Gone: []fleet.TargetID{first.Target}})
	is.Equal(s.r.quarantine.Ends(s.now, oneContent), 1)
}

// A target that leaves ends with what it still has, and no request is the cause.
func TestATargetThatLeavesIsNoEnd(t *testing.T) {
	is := is.New(t)
	s := quarantineBench(t)
	first := s.arrives().Sends[0]
	s.step(&TargetsChanged{Set: []Target{{ID: first.Target, Service: "svc", Domain: "d1", Slots: 3, Draining: true}}})
	s.loses(first, ListeningNo)
	s.step(&TargetsChanged{Gone: []fleet.TargetID{first.Target}})
	is.Equal(s.r.quarantine.Ends(s.now, oneContent), 0)
}

// One attempt of a caller takes as many targets as its route allows.
func TestAnAttemptPutsNoThirdTargetAtRisk(t *testing.T) {
	is := is.New(t)
	s := quarantineBench(t)
	out := s.arrives()
	out = s.loses(out.Sends[0], ListeningNo)
	is.Equal(len(out.Sends), 1)
	out = s.loses(out.Sends[0], ListeningNo)
	is.Equal(len(out.Sends), 0)
	is.Equal(s.r.quarantine.Ends(s.now, oneContent), 2)
}

// Requests that wait for a target are sent to it although their content has come
// into quarantine meanwhile.
func TestWaitingRequestsAreKeptAwayToo(t *testing.T) {
	is := is.New(t)
	s := quarantineBench(t)
	s.step(&MembersChanged{VMs: []fleet.VM{{ID: otherVM, Domain: "d1", Region: "r1"}}})
	out := s.arrives() // the other VM is asked for a target
	is.Equal(len(out.Sends), 0)
	var rec quarantine.Record
	rec.Fingerprint, rec.Since = oneContent, s.now
	for n := range quarantine.MaxEnds {
		at := s.now.Add(time.Duration(n-10) * time.Second)
		rec.Ended = append(rec.Ended, quarantine.End{Start: quarantine.Start{Target: "x", Born: int64(n)}, Sent: at, At: at})
	}
	out = s.step(&Heard{From: otherVM, Message: &rec})
	is.Equal(len(out.Refusals), 1)
	is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
	is.Equal(out.Refusals[0].Reason, verdict.ReasonQuarantined)
}

// Guards against an innocent request that is kept away for minutes because the
// targets of its trials were full or down.
func TestATrialThatHasNotRunIsNone(t *testing.T) {
	is := is.New(t)
	s := quarantineBench(t)
	for s.r.quarantine.Quarantined() == 0 {
		for out := s.arrives(); len(out.Sends) > 0; {
			out = s.loses(out.Sends[0], ListeningNo)
		}
	}
	rec := s.r.quarantine.Find(s.now, oneContent)
	s.now = rec.TrialAt()
	for range 3 {
		out := s.arrives()
		is.Equal(len(out.Sends), 1) // a trial
		for len(out.Sends) > 0 {
			out = s.step(&Failed{Attempt: out.Sends[0].Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
		}
		is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
	}
	out := s.arrives()
	s.step(&Failed{Attempt: out.Sends[0].Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	is.Equal(len(s.arrives().Sends), 0) // that one may have run
}

// What is over stays in the store, and entry VMs that start read it for good.
func TestQuarantinesThatAreOverLeaveTheStore(t *testing.T) {
	is := is.New(t)
	s := quarantineBench(t)
	for s.r.quarantine.Quarantined() == 0 {
		for out := s.arrives(); len(out.Sends) > 0; {
			out = s.loses(out.Sends[0], ListeningNo)
		}
	}
	removed := false
	for range 30 {
		s.now = s.now.Add(time.Hour)
		for _, q := range s.step(&Tick{}).Quarantines {
			removed = removed || q.Remove
		}
	}
	is.True(removed)
	is.Equal(s.r.quarantine.Len(), 0)
}
