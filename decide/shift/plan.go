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
	Hold     Action = iota // keep the share
	Advance                // raise the share
	Recede                 // lower the share; the shift stays in its state
	RollBack               // lower the share; at 0 the shift is rolled back
	Finish                 // the cap is reached, and figures prove that the receivers absorb it
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

// Decision is the result of Plan. Reason states why the share is not raised
// beyond Share; it is empty for a whole step and for Finish.
type Decision struct {
	Action Action
	Share  catalogue.Share
	Reason Reason
}

// State returns the new state of the shift, or empty if the decision doesn't
// change it.
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

// Input is everything from which a shift is planned.
type Input struct {
	Now      clock.Time
	Shift    catalogue.Shift
	Services []fleet.ServiceName // the services that the shift moves
	Progress Progress
	Evidence *Evidence
	Others   []catalogue.Shift // all other moving shifts
	Reserved []Reservation     // headroom reserved by their steps
	CutOff   bool              // the platform can't be reached
}

// Progress is what the planning process itself has observed of a shift. It is
// lost with the process; a new process assumes that the present share has just
// been reached.
type Progress struct {
	// SteppedAt is when the present share was first seen in force; 0 if the
	// shift has not moved anything yet.
	SteppedAt clock.Time
	// StartedAt is when the shift was first seen running, after another state.
	StartedAt clock.Time
	// LastStepDown is true if the last change lowered the share or its
	// direction is not known.
	LastStepDown bool
	// BreachSince and BreachUntil bound the uninterrupted run of fresh windows
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

// Plan decides the next step of one shift. It is deterministic.
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
	if reason, back := p.rollBackReason(); back {
		return p.rollBack(reason)
	}
	if reason := p.failingReceiver(); reason.Code != None && s.Share > 0 {
		return p.recede(reason)
	}
	if reason := p.stepObstacle(); reason.Code != None {
		return p.hold(reason)
	}
	if s.Share >= p.limits.MaxShare {
		return Decision{Action: Finish, Share: s.Share}
	}
	return p.advance()
}

// hold returns the decision to keep the share for the given reason.
func (p *plan) hold(reason Reason) Decision {
	return Decision{Action: Hold, Share: p.Shift.Share, Reason: reason}
}

// stepObstacle returns the first reason for which no step of any size can be
// taken.
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
		if reason := check(); reason.Code != None {
			return reason
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

// failingReceiver reports a receiver that can't serve according to fresh
// figures. A receiver without fresh figures is not reported, as its state is
// unknown.
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
// Operators start such a shift only in an emergency, and this shift must not
// counteract it.
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

// withinInterval holds the shift until Limits.Interval has passed since the
// last step. The time of the step is the later of the instant in the catalogue,
// by the clock of the VM that wrote it, and the instant at which this process saw
// the step: a clock that is behind must not shorten the wait.
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

// provenAfter returns the instant from which on figures include the effect of
// the last step. Callers keep answers that they received while the shift was
// not running for longer, so the first steps after a start, and a step while
// the shift is paused, take longer to show.
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

// missingProof returns why the figures don't prove that the receivers absorbed
// the last step.
func (p *plan) missingProof() Reason {
	after := p.provenAfter()
	for i := range p.flows {
		f := &p.flows[i]
		if reason := p.missingCountProof(f, after); reason.Code != None {
			return reason
		}
		for _, r := range f.receivers {
			if reason := p.missingLoadProof(r.load, r.region, f.service, after); reason.Code != None {
				return reason
			}
		}
	}
	return Reason{}
}

func (p *plan) missingCountProof(f *flow, after clock.Time) Reason {
	reason := Reason{Region: p.Shift.From, Service: f.service}
	if f.count == nil || !f.count.valid() {
		reason.Code = StaleMeasurement
		return reason
	}
	if p.limits.MaxShare >= catalogue.ShareUnit {
		after = 0 // a share can't exceed a cap of 100%; only demand is needed
	}
	return p.missingWindowProof(f.count.Span, f.count.Missing, reason, after)
}

func (p *plan) missingLoadProof(l *Load, r fleet.Region, s fleet.ServiceName, after clock.Time) Reason {
	reason := Reason{Region: r, Service: s}
	if l == nil || !l.valid() {
		reason.Code = StaleMeasurement
		return reason
	}
	return p.missingWindowProof(l.Span, l.Missing, reason, after)
}

// missingWindowProof returns why figures of the window s are no proof. Figures
// from before the last step show none of its load: if they were accepted, further
// steps would follow until the receiver is over its capacity.
func (p *plan) missingWindowProof(s Span, missing int, reason Reason, after clock.Time) Reason {
	switch {
	case missing > 0 || !s.fresh(p.Now, p.opts.MaxAge):
		reason.Code = StaleMeasurement
		reason.Missing = missing
		reason.Age = p.Now.Sub(s.Until)
		return reason
	case s.Since.Before(after):
		reason.Code = AwaitingProof
		return reason
	default:
		return Reason{}
	}
}

// unhealthyReceiver returns why a receiver with proven figures can't take more.
func (p *plan) unhealthyReceiver() Reason {
	bound := time.Duration(p.limits.MaxP99)
	for i := range p.flows {
		f := &p.flows[i]
		for _, r := range f.receivers {
			reason := Reason{Region: r.region, Service: f.service}
			switch {
			case p.exceedsErrorBound(r.load):
				return p.errorReason(r.load)
			case r.load.Warming:
				reason.Code = ColdCache
				return reason
			case r.load.P99 > bound:
				reason.Code, reason.P99, reason.Limit = Latency, r.load.P99, bound
				return reason
			}
		}
	}
	return Reason{}
}

// advance takes the largest step that the limits allow.
func (p *plan) advance() Decision {
	now := p.Shift.Share
	maxRise := min(p.limits.Step, p.limits.MaxShare-now)
	d := p.largestAllowed(maxRise, func(d catalogue.Share) Reason { return p.limitReached(now + d) })
	if d == maxRise {
		return Decision{Action: Advance, Share: now + d}
	}
	reason := p.limitReached(now + d + 1)
	if d < min(p.opts.MinStep, maxRise) {
		return p.hold(reason)
	}
	return Decision{Action: Advance, Share: now + d, Reason: reason}
}

// largestAllowed returns the largest of 0..maximum for which limit returns no
// reason. 0 is always allowed, and limit is not called for it.
func (p *plan) largestAllowed(maximum catalogue.Share, limit func(catalogue.Share) Reason) catalogue.Share {
	n := sort.Search(int(maximum), func(i int) bool {
		return limit(catalogue.Share(i+1)).Code != None
	})
	return catalogue.Share(n)
}

// limitReached returns why the share can't be raised to the share to.
func (p *plan) limitReached(to catalogue.Share) Reason {
	for i := range p.flows {
		f := &p.flows[i]
		if reason := p.capReached(f, to); reason.Code != None {
			return reason
		}
		slots := f.maxSlots(p.opts, p.Shift.Share, to)
		for _, r := range f.receivers {
			if reason := p.headroomReached(r.load, slots*r.fraction); reason.Code != None {
				return reason
			}
		}
	}
	return Reason{}
}

// capReached returns a reason if the counted share at to would exceed the cap.
// A cap of 100% cannot be exceeded.
func (p *plan) capReached(f *flow, to catalogue.Share) Reason {
	share := withMargin(f.forecastFraction(p.Shift.Share, to), f.count.Total)
	if p.limits.MaxShare >= catalogue.ShareUnit || share <= fractionOf(p.limits.MaxShare) {
		return Reason{}
	}
	return Reason{Code: CountedShare, Service: f.service, Share: share, Forecast: true, Bound: fractionOf(p.limits.MaxShare)}
}

// headroomReached returns a reason if need more slots, on top of those that
// other shifts have reserved, would leave a region less than MinHeadroom.
func (p *plan) headroomReached(l *Load, need float64) Reason {
	reserved, reservedBy := reservedSlots(p.Reserved, l.Region, l.Service)
	beyondHeadroom := l.Capacity*(1-fractionOf(p.limits.MinHeadroom)) - l.InFlight
	free := beyondHeadroom - reserved
	if need <= free {
		return Reason{}
	}
	reason := Reason{Code: NoHeadroom, Region: l.Region, Service: l.Service, SlotsNeeded: need, SlotsFree: max(0, free)}
	if need <= beyondHeadroom {
		reason.Code = SharedHeadroom
		reason.OtherShift = reservedBy
	}
	return reason
}
