package command

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/operate/client"
	"github.com/azurethread/azurethread/operate/entryfile"
	"github.com/azurethread/azurethread/operate/render"
	"github.com/azurethread/azurethread/serve/admin"
)

func (s *settings) catalogueCommand() *cobra.Command {
	cmd := group("catalogue", "Read and change the traffic shifts of the catalogue")
	cmd.AddCommand(
		s.listShifts(),
		s.showShift(),
		s.addShifts(),
		s.changeShifts(),
		s.actionCommand(client.Approve, "Approve a draft; rehearsals and maintenance need another operator than the author"),
		s.actionCommand(client.Start, "Start an approved shift"),
		s.actionCommand(client.Pause, "Pause a running shift; it keeps its share"),
		s.actionCommand(client.Resume, "Resume a paused shift"),
		s.actionCommand(client.RollBack, "Return all traffic that a shift has moved"),
		s.removeShift(),
	)
	return cmd
}

func (s *settings) listShifts() *cobra.Command {
	return s.listCommand("List the traffic shifts", func(cat catalogue.Catalogue) (any, func(io.Writer)) {
		return admin.Shifts{Revision: cat.Revision, Shifts: cat.Shifts}, func(w io.Writer) { render.Shifts(w, cat.Shifts) }
	})
}

// listCommand returns a command that lists a part of the catalogue: as the page that view
// returns, or as text by its function.
func (s *settings) listCommand(short string, view func(catalogue.Catalogue) (page any, text func(io.Writer))) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: short,
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := s.client()
			if err != nil {
				return err
			}
			cat, err := c.Catalogue(cmd.Context())
			if err != nil {
				return err
			}
			page, text := view(cat)
			return s.print(cmd.OutOrStdout(), page, text)
		},
	}
}

func (s *settings) showShift() *cobra.Command {
	return &cobra.Command{
		Use:   "show ID",
		Short: "Show one traffic shift with its limits",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := s.client()
			if err != nil {
				return err
			}
			x, err := c.Shift(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), x, func(w io.Writer) { render.Shift(w, x) })
		},
	}
}

// fileFlag adds --file to cmd.
func fileFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVarP(file, "file", "f", "", "YAML or JSON entry file; - is standard input")
}

// expectFlag adds --expect to cmd.
func expectFlag(cmd *cobra.Command, expect *uint64) {
	cmd.Flags().Uint64Var(expect, "expect", 0, "entry revision that the change is based on, as shown by show; default: the one found now")
}

// withShifts is like withFile for files that must contain shifts. It first
// adds the services of the file that the catalogue lacks.
func (s *settings) withShifts(cmd *cobra.Command, file string, changes func(context.Context, *changeSession, []change.Entry) error) error {
	return s.withFile(cmd, file, func(ctx context.Context, cs *changeSession, cat catalogue.Catalogue, f entryfile.File) error {
		if len(f.Shifts) == 0 {
			return usagef("%s holds no shifts", file)
		}
		if err := putMissing(ctx, cs, cat, f.Services); err != nil {
			return err
		}
		return changes(ctx, cs, f.Shifts)
	})
}

func (s *settings) addShifts() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "add -f FILE",
		Short: "Add the traffic shifts of a file as drafts, and the services of the file that are missing",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.withShifts(cmd, file, addAll)
		},
	}
	fileFlag(cmd, &file)
	return cmd
}

func addAll(ctx context.Context, cs *changeSession, list []change.Entry) error {
	for _, x := range list {
		add := func() (admin.Accepted, error) { return cs.client.AddShift(ctx, x) }
		if err := cs.submit(ctx, "add", x.ID, add); err != nil {
			return err
		}
	}
	return nil
}

func (s *settings) changeShifts() *cobra.Command {
	var file string
	var expect uint64
	cmd := &cobra.Command{
		Use:   "change -f FILE",
		Short: "Replace the traffic shifts of a file; each becomes a draft again",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.withShifts(cmd, file, func(ctx context.Context, cs *changeSession, list []change.Entry) error {
				return changeAll(ctx, cs, list, expect)
			})
		},
	}
	fileFlag(cmd, &file)
	expectFlag(cmd, &expect)
	return cmd
}

func changeAll(ctx context.Context, cs *changeSession, list []change.Entry, stated uint64) error {
	if stated != 0 && len(list) != 1 {
		return usagef("expect: needs a file with one shift, and this one has %d", len(list))
	}
	for _, x := range list {
		expect, err := cs.revision(ctx, x.ID, stated)
		if err != nil {
			return err
		}
		put := func() (admin.Accepted, error) { return cs.client.ChangeShift(ctx, x, expect) }
		if err := cs.submit(ctx, "change", x.ID, put); err != nil {
			return err
		}
	}
	return nil
}

func (s *settings) actionCommand(a client.Action, short string) *cobra.Command {
	var body admin.ShiftAction
	cmd := &cobra.Command{
		Use:   string(a) + " ID",
		Short: short,
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.runChanges(cmd, func(ctx context.Context, cs *changeSession) error {
				return runAction(ctx, cs, a, args[0], body)
			})
		},
	}
	expectFlag(cmd, &body.Expect)
	if a.RevisionOptional() {
		cmd.Flags().Lookup("expect").Usage = "entry revision that must be found; default: any"
		cmd.Flags().StringVar(&body.Reason, "reason", "", "why, shown with the shift")
	}
	return cmd
}

func runAction(ctx context.Context, cs *changeSession, a client.Action, id string, body admin.ShiftAction) error {
	if !a.RevisionOptional() {
		expect, err := cs.revision(ctx, id, body.Expect)
		if err != nil {
			return err
		}
		body.Expect = expect
	}
	send := func() (admin.Accepted, error) { return cs.client.PerformAction(ctx, a, id, body) }
	return cs.submit(ctx, string(a), id, send)
}

func (s *settings) removeShift() *cobra.Command {
	var expect uint64
	cmd := &cobra.Command{
		Use:   "remove ID",
		Short: "Remove a traffic shift that is neither running nor paused; a done one returns its traffic",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.runChanges(cmd, func(ctx context.Context, cs *changeSession) error {
				return remove(ctx, cs, args[0], expect)
			})
		},
	}
	expectFlag(cmd, &expect)
	return cmd
}

func remove(ctx context.Context, cs *changeSession, id string, stated uint64) error {
	expect, err := cs.revision(ctx, id, stated)
	if err != nil {
		return err
	}
	send := func() (admin.Accepted, error) { return cs.client.RemoveShift(ctx, id, expect) }
	return cs.submit(ctx, "remove", id, send)
}
