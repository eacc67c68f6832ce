package dispatch

import (
	"testing"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/matryer/is"
)

func TestCommonPath(t *testing.T) {
	is := is.New(t)
	s := New(Options{Panic: true, Audit: true})
	var out Ready
	s.Step(1, &Services{List: []catalogue.Service{{Name: "a", Idempotent: true, Priority: catalogue.Interactive}}}, &out)
	s.Step(1, &Targets{List: []fleet.Target{{ID: "t1", Service: "a", Slots: 3, Connections: 330}}}, &out)
	s.Step(2, &Arrive{Req: 1, Service: "a"}, &out)
	is.Equal(len(out.Sends), 1)
	s.Step(3, &Answered{Req: 1, Attempt: out.Sends[0].Attempt}, &out)
	is.Equal(len(out.Delivers), 1)
	is.Equal(s.Pending(), 0)
}
