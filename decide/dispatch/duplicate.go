package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// The bounds of the time after which an idempotent request is sent once more.
const (
	maxDuplicateDelay        = 5 * time.Second // while nothing is known of the latency
	maxDuplicateDelayKnown   = time.Second     // once a bound is known, which may be longer
	duplicateDeadlineDivisor = 2               // of the time to the deadline, as 1/plainShare
	// duplicateRetryInterval is the time between two tries when no slot was free or the
	// budget was used up.
	duplicateRetryInterval = 100 * time.Millisecond
)

// duplicateAt returns when r is sent once more though nothing tells a silent
// connection from a slow service: nobody else has been answered, as when there
// is but one caller, or nothing is known of the latency. Whether the first
// attempt is silent isn't known then, so it goes on, and the first answer wins.
func (s *State) duplicateAt(r *request) clock.Time {
	if !r.idempotent || r.duplicated || r.numCurrent == 0 || r.numCurrent == maxCurrent || r.attempts >= s.lim.MaxAttempts || s.opts.PlainBalancer {
		return clock.Never
	}
	a := r.oldest()
	return max(a.sentAt.Add(s.duplicateDelay(r, a)), r.duplicateNotBefore)
}

// duplicateDelay returns how long r waits for a alone.
func (s *State) duplicateDelay(r *request, a *attempt) time.Duration {
	wait := min(r.deadline.Sub(a.sentAt)/duplicateDeadlineDivisor, maxDuplicateDelay)
	bound, known := a.svc.silence.bound()
	if !known {
		return max(wait, minSilenceBound)
	}
	if a.remote != nil {
		bound += 2*a.remote.vm.rtt + a.acceptableWait
	}
	return max(min(wait, maxDuplicateDelayKnown), bound)
}

// oldest returns the current attempt that was sent first.
func (r *request) oldest() *attempt {
	first := r.current[0]
	for _, a := range r.current[1:r.numCurrent] {
		if a.sentAt < first.sentAt {
			first = a
		}
	}
	return first
}

// sendDuplicate sends r once more, on a new connection and if possible to another
// target.
func (s *State) sendDuplicate(r *request) {
	a := r.oldest()
	if a.target != nil {
		r.avoidTarget = a.target
	}
	r.duplicated = true
	t, borrowed := s.choose(r)
	if t == nil || !s.spendRepeat(r) {
		r.duplicated = false
		r.duplicateNotBefore = s.now.Add(duplicateRetryInterval)
		return
	}
	a.duplicated = true
	s.send(r, t, borrowed)
}
