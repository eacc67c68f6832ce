package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff from Min to Max.
type Backoff struct {
	Min, Max time.Duration

	next time.Duration
}

// Next returns the next pause, drawn between three quarters and the whole of
// the nominal one, so that entry VMs that saw the same failure don't all test
// the target or VM at once.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	if b.next < b.Min {
		b.next = b.Min
	}
	d := b.next
	b.next = min(2*b.next, b.Max)
	return d - time.Duration(rng.Float64()*float64(d)/4)
}

// Reset restarts from Min.
func (b *Backoff) Reset() { b.next = 0 }
