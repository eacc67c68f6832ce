package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"

	"github.com/azurethread/azurethread/decide/steer/slope"
)

// minPoints is the least number of points for fitting a line. A power law needs
// only minPowerPoints, because a simulated run at each size of a fleet takes
// minutes, and successive sizes differ by a factor of three.
const (
	minPoints      = 4
	minPowerPoints = 3
)

// fit is a line fitted to a series, y = offset + slope * scale(x), or a power
// law, y = offset * x^slope.
type fit struct {
	series   slope.Series
	scale    scale
	offset   float64
	slope    float64
	residual float64 // largest relative deviation of the fit from a point
}

// scale is the function of the size that a cost is proportional to.
type scale string

const (
	linear      scale = "x"
	logarithmic scale = "log2 x" // binary searches
	quadratic   scale = "x^2"    // each shift searches the figures of all shifts
	power       scale = "power"  // fleets whose sizes differ by a constant factor
)

func (s scale) apply(x float64) float64 {
	switch s {
	case logarithmic:
		return math.Log2(x)
	case quadratic:
		return x * x
	default:
		return x
	}
}

// scales of the series that are not linear.
var scales = map[string]scale{
	"lookup/blocks": logarithmic,
	"find/blocks":   logarithmic,
	"plan/shifts":   quadratic,
}

// sweepPrefix is the prefix of the names of series over whole fleets.
const sweepPrefix = "sweep-"

func scaleOf(name string) scale {
	if sc, ok := scales[name]; ok {
		return sc
	}
	if strings.HasPrefix(name, sweepPrefix) {
		return power
	}
	return linear
}

// newFit fits a series. It returns false if the series cannot be fitted.
func newFit(s slope.Series) (fit, bool) {
	f := fit{series: s, scale: scaleOf(s.Name)}
	fitted := false
	if f.scale == power {
		fitted = f.fitPower()
	} else {
		fitted = f.fitLine()
	}
	if !fitted {
		return fit{}, false
	}
	for _, p := range s.Points {
		f.residual = math.Max(f.residual, math.Abs(f.at(p.X)/p.Y-1))
	}
	return f, true
}

// fitLine minimizes the squares of the relative deviations, so that points at
// small sizes have the same weight as points at large ones.
func (f *fit) fitLine() bool {
	if len(f.series.Points) < minPoints {
		return false
	}
	var xs, ys, weights []float64
	for _, p := range f.series.Points {
		xs = append(xs, f.scale.apply(p.X))
		ys = append(ys, p.Y)
		weights = append(weights, 1/math.Max(p.Y*p.Y, math.SmallestNonzeroFloat32))
	}
	f.offset, f.slope = stat.LinearRegression(xs, ys, weights, false)
	return true
}

// fitPower fits a line to the logarithms. It fails if a value is zero, which
// has no logarithm.
func (f *fit) fitPower() bool {
	if len(f.series.Points) < minPowerPoints {
		return false
	}
	var xs, ys []float64
	for _, p := range f.series.Points {
		if p.Y <= 0 {
			return false
		}
		xs = append(xs, math.Log(p.X))
		ys = append(ys, math.Log(p.Y))
	}
	f.offset, f.slope = stat.LinearRegression(xs, ys, nil, false)
	f.offset = math.Exp(f.offset)
	return true
}

// at returns the fit's value, which is never below zero.
func (f fit) at(x float64) float64 {
	if f.scale == power {
		return f.offset * math.Pow(x, f.slope)
	}
	return math.Max(0, f.offset+f.slope*f.scale.apply(x))
}

// String returns the fit as a formula.
func (f fit) String() string {
	if f.scale == power {
		return fmt.Sprintf("%.3g * x^%.2f %s", f.offset, f.slope, f.series.Unit)
	}
	return fmt.Sprintf("%.3g + %.3g * %s %s", f.offset, f.slope, f.scale, f.series.Unit)
}

// sizeTolerance is the relative difference up to which a size counts as equal
// to a measured one. Sizes such as members of a domain are not whole numbers,
// so a tolerance is needed; it is far below the residuals.
const sizeTolerance = 0.01

// pointAt returns the measurement of a series at x, if any.
func pointAt(s slope.Series, x float64) (float64, bool) {
	for _, p := range s.Points {
		if math.Abs(p.X-x) <= sizeTolerance*p.X {
			return p.Y, true
		}
	}
	return 0, false
}

// covers reports whether x is within the range of the measured sizes.
func (f fit) covers(x float64) bool {
	least, most := f.sizeRange()
	return x >= least && x <= most
}

func (f fit) sizeRange() (least, most float64) {
	byX := func(a, b slope.Point) int { return int(math.Copysign(1, a.X-b.X)) }
	return slices.MinFunc(f.series.Points, byX).X, slices.MaxFunc(f.series.Points, byX).X
}
