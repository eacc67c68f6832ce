package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/admin"
	"github.com/azurethread/azurethread/serve/platform"
	"github.com/azurethread/azurethread/serve/store"
)

// provisionStore creates the reader and the writer of the catalogue.
func (d *Daemon) provisionStore() {
	d.reader = store.NewReader(store.ReaderOptions{
		Store:  d.platform,
		Now:    d.now,
		Emit:   d.readDone,
		Failed: func(err error) { d.log.WithError(err).Warn("reading the catalogue from the platform failed") },
	})
	d.writer = store.NewWriter(store.WriterOptions{Store: d.platform, Base: d.changeBase, Now: d.now})
}

// readDone handles the outcome of a read of the catalogue.
func (d *Daemon) readDone(ev *config.PlatformRead) {
	d.platformReachable.Store(ev.Result != config.ReadFailed)
	d.core.Post(ev)
}

// changeBase returns the catalogue that a change is based on if the platform holds
// an older one or none.
func (d *Daemon) changeBase() (b config.Base, ok bool) {
	asked := d.core.Query(func(now clock.Time, e *engine.Engine) { b, ok = e.Config().Base(now) })
	return b, ok && asked
}

// readPlatform starts and stops the reads that the configuration protocol requests.
func (d *Daemon) readPlatform(r *engine.Ready) {
	if d.isStopping() {
		return
	}
	d.reader.Perform(&config.Ready{Stop: r.Unwatch, Fetch: r.Fetch, Watch: r.Watch})
	for _, p := range r.Restore {
		d.startTask(func() { d.restoreCatalogue(p) })
	}
}

// isStopping reports whether the daemon's tasks have been cancelled.
func (d *Daemon) isStopping() bool { return d.ctx.Err() != nil }

// restoreTimeout limits one attempt to write a newer catalogue back.
const restoreTimeout = 10 * time.Second

// restoreCatalogue writes the catalogue in force back to a platform that holds an
// older one.
func (d *Daemon) restoreCatalogue(p config.RestorePlatform) {
	ctx, cancel := context.WithTimeout(d.ctx, restoreTimeout)
	defer cancel()
	a, wrote, err := d.writer.Restore(ctx, p.Catalogue)
	switch {
	case err != nil:
		d.log.WithError(err).Warn("writing the newer catalogue back to the platform failed")
	case wrote:
		d.log.WithField("revision", a.Revision).Warn("platform held an older catalogue; newer one written back")
		d.core.Post(a.Event())
	}
}

// PutCatalogue writes the first catalogue of a deployment to an empty store.
func PutCatalogue(ctx context.Context, s platform.Store, c catalogue.Catalogue) error {
	w := store.NewWriter(store.WriterOptions{
		Store: s,
		Base:  func() (config.Base, bool) { return config.Base{}, true },
		Now:   func() clock.Time { return clock.FromWall(time.Now()) },
	})
	_, _, err := w.Restore(ctx, &c)
	return err
}

// changer implements admin.Changer and admin.OutcomeFinder.
type changer struct{ d *Daemon }

// Change implements admin.Changer.
func (c changer) Change(ctx context.Context, op change.Operation) (admin.Accepted, error) {
	a, err := c.d.applyChange(ctx, op)
	if err != nil {
		return admin.Accepted{Operation: op.ID}, err
	}
	return admin.Accepted{Operation: op.ID, Revision: a.Revision, Settled: true}, nil
}

// applyChange writes an operation to the platform and posts the accepted revision
// to the core, which spreads it.
func (d *Daemon) applyChange(ctx context.Context, op change.Operation) (store.Accepted, error) {
	a, err := d.writer.Change(ctx, op)
	if err != nil {
		return a, err
	}
	d.core.Post(a.Event())
	return a, nil
}

// FindOutcome implements admin.OutcomeFinder. An operation that the platform's
// document does not list may still be under way or may be too old to be listed,
// so its verdict is MayHaveRun.
func (c changer) FindOutcome(ctx context.Context, operation string) (admin.Outcome, error) {
	out := admin.Outcome{Operation: operation, Verdict: verdict.MayHaveRun}
	rev, found, err := c.d.writer.Find(ctx, operation)
	if err != nil {
		return out, err
	}
	if found {
		out.Verdict = verdict.Ran
		out.Revision = rev
	}
	return out, nil
}

// taskGroup tracks the goroutines that end with the daemon.
type taskGroup struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// start runs f in a goroutine unless the group is closed.
func (g *taskGroup) start(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.wg.Go(f)
	}
}

// wait closes the group and waits for the running goroutines.
func (g *taskGroup) wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}

// isConflict reports whether a change failed because its entry had another
// revision than expected.
func isConflict(err error) bool {
	var c *change.Conflict
	return errors.As(err, &c)
}

// verdictOf returns the verdict of a failed change. An error without a verdict is
// a refusal by the catalogue, which means not-run.
func verdictOf(err error) verdict.Verdict {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v.Verdict
	}
	return verdict.NotRun
}

func (d *Daemon) logChange(op change.Operation, err error) {
	d.log.WithError(err).WithFields(logrus.Fields{"operation": op.ID, "kind": op.Kind}).Warn("change by the shift runner failed")
}
