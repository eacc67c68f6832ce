package emulate

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
)

// Operators allow limitFactor times what a target's limit allows within
// limitWindow, and limitSlack requests, once the fleet has had limitGrace to
// learn of it. Counted is what entry VMs send that have passed on an answer with
// the limit toldBefore earlier.
const (
	limitWindow  = 4 * time.Second
	limitGrace   = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	minKnownTime = 500 * time.Millisecond
)

// Overrun is what a target got in the window in which it got most beyond its
// limit.
type Overrun struct {
	Target   fleet.TargetID `json:"target"`
	Second   float64        `json:"second"` // since the limit was named
	Received int            `json:"got"`
	Allowed  float64        `json:"allowed"`
	// Named is how many requests the target got in all while it named the limit.
	Named int `json:"named"`
}

// rateLimit is a time in which a target names a limit.
type rateLimit struct {
	target     fleet.TargetID
	perSecond  float64
	since      clock.Time
	until      clock.Time
	knownSince map[processID]clock.Time // when entry VMs first passed on an answer with it
	sends      []clock.Time             // that came from those after the grace
	total      int
}

// processID is one process of an entry VM.
type processID struct {
	vm            fleet.VMID
	processNumber int
}

// startLimit has t name a limit from now on.
func (b *recorder) startLimit(now clock.Time, t *target, perSecond float64) {
	t.limit = &rateLimit{
		target: t.registered.ID, perSecond: perSecond, since: now, until: clock.Never, knownSince: make(map[processID]clock.Time),
	}
	b.limits = append(b.limits, t.limit)
}

// advertisedLimit is what an answer of t says of its limit.
func (t *target) advertisedLimit(now clock.Time) ingress.RateLimit {
	if t.limit == nil || !now.Before(t.limit.until) {
		return ingress.RateLimit{Heard: true}
	}
	return ingress.RateLimit{Heard: true, Named: true, PerSecond: t.limit.perSecond}
}

// markKnown notes that v passes on an answer with the limit.
func (l *rateLimit) markKnown(now clock.Time, v *vm) {
	p := processID{v.self.ID, v.processNumber}
	if _, ok := l.knownSince[p]; !ok {
		l.knownSince[p] = now
	}
}

// countArrival counts a request of v that reaches the target.
func (l *rateLimit) countArrival(now clock.Time, v *vm) {
	if l == nil || !now.Before(l.until) {
		return
	}
	l.total++
	told, ok := l.knownSince[processID{v.self.ID, v.processNumber}]
	if ok && now.Sub(told) >= minKnownTime && now.Sub(l.since) >= limitGrace {
		l.sends = append(l.sends, now)
	}
}

// worstOverrun returns the window that exceeds what is allowed most.
func worstOverrun(all []*rateLimit) Overrun {
	var worst Overrun
	for _, l := range all {
		allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
		first := 0
		for i, at := range l.sends {
			for at.Sub(l.sends[first]) >= limitWindow {
				first++
			}
			got := i + 1 - first
			if worst.Target == "" || float64(got)-allowed > float64(worst.Received)-worst.Allowed {
				worst = Overrun{
					Target: l.target, Second: l.sends[first].Sub(l.since).Seconds(),
					Received: got, Allowed: allowed, Named: l.total,
				}
			}
		}
	}
	return worst
}
