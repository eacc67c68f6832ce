package shift

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// enforceCap lowers the share if it or the counted share is over the cap. It
// doesn't wait for the interval or for the sender's headroom: the cap is
// guaranteed, and Gate already limits look-ups to it.
func (p *plan) enforceCap() (Decision, bool) {
	s := &p.Shift
	if s.Share > p.limits.MaxShare {
		return p.lowerShare(p.limits.MaxShare, Reason{Code: CountedShare, Share: fractionOf(s.Share), Bound: fractionOf(p.limits.MaxShare)})
	}
	if p.limits.MaxShare >= catalogue.ShareUnit {
		return Decision{}, false
	}
	for i := range p.flows {
		f := &p.flows[i]
		if !p.countIsCurrent(f) || f.movedFraction() <= fractionOf(p.limits.MaxShare) {
			continue
		}
		reason := Reason{Code: CountedShare, Service: f.service, Share: f.movedFraction(), Bound: fractionOf(p.limits.MaxShare)}
		return p.lowerShare(p.largestShareUnderCap(f), reason)
	}
	return Decision{}, false
}

// lowerShare returns the decision to lower the share for the given reason. A
// rollback in progress keeps its code.
func (p *plan) lowerShare(to catalogue.Share, reason Reason) (Decision, bool) {
	if ParseCode(p.Shift.Hold) == RollingBack {
		reason = asRollBack(reason)
	}
	return Decision{Action: Recede, Share: to, Reason: reason}, true
}

// countIsCurrent reports whether the whole count was made at the present share.
// An older count would lower the share a second time for the same excess. A
// count that is late or lacks some VMs still proves an excess, so its age and
// completeness are not checked.
func (p *plan) countIsCurrent(f *flow) bool {
	if p.Shift.Share == 0 || f.count == nil || !f.count.valid() || f.count.Since >= f.count.Until {
		return false
	}
	return !f.count.Since.Before(p.provenAfter())
}

// largestShareUnderCap returns the largest share below the present one at which
// the count, with its margin, is within the cap.
func (p *plan) largestShareUnderCap(f *flow) catalogue.Share {
	for to := p.Shift.Share - 1; to > 0; to-- {
		if p.capReached(f, to).Code == None {
			return to
		}
	}
	return 0
}

// exceedsErrorBound reports whether fresh figures of a region show errors over
// the bound.
func (p *plan) exceedsErrorBound(l *Load) bool {
	return l != nil && l.valid() && l.fresh(p.Now, p.opts.MaxAge) &&
		l.Requests >= p.opts.BreachRequests && l.ErrorShare > p.limits.MaxErrorShare
}

func (p *plan) errorReason(l *Load) Reason {
	return Reason{
		Code:    Errors,
		Region:  l.Region,
		Service: l.Service,
		Share:   fractionOf(l.ErrorShare),
		Bound:   fractionOf(p.limits.MaxErrorShare),
	}
}

// receiverOverErrorBound returns the load of a receiver whose errors are over
// the bound, or nil.
func (p *plan) receiverOverErrorBound() *Load {
	for i := range p.flows {
		for _, r := range p.flows[i].receivers {
			if p.exceedsErrorBound(r.load) {
				return r.load
			}
		}
	}
	return nil
}

// TrackErrors returns in.Progress with BreachSince and BreachUntil updated from
// the evidence. Figures that are not fresh neither extend
// a breach nor end it.
func TrackErrors(o Options, in Input) Progress {
	p := newPlan(o, in)
	next := in.Progress
	if l := p.receiverOverErrorBound(); l != nil {
		if next.BreachSince == 0 {
			next.BreachSince = l.Since
		}
		next.BreachUntil = max(next.BreachUntil, l.Until)
		return next
	}
	if p.allReceiversFresh() {
		next.BreachSince, next.BreachUntil = 0, 0
	}
	return next
}

// allReceiversFresh reports whether all receivers have fresh figures.
func (p *plan) allReceiversFresh() bool {
	for i := range p.flows {
		for _, r := range p.flows[i].receivers {
			if r.load == nil || !r.load.valid() || !r.load.fresh(p.Now, p.opts.MaxAge) {
				return false
			}
		}
	}
	return true
}

// rollBackReason reports whether the shift is to be rolled back, and why. A
// rollback that has begun continues whatever the figures show: errors cease as
// the share falls, and a shift that advanced again then would oscillate without
// end. Its start is recorded in the catalogue, so that the next runner
// continues it.
func (p *plan) rollBackReason() (Reason, bool) {
	if ParseCode(p.Shift.Hold) == RollingBack {
		return Reason{Code: RollingBack}, true
	}
	b := p.Progress
	if p.Shift.Share == 0 || b.BreachUntil.Sub(b.BreachSince) < p.opts.BreachFor {
		return Reason{}, false
	}
	if l := p.receiverOverErrorBound(); l != nil {
		return asRollBack(p.errorReason(l)), true
	}
	return Reason{}, false
}

// asRollBack returns the reason of a rollback caused by reason.
func asRollBack(reason Reason) Reason {
	if reason.Code == RollingBack {
		return reason
	}
	reason.Cause = reason.Code
	reason.Code = RollingBack
	return reason
}

// rollBack lowers the share of a shift that is being rolled back.
func (p *plan) rollBack(reason Reason) Decision {
	to, blocked := p.nextLowerShare()
	if blocked.Code != None {
		return p.hold(asRollBack(blocked))
	}
	return Decision{Action: RollBack, Share: to, Reason: reason}
}

// recede lowers the share because a receiver is failing; the shift advances
// again if the receiver recovers.
func (p *plan) recede(reason Reason) Decision {
	to, blocked := p.nextLowerShare()
	if blocked.Code != None {
		return p.hold(blocked)
	}
	return Decision{Action: Recede, Share: to, Reason: reason}
}

// nextLowerShare returns the lowest share that a step back may go to, or why
// there is none. A step back is limited to the sender's headroom and needs
// proof that the sender absorbed the last step.
func (p *plan) nextLowerShare() (catalogue.Share, Reason) {
	now := p.Shift.Share
	if now == 0 {
		return 0, Reason{}
	}
	if reason := p.missingSenderProof(); reason.Code != None {
		return now, reason
	}
	maxFall := min(int(now), int(p.limits.Step)*p.opts.BackSteps)
	d := p.largestAllowed(catalogue.Share(maxFall), func(d catalogue.Share) Reason { return p.senderLimitReached(now - d) })
	if d == 0 {
		return now, p.senderLimitReached(now - 1)
	}
	return now - d, Reason{}
}

// missingSenderProof returns why nothing can be moved back now. If the last
// step was a step back, the figures must include it. A step forward took load
// off the sender, so figures from before it overstate the load, which is safe,
// and a shift whose last step caused errors need not wait.
func (p *plan) missingSenderProof() Reason {
	after := clock.Time(0)
	if p.Progress.LastStepDown {
		after = p.provenAfter()
	}
	for i := range p.flows {
		f := &p.flows[i]
		if f.sender != nil && f.sender.State != fleet.Live {
			return Reason{Code: SenderNotLive, Region: p.Shift.From, Service: f.service}
		}
		if reason := p.missingLoadProof(f.sender, p.Shift.From, f.service, after); reason.Code != None {
			return reason
		}
		if reason := p.missingCountProof(f, after); reason.Code != None {
			return reason
		}
	}
	return Reason{}
}

// senderLimitReached returns why the sender can't take back the load between
// the share to and the present one.
func (p *plan) senderLimitReached(to catalogue.Share) Reason {
	for i := range p.flows {
		f := &p.flows[i]
		if reason := p.headroomReached(f.sender, f.maxSlots(p.opts, to, p.Shift.Share)); reason.Code != None {
			return reason
		}
	}
	return Reason{}
}
