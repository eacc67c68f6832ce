package render

import (
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format
)

// The size of a plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// SVG writes a plot to a file.
func SVG(p *plot.Plot, path string) error {
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if _, err := w.WriteTo(f); err != nil {
		_ = f.Close() // the error of the write is reported
		return fmt.Errorf("plot %s: %w", path, err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
