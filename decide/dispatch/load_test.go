package dispatch

import (
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/matryer/is"
)

// Symptom: a shift of traffic is judged harmful while the caches it needs fill.
// Sequence: a2 appears while a1 is in use, answers until it has all its slots.
// Cause: the load didn't say that slow answers and missing slots are those of a
// cold start.
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
