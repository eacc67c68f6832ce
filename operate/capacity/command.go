package capacity

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/azurethread/azurethread/decide/steer/slope"
)

// Command returns `azurethread capacity`.
func Command() *cobra.Command {
	sizes := PlannedSizes
	var files []string
	var plots string
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Work out what each role needs at a given size, from measured slopes",
		Long: `Capacity prints, as Markdown, the state, messages, processor time and memory
of each role at the given size. It fits lines to measured series: those that
came with the program, or the ones in files given by --slopes. The defaults
are the sizes of docs/CAPACITY.md, whose tables are this command's output.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := sizes.validate(); err != nil {
				return fmt.Errorf("capacity: %w", err)
			}
			series, err := loadSeries(files)
			if err != nil {
				return err
			}
			m := newModel(sizes, series)
			if plots != "" {
				if err := m.plot(plots); err != nil {
					return err
				}
			}
			return m.report(c.OutOrStdout())
		},
	}
	sizes.registerFlags(c.Flags())
	c.Flags().StringSliceVar(&files, "slopes", nil, "files of measured series to use instead of those that came with the program")
	c.Flags().StringVar(&plots, "plots", "", "folder to write plots of the slopes to, as SVG")
	return c
}

func loadSeries(files []string) ([]slope.Series, error) {
	if len(files) == 0 {
		return embeddedSeries()
	}
	return readSeries(files)
}
