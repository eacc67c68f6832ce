package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/target"
)

// Detector bounds how long an attempt may stay unanswered before its
// connection is suspected silent. There is one for each service.
type Detector interface {
	// Observe records how long an attempt took; for an attempt given up as
	// silent, how long it had lasted then.
	Observe(d time.Duration)
	// Bound returns the time after which an attempt is suspected.
	Bound() time.Duration
}

// The bounds of tailDetector.
const (
	tailFactor   = 3
	minBound     = 200 * time.Millisecond
	maxBound     = 5 * time.Second
	unknownBound = time.Second // before there are samples
)

// tailDetector suspects after a multiple of the p99 latency. Attempts given up
// count as samples: when the service has become slow as a whole, the bound
// rises instead of cutting off ever more work that would have been answered.
type tailDetector struct{ tail target.Quantiles }

func (d *tailDetector) Observe(l time.Duration) { d.tail.Observe(l) }

func (d *tailDetector) Bound() time.Duration {
	p99 := d.tail.P99()
	if p99 == 0 {
		return unknownBound
	}
	return min(max(tailFactor*p99, minBound), maxBound)
}
