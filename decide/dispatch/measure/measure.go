package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
)

// Result is the result of a run. Shares are in [0,1].
type Result struct {
	Offered  int           // requests counted
	P50, P99 time.Duration // of answers in time, as observed by callers
	// P99All is the p99 of all requests, where one without an answer in time
	// counts with its deadline.
	P99All              time.Duration
	Goodput             float64 // answers in time a second
	Failed              float64 // share of requests without an answer in time
	MayHaveRun          float64 // share whose callers got an error saying that the request may have run
	Amplification       float64 // sends to targets per request that was sent at least once
	Headroom            float64 // lowest free share of the slots of a region; negative when requests wait at targets
	Forwards            int     // to other entry VMs
	InterRegionForwards int     // to other regions
	InterRegionRefused  int     // refused by other regions
	// CrashFailed is the failed share of the requests to the first service that
	// arrived between 100 ms before the fault and 1 s after it.
	CrashFailed float64
	Services    []ServiceResult
}

// ServiceResult is the result for one service.
type ServiceResult struct {
	P50, P99, P99All time.Duration

	Goodput float64
	Failed  float64
}

// Measure carries out one run.
func Measure(run Run) Result {
	sim := newSimulation(run)
	start := sim.now
	end := start.Add(run.Length)
	for i := range run.Setup.Services {
		sim.startArrivals(i, end)
	}
	sim.repeat(reportEvery, end, sim.scheduleReports)
	sim.repeat(50*time.Millisecond, end, sim.sampleHeadroom)
	sim.schedule(start.Add(faultAt), sim.injectFault)
	sim.runUntil(end.Add(15 * time.Second))
	return sim.stats.result(run)
}

func (sim *simulation) repeat(every time.Duration, end clock.Time, do func()) {
	var next func()
	next = func() {
		do()
		if sim.now < end {
			sim.scheduleAfter(every, next)
		}
	}
	sim.scheduleAfter(every, next)
}

func (sim *simulation) scheduleReports() {
	for _, u := range sim.targets {
		if !u.down {
			u.report()
		}
	}
	for i, v := range sim.vms {
		// Their reports are spread evenly over the second.
		sim.scheduleAfter(time.Duration(i)*reportEvery/time.Duration(len(sim.vms)), v.report)
		sim.scheduleAfter(time.Duration(i)*reportEvery/time.Duration(len(sim.vms))+reportEvery/2, v.deliverReports)
	}
}

// sampleHeadroom records the lowest headroom of a region so far.
func (sim *simulation) sampleHeadroom() {
	var load, slots [regions]int
	for _, u := range sim.targets {
		load[u.region()] += u.load()
		slots[u.region()] += u.slots
	}
	for r := range load {
		if !sim.regionLost[r] && sim.now >= sim.countingStart() {
			sim.stats.headroom = min(sim.stats.headroom, 1-float64(load[r])/float64(slots[r]))
		}
	}
}

func (sim *simulation) injectFault() {
	sim.stats.faultAt = sim.now
	for _, u := range sim.firstTargets() {
		switch sim.run.Fault {
		case TargetCrash, TargetUnresponsive:
			u.unresponsive = sim.run.Fault == TargetUnresponsive
			u.crash()
			sim.scheduleAfter(recoveryAt-faultAt, u.restart)
		case SlowTarget:
			u.timeFactor = slowFactor
		}
	}
	switch sim.run.Fault {
	case SilentConnections:
		sim.silenceConnections()
	case RegionLost:
		sim.regionLost[regions-1] = true
	}
}

// firstTargets returns one target of each service, all in the first domain.
func (sim *simulation) firstTargets() []*upstream {
	var list []*upstream
	for i, u := range sim.targets {
		if i == 0 || sim.targets[i-1].service != u.service {
			list = append(list, u)
		}
	}
	return list
}

// silenceConnections makes every third connection, idle or in use, go silent.
func (sim *simulation) silenceConnections() {
	n := 0
	for _, v := range sim.vms {
		for _, u := range sim.targets {
			for i := range v.idle[u] {
				n++
				v.idle[u][i] = n%3 == 0
			}
		}
		for _, a := range v.sortedAttempts() {
			n++
			if a.target != nil && n%3 == 0 {
				a.target.cancel(a) // its answer is then lost
				a.ended = true
			}
		}
	}
}

// sortedAttempts returns the attempts sorted by id.
func (v *vm) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(v.attempts))
	for _, a := range v.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return list
}

// stats counts the outcomes of a run.
type stats struct {
	run                 Run
	perService          []serviceStats
	sends               int
	sentRequests        int
	forwards            int
	interRegionForwards int
	interRegionRefused  int
	mayHaveRun          int
	headroom            float64
	faultAt             clock.Time
	afterFault          serviceStats
}

type serviceStats struct {
	offered     int
	failed      int
	answerTimes []time.Duration
	allTimes    []time.Duration
	inTime      int // answers in time during the measured part of the run
}

func newStats(run Run) *stats {
	return &stats{run: run, perService: make([]serviceStats, len(run.Setup.Services)), headroom: 1}
}

func (s *stats) countOffered(c *call, now clock.Time) {
	if c.counted {
		s.perService[c.service].offered++
	}
}

func (s *stats) countSend(c *call, now clock.Time) {
	c.sends++
	if !c.counted {
		return
	}
	s.sends++
	if c.sends == 1 {
		s.sentRequests++
	}
}

func (s *stats) countAnswer(c *call, at clock.Time) {
	took := at.Sub(c.start)
	if took > s.run.Setup.Services[c.service].Deadline {
		s.countFailure(c, at)
		return
	}
	p := &s.perService[c.service]
	end := clock.Time(time.Second).Add(s.run.Length)
	if at >= clock.Time(time.Second).Add(warmUp) && at < end {
		p.inTime++
	}
	if c.counted {
		p.answerTimes = append(p.answerTimes, took)
		p.allTimes = append(p.allTimes, took)
	}
}

func (s *stats) countReply(c *call, at clock.Time, r *dispatch.Reply) {
	if c.counted && r.Verdict == 0 {
		s.mayHaveRun++
	}
	s.countFailure(c, at)
}

func (s *stats) countFailure(c *call, now clock.Time) {
	if !c.counted {
		return
	}
	p := &s.perService[c.service]
	p.failed++
	p.allTimes = append(p.allTimes, s.run.Setup.Services[c.service].Deadline)
	if c.service == 0 && s.faultAt != 0 && c.start >= s.faultAt-clock.Time(100*time.Millisecond) && c.start < s.faultAt.Add(time.Second) {
		s.afterFault.failed++
	}
}

func (s *stats) result(run Run) Result {
	seconds := (run.Length - warmUp).Seconds()
	r := Result{Headroom: s.headroom, Forwards: s.forwards, InterRegionForwards: s.interRegionForwards, InterRegionRefused: s.interRegionRefused}
	var took, all []time.Duration
	for _, p := range s.perService {
		slices.Sort(p.answerTimes)
		slices.Sort(p.allTimes)
		r.Offered += p.offered
		r.Goodput += float64(p.inTime) / seconds
		took = append(took, p.answerTimes...)
		all = append(all, p.allTimes...)
		r.Services = append(r.Services, ServiceResult{
			P50: quantile(p.answerTimes, 0.5), P99: quantile(p.answerTimes, 0.99), P99All: quantile(p.allTimes, 0.99),
			Goodput: float64(p.inTime) / seconds,
			Failed:  1 - float64(len(p.answerTimes))/float64(max(p.offered, 1)),
		})
	}
	slices.Sort(took)
	slices.Sort(all)
	r.P50, r.P99, r.P99All = quantile(took, 0.5), quantile(took, 0.99), quantile(all, 0.99)
	r.Failed = 1 - float64(len(took))/float64(max(r.Offered, 1))
	r.MayHaveRun = float64(s.mayHaveRun) / float64(max(r.Offered, 1))
	r.Amplification = float64(s.sends) / float64(max(s.sentRequests, 1))
	first := run.Setup.Services[0]
	perSecond := float64(first.Targets*first.Slots) / first.Mean.Seconds() * run.Load
	r.CrashFailed = float64(s.afterFault.failed) / (1.1 * perSecond) // 1.1 s of requests
	return r
}

func quantile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}
