package shift

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
)

// Rule names an invariant of decisions.
type Rule string

// The invariants.
const (
	RuleCap      Rule = "share-over-cap"
	RuleStep     Rule = "rise-over-step"
	RuleInterval Rule = "rise-before-interval"
	RuleWindow   Rule = "rise-outside-window"
	RuleCutOff   Rule = "write-while-cut-off"
	RuleState    Rule = "rise-while-not-running"
	RuleProof    Rule = "rise-without-proof"
	RuleHeadroom Rule = "rise-into-least-headroom"
	RuleCount    Rule = "rise-over-counted-cap"
)

// Violation is an invariant found broken. Decisions that break one are not
// carried out: the shift stays where it is, and the fault is counted.
type Violation struct {
	Shift  string
	Rule   Rule
	Detail string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("shift %s: %s: %s", v.Shift, v.Rule, v.Detail)
}

// checker collects the violations of one decision. It states the promises
// plainly from the input, apart from the code that plans.
type checker struct {
	opts   Options
	in     *Input
	limits catalogue.Limits
	out    []Violation
}

// CheckInvariants returns every invariant that d breaks for the input it was made from.
func CheckInvariants(o Options, in Input, d Decision) []Violation {
	c := &checker{opts: o.withDefaults(), in: &in, limits: in.Shift.Limits.WithDefaults()}
	now := in.Shift.Share
	if d.Action == Hold {
		c.expect(d.Share == now, RuleStep, "a hold changes the share")
		return c.out
	}
	c.expect(d.Share <= c.limits.MaxShare, RuleCap, "%d of %d", d.Share, c.limits.MaxShare)
	c.expect(!in.CutOff, RuleCutOff, "%s", d.Action)
	if d.Share > now {
		c.checkRise(d.Share)
	}
	return c.out
}

func (c *checker) expect(ok bool, r Rule, format string, args ...any) {
	if !ok {
		v := Violation{Shift: c.in.Shift.ID, Rule: r, Detail: fmt.Sprintf(format, args...)}
		c.out = append(c.out, v)
	}
}

func (c *checker) checkRise(to catalogue.Share) {
	s := &c.in.Shift
	rise := to - s.Share
	c.expect(rise <= c.limits.Step, RuleStep, "%d of %d", rise, c.limits.Step)
	c.expect(s.State == catalogue.Running, RuleState, "%s", s.State)
	c.expect(c.limits.Window.Contains(c.in.Now.Wall()), RuleWindow, "%s", c.in.Now.Wall())
	waited := c.in.Now.Sub(c.in.Progress.SteppedAt)
	c.expect(waited >= time.Duration(c.limits.Interval), RuleInterval, "%s", waited)
	for _, f := range flowsOf(c.opts, s, c.in.Services, c.in.Evidence) {
		c.checkFlow(&f, to)
	}
}

func (c *checker) checkFlow(f *flow, to catalogue.Share) {
	if f.count == nil {
		c.expect(false, RuleProof, "no count of %s", f.service)
		return
	}
	c.checkProof(f.count.Span, f.count.Missing, "count of "+string(f.service), c.limits.MaxShare < catalogue.ShareUnit)
	for _, r := range f.receivers {
		if r.load == nil {
			c.expect(false, RuleProof, "no figures of %s", r.region)
			continue
		}
		c.checkProof(r.load.Span, r.load.Missing, string(r.region), true)
		c.checkHeadroom(f, r, to)
	}
	if f.count.Total > 0 && c.limits.MaxShare < catalogue.ShareUnit {
		counted := f.count.fractionBelow(to)
		c.expect(counted <= fractionOf(c.limits.MaxShare), RuleCount, "%.4f of %.4f", counted, fractionOf(c.limits.MaxShare))
	}
}

// checkProof checks that a figure is fresh and, where it must show the last step,
// that it does.
func (c *checker) checkProof(s Span, missing int, of string, shows bool) {
	c.expect(missing == 0, RuleProof, "%s lacks %d reports", of, missing)
	age := c.in.Now.Sub(s.Until)
	c.expect(age >= 0 && age <= c.opts.MaxAge, RuleProof, "%s is %s old", of, age)
	p := &c.in.Progress
	if !shows || p.SteppedAt == clock.Time(0) {
		return
	}
	since := s.Since.Sub(p.SteppedAt)
	c.expect(since >= c.opts.Settle, RuleProof, "%s begins %s after the step", of, since)
	since = s.Since.Sub(p.StartedAt)
	c.expect(since >= c.opts.SettleSteady, RuleProof, "%s begins %s after the start", of, since)
}

// checkHeadroom reckons with the even part of the warm load, which is the least
// that the step is expected to bring.
func (c *checker) checkHeadroom(f *flow, r receiver, to catalogue.Share) {
	held, _ := reservedSlots(c.in.Reserved, r.region, f.service)
	need := f.count.Demand() * fractionOf(to-c.in.Shift.Share) * r.fraction
	after := r.load.InFlight + held + need
	bound := r.load.Capacity * (1 - fractionOf(c.limits.MinHeadroom))
	const rounding = 1e-6
	c.expect(after <= bound+rounding, RuleHeadroom, "%s: %.2f of %.2f slots", r.region, after, bound)
}
