package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
	"github.com/azurethread/azurethread/decide/target"
)

const (
	tailFactor = 3 // times the p99 latency
	// minBound is above a pause of a target's collector or scheduler. Shorter
	// silences are suspected by neither rule: in a service of steady latency
	// phi alone would, and the callers of non-idempotent requests would be
	// told of unknown outcomes at each pause.
	minBound     = 200 * time.Millisecond
	maxBound     = 5 * time.Second
	unknownBound = time.Second // before there are samples
	// nonIdempotentPatience multiplies both for non-idempotent requests.
	// Giving such a request up turns an answer that may still come into an
	// unknown outcome, so only a far longer silence justifies it.
	nonIdempotentPatience = 2
	// lookAgain is the least time between two looks at one attempt.
	lookAgain = 10 * time.Millisecond
)

// silence tells the silent connections of one service from slow ones. A
// connection carries one request at a time and is closed when its attempt is
// given up, so an attempt stands for its connection.
//
// Two rules suspect an attempt, whichever does so first. The first is phi
// accrual over the attempts at the service's targets: close to the usual
// latency where that varies little, but without a bound where the tail is
// long. The second is a multiple of the p99 latency, while others have been
// answered since. Forwards, whose latency is of another kind and whose number
// is small, are judged by the second alone.
type silence struct {
	phi  *detect.Phi
	free []detect.ID // numbers not in use
	next detect.ID   // number not used yet
	// tail holds the latencies, and for attempts given up how long they had
	// lasted: when the service has become slow as a whole, the bound rises
	// instead of cutting off ever more work that would have been answered.
	tail target.Quantiles
}

// configure sets the timeout of the service's requests. What is in flight is
// judged by the tail rule alone from then on.
func (d *silence) configure(timeout time.Duration) { d.phi = detect.ForAnswers(timeout) }

// sent starts to watch an attempt and returns its number.
func (d *silence) sent(now clock.Time) detect.ID {
	if len(d.free) == 0 {
		d.free = append(d.free, d.next)
		d.next++
	}
	last := len(d.free) - 1
	id := d.free[last]
	d.free = d.free[:last]
	d.phi.Sent(now, id)
	return id
}

// answered records the answer to a watched attempt.
func (d *silence) answered(now clock.Time, id detect.ID) { d.phi.Done(now, id) }

// forget ends the watch of an attempt.
func (d *silence) forget(id detect.ID) {
	d.phi.Forget(id)
	d.free = append(d.free, id)
}

// bound returns the time after which the tail rule suspects a send.
func (d *silence) bound() time.Duration {
	p99 := d.tail.P99()
	if p99 == 0 {
		return unknownBound
	}
	return min(max(tailFactor*p99, minBound), maxBound)
}

// watch starts to watch a, which has just been sent or forwarded.
func (s *State) watch(r *request, a *attempt) {
	if a.target != nil {
		a.connection = a.svc.silence.sent(s.now)
		a.watched = true
	}
	a.tailAt = s.now.Add(s.tailBound(r, a))
	a.silentAt = s.nextLook(a)
}

// unwatch stops watching a, if it is watched.
func (s *State) unwatch(a *attempt) {
	if a.watched {
		a.watched = false
		a.svc.silence.forget(a.connection)
	}
}

// tailBound returns how long the tail rule lets a stay unanswered.
func (s *State) tailBound(r *request, a *attempt) time.Duration {
	d := a.svc.silence.bound()
	if a.link != nil {
		d += 2*a.link.vm.rtt + a.mayWait
	}
	return r.patience() * d
}

// patience is how many times the bounds of silence r waits for.
func (r *request) patience() time.Duration {
	if r.idempotent {
		return 1
	}
	return nonIdempotentPatience
}

// nextLook returns when to look at a again.
func (s *State) nextLook(a *attempt) clock.Time {
	if !a.watched {
		return a.tailAt
	}
	at := max(a.svc.silence.phi.Due(s.now, a.connection), a.leastAt(), s.now.Add(lookAgain))
	return min(a.tailAt, at)
}

// leastAt returns the end of the shortest silence that may be suspected.
func (a *attempt) leastAt() clock.Time { return a.sentAt.Add(a.req.patience() * minBound) }

// suspected reports whether a has been silent for too long. Without an answer
// of others since it was sent, neither rule says so: this entry VM or the
// whole service may stand still.
func (s *State) suspected(r *request, a *attempt) bool {
	if a.svc.lastAnswer <= a.sentAt {
		s.extend(r, a)
		return false
	}
	return s.overdue(a)
}

// overdue reports whether one of the rules is met by a.
func (s *State) overdue(a *attempt) bool {
	if s.now >= a.tailAt {
		return true
	}
	return a.watched && s.now >= a.leastAt() && a.svc.silence.phi.Suspect(s.now, a.connection)
}

// extend lets the tail rule wait for its bound once more.
func (s *State) extend(r *request, a *attempt) {
	if s.now >= a.tailAt {
		a.tailAt = s.now.Add(s.tailBound(r, a))
	}
}
