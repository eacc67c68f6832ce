package shift

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Runner advances all shifts of a catalogue while its process holds the lease.
// It runs in every process, so that the next holder has already observed the
// last steps. It is not safe for concurrent use.
type Runner struct {
	opts           Options
	now            clock.Time // latest instant seen
	catalogue      *catalogue.Catalogue
	evidence       Evidence
	lease          Lease
	reachable      bool
	entries        []*entry // moving shifts, in the order of their ids
	writes         uint64   // last Write.ID
	wakeAt         clock.Time
	violationCount uint64
	lastViolations []Violation // found by the last Step
}

// entry is one moving shift.
type entry struct {
	shift     catalogue.Shift
	progress  Progress
	decision  Decision
	codeSince clock.Time // when the decision last changed its code or action
	write     pendingWrite
	retryAt   clock.Time // earliest next write, after one that failed
	lastStep  pendingStep
}

// pendingWrite is an outstanding write. It stays outstanding until it is known
// not to have run, or until the catalogue has the entry at a higher revision
// than the write expected: from then on compare-and-swap refuses it.
type pendingWrite struct {
	id      uint64 // 0: none
	expect  uint64
	share   catalogue.Share
	settled bool // accepted or refused as a conflict; the catalogue update is still awaited
}

// NewRunner returns a Runner without a catalogue, evidence or the lease, and
// with the platform unreachable.
func NewRunner(o Options) *Runner {
	return &Runner{opts: o.withDefaults(), wakeAt: clock.Never}
}

// Step processes one event observed at now and appends the effects to out.
func (r *Runner) Step(now clock.Time, ev Event, out []Effect) []Effect {
	r.now = max(r.now, now)
	r.lastViolations = r.lastViolations[:0]
	switch e := ev.(type) {
	case Configured:
		r.configure(e.Catalogue)
	case Measured:
		r.evidence = e.Evidence
		r.trackErrors()
	case Lease:
		r.lease = e
	case Platform:
		r.reachable = e.Reachable
	case WriteResult:
		r.recordResult(e)
	}
	out = r.evaluate(out)
	return r.scheduleTick(out)
}

// Violations returns the number of broken invariants found since the start,
// and those found by the last Step.
func (r *Runner) Violations() (total uint64, last []Violation) {
	return r.violationCount, r.lastViolations
}

// Status is the present decision for one shift, for operators.
type Status struct {
	Shift    string
	Decision Decision
	// Writing is true while a write's outcome is not known, which lasts for
	// seconds at most unless the platform is down.
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

// holdsLease reports whether this process may write. A lease that has expired
// by the local clock is not held, whatever the last Lease stated: the process
// may have been paused since.
func (r *Runner) holdsLease() bool {
	return r.lease.Held && r.now.Before(r.lease.Until)
}

// configure puts a catalogue in force if it is newer than the present one.
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

// updateEntry updates an entry to the version s of its shift. It creates the
// entry if e is nil.
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

// assumeRecentStep sets the progress of a shift that had moved traffic before
// this process knew it. The last step may have been taken just now and in
// either direction, so the entry assumes that a whole step has just reached the
// share.
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

// trackErrors updates, for all shifts, since when errors have exceeded their
// bound.
func (r *Runner) trackErrors() {
	for i, e := range r.entries {
		e.progress = TrackErrors(r.opts, r.input(i, nil))
	}
}

// recordResult applies the result of a write.
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
	reserved := r.reservations()
	for i, e := range r.entries {
		in := r.input(i, reserved)
		d := Plan(r.opts, in)
		if broken := CheckInvariants(r.opts, in, d); len(broken) > 0 {
			r.violationCount += uint64(len(broken))
			r.lastViolations = append(r.lastViolations, broken...)
			d = Decision{Action: Hold, Share: e.shift.Share, Reason: d.Reason}
		}
		e.setDecision(r.now, d)
		if w, ok := r.startWrite(e); ok {
			out = append(out, w)
			reserved = appendReservations(r.opts, r.pendingStepOf(e), &r.evidence, reserved)
		}
	}
	return out
}

// setDecision stores a decision and the time at which its code or action
// changed.
func (e *entry) setDecision(now clock.Time, d Decision) {
	if d.Reason.Code != e.decision.Reason.Code || d.Action != e.decision.Action {
		e.codeSince = now
	}
	e.decision = d
}

// input returns the input of the plan for entry i.
func (r *Runner) input(i int, reserved []Reservation) Input {
	e := r.entries[i]
	in := Input{
		Now:      r.now,
		Shift:    e.shift,
		Services: servicesOf(r.catalogue, &e.shift),
		Progress: e.progress,
		Evidence: &r.evidence,
		CutOff:   !r.reachable,
	}
	for _, v := range reserved {
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

// reservations returns the headroom reserved by steps that the figures don't
// include yet: those that came into force lately and those being written.
func (r *Runner) reservations() []Reservation {
	var reserved []Reservation
	for _, e := range r.entries {
		if e.lastStep.High > e.lastStep.Low {
			st := e.lastStep
			st.Shift = e.shift
			st.Services = servicesOf(r.catalogue, &e.shift)
			st.VisibleFrom = e.progress.provenAfter(r.opts, e.shift.State)
			reserved = appendReservations(r.opts, st, &r.evidence, reserved)
		}
		if e.write.id != 0 {
			reserved = appendReservations(r.opts, r.pendingStepOf(e), &r.evidence, reserved)
		}
	}
	return reserved
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

// scheduleTick requests a Tick while there is a shift to advance.
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
