package ingress

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/verdict"
)

// The loss of one connection does not prove that its target has terminated:
// answers are cut off, connections reset, backlogs full. So a target is probed
// after a connection with a request under way is lost. Only a refused connection
// proves that its process has terminated, and only if this VM reaches other targets: a
// device on the way may refuse connections to all of them. A host without power or behind
// a network partition refuses nothing.

// lostRequest is a request that was under way at a target when its connection was
// lost.
type lostRequest struct {
	fingerprint quarantine.Fingerprint
	route       string
	sent, at    clock.Time
}

const (
	// maxLostRequests limits the lost requests kept per target. Fewer requests run
	// and wait at a target at once.
	maxLostRequests = 128
	// lostRequestTTL is how long a lost request waits for proof that its target
	// has terminated. The registration of a terminated target disappears within
	// that time.
	lostRequestTTL = 6 * time.Second
)

// instance identifies this instance of t.
func (t *targetState) instance() quarantine.Start {
	return quarantine.Start{Target: t.ID, Born: t.StartedAt}
}

// recordLostRequest records that a has ended with its connection.
func (r *Reducer) recordLostRequest(now clock.Time, a *attempt, reason verdict.Reason) {
	q, t := a.req, a.target
	if reason != verdict.ReasonConnectionLost && reason != verdict.ReasonAnswerCut {
		return
	}
	q.lostConnections++
	q.lostAt, q.lostTarget = now, t
	lost := lostRequest{fingerprint: q.fingerprint, route: q.route.Name, sent: a.sent, at: now}
	switch {
	case t.terminated:
		r.recordTermination(now, t, lost)
		return
	case t.Draining || t.removed || len(t.lost) >= maxLostRequests:
		return // a leaving target terminates without a crash
	}
	t.lost = append(t.lost, lost)
	r.probeTermination(now, t)
}

// probeTermination probes whether t has terminated, unless a probe is under way, and this
// VM's links at the same time: each crash that is proved later costs targets.
func (r *Reducer) probeTermination(now clock.Time, t *targetState) {
	if t.probing || t.removed {
		return
	}
	t.probing, t.probedAt = true, now
	r.out.Probes = append(r.out.Probes, Probe{Target: t.ID, StartedAt: t.StartedAt, Addr: t.Addr, Timeout: connectTimeout(r.rtt(t.region))})
	if !r.links.probing {
		r.probeLinks(now)
	}
}

// maxProofWait is how long the caller of a request whose connection was lost waits at most
// until it is known whether the request has ended its target.
const maxProofWait = 50 * time.Millisecond

// refuseOnceProved refuses q once it is known whether its last target has terminated: a
// caller that is answered sooner could repeat a request that ends targets before this VM
// keeps it away from them.
func (r *Reducer) refuseOnceProved(now clock.Time, q *request) {
	until := clock.Min(q.lostAt.Add(maxProofWait), q.deadline)
	if q.lostTarget == nil || !r.isProving(q.lostTarget) || !now.Before(until) {
		r.refuse(now, q)
		return
	}
	r.awaitingProof[q] = true
	r.timers.add(timer{at: until, purpose: dueProof, request: q.id})
}

// isProving reports whether it is still open whether t has terminated.
func (r *Reducer) isProving(t *targetState) bool {
	return t.probing || slices.Contains(r.links.refused, t)
}

// refuseProved refuses the requests of which it is known whether their targets have
// terminated.
func (r *Reducer) refuseProved(now clock.Time) {
	var proved []*request
	for q := range r.awaitingProof {
		if !r.isProving(q.lostTarget) {
			proved = append(proved, q)
		}
	}
	slices.SortFunc(proved, byID)
	for _, q := range proved {
		r.refuse(now, q)
	}
}

// probed handles the result of a probe.
func (r *Reducer) probed(now clock.Time, ev *Probed) {
	t := r.stateOf(ev.Target)
	if t == nil || t.StartedAt != ev.StartedAt {
		return // it has restarted or left, which proves the same
	}
	t.probing = false
	if ev.Listening == ListeningYes {
		r.linkOpened(now, now)
		t.lost = nil
		return
	}
	r.linkFailed(now, t.probedAt, t)
	switch {
	case t.removed || ev.Listening != ListeningNo:
	case len(r.links.failed) > 0:
		r.links.refused = append(r.links.refused, t)
	default:
		r.provedTerminated(now, t)
	}
}

// provedTerminated records that t has terminated: its host has refused a connection, and
// this VM could open one to another target.
func (r *Reducer) provedTerminated(now clock.Time, t *targetState) {
	if !t.removed {
		r.reportChange(t, "ended", 0)
		r.markTerminated(now, t)
	}
}

// markTerminated records that this instance of t has terminated.
func (r *Reducer) markTerminated(now clock.Time, t *targetState) {
	lost := t.lost
	t.lost = nil
	if t.terminated || t.Draining {
		return
	}
	t.terminated = true
	for _, l := range lost {
		if now.Sub(l.at) <= lostRequestTTL {
			r.recordTermination(now, t, l)
		}
	}
}

// recordTerminationForAll records the termination of t for all requests under way
// there.
func (r *Reducer) recordTerminationForAll(now clock.Time, t *targetState) {
	if t.Draining {
		return
	}
	for _, a := range r.attemptsAt(t) {
		r.recordTermination(now, t, lostRequest{fingerprint: a.req.fingerprint, route: a.req.route.Name, sent: a.sent, at: now})
	}
}
