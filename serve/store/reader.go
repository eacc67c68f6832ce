package store

import (
	"context"
	"errors"
	"sync"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/serve/platform"
)

// ReaderOptions configures a Reader.
type ReaderOptions struct {
	Store platform.Store
	// Now is the daemon's clock.
	Now func() clock.Time
	// Emit receives the outcome of each read. It is called from a goroutine of
	// the Reader and must not block.
	Emit func(*config.PlatformRead)
	// Failed receives the error of each read without a usable answer; may be
	// nil.
	Failed func(error)
}

// Reader performs the platform reads that config.State requests.
type Reader struct {
	o      ReaderOptions
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	watches map[uint64]context.CancelFunc // by sequence number
}

// NewReader returns a Reader. Close stops it.
func NewReader(o ReaderOptions) *Reader {
	ctx, cancel := context.WithCancel(context.Background())
	return &Reader{o: o, ctx: ctx, cancel: cancel, watches: map[uint64]context.CancelFunc{}}
}

// Close cancels all reads and waits for their goroutines.
func (r *Reader) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.wg.Wait()
}

// Perform starts the reads among the effects of one step. It does not block.
// After Close it does nothing: a step of the engine may end while the daemon
// stops, and its reads would start after Close has waited for the last one.
func (r *Reader) Perform(out *config.Ready) {
	for _, s := range out.Stop {
		r.stop(s.Seq)
	}
	for _, f := range out.Fetch {
		r.fetch(f)
	}
	for _, w := range out.Watch {
		r.watch(w)
	}
}

func (r *Reader) fetch(f config.FetchPlatform) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.wg.Go(func() { r.emit(r.ctx, r.Fetch(r.ctx, f)) })
	}
}

func (r *Reader) watch(w config.WatchPlatform) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.watches[w.Seq] = cancel
	r.wg.Go(func() {
		defer r.stop(w.Seq)
		r.emit(ctx, r.Watch(ctx, w))
	})
}

func (r *Reader) stop(seq uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel, ok := r.watches[seq]; ok {
		cancel()
		delete(r.watches, seq)
	}
}

// emit delivers the outcome of a read that was not cancelled.
func (r *Reader) emit(ctx context.Context, ev *config.PlatformRead) {
	if ctx.Err() == nil {
		r.o.Emit(ev)
	}
}

// Fetch reads the document now.
func (r *Reader) Fetch(ctx context.Context, f config.FetchPlatform) *config.PlatformRead {
	asked := r.o.Now()
	ctx, cancel := context.WithTimeout(ctx, config.ReadTimeout)
	defer cancel()
	e, err := r.o.Store.Get(ctx, HeadKey)
	return r.outcome(ctx, f.Seq, e, err, asked)
}

// Watch reads the document when it changes.
func (r *Reader) Watch(ctx context.Context, w config.WatchPlatform) *config.PlatformRead {
	asked := r.o.Now()
	ctx, cancel := context.WithTimeout(ctx, w.Wait+config.ReadTimeout)
	defer cancel()
	e, err := r.o.Store.Watch(ctx, HeadKey, w.After, w.Wait)
	if errors.Is(err, platform.ErrNotModified) {
		return &config.PlatformRead{
			Seq:         w.Seq,
			Result:      config.ReadNotModified,
			ConfirmedAt: r.confirmedAt(asked, w),
		}
	}
	return r.outcome(ctx, w.Seq, e, err, asked)
}

// confirmedAt returns the time up to which a watch without a change confirms
// the document: the end of its wait, if the platform did wait that long.
func (r *Reader) confirmedAt(asked clock.Time, w config.WatchPlatform) clock.Time {
	end := asked.Add(w.Wait)
	if r.o.Now().Before(end) {
		return asked
	}
	return end
}

func (r *Reader) outcome(ctx context.Context, seq uint64, e platform.Entry, err error, asked clock.Time) *config.PlatformRead {
	ev := &config.PlatformRead{Seq: seq, Index: e.Index, ConfirmedAt: asked}
	if errors.Is(err, platform.ErrNotFound) {
		ev.Result = config.ReadNotFound
		return ev
	}
	var h head
	if err == nil {
		h, err = decodeHead(ctx, r.o.Store, e)
	}
	switch {
	case err == nil:
		ev.Result = config.ReadDocument
		ev.Catalogue = h.Catalogue
		ev.Lineage = h.lineage()
		return ev
	case errors.Is(err, ErrMalformed):
		ev.Result = config.ReadMalformed
	default:
		ev.Result = config.ReadFailed
	}
	if r.o.Failed != nil && ctx.Err() != context.Canceled {
		r.o.Failed(err)
	}
	return ev
}
