package emulate

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
)

// Within limitWindow, operators allow limitFactor times the requests that a
// target's limit allows, plus limitSlack. This applies limitGrace after the limit
// was first stated, so that the fleet can learn of it. Only sends of entry VMs
// that received an answer with the limit at least minKnownTime earlier count.
const (
	limitWindow  = 4 * time.Second
	limitGrace   = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	minKnownTime = 500 * time.Millisecond
)

// Overrun describes the window in which a target received the most requests
// beyond its limit.
type Overrun struct {
	Target   fleet.TargetID `json:"target"`
	Second   float64        `json:"second"` // time since the limit was first stated
	Received int            `json:"got"`
	Allowed  float64        `json:"allowed"`
	// Named is the number of requests that the target received in total while it
	// stated the limit.
	Named int `json:"named"`
}

// rateLimit is a period in which a target states a limit.
type rateLimit struct {
	target     fleet.TargetID
	perSecond  float64
	since      clock.Time
	until      clock.Time
	knownSince map[processID]clock.Time // when each entry VM first received an answer with it
	sends      []clock.Time             // times of the sends that count
	total      int
}

// processID is one process of an entry VM.
type processID struct {
	vm            fleet.VMID
	processNumber int
}

// startLimit makes t state a limit from now on.
func (rec *recorder) startLimit(now clock.Time, t *target, perSecond float64) {
	t.limit = &rateLimit{
		target: t.registered.ID, perSecond: perSecond, since: now, until: clock.Never, knownSince: make(map[processID]clock.Time),
	}
	rec.limits = append(rec.limits, t.limit)
}

// advertisedLimit returns what an answer of t says about its limit.
func (t *target) advertisedLimit(now clock.Time) ingress.RateLimit {
	if t.limit == nil || !now.Before(t.limit.until) {
		return ingress.RateLimit{Known: true}
	}
	return ingress.RateLimit{Known: true, Limited: true, PerSecond: t.limit.perSecond}
}

// markKnown records that v has received an answer with the limit.
func (l *rateLimit) markKnown(now clock.Time, v *vm) {
	p := processID{v.self.ID, v.processNumber}
	if _, ok := l.knownSince[p]; !ok {
		l.knownSince[p] = now
	}
}

// countArrival counts a request from v that reaches the target.
func (l *rateLimit) countArrival(now clock.Time, v *vm) {
	if l == nil || !now.Before(l.until) {
		return
	}
	l.total++
	since, ok := l.knownSince[processID{v.self.ID, v.processNumber}]
	if ok && now.Sub(since) >= minKnownTime && now.Sub(l.since) >= limitGrace {
		l.sends = append(l.sends, now)
	}
}

// worstOverrun returns the window with the most requests beyond what is allowed.
func worstOverrun(all []*rateLimit) Overrun {
	var worst Overrun
	for _, l := range all {
		allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
		if worst.Target == "" {
			worst = Overrun{Target: l.target, Allowed: allowed, Named: l.total}
		}
		first := 0
		for i, at := range l.sends {
			for at.Sub(l.sends[first]) >= limitWindow {
				first++
			}
			got := i + 1 - first
			if float64(got)-allowed > float64(worst.Received)-worst.Allowed {
				worst = Overrun{
					Target: l.target, Second: l.sends[first].Sub(l.since).Seconds(),
					Received: got, Allowed: allowed, Named: l.total,
				}
			}
		}
	}
	return worst
}
