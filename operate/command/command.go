package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/azurethread/azurethread/operate/client"
	"github.com/azurethread/azurethread/operate/entryfile"
	"github.com/azurethread/azurethread/operate/render"
)

// EnvPrefix is the prefix of the environment variables for the flags of the
// root command: --call-addr is AZURETHREAD_CALL_ADDR. A flag takes precedence
// over its variable.
const EnvPrefix = "AZURETHREAD_"

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// settings holds the flags that all commands share.
type settings struct {
	addr     string
	callAddr string
	token    string
	output   string
	timeout  time.Duration
	wait     time.Duration
}

// New returns the root command with its built-in commands and the extra ones.
func New(version string, extra ...*cobra.Command) *cobra.Command {
	s := &settings{}
	root := group("azurethread", "Operate the azurethread traffic steering system")
	root.Version = version
	root.SilenceUsage = true
	root.SilenceErrors = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{err} })
	root.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error {
		return s.loadEnvironment(root.PersistentFlags())
	}
	s.registerFlags(root.PersistentFlags())
	root.AddCommand(
		s.catalogueCommand(),
		s.serviceCommand(),
		s.statusCommand(),
		s.watchCommand(),
		s.lookupCommand(),
		s.operationCommand(),
		s.checkCommand(),
		s.explainCommand(),
		s.timesCommand(),
	)
	root.AddCommand(extra...)
	return root
}

func (s *settings) registerFlags(f *pflag.FlagSet) {
	f.StringVar(&s.addr, "addr", "127.0.0.1:7102", "administration address of an entry VM, host:port or URL ["+EnvPrefix+"ADDR]")
	f.StringVar(&s.callAddr, "call-addr", "127.0.0.1:7100", "callers' address of an entry VM, for lookup ["+EnvPrefix+"CALL_ADDR]")
	f.StringVar(&s.token, "token", "", "operator's bearer token; prefer the variable, because other users can see arguments ["+EnvPrefix+"TOKEN]")
	f.StringVar(&s.output, "output", outputTable, "output form, table or json ["+EnvPrefix+"OUTPUT]")
	f.DurationVar(&s.timeout, "timeout", 10*time.Second, "longest time for one request ["+EnvPrefix+"TIMEOUT]")
	f.DurationVar(&s.wait, "wait", 5*time.Second, "longest wait, after a change, for its outcome and for it to be in force ["+EnvPrefix+"WAIT]")
}

// loadEnvironment sets flags that were not given from the environment and
// validates all of them.
func (s *settings) loadEnvironment(f *pflag.FlagSet) error {
	var firstErr error
	f.VisitAll(func(x *pflag.Flag) {
		name := EnvPrefix + strings.ToUpper(strings.ReplaceAll(x.Name, "-", "_"))
		text, set := os.LookupEnv(name)
		if x.Changed || !set || firstErr != nil {
			return
		}
		if err := f.Set(x.Name, text); err != nil {
			firstErr = fmt.Errorf("%s: %w", name, err)
		}
	})
	if firstErr == nil {
		firstErr = s.validate()
	}
	if firstErr != nil {
		return &UsageError{firstErr}
	}
	return nil
}

func (s *settings) validate() error {
	switch {
	case s.output != outputTable && s.output != outputJSON:
		return fmt.Errorf("output: %q is neither %q nor %q", s.output, outputTable, outputJSON)
	case s.timeout <= 0:
		return fmt.Errorf("timeout: must be above zero, got %s", s.timeout)
	case s.wait < 0:
		return fmt.Errorf("wait: must not be negative, got %s", s.wait)
	}
	return nil
}

// client returns a client of the administration API.
func (s *settings) client() (*client.Client, error) {
	if s.token == "" {
		return nil, &UsageError{errors.New("token: an operator's token is needed; set " + EnvPrefix + "TOKEN")}
	}
	c, err := client.New(s.addr, s.token, s.timeout)
	if err != nil {
		return nil, &UsageError{fmt.Errorf("addr: %w", err)}
	}
	return c, nil
}

// print writes v as JSON, or by the table function.
func (s *settings) print(w io.Writer, v any, table func(io.Writer)) error {
	if s.output == outputJSON {
		return render.JSON(w, v)
	}
	table(w)
	return nil
}

// group returns a command that only has sub-commands. Without its RunE, cobra
// would print the help and exit with 0 for a misspelt sub-command, which a
// script would take for success.
func group(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return &UsageError{fmt.Errorf("%s has no command %q", cmd.CommandPath(), args[0])}
			}
			return &UsageError{fmt.Errorf("%s needs a command; see %s --help", cmd.CommandPath(), cmd.CommandPath())}
		},
	}
}

// exactArgs accepts n arguments; any other number is a usage error.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return &UsageError{fmt.Errorf("%s: %w", cmd.CommandPath(), err)}
		}
		return nil
	}
}

// Execute runs root with the process's arguments, prints an error to its error
// stream, and returns the exit code.
func Execute(ctx context.Context, root *cobra.Command) int {
	cmd, err := root.ExecuteContextC(ctx)
	if err != nil {
		report(cmd, err)
	}
	return ExitCode(err)
}

// errorReport is an error as JSON.
type errorReport struct {
	Error     string           `json:"error"`
	Exit      int              `json:"exit"`
	Operation string           `json:"operation,omitempty"`
	File      entryfile.Errors `json:"file,omitempty"`
	Answer    any              `json:"answer,omitempty"` // error body of the API
}

func report(cmd *cobra.Command, err error) {
	w := cmd.ErrOrStderr()
	var apiErr *client.APIError
	errors.As(err, &apiErr)
	if out, _ := cmd.Flags().GetString("output"); out == outputJSON {
		// Standard error has failed, so there is no place to report that.
		_ = render.JSON(w, newErrorReport(err, apiErr))
		return
	}
	fmt.Fprintf(w, "azurethread: %v\n", err)
	if apiErr != nil && apiErr.Body.Conflict != nil {
		render.Conflict(w, *apiErr.Body.Conflict)
	}
	var unknown *client.UnknownOutcome
	if errors.As(err, &unknown) {
		fmt.Fprintf(w, "The change may have been made. Ask again: azurethread operation %s\n", unknown.Operation)
	}
}

func newErrorReport(err error, apiErr *client.APIError) errorReport {
	f := errorReport{Error: err.Error(), Exit: ExitCode(err)}
	if apiErr != nil {
		f.Answer = apiErr.Body
	}
	var unknown *client.UnknownOutcome
	if errors.As(err, &unknown) {
		f.Operation = unknown.Operation
	}
	errors.As(err, &f.File)
	return f
}
