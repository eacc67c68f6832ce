package enginetest

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// TargetOptions describe a target.
type TargetOptions struct {
	ID      fleet.TargetID
	Service fleet.ServiceName
	Place   Place
	Slots   int
	Queue   int           // requests it holds beyond its slots before it refuses
	Work    time.Duration // usual time of a request
}

// Cold targets take coldFactor times as long until they have run coldRuns
// requests.
const (
	coldFactor = 5
	coldRuns   = 20
)

// errorStatus is what a failing target answers.
const errorStatus = 500

// Target is one upstream machine.
type Target struct {
	TargetOptions
	Up bool
	// Leaving targets are listed as leaving; Polite ones also refuse work by
	// themselves.
	Leaving, Polite bool
	// Failing targets answer every request with an error, Lying ones say at
	// the same time that they are well and idle.
	Failing, Lying bool
	// Slowed multiplies the time of a request; 0 counts as 1.
	Slowed int
	// Stuck targets answer nothing while they say that they are well.
	Stuck bool
	// Runs counts the requests begun, Shed those refused for lack of a slot.
	Runs, Shed int

	w         *World
	process   int
	running   []*job
	waiting   []*job
	warm      int // requests run by this process
	leavingAt clock.Time
	attempts  []*attempt // that entry VMs have not seen the end of
}

// job is a request that the target holds.
type job struct {
	x     *Exchange
	claim *Claim
}

func (w *World) addTarget(o TargetOptions) {
	t := &Target{TargetOptions: o, Up: true, w: w, warm: coldRuns}
	w.Targets = append(w.Targets, t)
	w.byID[o.ID] = t
}

// Leave makes the target leave. It is listed as leaving, with the list's lag;
// a polite one refuses new work at once.
func (t *Target) Leave(polite bool) {
	t.Leaving, t.Polite = true, polite
	t.leavingAt = t.w.Now
	t.w.trace("%s leaves", t.ID)
	t.w.Platform.listChanged()
}

// Crash ends the process; what runs has run, and what waits never will.
func (t *Target) Crash() {
	t.w.trace("%s crashes", t.ID)
	t.Up = false
	t.process++
	for _, j := range slices.Concat(t.running, t.waiting) {
		if t.w.Chance(0.3) {
			j.x.closed = true // nobody tells the sender
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
	t.warm = 0
	t.Leaving, t.Polite, t.Failing, t.Lying, t.Stuck, t.Slowed = false, false, false, false, false, 0
	t.w.Platform.listChanged()
}

func (t *Target) isUp() bool { return t.Up }

// arrive takes a request.
func (t *Target) arrive(x *Exchange) {
	j := &job{x: x, claim: x.claim}
	switch {
	case t.Leaving && t.Polite:
		x.Answer(Answer{Claim: j.claim, Verdict: verdict.NotRun, Reason: verdict.ReasonStopping})
	case len(t.running) < t.Slots:
		t.run(j)
	case len(t.waiting) < t.Queue:
		t.waiting = append(t.waiting, j)
		x.gone = func() { t.waiting = slices.DeleteFunc(t.waiting, func(o *job) bool { return o == j }) }
	default:
		t.Shed++
		t.w.Books.Counts.Shed++
		x.Answer(Answer{Claim: j.claim, Verdict: verdict.NotRun, Reason: verdict.ReasonShed, RetryAfter: t.Work})
	}
}

// run executes a request.
func (t *Target) run(j *job) {
	j.x.gone = nil
	t.running = append(t.running, j)
	t.Runs++
	t.w.trace("%s runs %s", t.ID, j.claim.Work.Name)
	t.w.Books.ran(t, j.claim)
	process := t.process
	t.w.After(t.duration(), func() {
		if t.process == process {
			t.done(j)
		}
	})
}

func (t *Target) duration() time.Duration {
	d := t.Work * time.Duration(max(t.Slowed, 1))
	if t.warm < coldRuns {
		d *= coldFactor
	}
	t.warm++
	return d/2 + time.Duration(t.w.rng.Int64N(int64(d)+1))
}

// done ends a request and takes the next.
func (t *Target) done(j *job) {
	t.running = slices.DeleteFunc(t.running, func(o *job) bool { return o == j })
	if !t.Stuck {
		a := Answer{Claim: j.claim, Verdict: verdict.Ran, Status: 200, Load: t.load()}
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
	if t.Lying {
		return &Load{Slots: t.Slots}
	}
	return &Load{InFlight: len(t.running) + len(t.waiting), Slots: t.Slots}
}

// health answers a probe.
func (t *Target) health() *dispatch.Health {
	h := &dispatch.Health{Target: t.ID, OK: true, Slots: t.Slots, Cold: t.warm < coldRuns}
	switch {
	case !t.Up:
		h.OK = false
	case t.Lying || t.Stuck:
	default:
		h.InFlight = len(t.running) + len(t.waiting)
		h.OK = !t.Failing
	}
	return h
}

// describe returns the target as the list shows it.
func (t *Target) describe() fleet.Target {
	s := fleet.Target{
		ID:          t.ID,
		Service:     t.Service,
		Region:      t.Place.Region,
		Domain:      t.Place.Domain,
		Site:        fleet.Site(t.Place.Domain),
		Addr:        string(t.ID) + ":80",
		Slots:       t.Slots,
		Connections: 330,
	}
	if t.Leaving {
		s.State = fleet.Leaving
	}
	return s
}
