package store

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/standin/platform"
)

// session is a golden session of daemons that share the duty to advance one
// running shift.
type session struct {
	f       *fixture
	runners map[string]*runner
	ops     int
}

// runner is one daemon of a session.
type runner struct {
	view   *platform.View
	duty   *Duty
	writer *Writer
	seen   uint64 // revision of the shift when it was last read
}

func newSession(is *is.I) *session {
	s := &session{f: newFixture(), runners: map[string]*runner{}}
	running := &catalogue.Catalogue{
		Revision: 1,
		Services: []catalogue.Service{{Name: "calc-lookup", Priority: catalogue.Interactive, Revision: 1}},
		Shifts: []catalogue.Shift{{
			ID: "drain", Owner: "statikos", Author: "eleni", Class: catalogue.Emergency,
			Service: "calc-lookup", From: "attiki", To: "kriti", State: catalogue.Running, ApprovedBy: "eleni",
			Limits: catalogue.Limits{MaxShare: 5000}, Revision: 1, Generation: 1,
		}},
	}
	_, _, err := s.f.writer.Restore(context.Background(), running)
	is.NoErr(err)
	s.f.base = config.Base{Catalogue: running, Floor: 1}
	return s
}

func (s *session) runner(name string) *runner {
	r, ok := s.runners[name]
	if !ok {
		r = &runner{view: s.f.server.Store()}
		r.duty = NewDuty(DutyOptions{Store: r.view, Key: ShiftDuty, Now: s.f.clock.Now, Holder: fleet.VMID(name)})
		r.writer = s.f.newWriter(r.view)
		s.runners[name] = r
	}
	return r
}

// run executes one command and returns its output.
func (s *session) run(d *datadriven.TestData) string {
	if d.Cmd == "pass" {
		return s.pass(d)
	}
	var name string
	d.ScanArgs(&testing.T{}, "vm", &name)
	r := s.runner(name)
	switch d.Cmd {
	case "step":
		next := r.duty.Step(context.Background())
		return fmt.Sprintf("held=%v next=%v\n", r.duty.Held(), next)
	case "look":
		h, err := readHead(context.Background(), r.view)
		if err != nil {
			return err.Error() + "\n"
		}
		shift, _ := h.Catalogue.Shift("drain")
		r.seen = shift.Revision
		return fmt.Sprintf("held=%v revision=%d share=%d\n", r.duty.Held(), shift.Revision, shift.Share)
	case "advance":
		return s.advance(r, d)
	case "cut":
		r.view.SetOutage(platform.Refusing)
		return "no platform\n"
	case "heal":
		r.view.SetOutage(platform.Up)
		return "platform\n"
	default:
		return "unknown command\n"
	}
}

func (s *session) pass(d *datadriven.TestData) string {
	var text string
	d.ScanArgs(&testing.T{}, "time", &text)
	span, err := time.ParseDuration(text)
	if err != nil {
		return err.Error() + "\n"
	}
	s.f.clock.Advance(span)
	s.f.server.ApplyDue()
	return "ok\n"
}

// advance writes a step as a runner would that has just checked Held.
func (s *session) advance(r *runner, d *datadriven.TestData) string {
	var share int
	d.ScanArgs(&testing.T{}, "share", &share)
	s.ops++
	op := change.Operation{
		ID:       opID(s.ops),
		Operator: change.RunnerName,
		Kind:     change.KindAdvance,
		Advance: &change.Advance{
			ID: "drain", Expect: r.seen, Share: catalogue.Share(share), SteppedAt: int64(s.f.clock.Now()),
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	a, err := r.writer.Change(ctx, op)
	var c *change.Conflict
	switch {
	case errors.As(err, &c):
		return fmt.Sprintf("conflict: expects %d, is %d at share %d\n", c.Expect, c.Found, c.CurrentShift.Share)
	case err != nil:
		return strings.SplitN(err.Error(), ":", 2)[0] + "\n"
	}
	return fmt.Sprintf("accepted at %d\n", a.Revision)
}

// Guards against a traffic shift that takes two steps at once: the daemon that
// advances it is paused past its lease, another one takes over and advances,
// and the first resumes in the middle of its step. Its write must be fenced, as
// it does not know yet that its lease has lapsed.
func TestDutySessions(t *testing.T) {
	datadriven.Walk(t, "testdata/duty", func(t *testing.T, path string) {
		s := newSession(is.New(t))
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

// Guards against a holder that stops without releasing its duty: nobody would
// do the duty until the lease lapses.
func TestRunReleasesTheDuty(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	d := NewDuty(DutyOptions{Store: f.view, Key: ShiftDuty, Now: f.clock.Now, Holder: "a"})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	for !d.Held() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	is.True(!d.Held())
	e, err := f.view.Get(t.Context(), ShiftDuty)
	is.NoErr(err)
	is.Equal(string(e.Lease), "")
}

// Guards against traffic shifts that stand still for the time of a lease after
// the daemon that ran them begins to leave: it is no longer eligible but kept
// its lease, because eligibility was checked only when the duty was acquired,
// and the next candidate finds the duty taken.
func TestDutyGivenUpWhenNotEligible(t *testing.T) {
	is := is.New(t)
	s := newSession(is)
	eligible := true
	first := NewDuty(DutyOptions{
		Store: s.f.server.Store(), Key: ShiftDuty, Now: s.f.clock.Now, Holder: "a",
		Eligible: func() bool { return eligible },
	})
	first.Step(context.Background())
	is.True(first.Held())
	eligible = false
	first.Step(context.Background())
	is.True(!first.Held())
	second := s.runner("b").duty
	second.Step(context.Background())
	is.True(second.Held()) // without waiting for the lease to lapse
}
