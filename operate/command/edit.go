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

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/operate/client"
	"github.com/azurethread/azurethread/operate/entryfile"
	"github.com/azurethread/azurethread/serve/admin"
)

// pollInterval is the time between two status queries after a change.
const pollInterval = 100 * time.Millisecond

// changeSession is the execution of a command that makes one or more changes
// to the catalogue.
type changeSession struct {
	settings     *settings
	client       *client.Client
	out          io.Writer
	lastRevision uint64 // revision of the last accepted change
}

// accepted is the JSON line printed for an accepted change.
type accepted struct {
	Change    string `json:"change"`
	Entry     string `json:"entry"`
	Operation string `json:"operation"`
	Revision  uint64 `json:"revision"`
}

// inForce is the JSON line printed after the last change.
type inForce struct {
	InForce admin.InForce `json:"in_force"`
}

// noChange is the JSON line printed when the catalogue already has the
// requested content.
type noChange struct {
	InForce *admin.InForce `json:"in_force"`
}

// inForceError is the JSON line printed when the query for the entry VMs that
// have the change failed.
type inForceError struct {
	Error string `json:"in_force_error"`
}

func usagef(format string, args ...any) error { return &UsageError{fmt.Errorf(format, args...)} }

// runChanges makes the changes of one command and then waits until the last
// one is in force.
func (s *settings) runChanges(cmd *cobra.Command, changes func(context.Context, *changeSession) error) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	cs := &changeSession{settings: s, client: c, out: cmd.OutOrStdout()}
	if err := changes(cmd.Context(), cs); err != nil {
		return err
	}
	if cs.lastRevision == 0 {
		return cs.settings.print(cs.out, noChange{}, func(w io.Writer) { fmt.Fprintln(w, "nothing to change") })
	}
	return cs.awaitInForce(cmd.Context())
}

// withFile reads an entry file, checks it against the services of the
// catalogue, and makes the changes that it describes.
func (s *settings) withFile(cmd *cobra.Command, file string, changes func(context.Context, *changeSession, catalogue.Catalogue, entryfile.File) error) error {
	return s.runChanges(cmd, func(ctx context.Context, cs *changeSession) error {
		raw, err := readFile(cmd, file)
		if err != nil {
			return err
		}
		cat, err := cs.client.Catalogue(ctx)
		if err != nil {
			return err
		}
		f, err := entryfile.Parse(raw, func(n fleet.ServiceName) bool {
			_, known := cat.Service(n)
			return known
		})
		if err != nil {
			return &UsageError{fmt.Errorf("%s is not valid, nothing was sent:\n%w", file, err)}
		}
		return changes(ctx, cs, cat, f)
	})
}

func readFile(cmd *cobra.Command, file string) ([]byte, error) {
	if file == "" {
		return nil, usagef("file: name an entry file with -f")
	}
	var from io.Reader = cmd.InOrStdin()
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, &UsageError{fmt.Errorf("file: %w", err)}
		}
		defer f.Close()
		from = f
	}
	raw, err := io.ReadAll(io.LimitReader(from, entryfile.MaxSize+1))
	if err != nil {
		return nil, &UsageError{fmt.Errorf("file: %w", err)}
	}
	return raw, nil
}

// revision returns the entry revision that a change is based on: the stated
// one, or the current one if none was stated.
func (cs *changeSession) revision(ctx context.Context, id string, stated uint64) (uint64, error) {
	if stated != 0 {
		return stated, nil
	}
	s, err := cs.client.Shift(ctx, id)
	return s.Revision, err
}

// submit sends one change, queries its outcome if the answer was lost, and
// prints the result.
func (cs *changeSession) submit(ctx context.Context, what, entry string, send func() (admin.Accepted, error)) error {
	a, err := send()
	var unknown *client.UnknownOutcome
	if errors.As(err, &unknown) {
		a, err = cs.awaitOutcome(ctx, unknown)
	}
	if err != nil {
		return fmt.Errorf("%s %s: %w", what, entry, err)
	}
	cs.lastRevision = a.Revision
	line := accepted{Change: what, Entry: entry, Operation: a.Operation, Revision: a.Revision}
	return cs.settings.print(cs.out, line, func(w io.Writer) {
		fmt.Fprintf(w, "%s %s: accepted at revision %d\n", what, entry, a.Revision)
	})
}

// awaitOutcome queries the outcome of a change until it is known or the wait
// ends.
func (cs *changeSession) awaitOutcome(ctx context.Context, unknown *client.UnknownOutcome) (admin.Accepted, error) {
	end := time.Now().Add(cs.settings.wait)
	for {
		o, err := cs.client.FindOutcome(ctx, unknown.Operation)
		switch {
		case err == nil && o.Verdict == verdict.Ran:
			return admin.Accepted{Operation: unknown.Operation, Revision: o.Revision, Settled: true}, nil
		case err == nil && o.Verdict == verdict.NotRun:
			return admin.Accepted{}, fmt.Errorf("operation %s was not made", unknown.Operation)
		}
		if !waitInterval(ctx, end) {
			return admin.Accepted{}, unknown
		}
	}
}

// awaitInForce waits until the last change is in force on all entry VMs and
// prints the result. The end of the wait does not fail the command, because
// the change has been accepted in any case.
func (cs *changeSession) awaitInForce(ctx context.Context) error {
	end := time.Now().Add(cs.settings.wait)
	for {
		f, err := cs.client.InForce(ctx, cs.lastRevision)
		if err == nil && len(f.Missing) == 0 {
			return cs.printInForce(f)
		}
		if waitInterval(ctx, end) {
			continue
		}
		if err != nil {
			return cs.settings.print(cs.out, inForceError{err.Error()}, func(w io.Writer) {
				fmt.Fprintf(w, "in force: not known: %v\n", err)
			})
		}
		return cs.printInForce(f)
	}
}

func (cs *changeSession) printInForce(f admin.InForce) error {
	return cs.settings.print(cs.out, inForce{f}, func(w io.Writer) {
		fmt.Fprintf(w, "in force on %d of %d entry VMs", f.Applied, f.Total)
		if len(f.Missing) > 0 {
			fmt.Fprintf(w, ", missing: %s", joinIDs(f.Missing))
		}
		fmt.Fprintln(w)
	})
}

func joinIDs(ids []fleet.VMID) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = string(id)
	}
	return strings.Join(parts, ", ")
}

// waitInterval waits for pollInterval. It returns false once end has passed or
// ctx has ended.
func waitInterval(ctx context.Context, end time.Time) bool {
	if !time.Now().Before(end) {
		return false
	}
	select {
	case <-time.After(pollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}
