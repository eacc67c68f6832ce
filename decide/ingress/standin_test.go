package ingress

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

// asked returns the VMs that are asked for a target, and the last ask.
func asked(out *Ready) (to []fleet.VMID, last *Ask) {
	for _, tell := range out.Tells {
		if a, ok := tell.Message.(*Ask); ok {
			to, last = append(to, tell.To), a
		}
	}
	return to, last
}

// standInBench is an entry VM that is the last in line to place the requests of
// its region, behind two others.
func standInBench(t *testing.T) (s *bench, first, second fleet.VMID) {
	t.Helper()
	members := []fleet.VMID{selfVM}
	for i := 0; len(members) < 3; i++ {
		id := fleet.VMID(fmt.Sprint("vm-", i))
		if rank.Score("svc", string(id)) > rank.Score("svc", string(selfVM)) {
			members = append(members, id)
		}
	}
	s = newBench(t, Bounds{}, members...)
	line := s.r.line("r1", "svc")
	s.configure(1, one("a"))
	s.target("t1", "d1", 9)
	s.target("t2", "d1", 9)
	return s, line[0], line[1]
}

// silence has the first request find out that the coordinator is silent.
func (s *bench) silence() {
	_, ask := asked(s.step(&Arrive{Request: 1, Host: "h", Path: "/a/x"}))
	s.now = s.now.Add(ask.Wait + askTimeout)
	s.step(&Tick{})
}

// Symptom: targets refuse requests and work on cold objects beside idle ones, for
// as long as the lease of a coordinator that has died goes on.
// Sequence: a coordinator dies; every entry VM of its region finds out by
// itself and places its own requests.
// Cause: none of them counts what the others have placed.
func TestTheNextInLineStandsInForASilentCoordinator(t *testing.T) {
	is := is.New(t)
	s, first, second := standInBench(t)
	to, _ := asked(s.step(&Arrive{Request: 100, Host: "h", Path: "/a/x"}))
	is.Equal(to, []fleet.VMID{first})
	s.silence()
	to, ask := asked(s.step(&Arrive{Request: 2, Host: "h", Path: "/a/x"}))
	is.Equal(to, []fleet.VMID{second})
	out := s.step(&Heard{From: second, Message: &Grant{ID: ask.ID, Target: "t1"}})
	is.Equal(len(out.Sends), 1)
}

// Symptom: a part of a region's requests waits for a coordinator that has died,
// each second anew.
// Sequence: a coordinator is silent; after a while all requests are put to it
// again, and wait until the first of them gives it up.
// Cause: it was tried with every request, not with one.
func TestASilentCoordinatorIsTriedWithOneRequest(t *testing.T) {
	is := is.New(t)
	s, first, second := standInBench(t)
	s.silence()
	s.now = s.now.Add(avoidFor)
	to, _ := asked(s.step(&Arrive{Request: 2, Host: "h", Path: "/a/x"}))
	is.Equal(to, []fleet.VMID{first})
	to, _ = asked(s.step(&Arrive{Request: 3, Host: "h", Path: "/a/x"}))
	is.Equal(to, []fleet.VMID{second})

	// The caller of the one request leaves: the next one tries.
	s.step(&CallerGone{Request: 2})
	to, probe := asked(s.step(&Arrive{Request: 4, Host: "h", Path: "/a/x"}))
	is.Equal(to, []fleet.VMID{first})

	// It answers, and is the coordinator again.
	s.step(&Heard{From: first, Message: &Grant{ID: probe.ID, Target: "t1"}})
	for id := range RequestID(3) {
		to, _ = asked(s.step(&Arrive{Request: 10 + id, Host: "h", Path: "/a/x"}))
		is.Equal(to, []fleet.VMID{first})
	}
}

// A VM that comes back under its ID, or is listed anew, is asked at once.
func TestAListedCoordinatorIsAsked(t *testing.T) {
	is := is.New(t)
	s, first, second := standInBench(t)
	s.silence()
	var without []fleet.VM
	for _, vm := range s.r.members {
		if vm.ID != first {
			without = append(without, vm)
		}
	}
	with := s.r.members
	s.step(&MembersChanged{VMs: without})
	to, _ := asked(s.step(&Arrive{Request: 2, Host: "h", Path: "/a/x"}))
	is.Equal(to, []fleet.VMID{second})
	s.step(&MembersChanged{VMs: with})
	to, _ = asked(s.step(&Arrive{Request: 3, Host: "h", Path: "/a/x"}))
	is.Equal(to, []fleet.VMID{first})
}
