package ingress

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

func accountWithKey(name route.AccountName) route.Account {
	return route.Account{Name: name, Keys: []route.KeyDigest{keyOf(name)}}
}

// Guards against requests that run without a valid key, or with the key of one
// account under the name of another.
func TestRequestsNeedTheKeyOfAnAccount(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	disabled := accountWithKey("disabled")
	disabled.Disabled = true
	s.configureAccount(accountWithKey("a"), accountWithKey("b"), disabled)
	s.target("t1", "d1", 10)
	id := RequestID(0)
	arrive := func(key *route.KeyDigest) *Ready {
		id++
		return s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Key: key})
	}
	for name, reason := range map[route.AccountName]verdict.Reason{
		"a": verdict.ReasonNone, "b": verdict.ReasonNone,
		"unknown": verdict.ReasonKeyUnknown, "disabled": verdict.ReasonAccountDefect,
	} {
		key := keyOf(name)
		out := arrive(&key)
		if reason == verdict.ReasonNone {
			is.Equal(out.Sends[0].Account, name)
			is.True(!out.Sends[0].KeepCredentials)
			continue
		}
		is.Equal(len(out.Sends), 0)
		is.Equal(out.Refusals[0].Reason, reason)
		is.Equal(out.Refusals[0].Verdict, verdict.NotRun)
	}
	is.Equal(arrive(nil).Refusals[0].Reason, verdict.ReasonKeyMissing)
}

// A public route needs no key. A key that is presented there must be valid.
func TestPublicRouteNeedsNoKey(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	public := idempotentRoute("p")
	public.Host, public.Public = "h", true
	s.step(&Configured{Table: route.NewTable(&route.Config{
		Version: 1, Routes: []route.Route{public}, Accounts: []route.Account{accountWithKey("a")},
		Services: map[fleet.ServiceName]route.Service{"svc": {Name: "svc"}},
	})})
	s.target("t1", "d1", 10)
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/p/x"})
	is.Equal(out.Sends[0].Account, route.AccountName(""))
	is.True(!out.Sends[0].KeepCredentials)
	known, unknown := keyOf("a"), keyOf("z")
	out = s.step(&Arrive{Request: 2, Host: "h", Path: "/p/x", Key: &known})
	is.Equal(out.Sends[0].Account, route.AccountName("a"))
	out = s.step(&Arrive{Request: 3, Host: "h", Path: "/p/x", Key: &unknown})
	is.Equal(out.Refusals[0].Reason, verdict.ReasonKeyUnknown)
}

// Guards against requests that run with a key that was taken away while they waited
// for a target or for a second send.
func TestRevokedKeyStopsWaitingRequests(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{RetryRatio: 1, RetrySlack: 10}, selfVM)
	s.configureAccount(accountWithKey("a"), accountWithKey("b"))
	s.target("t1", "d1", 1)
	a, b := keyOf("a"), keyOf("b")
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x", Object: "o", Key: &a})
	running := out.Sends[0].Attempt
	for id := RequestID(2); id <= 3; id++ { // the second one waits in the target's queue, the third here
		s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: "other", Key: &a})
	}
	out = s.step(&Arrive{Request: 4, Host: "h", Path: "/a/x", Object: "other", Key: &b})
	is.Equal(len(out.Sends), 0)

	s.configureAccount(accountWithKey("b"))
	for _, f := range s.out.Refusals {
		is.Equal(f.Reason, verdict.ReasonKeyUnknown)
		is.Equal(f.RetryAfter, time.Duration(0))
	}
	is.True(len(s.out.Refusals) > 0)
	is.True(s.r.requests[4] != nil) // its key is valid
	out = s.step(&Failed{Attempt: running, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
	for _, e := range out.Sends {
		is.Equal(e.Account, route.AccountName("b"))
	}
	is.True(s.r.requests[1] == nil)
}

// Guards against a request that runs in a region that only its route or only its
// account allows, and against one that waits although no region allows it.
func TestHomesOfRouteAndAccountBothBind(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	rt := idempotentRoute("a")
	rt.Host, rt.Homes = "h", []fleet.Region{"r2", "r3"}
	far, none := accountWithKey("far"), accountWithKey("none")
	far.Homes, none.Homes = []fleet.Region{"r1", "r2"}, []fleet.Region{"r1"}
	s.step(&Configured{Table: route.NewTable(&route.Config{
		Version: 1, Routes: []route.Route{rt}, Accounts: []route.Account{far, none},
		Services: map[fleet.ServiceName]route.Service{"svc": {Name: "svc"}},
	})})
	s.target("near", "d1", 10)
	s.target("far", "far", 10)
	key := keyOf("far")
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x", Key: &key})
	is.Equal(out.Sends[0].Target, fleet.TargetID("far"))
	key = keyOf("none")
	out = s.step(&Arrive{Request: 2, Host: "h", Path: "/a/x", Key: &key})
	is.Equal(out.Refusals[0].Reason, verdict.ReasonNoCommonRegion)
}

// The priority of an account takes precedence over that of the route.
func TestPriorityOfTheAccount(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, otherVM)
	urgent := accountWithKey("urgent")
	urgent.Priority, urgent.HasPriority = 7, true
	s.configureAccount(urgent, accountWithKey("plain"))
	for name, priority := range map[route.AccountName]int{"urgent": 7, "plain": 0} {
		key := keyOf(name)
		out := s.step(&Arrive{Request: RequestID(priority + 1), Host: "h", Path: "/a/x", Key: &key})
		is.Equal(out.Messages[0].Message.(*PlacementRequest).Priority, priority)
		is.Equal(out.Messages[0].Message.(*PlacementRequest).Account, name)
	}
}

// Without accounts, credentials are the business of targets.
func TestCredentialsPassWithoutAccounts(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 10)
	key := keyOf("x")
	out := s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x", Key: &key})
	is.True(out.Sends[0].KeepCredentials)
}

// Guards against a key that is accepted long after it was taken away, by a VM that knows that
// it has not read the latest changes.
func TestKeysAreNotAcceptedWhileChangesAreUnread(t *testing.T) {
	is := is.New(t)
	const revoke = 5 * time.Second
	s := newHarness(t, Bounds{RevokeTime: revoke}, selfVM)
	s.configureAccount(accountWithKey("a"))
	s.target("t1", "d1", 10)
	key, id := keyOf("a"), RequestID(0)
	refused := func() bool {
		id++
		out := s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Key: &key})
		i := slices.IndexFunc(out.Refusals, func(f Refusal) bool { return f.Request == id })
		if i < 0 {
			return false
		}
		is.Equal(out.Refusals[i].Reason, verdict.ReasonNotReady)
		is.Equal(out.Refusals[i].Verdict, verdict.NotRun)
		is.True(out.Refusals[i].RetryAfter > 0)
		return true
	}
	is.True(!refused())
	s.step(&Behind{Since: s.now})
	s.now = s.now.Add(revoke)
	is.True(!refused())
	s.now = s.now.Add(time.Millisecond)
	is.True(refused())
	s.step(&Behind{})
	is.True(!refused())
}
