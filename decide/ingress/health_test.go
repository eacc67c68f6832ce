package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
)

// healthHarness has targets in both regions, whose service has a health page and bears two
// requests a second while cold.
func healthHarness(t *testing.T, members ...fleet.VMID) *harness {
	s := newHarness(t, Bounds{ColdFactor: 1, ColdSlack: 2}, members...)
	rt := idempotentRoute("a")
	rt.Host = "h"
	s.step(&Configured{Table: route.NewTable(&route.Config{
		Version: 1, Routes: []route.Route{rt},
		Services: map[fleet.ServiceName]route.Service{"svc": {Name: "svc", HealthPath: "/health", ColdRate: 2, ColdTime: 3 * time.Second}},
	})})
	s.step(&TargetsChanged{Updated: []Target{
		{ID: "t1", Service: "svc", Domain: "d1", Slots: 9, Addr: "a:1", StartedAt: 5},
		{ID: "t2", Service: "svc", Domain: "far", Slots: 9, Addr: "a:2", StartedAt: 5},
		{ID: "t3", Service: "svc", Domain: "d1", Slots: 9, Addr: "a:3", StartedAt: 5, Draining: true},
	}})
	return s
}

// Guards against targets that are asked for nothing: those that get no requests, those of
// other regions, and all of them by VMs that place no requests there.
func TestHealthIsCheckedByTheCoordinator(t *testing.T) {
	is := is.New(t)
	out := healthHarness(t, selfVM).step(&StoreSilent{})
	is.Equal(len(out.HealthChecks), 1)
	is.Equal(out.HealthChecks[0].Target, fleet.TargetID("t1"))
	is.Equal(out.HealthChecks[0].Path, "/health")
	is.True(out.HealthChecks[0].ConnectTimeout > 0)
	is.Equal(len(healthHarness(t, otherVM).step(&StoreSilent{}).HealthChecks), 0)
}

// Guards against a target that crashes under more requests than it bears while cold: it becomes
// cold while the store is silent, and only its health page says so.
func TestTargetThatStatesToBeColdIsSpared(t *testing.T) {
	for name, learn := range map[string]func(s *harness) *Ready{
		"from its page": func(s *harness) *Ready { return s.step(&HealthRead{Target: "t1", StartedAt: 5, Cold: 2 * time.Second}) },
		"from another VM": func(s *harness) *Ready {
			return s.step(&IncomingMessage{From: otherVM, Message: &TargetCold{Target: "t1", StartedAt: 5, Left: 2 * time.Second}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := healthHarness(t, selfVM)
			s.step(&TargetsChanged{Removed: []fleet.TargetID{"t2"}})
			sendsInASecond := func() int {
				n := 0
				for id := s.last + 1; id <= s.last+50; id++ {
					for _, e := range s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"}).Sends {
						n++
						s.step(&Answered{Attempt: e.Attempt, Outcome: Served})
					}
					s.now = s.now.Add(20 * time.Millisecond)
				}
				s.last += 50
				return n
			}
			is.True(sendsInASecond() > 4)
			learn(s)
			is.True(s.r.targets["t1"].cold(s.now))
			is.True(sendsInASecond() <= 4)
		})
	}
}

// Guards against VMs that learn of it only once they have read the page themselves, and against
// messages without end.
func TestColdTargetIsAnnouncedOnce(t *testing.T) {
	is := is.New(t)
	s := healthHarness(t, selfVM)
	s.step(&MembersChanged{VMs: []fleet.VM{
		{ID: selfVM, Domain: "d1", Region: "r1"}, {ID: otherVM, Domain: "d1", Region: "r1"},
		{ID: "far-1", Domain: "far", Region: "r2"},
	}})
	read := &HealthRead{Target: "t1", StartedAt: 5, Cold: 2 * time.Second}
	out := s.step(read)
	is.Equal(len(out.Messages), 2) // to the other VM, and to the coordinator of the other region
	is.Equal(len(out.StateChanges), 1)
	is.Equal(len(s.step(read).Messages), 0)
}

// Guards against a target that is spared for ever: it states that it is cold for longer than
// targets of its service are.
func TestStatedColdTimeIsBounded(t *testing.T) {
	is := is.New(t)
	s := healthHarness(t, selfVM)
	s.step(&HealthRead{Target: "t1", StartedAt: 5, Cold: time.Hour})
	is.True(s.r.targets["t1"].cold(s.now))
	s.advance(3 * time.Second)
	is.True(!s.r.targets["t1"].cold(s.now))
}

// Guards against a target that is spared for the answer of its earlier start.
func TestHealthOfAnEarlierStartIsIgnored(t *testing.T) {
	is := is.New(t)
	s := healthHarness(t, selfVM)
	s.step(&HealthRead{Target: "t1", StartedAt: 4, Cold: 2 * time.Second})
	is.True(!s.r.targets["t1"].cold(s.now))
	s.step(&HealthRead{Target: "t1", StartedAt: 5})
	is.True(!s.r.targets["t1"].cold(s.now))
}
