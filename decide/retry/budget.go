package retry

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Budget is a token bucket filled by first attempts: with a ratio of 0.1, ten
// first attempts pay for one retry.
type Budget struct {
	ratio      float64
	burst      float64
	tokens     float64
	refilledAt clock.Time // elapsed time is credited up to here
}

// refillInterval is the time that pays for one retry if the bucket holds less
// than one token. With little traffic, the ratio alone would pay for no retry,
// and a single caller whose connection went silent would wait until its deadline.
const refillInterval = 10 * time.Second

// NewBudget returns a full bucket. The ratio is the part of first attempts
// that may be retried; burst is the largest number of retries saved up.
func NewBudget(ratio float64, burst int) Budget {
	return Budget{ratio: ratio, burst: float64(burst), tokens: float64(burst)}
}

// Deposit adds the credit for a first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Refill adds the credit for the time until now, up to one token.
func (b *Budget) Refill(now clock.Time) {
	elapsed := now.Sub(b.refilledAt)
	b.refilledAt = now
	if limit := min(1, b.burst); b.tokens < limit {
		b.tokens = min(b.tokens+float64(elapsed)/float64(refillInterval), limit)
	}
}

// Spend takes a token for a retry and reports whether one was left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SpendForHedge takes a token for a hedge. It leaves half of the bucket for
// retries: a hedge saves some time, whereas a retry saves the answer.
func (b *Budget) SpendForHedge() bool {
	if b.tokens < b.burst/2+1 {
		return false
	}
	b.tokens--
	return true
}
