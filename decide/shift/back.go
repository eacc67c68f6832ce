package shift

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// enforceCap lowers the share if it or the counted share is over the cap. It
// doesn't wait for the interval or for the sender's headroom: the cap is a
// promise, and Gate has been holding look-ups to it in the meantime.
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
		why := Reason{Code: CountedShare, Service: f.service, Share: f.movedFraction(), Bound: fractionOf(p.limits.MaxShare)}
		return p.lowerShare(p.largestShareUnderCap(f), why)
	}
	return Decision{}, false
}

func (p *plan) lowerShare(to catalogue.Share, why Reason) (Decision, bool) {
	if ParseCode(p.Shift.Hold) == RollingBack {
		why = asRollBack(why)
	}
	return Decision{Action: Recede, Share: to, Reason: why}, true
}

// countIsCurrent reports whether the count was made wholly at the present
// share. An older one would lower the share a second time for one excess. A
// count that is late or lacks some VMs still shows an excess, so neither age
// nor completeness matters here.
func (p *plan) countIsCurrent(f *flow) bool {
	if p.Shift.Share == 0 || f.count == nil || !f.count.valid() || f.count.Since >= f.count.Until {
		return false
	}
	return !f.count.Since.Before(p.provenAfter())
}

// largestShareUnderCap returns the largest share below the present one at which the count,
// with its margin, is within the cap.
func (p *plan) largestShareUnderCap(f *flow) catalogue.Share {
	for to := p.Shift.Share - 1; to > 0; to-- {
		if p.capReached(f, to).Code == None {
			return to
		}
	}
	return 0
}

// exceedsErrorBound reports whether fresh figures of a region show errors over the
// bound.
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

// receiverOverErrorBound returns a receiver whose errors are over the bound, or nil.
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

// TrackErrors returns the progress after the evidence of in: it follows how long
// errors have been over their bound. Figures that are not fresh neither
// lengthen a breach nor end it.
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

// rollBackReason reports whether the shift is to be rolled back, and why. One
// that has begun to roll back goes on, whatever the figures say: as its share
// falls errors cease, and a shift that turned round then would swing for good.
// That it has begun is kept in the catalogue, for the next runner.
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

// asRollBack makes why the cause of rolling back.
func asRollBack(why Reason) Reason {
	if why.Code == RollingBack {
		return why
	}
	why.Cause = why.Code
	why.Code = RollingBack
	return why
}

// rollBack moves back on the way to rolled-back.
func (p *plan) rollBack(why Reason) Decision {
	to, blocked := p.nextLowerShare()
	if blocked.Code != None {
		return p.hold(asRollBack(blocked))
	}
	return Decision{Action: RollBack, Share: to, Reason: why}
}

// recede moves back because a receiver is failing; the shift goes on if the
// receiver returns.
func (p *plan) recede(why Reason) Decision {
	to, blocked := p.nextLowerShare()
	if blocked.Code != None {
		return p.hold(blocked)
	}
	return Decision{Action: Recede, Share: to, Reason: why}
}

// nextLowerShare returns the lowest share that a step back may go to, or why there is
// none: it goes into what the sender can bear, on proof that the sender has
// absorbed the last step.
func (p *plan) nextLowerShare() (catalogue.Share, Reason) {
	now := p.Shift.Share
	if now == 0 {
		return 0, Reason{}
	}
	if why := p.missingSenderProof(); why.Code != None {
		return now, why
	}
	most := min(int(now), int(p.limits.Step)*p.opts.BackSteps)
	d := p.largestAllowed(catalogue.Share(most), func(d catalogue.Share) Reason { return p.senderLimitReached(now - d) })
	if d == 0 {
		return now, p.senderLimitReached(now - 1)
	}
	return now - d, Reason{}
}

// missingSenderProof returns why nothing can be moved back now. The figures must
// show the last step if it was one back. One forward took load off the sender,
// so figures from before it err on the safe side, and a shift that has just
// stepped into trouble need not wait.
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
		if why := p.missingLoadProof(f.sender, p.Shift.From, f.service, after); why.Code != None {
			return why
		}
		if why := p.missingCountProof(f, after); why.Code != None {
			return why
		}
	}
	return Reason{}
}

func (p *plan) senderLimitReached(to catalogue.Share) Reason {
	for i := range p.flows {
		f := &p.flows[i]
		if why := p.headroomReached(f.sender, f.maxSlots(p.opts, to, p.Shift.Share)); why.Code != None {
			return why
		}
	}
	return Reason{}
}
