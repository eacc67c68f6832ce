package ingress

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/verdict"
)

// quarantineHarness has targets t0 to t9 and no other entry VM.
func quarantineHarness(t *testing.T) *harness {
	s := newHarness(t, Bounds{RetryRatio: 1, RetrySlack: 100}, selfVM)
	rt := idempotentRoute("a")
	rt.Timeout = 0
	s.configure(1, rt)
	for n := range 10 {
		s.target(fleet.TargetID("t"+string(rune('0'+n))), "d1", 3)
	}
	s.earnRetries()
	s.last = 1000
	return s
}

var oneContent = numberedContent(1)

// arriveContent passes in a request with oneContent.
func (s *harness) arriveContent() *Ready {
	s.last++
	return s.step(&Arrive{Request: s.last, Host: "h", Path: "/a/x", Timeout: time.Minute, Fingerprint: oneContent})
}

// loseConnection fails a send with its connection, and answers the probe of its
// target. Another target can be connected to.
func (s *harness) loseConnection(e Send, found Listening) *Ready {
	s.now = s.now.Add(10 * time.Millisecond)
	out := s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	probes, links, sends := slices.Clone(out.Probes), slices.Clone(out.LinkProbes), slices.Clone(out.Sends)
	for _, p := range probes {
		out = s.step(&Probed{Target: p.Target, StartedAt: p.StartedAt, Listening: found})
		sends = append(sends, out.Sends...)
	}
	for _, p := range links {
		out = s.step(&LinkProbed{Target: p.Target, Listening: ListeningYes})
		sends = append(sends, out.Sends...)
	}
	out.Sends = sends
	return out
}

// Guards against counting reset connections as crashes of their targets.
func TestLostConnectionsAreNotCrashes(t *testing.T) {
	for name, found := range map[string]Listening{"it listens": ListeningYes, "no response": ListeningUnknown} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := quarantineHarness(t)
			for range 5 {
				for out := s.arriveContent(); len(out.Sends) > 0; {
					out = s.loseConnection(out.Sends[0], found)
				}
			}
			is.Equal(s.r.quarantine.Ends(s.now, oneContent), 0)
		})
	}
}

// A target that crashes without closing its connections is detected by its removed
// registration only.
func TestARemovedRegistrationProvesACrash(t *testing.T) {
	is := is.New(t)
	s := quarantineHarness(t)
	first := s.arriveContent().Sends[0]
	s.loseConnection(first, ListeningUnknown)
	s.now = s.now.Add(lostRequestTTL / 2)
	s.step(&TargetsChanged{Removed: []fleet.TargetID{first.Target}})
	is.Equal(s.r.quarantine.Ends(s.now, oneContent), 1)
}

// A leaving target terminates with its remaining requests, none of which is the
// cause.
func TestALeavingTargetIsNotACrash(t *testing.T) {
	is := is.New(t)
	s := quarantineHarness(t)
	first := s.arriveContent().Sends[0]
	s.step(&TargetsChanged{Updated: []Target{{ID: first.Target, Service: "svc", Domain: "d1", Slots: 3, Draining: true}}})
	s.loseConnection(first, ListeningNo)
	s.step(&TargetsChanged{Removed: []fleet.TargetID{first.Target}})
	is.Equal(s.r.quarantine.Ends(s.now, oneContent), 0)
}

// Guards against a single request of a caller that crashes as many targets as its
// route allows attempts.
func TestAnAttemptPutsNoThirdTargetAtRisk(t *testing.T) {
	is := is.New(t)
	s := quarantineHarness(t)
	out := s.arriveContent()
	out = s.loseConnection(out.Sends[0], ListeningNo)
	is.Equal(len(out.Sends), 1)
	out = s.loseConnection(out.Sends[0], ListeningNo)
	is.Equal(len(out.Sends), 0)
	is.Equal(s.r.quarantine.Ends(s.now, oneContent), 2)
}

// Guards against sending requests that were waiting for a target when their
// content came into quarantine.
func TestWaitingRequestsAreQuarantined(t *testing.T) {
	is := is.New(t)
	s := quarantineHarness(t)
	s.step(&MembersChanged{VMs: []fleet.VM{{ID: otherVM, Domain: "d1", Region: "r1"}}})
	out := s.arriveContent() // the other VM is asked for a target
	is.Equal(len(out.Sends), 0)
	var rec quarantine.Record
	rec.Fingerprint, rec.Since = oneContent, s.now
	for n := range quarantine.QuarantineThreshold {
		at := s.now.Add(time.Duration(n-10) * time.Second)
		rec.Ended = append(rec.Ended, quarantine.End{Start: quarantine.Start{Target: "x", Born: int64(n)}, Sent: at, At: at})
	}
	out = s.step(&IncomingMessage{From: otherVM, Message: &rec})
	is.Equal(len(out.Refusals), 1)
	is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
	is.Equal(out.Refusals[0].Reason, verdict.ReasonQuarantined)
}

// Guards against a harmless request that is refused for minutes because the
// targets of its trials were full or down.
func TestATrialThatHasNotRunIsNotCounted(t *testing.T) {
	is := is.New(t)
	s := quarantineHarness(t)
	for s.r.quarantine.QuarantinedCount() == 0 {
		for out := s.arriveContent(); len(out.Sends) > 0; {
			out = s.loseConnection(out.Sends[0], ListeningNo)
		}
	}
	rec := s.r.quarantine.Find(s.now, oneContent)
	s.now = rec.TrialAt()
	for range 3 {
		out := s.arriveContent()
		is.Equal(len(out.Sends), 1) // a trial
		for len(out.Sends) > 0 {
			out = s.step(&Failed{Attempt: out.Sends[0].Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
		}
		is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
	}
	out := s.arriveContent()
	s.step(&Failed{Attempt: out.Sends[0].Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	is.Equal(len(s.arriveContent().Sends), 0) // that one may have run
}

// Guards against expired quarantines that stay in the store and are read by every
// newly started entry VM.
func TestExpiredQuarantinesAreRemovedFromTheStore(t *testing.T) {
	is := is.New(t)
	s := quarantineHarness(t)
	for s.r.quarantine.QuarantinedCount() == 0 {
		for out := s.arriveContent(); len(out.Sends) > 0; {
			out = s.loseConnection(out.Sends[0], ListeningNo)
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

// Guards against quarantines that the store has lost and nobody writes again, and against
// one that was lifted and is back in the store.
func TestLostQuarantinesAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	s := quarantineHarness(t)
	for s.r.quarantine.QuarantinedCount() == 0 {
		for out := s.arriveContent(); len(out.Sends) > 0; {
			out = s.loseConnection(out.Sends[0], ListeningNo)
		}
	}
	lifted := numberedContent(2)
	out := s.step(&QuarantinesLost{Fingerprints: []quarantine.Fingerprint{oneContent, lifted}})
	is.Equal(len(out.Quarantines), 2)
	is.True(out.Quarantines[0].Keep)
	is.True(out.Quarantines[1].Remove)
	others := make([]fleet.VM, arbiterCount)
	for i := range others {
		others[i] = fleet.VM{ID: fleet.VMID(rune('a' + i)), Domain: "d1", Region: "r1", Cores: 100}
	}
	s.step(&MembersChanged{VMs: append(others, fleet.VM{ID: selfVM, Domain: "d1", Region: "r1"})})
	is.Equal(len(s.step(&QuarantinesLost{Fingerprints: []quarantine.Fingerprint{oneContent}}).Quarantines), 0) // others are its arbiters
}

// Guards against counting a crash that is proved only after the content was answered
// elsewhere.
func TestAnswerBeforeTheProofClearsACrash(t *testing.T) {
	is := is.New(t)
	s := quarantineHarness(t)
	first := s.arriveContent().Sends[0]
	out := s.loseConnection(first, ListeningUnknown)
	is.Equal(len(out.Sends), 1)
	s.now = s.now.Add(time.Second)
	s.step(&Answered{Attempt: out.Sends[0].Attempt, Outcome: Served})
	s.now = s.now.Add(time.Second)
	s.step(&TargetsChanged{Removed: []fleet.TargetID{first.Target}})
	is.Equal(s.r.quarantine.Ends(s.now, oneContent), 0)
}

// Guards against a harmless content that is quarantined because the VMs that have
// answered it did not know of the crashes.
func TestAnswersClearCrashesReportedByOtherVMs(t *testing.T) {
	is := is.New(t)
	s := quarantineHarness(t)
	rec := quarantine.Record{Fingerprint: oneContent, Since: s.now}
	for n := range quarantine.SuspectThreshold {
		at := s.now.Add(time.Duration(n) * time.Millisecond)
		rec.Ended = append(rec.Ended, quarantine.End{Start: quarantine.Start{Target: "x", Born: int64(n)}, Sent: at, At: at})
	}
	s.now = s.now.Add(time.Second)
	s.step(&Answered{Attempt: s.arriveContent().Sends[0].Attempt, Outcome: Served})
	arbiters := make([]fleet.VM, arbiterCount)
	for i := range arbiters {
		arbiters[i] = fleet.VM{ID: fleet.VMID(rune('a' + i)), Domain: "d1", Region: "r1", Cores: 100}
	}
	weak := []fleet.VM{{ID: selfVM, Domain: "d1", Region: "r1"}, {ID: "weak", Domain: "d1", Region: "r1"}}
	s.step(&MembersChanged{VMs: append(slices.Clone(arbiters), weak...)})
	is.True(!s.r.isArbiter(oneContent))
	told := make(map[fleet.VMID]bool)
	for _, msg := range s.step(&IncomingMessage{From: "weak", Message: &rec}).Messages {
		if m, ok := msg.Message.(*quarantine.Record); ok {
			is.Equal(m.Ends(), 0)
			told[msg.To] = true
		}
	}
	is.Equal(told, map[fleet.VMID]bool{arbiters[0].ID: true, arbiters[1].ID: true})
	is.Equal(s.r.quarantine.Ends(s.now, oneContent), 0)
}
