package retry

// Budget is a token bucket filled by first attempts: with a share of 0.1,
// ten first attempts pay for one retry.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full bucket. Share is the part of first attempts that
// may be repeated; burst is the largest number of repeats saved up.
func NewBudget(share float64, burst int) Budget {
	return Budget{share: share, burst: float64(burst), tokens: float64(burst)}
}

// Earn records a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, b.burst) }

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
