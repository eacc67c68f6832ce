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

// provisionStore sets up the reading and writing of the catalogue.
func (d *Daemon) provisionStore() {
	d.reader = store.NewReader(store.ReaderOptions{
		Store:  d.platform,
		Now:    d.now,
		Emit:   d.readDone,
		Failed: func(err error) { d.log.WithError(err).Warn("platform not readable") },
	})
	d.writer = store.NewWriter(store.WriterOptions{Store: d.platform, Base: d.changeBase, Now: d.now})
}

// readDone takes the outcome of a read of the catalogue.
func (d *Daemon) readDone(ev *config.PlatformRead) {
	d.platformReachable.Store(ev.Result != config.ReadFailed)
	d.core.Post(ev)
}

// changeBase is what a change is built on where the platform holds less.
func (d *Daemon) changeBase() (b config.Base, ok bool) {
	asked := d.core.Ask(func(now clock.Time, e *engine.Engine) { b, ok = e.Config().Base(now) })
	return b, ok && asked
}

// readPlatform starts and ends the reads that the configuration asks for.
func (d *Daemon) readPlatform(r *engine.Ready) {
	if d.isStopping() {
		return
	}
	d.reader.Perform(&config.Ready{Stop: r.Unwatch, Fetch: r.Fetch, Watch: r.Watch})
	for _, p := range r.Restore {
		d.startTask(func() { d.restoreCatalogue(p) })
	}
}

// isStopping reports whether the daemon's loops have been told to end.
func (d *Daemon) isStopping() bool { return d.ctx.Err() != nil }

// restoreTimeout bounds one attempt to write a newer catalogue back.
const restoreTimeout = 10 * time.Second

// restoreCatalogue writes the catalogue in force to a platform that holds an older one.
func (d *Daemon) restoreCatalogue(p config.RestorePlatform) {
	ctx, cancel := context.WithTimeout(d.ctx, restoreTimeout)
	defer cancel()
	a, wrote, err := d.writer.Restore(ctx, p.Catalogue)
	switch {
	case err != nil:
		d.log.WithError(err).Warn("newer catalogue not written back to the platform")
	case wrote:
		d.log.WithField("revision", a.Revision).Warn("platform held older data; newer catalogue written back")
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

// changer implements admin.Changer and admin.Settler.
type changer struct{ d *Daemon }

// Change implements admin.Changer.
func (c changer) Change(ctx context.Context, op change.Operation) (admin.Accepted, error) {
	a, err := c.d.applyChange(ctx, op)
	if err != nil {
		return admin.Accepted{Operation: op.ID}, err
	}
	return admin.Accepted{Operation: op.ID, Revision: a.Revision, Settled: true}, nil
}

// applyChange writes an operation and tells the spread of what was accepted.
func (d *Daemon) applyChange(ctx context.Context, op change.Operation) (store.Accepted, error) {
	a, err := d.writer.Change(ctx, op)
	if err != nil {
		return a, err
	}
	d.core.Post(a.Event())
	return a, nil
}

// FindOutcome implements admin.Settler. An operation that the platform's document
// does not list may still be under way, or be too old to be listed.
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

// taskGroup counts the goroutines that end with the daemon.
type taskGroup struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// start runs f unless the daemon is stopping.
func (l *taskGroup) start(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.wg.Go(f)
	}
}

// wait lets no more start and waits for those that run.
func (l *taskGroup) wait() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.wg.Wait()
}

// isConflict reports whether an entry was no longer as expected.
func isConflict(err error) bool {
	var c *change.Conflict
	return errors.As(err, &c)
}

// verdictOf returns what an error of a change says: refusals of the catalogue
// have not run.
func verdictOf(err error) verdict.Verdict {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v.Verdict
	}
	return verdict.NotRun
}

func (d *Daemon) logChange(op change.Operation, err error) {
	d.log.WithError(err).WithFields(logrus.Fields{"operation": op.ID, "kind": op.Kind}).Warn("change by the shift runner not made")
}
