package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/azurethread/azurethread/operate/client"
	"github.com/azurethread/azurethread/operate/entryfile"
	"github.com/azurethread/azurethread/operate/render"
	"github.com/azurethread/azurethread/serve/admin"
)

func (s *settings) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the state as seen by an entry VM: revision, members, load of each region, shifts",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := s.client()
			if err != nil {
				return err
			}
			st, err := c.Status(cmd.Context())
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), st, func(w io.Writer) { render.Status(w, st) })
		},
	}
}

func (s *settings) watchCommand() *cobra.Command {
	var every time.Duration
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Show the status again at every change of the catalogue, and at least at every interval, until interrupted",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if every <= 0 || every > admin.MaxWatchWait {
				return usagef("interval: must be above zero and at most %s", admin.MaxWatchWait)
			}
			c, err := s.client()
			if err != nil {
				return err
			}
			return s.watch(cmd.Context(), cmd.OutOrStdout(), cmd.ErrOrStderr(), c, every)
		},
	}
	cmd.Flags().DurationVar(&every, "interval", 2*time.Second, "longest time between two prints")
	return cmd
}

// watch prints the status until ctx ends. When the entry VM does not answer,
// watch prints the error and tries again, so that it survives the replacement
// of that entry VM.
func (s *settings) watch(ctx context.Context, out, errs io.Writer, c *client.Client, every time.Duration) error {
	var after uint64
	for ctx.Err() == nil {
		x, err := c.Watch(ctx, after, every)
		var apiErr *client.APIError
		switch {
		case ctx.Err() != nil:
		case errors.As(err, &apiErr) && apiExitCode(apiErr) != ExitUnreachable:
			return err
		case err != nil:
			fmt.Fprintf(errs, "azurethread: %v\n", err)
			waitInterval(ctx, time.Now().Add(every))
		default:
			after = x.Revision
			err = s.print(out, x, func(w io.Writer) { printWatch(w, x) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func printWatch(w io.Writer, x admin.Watch) {
	fmt.Fprintf(w, "--- %s\n", time.Now().UTC().Format(time.RFC3339))
	render.Status(w, x.Status)
}

func (s *settings) lookupCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "lookup SERVICE CLIENT",
		Short: "Look up the entry VMs to which a client, an address or a block, is steered",
		Args:  exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := client.New(s.callAddr, "", s.timeout)
			if err != nil {
				return usagef("call-addr: %w", err)
			}
			l, err := c.Lookup(cmd.Context(), args[0], args[1])
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), l, func(w io.Writer) { render.Lookup(w, l) })
		},
	}
}

func (s *settings) operationCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "operation ID",
		Short: "Query the outcome of a change that ended with an unknown outcome",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := s.client()
			if err != nil {
				return err
			}
			o, err := c.FindOutcome(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), o, func(w io.Writer) { printOutcome(w, o) })
		},
	}
}

func printOutcome(w io.Writer, o admin.Outcome) {
	fmt.Fprintf(w, "operation %s: %s", o.Operation, o.Verdict)
	if o.Revision > 0 {
		fmt.Fprintf(w, ", accepted at revision %d", o.Revision)
	}
	fmt.Fprintln(w)
}

func (s *settings) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check an entry file without an entry VM, reporting every error",
		Long: "Check an entry file without an entry VM, reporting every error with its line and field.\n" +
			"Services that the file does not hold are assumed to exist in the catalogue.",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			f, err := entryfile.Parse(raw, nil)
			if err != nil {
				return &UsageError{fmt.Errorf("%s is not valid:\n%w", args[0], err)}
			}
			sum := checkResult{File: args[0], Services: len(f.Services), Shifts: len(f.Shifts)}
			return s.print(cmd.OutOrStdout(), sum, func(w io.Writer) {
				fmt.Fprintf(w, "%s: valid, %d services, %d shifts\n", sum.File, sum.Services, sum.Shifts)
			})
		},
	}
}

// checkResult is the JSON line printed for a valid file.
type checkResult struct {
	File     string `json:"file"`
	Services int    `json:"services"`
	Shifts   int    `json:"shifts"`
}
