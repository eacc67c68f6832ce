package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// A target that names a rate limit binds all entry VMs together, so one of them
// keeps to it for all: the coordinator for its service in its region, which
// places the requests of the others. Those that disagree about the members take
// two VMs for it at most in practice, and each keeps to half of what is allowed.
//
// A coordinator of another region sends such a target one request now and then,
// to learn when the limit has ended.

// rateLimit is the rate that a target takes from all entry VMs together, as it
// has named it in its answers.
type rateLimit struct {
	named     bool
	perSecond float64
	at        clock.Time // when it was last named
	ended     clock.Time // when the latest one has ended, if there is none
}

const (
	// limitLinger is how long after a target last named its limit an answer
	// without one ends it. Answers may overtake each other.
	limitLinger = time.Second
	// limitFor is how long a VM for which it is not to ask sends nothing to a
	// target after it has heard of its limit.
	limitFor = 30 * time.Second
	// limitShare is the part of a limit that the VM keeps to which places its
	// target's requests: half of what operators allow beyond the limit itself, as
	// another VM may take itself for the same.
	limitShare = 0.75
	// limitSpan is the time over which sends to a limited target are counted.
	limitSpan = 2 * time.Second
	// limitTrickle is the time between two requests for a target of which the
	// limit leaves less than that: one that gets none can't say that its limit
	// has ended.
	limitTrickle = 5 * time.Second
	// limitAsk is the time between two requests of another region's coordinator.
	limitAsk = 10 * time.Second
)

// learnLimit takes what the end of a send says of its target's limit. Only an
// answer to a request that was sent after the limit was last named ends it.
func (r *Reducer) learnLimit(now clock.Time, t *targetState, rep *Report) {
	switch l := rep.Limit; {
	case !l.Heard:
	case l.Named:
		r.nameLimit(now, t, rateLimit{named: true, perSecond: l.PerSecond, at: now})
	case rep.Result == ResultServed && t.limit.named && now.Sub(t.limit.at) >= max(limitLinger, rep.Took):
		r.believe(t, "rate limit has ended", 0)
		t.limit = rateLimit{ended: now}
		t.svc.limited = deleteByID(t.svc.limited, t)
		r.recount(now, t)
	}
}

// nameLimit notes that t names a limit.
func (r *Reducer) nameLimit(now clock.Time, t *targetState, l rateLimit) {
	if !t.limit.named {
		r.believe(t, "names a rate limit", 0)
		if !t.gone {
			t.svc.limited = insertByID(t.svc.limited, t)
		}
	}
	t.limit = l
	r.recount(now, t)
}

// limitsOf returns limits of a service's targets that a coordinator may not know:
// others with each ask where there are more than one bears. One that has ended
// meanwhile does no harm, as coordinators ask for that themselves.
func (r *Reducer) limitsOf(now clock.Time, s *service) []NamedLimit {
	n := min(len(s.limited), maxNamedLimits)
	if n == 0 {
		return nil
	}
	list := make([]NamedLimit, n)
	for i := range list {
		t := s.limited[(int(r.nextAsk%maxAskTurn)*n+i)%len(s.limited)]
		list[i] = NamedLimit{Target: t.ID, PerSecond: t.limit.perSecond, Age: now.Sub(t.limit.at)}
	}
	return list
}

// maxNamedLimits bounds the limits that an ask bears.
const maxNamedLimits = 8

// maxAskTurn keeps the turn of an ask, whose number begins at a time in ns, within
// the range of an index.
const maxAskTurn = 1 << 20

// hearLimits takes what another entry VM knows. What was named before this VM
// has seen the limit end is over.
func (r *Reducer) hearLimits(now clock.Time, list []NamedLimit) {
	for _, l := range list[:min(len(list), maxNamedLimits)] {
		t, ok := r.targets[l.Target]
		at := now.Add(-max(l.Age, 0))
		if ok && at.After(t.limit.at) && at.After(t.limit.ended) {
			r.nameLimit(now, t, rateLimit{named: true, perSecond: l.PerSecond, at: at})
		}
	}
}

// limitRoom reports whether t's limit lets this VM place one more request there.
func (r *Reducer) limitRoom(now clock.Time, t *targetState) bool {
	if !t.limit.named || !r.on(RateLimits) {
		return true
	}
	switch r.opts.Self {
	case r.limitKeeper(t):
		span, most := t.limit.allows()
		return t.sends.within(now, span) < most
	case r.coordinator(r.region, t.Service):
		return t.sends.within(now, limitAsk) == 0
	default:
		return now.Sub(t.limit.at) >= limitFor && t.sends.within(now, limitAsk) == 0
	}
}

// allows returns how many requests may be placed within a span.
func (l *rateLimit) allows() (span time.Duration, most int) {
	rate := limitShare * l.perSecond
	if most := rate * limitSpan.Seconds(); most >= 1 {
		return limitSpan, int(min(most, maxSends))
	}
	if rate*limitTrickle.Seconds() < 1 {
		return limitTrickle, 1
	}
	return time.Duration(float64(time.Second) / rate), 1
}

// limitKeeper returns the VM that keeps to t's limit for all.
func (r *Reducer) limitKeeper(t *targetState) fleet.VMID {
	if id := r.coordinator(t.region, t.Service); id != "" {
		return id
	}
	return r.coordinator(anyRegion, t.Service) // its region has no VM
}

// anyRegion stands for all regions together.
const anyRegion fleet.Region = ""

// rateSlots is the number of t's slots that requests can take at once: at its
// limit fewer may be in work than there are slots.
func (t *targetState) rateSlots() int {
	work := t.svc.latency.P95().Seconds()
	if !t.limit.named || work == 0 {
		return t.Slots
	}
	return int(min(float64(t.Slots), max(1, limitShare*t.limit.perSecond*work)))
}

// sends are the instants at which requests were placed at a target, the latest
// maxSends of them.
type sends []clock.Time

// maxSends bounds them: a limit beyond that within limitSpan binds nobody.
const maxSends = 4096

// keepSends is the longest span over which sends are counted.
const keepSends = limitAsk

// add notes a request, and forgets what was placed longer than keep ago.
func (s *sends) add(now clock.Time, keep time.Duration) {
	first := 0
	for first < len(*s) && (now.Sub((*s)[first]) > keep || len(*s)-first >= maxSends) {
		first++
	}
	*s = append((*s)[first:], now)
}

// within returns the number of requests that were placed within a span.
func (s sends) within(now clock.Time, span time.Duration) int {
	n := 0
	for i := len(s) - 1; i >= 0 && now.Sub(s[i]) < span; i-- {
		n++
	}
	return n
}
