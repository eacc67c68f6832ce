package shift

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// planNow is the instant at which planInput is planned, one hour after its
// shift stepped to 1000.
var planNow = at(2 * time.Hour)

// planInput returns the input of a shift that would take a whole step.
func planInput() Input {
	span := Span{Since: planNow.Add(-4 * time.Second), Until: planNow.Add(-2 * time.Second)}
	load := func(r fleet.Region) Load {
		return Load{Region: r, Service: worldService, Span: span, Capacity: 40, InFlight: 20, Requests: 1000, P99: time.Second}
	}
	count := Count{Shift: "drain", Service: worldService, Span: span, Total: 100000, Moved: 10000, Busy: 40 * time.Second}
	for i := range count.ByPosition {
		count.ByPosition[i] = count.Total / Positions
	}
	return Input{
		Now: planNow,
		Shift: catalogue.Shift{
			ID: "drain", From: "attiki", To: "kriti", State: catalogue.Running, Share: 1000,
			Limits: catalogue.Limits{MaxShare: 5000},
		},
		Services: []fleet.ServiceName{worldService},
		Progress: Progress{SteppedAt: at(time.Hour)},
		Evidence: &Evidence{Loads: []Load{load("attiki"), load("kriti")}, Counts: []Count{count}},
	}
}

func senderLoad(in *Input) *Load   { return &in.Evidence.Loads[0] }
func receiverLoad(in *Input) *Load { return &in.Evidence.Loads[1] }
func countOf(in *Input) *Count     { return &in.Evidence.Counts[0] }

// lastingErrors makes the receiver's errors exceed their bound for a minute.
func lastingErrors(in *Input) {
	receiverLoad(in).ErrorShare = 200
	in.Progress.BreachSince, in.Progress.BreachUntil = planNow.Add(-time.Minute), planNow
}

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Input)
		action Action
		share  catalogue.Share
		code   Code
	}{
		{"whole step", func(in *Input) {}, Advance, 1500, None},
		{"cap closer than a step", func(in *Input) {
			in.Shift.Limits.MaxShare = 1200
			countOf(in).Total = 0
			countOf(in).ByPosition = [Positions]uint64{}
			countOf(in).Moved = 0
		}, Advance, 1200, None},
		{"cap reached", func(in *Input) { in.Shift.Share = 5000 }, Finish, 5000, None},
		{"draft", func(in *Input) { in.Shift.State = catalogue.Draft }, Hold, 1000, NotRunning},
		{"paused", func(in *Input) { in.Shift.State = catalogue.Paused }, Hold, 1000, NotRunning},
		{"cut off", func(in *Input) { in.CutOff = true }, Hold, 1000, PlatformCutOff},
		{"before window", func(in *Input) { in.Shift.Limits.Window.Start = planNow.Wall().Add(1) }, Hold, 1000, OutsideWindow},
		{"after window", func(in *Input) { in.Shift.Limits.Window.End = planNow.Wall() }, Hold, 1000, OutsideWindow},
		{"no services", func(in *Input) { in.Services = nil }, Hold, 1000, NoServices},
		{"sender dead", func(in *Input) { senderLoad(in).State = fleet.Dead }, Hold, 1000, SenderNotLive},
		{"receiver being drained", func(in *Input) {
			in.Others = []catalogue.Shift{{ID: "other", From: "kriti", To: "makedonia"}}
		}, Hold, 1000, ReceiverEmptying},
		{"receiver drained of another service", func(in *Input) {
			in.Others = []catalogue.Shift{{ID: "other", From: "kriti", Service: "permit-file"}}
			in.Shift.Service = worldService
		}, Advance, 1500, None},
		{"interval by this process's clock", func(in *Input) { in.Progress.SteppedAt = planNow.Add(-29 * time.Second) }, Hold, 1000, WaitingInterval},
		{"interval by the catalogue", func(in *Input) { in.Shift.SteppedAt = int64(planNow.Add(-29 * time.Second)) }, Hold, 1000, WaitingInterval},
		{"figures from before the step", func(in *Input) {
			in.Shift.Limits.Interval = 1
			in.Progress.SteppedAt = receiverLoad(in).Since.Add(-DefaultSettle + 1)
		}, Hold, 1000, AwaitingProof},
		{"figures begin when the step is in effect", func(in *Input) {
			in.Shift.Limits.Interval = 1
			in.Progress.SteppedAt = receiverLoad(in).Since.Add(-DefaultSettle)
		}, Advance, 1500, None},
		{"figures from before callers' old answers expired", func(in *Input) {
			in.Shift.Limits.Interval = 1
			in.Progress.SteppedAt = receiverLoad(in).Since.Add(-DefaultSettle)
			in.Progress.StartedAt = receiverLoad(in).Since.Add(-DefaultSettleSteady + 1)
		}, Hold, 1000, AwaitingProof},
		{"count from before the step", func(in *Input) {
			in.Shift.Limits.Interval = 1
			in.Progress.SteppedAt = receiverLoad(in).Since.Add(-DefaultSettle)
			countOf(in).Since--
		}, Hold, 1000, AwaitingProof},
		{"count from before the step, cap of 100%", func(in *Input) {
			in.Shift.Limits.Interval = 1
			in.Shift.Limits.MaxShare = catalogue.ShareUnit
			in.Progress.SteppedAt = receiverLoad(in).Since.Add(-DefaultSettle)
			countOf(in).Since--
		}, Advance, 1500, None},
		{"old load", func(in *Input) {
			receiverLoad(in).Until = planNow.Add(-DefaultMaxAge - 1)
			receiverLoad(in).Since = at(0)
		}, Hold, 1000, StaleMeasurement},
		{"old count", func(in *Input) { countOf(in).Until = planNow.Add(-DefaultMaxAge - 1); countOf(in).Since = at(0) }, Hold, 1000, StaleMeasurement},
		{"load from the future", func(in *Input) { receiverLoad(in).Until = planNow.Add(1) }, Hold, 1000, StaleMeasurement},
		{"no load", func(in *Input) { in.Evidence.Loads = in.Evidence.Loads[:1] }, Hold, 1000, StaleMeasurement},
		{"no count", func(in *Input) { in.Evidence.Counts = nil }, Hold, 1000, StaleMeasurement},
		{"load lacks reports", func(in *Input) { receiverLoad(in).Missing = 1 }, Hold, 1000, StaleMeasurement},
		{"in flight not a number", func(in *Input) { receiverLoad(in).InFlight = math.NaN() }, Hold, 1000, StaleMeasurement},
		{"infinite capacity", func(in *Input) { receiverLoad(in).Capacity = math.Inf(1) }, Hold, 1000, StaleMeasurement},
		{"inconsistent count", func(in *Input) { countOf(in).Total++ }, Hold, 1000, StaleMeasurement},
		{"cold cache", func(in *Input) { receiverLoad(in).Warming = true }, Hold, 1000, ColdCache},
		{"p99 over the bound", func(in *Input) { receiverLoad(in).P99 = 2*time.Second + 1 }, Hold, 1000, Latency},
		{"errors over the bound", func(in *Input) { receiverLoad(in).ErrorShare = 101 }, Hold, 1000, Errors},
		{"errors of few requests", func(in *Input) { receiverLoad(in).ErrorShare = 101; receiverLoad(in).Requests = 49 }, Advance, 1500, None},
		{"part of a step", func(in *Input) { receiverLoad(in).InFlight = 31 }, Advance, 1200, NoHeadroom},
		{"no headroom", func(in *Input) { receiverLoad(in).InFlight = 31.9 }, Hold, 1000, NoHeadroom},
		{"headroom reserved", func(in *Input) {
			in.Reserved = []Reservation{{Shift: "other", Region: "kriti", Service: worldService, Slots: 12}}
		}, Hold, 1000, SharedHeadroom},
		{"unknown load reserved", func(in *Input) {
			in.Reserved = []Reservation{{Shift: "other", Region: "kriti", Service: worldService, Slots: math.Inf(1)}}
		}, Hold, 1000, SharedHeadroom},
		{"busy block within the next step", func(in *Input) {
			countOf(in).Total += 300000
			countOf(in).ByPosition[12] += 300000
		}, Advance, 1200, CountedShare},
		{"share over the cap", func(in *Input) { in.Shift.Limits.MaxShare = 500 }, Recede, 500, CountedShare},
		{"count over the cap", func(in *Input) {
			countOf(in).Total += 300000
			countOf(in).ByPosition[7] += 300000
			countOf(in).Moved += 300000
		}, Recede, 700, CountedShare},
		{"count over the cap, paused", func(in *Input) {
			in.Shift.State = catalogue.Paused
			countOf(in).Total += 300000
			countOf(in).ByPosition[7] += 300000
			countOf(in).Moved += 300000
		}, Recede, 700, CountedShare},
		{"receiver dead", func(in *Input) { receiverLoad(in).State = fleet.Dead }, Recede, 0, ReceiverNotLive},
		{"receiver without targets", func(in *Input) { receiverLoad(in).Capacity = 0 }, Recede, 0, ReceiverNotLive},
		{"receiver dead, nothing moved", func(in *Input) { receiverLoad(in).State = fleet.Dead; in.Shift.Share = 0 }, Hold, 0, ReceiverNotLive},
		{"receiver dead, sender nearly full", func(in *Input) { receiverLoad(in).State = fleet.Dead; senderLoad(in).InFlight = 30 }, Recede, 500, ReceiverNotLive},
		{"receiver dead, sender full", func(in *Input) { receiverLoad(in).State = fleet.Dead; senderLoad(in).InFlight = 32 }, Hold, 1000, NoHeadroom},
		{"receiver dead, sender leaving", func(in *Input) { receiverLoad(in).State = fleet.Dead; senderLoad(in).State = fleet.Leaving }, Hold, 1000, SenderNotLive},
		{"receiver dead, more than BackSteps to move back", func(in *Input) { receiverLoad(in).State = fleet.Dead; in.Shift.Limits.Step = 100 }, Recede, 600, ReceiverNotLive},
		{"receiver dead, last step back not in the figures", func(in *Input) {
			receiverLoad(in).State = fleet.Dead
			in.Progress = Progress{SteppedAt: planNow.Add(-10 * time.Second), LastStepDown: true}
		}, Hold, 1000, AwaitingProof},
		{"receiver dead, last step forward not in the figures", func(in *Input) {
			receiverLoad(in).State = fleet.Dead
			in.Progress = Progress{SteppedAt: planNow.Add(-10 * time.Second)}
		}, Recede, 0, ReceiverNotLive},
		{"lasting errors", lastingErrors, RollBack, 0, RollingBack},
		{"lasting errors, sender full", func(in *Input) { lastingErrors(in); senderLoad(in).InFlight = 32 }, Hold, 1000, RollingBack},
		{"errors have ceased while rolling back", func(in *Input) { in.Shift.Hold = "rolling-back: errors" }, RollBack, 0, RollingBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			in := planInput()
			c.change(&in)
			d := Plan(Options{}, in)
			is.Equal(d.Action, c.action)
			is.Equal(d.Share, c.share)
			is.Equal(d.Reason.Code, c.code)
			is.Equal(ParseCode(d.Reason.String()), c.code)
			is.Equal(len(CheckInvariants(Options{}, in, d)), 0)
		})
	}
}

// TestCheckInvariantsFindsEachViolation checks that each rule of
// CheckInvariants finds a decision that breaks it. The randomised tests rely on
// CheckInvariants and could not fail otherwise.
func TestCheckInvariantsFindsEachViolation(t *testing.T) {
	rise := Decision{Action: Advance, Share: 1500}
	for _, c := range []struct {
		rule   Rule
		d      Decision
		change func(*Input)
	}{
		{RuleCap, rise, func(in *Input) { in.Shift.Limits.MaxShare = 1400 }},
		{RuleStep, Decision{Action: Advance, Share: 1501}, func(in *Input) {}},
		{RuleStep, Decision{Action: Hold, Share: 900}, func(in *Input) {}},
		{RuleInterval, rise, func(in *Input) { in.Progress.SteppedAt = planNow.Add(-29 * time.Second) }},
		{RuleWindow, rise, func(in *Input) { in.Shift.Limits.Window.End = planNow.Wall() }},
		{RuleCutOff, rise, func(in *Input) { in.CutOff = true }},
		{RuleState, rise, func(in *Input) { in.Shift.State = catalogue.Paused }},
		{RuleProof, rise, func(in *Input) { receiverLoad(in).Until = planNow.Add(-7 * time.Second) }},
		{RuleProof, rise, func(in *Input) { receiverLoad(in).Missing = 1 }},
		{RuleProof, rise, func(in *Input) {
			in.Progress.SteppedAt = planNow.Add(-31 * time.Second)
			countOf(in).Since = planNow.Add(-22 * time.Second)
		}},
		{RuleProof, rise, func(in *Input) { in.Progress.StartedAt = planNow.Add(-28 * time.Second) }},
		{RuleProof, rise, func(in *Input) { in.Evidence.Counts = nil }},
		{RuleHeadroom, rise, func(in *Input) { receiverLoad(in).InFlight = 31.5 }},
		{RuleCount, rise, func(in *Input) { countOf(in).Total += 300000; countOf(in).ByPosition[12] += 300000 }},
	} {
		t.Run(string(c.rule), func(t *testing.T) {
			is := is.New(t)
			in := planInput()
			c.change(&in)
			broken := CheckInvariants(Options{}, in, c.d)
			is.Equal(len(broken) > 0, true)
			is.Equal(broken[0].Rule, c.rule)
		})
	}
}

// newPlanRunner returns a Runner without the lease that has planInput's
// evidence and shift, first seen at now, with the given share.
func newPlanRunner(now clock.Time, share catalogue.Share) *Runner {
	in := planInput()
	s := in.Shift
	s.Share, s.Revision, s.Service = share, 5, worldService
	c := &catalogue.Catalogue{Revision: 5, Services: []catalogue.Service{{Name: worldService}}, Shifts: []catalogue.Shift{s}}
	r := NewRunner(Options{})
	r.Step(now, Platform{Reachable: true}, nil)
	r.Step(now, Configured{Catalogue: c}, nil)
	r.Step(now, Measured{Evidence: *in.Evidence}, nil)
	return r
}

func writes(effects []Effect) (out []Write) {
	for _, e := range effects {
		if w, ok := e.(Write); ok {
			out = append(out, w)
		}
	}
	return out
}

// TestTakeoverWaitsWholeInterval guards against two steps within one interval
// when a runner ends just after a step and a newly started process takes over.
// The new process can't know when the step was taken and must assume that it
// was taken now.
func TestTakeoverWaitsWholeInterval(t *testing.T) {
	is := is.New(t)
	r := newPlanRunner(planNow, 1000)
	is.Equal(len(writes(r.Step(planNow, Lease{Held: true, Until: clock.Never}, nil))), 0)
	is.Equal(r.Status(nil)[0].Decision.Reason.Code, WaitingInterval)
	held := r.reservations()
	is.Equal(len(held), 1) // the figures may not include the step yet
	is.Equal(held[0].Region, fleet.Region("kriti"))
	is.Equal(held[0].Slots, 2.0)                // a step of 5% of 20 slots, cold
	is.True(r.entries[0].progress.LastStepDown) // the direction of the step is not known
}

// TestOlderCatalogueIsIgnored guards against a shift returning to an earlier
// share when the platform's service comes back with older data: the runner must
// not put an older revision in force.
func TestOlderCatalogueIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newPlanRunner(planNow, 1000)
	r.Step(planNow, Configured{Catalogue: &catalogue.Catalogue{Revision: 4}}, nil)
	is.Equal(len(r.Status(nil)), 1)
}

// TestFailedWriteIsRetriedAfterDelay guards against hundreds of writes a second
// when a write that failed without effect is repeated without a wait.
func TestFailedWriteIsRetriedAfterDelay(t *testing.T) {
	is := is.New(t)
	r := newPlanRunner(planNow, 0)
	w := writes(r.Step(planNow, Lease{Held: true, Until: clock.Never}, nil))
	is.Equal(len(w), 1)
	is.Equal(w[0].Share, catalogue.DefaultStep)
	failed := WriteResult{ID: w[0].ID, Verdict: verdict.NotRun}
	is.Equal(len(writes(r.Step(planNow, failed, nil))), 0)
	again := writes(r.Step(planNow.Add(DefaultRetryAfter), Tick{}, nil))
	is.Equal(len(again), 1)
	is.Equal(again[0].Expect, w[0].Expect)
}
