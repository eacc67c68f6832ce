package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
	"github.com/azurethread/azurethread/decide/target"
)

const (
	p99Factor = 3 // multiple of the p99 latency after which the p99 rule suspects an attempt
	// minSilenceBound exceeds a garbage collection or scheduling pause of a
	// target. Neither rule suspects shorter silences: in a service of steady
	// latency, phi would suspect each pause, and callers of non-idempotent
	// requests would get unknown outcomes.
	minSilenceBound = 200 * time.Millisecond
	maxSilenceBound = 5 * time.Second
	// minBoundWithoutP99 is the least bound while there are too few answers for
	// a p99, where the longest latency is used instead.
	minBoundWithoutP99 = time.Second
	// minP99Factor keeps the bound above the p99 or longest latency even where
	// maxSilenceBound is lower: a service that takes longer is slow, not
	// silent.
	minP99Factor = 1.5
	// unknownLatencyCheckInterval is the time between two checks of an attempt
	// while the latency of its service is unknown. No attempt is abandoned
	// meanwhile; a check only finds out whether the latency is known by then.
	unknownLatencyCheckInterval = time.Second
	// nonIdempotentSilenceFactor multiplies the bounds for non-idempotent
	// requests. Abandoning such a request turns an answer that may still come
	// into an unknown outcome, so only a much longer silence justifies it.
	nonIdempotentSilenceFactor = 2
	// A non-idempotent request is given up after a silence of
	// nonIdempotentGiveUpBound during which minLaterAnswers later requests to
	// the same target have been answered. If given up earlier, a request at a
	// healthy but slow target ends with an unknown outcome, and the caller
	// gains nothing but an earlier error.
	nonIdempotentGiveUpBound = time.Second
	minLaterAnswers          = 3
	// suspectedCheckInterval is the time between two checks of a non-idempotent
	// request that is suspected but not given up.
	suspectedCheckInterval = 100 * time.Millisecond
	// minCheckInterval is the least time between two checks of an attempt.
	minCheckInterval = 10 * time.Millisecond
)

// silenceDetector distinguishes silent connections of one service from slow
// ones. A connection carries one request at a time and is closed when its
// attempt is abandoned, so each attempt stands for its connection.
//
// Two rules suspect an attempt, and either is sufficient. The phi rule is phi
// accrual over the attempts at the service's targets. Its bound is close to the
// mean latency where that varies little, but has no upper limit where the tail
// is long. The p99 rule is a multiple of the p99 latency, and requires that
// other attempts have been answered since. Forwards have a different latency
// and are few, so only the p99 rule applies to them. With too few answers for a
// p99, the longest latency observed is used instead; before any answer, neither
// rule applies.
type silenceDetector struct {
	phi     *detect.Phi
	freeIDs []detect.ID // allocated and not in use
	nextID  detect.ID   // next to be allocated
	// tail holds latencies, and for abandoned attempts the time until they were
	// abandoned. When the service as a whole becomes slow, the bound rises
	// instead of cutting off ever more requests that would have been answered.
	tail target.Quantiles
	// longestLatency is the longest latency, including forwards. Abandoned
	// attempts are excluded: when several are lost at the same time, the
	// duration of the first one abandoned would multiply the bound of the
	// others.
	longestLatency time.Duration
	// timeout is phi's bound while it has too few samples.
	timeout time.Duration
}

// configure sets the timeout of the service's requests. From then on only the
// p99 rule applies to attempts already in flight.
func (d *silenceDetector) configure(timeout time.Duration) {
	d.phi = detect.ForAnswers(timeout)
	d.timeout = timeout
}

// sent starts watching an attempt and returns its id.
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

// forget stops watching an attempt.
func (d *silenceDetector) forget(id detect.ID) {
	d.phi.Forget(id)
	d.freeIDs = append(d.freeIDs, id)
}

// bound returns the time after which the p99 rule suspects a send, and whether
// the latency is known well enough for it.
func (d *silenceDetector) bound() (b time.Duration, known bool) {
	minBound, latency := minSilenceBound, d.tail.P99()
	if latency == 0 {
		minBound, latency = minBoundWithoutP99, d.longestLatency
	}
	if latency == 0 {
		return 0, false
	}
	maxBound := max(maxSilenceBound, time.Duration(minP99Factor*float64(latency)))
	return min(max(p99Factor*latency, minBound), maxBound), true
}

// observe records the latency of an attempt at a target.
func (d *silenceDetector) observe(took time.Duration) {
	d.tail.Observe(took)
	d.observeForward(took)
}

// observeForward records the latency of a forward, which says little about the
// targets here.
func (d *silenceDetector) observeForward(took time.Duration) {
	d.longestLatency = max(d.longestLatency, took)
}

// phiSuspects reports whether phi suspects a watched attempt. Until phi has
// fitted a distribution it uses only its timeout, and that result is ignored.
func (d *silenceDetector) phiSuspects(now clock.Time, id detect.ID) bool {
	return d.phi.Bound() < d.timeout && d.phi.Suspect(now, id)
}

// recentAnswers holds the latest send times among the answered attempts at one
// receiver, in descending order.
type recentAnswers [minLaterAnswers]clock.Time

// record adds an answered attempt.
func (ra *recentAnswers) record(sentAt clock.Time) {
	for i, at := range ra {
		if sentAt > at {
			copy(ra[i+1:], ra[i:])
			ra[i] = sentAt
			return
		}
	}
}

// allSentAfter reports whether minLaterAnswers attempts sent after the given
// time have been answered.
func (ra *recentAnswers) allSentAfter(sentAt clock.Time) bool { return ra[minLaterAnswers-1] > sentAt }

// watch starts watching a, which has just been sent or forwarded.
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

// tailAt returns when the p99 rule suspects a by the current bound, which takes
// into account answers received after a was sent.
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

// silenceFactor returns the factor by which the bounds of silence are
// multiplied for r.
func (r *request) silenceFactor() time.Duration {
	if r.idempotent {
		return 1
	}
	return nonIdempotentSilenceFactor
}

// nextCheckAt returns when to check a again.
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

// minSilenceAt returns when the shortest silence that may be suspected ends.
func (a *attempt) minSilenceAt() clock.Time {
	return a.sentAt.Add(a.req.silenceFactor() * minSilenceBound)
}

// isSilent reports whether a has been silent for too long. If no other attempt
// of the service has been answered since a was sent, it returns false: this
// entry VM or the whole service may be stalled.
func (s *State) isSilent(a *attempt) bool {
	if a.svc.lastAnswer <= a.sentAt {
		s.extendTailBound(a)
		return false
	}
	return s.exceedsBound(a)
}

// exceedsBound reports whether one of the two rules applies to a.
func (s *State) exceedsBound(a *attempt) bool {
	if s.now >= s.tailAt(a) {
		return true
	}
	return a.watched && s.now >= a.minSilenceAt() && a.svc.silence.phiSuspects(s.now, a.detectID)
}

// extendTailBound restarts the bound of the p99 rule for a if it has been
// exceeded.
func (s *State) extendTailBound(a *attempt) {
	if s.now >= s.tailAt(a) {
		a.tailStart = s.now
		a.boundExceeded = true
	}
}

// recordSuspicion counts a silent attempt once as a failure of its receiver,
// unless the receiver is a target that has answered another attempt since. The
// attempt continues.
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

// laterAnswered reports whether enough later attempts at a's receiver have been
// answered.
func (a *attempt) laterAnswered() bool {
	if a.remote != nil {
		return a.remote.recentAnswers.allSentAfter(a.sentAt)
	}
	return a.target.recentAnswers.allSentAfter(a.sentAt)
}

// shouldReplace reports whether the connection of a has to be replaced when a
// is cancelled.
func (s *State) shouldReplace(a *attempt) bool {
	return a.boundExceeded || a.duplicated || s.exceedsBound(a)
}
