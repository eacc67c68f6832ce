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

// Violation is a broken invariant. A decision that breaks one is not carried
// out: the share stays unchanged and the violation is counted.
type Violation struct {
	Shift  string
	Rule   Rule
	Detail string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("shift %s: %s: %s", v.Shift, v.Rule, v.Detail)
}

// checker collects the violations of one decision. It derives the guarantees
// directly from the input, independently of the planning code.
type checker struct {
	opts   Options
	in     *Input
	limits catalogue.Limits
	out    []Violation
}

// CheckInvariants returns the invariants that the decision d, made from in,
// breaks.
func CheckInvariants(o Options, in Input, d Decision) []Violation {
	c := &checker{opts: o.withDefaults(), in: &in, limits: in.Shift.Limits.WithDefaults()}
	now := in.Shift.Share
	if d.Action == Hold {
		c.expect(d.Share == now, RuleStep, "hold changes the share from %d to %d", now, d.Share)
		return c.out
	}
	c.expect(d.Share <= c.limits.MaxShare, RuleCap, "share %d, cap %d", d.Share, c.limits.MaxShare)
	c.expect(!in.CutOff, RuleCutOff, "%s while the platform is unreachable", d.Action)
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
	c.expect(rise <= c.limits.Step, RuleStep, "rise of %d, largest step %d", rise, c.limits.Step)
	c.expect(s.State == catalogue.Running, RuleState, "state is %s", s.State)
	c.expect(c.limits.Window.Contains(c.in.Now.Wall()), RuleWindow, "at %s", c.in.Now.Wall())
	waited := c.in.Now.Sub(c.in.Progress.SteppedAt)
	c.expect(waited >= time.Duration(c.limits.Interval), RuleInterval, "%s after the last step, interval %s", waited, time.Duration(c.limits.Interval))
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
		c.expect(counted <= fractionOf(c.limits.MaxShare), RuleCount, "counted share %.4f of %s, cap %.4f", counted, f.service, fractionOf(c.limits.MaxShare))
	}
}

// checkProof checks that a figure is fresh and, if coversStep is set, that its
// window began after the last step took effect.
func (c *checker) checkProof(s Span, missing int, of string, coversStep bool) {
	c.expect(missing == 0, RuleProof, "%s lacks %d reports", of, missing)
	age := c.in.Now.Sub(s.Until)
	c.expect(age >= 0 && age <= c.opts.MaxAge, RuleProof, "%s is %s old", of, age)
	p := &c.in.Progress
	if !coversStep || p.SteppedAt == clock.Time(0) {
		return
	}
	since := s.Since.Sub(p.SteppedAt)
	c.expect(since >= c.opts.Settle, RuleProof, "%s begins %s after the step", of, since)
	since = s.Since.Sub(p.StartedAt)
	c.expect(since >= c.opts.SettleSteady, RuleProof, "%s begins %s after the start", of, since)
}

// checkHeadroom assumes the proportional part of the warm load, which is the
// least that the step is expected to add.
func (c *checker) checkHeadroom(f *flow, r receiver, to catalogue.Share) {
	reserved, _ := reservedSlots(c.in.Reserved, r.region, f.service)
	need := f.count.Demand() * fractionOf(to-c.in.Shift.Share) * r.fraction
	after := r.load.InFlight + reserved + need
	bound := r.load.Capacity * (1 - fractionOf(c.limits.MinHeadroom))
	const rounding = 1e-6
	c.expect(after <= bound+rounding, RuleHeadroom, "%s would have %.2f slots busy, bound %.2f", r.region, after, bound)
}
