package demo

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// ErrGuaranteeBroken means that the run broke a guarantee, which has been
// printed.
var ErrGuaranteeBroken = errors.New("a guarantee was broken")

const longHelp = `demo runs a whole deployment in this process on loopback: stand-ins for the
platform and the targets, an entry VM daemon for each entry VM, and callers.

The last line on standard output is one JSON object with what the stand-ins and
the callers counted. The exit code is 1 if a guarantee was broken.

Faults come after a third of the run: target-crash, target-leave, silent
(connections to a target go silent), platform-down, entry-stop (graceful),
entry-crash, region-drain (a traffic shift out of the first region).`

// Command returns the demo's command.
func Command() *cobra.Command {
	o := Options{}
	var fault string
	var logs bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment on loopback with stand-ins",
		Long:  longHelp,
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	f.StringVar(&o.Deployment, "deployment", "statikos", "deployment: statikos or inzira")
	f.DurationVar(&o.Duration, "for", 15*time.Second, "length of the load")
	f.StringVar(&fault, "fault", string(None), "fault after a third of the run")
	f.Float64Var(&o.Load, "load", 0.5, "offered load, as a part of the targets' capacity")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the load and of the targets")
	f.BoolVar(&o.Latency, "latency", false, "give callers' connections the deployment's latency")
	f.BoolVar(&logs, "logs", false, "write the daemons' logs to standard error")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var err error
		if o.Fault, err = ParseFault(fault); err != nil {
			return err
		}
		if o.Duration < time.Second || o.Load <= 0 {
			return errors.New("--for must be at least 1s and --load more than 0")
		}
		o.Progress = progress(c.ErrOrStderr())
		o.Log = io.Discard
		if logs {
			o.Log = c.ErrOrStderr()
		}
		return report(c, o)
	}
	return c
}

// progress returns w if it is a terminal, and nil otherwise, as progress is
// only shown on a terminal.
func progress(w io.Writer) io.Writer {
	f, ok := w.(*os.File)
	if !ok {
		return nil
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return w
}

// report runs the demo and writes its result.
func report(c *cobra.Command, o Options) error {
	res, err := Run(c.Context(), o)
	if err != nil {
		return err
	}
	broken := res.BrokenGuarantees()
	if len(broken) > 0 {
		fmt.Fprintln(c.ErrOrStderr(), "broken:", strings.Join(broken, "; "))
	}
	b, err := json.Marshal(res)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.OutOrStdout(), string(b))
	if len(broken) > 0 {
		return ErrGuaranteeBroken
	}
	return nil
}
