package command

import (
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
			logs := cmd.InOrStdin()
			if len(args) > 1 {
				files, err := openFiles(args[1:])
				if err != nil {
					return err
				}
				defer closeFiles(files)
				logs = io.MultiReader(readers(files)...)
			}
			r, err := explain.Read(args[0], logs)
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), r, func(w io.Writer) { explain.Print(w, r) })
		},
	}
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
