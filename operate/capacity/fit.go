package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"github.com/azurethread/azurethread/decide/steer/slope"
)

// minPoints is the least number of points that a slope is fitted to.
const minPoints = 4

// fit is a straight line through a series: y = offset + slope * scale(x).
type fit struct {
	series   slope.Series
	scale    scale
	offset   float64
	slope    float64
	residual float64 // largest deviation of a point, as a share of its value
}

// scale is how a cost follows the size.
type scale string

const (
	linear      scale = "x"
	logarithmic scale = "log2 x" // searches, which halve the rest at each step
	quadratic   scale = "x^2"    // each shift looks through the figures of all
)

func (s scale) of(x float64) float64 {
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

// newFit fits a series by least squares of the relative deviations, so that
// the points at small sizes count as much as those at large ones. It reports
// false for series of too few points.
func newFit(s slope.Series) (fit, bool) {
	if len(s.Points) < minPoints {
		return fit{}, false
	}
	f := fit{series: s, scale: linear}
	if sc, ok := scales[s.Name]; ok {
		f.scale = sc
	}
	var xs, ys, weights []float64
	for _, p := range s.Points {
		xs = append(xs, f.scale.of(p.X))
		ys = append(ys, p.Y)
		weights = append(weights, 1/math.Max(p.Y*p.Y, math.SmallestNonzeroFloat32))
	}
	f.offset, f.slope = stat.LinearRegression(xs, ys, weights, false)
	for _, p := range s.Points {
		f.residual = math.Max(f.residual, math.Abs(f.at(p.X)/p.Y-1))
	}
	return f, true
}

// at returns the line's value, which is never below zero.
func (f fit) at(x float64) float64 {
	return math.Max(0, f.offset+f.slope*f.scale.of(x))
}

// near is how close, as a share, a size must be to a measured one to count as
// the same: far less than the residuals, and sizes such as members of a domain
// are not whole numbers.
const near = 0.01

// point returns the measurement at x, if there is one.
func (f fit) point(x float64) (float64, bool) {
	for _, p := range f.series.Points {
		if math.Abs(p.X-x) <= near*p.X {
			return p.Y, true
		}
	}
	return 0, false
}

// covers reports whether x lies within the measured sizes.
func (f fit) covers(x float64) bool {
	least, most := f.span()
	return x >= least && x <= most
}

func (f fit) span() (least, most float64) {
	byX := func(a, b slope.Point) int { return int(math.Copysign(1, a.X-b.X)) }
	return slices.MinFunc(f.series.Points, byX).X, slices.MaxFunc(f.series.Points, byX).X
}
