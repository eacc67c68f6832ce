package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// proofHarness has a route a and four targets.
func proofHarness(t *testing.T, idempotent bool) *harness {
	s := newHarness(t, Bounds{RetryRatio: 1, RetrySlack: 20}, selfVM)
	rt := idempotentRoute("a")
	rt.Idempotent = idempotent
	read := idempotentRoute("read")
	s.configure(1, rt, read)
	for _, id := range []fleet.TargetID{"t1", "t2", "t3", "t4"} {
		s.target(id, "d1", 3)
	}
	s.earnRetries()
	return s
}

func unproved(e Send) *Failed {
	return &Failed{Attempt: e.Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonUnproved}
}

// Guards against a request that runs twice, or is refused as not run, since an answer that may
// be nobody's is taken for a rejection.
func TestUnprovedAnswerIsNoProof(t *testing.T) {
	is := is.New(t)
	s := proofHarness(t, false)
	out := s.step(unproved(s.arriveAndSend(100)))
	is.Equal(len(out.Sends), 0)
	is.Equal(out.Refusals[0].Verdict, verdict.MayHaveRun)
	is.Equal(out.Refusals[0].Reason, verdict.ReasonUnproved)
	is.Equal(out.Refusals[0].RetryAfter, time.Duration(0)) // it may not come back
}

// Guards against an idempotent request that is given up after one answer that may be nobody's,
// or whose caller comes back at once to targets that are full.
func TestUnprovedAnswerEndsNoIdempotentRequest(t *testing.T) {
	is := is.New(t)
	s := proofHarness(t, true)
	send := s.arriveAndSend(100)
	tried := map[fleet.TargetID]bool{}
	for range 3 { // the attempts of the route
		is.True(!tried[send.Target])
		is.Equal(send.Unused, len(tried) > 0) // what is answered then is proof
		tried[send.Target] = true
		out := s.step(unproved(send))
		if len(out.Sends) == 0 {
			is.Equal(out.Refusals[0].Verdict, verdict.MayHaveRun)
			is.True(out.Refusals[0].RetryAfter > 0)
			break
		}
		send = out.Sends[0]
	}
	is.Equal(len(tried), 3)
}

// Guards against targets that are taken out of use, although they only have no room.
func TestTargetsOfUnprovedAnswersStayInUse(t *testing.T) {
	is := is.New(t)
	s := proofHarness(t, false)
	for id := RequestID(100); id < 200; id++ {
		for _, e := range s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"}).Sends {
			s.step(unproved(e))
		}
		s.now = s.now.Add(20 * time.Millisecond)
	}
	s.advance(2 * loadReportTTL)
	for _, tg := range s.r.targets {
		is.True(s.r.admits(s.now, tg))
		is.True(!tg.terminated)
	}
}

// Guards against an account whose requests run beyond its quota: one that may have run is given
// back to the quota.
func TestUnprovedAnswerCostsItsQuota(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	account := route.Account{Name: "x", Keys: []route.KeyDigest{keyOf("x")}, Quota: route.Quota{PerSecond: 1, Burst: 3}}
	s.configureAccount(account)
	s.target("t1", "d1", 10)
	s.now = s.now.Add(time.Minute) // the bucket fills
	key := keyOf("x")
	sent := 0
	for id := RequestID(1); id <= 10; id++ {
		for _, e := range s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Key: &key}).Sends {
			sent++
			s.step(unproved(e))
		}
		s.now = s.now.Add(loadReportTTL / 10)
	}
	is.True(sent > 0)
	is.True(sent <= 4)
}

// Guards against a request that may not be repeated and whose rejection proves nothing, where
// targets do not name what they reject; and against connections that are opened for nothing,
// where they do.
func TestRequestsAskForProofWhereRejectionsAreUnnamed(t *testing.T) {
	for name, tc := range map[string]struct {
		rejection  func(e Send) Event // of a request before; nil: none
		after      time.Duration
		path       string
		want       bool // at the target of that request
		wantOthers bool // at other targets
	}{
		"none":                  {nil, 0, "/a/x", false, false},
		"named":                 {func(e Send) Event { return &Answered{Attempt: e.Attempt, Outcome: Refused, Named: true} }, 0, "/a/x", false, false},
		"unnamed":               {func(e Send) Event { return &Answered{Attempt: e.Attempt, Outcome: Refused} }, 0, "/a/x", true, true},
		"unproved":              {func(e Send) Event { return unproved(e) }, 0, "/a/x", true, true},
		"long ago":              {func(e Send) Event { return unproved(e) }, unnamedRejectionMemory, "/a/x", false, false},
		"idempotent":            {func(e Send) Event { return unproved(e) }, 0, "/read/x", true, false},
		"idempotent, long ago":  {func(e Send) Event { return unproved(e) }, rejectionMemory, "/read/x", false, false},
		"idempotent, and named": {func(e Send) Event { return &Answered{Attempt: e.Attempt, Outcome: Refused, Named: true} }, 0, "/read/x", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := proofHarness(t, false)
			rejecting := fleet.TargetID("")
			if tc.rejection != nil {
				e := s.arriveAndSend(100)
				rejecting = e.Target
				is.True(!e.Unused)
				for _, next := range s.step(tc.rejection(e)).Sends {
					s.step(&Answered{Attempt: next.Attempt, Outcome: Served})
				}
			}
			s.advance(tc.after)
			q := &request{route: s.r.table.Match("h", tc.path), svc: s.r.services["svc"]}
			for id, tg := range s.r.targets {
				want := tc.wantOthers
				if id == rejecting {
					want = tc.want
				}
				is.Equal(q.needsUnused(s.now, tg), want)
			}
			if tc.path == "/a/x" {
				is.Equal(s.arriveAndSend(101).Unused, tc.wantOthers)
			}
		})
	}
}

// Guards against requests beyond the rate limit of a target: a limit that the target may not
// have stated replaces a lower one.
func TestDoubtfulLimitIsNotRaised(t *testing.T) {
	for _, tc := range []struct{ known, stated, want float64 }{{10, 1000, 10}, {10, 5, 5}, {0, 20, 20}} {
		is := is.New(t)
		s := proofHarness(t, true)
		if tc.known > 0 {
			s.step(&LimitReceived{Limit: TargetLimit{Target: "t1", PerSecond: tc.known}})
		}
		s.now = s.now.Add(time.Millisecond)
		s.step(&LimitReceived{Limit: TargetLimit{Target: "t1", PerSecond: tc.stated}, Doubtful: true})
		is.Equal(s.r.targets["t1"].limit.perSecond, tc.want)
	}
}
