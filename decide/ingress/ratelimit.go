package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// A target's rate limit applies to all entry VMs together, so one of them enforces
// it for all: the coordinator for its service in its region, which places the
// requests of the others. VMs that disagree about the members choose at most two
// coordinators in practice, and each uses half of what is allowed.
//
// A coordinator that has just started, or one of another region, may not know the
// limit. Therefore each VM that sends to the target checks its own knowledge last, the
// request's own VM (handleGrant) and the gateway (forward), and returns a request that
// was placed without it (LimitTerms). Whoever has placed it then learns of the limit.
//
// The coordinator of another region sends such a target a request only
// occasionally, to detect the end of the limit.

// rateLimit is the rate that a target accepts from all entry VMs together, as
// stated in its answers.
type rateLimit struct {
	active    bool
	perSecond float64
	statedAt  clock.Time // when it was last stated
	knownAt   clock.Time // when this VM learned of it
	endedAt   clock.Time // when the latest limit ended, if there is none now
}

const (
	// limitEndDelay is how long after the limit was last stated an answer without
	// one ends it. Answers may overtake each other.
	limitEndDelay = time.Second
	// limitShare is the part of a limit used by the VM that enforces it: half of
	// the operators' allowance, which exceeds the limit itself. The other half is
	// for a second VM that may enforce the limit at the same time.
	limitShare = 0.75
	// limitWindow is the time over which sends to a target with a limit are
	// counted.
	limitWindow = 2 * time.Second
	// limitMaxInterval is the longest time between two requests to a target, even
	// if its limit allows fewer: without requests, the target could not report the
	// end of its limit.
	limitMaxInterval = 5 * time.Second
	// limitMemory is how long VMs tell each other of a limit's end, and how long a VM
	// holds a limit that was stated to it against placements without regard to it.
	limitMemory = 5 * time.Minute
	// limitProbeInterval is the time between two requests of another region's
	// coordinator.
	limitProbeInterval = 10 * time.Second
)

// applyLimit applies what a result states about its target's limit. Only an answer
// to a request that was sent after the limit was last stated ends it.
func (r *Reducer) applyLimit(now clock.Time, t *targetState, rep *Report) {
	switch l := rep.Limit; {
	case !l.Known:
	case l.Limited:
		r.setLimit(now, t, rateLimit{active: true, perSecond: l.PerSecond, statedAt: now})
	case rep.Result == ResultServed && t.limit.active && now.Sub(t.limit.statedAt) >= max(limitEndDelay, rep.Took):
		r.endLimit(now, t, now)
	}
}

// endLimit records that t's limit ended at the given time.
func (r *Reducer) endLimit(now clock.Time, t *targetState, at clock.Time) {
	r.reportChange(t, "rate limit has ended", 0)
	t.limit = rateLimit{endedAt: at}
	if !t.removed { // otherwise a later instance may be listed under its ID
		t.svc.limited = deleteByID(t.svc.limited, t)
	}
	r.updateOccupancy(now, t)
}

// setLimit records the limit that t states.
func (r *Reducer) setLimit(now clock.Time, t *targetState, l rateLimit) {
	if !t.limit.active {
		r.out.StateChanges = append(r.out.StateChanges, TargetStateChange{
			Target: t.ID, Change: "states a rate limit", Age: now.Sub(l.statedAt),
			Limit: RateLimit{Known: true, Limited: true, PerSecond: l.perSecond},
		})
		if !t.removed {
			t.svc.limited = insertByID(t.svc.limited, t)
		}
		t.limit.knownAt = now
	}
	l.knownAt = t.limit.knownAt
	t.limit = l
	r.updateOccupancy(now, t)
}

// limitsFor returns limits of a service's targets that a coordinator may not know.
// If there are more than fit into one placement request, each request gets a
// different part. The limit of the target that was tried last comes first: the request
// may have been returned because of it. A limit that has ended meanwhile does no harm,
// because coordinators detect the end themselves.
func (r *Reducer) limitsFor(now clock.Time, s *service, tried []fleet.TargetID) []TargetLimit {
	n := min(len(s.limited), maxTargetLimits)
	if n == 0 {
		return nil
	}
	list := make([]TargetLimit, 0, n)
	if len(tried) > 0 {
		if t := r.stateOf(tried[len(tried)-1]); t != nil && t.limit.active {
			list = append(list, t.statedLimit(now))
		}
	}
	for i := 0; len(list) < n; i++ {
		t := s.limited[(int(r.nextPlacement%limitRotation)*n+i)%len(s.limited)]
		list = append(list, t.statedLimit(now))
	}
	return list
}

// statedLimit returns t's limit for other VMs.
func (t *targetState) statedLimit(now clock.Time) TargetLimit {
	return TargetLimit{Target: t.ID, PerSecond: t.limit.perSecond, Age: now.Sub(t.limit.statedAt)}
}

// limitTerms returns how this VM takes account of t's limit when it places a request
// there.
func (t *targetState) limitTerms(now clock.Time) LimitTerms {
	age := now.Sub(t.limit.endedAt)
	if t.limit.endedAt == 0 || age >= limitMemory {
		return LimitTerms{Counted: t.limit.active}
	}
	return LimitTerms{Ended: true, EndedAge: age}
}

// respectsLimit reports whether a request that was placed at t under the given terms
// may be sent as far as this VM knows t's limit. Terms that state the end of the limit
// end it here too.
func (r *Reducer) respectsLimit(now clock.Time, t *targetState, terms LimitTerms) bool {
	if !t.limit.active || terms.Counted || !r.on(RateLimits) || now.Sub(t.limit.statedAt) >= limitMemory {
		return true
	}
	at := now.Add(-max(terms.EndedAge, 0))
	if !terms.Ended || !at.After(t.limit.statedAt) {
		return false
	}
	r.endLimit(now, t, at)
	return true
}

// maxTargetLimits is the maximum number of limits in a placement request.
const maxTargetLimits = 8

// limitRotation keeps the position derived from a placement number, which starts
// at a time in ns, within the range of an index.
const limitRotation = 1 << 20

// mergeLimits merges the limits known to another entry VM. A limit that was stated
// before this VM detected its end is ignored.
func (r *Reducer) mergeLimits(now clock.Time, list []TargetLimit) {
	for _, l := range list[:min(len(list), maxTargetLimits)] {
		r.mergeLimit(now, l)
	}
}

// limitReceived applies the limit of a target that was received other than with a result.
func (r *Reducer) limitReceived(now clock.Time, ev *LimitReceived) {
	if t := r.stateOf(ev.Limit.Target); ev.Doubtful && t != nil && t.limit.active && ev.Limit.PerSecond >= t.limit.perSecond {
		return
	}
	r.mergeLimit(now, ev.Limit)
}

func (r *Reducer) mergeLimit(now clock.Time, l TargetLimit) {
	t := r.stateOf(l.Target)
	at := now.Add(-max(l.Age, 0))
	if t != nil && at.After(t.limit.statedAt) && at.After(t.limit.endedAt) {
		r.setLimit(now, t, rateLimit{active: true, perSecond: l.PerSecond, statedAt: at})
	}
}

// withinLimit reports whether t's limit lets this VM place another request there.
func (r *Reducer) withinLimit(now clock.Time, t *targetState) bool {
	if !t.limit.active || !r.on(RateLimits) {
		return true
	}
	switch r.opts.Self {
	case r.limitOwner(t):
		span, count := t.limit.allows()
		return t.sends.countWithin(now, span) < count
	case r.coordinator(r.region, t.Service):
		return t.sends.countWithin(now, limitProbeInterval) == 0
	default:
		return false // as many as there are VMs would follow, each by its own knowledge
	}
}

// countLimitedSend counts a request that this VM sends to t itself.
func (t *targetState) countLimitedSend() {
	if t.limit.active {
		t.svc.limitedSent++
	}
}

// allows returns how many requests may be placed within a span.
func (l *rateLimit) allows() (span time.Duration, count int) {
	rate := limitShare * l.perSecond
	if count := rate * limitWindow.Seconds(); count >= 1 {
		return limitWindow, int(min(count, maxSends))
	}
	if rate*limitMaxInterval.Seconds() < 1 {
		return limitMaxInterval, 1
	}
	return time.Duration(float64(time.Second) / rate), 1
}

// limitOwner returns the VM that enforces t's limit for all.
func (r *Reducer) limitOwner(t *targetState) fleet.VMID {
	if id := r.coordinator(t.region, t.Service); id != "" {
		return id
	}
	return r.coordinator(anyRegion, t.Service) // its region has no VM
}

// anyRegion stands for all regions together.
const anyRegion fleet.Region = ""

// effectiveSlots returns how many of t's slots can be in use at once. A rate limit
// may keep some of them idle.
func (t *targetState) effectiveSlots() int {
	work := t.svc.latency.P95().Seconds()
	if !t.limit.active || work == 0 {
		return t.Slots
	}
	return int(min(float64(t.Slots), max(1, limitShare*t.limit.perSecond*work)))
}

// sends are the times at which requests were placed at a target, the latest
// maxSends of them.
type sends []clock.Time

// maxSends is the maximum length of sends: a limit above that number within
// limitWindow has no effect.
const maxSends = 4096

// sendRetention is the longest span over which sends are counted.
const sendRetention = limitProbeInterval

// add records a request, and drops those placed longer than keep ago.
func (s *sends) add(now clock.Time, keep time.Duration) {
	first := 0
	for first < len(*s) && (now.Sub((*s)[first]) > keep || len(*s)-first >= maxSends) {
		first++
	}
	*s = append((*s)[first:], now)
}

// countWithin returns the number of requests placed within a span.
func (s sends) countWithin(now clock.Time, span time.Duration) int {
	n := 0
	for i := len(s) - 1; i >= 0 && now.Sub(s[i]) < span; i-- {
		n++
	}
	return n
}
