package shift

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Runner advances all shifts of a catalogue while it holds the lease. It runs
// in every process, so that whoever takes over has seen the last steps. It is
// not safe for concurrent use.
type Runner struct {
	opts           Options
	now            clock.Time // highest instant seen
	catalogue      *catalogue.Catalogue
	evidence       Evidence
	duty           Duty
	reachable      bool
	entries        []*entry // moving shifts, in the order of their ids
	writes         uint64   // last Write.ID
	wakeAt         clock.Time
	violationCount uint64
	lastViolations []Violation // of the last Step
}

// entry is one moving shift.
type entry struct {
	shift     catalogue.Shift
	progress  Progress
	decision  Decision
	codeSince clock.Time // since when the decision's code has been the same
	write     pendingWrite
	retryAt   clock.Time // no write before, after one that failed
	lastStep  pendingStep
}

// pendingWrite is an outstanding write. It stays outstanding until it is known not to
// have run, or until the catalogue shows the entry at a higher revision than
// the write expected: from then on compare-and-swap refuses it.
type pendingWrite struct {
	id      uint64 // 0: none
	expect  uint64
	share   catalogue.Share
	settled bool // accepted or refused as a conflict; only the catalogue is awaited
}

// NewRunner returns a Runner without catalogue, evidence, lease or platform.
func NewRunner(o Options) *Runner {
	return &Runner{opts: o.withDefaults(), wakeAt: clock.Never}
}

// Step takes one event observed at now and appends the effects to out.
func (r *Runner) Step(now clock.Time, ev Event, out []Effect) []Effect {
	r.now = max(r.now, now)
	r.lastViolations = r.lastViolations[:0]
	switch e := ev.(type) {
	case Configured:
		r.configure(e.Catalogue)
	case Measured:
		r.evidence = e.Evidence
		r.trackErrors()
	case Duty:
		r.duty = e
	case Platform:
		r.reachable = e.Reachable
	case WriteResult:
		r.recordResult(e)
	}
	out = r.evaluate(out)
	return r.scheduleTick(out)
}

// Violations returns how many broken invariants were found since the start,
// and those of the last Step.
func (r *Runner) Violations() (total uint64, last []Violation) {
	return r.violationCount, r.lastViolations
}

// Status is the present decision for one shift, for operators.
type Status struct {
	Shift    string
	Decision Decision
	// Writing says that a write's outcome is not known. Unless the platform
	// is down, it stays so for seconds at most.
	Writing bool
}

// Status appends the status of every moving shift to out, in the order of
// their ids.
func (r *Runner) Status(out []Status) []Status {
	for _, e := range r.entries {
		out = append(out, Status{Shift: e.shift.ID, Decision: e.decision, Writing: e.write.id != 0 && !e.write.settled})
	}
	return out
}

// holdsLease reports whether this process may write. A lease that has run out by
// the own clock is not held, whatever the last Duty said: the process may have
// been paused since.
func (r *Runner) holdsLease() bool {
	return r.duty.Held && r.now.Before(r.duty.Until)
}

// configure takes a catalogue, unless it is older than the one in force.
func (r *Runner) configure(c *catalogue.Catalogue) {
	if c == nil || (r.catalogue != nil && c.Revision <= r.catalogue.Revision) {
		return
	}
	r.catalogue = c
	old := r.entries
	r.entries = nil
	for _, s := range moving(c) {
		r.entries = append(r.entries, r.updateEntry(findEntry(old, s.ID), s))
	}
}

func findEntry(entries []*entry, id string) *entry {
	for _, e := range entries {
		if e.shift.ID == id {
			return e
		}
	}
	return nil
}

// updateEntry brings an entry to the version s of its shift.
func (r *Runner) updateEntry(e *entry, s catalogue.Shift) *entry {
	if e == nil {
		e = &entry{codeSince: r.now}
		if s.Share > 0 {
			e.assumeRecentStep(r.now, s)
		}
	}
	if s.Revision > e.write.expect {
		e.write = pendingWrite{}
	}
	if s.Share != e.shift.Share {
		e.recordStep(r.now, s)
	}
	if s.State == catalogue.Running && e.shift.State != catalogue.Running {
		e.progress.StartedAt = r.now
	}
	e.shift = s
	return e
}

// assumeRecentStep makes the entry of a shift that had moved before this process knew it.
// The last step may have been taken just now, and either way: so the share is
// taken as just reached by a whole step.
func (e *entry) assumeRecentStep(now clock.Time, s catalogue.Shift) {
	step := s.Limits.WithDefaults().Step
	e.shift.Share = s.Share - min(s.Share, step)
	e.recordStep(now, s)
	e.shift.Share = s.Share
	e.progress.LastStepDown = true
}

// recordStep records that the share of s is in force.
func (e *entry) recordStep(now clock.Time, s catalogue.Shift) {
	before := e.shift.Share
	e.progress = Progress{SteppedAt: now, StartedAt: e.progress.StartedAt, LastStepDown: s.Share < before}
	e.lastStep = pendingStep{
		Low:  min(before, s.Share),
		High: max(before, s.Share),
		Rise: s.Share > before,
	}
}

// trackErrors follows breaches of error bounds.
func (r *Runner) trackErrors() {
	for i, e := range r.entries {
		e.progress = TrackErrors(r.opts, r.input(i, nil))
	}
}

// recordResult takes the result of a write.
func (r *Runner) recordResult(res WriteResult) {
	for _, e := range r.entries {
		if e.write.id == 0 || e.write.id != res.ID {
			continue
		}
		switch {
		case res.Conflict || res.Verdict == verdict.Ran:
			e.write.settled = true
		case res.Verdict == verdict.NotRun && !e.write.settled:
			e.write = pendingWrite{}
			e.retryAt = r.now.Add(r.opts.RetryAfter)
		}
	}
}

// evaluate plans all shifts in the order of their ids.
func (r *Runner) evaluate(out []Effect) []Effect {
	held := r.reservations()
	for i, e := range r.entries {
		in := r.input(i, held)
		d := Plan(r.opts, in)
		if broken := CheckInvariants(r.opts, in, d); len(broken) > 0 {
			r.violationCount += uint64(len(broken))
			r.lastViolations = append(r.lastViolations, broken...)
			d = Decision{Action: Hold, Share: e.shift.Share, Reason: d.Reason}
		}
		e.setDecision(r.now, d)
		if w, ok := r.startWrite(e); ok {
			out = append(out, w)
			held = appendReservations(r.opts, r.pendingStepOf(e), &r.evidence, held)
		}
	}
	return out
}

// setDecision takes a decision and follows how long its code has stood.
func (e *entry) setDecision(now clock.Time, d Decision) {
	if d.Reason.Code != e.decision.Reason.Code || d.Action != e.decision.Action {
		e.codeSince = now
	}
	e.decision = d
}

// input gathers what the plan for entry i rests on.
func (r *Runner) input(i int, held []Reservation) Input {
	e := r.entries[i]
	in := Input{
		Now:      r.now,
		Shift:    e.shift,
		Services: servicesOf(r.catalogue, &e.shift),
		Progress: e.progress,
		Evidence: &r.evidence,
		CutOff:   !r.reachable,
	}
	for _, v := range held {
		if v.Shift != e.shift.ID {
			in.Reserved = append(in.Reserved, v)
		}
	}
	for j, o := range r.entries {
		if j != i {
			in.Others = append(in.Others, o.shift)
		}
	}
	return in
}

// reservations returns the headroom held by steps that don't show in the
// figures yet: those seen in force lately and those being written.
func (r *Runner) reservations() []Reservation {
	var held []Reservation
	for _, e := range r.entries {
		if e.lastStep.High > e.lastStep.Low {
			st := e.lastStep
			st.Shift = e.shift
			st.Services = servicesOf(r.catalogue, &e.shift)
			st.VisibleFrom = e.progress.provenAfter(r.opts, e.shift.State)
			held = appendReservations(r.opts, st, &r.evidence, held)
		}
		if e.write.id != 0 {
			held = appendReservations(r.opts, r.pendingStepOf(e), &r.evidence, held)
		}
	}
	return held
}

// pendingStepOf returns the step of an outstanding write.
func (r *Runner) pendingStepOf(e *entry) pendingStep {
	return pendingStep{
		Shift:       e.shift,
		Services:    servicesOf(r.catalogue, &e.shift),
		Low:         min(e.shift.Share, e.write.share),
		High:        max(e.shift.Share, e.write.share),
		Rise:        e.write.share > e.shift.Share,
		VisibleFrom: clock.Never,
	}
}

// scheduleTick asks for a Tick while there is something to advance.
func (r *Runner) scheduleTick(out []Effect) []Effect {
	if r.wakeAt <= r.now {
		r.wakeAt = clock.Never
	}
	if len(r.entries) == 0 || !r.holdsLease() || r.wakeAt != clock.Never {
		return out
	}
	r.wakeAt = r.now.Add(r.opts.CheckInterval)
	return append(out, Wake{At: r.wakeAt})
}
