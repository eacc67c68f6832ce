package ingress

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

const ms = time.Millisecond

// hedgeBounds pay for many second sends.
var hedgeBounds = Bounds{RetryRatio: 1, RetrySlack: 100, ColdFactor: 1, ColdSlack: 2}

// newHedgeHarness returns a VM that allows second sends, with a route whose objective is
// 600 ms, and with targets t1 to tN of four slots.
func newHedgeHarness(t *testing.T, limit float64, targets int, members ...fleet.VMID) *harness {
	s := newHarness(t, hedgeBounds, members...)
	s.r.opts.Hedge = hedge.Policy{Limit: limit}
	rt := idempotentRoute("a")
	rt.Aim, rt.Timeout = 600*ms, 8*time.Second
	s.configure(1, rt)
	for i := range targets {
		s.target(fleet.TargetID(fmt.Sprint("t", i+1)), "d1", 4)
	}
	return s
}

// learnAnswers lets the VM know that most answers take usual and few take slow, and earns
// second sends.
func (s *harness) learnAnswers(usual, slow time.Duration) {
	c := s.r.serviceOf("svc").hedges
	for i := range 200 {
		for class := range hedge.NoObject + 1 {
			c.Observe("a", class, []time.Duration{usual, slow}[i%10/9])
		}
		c.Accepted()
	}
	s.r.services["svc"].retryBudget.tokens = s.r.retryLimit()
}

// hedgeCounts are the counts of second sends.
func (s *harness) hedgeCounts() hedge.Counts { return s.r.Hedges()["svc"] }

// later advances the clock and handles what is due then.
func (s *harness) later(d time.Duration) *Ready {
	s.t.Helper()
	s.now = s.now.Add(d)
	return s.step(&Tick{})
}

// secondSendLoad sends requests to a VM that places them itself, and answers them.
type secondSendLoad struct {
	*harness
	// work is how long a send to a target takes.
	work func(q RequestID, to fleet.TargetID) time.Duration
	// answers are due answers by time. Those of cancelled sends come as well: their
	// cancels are lost.
	answers map[clock.Time][]AttemptID
	arrived map[RequestID]clock.Time
	last    RequestID
	latency []time.Duration
	refused int
}

func newSecondSendLoad(t *testing.T, limit float64, work func(RequestID, fleet.TargetID) time.Duration) *secondSendLoad {
	return &secondSendLoad{harness: newHedgeHarness(t, limit, 5, selfVM), work: work,
		answers: make(map[clock.Time][]AttemptID), arrived: make(map[RequestID]clock.Time)}
}

// handle carries out the effects of a step.
func (l *secondSendLoad) handle(out *Ready) {
	for _, d := range out.Delivers {
		l.latency = append(l.latency, l.now.Sub(l.arrived[d.Request]))
	}
	l.refused += len(out.Refusals)
	for _, e := range slices.Clone(out.Sends) {
		at := l.now.Add(l.work(e.Request, e.Target))
		l.answers[at] = append(l.answers[at], e.Attempt)
	}
}

// run sends a request every 25 ms.
func (l *secondSendLoad) run(d time.Duration) (sent int) {
	before := l.hedgeCounts().Sent
	for end := l.now.Add(d); l.now < end; {
		l.now = l.now.Add(ms)
		for _, id := range l.answers[l.now] {
			l.handle(l.step(&Answered{Attempt: id}))
		}
		delete(l.answers, l.now)
		if l.now%clock.Time(25*ms) == 0 {
			l.last++
			l.arrived[l.last] = l.now
			l.handle(l.step(&Arrive{Request: l.last, Host: "h", Path: "/a/x"}))
		}
		l.handle(l.step(&Tick{}))
	}
	return int(l.hedgeCounts().Sent - before)
}

// late counts the answers after the objective.
func (l *secondSendLoad) late() (n int) {
	for _, d := range l.latency {
		n += count(d > 600*ms)
	}
	return n
}

// Load: one slow target among good ones, another one every second. Guards against slow answers that a second send
// does not cut, and against more second sends than the limit.
func TestOneSlowTargetAmongGoodOnes(t *testing.T) {
	is := is.New(t)
	run := func(limit float64) *secondSendLoad {
		var l *secondSendLoad
		l = newSecondSendLoad(t, limit, func(_ RequestID, to fleet.TargetID) time.Duration {
			if slow := l.now / clock.Time(time.Second) % 5; to == fleet.TargetID(fmt.Sprint("t", slow+1)) {
				return time.Second
			}
			return 100 * ms
		})
		l.run(30 * time.Second)
		return l
	}
	without, with := run(0), run(0.1)
	t.Logf("late answers: %d without, %d with %+v", without.late(), with.late(), with.hedgeCounts())
	is.True(without.late() > 20)
	is.True(with.late() <= without.late()/3)
	is.True(float64(with.hedgeCounts().Sent) <= 0.1*float64(with.last))
}

// Load: all slow. Guards against second sends that take the slots of first ones when
// answers are slow because there is too much work.
func TestAllSlow(t *testing.T) {
	is := is.New(t)
	run := func(limit float64) (served int, l *secondSendLoad) {
		work := 100 * ms
		l = newSecondSendLoad(t, limit, func(RequestID, fleet.TargetID) time.Duration { return work })
		l.run(10 * time.Second)
		work = time.Second // for twice what the slots can do
		before := len(l.latency)
		sent := l.run(20 * time.Second)
		is.True(float64(sent) <= limit*800+5)
		return len(l.latency) - before, l
	}
	without, _ := run(0)
	with, l := run(0.2)
	t.Logf("served: %d without, %d with second sends %+v", without, with, l.hedgeCounts())
	is.True(with >= without*98/100)
}

// Load: work that is slow by itself, wherever it runs. Guards against second sends that go
// on without use, and that do not resume when they are of use.
func TestWorkThatIsSlowByItself(t *testing.T) {
	is := is.New(t)
	byItself := true
	sends := 0
	l := newSecondSendLoad(t, 0.2, func(q RequestID, _ fleet.TargetID) time.Duration {
		sends++
		if (byItself && q%10 == 0) || (!byItself && sends%10 == 0) {
			return 2 * time.Second
		}
		return 100 * ms
	})
	first := l.run(40 * time.Second)
	ceased := l.run(20 * time.Second)
	byItself = false
	l.run(200 * time.Second)
	resumed := l.run(20 * time.Second)
	t.Logf("second sends: %d in 40 s, then %d and %d in 20 s", first, ceased, resumed)
	is.True(first >= 50 && ceased <= first/10 && resumed >= first/2)
}

// secondOf sends request 1000 and returns its first send and its second one.
func (s *harness) secondOf(is *is.I) (first, second Send) {
	out := s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x"})
	is.Equal(len(out.Sends), 1)
	first = out.Sends[0]
	is.Equal(len(s.later(200*ms).Sends), 1)
	return first, s.out.Sends[0]
}

// Load: a late answer after the second, and cancels that are lost. Guards against two
// answers to one request, against slots that stay taken, and against a second send that
// turns a success into a failure.
func TestWhichAnswerCounts(t *testing.T) {
	start := func(t *testing.T) (*is.I, *harness, Send, Send) {
		is := is.New(t)
		s := newHedgeHarness(t, 0.1, 3, selfVM)
		s.learnAnswers(100*ms, time.Second)
		first, second := s.secondOf(is)
		is.True(second.Hedge && !first.Hedge && second.Target != first.Target)
		is.Equal(len(s.later(200*ms).Sends), 0) // no third one
		is.Equal(s.r.Status(s.now).Services["svc"].InFlight, 2)
		return is, s, first, second
	}
	t.Run("a late answer after the second", func(t *testing.T) {
		is, s, first, second := start(t)
		out := s.step(&Answered{Attempt: second.Attempt})
		is.Equal(out.Delivers, []Deliver{{Request: 1000, Attempt: second.Attempt}})
		is.Equal(out.Cancels, []Cancel{{Request: 1000, Attempt: first.Attempt}})
		out = s.step(&Answered{Attempt: first.Attempt})
		is.Equal(len(out.Delivers)+len(out.Cancels)+len(out.Refusals), 0)
		is.Equal(s.hedgeCounts().Won, uint64(1))
	})
	t.Run("cancels that are lost", func(t *testing.T) {
		is, s, first, second := start(t)
		is.Equal(len(s.step(&Answered{Attempt: first.Attempt}).Cancels), 1)
		is.Equal(s.r.Status(s.now).Services["svc"].InFlight, 0) // the target goes on, its place is free
		out := s.step(&Failed{Attempt: second.Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
		is.Equal(len(out.Sends)+len(out.Delivers)+len(out.Refusals), 0)
		is.Equal(s.hedgeCounts().Lost, uint64(1))
	})
	t.Run("a failure of the second", func(t *testing.T) {
		is, s, first, second := start(t)
		out := s.step(&Answered{Attempt: second.Attempt, Outcome: ServerError})
		is.Equal(len(out.Delivers)+len(out.Sends), 0)
		out = s.step(&Answered{Attempt: first.Attempt})
		is.Equal(out.Delivers, []Deliver{{Request: 1000, Attempt: first.Attempt}})
	})
}

// Load: a budget spent by retries. Guards against second sends that take the retries which
// requests need whose targets have failed.
func TestABudgetSpentByRetries(t *testing.T) {
	is := is.New(t)
	s := newHedgeHarness(t, 0.1, 3, selfVM)
	s.learnAnswers(100*ms, time.Second)
	s.r.services["svc"].retryBudget.tokens = s.r.retryLimit() / 2
	s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x"})
	is.Equal(len(s.later(200*ms).Sends), 0)
	is.Equal(s.hedgeCounts().Withheld[hedge.RetryBudget], uint64(1))
	a := s.r.requests[1000].running[0]
	is.Equal(len(s.step(&Failed{Attempt: a.id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}).Sends), 1)
}

// slowGrant returns an entry VM whose coordinator has placed request 1000, with the
// answer slow and a second target asked for.
func slowGrant(t *testing.T, members ...fleet.VMID) (s *harness, ask *HedgeRequest) {
	is := is.New(t)
	s = newHedgeHarness(t, 0.1, 3, members...)
	s.learnAnswers(100*ms, time.Second)
	out := s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x"})
	p := out.Messages[0].Message.(*PlacementRequest)
	s.step(&IncomingMessage{From: out.Messages[0].To, Message: &Grant{ID: p.ID, Target: "t1"}})
	out = s.later(200 * ms)
	is.Equal(len(out.Messages), 1)
	ask = out.Messages[0].Message.(*HedgeRequest)
	is.Equal(ask.First, p.ID)
	is.Equal(ask.Request.Tried, []fleet.TargetID{"t1"})
	return s, ask
}

// Guards against a first send that suffers when there is no second target, when the
// coordinator does not know the message or was lost, or when the grant can't be used.
func TestADeniedSecondSendLeavesTheFirstAlone(t *testing.T) {
	for name, end := range map[string]func(*harness, *HedgeRequest) *Ready{
		"denied": func(s *harness, ask *HedgeRequest) *Ready {
			return s.step(&IncomingMessage{From: otherVM, Message: &Deny{ID: ask.Request.ID, Reason: verdict.ReasonNoTarget}})
		},
		"no answer": func(s *harness, _ *HedgeRequest) *Ready { return s.later(placementTimeout) },
		"unknown target": func(s *harness, ask *HedgeRequest) *Ready {
			return s.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: ask.Request.ID, Target: "t9"}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, ask := slowGrant(t, otherVM)
			budget := s.r.services["svc"].retryBudget.tokens
			out := end(s, ask)
			is.Equal(len(out.Sends)+len(out.Cancels)+len(out.Refusals), 0)
			is.Equal(s.r.services["svc"].retryBudget.tokens, budget+1) // nothing was sent
			is.Equal(len(s.r.silent), 0)
			out = s.step(&Answered{Attempt: s.r.requests[1000].running[0].id})
			is.Equal(len(out.Delivers), 1)
		})
	}
}

// Guards against a retry that waits for a second send's search, whose rules are narrower.
func TestAFailedFirstSendIsRetriedByItsOwnSearch(t *testing.T) {
	is := is.New(t)
	s, ask := slowGrant(t, otherVM)
	a := s.r.requests[1000].running[0]
	out := s.step(&Failed{Attempt: a.id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	withdrawn, asked := false, false
	for _, m := range out.Messages {
		switch x := m.Message.(type) {
		case *Withdraw:
			withdrawn = x.ID == ask.Request.ID
		case *PlacementRequest:
			asked = true
		}
	}
	is.True(withdrawn && asked)
}

// Load: two coordinators. Guards against a second send that is placed by a VM which has
// not placed the first: it does not know which slots are taken.
func TestTwoCoordinators(t *testing.T) {
	is := is.New(t)
	_, ask := slowGrant(t, otherVM)
	other := newHedgeHarness(t, 0.1, 3, selfVM, "entry")
	out := other.step(&IncomingMessage{From: "entry", Message: ask})
	is.Equal(out.Messages[0].Message.(*Deny).ID, ask.Request.ID)
	is.Equal(len(other.r.jobs), 0)

	// The first coordinator is silent, and another VM has taken over.
	s := newHedgeHarness(t, 0.1, 3, otherVM, "third")
	s.learnAnswers(100*ms, time.Second)
	out = s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x"})
	from := out.Messages[0].To
	s.step(&IncomingMessage{From: from, Message: &Grant{ID: out.Messages[0].Message.(*PlacementRequest).ID, Target: "t1"}})
	s.r.markSilent(s.now, from)
	is.Equal(len(s.later(200*ms).Messages), 0)
	is.Equal(s.hedgeCounts().Withheld[hedge.Placement], uint64(1))
}

// Guards against a cold run that is taken for a slow warm one: the receiving VM can't know
// that the object is cold.
func TestAColdGrantIsNotSlowEarly(t *testing.T) {
	is := is.New(t)
	s := newHedgeHarness(t, 0.1, 3, otherVM)
	s.learnAnswers(100*ms, 200*ms)
	for range 400 {
		s.r.services["svc"].hedges.Observe("a", hedge.Cold, 900*ms)
	}
	asks := func(id RequestID, cold bool) int {
		p := s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: "o"}).Messages[0].Message.(*PlacementRequest)
		if cold {
			s.step(&IncomingMessage{From: otherVM, Message: &GrantWork{ID: p.ID, Cold: true}})
		}
		s.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: p.ID, Target: "t1"}})
		n := len(s.later(400 * ms).Messages)
		s.step(&CallerGone{Request: id})
		return n
	}
	is.Equal(asks(1000, true), 0)
	is.Equal(asks(1001, false), 1)
}

// Guards against a second send to a target that is full, cold, beyond a limit, too slow
// or without the object, and against one while few slots are free.
func TestWhereASecondSendIsPlaced(t *testing.T) {
	const within = 10 * time.Second
	for name, tc := range map[string]struct {
		object  string
		within  time.Duration
		prepare func(*harness)
		want    verdict.Reason // none: t2
	}{
		"granted":     {within: within},
		"warm":        {within: within, object: "o", prepare: func(s *harness) { s.warm("o", "t2") }},
		"not warm":    {within: within, object: "o", want: verdict.ReasonNoTarget},
		"too late":    {within: ms, want: verdict.ReasonNoTarget},
		"cold target": {within: within, want: verdict.ReasonNoTarget, prepare: func(s *harness) { s.r.targets["t2"].coldUntil = s.now.Add(time.Second) }},
		"draining":    {within: within, want: verdict.ReasonNoTarget, prepare: func(s *harness) { s.r.targets["t2"].Draining = true; s.r.updateListing(s.now, s.r.targets["t2"]) }},
		"rate limit": {within: within, want: verdict.ReasonNoTarget, prepare: func(s *harness) {
			t := s.r.targets["t2"]
			s.step(&LimitReceived{Limit: TargetLimit{Target: "t2", PerSecond: 1}})
			for range 10 {
				t.sends.add(s.now, sendRetention)
			}
		}},
		"ejected":         {within: within, want: verdict.ReasonNoTarget, prepare: func(s *harness) { s.r.targets["t2"].standing.Eject(s.now, s.r.rng) }},
		"few slots free":  {within: within, want: verdict.ReasonOverload, prepare: func(s *harness) { s.take("t1", 3); s.take("t2", 3) }},
		"no free slot":    {within: within, want: verdict.ReasonNoTarget, prepare: func(s *harness) { s.take("t2", 4) }},
		"without a bound": {within: 0, want: verdict.ReasonNoTarget},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newHedgeHarness(t, 0.1, 2, selfVM, otherVM)
			first := PlacementRequest{ID: 1, Service: "svc", Route: "a", Object: tc.object, TimeLeft: 4 * time.Second, Tried: []fleet.TargetID{"t2"}}
			s.step(&IncomingMessage{From: otherVM, Message: &first}) // to t1
			if tc.prepare != nil {
				tc.prepare(s)
			}
			second := first
			second.ID, second.Tried = 2, []fleet.TargetID{"t1"}
			out := s.step(&IncomingMessage{From: otherVM, Message: &HedgeRequest{First: 1, Within: tc.within, Request: second}})
			is.Equal(len(out.Messages), 1)
			if tc.want != verdict.ReasonNone {
				is.Equal(out.Messages[0].Message.(*Deny).Reason, tc.want)
				is.Equal(s.r.jobs[jobKey{otherVM, 2}], nil)
				return
			}
			is.Equal(out.Messages[0].Message.(*Grant).Target, fleet.TargetID("t2"))
		})
	}
}

// warm marks an object as warm at a target, and take takes slots there.
func (s *harness) warm(object string, at fleet.TargetID) {
	s.r.services["svc"].objects.get(object).markWarm(s.now, s.r.targets[at])
}

func (s *harness) take(at fleet.TargetID, slots int) {
	t := s.r.targets[at]
	t.otherLoad, t.reportedAt = slots, s.now
	s.r.recordLoadReport(s.now, t)
}

// Guards against second sends that repeat what must not be repeated, or large bodies.
func TestNoSecondSend(t *testing.T) {
	is := is.New(t)
	for _, bytes := range []int{0, largeBody + 1} {
		s := newHedgeHarness(t, 0.1, 3, selfVM)
		rt := idempotentRoute("a")
		rt.Idempotent, rt.Aim = bytes > 0, 600*ms
		s.configure(2, rt)
		s.learnAnswers(100*ms, time.Second)
		s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x", Bytes: bytes})
		for range 4 {
			is.Equal(len(s.later(100*ms).Sends), 0)
		}
	}
}

// spendHedges takes the second sends that are saved up.
func (s *harness) spendHedges() {
	for s.r.services["svc"].hedges.Take(s.now, "a") == hedge.None {
	}
}

// Guards against a silent target that is no longer noticed because second sends are
// allowed. The timer for it was lost if the VM was stalled until after it was due.
func TestASilentTargetIsNoticedAfterAStall(t *testing.T) {
	is := is.New(t)
	s := newHedgeHarness(t, 0.1, 3, selfVM)
	s.learnAnswers(100*ms, time.Second)
	s.spendHedges()
	s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x"})
	s.later(2 * time.Second)
	s.advance(10 * ms)
	is.Equal(len(s.r.requests[1000].running), 2)
}

// Guards against a silent target that is no longer noticed after a second send to another
// one: no timer was set for that send.
func TestASilentTargetIsNoticedAfterASecondSend(t *testing.T) {
	is := is.New(t)
	s := newHedgeHarness(t, 0.1, 3, selfVM)
	s.learnAnswers(100*ms, time.Second)
	s.spendHedges()
	s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x"})
	s.advance(minHedgeDelay)
	q := s.r.requests[1000]
	is.Equal(len(q.running), 2)
	s.step(&Failed{Attempt: q.running[0].id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	s.advance(minHedgeDelay)
	is.Equal(q.sends, 3)
}

// Guards against a silent target that is no longer noticed because a search for a second
// target was under way when the check was due.
func TestASilentTargetIsNoticedDuringASearch(t *testing.T) {
	is := is.New(t)
	s := newHedgeHarness(t, 0.1, 3, otherVM)
	s.learnAnswers(460*ms, 7*time.Second)
	p := s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x"}).Messages[0].Message.(*PlacementRequest)
	s.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: p.ID, Target: "t1"}})
	budget := s.r.services["svc"].retryBudget.tokens
	ask := s.later(480 * ms).Messages[0].Message.(*HedgeRequest)
	out := s.later(25 * ms)
	is.Equal(len(out.Messages), 2)
	is.Equal(out.Messages[0].Message, &Withdraw{ID: ask.Request.ID})
	_, asked := out.Messages[1].Message.(*PlacementRequest)
	is.True(asked)
	is.Equal(s.r.services["svc"].retryBudget.tokens, budget-1) // one send is paid for
}

// Guards against a second send that is counted as answered first although its failure was
// delivered, as no other send was left: the route's fraction would be too high.
func TestADeliveredFailureIsNotWon(t *testing.T) {
	is := is.New(t)
	s := newHedgeHarness(t, 0.1, 3, selfVM)
	rt := idempotentRoute("a")
	rt.Aim, rt.Timeout, rt.Attempts = 600*ms, 8*time.Second, 2
	s.configure(2, rt)
	s.learnAnswers(100*ms, time.Second)
	first, second := s.secondOf(is)
	s.step(&Failed{Attempt: first.Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	is.Equal(len(s.step(&Answered{Attempt: second.Attempt, Outcome: ServerError}).Delivers), 1)
	is.Equal(s.hedgeCounts().Lost, uint64(1))
}

// Guards against a silent target that is no longer noticed because a silent gateway had
// caused another send, which has ended.
func TestASilenceCheckOutlivesAnotherSend(t *testing.T) {
	is := is.New(t)
	s := newHedgeHarness(t, 0.1, 3, selfVM)
	s.learnAnswers(100*ms, time.Second)
	s.spendHedges()
	s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x"})
	q := s.r.requests[1000]
	s.later(10 * ms)
	s.r.out = &s.out
	s.r.findTarget(s.now, q) // as gatewayTimedOut does
	s.r.out = nil
	s.advance(200 * ms)
	is.Equal(len(q.running), 2)
	s.step(&Failed{Attempt: q.running[1].id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	s.advance(minHedgeDelay - 210*ms) // until the first send is checked
	is.Equal(len(q.running), 2)
}

// Guards against a second send outside the regions to which its request is bound, and
// against one that takes the tokens which an account keeps for first sends.
func TestASecondSendKeepsHomesAndQuotas(t *testing.T) {
	for name, tc := range map[string]struct {
		regions []fleet.Region
		account route.AccountName
		spent   bool // all tokens but those kept for first sends
		waits   bool // a request of the account waits for a token
		want    verdict.Reason
	}{
		"home":           {regions: []fleet.Region{"r2"}, want: verdict.ReasonNoTarget},
		"own region":     {regions: []fleet.Region{"r1"}},
		"tokens":         {account: "x"},
		"half is taken":  {account: "x", spent: true, want: verdict.ReasonOverQuota},
		"unknown name":   {account: "y", want: verdict.ReasonOverQuota},
		"request waits":  {account: "x", waits: true, want: verdict.ReasonOverQuota},
		"without a name": {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newHedgeHarness(t, 0.1, 2, selfVM, otherVM)
			account := route.Account{Name: "x", Keys: []route.KeyDigest{keyOf("x")}, Quota: route.Quota{PerSecond: 10, Burst: 20}}
			s.configureAccount(account)
			s.now = s.now.Add(time.Minute)
			first := PlacementRequest{ID: 1, Service: "svc", Route: "a", TimeLeft: 4 * time.Second, Tried: []fleet.TargetID{"t2"}}
			s.step(&IncomingMessage{From: otherVM, Message: &first}) // to t1
			x := s.r.accountStateOf(s.now, s.r.table.Account("x"))
			s.now = s.now.Add(10 * time.Second)
			if tc.waits {
				x.waiting.Push(0, &job{state: jobUncharged})
			}
			for kept := 1 + s.r.ownBudget(&account).Depth/2; tc.spent && x.bucket.Tokens(s.now) >= kept; {
				x.bucket.Take(s.now, 1)
			}
			before := x.bucket.Tokens(s.now)
			second := first
			second.ID, second.Tried, second.AllowedRegions = 2, []fleet.TargetID{"t1"}, tc.regions
			m := &HedgeRequest{First: 1, Account: tc.account, Within: 10 * time.Second, Request: second}
			s.out.Reset()
			s.r.out = &s.out
			s.r.handleMessage(s.now, &IncomingMessage{From: otherVM, Message: m})
			s.r.out = nil
			is.Equal(len(s.out.Messages), 1)
			is.True(before >= 1)
			if tc.want != verdict.ReasonNone {
				is.Equal(s.out.Messages[0].Message.(*Deny).Reason, tc.want)
				is.Equal(x.bucket.Tokens(s.now), before)
				return
			}
			is.Equal(s.out.Messages[0].Message.(*Grant).Target, fleet.TargetID("t2"))
			is.Equal(x.bucket.Tokens(s.now), before-float64(count(tc.account != "")))
		})
	}
}

// Guards against a second send beyond the attempts of a route: after a retry, a route with
// two has none left.
func TestASecondSendKeepsToTheAttempts(t *testing.T) {
	is := is.New(t)
	for _, attempts := range []int{1, 2} {
		s := newHedgeHarness(t, 0.1, 3, selfVM)
		rt := idempotentRoute("a")
		rt.Aim, rt.Timeout, rt.Attempts = 600*ms, 8*time.Second, attempts
		s.configure(2, rt)
		s.learnAnswers(100*ms, time.Second)
		s.step(&Arrive{Request: 1000, Host: "h", Path: "/a/x"})
		q := s.r.requests[1000]
		if attempts == 2 {
			s.step(&Failed{Attempt: q.running[0].id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
		}
		s.advance(2 * time.Second)
		is.Equal(q.sends, attempts)
		is.Equal(s.hedgeCounts().Sent, uint64(0))
	}
}
