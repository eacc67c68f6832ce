package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
	"github.com/azurethread/azurethread/decide/target"
)

const (
	p99Factor = 3 // times the p99 latency
	// minSilenceBound is above a pause of a target's collector or scheduler. Shorter
	// silences are suspected by neither rule: in a service of steady latency
	// phi alone would, and the callers of non-idempotent requests would be
	// told of unknown outcomes at each pause.
	minSilenceBound = 200 * time.Millisecond
	maxSilenceBound = 5 * time.Second
	// minBoundWithoutP99 is the least bound while there are too few answers for a p99;
	// the longest of them stands for it.
	minBoundWithoutP99 = time.Second
	// minP99Factor is the least of the bound as a multiple of that latency,
	// whatever maxBound says: a service that takes longer isn't silent.
	minP99Factor = 1.5
	// unknownLatencyCheckInterval is the time between two looks at an attempt while nothing is
	// known of its service's latency. None is given up meanwhile; the looks find
	// what has been learnt since.
	unknownLatencyCheckInterval = time.Second
	// nonIdempotentSilenceFactor multiplies both for non-idempotent requests.
	// Giving such a request up turns an answer that may still come into an
	// unknown outcome, so only a far longer silence justifies it.
	nonIdempotentSilenceFactor = 2
	// nonIdempotentGiveUpBound and overtakers are what a non-idempotent request is given
	// up for: so long a silence, while so many later requests at the same
	// target have been answered. Cut early, a submission at a healthy but slow
	// target ends with an unknown outcome, and its caller gains nothing but to
	// hear of it sooner.
	nonIdempotentGiveUpBound = time.Second
	minLaterAnswers          = 3
	// suspectedCheckInterval is the time between two looks at a submission that is
	// suspected and not given up.
	suspectedCheckInterval = 100 * time.Millisecond
	// minCheckInterval is the least time between two looks at one attempt.
	minCheckInterval = 10 * time.Millisecond
)

// silenceDetector tells the silent connections of one service from slow ones. A
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
type silenceDetector struct {
	phi     *detect.Phi
	freeIDs []detect.ID // numbers not in use
	nextID  detect.ID   // number not used yet
	// tail holds the latencies, and for attempts given up how long they had
	// lasted: when the service has become slow as a whole, the bound rises
	// instead of cutting off ever more work that would have been answered.
	tail target.Quantiles
	// longestLatency is the longest latency, that of forwards included. An attempt
	// given up isn't in it: of several lost together, the first one would
	// multiply the bound of the others.
	longestLatency time.Duration
	// timeout is phi's bound while it knows too little.
	timeout time.Duration
}

// configure sets the timeout of the service's requests. What is in flight is
// judged by the tail rule alone from then on.
func (d *silenceDetector) configure(timeout time.Duration) {
	d.phi = detect.ForAnswers(timeout)
	d.timeout = timeout
}

// sent starts to watch an attempt and returns its number.
func (d *silenceDetector) sent(now clock.Time) detect.ID {
	if len(d.freeIDs) == 0 {
		d.freeIDs = append(d.freeIDs, d.nextID)
		d.nextID++
	}
	last := len(d.freeIDs) - 1
	id := d.freeIDs[last]
	d.freeIDs = d.freeIDs[:last]
	d.phi.Sent(now, id)
	return id
}

// answered records the answer to a watched attempt.
func (d *silenceDetector) answered(now clock.Time, id detect.ID) { d.phi.Done(now, id) }

// forget ends the watch of an attempt.
func (d *silenceDetector) forget(id detect.ID) {
	d.phi.Forget(id)
	d.freeIDs = append(d.freeIDs, id)
}

// bound returns the time after which the tail rule suspects a send, and
// whether enough is known for it.
func (d *silenceDetector) bound() (b time.Duration, known bool) {
	least, usual := minSilenceBound, d.tail.P99()
	if usual == 0 {
		least, usual = minBoundWithoutP99, d.longestLatency
	}
	if usual == 0 {
		return 0, false
	}
	most := max(maxSilenceBound, time.Duration(minP99Factor*float64(usual)))
	return min(max(p99Factor*usual, least), most), true
}

// observe learns from the latency of an attempt at a target.
func (d *silenceDetector) observe(took time.Duration) {
	d.tail.Observe(took)
	d.observeForward(took)
}

// observeForward learns from the latency of a forward, which says little of
// the targets here.
func (d *silenceDetector) observeForward(took time.Duration) {
	d.longestLatency = max(d.longestLatency, took)
}

// phiSuspects reports whether phi suspects a watched attempt. Before phi has a
// fit it suspects by time alone, and that isn't listened to.
func (d *silenceDetector) phiSuspects(now clock.Time, id detect.ID) bool {
	return d.phi.Bound() < d.timeout && d.phi.Suspect(now, id)
}

// recentAnswers keeps when the answered attempts at one receiver had been sent:
// the latest ones, the latest first.
type recentAnswers [minLaterAnswers]clock.Time

// record records an answer to an attempt.
func (o *recentAnswers) record(sentAt clock.Time) {
	for i, at := range o {
		if sentAt > at {
			copy(o[i+1:], o[i:])
			o[i] = sentAt
			return
		}
	}
}

// allSentAfter reports whether enough attempts sent after the given instant have been
// answered.
func (o *recentAnswers) allSentAfter(sentAt clock.Time) bool { return o[minLaterAnswers-1] > sentAt }

// watch starts to watch a, which has just been sent or forwarded.
func (s *State) watch(a *attempt) {
	if a.target != nil {
		a.detectID = a.svc.silence.sent(s.now)
		a.watched = true
	}
	a.tailStart = s.now
	a.nextCheck = s.nextCheckAt(a)
}

// unwatch stops watching a, if it is watched.
func (s *State) unwatch(a *attempt) {
	if a.watched {
		a.watched = false
		a.svc.silence.forget(a.detectID)
	}
}

// tailAt returns when the tail rule suspects a, by what is known now: answers
// that came after a was sent count as much as those before.
func (s *State) tailAt(a *attempt) clock.Time {
	d, known := a.svc.silence.bound()
	if !known {
		return clock.Never
	}
	if a.remote != nil {
		d += 2*a.remote.vm.rtt + a.acceptableWait
	}
	return a.tailStart.Add(a.req.silenceFactor() * d)
}

// silenceFactor is how many times the bounds of silence r waits for.
func (r *request) silenceFactor() time.Duration {
	if r.idempotent {
		return 1
	}
	return nonIdempotentSilenceFactor
}

// nextCheckAt returns when to look at a again.
func (s *State) nextCheckAt(a *attempt) clock.Time {
	if a.suspected {
		return s.now.Add(suspectedCheckInterval)
	}
	at := min(s.tailAt(a), s.now.Add(unknownLatencyCheckInterval))
	if !a.watched {
		return at
	}
	due := max(a.svc.silence.phi.Due(s.now, a.detectID), a.minSilenceAt(), s.now.Add(minCheckInterval))
	return min(at, due)
}

// minSilenceAt returns the end of the shortest silence that may be suspected.
func (a *attempt) minSilenceAt() clock.Time {
	return a.sentAt.Add(a.req.silenceFactor() * minSilenceBound)
}

// isSilent reports whether a has been silent for too long. Without an answer
// of others since it was sent, neither rule says so: this entry VM or the
// whole service may stand still.
func (s *State) isSilent(a *attempt) bool {
	if a.svc.lastAnswer <= a.sentAt {
		s.extendTailBound(a)
		return false
	}
	return s.exceedsBound(a)
}

// exceedsBound reports whether one of the rules is met by a.
func (s *State) exceedsBound(a *attempt) bool {
	if s.now >= s.tailAt(a) {
		return true
	}
	return a.watched && s.now >= a.minSilenceAt() && a.svc.silence.phiSuspects(s.now, a.detectID)
}

// extendTailBound lets the tail rule wait for its bound once more.
func (s *State) extendTailBound(a *attempt) {
	if s.now >= s.tailAt(a) {
		a.tailStart = s.now
		a.boundExceeded = true
	}
}

// recordSuspicion counts a suspected attempt against its receiver, once, unless that has
// answered somebody since. The attempt goes on.
func (s *State) recordSuspicion(a *attempt) {
	if a.suspected {
		return
	}
	a.suspected = true
	if a.remote != nil {
		s.recordRemoteFailure(a.remote)
		return
	}
	if a.target.outlier.LastAnswer() < a.sentAt {
		s.recordTargetFailure(a.target)
	}
}

// laterAnswered reports whether later attempts at a's receiver have been answered.
func (a *attempt) laterAnswered() bool {
	if a.remote != nil {
		return a.remote.recentAnswers.allSentAfter(a.sentAt)
	}
	return a.target.recentAnswers.allSentAfter(a.sentAt)
}

// shouldReplace reports whether the connection of a is to be replaced when a is
// cancelled.
func (s *State) shouldReplace(a *attempt) bool {
	return a.boundExceeded || a.duplicated || s.exceedsBound(a)
}
