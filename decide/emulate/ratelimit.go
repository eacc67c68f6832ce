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
	limitWindow = 4 * time.Second
	limitGrace  = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldBefore  = 500 * time.Millisecond
)

// Overrun is what a target got in the window in which it got most beyond its
// limit.
type Overrun struct {
	Target  fleet.TargetID `json:"target"`
	Second  float64        `json:"second"` // since the limit was named
	Got     int            `json:"got"`
	Allowed float64        `json:"allowed"`
	// Named is how many requests the target got in all while it named the limit.
	Named int `json:"named"`
}

// limited is a time in which a target names a limit.
type limited struct {
	target    fleet.TargetID
	perSecond float64
	since     clock.Time
	until     clock.Time
	told      map[process]clock.Time // when entry VMs first passed on an answer with it
	sends     []clock.Time           // that came from those after the grace
	named     int
}

// process is one process of an entry VM.
type process struct {
	vm     fleet.VMID
	starts int
}

// limit has t name a limit from now on.
func (b *books) limit(now clock.Time, t *target, perSecond float64) {
	t.limited = &limited{
		target: t.reg.ID, perSecond: perSecond, since: now, until: clock.Never, told: make(map[process]clock.Time),
	}
	b.limited = append(b.limited, t.limited)
}

// names is what an answer of t says of its limit.
func (t *target) names(now clock.Time) ingress.RateLimit {
	if t.limited == nil || !now.Before(t.limited.until) {
		return ingress.RateLimit{Heard: true}
	}
	return ingress.RateLimit{Heard: true, Named: true, PerSecond: t.limited.perSecond}
}

// tell notes that v passes on an answer with the limit.
func (l *limited) tell(now clock.Time, v *vm) {
	p := process{v.self.ID, v.starts}
	if _, ok := l.told[p]; !ok {
		l.told[p] = now
	}
}

// reach counts a request of v that reaches the target.
func (l *limited) reach(now clock.Time, v *vm) {
	if l == nil || !now.Before(l.until) {
		return
	}
	l.named++
	told, ok := l.told[process{v.self.ID, v.starts}]
	if ok && now.Sub(told) >= toldBefore && now.Sub(l.since) >= limitGrace {
		l.sends = append(l.sends, now)
	}
}

// worstOverrun returns the window that exceeds what is allowed most.
func worstOverrun(all []*limited) Overrun {
	var worst Overrun
	for _, l := range all {
		allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
		first := 0
		for i, at := range l.sends {
			for at.Sub(l.sends[first]) >= limitWindow {
				first++
			}
			got := i + 1 - first
			if worst.Target == "" || float64(got)-allowed > float64(worst.Got)-worst.Allowed {
				worst = Overrun{
					Target: l.target, Second: l.sends[first].Sub(l.since).Seconds(),
					Got: got, Allowed: allowed, Named: l.named,
				}
			}
		}
	}
	return worst
}
