package shift

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// overCap lowers the share if it or the counted share is over the cap. It
// doesn't wait for the interval or for the sender's headroom: the cap is a
// promise, and Gate has been holding look-ups to it in the meantime.
func (p *plan) overCap() (Decision, bool) {
	s := &p.Shift
	if s.Share > p.limits.MaxShare {
		return p.lower(p.limits.MaxShare, Reason{Code: CountedShare, Share: part(s.Share), Bound: part(p.limits.MaxShare)})
	}
	if p.limits.MaxShare >= catalogue.ShareUnit {
		return Decision{}, false
	}
	for i := range p.flows {
		f := &p.flows[i]
		if !p.countsPresentShare(f) || f.counted() <= part(p.limits.MaxShare) {
			continue
		}
		why := Reason{Code: CountedShare, Service: f.service, Share: f.counted(), Bound: part(p.limits.MaxShare)}
		return p.lower(p.underCap(f), why)
	}
	return Decision{}, false
}

func (p *plan) lower(to catalogue.Share, why Reason) (Decision, bool) {
	if ParseCode(p.Shift.Hold) == RollingBack {
		why = rolling(why)
	}
	return Decision{Action: Recede, Share: to, Reason: why}, true
}

// countsPresentShare reports whether the count was made wholly at the present
// share. An older one would lower the share a second time for one excess. A
// count that is late or lacks some VMs still shows an excess, so neither age
// nor completeness matters here.
func (p *plan) countsPresentShare(f *flow) bool {
	if p.Shift.Share == 0 || f.count == nil || !f.count.valid() || f.count.Since >= f.count.Until {
		return false
	}
	return !f.count.Since.Before(p.provenAfter())
}

// underCap returns the largest share below the present one at which the count,
// with its margin, is within the cap.
func (p *plan) underCap(f *flow) catalogue.Share {
	for to := p.Shift.Share - 1; to > 0; to-- {
		if p.overCount(f, to).Code == None {
			return to
		}
	}
	return 0
}

// breaches reports whether fresh figures of a region show errors over the
// bound.
func (p *plan) breaches(l *Load) bool {
	return l != nil && l.valid() && l.fresh(p.Now, p.opts.MaxAge) &&
		l.Requests >= p.opts.BreachRequests && l.ErrorShare > p.limits.MaxErrorShare
}

func (p *plan) errorsAt(l *Load) Reason {
	return Reason{
		Code:    Errors,
		Region:  l.Region,
		Service: l.Service,
		Share:   part(l.ErrorShare),
		Bound:   part(p.limits.MaxErrorShare),
	}
}

// breaching returns a receiver whose errors are over the bound, or nil.
func (p *plan) breaching() *Load {
	for i := range p.flows {
		for _, r := range p.flows[i].receivers {
			if p.breaches(r.load) {
				return r.load
			}
		}
	}
	return nil
}

// Observe returns the progress after the evidence of in: it follows how long
// errors have been over their bound. Figures that are not fresh neither
// lengthen a breach nor end it.
func Observe(o Options, in Input) Progress {
	p := newPlan(o, in)
	next := in.Progress
	if l := p.breaching(); l != nil {
		if next.BreachSince == 0 {
			next.BreachSince = l.Since
		}
		next.BreachUntil = max(next.BreachUntil, l.Until)
		return next
	}
	if p.allFresh() {
		next.BreachSince, next.BreachUntil = 0, 0
	}
	return next
}

// allFresh reports whether all receivers have fresh figures.
func (p *plan) allFresh() bool {
	for i := range p.flows {
		for _, r := range p.flows[i].receivers {
			if r.load == nil || !r.load.valid() || !r.load.fresh(p.Now, p.opts.MaxAge) {
				return false
			}
		}
	}
	return true
}

// rollingBack reports whether the shift is to be rolled back, and why. One
// that has begun to roll back goes on, whatever the figures say: as its share
// falls errors cease, and a shift that turned round then would swing for good.
// That it has begun is kept in the catalogue, for the next runner.
func (p *plan) rollingBack() (Reason, bool) {
	if ParseCode(p.Shift.Hold) == RollingBack {
		return Reason{Code: RollingBack}, true
	}
	b := p.Progress
	if p.Shift.Share == 0 || b.BreachUntil.Sub(b.BreachSince) < p.opts.BreachFor {
		return Reason{}, false
	}
	if l := p.breaching(); l != nil {
		return rolling(p.errorsAt(l)), true
	}
	return Reason{}, false
}

// rolling makes why the cause of rolling back.
func rolling(why Reason) Reason {
	if why.Code == RollingBack {
		return why
	}
	why.Cause = why.Code
	why.Code = RollingBack
	return why
}

// rollBack moves back on the way to rolled-back.
func (p *plan) rollBack(why Reason) Decision {
	to, blocked := p.back()
	if blocked.Code != None {
		return p.hold(rolling(blocked))
	}
	return Decision{Action: RollBack, Share: to, Reason: why}
}

// recede moves back because a receiver is failing; the shift goes on if the
// receiver returns.
func (p *plan) recede(why Reason) Decision {
	to, blocked := p.back()
	if blocked.Code != None {
		return p.hold(blocked)
	}
	return Decision{Action: Recede, Share: to, Reason: why}
}

// back returns the lowest share that a step back may go to, or why there is
// none: it goes into what the sender can bear, on proof that the sender has
// absorbed the last step.
func (p *plan) back() (catalogue.Share, Reason) {
	now := p.Shift.Share
	if now == 0 {
		return 0, Reason{}
	}
	if why := p.senderUnproven(); why.Code != None {
		return now, why
	}
	most := min(int(now), int(p.limits.Step)*p.opts.BackSteps)
	d := p.largest(catalogue.Share(most), func(d catalogue.Share) Reason { return p.senderMisfit(now - d) })
	if d == 0 {
		return now, p.senderMisfit(now - 1)
	}
	return now - d, Reason{}
}

// senderUnproven returns why nothing can be moved back now. The figures must
// show the last step if it was one back. One forward took load off the sender,
// so figures from before it err on the safe side, and a shift that has just
// stepped into trouble need not wait.
func (p *plan) senderUnproven() Reason {
	after := clock.Time(0)
	if p.Progress.Fell {
		after = p.provenAfter()
	}
	for i := range p.flows {
		f := &p.flows[i]
		if f.sender != nil && f.sender.State != fleet.Live {
			return Reason{Code: SenderNotLive, Region: p.Shift.From, Service: f.service}
		}
		if why := p.unprovenLoad(f.sender, p.Shift.From, f.service, after); why.Code != None {
			return why
		}
		if why := p.unprovenCount(f, after); why.Code != None {
			return why
		}
	}
	return Reason{}
}

func (p *plan) senderMisfit(to catalogue.Share) Reason {
	for i := range p.flows {
		f := &p.flows[i]
		if why := p.overload(f.sender, f.slots(p.opts, to, p.Shift.Share)); why.Code != None {
			return why
		}
	}
	return Reason{}
}
