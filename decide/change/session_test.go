package change

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// session is the state of a golden session: one store with compare-and-swap, and
// the catalogue that each operator has read from it last.
type session struct {
	store catalogue.Catalogue
	read  map[string]catalogue.Catalogue
	now   clock.Time
}

// TestSessions runs the golden sessions under testdata.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{
			read: map[string]catalogue.Catalogue{},
			now:  clock.FromWall(time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC)),
		}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	var by, after string
	d.MaybeScanArgs(t, "by", &by)
	d.MaybeScanArgs(t, "after", &after)
	if after != "" {
		step, err := time.ParseDuration(after)
		if err != nil {
			d.Fatalf(t, "after: %v", err)
		}
		s.now = s.now.Add(step)
	}
	switch d.Cmd {
	case "read":
		s.read[by] = s.store
		return fmt.Sprintf("%s has revision %d", by, s.store.Revision)
	case "show":
		return s.show()
	}
	return s.applyAndSwap(operationOf(t, d, by))
}

// applyAndSwap handles an operation as the daemon does: it applies it to the
// catalogue that it has read and swaps, and if the swap fails, applies the
// operation to the newest catalogue.
func (s *session) applyAndSwap(op Operation) string {
	var out strings.Builder
	base := s.store
	if c, ok := s.read[op.Operator]; ok {
		base = c
		delete(s.read, op.Operator)
	}
	next, err := Apply(base, op, s.now)
	if err == nil && base.Revision != s.store.Revision {
		fmt.Fprintf(&out, "swap of revision %d lost to %d, applied again\n", base.Revision, s.store.Revision)
		next, err = Apply(s.store, op, s.now)
	}
	if err != nil {
		fmt.Fprintln(&out, err)
		if c, ok := err.(*Conflict); ok {
			out.WriteString(conflictVersions(c))
		}
		return out.String()
	}
	s.store = next
	fmt.Fprintf(&out, "accepted at revision %d", next.Revision)
	return out.String()
}

func conflictVersions(c *Conflict) string {
	var out strings.Builder
	if y := c.YourShift; y != nil {
		fmt.Fprintf(&out, "yours: to=%s max=%d\n", y.To, y.Limits.MaxShare)
	}
	if n := c.CurrentShift; n != nil {
		fmt.Fprintf(&out, "current: to=%s max=%d by=%s state=%s\n", n.To, n.Limits.MaxShare, n.Author, n.State)
	}
	return out.String()
}

func (s *session) show() string {
	var out strings.Builder
	fmt.Fprintf(&out, "revision %d\n", s.store.Revision)
	for _, x := range s.store.Shifts {
		fmt.Fprintf(&out, "%s@%d gen=%d %s max=%d share=%d author=%s approved_by=%s hold=%q\n",
			x.ID, x.Revision, x.Generation, x.State, x.Limits.MaxShare, x.Share, x.Author, x.ApprovedBy, x.Hold)
	}
	return out.String()
}

func operationOf(t *testing.T, d *datadriven.TestData, by string) Operation {
	var id, to, class, reason, hold string
	var expect, limit, share, stepped int
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "to", &to)
	d.MaybeScanArgs(t, "class", &class)
	d.MaybeScanArgs(t, "reason", &reason)
	d.MaybeScanArgs(t, "hold", &hold)
	d.MaybeScanArgs(t, "expect", &expect)
	d.MaybeScanArgs(t, "max", &limit)
	d.MaybeScanArgs(t, "share", &share)
	d.MaybeScanArgs(t, "stepped", &stepped) // seconds
	op := Operation{ID: "op", Operator: by, Kind: Kind(d.Cmd)}
	e := Entry{
		ID: id, Owner: "team", Class: catalogue.Class(class), From: "attiki", To: fleet.Region(to),
		Limits: catalogue.Limits{MaxShare: catalogue.Share(limit)},
	}
	switch op.Kind {
	case KindAddShift:
		op.AddShift = &AddShift{Entry: e}
	case KindChangeShift:
		op.ChangeShift = &ChangeShift{Entry: e, Expect: uint64(expect)}
	case KindAdvance:
		op.Advance = &Advance{
			ID: id, Expect: uint64(expect), Share: catalogue.Share(share), Hold: hold,
			SteppedAt: int64(stepped) * int64(time.Second), Done: d.HasArg("done"),
		}
	default:
		op.Shift = &ShiftRef{ID: id, Expect: uint64(expect), Reason: reason}
	}
	return op
}
