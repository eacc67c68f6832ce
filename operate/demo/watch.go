package demo

import (
	"context"
	"net/netip"
	"time"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/standin/caller"
	"github.com/azurethread/azurethread/standin/deployment"
)

// addClients adds the region's clients as blocks of 256 addresses, so that each
// caller of the load is in a separate block.
func addClients(b *block.Builder, r deployment.Region) error {
	home := block.Home{Region: r.Name, Domains: r.Domains}
	a := r.Clients.Addr().As4()
	for i := range callersPerRegion {
		a[2] = byte(i)
		if err := b.Add(netip.PrefixFrom(netip.AddrFrom4(a), 24), home); err != nil {
			return err
		}
	}
	return b.Add(r.Clients, home)
}

// watcher samples the targets once a second and counts the seconds in which a
// region was overloaded.
type watcher struct {
	r          *run
	last       map[fleet.Region]targetCounts
	overloaded uint64
}

// targetCounts are the counters of one region's targets since the start.
type targetCounts struct{ arrived, shed uint64 }

// overloadShare is the fraction of requests refused for lack of capacity above
// which a region counts as overloaded in that second.
const overloadShare = 0.05

// minOverloadRefusals is the least number of refusals in an overloaded second,
// so that one refusal among a few requests does not count.
const minOverloadRefusals = 5

func newWatcher(r *run) *watcher {
	w := &watcher{r: r}
	w.last = w.sample()
	return w
}

func (w *watcher) sample() map[fleet.Region]targetCounts {
	out := make(map[fleet.Region]targetCounts)
	for _, t := range w.r.dep.Targets {
		s := out[t.Machine.Region]
		st := t.Stats()
		s.arrived += st.Arrived
		s.shed += st.Shed
		out[t.Machine.Region] = s
	}
	return out
}

func (w *watcher) run(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for second := 1; ; second++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		w.observe()
		c := w.r.load.Counts()
		w.r.progressf("%3d s  %d requests, %d answered, %d not run, %d may have run", second, c.Requests, c.Answered, c.NotRun, c.MayHaveRun)
	}
}

func (w *watcher) observe() {
	now := w.sample()
	for region, s := range now {
		before := w.last[region]
		arrived, shed := s.arrived-before.arrived, s.shed-before.shed
		if shed >= minOverloadRefusals && float64(shed) > overloadShare*float64(arrived) {
			w.overloaded++
		}
	}
	w.last = now
}

// result combines the records of the callers and the targets.
func (r *run) result() *Result {
	rep := r.load.Wait()
	audit := caller.Audit(rep.Outcomes, r.dep.Executions())
	res := &Result{
		Deployment:   r.options.Deployment,
		Fault:        r.options.Fault,
		Seconds:      r.options.Duration.Seconds(),
		Load:         r.options.Load,
		Requests:     rep.Requests,
		Answered:     rep.Answered,
		WrongAnswers: rep.WrongAnswers + audit.NeverRan,
		Repeated:     audit.Repeated,
		FalseNotRun:  audit.FalseNotRun,
		Overloaded:   r.watch.overloaded,
		NotRun:       rep.NotRun,
		MayHaveRun:   rep.MayHaveRun,
		Reasons:      make(map[verdict.Reason]uint64),
		Unmarked:     rep.MissingVerdicts,
		P50:          milliseconds(rep.Quantile(50)),
		P99:          milliseconds(rep.Quantile(99)),
		DrainSeconds: r.longestDrain.Seconds(),
	}
	if r.options.Fault == EntryStop || r.options.Fault == TargetLeave || r.options.Fault == RegionDrain {
		res.Cut = audit.RanAnswerLost
	}
	for _, t := range r.dep.Targets {
		if t.Stats().LastArrivalAfterLeave > leaveGrace {
			res.LateArrivals++
		}
	}
	for _, o := range rep.Outcomes {
		if !o.Answered {
			res.Reasons[o.Reason]++
		}
	}
	r.recordMovedShare(rep.Outcomes, res)
	for _, d := range r.daemons {
		res.Violations += d.Violations()
	}
	if r.stopped != nil {
		res.Violations += r.stopped.Violations()
	}
	return res
}

// leaveGrace is how long a leaving target may still receive new requests.
const leaveGrace = 2 * time.Second
