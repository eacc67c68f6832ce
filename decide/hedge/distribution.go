package hedge

import (
	"math/bits"
	"time"
)

// Resolution and decay of a distribution.
const (
	subBits = 3 // eight buckets per doubling
	buckets = 18 << subBits
	unit    = time.Millisecond
	// halveAfter is the weight of all samples at which it is halved, so that the
	// latest few hundred answers count most.
	halveAfter = 256
	// minSamples is the weight below which a distribution is unknown.
	minSamples = 20
	// recomputeAfter is the number of samples between computations of the cached
	// quantiles, so that a send costs no pass over the buckets.
	recomputeAfter = 8
)

// distribution is a histogram of durations in buckets that grow by an eighth of a
// doubling. The zero value is empty.
type distribution struct {
	weights      [buckets]float32
	total        float32
	sinceCompute int
	median       time.Duration
	tail         time.Duration // quantile 1-tailShare
}

// observe adds a sample. tailShare determines the cached tail quantile.
func (d *distribution) observe(took time.Duration, tailShare float64) {
	d.weights[bucketOf(took)]++
	d.total++
	d.sinceCompute++
	if d.total >= halveAfter {
		d.total = 0
		for i := range d.weights {
			d.weights[i] /= 2
			d.total += d.weights[i]
		}
	}
	if d.sinceCompute >= recomputeAfter {
		d.sinceCompute = 0
		d.median, d.tail = d.quantile(0.5), d.quantile(1-tailShare)
	}
}

// known reports whether there are enough samples, of which the quantiles were computed.
func (d *distribution) known() bool { return d.total >= minSamples && d.median > 0 }

// quantile returns the duration that the share p of the samples does not exceed.
func (d *distribution) quantile(p float64) time.Duration {
	left := float32(p) * d.total
	for i, w := range d.weights {
		left -= w
		if w > 0 && left <= 0 {
			return upperBound(i)
		}
	}
	return 0
}

// above returns the weight of the samples that are longer than elapsed, and their mean
// duration.
func (d *distribution) above(elapsed time.Duration) (weight float64, mean time.Duration) {
	sum := 0.0
	for i := bucketOf(elapsed) + 1; i < buckets; i++ {
		w := float64(d.weights[i])
		weight += w
		sum += w * float64(upperBound(i))
	}
	if weight == 0 {
		return 0, 0
	}
	return weight, time.Duration(sum / weight)
}

// bucketOf returns the index of the bucket of a duration.
func bucketOf(took time.Duration) int {
	v := uint64(max(took, 0))/uint64(unit) + 1<<subBits
	e := bits.Len64(v) - 1 - subBits
	return min(e<<subBits+int(v>>e)-1<<subBits, buckets-1)
}

// upperBound returns the upper bound of a bucket.
func upperBound(i int) time.Duration {
	e := i >> subBits
	v := (i&(1<<subBits-1) + 1<<subBits + 1) << e
	return time.Duration(v-1<<subBits) * unit
}
