package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/member"
)

// Kill ends the daemon at once, as a crash would: requests in flight are cut
// and nobody is told.
func (d *Daemon) Kill() { d.cleanup() }

// Stop shuts the daemon down: it leaves the look-ups, refuses new requests as
// not-run and lets the ones in flight end. It returns an error when ctx ended
// before they did.
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

// cleanup ends everything that provision and run have started; only the first
// call does anything.
func (d *Daemon) cleanup() { d.cleanupOnce.Do(d.releaseResources) }

func (d *Daemon) releaseResources() {
	d.cancel()
	if d.admin != nil {
		ctx, cancel := context.WithTimeout(context.Background(), adminStopTimeout)
		defer cancel()
		_ = d.admin.Stop(ctx) // operators' requests that take longer are cut
	}
	d.tasks.wait()
	if d.reader != nil {
		d.reader.Close()
	}
	if d.peers != nil {
		ctx, cancel := context.WithTimeout(context.Background(), peerFlushTimeout)
		defer cancel()
		_ = d.peers.Close(ctx) // what is not flushed is repaired by the peers
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
			d.log.WithError(err).Warn("traces were not all exported")
		}
	}
}

// adminStopTimeout bounds the end of operators' requests.
const adminStopTimeout = time.Second

// peerFlushTimeout bounds the sending of the last messages to other entry VMs.
const peerFlushTimeout = 500 * time.Millisecond

// traceFlushTimeout bounds the export of the last traces.
const traceFlushTimeout = 2 * time.Second
