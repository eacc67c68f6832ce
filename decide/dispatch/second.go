package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// The bounds of the time after which an idempotent request is sent once more.
const (
	maxPlainWait   = 5 * time.Second // while nothing is known of the latency
	knownPlainWait = time.Second     // once a bound is known, which may be longer
	plainShare     = 2               // of the time to the deadline, as 1/plainShare
	// secondLook is the time between two tries when no slot was free or the
	// budget was used up.
	secondLook = 100 * time.Millisecond
)

// secondAt returns when r is sent once more though nothing tells a silent
// connection from a slow service: nobody else has been answered, as when there
// is but one caller, or nothing is known of the latency. Whether the first
// attempt is silent isn't known then, so it goes on, and the first answer wins.
func (s *State) secondAt(r *request) clock.Time {
	if !r.idempotent || r.seconded || r.n == 0 || r.n == maxCurrent || r.attempts >= s.lim.MaxAttempts || s.opts.Ungated {
		return clock.Never
	}
	a := r.oldest()
	return max(a.sentAt.Add(s.plainWait(r, a)), r.secondFrom)
}

// plainWait returns how long r waits for a alone.
func (s *State) plainWait(r *request, a *attempt) time.Duration {
	wait := min(r.deadline.Sub(a.sentAt)/plainShare, maxPlainWait)
	bound, known := a.svc.silence.bound()
	if !known {
		return max(wait, minBound)
	}
	if a.link != nil {
		bound += 2*a.link.vm.rtt + a.mayWait
	}
	return max(min(wait, knownPlainWait), bound)
}

// oldest returns the current attempt that was sent first.
func (r *request) oldest() *attempt {
	first := r.current[0]
	for _, a := range r.current[1:r.n] {
		if a.sentAt < first.sentAt {
			first = a
		}
	}
	return first
}

// second sends r once more, on a new connection and if possible to another
// target.
func (s *State) second(r *request) {
	a := r.oldest()
	if a.target != nil {
		r.avoid = a.target
	}
	r.seconded = true
	t, borrowed := s.choose(r)
	if t == nil || !s.mayRepeat(r) {
		r.seconded = false
		r.secondFrom = s.now.Add(secondLook)
		return
	}
	a.seconded = true
	s.send(r, t, borrowed)
}
