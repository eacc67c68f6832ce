package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Bounds of the time after which an idempotent request is sent once more.
const (
	maxDuplicateDelay        = 5 * time.Second // while the latency is unknown
	maxDuplicateDelayKnown   = time.Second     // once a bound is known, which may be longer
	duplicateDeadlineDivisor = 2               // the delay is at most the time to the deadline divided by this
	// duplicateRetryInterval is the time between two tries when no slot or no
	// budget was available.
	duplicateRetryInterval = 100 * time.Millisecond
)

// duplicateAt returns when to send r once more although a silent connection
// can't be told from a slow service: either no other attempt has been answered,
// for example because there is only one caller, or the latency is unknown. The
// first attempt may not be silent, so it continues, and the first answer wins.
func (s *State) duplicateAt(r *request) clock.Time {
	if !r.idempotent || r.duplicated || r.numCurrent == 0 || r.numCurrent == maxCurrent || r.attempts >= s.lim.MaxAttempts || s.opts.PlainBalancer {
		return clock.Never
	}
	a := r.oldest()
	return max(a.sentAt.Add(s.duplicateDelay(r, a)), r.duplicateNotBefore)
}

// duplicateDelay returns how long r waits for a before it is sent once more.
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

// sendDuplicate sends r once more, on a new connection and if possible to
// another target.
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
