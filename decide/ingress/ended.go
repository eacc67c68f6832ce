package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/verdict"
)

// The end of one connection is not the end of a target: answers are cut,
// connections reset, lists of them full. So a target is asked once one is lost
// with a request under way. Only a refused connection proves that its process
// has ended; a host without power or behind a partition refuses nothing.

// lostRequest is a request that was under way at a target when its connection
// was lost.
type lostRequest struct {
	fingerprint quarantine.Fingerprint
	route       string
	sent, at    clock.Time
}

const (
	// maxLost bounds the lost requests that are kept of one target: more than
	// run and wait at one.
	maxLost = 128
	// keepLost is how long a lost request waits for proof of its target's end.
	// The registration of one that has ended goes within that time.
	keepLost = 6 * time.Second
)

// start names the start of t.
func (t *targetState) start() quarantine.Start {
	return quarantine.Start{Target: t.ID, Born: t.Born}
}

// lostUnder notes that a has ended with its connection.
func (r *Reducer) lostUnder(now clock.Time, a *attempt, why verdict.Reason) {
	q, t := a.req, a.target
	if why != verdict.ReasonConnectionLost && why != verdict.ReasonAnswerCut {
		return
	}
	q.losses++
	lost := lostRequest{fingerprint: q.fingerprint, route: q.route.Name, sent: a.sent, at: now}
	switch {
	case t.hasEnded:
		r.endedUnder(now, t, lost)
		return
	case t.Draining || t.gone || len(t.lost) >= maxLost:
		return // a target that leaves ends of its own accord
	}
	t.lost = append(t.lost, lost)
	if t.probing {
		return
	}
	t.probing = true
	r.out.Probes = append(r.out.Probes, Probe{Target: t.ID, Born: t.Born, Addr: t.Addr, Wait: r.connectBound(t)})
}

// probed takes the outcome of a probe.
func (r *Reducer) probed(now clock.Time, ev *Probed) {
	t, ok := r.targets[ev.Target]
	if !ok || t.Born != ev.Born {
		return // it has started again or left, which says as much
	}
	t.probing = false
	switch ev.Listening {
	case ListeningNo:
		r.believe(t, "ended", 0)
		r.ended(now, t)
	case ListeningYes:
		t.lost = nil
	}
}

// ended notes that the start of t has ended.
func (r *Reducer) ended(now clock.Time, t *targetState) {
	lost := t.lost
	t.lost = nil
	if t.hasEnded || t.Draining {
		return
	}
	t.hasEnded = true
	for _, l := range lost {
		if now.Sub(l.at) <= keepLost {
			r.endedUnder(now, t, l)
		}
	}
}

// endedUnderAll notes that the start of t has ended with all that is under way
// there.
func (r *Reducer) endedUnderAll(now clock.Time, t *targetState) {
	if t.Draining {
		return
	}
	for _, a := range r.attemptsAt(t) {
		r.endedUnder(now, t, lostRequest{fingerprint: a.req.fingerprint, route: a.req.route.Name, sent: a.sent, at: now})
	}
}
