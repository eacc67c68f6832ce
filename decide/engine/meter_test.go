package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Guards against a shift that is held because of errors at a region whose
// callers all get answers. Entry VMs elsewhere forward requests to the region,
// which has no free slot and refuses them, and they are served elsewhere. Such a
// refused forward must not count as a failed answer.
func TestRefusedForwardIsNoError(t *testing.T) {
	for _, c := range []struct {
		hops   uint8
		errors catalogue.Share
	}{{0, catalogue.ShareUnit}, {1, 0}} {
		is := is.New(t)
		now := clock.FromWall(time.Unix(1000, 0))
		e := New(Options{Self: fleet.VM{ID: "a", Region: "kriti", Domain: "kriti-1", Incarnation: 1}, FleetKey: make([]byte, 32), Now: now})
		var out Ready
		out.Reset()
		service := catalogue.Service{Name: "calc", Idempotent: true, Priority: catalogue.Interactive}
		e.Step(now, &config.Accepted{Catalogue: &catalogue.Catalogue{Revision: 1, Services: []catalogue.Service{service}}, ConfirmedAt: now}, &out)
		is.True(out.Catalogue != nil)
		out.Reset()
		e.Step(now, &Call{Req: 1, Service: "calc", Home: "kriti", Hops: c.hops, Deadline: now.Add(time.Second)}, &out)
		is.Equal(len(out.Dispatch.Replies), 1) // refused: there is no target
		is.Equal(out.Dispatch.Replies[0].Req, dispatch.RequestID(1))
		is.Equal(e.tally.Meter().Rate(now.Add(3*time.Second), "calc").Errors, c.errors)
	}
}
