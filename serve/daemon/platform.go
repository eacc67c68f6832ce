package daemon

import (
	"context"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/engine"
)

// readPlatform starts and ends the reads of the catalogue that the spread of
// the configuration asks for.
func (d *Daemon) readPlatform(r *engine.Ready) {
	for _, s := range r.Unwatch {
		if cancel, ok := d.watch[s.Seq]; ok {
			cancel()
		}
	}
	for _, w := range r.Watch {
		d.read(w.Seq, w.Wait+config.ReadTimeout, func(ctx context.Context) *config.PlatformRead {
			return d.reader.Watch(ctx, w)
		})
	}
	for _, f := range r.Fetch {
		d.read(f.Seq, config.ReadTimeout, func(ctx context.Context) *config.PlatformRead {
			return d.reader.Fetch(ctx, f)
		})
	}
	for _, p := range r.Restore {
		d.restore(p)
	}
}

// read runs one read and posts its outcome.
func (d *Daemon) read(seq uint64, timeout time.Duration, f func(context.Context) *config.PlatformRead) {
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	d.watch[seq] = cancel
	d.loop(func() {
		defer cancel()
		ev := f(ctx)
		d.core.Ask(func(clock.Time, *engine.Engine) { delete(d.watch, seq) })
		d.core.Post(ev)
	})
}
