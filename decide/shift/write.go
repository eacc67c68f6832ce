package shift

import "github.com/azurethread/azurethread/decide/catalogue"

// startWrite returns the write that carries out the entry's decision, if there is
// one and it may be made now, and notes it as outstanding. While the platform
// can't be reached there is none, as every plan holds with PlatformCutOff.
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

// plannedWrite returns the entry as the decision would have it, and false if it is
// so already.
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

// publishesHold reports whether operators must be told of the hold through the
// catalogue. Waits that belong to an undisturbed advance are not worth a write,
// nor are reasons that come and go, nor new figures under the same code.
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
