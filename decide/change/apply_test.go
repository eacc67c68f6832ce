package change

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

var startTime = clock.FromWall(time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC))

// sampleCatalogue returns a catalogue with a service in use, an unused one, and
// shifts in the states that the tests below need.
func sampleCatalogue() catalogue.Catalogue {
	shift := func(id string, st catalogue.ShiftState, from, to fleet.Region, maxShare catalogue.Share) catalogue.Shift {
		return catalogue.Shift{
			ID: id, Owner: "team", Author: "ana", Class: catalogue.Rehearsal, Service: "lookup",
			From: from, To: to, Limits: catalogue.Limits{MaxShare: maxShare}, State: st, Revision: 5,
		}
	}
	ended := shift("ended", catalogue.Approved, "hye", "", 100)
	ended.Limits.Window.End = startTime.Wall()
	later := shift("later", catalogue.Running, "hye", "", 100)
	later.Limits.Window.Start = startTime.Wall().Add(time.Hour)
	alarm := shift("alarm", catalogue.Approved, "kriti", "", 3000)
	alarm.Class = catalogue.Emergency
	return catalogue.Catalogue{
		Revision: 9,
		Services: []catalogue.Service{{Name: "lookup", Revision: 3}, {Name: "spare", Revision: 4}},
		Shifts: []catalogue.Shift{
			shift("draft", catalogue.Draft, "attiki", "kriti", 3000),
			shift("moving", catalogue.Running, "attiki", "kriti", 8000),
			shift("beside", catalogue.Approved, "attiki", "makedonia", 3000),
			shift("back", catalogue.Approved, "makedonia", "attiki", 3000),
			shift("onward", catalogue.Approved, "kriti", "makedonia", 3000),
			alarm, ended, later,
		},
	}
}

func shiftOperation(kind Kind, id string, expect uint64) Operation {
	return Operation{ID: "op", Operator: "ben", Kind: kind, Shift: &ShiftRef{ID: id, Expect: expect}}
}

func advanceOperation(id string, share catalogue.Share) Operation {
	return Operation{ID: "op", Operator: RunnerName, Kind: KindAdvance, Advance: &Advance{ID: id, Expect: 5, Share: share, SteppedAt: int64(startTime)}}
}

func TestApplyRefuses(t *testing.T) {
	own := shiftOperation(KindApprove, "draft", 5)
	own.Operator = "ana"
	remove := Operation{ID: "op", Operator: "ben", Kind: KindRemoveService, RemoveService: &RemoveService{Name: "lookup", Expect: 3}}
	for _, c := range []struct {
		name  string
		op    Operation
		code  Code
		field string
	}{
		{"approval by the author", own, OwnEntry, "approved_by"},
		{"start of a draft", shiftOperation(KindStart, "draft", 5), WrongState, "state"},
		{"resume of a running shift", shiftOperation(KindResume, "moving", 5), WrongState, "state"},
		{"removal of a running shift", shiftOperation(KindRemove, "moving", 5), WrongState, "state"},
		{"roll-back of a draft", shiftOperation(KindRollBack, "draft", 0), WrongState, "state"},
		{"more than the whole region", shiftOperation(KindStart, "beside", 5), Overlap, "limits.max_share"},
		{"into a region being emptied", shiftOperation(KindStart, "back", 5), Overlap, "to"},
		{"out of a region being filled", shiftOperation(KindStart, "onward", 5), Overlap, "from"},
		{"start after the window", shiftOperation(KindStart, "ended", 5), OutOfWindow, "limits.window.end"},
		{"step before the window", advanceOperation("later", 10), OutOfWindow, "limits.window"},
		{"step above the cap", advanceOperation("moving", 8001), OverCap, "share"},
		{"step too large", advanceOperation("moving", 501), OverStep, "share"},
		{"service in use", remove, InUse, "service"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Apply(sampleCatalogue(), c.op, startTime)
			var r *Refused
			is.True(errors.As(err, &r))
			is.Equal(r.Code, c.code)
			is.Equal(r.Field, c.field)
		})
	}
	t.Run("an emergency may empty a region being filled", func(t *testing.T) {
		is := is.New(t)
		_, err := Apply(sampleCatalogue(), shiftOperation(KindStart, "alarm", 5), startTime)
		is.NoErr(err)
	})
}

func TestApplyFindsConflicts(t *testing.T) {
	put := func(name fleet.ServiceName, expect uint64) Operation {
		return Operation{ID: "op", Operator: "ben", Kind: KindPutService, PutService: &PutService{Service: catalogue.Service{Name: name}, Expect: expect}}
	}
	for _, c := range []struct {
		name  string
		op    Operation
		found uint64
	}{
		{"service there already", put("lookup", 0), 3},
		{"service changed", put("lookup", 2), 3},
		{"service gone", put("other", 2), 0},
		{"shift changed", shiftOperation(KindApprove, "draft", 4), 5},
		{"approval without a version", shiftOperation(KindApprove, "draft", 0), 5},
		{"shift gone", shiftOperation(KindPause, "other", 0), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Apply(sampleCatalogue(), c.op, startTime)
			var e *Conflict
			is.True(errors.As(err, &e))
			is.Equal(e.Found, c.found)
			is.Equal(c.found != 0, e.CurrentShift != nil || e.CurrentService != nil)
		})
	}
}

func TestApplyListsEveryInvalidField(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", MaxNameLen+1)
	op := Operation{ID: "op", Operator: "ana", Kind: KindAddShift, AddShift: &AddShift{Entry: Entry{
		ID: "March!", Owner: long, Class: "trial", Service: "unknown", From: "attiki", To: "attiki",
		Limits: catalogue.Limits{
			MaxShare: 10001, Step: 10002, MinHeadroom: 10001, MaxErrorShare: 10001,
			Interval: catalogue.Duration(MaxInterval + 1), MaxP99: -1,
			Window: catalogue.Window{Start: startTime.Wall(), End: startTime.Wall()},
		},
	}}}
	_, err := Apply(sampleCatalogue(), op, startTime)
	var e *Invalid
	is.True(errors.As(err, &e))
	var paths []string
	for _, f := range e.Fields {
		paths = append(paths, f.Path)
	}
	is.Equal(strings.Join(paths, " "), "id owner class service to limits.max_share limits.step "+
		"limits.min_headroom limits.max_error_share limits.interval limits.max_p99 limits.window.end")

	op.Shift = &ShiftRef{}
	op.ID, op.Operator = "", long
	_, err = Apply(sampleCatalogue(), op, startTime)
	is.Equal(err.Error(), `invalid: id: must be 1 to 64 characters; operator: must be 1 to 64 characters; kind: "add-shift" needs its own payload and no other`)
}

// TestApplyKeepsInvariants applies random operations and checks after each that
// the input is unmodified, that an accepted change has the next revision, that
// no share exceeds its cap, and that only shifts with the required approval move
// traffic.
func TestApplyKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := sampleCatalogue()
		c.Shifts = nil
		now := startTime
		for range 60 {
			op := drawOperation(t, c)
			before, _ := json.Marshal(c)
			next, err := Apply(c, op, now)
			after, _ := json.Marshal(c)
			if string(before) != string(after) {
				t.Fatalf("%+v changed its input:\n%s\n%s", op, before, after)
			}
			if err != nil && !reflect.DeepEqual(next, c) {
				t.Fatalf("%+v failed with %v and returned another catalogue than its input", op, err)
			}
			if err == nil && next.Revision != c.Revision+1 {
				t.Fatalf("revision %d follows revision %d, not the next one", next.Revision, c.Revision)
			}
			c = next
			for _, s := range c.Shifts {
				checkShift(t, s)
			}
			now = now.Add(20 * time.Second)
		}
	})
}

func checkShift(t *rapid.T, s catalogue.Shift) {
	if s.Share > s.Limits.MaxShare || (s.Share > 0 && !s.State.Moves()) {
		t.Fatalf("shift %s in state %s has share %d, max_share is %d", s.ID, s.State, s.Share, s.Limits.MaxShare)
	}
	if s.State == catalogue.Draft {
		return
	}
	if s.ApprovedBy == "" || (s.Class.NeedsSecondOperator() && s.ApprovedBy == s.Author) {
		t.Fatalf("shift %s is %s, with author %q and approval by %q", s.ID, s.State, s.Author, s.ApprovedBy)
	}
}

// drawOperation draws an operation that the catalogue often, but not always,
// accepts.
func drawOperation(t *rapid.T, c catalogue.Catalogue) Operation {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
	op := Operation{ID: "op", Operator: rapid.SampledFrom([]string{"ana", "ben"}).Draw(t, "by")}
	op.Kind = rapid.SampledFrom([]Kind{
		KindAddShift, KindChangeShift, KindApprove, KindApprove, KindStart, KindStart, KindPause,
		KindResume, KindRollBack, KindRemove, KindAdvance, KindAdvance, KindAdvance,
	}).Draw(t, "kind")
	s, _ := c.Shift(id)
	expect := s.Revision
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		expect = 0
	}
	e := Entry{ID: id, Owner: "team", From: "attiki", To: "kriti"}
	e.Class = rapid.SampledFrom([]catalogue.Class{catalogue.Rehearsal, catalogue.Emergency}).Draw(t, "class")
	e.Limits.MaxShare = catalogue.Share(rapid.IntRange(0, 2000).Draw(t, "max"))
	switch op.Kind {
	case KindAddShift:
		op.AddShift = &AddShift{Entry: e}
	case KindChangeShift:
		op.ChangeShift = &ChangeShift{Entry: e, Expect: expect}
	case KindAdvance:
		op.Operator = RunnerName
		share := int(s.Share) + rapid.IntRange(-200, 700).Draw(t, "rise")
		op.Advance = &Advance{
			ID: id, Expect: expect, Share: catalogue.Share(max(share, 0)),
			SteppedAt: s.SteppedAt + int64(40*time.Second), Done: rapid.Bool().Draw(t, "done"),
		}
	default:
		op.Shift = &ShiftRef{ID: id, Expect: expect}
	}
	return op
}

func TestOperationSurvivesJSON(t *testing.T) {
	is := is.New(t)
	for _, op := range []Operation{shiftOperation(KindPause, "a", 3), advanceOperation("a", 7)} {
		raw, err := json.Marshal(op)
		is.NoErr(err)
		var back Operation
		is.NoErr(json.Unmarshal(raw, &back))
		is.Equal(back, op)
	}
}

// A faulty runner writes an unchanged share with an earlier stepped_at, then a
// rise. Guards against counting the interval from that earlier time, which would
// allow two rises within one interval.
func TestStepTimeNeverFalls(t *testing.T) {
	is := is.New(t)
	first := advanceOperation("moving", 300)
	c, err := Apply(sampleCatalogue(), first, startTime)
	is.NoErr(err)
	hold := advanceOperation("moving", 300)
	hold.Advance.Expect = c.Revision
	hold.Advance.SteppedAt = 0
	c, err = Apply(c, hold, startTime)
	is.NoErr(err)
	rise := advanceOperation("moving", 400)
	rise.Advance.Expect = c.Revision
	rise.Advance.SteppedAt = first.Advance.SteppedAt + int64(time.Second)
	_, err = Apply(c, rise, startTime)
	var r *Refused
	is.True(errors.As(err, &r))
	is.Equal(r.Code, TooSoon)
}
