package capacity

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/azurethread/azurethread/operate/render"
)

// legendMargin is the factor by which the vertical axis is extended, so that
// the legend covers no values.
const legendMargin = 1.3

// plotSpec describes a plot of the measured points and the fits of series that
// have the same axes.
type plotSpec struct {
	file   string
	title  string
	series []string
}

var plotSpecs = []plotSpec{
	{"lookup-blocks.svg", "Look-up decision by blocks", []string{"lookup/blocks", "find/blocks"}},
	{"lookup-sites.svg", "Look-up decision by sites", []string{"lookup/sites", "lookup-free/sites"}},
	{"table-blocks.svg", "Memory of the table of blocks", []string{"table/blocks"}},
	{"control-members.svg", "Control traffic sent by members of a domain", []string{"control-bytes/members", "control-max-bytes/members"}},
	{"sweep-bytes.svg", "Traffic of the busiest entry VM on the users' platform", []string{"sweep-bytes/vms"}},
	{"sweep-memory.svg", "Memory of an entry VM on the users' platform", []string{"sweep-memory/vms"}},
}

// plot writes the plots for which a series was fitted.
func (m *model) plot(folder string) error {
	for _, spec := range plotSpecs {
		p := plot.New()
		p.Title.Text = spec.title
		p.Legend.Top, p.Legend.Left = true, true
		drawn := 0
		for i, name := range spec.series {
			if line, ok := m.fits[name]; ok {
				if err := draw(p, line, i); err != nil {
					return err
				}
				drawn++
			}
		}
		if drawn == 0 {
			continue
		}
		p.Y.Max *= legendMargin
		if err := render.SVG(p, filepath.Join(folder, spec.file)); err != nil {
			return err
		}
	}
	return nil
}

// draw adds the points and the fit of a series to p.
func draw(p *plot.Plot, f fit, i int) error {
	p.X.Label.Text, p.Y.Label.Text = f.series.X, f.series.Unit
	p.Y.Min = 0
	points := make(plotter.XYs, len(f.series.Points))
	for j, x := range f.series.Points {
		points[j] = plotter.XY(x)
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("capacity: plot %s: %w", f.series.Name, err)
	}
	scatter.Shape, scatter.Color = plotutil.Shape(i), plotutil.Color(i)
	line := plotter.NewFunction(f.at)
	line.XMin, line.XMax = f.sizeRange()
	line.Color = plotutil.Color(i)
	p.Add(scatter, line)
	p.Legend.Add(f.series.Title, scatter, line)
	return nil
}
