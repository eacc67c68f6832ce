package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// rateLimit is the rate that a target takes from all entry VMs together, as it
// has named it in its answers.
type rateLimit struct {
	named     bool
	perSecond float64
	at        clock.Time // when it was last named
}

// limitLinger is how long after a target last named its limit an answer without
// one ends it. Answers may overtake each other.
const limitLinger = time.Second

// learnLimit takes what an answer of t says of its limit.
func (r *Reducer) learnLimit(now clock.Time, t *targetState, l RateLimit) {
	switch {
	case !l.Heard:
	case l.Named:
		if !t.limit.named {
			r.believe(t, "names a rate limit", 0)
		}
		t.limit = rateLimit{named: true, perSecond: l.PerSecond, at: now}
	case t.limit.named && now.Sub(t.limit.at) >= limitLinger:
		r.believe(t, "rate limit has ended", 0)
		t.limit = rateLimit{}
	}
}
