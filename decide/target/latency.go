package target

import (
	"math/bits"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// meanWeight is the weight of a new sample in Mean.
const meanWeight = 0.2

// meanHalfReturn is the time after the last sample at which a Mean has moved
// half of the way back to the service's usual latency.
const meanHalfReturn = 3 * time.Second

// Mean is an exponentially weighted moving average of latency.
type Mean struct {
	value     float64    // ns
	sampledAt clock.Time // last sample
	known     bool
}

// Observe adds a sample.
func (m *Mean) Observe(now clock.Time, d time.Duration) {
	if !m.known {
		m.value = float64(d)
		m.known = true
	} else {
		m.value += meanWeight * (float64(d) - m.value)
	}
	m.sampledAt = now
}

// Forget drops all samples.
func (m *Mean) Forget() { *m = Mean{} }

// Known reports whether there has been a sample.
func (m *Mean) Known() bool { return m.known }

// Value returns the average in ns, or usual without a sample.
func (m *Mean) Value(usual float64) float64 {
	if !m.known {
		return usual
	}
	return m.value
}

// At returns the average in ns, moved towards usual with the time since the
// last sample.
func (m *Mean) At(now clock.Time, usual float64) float64 {
	if !m.known {
		return usual
	}
	keep := float64(meanHalfReturn) / float64(meanHalfReturn+now.Sub(m.sampledAt))
	return usual + (m.value-usual)*keep
}

// Resolution and decay of Quantiles.
const (
	subBits        = 2 // four buckets per doubling
	buckets        = 40 << subBits
	halveAfter     = 4096    // samples after which all counts are halved
	recomputeAfter = 64      // samples between two computations of the quantiles
	firstCompute   = 16      // samples before the first computation
	bucketUnit     = 1 << 12 // ns
)

// Quantiles estimates the p95 and p99 of latency from a histogram whose
// buckets grow by about a quarter (25%) each. The weight of older samples
// decays.
type Quantiles struct {
	counts       [buckets]uint16
	total        int
	sinceCompute int
	p95, p99     time.Duration
}

// Observe adds a sample.
func (q *Quantiles) Observe(d time.Duration) {
	q.counts[bucket(d)]++
	q.total++
	q.sinceCompute++
	if q.sinceCompute >= recomputeAfter || q.total == firstCompute {
		q.compute()
	}
	if q.total >= halveAfter {
		q.halve()
	}
}

// P95 returns the 95th percentile, or 0 before there are enough samples.
func (q *Quantiles) P95() time.Duration { return q.p95 }

// P99 returns the 99th percentile, or 0 before there are enough samples.
func (q *Quantiles) P99() time.Duration { return q.p99 }

func (q *Quantiles) compute() {
	q.sinceCompute = 0
	q.p95 = q.quantile(0.95)
	q.p99 = q.quantile(0.99)
}

func (q *Quantiles) quantile(p float64) time.Duration {
	remaining := int((1 - p) * float64(q.total))
	for i := buckets - 1; i >= 0; i-- {
		remaining -= int(q.counts[i])
		if remaining < 0 {
			return bucketUpper(i)
		}
	}
	return 0
}

func (q *Quantiles) halve() {
	q.total = 0
	for i := range q.counts {
		q.counts[i] /= 2
		q.total += int(q.counts[i])
	}
}

// bucket returns the index of the bucket for d, from its leading bits in units
// of 4 µs.
func bucket(d time.Duration) int {
	if d < 0 {
		d = 0
	}
	v := uint64(d)/bucketUnit + 1<<subBits
	e := bits.Len64(v) - 1 - subBits
	i := e<<subBits + int(v>>e) - 1<<subBits
	return min(i, buckets-1)
}

// bucketUpper returns the upper bound of bucket i.
func bucketUpper(i int) time.Duration {
	e := i >> subBits
	v := uint64(1<<subBits+i&(1<<subBits-1)+1) << e
	return time.Duration((v - 1<<subBits) * bucketUnit)
}
