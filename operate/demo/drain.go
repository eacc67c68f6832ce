package demo

import (
	"context"
	"net/netip"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/operate/client"
	"github.com/azurethread/azurethread/serve/admin"
	"github.com/azurethread/azurethread/standin/caller"
)

// The traffic shift of RegionDrain.
const (
	drainID   = "demo-drain"
	drainCap  = catalogue.Share(5000)
	drainStep = catalogue.Share(2500)
)

// drainRegion starts a traffic shift as operators do: one adds it, another
// approves it, and the first starts it.
func (r *run) drainRegion(ctx context.Context) error {
	entry := change.Entry{
		ID:    drainID,
		Owner: "demo",
		Class: catalogue.Rehearsal,
		From:  r.drainedRegion(),
		Limits: catalogue.Limits{
			MaxShare: drainCap,
			Step:     drainStep,
			Interval: catalogue.Duration(2 * time.Second),
		},
	}
	if err := r.startShift(ctx, entry); err != nil {
		return err
	}
	r.progressf("traffic shift %s: %s may move %d/10,000 of its traffic", drainID, r.drainedRegion(), drainCap)
	return nil
}

// clientTimeout is the longest time for one administration request.
const clientTimeout = 10 * time.Second

// startShift adds, approves and starts a traffic shift.
func (r *run) startShift(ctx context.Context, e change.Entry) error {
	addr := r.daemons[0].AdminAddr()
	author, err := client.New(addr, authorToken, clientTimeout)
	if err != nil {
		return err
	}
	approver, err := client.New(addr, approverToken, clientTimeout)
	if err != nil {
		return err
	}
	a, err := author.AddShift(ctx, e)
	if err != nil {
		return err
	}
	a, err = approver.PerformAction(ctx, client.Approve, e.ID, admin.ShiftAction{Expect: a.Revision})
	if err != nil {
		return err
	}
	_, err = author.PerformAction(ctx, client.Start, e.ID, admin.ShiftAction{Expect: a.Revision})
	return err
}

// recordMovedShare sets the share of the drained region's requests that ran in
// other regions, and the excess over the cap. It counts the last third of the
// requests.
func (r *run) recordMovedShare(outcomes []caller.Outcome, res *Result) {
	if r.options.Fault != RegionDrain {
		return
	}
	home := r.dep.Description.Regions[0]
	var total, moved uint64
	for _, o := range outcomes[len(outcomes)*2/3:] {
		a, err := netip.ParseAddr(o.Client)
		if err != nil || !home.Clients.Contains(a) || !o.Answered {
			continue
		}
		total++
		if region, ok := r.dep.RegionOf(o.Target); ok && region != home.Name {
			moved++
		}
	}
	if total == 0 {
		return
	}
	res.MovedShare = moved * catalogue.ShareUnit / total
	if res.MovedShare > uint64(drainCap) {
		res.OverCap = res.MovedShare - uint64(drainCap)
	}
}
