package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/azurethread/azurethread/operate/explain"
)

func (s *settings) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID [FILE...]",
		Short: "Explain a request from the log lines of entry VMs, read from files or standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			logs, done, err := openLogs(cmd, args[1:])
			if err != nil {
				return err
			}
			defer done()
			r, err := explain.Read(args[0], logs)
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), r, func(w io.Writer) { explain.Print(w, r) })
		},
	}
}

func (s *settings) timesCommand() *cobra.Command {
	by := string(explain.BySide)
	c := &cobra.Command{
		Use:   "times [FILE...]",
		Short: "Show where the time of answered requests went, from the log lines of entry VMs",
		Long: `times reads log lines of entry VMs from files or standard input and shows, in ms
and on average for each answered request in them: the search for a target, earlier
sends, the wait for a connection at the entry VM and at the gateway, and the time at
the target with the way to it. Entry VMs log one of 64 answered requests.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			logs, done, err := openLogs(cmd, args)
			if err != nil {
				return err
			}
			defer done()
			t, err := explain.ReadTimes(explain.Grouping(by), logs)
			if errors.Is(err, explain.ErrGrouping) {
				return &UsageError{err}
			}
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), t, func(w io.Writer) { explain.PrintTimes(w, t) })
		},
	}
	c.Flags().StringVar(&by, "by", by, fmt.Sprintf("how to group requests: one of %v", explain.Groupings()))
	return c
}

// openLogs opens the named files, one after the other, or standard input if there are
// none. done closes them.
func openLogs(cmd *cobra.Command, names []string) (logs io.Reader, done func(), err error) {
	if len(names) == 0 {
		return cmd.InOrStdin(), func() {}, nil
	}
	files, err := openFiles(names)
	if err != nil {
		return nil, nil, err
	}
	return io.MultiReader(readers(files)...), func() { closeFiles(files) }, nil
}

func openFiles(names []string) ([]*os.File, error) {
	var files []*os.File
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeFiles(files)
			return nil, err
		}
		files = append(files, f)
	}
	return files, nil
}

func closeFiles(files []*os.File) {
	for _, f := range files {
		_ = f.Close() // opened for reading only: no data can be lost
	}
}

func readers(files []*os.File) []io.Reader {
	var out []io.Reader
	for _, f := range files {
		out = append(out, f)
	}
	return out
}
