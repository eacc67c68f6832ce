package deployment_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	api "github.com/azurethread/azurethread/serve/platform"
	"github.com/azurethread/azurethread/standin/caller"
	"github.com/azurethread/azurethread/standin/deployment"
)

// checkSpread checks that counts covers all failure domains and that the counts
// differ by at most one.
func checkSpread(is *is.I, counts map[fleet.Domain]int, domains int) {
	is.Helper()
	is.Equal(len(counts), domains)
	lowest, highest := 1<<30, 0
	for _, n := range counts {
		lowest, highest = min(lowest, n), max(highest, n)
	}
	is.True(highest-lowest <= 1)
}

func TestSizesAndSpread(t *testing.T) {
	cases := []struct {
		name    string
		vms     int
		targets map[fleet.ServiceName]int
		slots   map[fleet.ServiceName]int
	}{
		{
			name:    "statikos",
			vms:     8,
			targets: map[fleet.ServiceName]int{"calc-lookup": 16, "permit-file": 12, "drawing-vault": 12},
			slots:   map[fleet.ServiceName]int{"calc-lookup": 3, "permit-file": 3, "drawing-vault": 3},
		},
		{
			name:    "inzira",
			vms:     9,
			targets: map[fleet.ServiceName]int{"meter-lookup": 14, "switching": 12, "statements": 12},
			slots:   map[fleet.ServiceName]int{"meter-lookup": 9, "switching": 6, "statements": 3},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d, err := deployment.ByName(tc.name)
			is.NoErr(err)
			var stored catalogue.Catalogue
			r, err := deployment.Start(context.Background(), d, deployment.Options{
				PutCatalogue: func(_ context.Context, _ api.Store, c catalogue.Catalogue) error {
					stored = c
					return nil
				},
			})
			is.NoErr(err)
			defer r.Close()
			is.Equal(len(stored.Services), 3)

			l, err := r.Platform.Store().Machines(context.Background(), 0, 0)
			is.NoErr(err)
			is.Equal(len(l.VMs), tc.vms)
			vms := map[fleet.Domain]int{}
			for _, vm := range l.VMs {
				vms[vm.Domain]++
			}
			checkSpread(is, vms, 6)
			targets := map[fleet.ServiceName]int{}
			domains := map[fleet.ServiceName]map[fleet.Domain]int{}
			ids := map[fleet.TargetID]bool{}
			for _, m := range l.Targets {
				targets[m.Service]++
				if domains[m.Service] == nil {
					domains[m.Service] = map[fleet.Domain]int{}
				}
				domains[m.Service][m.Domain]++
				ids[m.ID] = true
				is.Equal(m.Slots, tc.slots[m.Service])
				is.Equal(m.Connections, 330)
			}
			is.Equal(targets, tc.targets)
			is.Equal(len(ids), len(l.Targets))
			for _, counts := range domains {
				checkSpread(is, counts, 6)
			}
		})
	}
}

func TestLeaveChangesTargetAndMachineList(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r, err := deployment.Start(ctx, deployment.Statikos(), deployment.Options{})
	is.NoErr(err)
	defer r.Close()
	leaving := r.Targets[0]
	r.Leave(leaving)
	_, err = leaving.WaitDrained(ctx)
	is.NoErr(err)
	l, err := r.Platform.Store().Machines(ctx, 0, 0)
	is.NoErr(err)
	is.Equal(l.Targets[0].ID, leaving.Machine.ID)
	is.Equal(l.Targets[0].State, fleet.Leaving)
}

func TestDirectLoadOnDeployment(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d := deployment.Inzira()
	r, err := deployment.Start(ctx, d, deployment.Options{})
	is.NoErr(err)
	defer r.Close()
	var addrs []string
	for _, m := range r.Machines().Targets {
		if m.Service == d.Services[0].Name {
			addrs = append(addrs, m.Addr)
		}
	}
	callers := r.Callers(caller.Options{Targets: addrs}, 2, false)
	is.Equal(len(callers), 6)
	run, err := caller.Load{
		Callers: callers,
		Kinds:   d.Kinds()[:1],
		Rate:    d.Services[0].Capacity() / 4,
		Count:   100,
	}.Start(ctx)
	is.NoErr(err)
	report := run.Wait()
	is.Equal(report.Answered+report.NotRun, uint64(100))
	is.Equal(caller.Audit(report.Outcomes, r.Executions()), caller.AuditResult{})
	is.True(r.Totals().Started >= report.Answered)
}
