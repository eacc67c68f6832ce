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
	minBound = 200 * time.Millisecond
	maxBound = 5 * time.Second
	// fewBound is the least bound while there are too few answers for a p99;
	// the longest of them stands for it.
	fewBound = time.Second
	// tailMargin is the least of the bound as a multiple of that latency,
	// whatever maxBound says: a service that takes longer isn't silent.
	tailMargin = 1.5
	// unknownLook is the time between two looks at an attempt while nothing is
	// known of its service's latency. None is given up meanwhile; the looks find
	// what has been learnt since.
	unknownLook = time.Second
	// nonIdempotentPatience multiplies both for non-idempotent requests.
	// Giving such a request up turns an answer that may still come into an
	// unknown outcome, so only a far longer silence justifies it.
	nonIdempotentPatience = 2
	// submissionBound and overtakers are what a non-idempotent request is given
	// up for: so long a silence, while so many later requests at the same
	// target have been answered. Cut early, a submission at a healthy but slow
	// target ends with an unknown outcome, and its caller gains nothing but to
	// hear of it sooner.
	submissionBound = time.Second
	overtakers      = 3
	// doubtedLook is the time between two looks at a submission that is
	// suspected and not given up.
	doubtedLook = 100 * time.Millisecond
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
// is small, are judged by the second alone. With too few answers for a p99, the
// longest latency seen stands for it; before any, neither rule speaks.
type silence struct {
	phi  *detect.Phi
	free []detect.ID // numbers not in use
	next detect.ID   // number not used yet
	// tail holds the latencies, and for attempts given up how long they had
	// lasted: when the service has become slow as a whole, the bound rises
	// instead of cutting off ever more work that would have been answered.
	tail target.Quantiles
	// longest is the longest latency, that of forwards included. An attempt
	// given up isn't in it: of several lost together, the first one would
	// multiply the bound of the others.
	longest time.Duration
	// timeout is phi's bound while it knows too little.
	timeout time.Duration
}

// configure sets the timeout of the service's requests. What is in flight is
// judged by the tail rule alone from then on.
func (d *silence) configure(timeout time.Duration) {
	d.phi = detect.ForAnswers(timeout)
	d.timeout = timeout
}

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

// bound returns the time after which the tail rule suspects a send, and
// whether enough is known for it.
func (d *silence) bound() (b time.Duration, known bool) {
	least, usual := minBound, d.tail.P99()
	if usual == 0 {
		least, usual = fewBound, d.longest
	}
	if usual == 0 {
		return 0, false
	}
	most := max(maxBound, time.Duration(tailMargin*float64(usual)))
	return min(max(tailFactor*usual, least), most), true
}

// observe learns from the latency of an attempt at a target.
func (d *silence) observe(took time.Duration) {
	d.tail.Observe(took)
	d.observeForward(took)
}

// observeForward learns from the latency of a forward, which says little of
// the targets here.
func (d *silence) observeForward(took time.Duration) { d.longest = max(d.longest, took) }

// improbable reports whether phi suspects a watched attempt. Before phi has a
// fit it suspects by time alone, and that isn't listened to.
func (d *silence) improbable(now clock.Time, id detect.ID) bool {
	return d.phi.Bound() < d.timeout && d.phi.Suspect(now, id)
}

// overtaken keeps when the answered attempts at one receiver had been sent:
// the latest ones, the latest first.
type overtaken [overtakers]clock.Time

// answered records an answer to an attempt.
func (o *overtaken) answered(sentAt clock.Time) {
	for i, at := range o {
		if sentAt > at {
			copy(o[i+1:], o[i:])
			o[i] = sentAt
			return
		}
	}
}

// since reports whether enough attempts sent after the given instant have been
// answered.
func (o *overtaken) since(sentAt clock.Time) bool { return o[overtakers-1] > sentAt }

// watch starts to watch a, which has just been sent or forwarded.
func (s *State) watch(a *attempt) {
	if a.target != nil {
		a.connection = a.svc.silence.sent(s.now)
		a.watched = true
	}
	a.tailFrom = s.now
	a.silentAt = s.nextLook(a)
}

// unwatch stops watching a, if it is watched.
func (s *State) unwatch(a *attempt) {
	if a.watched {
		a.watched = false
		a.svc.silence.forget(a.connection)
	}
}

// tailAt returns when the tail rule suspects a, by what is known now: answers
// that came after a was sent count as much as those before.
func (s *State) tailAt(a *attempt) clock.Time {
	d, known := a.svc.silence.bound()
	if !known {
		return clock.Never
	}
	if a.link != nil {
		d += 2*a.link.vm.rtt + a.mayWait
	}
	return a.tailFrom.Add(a.req.patience() * d)
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
	if a.doubted {
		return s.now.Add(doubtedLook)
	}
	at := min(s.tailAt(a), s.now.Add(unknownLook))
	if !a.watched {
		return at
	}
	due := max(a.svc.silence.phi.Due(s.now, a.connection), a.leastAt(), s.now.Add(lookAgain))
	return min(at, due)
}

// leastAt returns the end of the shortest silence that may be suspected.
func (a *attempt) leastAt() clock.Time { return a.sentAt.Add(a.req.patience() * minBound) }

// suspected reports whether a has been silent for too long. Without an answer
// of others since it was sent, neither rule says so: this entry VM or the
// whole service may stand still.
func (s *State) suspected(a *attempt) bool {
	if a.svc.lastAnswer <= a.sentAt {
		s.extend(a)
		return false
	}
	return s.overdue(a)
}

// overdue reports whether one of the rules is met by a.
func (s *State) overdue(a *attempt) bool {
	if s.now >= s.tailAt(a) {
		return true
	}
	return a.watched && s.now >= a.leastAt() && a.svc.silence.improbable(s.now, a.connection)
}

// extend lets the tail rule wait for its bound once more.
func (s *State) extend(a *attempt) {
	if s.now >= s.tailAt(a) {
		a.tailFrom = s.now
		a.outlasted = true
	}
}

// doubt counts a suspected attempt against its receiver, once, unless that has
// answered somebody since. The attempt goes on.
func (s *State) doubt(a *attempt) {
	if a.doubted {
		return
	}
	a.doubted = true
	if a.link != nil {
		s.linkFailed(a.link)
		return
	}
	if a.target.outlier.LastAnswer() < a.sentAt {
		s.targetFailed(a.target)
	}
}

// overtaken reports whether later attempts at a's receiver have been answered.
func (a *attempt) overtaken() bool {
	if a.link != nil {
		return a.link.overtaken.since(a.sentAt)
	}
	return a.target.overtaken.since(a.sentAt)
}

// replaceable reports whether the connection of a is to be replaced when a is
// cancelled.
func (s *State) replaceable(a *attempt) bool {
	return a.outlasted || a.seconded || s.overdue(a)
}
