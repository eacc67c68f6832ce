package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/block/blocktest"
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
)

// planServices is the number of services that each shift moves.
const planServices = 3

// BenchmarkPlan measures one evaluation of the running shifts on new evidence,
// which a runner makes once a second. Every shift moves all services of one
// region to the next one.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16, 32, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := clock.FromWall(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
			r := shift.NewRunner(shift.Options{})
			r.Step(now, shift.Configured{Catalogue: planCatalogue(n, now)}, nil)
			r.Step(now, shift.Platform{Reachable: true}, nil)
			var out []shift.Effect
			for b.Loop() {
				now = now.Add(time.Second)
				r.Step(now, shift.Lease{Held: true, Until: now.Add(time.Minute)}, nil)
				out = r.Step(now, shift.Measured{Evidence: planEvidence(n, now)}, out[:0])
			}
			if total, _ := r.Violations(); total > 0 || len(r.Status(nil)) != n {
				b.Fatalf("%d violations, %d statuses", total, len(r.Status(nil)))
			}
		})
	}
}

func planService(i int) fleet.ServiceName { return fleet.ServiceName(fmt.Sprintf("service-%d", i)) }

func planCatalogue(n int, now clock.Time) *catalogue.Catalogue {
	c := &catalogue.Catalogue{Revision: 7}
	for i := range planServices {
		c.Services = append(c.Services, catalogue.Service{Name: planService(i), Idempotent: true, Revision: 1})
	}
	for i := range n {
		c.Shifts = append(c.Shifts, catalogue.Shift{
			ID: fmt.Sprintf("shift-%d", i), Class: catalogue.Rehearsal, Owner: "owner", Author: "author", ApprovedBy: "other",
			From: blocktest.RegionName(i), To: blocktest.RegionName((i + 1) % n),
			Limits: catalogue.Limits{MaxShare: 5000}.WithDefaults(),
			State:  catalogue.Running, Share: 500, SteppedAt: int64(now) - int64(time.Hour), Revision: 7,
		})
	}
	return c
}

func planEvidence(n int, now clock.Time) shift.Evidence {
	span := shift.Span{Since: now.Add(-3 * time.Second), Until: now.Add(-time.Second)}
	var e shift.Evidence
	for i := range n {
		for j := range planServices {
			e.Loads = append(e.Loads, shift.Load{
				Region: blocktest.RegionName(i), Service: planService(j), Span: span,
				Capacity: 100, InFlight: 40, Requests: 1000, P99: 50 * time.Millisecond,
			})
			c := shift.Count{Shift: fmt.Sprintf("shift-%d", i), Service: planService(j), Span: span, Total: shift.Positions * 10, Moved: 50, Busy: time.Second}
			for k := range c.ByPosition {
				c.ByPosition[k] = 10
			}
			e.Counts = append(e.Counts, c)
		}
	}
	return e
}
