// Package command implements the command line of azurethreadd: it reads the
// settings, starts a daemon and stops it on a signal.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/azurethread/azurethread/serve/daemon"
	"github.com/azurethread/azurethread/serve/logs"
	"github.com/azurethread/azurethread/serve/platform"
	"github.com/azurethread/azurethread/serve/settings"
)

// Exit codes of azurethreadd.
const (
	ExitOK       = 0
	ExitFailed   = 1 // could not start, or stopped with requests in flight
	ExitSettings = 2 // invalid setting; nothing was started
)

// Run executes the command line and returns the exit code. Each function in
// more returns a further subcommand, which sets the exit code through code.
func Run(args []string, stdout, stderr io.Writer, more ...func(code *int) *cobra.Command) int {
	code := ExitOK
	flags := settings.Flags()
	c := &cobra.Command{
		Use:           "azurethreadd",
		Short:         "Entry VM of the azurethread traffic steering system",
		Long:          long,
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	c.RunE = func(*cobra.Command, []string) error {
		set, err := settings.Load(flags)
		if err != nil {
			return err
		}
		code = serve(set, stderr)
		return nil
	}
	c.Flags().AddFlagSet(flags)
	for _, sub := range more {
		c.AddCommand(sub(&code))
	}
	c.SetArgs(args)
	c.SetOut(stdout)
	c.SetErr(stderr)
	if err := c.Execute(); err != nil {
		fmt.Fprintln(stderr, "azurethreadd:", err)
		return ExitSettings
	}
	return code
}

const long = `azurethreadd runs one entry VM: it answers look-ups, takes callers' requests,
sends them to targets in its failure domain or to entry VMs elsewhere, and
serves administration.

Every flag is also an environment variable: --call-addr is
AZURETHREAD_CALL_ADDR. A flag takes precedence over its variable.

SIGTERM or SIGINT: new requests are refused with verdict not-run and with
alternatives, requests in flight are finished, and the process exits with 0.
A second signal stops it at once.

Exit codes: 0 stopped, 1 failed, 2 invalid setting.`

// serve runs a daemon until a signal arrives or another process supersedes it.
func serve(set *settings.Settings, stderr io.Writer) int {
	log := logs.New(set.LogLevel, stderr)
	logs.RedirectNbio(log)
	logs.OutliveReader()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	client, err := platform.NewClient(platform.Options{Addr: set.PlatformURL})
	if err != nil {
		log.WithError(err).Error("platform URL is not valid")
		return ExitSettings
	}
	d, err := daemon.Start(set, client, log)
	if err != nil {
		log.WithError(err).Error("entry VM failed to start")
		return ExitFailed
	}
	code := ExitOK
	select {
	case <-signals:
	case <-d.Superseded():
		log.Error("a process with the same VM id and a later start is running; stopping")
		code = ExitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), set.StopTimeout)
	defer cancel()
	go func() {
		<-signals
		log.Warn("second signal: stopping at once")
		os.Exit(ExitFailed)
	}()
	if err := d.Stop(ctx); err != nil {
		return ExitFailed
	}
	return code
}
