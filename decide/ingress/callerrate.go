package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// callerRate measures how many requests per second callers send to this entry VM. They
// choose among the VMs of their region at random, so it is a sample of the region's.
type callerRate struct {
	arrived int        // since from
	from    clock.Time // start of the present interval
	rate    float64    // moving average over the intervals
	samples int
}

const (
	callerRateInterval = time.Second
	// callerRateSamples is the number of intervals over which the rate is averaged. A
	// peak of a few seconds changes it little.
	callerRateSamples = 16
)

// count records a request.
func (c *callerRate) count(now clock.Time) {
	c.update(now)
	c.arrived++
}

func (c *callerRate) update(now clock.Time) {
	if c.from == 0 {
		c.from = now
	}
	passed := now.Sub(c.from)
	if passed < callerRateInterval {
		return
	}
	c.samples++
	weight := 1 / float64(min(c.samples, callerRateSamples))
	c.rate += weight * (float64(c.arrived)/passed.Seconds() - c.rate)
	c.arrived, c.from = 0, now
}

// perSecond returns the rate; false if it is not known yet.
func (c *callerRate) perSecond(now clock.Time) (float64, bool) {
	c.update(now)
	return c.rate, c.samples > 0
}
