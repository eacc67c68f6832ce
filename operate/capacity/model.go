package capacity

import (
	"fmt"

	"github.com/azurethread/azurethread/decide/steer/slope"
)

// basis is how a figure was obtained.
type basis string

const (
	measured     basis = "measured"     // by a run at this size
	fitted       basis = "fitted"       // by the fit, within the measured sizes
	extrapolated basis = "extrapolated" // by the fit, beyond the measured sizes
	derived      basis = "derived"      // arithmetic on sizes, settings and measured figures
	notMeasured  basis = "not measured" // its series is missing
)

// weakerBasis returns the basis of a figure that is calculated from two others.
func weakerBasis(a, b basis) basis {
	order := []basis{measured, fitted, derived, extrapolated, notMeasured}
	for i := len(order) - 1; i >= 0; i-- {
		if a == order[i] || b == order[i] {
			return order[i]
		}
	}
	return notMeasured
}

// figure is a value with its basis.
type figure struct {
	value float64
	basis basis
}

// arithmetic returns a figure calculated from sizes and settings.
func arithmetic(v float64) figure { return figure{v, derived} }

func (f figure) times(g figure) figure {
	return figure{f.value * g.value, weakerBasis(f.basis, g.basis)}
}
func (f figure) plus(g figure) figure {
	return figure{f.value + g.value, weakerBasis(f.basis, g.basis)}
}

// scaled changes the unit of f.
func (f figure) scaled(by float64) figure { return figure{f.value * by, f.basis} }

// timesValue returns f times a rate or number calculated from sizes.
func (f figure) timesValue(n float64) figure { return f.times(arithmetic(n)) }

// inverse returns 1/f. If f is zero, as it is without a measurement, the
// result counts as not measured.
func (f figure) inverse() figure {
	if f.value == 0 {
		return figure{basis: notMeasured}
	}
	return figure{1 / f.value, f.basis}
}

// unit is the unit in which a figure is printed.
type unit string

const (
	unitBytes   unit = "B"
	unitPerSec  unit = "/s"
	unitBytesPS unit = "B/s"
	unitCore    unit = "of a core"
	unitSeconds unit = "s"
	unitRatio   unit = ""
	unitShare   unit = "%"
	unitCount   unit = "count"
)

// row is one line of a role's table.
type row struct {
	quantity  string
	figure    figure
	unit      unit
	bound     float64 // 0 if there is none
	mechanism string
}

// margin returns the bound divided by the figure, or 0 if either is missing.
func (r row) margin() float64 {
	if r.bound == 0 || r.figure.value == 0 || r.figure.basis == notMeasured {
		return 0
	}
	return r.bound / r.figure.value
}

// role is a part of the system with its needs.
type role struct {
	name string
	note string
	rows []row
}

// model holds the fitted series and the sizes.
type model struct {
	sizes  Sizes
	series map[string]slope.Series
	fits   map[string]fit
}

func newModel(sizes Sizes, series []slope.Series) *model {
	m := &model{sizes: sizes, series: make(map[string]slope.Series), fits: make(map[string]fit)}
	for _, s := range series {
		m.series[s.Name] = s
		if f, ok := newFit(s); ok {
			m.fits[s.Name] = f
		}
	}
	return m
}

// at returns the figure of a series at size x: the measured value if there is
// one, and otherwise the value of the fit, if the series has one.
func (m *model) at(name string, x float64) figure {
	if y, ok := pointAt(m.series[name], x); ok {
		return figure{y, measured}
	}
	f, ok := m.fits[name]
	if !ok {
		return figure{basis: notMeasured}
	}
	if f.covers(x) {
		return figure{f.at(x), fitted}
	}
	return figure{f.at(x), extrapolated}
}

// atSinglePoint returns the figure of a series with a single point. At any
// other size than that of the point it is extrapolated in proportion.
func (m *model) atSinglePoint(name string, x float64) figure {
	s, ok := m.series[name]
	if !ok {
		return figure{basis: notMeasured}
	}
	if y, ok := s.At(x); ok {
		return figure{y, measured}
	}
	p := s.Points[0]
	return figure{p.Y * x / p.X, extrapolated}
}

// format formats a value with the row's unit.
func (r row) format(v float64) string {
	switch r.unit {
	case unitBytes, unitBytesPS:
		return bytesText(v) + rateSuffix(r.unit)
	case unitCore:
		return fmt.Sprintf("%.2g%% of a core", v*100)
	case unitSeconds:
		return secondsText(v)
	case unitShare:
		return fmt.Sprintf("%.2g%%", v*100)
	case unitRatio:
		return fmt.Sprintf("%.3g", v)
	default:
		return countText(v) + rateSuffix(r.unit)
	}
}

func rateSuffix(u unit) string {
	switch u {
	case unitPerSec, unitBytesPS:
		return "/s"
	default:
		return ""
	}
}

func bytesText(v float64) string {
	switch {
	case v >= 1e9:
		return fmt.Sprintf("%.3g GB", v/1e9)
	case v >= 1e6:
		return fmt.Sprintf("%.3g MB", v/1e6)
	case v >= 1e3:
		return fmt.Sprintf("%.3g KB", v/1e3)
	default:
		return fmt.Sprintf("%.3g B", v)
	}
}

func secondsText(v float64) string {
	switch {
	case v < 1e-6:
		return fmt.Sprintf("%.3g ns", v*1e9)
	case v < 1e-3:
		return fmt.Sprintf("%.3g us", v*1e6)
	case v < 1:
		return fmt.Sprintf("%.3g ms", v*1e3)
	default:
		return fmt.Sprintf("%.3g s", v)
	}
}

func countText(v float64) string {
	switch {
	case v >= 1e6:
		return fmt.Sprintf("%.3g M", v/1e6)
	case v >= 1000:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}
