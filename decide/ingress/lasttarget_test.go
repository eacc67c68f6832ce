package ingress

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Guards against late answers and full targets after each of several restarts of
// entry VMs in turn: for two seconds half of a region's answers were late,
// although its targets still remembered the objects. Only the coordinator knew
// where objects are warm, and its successor did not.
func TestASuccessorLearnsWhereObjectsAreWarm(t *testing.T) {
	is := is.New(t)
	const objects = 20
	start := func(members ...fleet.VMID) *harness {
		s := newHarness(t, Bounds{}, members...)
		s.configure(1, idempotentRoute("a"))
		for i := range 4 {
			s.target(fleet.TargetID(fmt.Sprint("t", i)), "d1", 3)
		}
		return s
	}

	// An entry VM asks a coordinator that has distributed the objects, and gets
	// answers.
	entry := start(otherVM)
	var last []PlacementRequest
	place := func(i int) fleet.TargetID { return fleet.TargetID(fmt.Sprint("t", i%4)) }
	for round := range 2 {
		last = last[:0]
		for i := range objects {
			out := entry.step(&Arrive{
				Request: RequestID(round*objects + i + 1), Host: "h", Path: "/a/x", Object: fmt.Sprint("o", i),
			})
			req := out.Messages[0].Message.(*PlacementRequest)
			last = append(last, *req)
			out = entry.step(&IncomingMessage{From: otherVM, Message: &Grant{ID: req.ID, Target: place(i)}})
			entry.step(&Answered{Attempt: out.Sends[0].Attempt, Outcome: Served})
		}
	}

	successor := start(selfVM, otherVM)
	for i := range objects {
		is.Equal(last[i].LastTarget, place(i))
		out := successor.step(&IncomingMessage{From: otherVM, Message: &last[i]})
		is.Equal(out.Messages[0].Message.(*Grant).Target, place(i))
	}
}

// Guards against cold starts at a target that restarted under the same ID: the
// last target of an object was remembered by ID only.
func TestLastTargetIsDroppedAfterARestart(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, Bounds{}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.registerInstance("t1", 1000, 0)
	s.serve(1, "/a/x", "o", workWarm)
	svc := s.r.services["svc"]
	is.Equal(s.r.lastTargetFor(s.now, svc, "o"), fleet.TargetID("t1"))
	s.registerInstance("t1", 2000, 0)
	is.Equal(s.r.lastTargetFor(s.now, svc, "o"), fleet.TargetID(""))
	s.serve(2, "/a/x", "o", workWarm)
	is.Equal(s.r.lastTargetFor(s.now, svc, "o"), fleet.TargetID("t1"))
	s.now = s.now.Add(warmTTL)
	is.Equal(s.r.lastTargetFor(s.now, svc, "o"), fleet.TargetID("")) // too long ago
}
