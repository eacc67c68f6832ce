package quota

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Rule is the operators' limit on the requests of an account within a window.
type Rule struct {
	Window  time.Duration
	Overage float64 // relative to the quota
	Slack   float64 // requests
}

// Allowed returns how many requests the rule allows in a window to an account with
// the given rate per second and burst.
func (r Rule) Allowed(perSecond, burst float64) float64 {
	return (r.Window.Seconds()*perSecond+burst)*(1+r.Overage) + r.Slack
}

const (
	// TransferTimeout is how long after it was requested a transfer of tokens is
	// accepted. It exceeds the round trip between two regions.
	TransferTimeout = 300 * time.Millisecond
	// RefundTimeout is how long after a request was admitted its token is returned
	// if the request was not run.
	RefundTimeout = 300 * time.Millisecond
	// Transit is how long tokens may be on their way: transferred, or with an
	// admitted request that has not arrived at its target.
	Transit = 500 * time.Millisecond
	// minDepthShare is the least part of what a rule allows that may be saved up.
	// Without it, an account without a burst could send only at exactly its rate.
	minDepthShare = 0.1
)

// Budget is the rate at which the tokens of an account are issued, and how many may
// be saved up, by one or all VMs.
type Budget struct {
	Rate  float64 // tokens per second
	Depth float64
}

// Budget returns the budget of an account for all VMs together.
func (r Rule) Budget(perSecond, burst float64) Budget {
	if r.Window <= 0 {
		return Budget{Rate: perSecond, Depth: max(burst, 1)}
	}
	allowed := r.Allowed(perSecond, burst)
	span := (r.Window + Transit).Seconds()
	rate := min(perSecond*(1+r.Overage), (1-minDepthShare)*allowed/span)
	return Budget{Rate: rate, Depth: allowed - rate*span}
}

// Part returns a part of the budget.
func (b Budget) Part(share float64) Budget {
	return Budget{Rate: b.Rate * share, Depth: b.Depth * share}
}

// Bucket holds the tokens of one account at one VM.
type Bucket struct {
	budget Budget
	tokens float64
	at     clock.Time // when tokens was computed
}

// NewBucket returns a bucket that has been filling since a time at which it was
// empty.
func NewBucket(now, since clock.Time, b Budget) Bucket {
	k := Bucket{budget: b, at: since}
	k.advance(now)
	return k
}

func (k *Bucket) advance(now clock.Time) {
	if now.After(k.at) {
		k.add(k.budget.Rate * now.Sub(k.at).Seconds())
		k.at = now
	}
}

// add adds issued tokens up to the depth. Received tokens may exceed it.
func (k *Bucket) add(n float64) {
	if k.tokens < k.budget.Depth {
		k.tokens = min(k.tokens+n, k.budget.Depth)
	}
}

// SetBudget changes the budget. What is saved beyond the new depth is lost.
func (k *Bucket) SetBudget(now clock.Time, b Budget) {
	if k.budget == b {
		return
	}
	k.advance(now)
	k.budget = b
	k.tokens = min(k.tokens, b.hold())
}

// hold is the most tokens that a bucket may hold. A VM with a small part can hold
// one whole token, or it could never admit a request.
func (b Budget) hold() float64 { return max(b.Depth, 1) }

// Tokens returns the number of tokens.
func (k *Bucket) Tokens(now clock.Time) float64 {
	k.advance(now)
	return k.tokens
}

// Take takes n tokens if there are as many.
func (k *Bucket) Take(now clock.Time, n float64) bool {
	if k.Tokens(now) < n {
		return false
	}
	k.tokens -= n
	return true
}

// TakeAbove takes n tokens if keep are left, or if the bucket can't hold more: a small
// bucket can't hold keep beside a whole token, and would never give one.
func (k *Bucket) TakeAbove(now clock.Time, n, keep float64) bool {
	if k.Tokens(now) < min(n+keep, max(n, k.budget.hold())) {
		return false
	}
	k.tokens -= n
	return true
}

// TakeUpTo takes at most n tokens but leaves keep, and returns how many. It takes none if
// n is not a number.
func (k *Bucket) TakeUpTo(now clock.Time, n, keep float64) float64 {
	if math.IsNaN(n) {
		return 0
	}
	given := max(min(n, k.Tokens(now)-keep), 0)
	k.tokens -= given
	return given
}

// Put adds tokens that were issued elsewhere, or returned.
func (k *Bucket) Put(now clock.Time, n float64) {
	k.tokens = min(k.Tokens(now)+max(n, 0), max(k.budget.hold(), k.tokens))
}

// Room returns how many more tokens the bucket can hold.
func (k *Bucket) Room(now clock.Time) float64 { return max(k.budget.hold()-k.Tokens(now), 0) }

// Rate returns the rate at which the bucket fills, in tokens per second.
func (k *Bucket) Rate() float64 { return k.budget.Rate }

// Full reports whether the bucket has all that time can give it.
func (k *Bucket) Full(now clock.Time) bool { return k.Tokens(now) >= k.budget.Depth }

// TimeTo returns how long it takes until the bucket has n tokens by itself;
// clock.Never's distance if that is never.
func (k *Bucket) TimeTo(now clock.Time, n float64) time.Duration {
	missing := n - k.Tokens(now)
	switch {
	case missing <= 0:
		return 0
	case k.budget.Rate <= 0 || n > k.budget.Depth:
		return math.MaxInt64
	}
	return time.Duration(min(missing/k.budget.Rate*float64(time.Second), math.MaxInt64/2))
}

// Meter measures a rate of events, with exponentially decaying weights.
type Meter struct {
	weight float64
	at     clock.Time
}

// meterTime is the time constant of a Meter.
const meterTime = time.Second

// Add counts an event.
func (m *Meter) Add(now clock.Time) {
	m.weight = m.PerSecond(now)*meterTime.Seconds() + 1
	m.at = now
}

// PerSecond returns the recent rate.
func (m *Meter) PerSecond(now clock.Time) float64 {
	age := max(now.Sub(m.at), 0)
	return m.weight * math.Exp(-float64(age)/float64(meterTime)) / meterTime.Seconds()
}
