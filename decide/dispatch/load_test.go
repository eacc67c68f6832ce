package dispatch

import (
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/matryer/is"
)

// While the caches of a new target fill, its answers are slow and some of its
// slots are not used. If the load didn't report this, a traffic shift that adds
// such targets would appear harmful. Here a2 appears while a1 is in use, and
// answers until it has all its slots.
func TestWarming(t *testing.T) {
	is := is.New(t)
	s := New(Options{VM: "self", PanicOnViolation: true, Audit: true})
	now := clock.Time(time.Second)
	var out Ready
	step := func(ev Event) {
		out.Reset()
		s.Step(now, ev, &out)
		now = now.Add(10 * time.Millisecond)
	}
	targets := []fleet.Target{{ID: "a1", Service: "calc", Slots: 3}}
	step(&Services{List: []catalogue.Service{{Name: "calc", Idempotent: true}}})
	step(&Targets{List: targets})
	is.True(!s.AppendLoads(nil)[0].Warming)

	targets = append(targets, fleet.Target{ID: "a2", Service: "calc", Slots: 3})
	step(&Targets{List: targets})
	is.True(s.AppendLoads(nil)[0].Warming)
	for req := RequestID(1); req <= 30; req++ {
		step(&Arrive{Req: req, Service: "calc", Block: uint64(req)})
		step(&Answered{Req: req, Attempt: out.Sends[0].Attempt, Status: 200})
	}
	is.True(!s.AppendLoads(nil)[0].Warming)
}
