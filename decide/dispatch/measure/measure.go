package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
)

// Result is what a run measured; a share is in [0,1].
type Result struct {
	Offered  int           // requests counted
	P50, P99 time.Duration // of answers in time, seen by the caller
	// P99All is the p99 of all requests, one without an answer in time
	// counting as its deadline.
	P99All        time.Duration
	Goodput       float64 // answers in time a second
	Failed        float64 // share of requests without an answer in time
	MayHaveRun    float64 // share told that the request may have run
	Amplification float64 // sends to targets for each request sent at all
	Headroom      float64 // least free share of the slots of a region; negative when work waits at targets
	Forwards      int     // to other entry VMs, all together
	FarForwards   int     // of these to another region
	FarRefused    int     // of these refused
	// CrashFailed is the share of idempotent requests of the second after the
	// fault that failed.
	CrashFailed float64
	Services    []ServiceResult
}

// ServiceResult is the part of one service.
type ServiceResult struct {
	P50, P99, P99All time.Duration

	Goodput float64
	Failed  float64
}

// Measure carries out one run.
func Measure(run Run) Result {
	w := newWorld(run)
	start := w.now
	end := start.Add(run.Length)
	for i := range run.Setup.Services {
		w.arrivals(i, end)
	}
	w.repeat(reportEvery, end, w.reports)
	w.repeat(50*time.Millisecond, end, w.sample)
	w.at(start.Add(faultAt), w.fault)
	w.play(end.Add(15 * time.Second))
	return w.stats.result(run)
}

func (w *world) repeat(every time.Duration, end clock.Time, do func()) {
	var next func()
	next = func() {
		do()
		if w.now < end {
			w.after(every, next)
		}
	}
	w.after(every, next)
}

func (w *world) reports() {
	for _, u := range w.targets {
		if !u.down {
			u.report()
		}
	}
	for i, v := range w.vms {
		// Each reports at its own time within the second.
		w.after(time.Duration(i)*reportEvery/time.Duration(len(w.vms)), v.report)
		w.after(time.Duration(i)*reportEvery/time.Duration(len(w.vms))+reportEvery/2, v.takeReports)
	}
}

// sample looks at the load of each region.
func (w *world) sample() {
	var load, slots [regions]int
	for _, u := range w.targets {
		load[u.region()] += u.load()
		slots[u.region()] += u.slots
	}
	for r := range load {
		if !w.lost[r] && w.now >= w.begin() {
			w.stats.headroom = min(w.stats.headroom, 1-float64(load[r])/float64(slots[r]))
		}
	}
}

func (w *world) fault() {
	w.stats.faultAt = w.now
	for _, u := range w.firstTargets() {
		switch w.run.Fault {
		case TargetCrash, TargetMute:
			u.mute = w.run.Fault == TargetMute
			u.crash()
			w.after(backAt-faultAt, u.restart)
		case SlowTarget:
			u.factor = slowFactor
		}
	}
	switch w.run.Fault {
	case SilentConnections:
		w.silence()
	case RegionLost:
		w.lost[regions-1] = true
	}
}

// firstTargets returns one target of each service, all in the first domain.
func (w *world) firstTargets() []*upstream {
	var list []*upstream
	for i, u := range w.targets {
		if i == 0 || w.targets[i-1].service != u.service {
			list = append(list, u)
		}
	}
	return list
}

// silence makes every third connection, idle or in use, go silent.
func (w *world) silence() {
	n := 0
	for _, v := range w.vms {
		for _, u := range w.targets {
			for i := range v.idle[u] {
				n++
				v.idle[u][i] = n%3 == 0
			}
		}
		for _, a := range v.sorted() {
			n++
			if a.target != nil && n%3 == 0 {
				a.target.cancel(a) // the model's way to have its answer lost
				a.over = true
			}
		}
	}
}

// sorted returns the attempts in the order of their ids.
func (v *vm) sorted() []*attempt {
	list := make([]*attempt, 0, len(v.attempts))
	for _, a := range v.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return list
}

// stats collects outcomes.
type stats struct {
	run        Run
	per        []serviceStats
	sends      int
	sent       int
	forwards   int
	far        int
	farRefused int
	mayHaveRun int
	headroom   float64
	faultAt    clock.Time
	crash      serviceStats
}

type serviceStats struct {
	offered int
	failed  int
	took    []time.Duration
	all     []time.Duration
	good    int // answers in time within the run
}

func newStats(run Run) *stats {
	return &stats{run: run, per: make([]serviceStats, len(run.Setup.Services)), headroom: 1}
}

func (s *stats) offer(c *call, now clock.Time) {
	if c.counted {
		s.per[c.service].offered++
	}
}

func (s *stats) send(c *call, now clock.Time) {
	c.sends++
	if !c.counted {
		return
	}
	s.sends++
	if c.sends == 1 {
		s.sent++
	}
}

func (s *stats) answer(c *call, at clock.Time) {
	took := at.Sub(c.start)
	if took > s.run.Setup.Services[c.service].Deadline {
		s.fail(c, at)
		return
	}
	p := &s.per[c.service]
	end := clock.Time(time.Second).Add(s.run.Length)
	if at >= clock.Time(time.Second).Add(warmUp) && at < end {
		p.good++
	}
	if c.counted {
		p.took = append(p.took, took)
		p.all = append(p.all, took)
	}
}

func (s *stats) refuse(c *call, at clock.Time, r *dispatch.Reply) {
	if c.counted && r.Verdict == 0 {
		s.mayHaveRun++
	}
	s.fail(c, at)
}

func (s *stats) fail(c *call, now clock.Time) {
	if !c.counted {
		return
	}
	p := &s.per[c.service]
	p.failed++
	p.all = append(p.all, s.run.Setup.Services[c.service].Deadline)
	if c.service == 0 && s.faultAt != 0 && c.start >= s.faultAt-clock.Time(100*time.Millisecond) && c.start < s.faultAt.Add(time.Second) {
		s.crash.failed++
	}
}

func (s *stats) result(run Run) Result {
	seconds := (run.Length - warmUp).Seconds()
	r := Result{Headroom: s.headroom, Forwards: s.forwards, FarForwards: s.far, FarRefused: s.farRefused}
	var took, all []time.Duration
	for _, p := range s.per {
		slices.Sort(p.took)
		slices.Sort(p.all)
		r.Offered += p.offered
		r.Goodput += float64(p.good) / seconds
		took = append(took, p.took...)
		all = append(all, p.all...)
		r.Services = append(r.Services, ServiceResult{
			P50: quantile(p.took, 0.5), P99: quantile(p.took, 0.99), P99All: quantile(p.all, 0.99),
			Goodput: float64(p.good) / seconds,
			Failed:  1 - float64(len(p.took))/float64(max(p.offered, 1)),
		})
	}
	slices.Sort(took)
	slices.Sort(all)
	r.P50, r.P99, r.P99All = quantile(took, 0.5), quantile(took, 0.99), quantile(all, 0.99)
	r.Failed = 1 - float64(len(took))/float64(max(r.Offered, 1))
	r.MayHaveRun = float64(s.mayHaveRun) / float64(max(r.Offered, 1))
	r.Amplification = float64(s.sends) / float64(max(s.sent, 1))
	first := run.Setup.Services[0]
	perSecond := float64(first.Targets*first.Slots) / first.Mean.Seconds() * run.Load
	r.CrashFailed = float64(s.crash.failed) / (1.1 * perSecond)
	return r
}

func quantile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}
