package shift

import (
	"sort"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Action is what a Decision does.
type Action uint8

// The actions.
const (
	Hold     Action = iota // leave the share
	Advance                // raise the share
	Recede                 // lower the share and go on
	RollBack               // lower the share; at 0 the shift is rolled back
	Finish                 // the cap is reached and proven
)

var actionNames = [...]string{
	Hold:     "hold",
	Advance:  "advance",
	Recede:   "recede",
	RollBack: "roll-back",
	Finish:   "finish",
}

// String returns the lower-case name, such as "advance".
func (a Action) String() string { return actionNames[a] }

// Decision is the outcome of a plan. Reason says why the shift does not go
// further than Share; it is empty for a whole step and for Finish.
type Decision struct {
	Action Action
	Share  catalogue.Share
	Reason Reason
}

// State returns the state that the decision brings the shift to, or empty if it
// stays in the one it is in.
func (d Decision) State() catalogue.ShiftState {
	switch {
	case d.Action == Finish:
		return catalogue.Done
	case d.Action == RollBack && d.Share == 0:
		return catalogue.RolledBack
	default:
		return ""
	}
}

// Input is all that a plan for one shift rests on.
type Input struct {
	Now      clock.Time
	Shift    catalogue.Shift
	Services []fleet.ServiceName // those that the shift moves
	Progress Progress
	Evidence *Evidence
	Others   []catalogue.Shift // all other moving shifts
	Reserved []Reservation     // headroom that their steps hold
	CutOff   bool              // the platform can't be reached
}

// Progress is what the planning process itself has seen of a shift. It is lost
// with the process; a new one takes the present share as just reached.
type Progress struct {
	// SteppedAt is when the present share was first seen in force; 0 if the
	// shift has not moved anything yet.
	SteppedAt clock.Time
	// StartedAt is when the shift was first seen running, after another state.
	StartedAt clock.Time
	// LastStepDown says that the last change lowered the share, or is not known.
	LastStepDown bool
	// BreachSince and BreachUntil bound the unbroken run of fresh windows
	// with errors over the bound; both 0 if there is none.
	BreachSince, BreachUntil clock.Time
}

// plan is one evaluation of Plan.
type plan struct {
	Input
	opts   Options
	limits catalogue.Limits
	flows  []flow
}

// Plan decides what one shift does next. The same input always gives the same
// decision.
func Plan(o Options, in Input) Decision {
	return newPlan(o, in).decide()
}

func newPlan(o Options, in Input) *plan {
	o = o.withDefaults()
	return &plan{
		Input:  in,
		opts:   o,
		limits: in.Shift.Limits.WithDefaults(),
		flows:  flowsOf(o, &in.Shift, in.Services, in.Evidence),
	}
}

func (p *plan) decide() Decision {
	s := &p.Shift
	if !s.State.Moves() {
		return p.hold(Reason{Code: NotRunning})
	}
	if p.CutOff {
		return p.hold(Reason{Code: PlatformCutOff})
	}
	if d, over := p.enforceCap(); over {
		return d
	}
	if s.State != catalogue.Running {
		return p.hold(Reason{Code: NotRunning})
	}
	if why, back := p.rollBackReason(); back {
		return p.rollBack(why)
	}
	if why := p.failingReceiver(); why.Code != None && s.Share > 0 {
		return p.recede(why)
	}
	if why := p.stepObstacle(); why.Code != None {
		return p.hold(why)
	}
	if s.Share >= p.limits.MaxShare {
		return Decision{Action: Finish, Share: s.Share}
	}
	return p.advance()
}

func (p *plan) hold(why Reason) Decision {
	return Decision{Action: Hold, Share: p.Shift.Share, Reason: why}
}

// stepObstacle returns the first reason for which no step can be taken at all.
func (p *plan) stepObstacle() Reason {
	for _, check := range []func() Reason{
		p.outsideWindow,
		p.noServices,
		p.senderNotLive,
		p.failingReceiver,
		p.emptyingReceiver,
		p.withinInterval,
		p.missingProof,
		p.unhealthyReceiver,
	} {
		if why := check(); why.Code != None {
			return why
		}
	}
	return Reason{}
}

func (p *plan) outsideWindow() Reason {
	if p.limits.Window.Contains(p.Now.Wall()) {
		return Reason{}
	}
	return Reason{Code: OutsideWindow}
}

func (p *plan) noServices() Reason {
	if len(p.flows) > 0 {
		return Reason{}
	}
	return Reason{Code: NoServices}
}

func (p *plan) senderNotLive() Reason {
	for i := range p.flows {
		f := &p.flows[i]
		if f.sender != nil && f.sender.State == fleet.Dead {
			return Reason{Code: SenderNotLive, Region: p.Shift.From}
		}
	}
	return Reason{}
}

// failingReceiver reports a receiver that fresh figures show to be unable to
// serve. A receiver without fresh figures is another matter: nothing is known.
func (p *plan) failingReceiver() Reason {
	for i := range p.flows {
		f := &p.flows[i]
		if len(f.receivers) == 0 {
			return Reason{Code: ReceiverNotLive, Service: f.service}
		}
		for _, r := range f.receivers {
			l := r.load
			if l != nil && l.valid() && l.fresh(p.Now, p.opts.MaxAge) && l.failing() {
				return Reason{Code: ReceiverNotLive, Region: r.region, Service: f.service}
			}
		}
	}
	return Reason{}
}

// emptyingReceiver reports another shift that moves traffic out of a receiver.
// Operators start one only in an emergency, and then this shift must not work
// against it.
func (p *plan) emptyingReceiver() Reason {
	for i := range p.Others {
		o := &p.Others[i]
		if !overlaps(o.Service, p.Shift.Service) || o.From == p.Shift.From {
			continue
		}
		if p.Shift.To == "" || p.Shift.To == o.From {
			return Reason{Code: ReceiverEmptying, Region: o.From, OtherShift: o.ID}
		}
	}
	return Reason{}
}

func overlaps(a, b fleet.ServiceName) bool { return a == "" || b == "" || a == b }

// withinInterval holds until Limits.Interval has passed since the last step, both by
// the instant in the catalogue, from the clock of whichever VM wrote it, and by
// when this process saw it: a clock that runs behind must not shorten the wait.
func (p *plan) withinInterval() Reason {
	stepped := max(p.Progress.SteppedAt, clock.Time(p.Shift.SteppedAt))
	if stepped == 0 {
		return Reason{}
	}
	return p.waitUntil(stepped.Add(time.Duration(p.limits.Interval)))
}

func (p *plan) waitUntil(t clock.Time) Reason {
	if !p.Now.Before(t) {
		return Reason{}
	}
	return Reason{Code: WaitingInterval, Until: t}
}

// provenAfter returns the instant from which on figures show the last step.
// Callers that asked before the shift ran keep their answers for longer, so
// the first steps take longer to show, and so does one while it is paused.
func (p *Progress) provenAfter(o Options, state catalogue.ShiftState) clock.Time {
	if p.SteppedAt == 0 {
		return 0
	}
	if state != catalogue.Running {
		return p.SteppedAt.Add(o.SettleSteady)
	}
	return max(p.SteppedAt.Add(o.Settle), p.StartedAt.Add(o.SettleSteady))
}

func (p *plan) provenAfter() clock.Time {
	return p.Progress.provenAfter(p.opts, p.Shift.State)
}

// missingProof returns why the figures don't prove that the last step was
// absorbed.
func (p *plan) missingProof() Reason {
	after := p.provenAfter()
	for i := range p.flows {
		f := &p.flows[i]
		if why := p.missingCountProof(f, after); why.Code != None {
			return why
		}
		for _, r := range f.receivers {
			if why := p.missingLoadProof(r.load, r.region, f.service, after); why.Code != None {
				return why
			}
		}
	}
	return Reason{}
}

func (p *plan) missingCountProof(f *flow, after clock.Time) Reason {
	at := Reason{Region: p.Shift.From, Service: f.service}
	if f.count == nil || !f.count.valid() {
		at.Code = StaleMeasurement
		return at
	}
	if p.limits.MaxShare >= catalogue.ShareUnit {
		after = 0 // the moved share can't pass the cap; only demand is needed
	}
	return p.missingWindowProof(f.count.Span, f.count.Missing, at, after)
}

func (p *plan) missingLoadProof(l *Load, r fleet.Region, s fleet.ServiceName, after clock.Time) Reason {
	at := Reason{Region: r, Service: s}
	if l == nil || !l.valid() {
		at.Code = StaleMeasurement
		return at
	}
	return p.missingWindowProof(l.Span, l.Missing, at, after)
}

// missingWindowProof judges a window. What goes wrong without the second test: a
// step is judged by figures from before it, which look as good as ever, and
// the next steps follow until the receiver is over its capacity.
func (p *plan) missingWindowProof(s Span, missing int, at Reason, after clock.Time) Reason {
	switch {
	case missing > 0 || !s.fresh(p.Now, p.opts.MaxAge):
		at.Code = StaleMeasurement
		at.Missing = missing
		at.Age = p.Now.Sub(s.Until)
		return at
	case s.Since.Before(after):
		at.Code = AwaitingProof
		return at
	default:
		return Reason{}
	}
}

// unhealthyReceiver returns why receivers that have proven figures take no more.
func (p *plan) unhealthyReceiver() Reason {
	bound := time.Duration(p.limits.MaxP99)
	for i := range p.flows {
		f := &p.flows[i]
		for _, r := range f.receivers {
			at := Reason{Region: r.region, Service: f.service}
			switch {
			case p.exceedsErrorBound(r.load):
				return p.errorReason(r.load)
			case r.load.Warming:
				at.Code = ColdCache
				return at
			case r.load.P99 > bound:
				at.Code, at.P99, at.Limit = Latency, r.load.P99, bound
				return at
			}
		}
	}
	return Reason{}
}

// advance takes the largest step that fits.
func (p *plan) advance() Decision {
	now := p.Shift.Share
	most := min(p.limits.Step, p.limits.MaxShare-now)
	d := p.largestAllowed(most, func(d catalogue.Share) Reason { return p.limitReached(now + d) })
	if d == most {
		return Decision{Action: Advance, Share: now + d}
	}
	why := p.limitReached(now + d + 1)
	if d < min(p.opts.MinStep, most) {
		return p.hold(why)
	}
	return Decision{Action: Advance, Share: now + d, Reason: why}
}

// largestAllowed returns the largest of 0..most for which misfit has no reason;
// misfit must not be asked about 0, which always fits.
func (p *plan) largestAllowed(most catalogue.Share, misfit func(catalogue.Share) Reason) catalogue.Share {
	n := sort.Search(int(most), func(i int) bool {
		return misfit(catalogue.Share(i+1)).Code != None
	})
	return catalogue.Share(n)
}

// limitReached returns why the shift can't go up to the share to.
func (p *plan) limitReached(to catalogue.Share) Reason {
	for i := range p.flows {
		f := &p.flows[i]
		if why := p.capReached(f, to); why.Code != None {
			return why
		}
		slots := f.maxSlots(p.opts, p.Shift.Share, to)
		for _, r := range f.receivers {
			if why := p.headroomReached(r.load, slots*r.fraction); why.Code != None {
				return why
			}
		}
	}
	return Reason{}
}

// capReached tells whether the counted share at to would pass the cap. A cap of
// everything cannot be passed.
func (p *plan) capReached(f *flow, to catalogue.Share) Reason {
	share := withMargin(f.forecastFraction(p.Shift.Share, to), f.count.Total)
	if p.limits.MaxShare >= catalogue.ShareUnit || share <= fractionOf(p.limits.MaxShare) {
		return Reason{}
	}
	return Reason{Code: CountedShare, Service: f.service, Share: share, Forecast: true, Bound: fractionOf(p.limits.MaxShare)}
}

// headroomReached tells whether need more slots would leave a region less than the
// least headroom, beside what other shifts have reserved.
func (p *plan) headroomReached(l *Load, need float64) Reason {
	held, holder := reservedSlots(p.Reserved, l.Region, l.Service)
	alone := l.Capacity*(1-fractionOf(p.limits.MinHeadroom)) - l.InFlight
	have := alone - held
	if need <= have {
		return Reason{}
	}
	why := Reason{Code: NoHeadroom, Region: l.Region, Service: l.Service, SlotsNeeded: need, SlotsFree: max(0, have)}
	if need <= alone {
		why.Code = SharedHeadroom
		why.OtherShift = holder
	}
	return why
}
