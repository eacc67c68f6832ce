package pace

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

const (
	// AsUsual is the pace in percent at which work takes as long as usual.
	AsUsual = 100
	// MaxPercent is the largest pace that is accepted.
	MaxPercent = 10_000
	// HalfLife is the age at which half of a statement's difference from AsUsual is
	// still expected. Paces change several times a second.
	HalfLife = 400 * time.Millisecond
)

// IsValid reports whether percent is a pace that a target may state.
func IsValid(percent int) bool { return percent > 0 && percent <= MaxPercent }

// Estimate is the present pace of one target. Its zero value is a target whose work takes
// as long as usual.
type Estimate struct {
	excess     float64 // latest stated factor less 1
	observedAt clock.Time
	known      bool
}

// Observe records the pace that a target stated at now, in percent. An invalid one is
// ignored.
func (e *Estimate) Observe(now clock.Time, percent int) {
	if IsValid(percent) {
		*e = Estimate{excess: excessOf(percent), observedAt: now, known: true}
	}
}

// Known reports whether a pace has been observed.
func (e *Estimate) Known() bool { return e.known }

// Factor returns by what the usual work has to be multiplied at now; 1 without an
// observation.
func (e *Estimate) Factor(now clock.Time) float64 {
	if !e.known || e.excess == 0 {
		return 1
	}
	return 1 + e.excess*math.Exp2(-halfLives(now.Sub(e.observedAt)))
}

// MeanFactor returns the factor to expect on average over work that took the given time and
// ended when the target stated percent; 1 if percent is not valid.
//
// Long work spans several changes of the pace, of which only the last is known. The pace at
// an earlier moment is expected to differ from usual by the share that Factor expects at the
// same distance after a statement: a process that changes at random looks alike in both
// directions of time. MeanFactor is the mean of these expectations. The full stated factor
// would make long work that ended on a busy machine look far too short.
func MeanFactor(percent int, took time.Duration) float64 {
	if !IsValid(percent) || percent == AsUsual {
		return 1
	}
	x := halfLives(took) * math.Ln2
	if x == 0 {
		return 1 + excessOf(percent)
	}
	return 1 + excessOf(percent)*-math.Expm1(-x)/x
}

func excessOf(percent int) float64 { return float64(percent-AsUsual) / AsUsual }

// halfLives returns a time in units of HalfLife; 0 for a negative one, because reports from
// other VMs may be handled out of order.
func halfLives(d time.Duration) float64 { return float64(max(d, 0)) / float64(HalfLife) }
