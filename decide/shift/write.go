package shift

import "github.com/azurethread/azurethread/decide/catalogue"

// write returns the write that carries out the entry's decision, if there is
// one and it may be made now, and notes it as outstanding. While the platform
// can't be reached there is none, as every plan holds with PlatformCutOff.
func (r *Runner) write(e *entry) (Write, bool) {
	if !r.leads() || e.write.id != 0 || r.now.Before(e.retryAt) {
		return Write{}, false
	}
	w, ok := e.change(r)
	if !ok {
		return Write{}, false
	}
	r.writes++
	w.ID = r.writes
	e.write = write{id: w.ID, expect: w.Expect, share: w.Share}
	return w, true
}

// change returns the entry as the decision would have it, and false if it is
// so already.
func (e *entry) change(r *Runner) (Write, bool) {
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
	return w, e.tellsHold(r)
}

// tellsHold reports whether operators must be told of the hold through the
// catalogue. Waits that belong to an undisturbed advance are not worth a write,
// nor are reasons that come and go, nor new figures under the same code.
func (e *entry) tellsHold(r *Runner) bool {
	code := e.decision.Reason.Code
	switch code {
	case WaitingInterval, AwaitingProof, PlatformCutOff, NotRunning:
		return false
	}
	if e.shift.State != catalogue.Running || code == ParseCode(e.shift.Hold) {
		return false
	}
	return r.now.Sub(e.since) >= r.opts.HoldAfter
}
