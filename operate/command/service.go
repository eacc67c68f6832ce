package command

import (
	"context"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/operate/entryfile"
	"github.com/azurethread/azurethread/operate/render"
	"github.com/azurethread/azurethread/serve/admin"
)

func (s *settings) serviceCommand() *cobra.Command {
	cmd := group("service", "Read and change the services of the catalogue")
	cmd.AddCommand(s.listServices(), s.putServices(), s.removeService())
	return cmd
}

func (s *settings) listServices() *cobra.Command {
	return s.listCommand("List the services", func(cat catalogue.Catalogue) (any, func(io.Writer)) {
		return admin.Services{Revision: cat.Revision, Services: cat.Services}, func(w io.Writer) { render.Services(w, cat.Services) }
	})
}

func (s *settings) putServices() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "put -f FILE",
		Short: "Add or replace the services of a file",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.withFile(cmd, file, func(ctx context.Context, cs *changeSession, cat catalogue.Catalogue, f entryfile.File) error {
				if len(f.Services) == 0 {
					return usagef("%s holds no services", file)
				}
				return putAll(ctx, cs, cat, f.Services)
			})
		},
	}
	fileFlag(cmd, &file)
	return cmd
}

// putAll adds or replaces the services that differ from the catalogue's.
func putAll(ctx context.Context, cs *changeSession, cat catalogue.Catalogue, list []catalogue.Service) error {
	for _, x := range list {
		old, _ := cat.Service(x.Name)
		x.Revision = old.Revision
		if x == old {
			continue
		}
		put := func() (admin.Accepted, error) { return cs.client.PutService(ctx, x, old.Revision) }
		if err := cs.submit(ctx, "put", string(x.Name), put); err != nil {
			return err
		}
	}
	return nil
}

// putMissing adds the services that the catalogue lacks. It leaves the others
// unchanged, because a file of shifts must not alter the settings of a service.
func putMissing(ctx context.Context, cs *changeSession, cat catalogue.Catalogue, list []catalogue.Service) error {
	missing := slices.DeleteFunc(slices.Clone(list), func(x catalogue.Service) bool {
		_, known := cat.Service(x.Name)
		return known
	})
	return putAll(ctx, cs, cat, missing)
}

func (s *settings) removeService() *cobra.Command {
	return &cobra.Command{
		Use:   "remove NAME",
		Short: "Remove a service that no traffic shift names",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.runChanges(cmd, func(ctx context.Context, cs *changeSession) error {
				cat, err := cs.client.Catalogue(ctx)
				if err != nil {
					return err
				}
				name := args[0]
				expect := revisionOf(cat, name)
				return cs.submit(ctx, "remove", name, func() (admin.Accepted, error) { return cs.client.RemoveService(ctx, name, expect) })
			})
		},
	}
}

// revisionOf returns the revision of a service, or 0 if it does not exist.
func revisionOf(c catalogue.Catalogue, name string) uint64 {
	s, _ := c.Service(fleet.ServiceName(name))
	return s.Revision
}
