package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/azurethread/azurethread/decide/emulate"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/operate/command"
	"github.com/azurethread/azurethread/operate/render"
)

// settings are the flags of the command.
type settings struct {
	seeds   int
	jobs    int
	without []string
	json    string
	svg     string
}

// Command returns `azurethread experiment`.
func Command() *cobra.Command {
	var s settings
	c := &cobra.Command{
		Use:   "experiment PATTERN...",
		Short: "Run patterns of load and faults in the emulator and compare variants",
		Long: `Experiment runs each pattern, a JSON file, with seeds 1 to N in the emulator: the
decision code of a whole fleet of entry VMs, in simulated time and without a
network. Each pattern is run once with all mechanisms and once for each variant.
The same seed gives the same run. The table holds the mean over the seeds and,
for the worth, the difference between the largest and the smallest value.

Mechanisms: ` + strings.Join(ingress.MechanismNames(), ", ") + ".",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			p, err := newPlan(files, s.without, s.seeds)
			if err != nil {
				return &command.UsageError{Err: err}
			}
			return s.run(c, p)
		},
	}
	f := c.Flags()
	f.IntVar(&s.seeds, "seeds", 3, "number of seeds for each variant")
	f.IntVar(&s.jobs, "jobs", runtime.NumCPU()/2, "runs at a time")
	f.StringSliceVar(&s.without, "without", nil, `mechanisms to switch off, one variant each; "each" for all`)
	f.StringVar(&s.json, "json", "", "file to write all results to")
	f.StringVar(&s.svg, "svg", "", "file to write a plot of the worth over time to, of the first pattern")
	return c
}

func (s *settings) run(c *cobra.Command, p *plan) error {
	outcomes := p.run(s.jobs, func(done, all int) {
		fmt.Fprintf(c.ErrOrStderr(), "\r%d of %d runs", done, all)
	})
	fmt.Fprintln(c.ErrOrStderr())
	printTable(c.OutOrStdout(), outcomes)
	if s.json != "" {
		if err := writeJSON(s.json, outcomes); err != nil {
			return err
		}
	}
	if s.svg != "" {
		return writeSVG(s.svg, outcomes)
	}
	return nil
}

func printTable(w io.Writer, outcomes []*outcome) {
	header := []any{"PATTERN", "VARIANT", "SPREAD"}
	for _, c := range columns {
		header = append(header, strings.ToUpper(c.title))
	}
	t := render.NewTable(w, header...)
	for _, o := range outcomes {
		_, spread := o.meanAndSpread(columns[0])
		row := []any{o.Pattern, o.Variant, fmt.Sprintf("%.4f", spread)}
		for _, c := range columns {
			mean, _ := o.meanAndSpread(c)
			row = append(row, fmt.Sprintf("%.4f", mean))
		}
		t.AppendRow(row)
	}
	t.Render()
}

func writeJSON(path string, outcomes []*outcome) error {
	b, err := json.Marshal(outcomes)
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	if err := os.WriteFile(path, b, 0o644); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	return nil
}

// writeSVG plots the worth of each window, averaged over the seeds, with a line
// for each variant of the first pattern.
func writeSVG(path string, outcomes []*outcome) error {
	p := plot.New()
	p.Title.Text = outcomes[0].Pattern
	p.X.Label.Text, p.Y.Label.Text = "second", "worth"
	p.Legend.Left = true
	for i, o := range outcomes {
		if o.Pattern != outcomes[0].Pattern {
			break
		}
		line, err := plotter.NewLine(o.windows())
		if err != nil {
			return fmt.Errorf("experiment: %w", err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(o.Variant, line)
	}
	return render.SVG(p, path)
}

// windows returns the mean worth of each window, by the second at which the
// window begins.
func (o *outcome) windows() plotter.XYs {
	var points plotter.XYs
	for i := range o.Plays[0].Windows {
		sum := 0.0
		for _, r := range o.Plays {
			sum += r.Windows[i].Worth()
		}
		points = append(points, plotter.XY{X: float64(i * emulate.WindowSeconds), Y: sum / float64(len(o.Plays))})
	}
	return points
}
