package ingress

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Pattern: entry VMs are restarted in turn, and with each the objects of a
// service lose their coordinator.
//
// Symptom: for two seconds after each restart half of a region's answers are
// late, and its targets are full, although they remember the objects.
// Sequence: the coordinator ends; its successor has never placed an object.
// Cause: where objects are warm was known to the coordinator alone.
func TestASuccessorLearnsWhereObjectsAreWarm(t *testing.T) {
	is := is.New(t)
	const objects = 20
	start := func(members ...fleet.VMID) *bench {
		s := newBench(t, Bounds{}, members...)
		s.configure(1, one("a"))
		for i := range 4 {
			s.target(fleet.TargetID(fmt.Sprint("t", i)), "d1", 3)
		}
		return s
	}

	// An entry VM asks a coordinator that has spread the objects by its own
	// knowledge, and is served.
	entry := start(otherVM)
	var last []Ask
	place := func(i int) fleet.TargetID { return fleet.TargetID(fmt.Sprint("t", i%4)) }
	for round := range 2 {
		last = last[:0]
		for i := range objects {
			out := entry.step(&Arrive{
				Request: RequestID(round*objects + i + 1), Host: "h", Path: "/a/x", Object: fmt.Sprint("o", i),
			})
			ask := out.Tells[0].Message.(*Ask)
			last = append(last, *ask)
			out = entry.step(&Heard{From: otherVM, Message: &Grant{ID: ask.ID, Target: place(i)}})
			entry.step(&Answered{Attempt: out.Sends[0].Attempt, Outcome: Served})
		}
	}

	successor := start(selfVM, otherVM)
	for i := range objects {
		is.Equal(last[i].Recalled, place(i))
		out := successor.step(&Heard{From: otherVM, Message: &last[i]})
		is.Equal(out.Tells[0].Message.(*Grant).Target, place(i))
	}
}

// Symptom: objects are handled from cold where a target has started again.
// Sequence: the target that an entry VM recalls ends; a new start has its ID.
// Cause: the place was recalled by the ID.
func TestAnEndedStartIsNotRecalled(t *testing.T) {
	is := is.New(t)
	s := newBench(t, Bounds{}, selfVM)
	s.configure(1, one("a"))
	s.start("t1", 1000, 0)
	s.serve(1, "/a/x", "o", workWarm)
	svc := s.r.services["svc"]
	is.Equal(s.r.recalledAt(s.now, svc, "o"), fleet.TargetID("t1"))
	s.start("t1", 2000, 0)
	is.Equal(s.r.recalledAt(s.now, svc, "o"), fleet.TargetID(""))
	s.serve(2, "/a/x", "o", workWarm)
	is.Equal(s.r.recalledAt(s.now, svc, "o"), fleet.TargetID("t1"))
	s.now = s.now.Add(warmFor)
	is.Equal(s.r.recalledAt(s.now, svc, "o"), fleet.TargetID("")) // too long ago
}
