package retry

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Budget is a token bucket filled by first attempts: with a share of 0.1,
// ten first attempts pay for one retry.
type Budget struct {
	ratio      float64
	burst      float64
	tokens     float64
	refilledAt clock.Time // until when the floor is credited
}

// refillInterval is the time that pays for one repeat, up to one. With little
// traffic the share alone pays for none, and a lone caller whose connection
// went silent would wait for its deadline.
const refillInterval = 10 * time.Second

// NewBudget returns a full bucket. Share is the part of first attempts that
// may be repeated; burst is the largest number of repeats saved up.
func NewBudget(share float64, burst int) Budget {
	return Budget{ratio: share, burst: float64(burst), tokens: float64(burst)}
}

// Earn records a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Pass credits the floor for the time until now.
func (b *Budget) Pass(now clock.Time) {
	passed := now.Sub(b.refilledAt)
	b.refilledAt = now
	if floor := min(1, b.burst); b.tokens < floor {
		b.tokens = min(b.tokens+float64(passed)/float64(refillInterval), floor)
	}
}

// Spend takes a token for a retry and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SpendSpare takes a token for a hedge. It leaves half of the bucket for
// retries: a hedge saves some time, a retry saves the answer.
func (b *Budget) SpendSpare() bool {
	if b.tokens < b.burst/2+1 {
		return false
	}
	b.tokens--
	return true
}
