package enginetest

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// TargetOptions configure a target.
type TargetOptions struct {
	ID       fleet.TargetID
	Service  fleet.ServiceName
	Location Location
	Slots    int
	Queue    int           // maximum number of waiting requests
	Work     time.Duration // mean time of a request at a warm target
}

// After a restart a target is cold: it takes coldFactor times as long until it
// has run coldRuns requests.
const (
	coldFactor = 5
	coldRuns   = 20
)

// errorStatus is the HTTP status that a failing target answers with.
const errorStatus = 500

// Target is a fake of one target.
type Target struct {
	TargetOptions
	Up bool
	// Leaving is true if the machine list shows the target as leaving.
	// RefusesWhileLeaving is true if it also refuses new requests then.
	Leaving, RefusesWhileLeaving bool
	// Failing is true if every answer is an error. FalseHealth is true if the
	// target reports itself as healthy and idle, whatever its state.
	Failing, FalseHealth bool
	// SlowFactor multiplies the time of a request; 0 means 1.
	SlowFactor int
	// Stuck is true if the target answers no request but reports itself as healthy.
	Stuck bool
	// Runs counts the requests started, Shed those refused for lack of a slot.
	Runs, Shed int

	w              *World
	processNumber  int
	running        []*job
	waiting        []*job
	runsSinceStart int // requests started by this process
	leavingAt      clock.Time
	attempts       []*attempt // whose end the entry VM has not seen yet
}

// job is a request that the target holds.
type job struct {
	x          *Exchange
	submission *Submission
}

func (w *World) addTarget(o TargetOptions) {
	t := &Target{TargetOptions: o, Up: true, w: w, runsSinceStart: coldRuns}
	w.Targets = append(w.Targets, t)
	w.targetByID[o.ID] = t
}

// Leave makes the target leave. The machine list shows it with a delay. With
// refuse set, the target refuses new requests immediately.
func (t *Target) Leave(refuse bool) {
	t.Leaving, t.RefusesWhileLeaving = true, refuse
	t.leavingAt = t.w.Now
	t.w.trace("%s leaves", t.ID)
	t.w.Platform.updateList()
}

// Crash ends the process. Requests that were running count as run; waiting ones
// never run.
func (t *Target) Crash() {
	t.w.trace("%s crashes", t.ID)
	t.Up = false
	t.processNumber++
	for _, j := range slices.Concat(t.running, t.waiting) {
		if t.w.Chance(0.3) {
			j.x.closed = true // the sender is not notified
			continue
		}
		j.x.Reset()
	}
	t.running, t.waiting = nil, nil
}

// Restart starts a new process with cold caches.
func (t *Target) Restart() {
	t.w.trace("%s restarts", t.ID)
	t.Up = true
	t.runsSinceStart = 0
	t.Leaving, t.RefusesWhileLeaving, t.Failing, t.FalseHealth, t.Stuck, t.SlowFactor = false, false, false, false, false, 0
	t.w.Platform.updateList()
}

func (t *Target) isUp() bool { return t.Up }

// handleRequest runs, queues or refuses a request that has arrived.
func (t *Target) handleRequest(x *Exchange) {
	j := &job{x: x, submission: x.submission}
	switch {
	case t.Leaving && t.RefusesWhileLeaving:
		x.Answer(Answer{Submission: j.submission, Verdict: verdict.NotRun, Reason: verdict.ReasonStopping})
	case len(t.running) < t.Slots:
		t.run(j)
	case len(t.waiting) < t.Queue:
		t.waiting = append(t.waiting, j)
		x.onSenderGone = func() { t.waiting = slices.DeleteFunc(t.waiting, func(o *job) bool { return o == j }) }
	default:
		t.Shed++
		t.w.Checker.Counts.Shed++
		x.Answer(Answer{Submission: j.submission, Verdict: verdict.NotRun, Reason: verdict.ReasonTargetRefused, RetryAfter: t.Work})
	}
}

// run starts the execution of a request.
func (t *Target) run(j *job) {
	j.x.onSenderGone = nil
	t.running = append(t.running, j)
	t.Runs++
	t.w.trace("%s runs %s", t.ID, j.submission.Work.Name)
	t.w.Checker.recordRun(t, j.submission)
	process := t.processNumber
	t.w.After(t.runTime(), func() {
		if t.processNumber == process {
			t.finishJob(j)
		}
	})
}

func (t *Target) runTime() time.Duration {
	d := t.Work * time.Duration(max(t.SlowFactor, 1))
	if t.runsSinceStart < coldRuns {
		d *= coldFactor
	}
	t.runsSinceStart++
	return d/2 + time.Duration(t.w.rng.Int64N(int64(d)+1))
}

// finishJob answers a request and starts the next one.
func (t *Target) finishJob(j *job) {
	t.running = slices.DeleteFunc(t.running, func(o *job) bool { return o == j })
	if !t.Stuck {
		a := Answer{Submission: j.submission, Verdict: verdict.Ran, Status: 200, Load: t.load()}
		if t.Failing {
			a.Status = errorStatus
		}
		j.x.Answer(a)
	}
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.run(next)
	}
}

func (t *Target) load() *Load {
	if t.FalseHealth {
		return &Load{Slots: t.Slots}
	}
	return &Load{InFlight: len(t.running) + len(t.waiting), Slots: t.Slots}
}

// health answers a probe.
func (t *Target) health() *dispatch.Health {
	h := &dispatch.Health{Target: t.ID, OK: true, Slots: t.Slots, Cold: t.runsSinceStart < coldRuns}
	switch {
	case !t.Up:
		h.OK = false
	case t.FalseHealth || t.Stuck:
	default:
		h.InFlight = len(t.running) + len(t.waiting)
		h.OK = !t.Failing
	}
	return h
}

// listEntry returns the target as the machine list shows it.
func (t *Target) listEntry() fleet.Target {
	s := fleet.Target{
		ID:          t.ID,
		Service:     t.Service,
		Region:      t.Location.Region,
		Domain:      t.Location.Domain,
		Site:        fleet.Site(t.Location.Domain),
		Addr:        string(t.ID) + ":80",
		Slots:       t.Slots,
		Connections: 330,
	}
	if t.Leaving {
		s.State = fleet.Leaving
	}
	return s
}
