package shift

import "github.com/azurethread/azurethread/decide/catalogue"

// startWrite returns the write that carries out the entry's decision and
// records it as outstanding. It returns false if no write is needed or allowed
// now. While the platform can't be reached none is needed, as every plan holds
// with PlatformCutOff.
func (r *Runner) startWrite(e *entry) (Write, bool) {
	if !r.holdsLease() || e.write.id != 0 || r.now.Before(e.retryAt) {
		return Write{}, false
	}
	w, ok := e.plannedWrite(r)
	if !ok {
		return Write{}, false
	}
	r.writes++
	w.ID = r.writes
	e.write = pendingWrite{id: w.ID, expect: w.Expect, share: w.Share}
	return w, true
}

// plannedWrite returns the write that makes the entry match the decision, and
// false if none is needed.
func (e *entry) plannedWrite(r *Runner) (Write, bool) {
	s := &e.shift
	w := Write{
		Shift:     s.ID,
		Expect:    s.Revision,
		Share:     e.decision.Share,
		State:     e.decision.State(),
		Hold:      e.decision.Reason.String(),
		SteppedAt: s.SteppedAt,
	}
	if w.Share != s.Share {
		w.SteppedAt = int64(r.now)
	}
	if e.decision.Action != Hold {
		return w, true
	}
	return w, e.publishesHold(r)
}

// publishesHold reports whether a hold is written to the catalogue for
// operators to see. Waits of a normal advance are not written, nor are
// short-lived reasons, nor new figures under the same code.
func (e *entry) publishesHold(r *Runner) bool {
	code := e.decision.Reason.Code
	switch code {
	case WaitingInterval, AwaitingProof, PlatformCutOff, NotRunning:
		return false
	}
	if e.shift.State != catalogue.Running || code == ParseCode(e.shift.Hold) {
		return false
	}
	return r.now.Sub(e.codeSince) >= r.opts.HoldAfter
}
