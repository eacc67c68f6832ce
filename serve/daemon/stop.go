package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/member"
)

// Kill stops the daemon at once, like a crash: requests in flight are aborted and
// neither callers nor other entry VMs are notified.
func (d *Daemon) Kill() { d.cleanup() }

// Stop shuts the daemon down: look-ups no longer return it, new requests are
// refused as not-run, and requests in flight may finish. It returns an error if
// ctx ended before they did.
func (d *Daemon) Stop(ctx context.Context) error {
	d.leaving.Store(true)
	d.log.Info("entry VM is leaving")
	d.core.Post(&dispatch.Stop{})
	d.core.Post(&member.Leave{})
	select {
	case <-time.After(d.settings.LeaveDelay):
	case <-ctx.Done():
	}
	err := d.callers.Stop(ctx)
	d.cleanup()
	if err != nil {
		d.log.WithError(err).Error("stopped with requests in flight")
		return err
	}
	d.log.Info("entry VM stopped")
	return nil
}

// cleanup stops everything that provision and run have started. Only the first
// call has an effect.
func (d *Daemon) cleanup() { d.cleanupOnce.Do(d.releaseResources) }

func (d *Daemon) releaseResources() {
	d.cancel()
	if d.admin != nil {
		ctx, cancel := context.WithTimeout(context.Background(), adminStopTimeout)
		defer cancel()
		_ = d.admin.Stop(ctx) // operators' requests that take longer are aborted
	}
	d.tasks.wait()
	if d.reader != nil {
		d.reader.Close()
	}
	if d.peers != nil {
		ctx, cancel := context.WithTimeout(context.Background(), peerFlushTimeout)
		defer cancel()
		_ = d.peers.Close(ctx) // the protocols repair what is not flushed
	}
	if d.core != nil {
		d.core.Close()
	}
	if d.callers != nil {
		d.callers.Close()
	}
	if d.pool != nil {
		d.pool.Close()
	}
	if d.tracer != nil {
		ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		if err := d.tracer.close(ctx); err != nil && !errors.Is(err, context.Canceled) {
			d.log.WithError(err).Warn("not all traces were exported")
		}
	}
}

// adminStopTimeout limits the wait for operators' requests to finish.
const adminStopTimeout = time.Second

// peerFlushTimeout limits the sending of the last messages to other entry VMs.
const peerFlushTimeout = 500 * time.Millisecond

// traceFlushTimeout limits the export of the last traces.
const traceFlushTimeout = 2 * time.Second
