package change

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
)

// transition applies a life-cycle operation to a shift.
func transition(c *catalogue.Catalogue, op Operation, now clock.Time) error {
	i := shiftIndex(c, op.Shift.ID)
	if i < 0 {
		return shiftConflict(c, i, op, op.Shift.Expect, nil)
	}
	s := c.Shifts[i]
	if s.Revision != op.Shift.Expect && !acceptsAnyRevision(op) {
		return shiftConflict(c, i, op, op.Shift.Expect, nil)
	}
	var err error
	switch op.Kind {
	case KindApprove:
		err = approve(&s, op)
	case KindStart:
		err = start(c, &s, now)
	case KindPause:
		err = pause(&s, op)
	case KindResume:
		err = resume(&s)
	case KindRollBack:
		err = rollBack(&s, op)
	}
	if err != nil {
		return err
	}
	putShift(c, i, s)
	return nil
}

// acceptsAnyRevision reports whether op applies to any revision of the entry.
// The runner writes the entry at every step, and an operator who stops a shift
// must not fail because of that.
func acceptsAnyRevision(op Operation) bool {
	return op.Shift.Expect == 0 && (op.Kind == KindPause || op.Kind == KindRollBack)
}

// requireState refuses op unless the shift is in one of the given states.
func requireState(s *catalogue.Shift, op Kind, states ...catalogue.ShiftState) error {
	for _, st := range states {
		if s.State == st {
			return nil
		}
	}
	return refuse(WrongState, "state", "%s needs a shift in state %s, and it is %s", op, joinStates(states), s.State)
}

func joinStates(states []catalogue.ShiftState) string {
	text := string(states[0])
	for _, s := range states[1:] {
		text += " or " + string(s)
	}
	return text
}

func approve(s *catalogue.Shift, op Operation) error {
	if err := requireState(s, op.Kind, catalogue.Draft); err != nil {
		return err
	}
	if s.Class.NeedsSecondOperator() && s.Author == op.Operator {
		return refuse(OwnEntry, "approved_by", "class %s needs another operator than the author %q", s.Class, s.Author)
	}
	s.State = catalogue.Approved
	s.ApprovedBy = op.Operator
	return nil
}

func start(c *catalogue.Catalogue, s *catalogue.Shift, now clock.Time) error {
	if err := requireState(s, KindStart, catalogue.Approved); err != nil {
		return err
	}
	if end := s.Limits.Window.End; !end.IsZero() && !now.Wall().Before(end) {
		return refuse(OutOfWindow, "limits.window.end", "the window ended at %s", end.UTC().Format(time.RFC3339))
	}
	if err := checkOverlap(c, s); err != nil {
		return err
	}
	s.State = catalogue.Running
	s.Share = 0
	s.SteppedAt = 0
	s.Hold = ""
	return nil
}

// checkOverlap refuses a shift that contradicts one that already moves traffic:
// together they would move more than all of a region's traffic, or move traffic
// into a region that is being emptied.
func checkOverlap(c *catalogue.Catalogue, s *catalogue.Shift) error {
	total := int(s.Limits.MaxShare)
	for _, o := range c.Shifts {
		if o.ID == s.ID || !o.State.Moves() || !sameService(o, *s) {
			continue
		}
		if o.From == s.To {
			return refuse(Overlap, "to", "shift %q empties region %q", o.ID, s.To)
		}
		// In an emergency, a region that receives traffic may have to be
		// emptied itself.
		if o.To == s.From && s.Class != catalogue.Emergency {
			return refuse(Overlap, "from", "shift %q moves traffic into region %q", o.ID, s.From)
		}
		if o.From == s.From {
			total += int(o.Limits.MaxShare)
		}
	}
	if total > catalogue.ShareUnit {
		return refuse(Overlap, "limits.max_share", "with the shifts that move already, %d of %d would leave region %q", total, catalogue.ShareUnit, s.From)
	}
	return nil
}

func sameService(a, b catalogue.Shift) bool {
	return a.Service == "" || b.Service == "" || a.Service == b.Service
}

func pause(s *catalogue.Shift, op Operation) error {
	if err := requireState(s, op.Kind, catalogue.Running); err != nil {
		return err
	}
	s.State = catalogue.Paused
	s.Hold = op.Shift.Reason
	return nil
}

func resume(s *catalogue.Shift) error {
	if err := requireState(s, KindResume, catalogue.Paused); err != nil {
		return err
	}
	s.State = catalogue.Running
	s.Hold = ""
	return nil
}

func rollBack(s *catalogue.Shift, op Operation) error {
	if err := requireState(s, op.Kind, catalogue.Running, catalogue.Paused, catalogue.Done); err != nil {
		return err
	}
	s.State = catalogue.RolledBack
	s.Share = 0
	s.Hold = op.Shift.Reason
	return nil
}

// advance records a step of the runner. The runner's plan already respects the
// limits. They are checked again here, at the last point before the write, to
// stop a runner that was paused or is faulty.
func advance(c *catalogue.Catalogue, op Operation, now clock.Time) error {
	a := op.Advance
	if op.Operator != RunnerName {
		return refuse(NotRunner, "operator", "only the shift runner advances a shift")
	}
	i := shiftIndex(c, a.ID)
	if i < 0 || c.Shifts[i].Revision != a.Expect {
		return shiftConflict(c, i, op, a.Expect, nil)
	}
	s := c.Shifts[i]
	if err := checkAdvanceState(&s, op); err != nil {
		return err
	}
	if err := checkAdvanceLimits(s, *a, now); err != nil {
		return err
	}
	s.Share = a.Share
	// If the time of the last step could fall, a faulty runner could raise the
	// share again before the interval is over.
	s.SteppedAt = max(s.SteppedAt, a.SteppedAt)
	s.Hold = a.Hold
	if a.Done {
		s.State = catalogue.Done
	}
	putShift(c, i, s)
	return nil
}

// checkAdvanceState refuses a step of a shift that is not running, unless the step
// lowers the share of a paused or finished one: if the traffic of a client that
// the shift has moved grows, the counted share can exceed the cap, and the
// runner must be able to lower it.
func checkAdvanceState(s *catalogue.Shift, op Operation) error {
	if op.Advance.Share < s.Share && !op.Advance.Done {
		return requireState(s, op.Kind, catalogue.Running, catalogue.Paused, catalogue.Done)
	}
	return requireState(s, op.Kind, catalogue.Running)
}

func checkAdvanceLimits(s catalogue.Shift, a Advance, now clock.Time) error {
	l := s.Limits.WithDefaults()
	switch {
	case a.Share > l.MaxShare:
		return refuse(OverCap, "share", "%d is above max_share %d", a.Share, l.MaxShare)
	case a.Done && a.Share != l.MaxShare:
		return refuse(WrongState, "done", "share %d has not reached max_share %d", a.Share, l.MaxShare)
	case a.Share <= s.Share:
		return nil
	case a.Share-s.Share > l.Step:
		return refuse(OverStep, "share", "a rise from %d to %d is above step %d", s.Share, a.Share, l.Step)
	case !l.Window.Contains(now.Wall()):
		return refuse(OutOfWindow, "limits.window", "%s is outside the window", now.Wall().Format(time.RFC3339))
	case s.SteppedAt != 0 && time.Duration(a.SteppedAt-s.SteppedAt) < time.Duration(l.Interval):
		return refuse(TooSoon, "stepped_at", "%s since the last step, and interval is %s", time.Duration(a.SteppedAt-s.SteppedAt), time.Duration(l.Interval))
	}
	return nil
}
