package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/platform"
)

// Bounds on one change.
const (
	// MaxTries is the maximum number of times that the head is read for one
	// change.
	MaxTries = 16
	// firstWait and maxWait bound the waits between tries. The waits are
	// jittered, as writers that lost a swap to each other would otherwise
	// collide again.
	firstWait = 20 * time.Millisecond
	maxWait   = time.Second
)

var (
	// ErrBehind means that a higher revision is known to exist whose content
	// this daemon lacks, so that it has nothing to build a change on.
	ErrBehind = errors.New("store: a higher revision is being fetched")
	// errHeadChanged means that the head changed between read and write.
	errHeadChanged = errors.New("store: head changed")
)

// WriterOptions configures a Writer.
type WriterOptions struct {
	Store platform.Store
	// Base returns the present result of config.State.Base. It is called from
	// the goroutine of Change.
	Base func() (config.Base, bool)
	// Now is the daemon's clock.
	Now func() clock.Time
	// CountedRevisions numbers revisions consecutively instead of by the wall
	// clock.
	CountedRevisions bool
}

// Writer writes the platform's document. It is safe for concurrent use; one
// write runs at a time.
type Writer struct {
	o       WriterOptions
	writing chan struct{} // holds a token while a write runs
}

// NewWriter returns a Writer.
func NewWriter(o WriterOptions) *Writer {
	return &Writer{o: o, writing: make(chan struct{}, 1)}
}

// Accepted is a change that the platform has accepted.
type Accepted struct {
	// Revision is the revision that the operation was given.
	Revision uint64
	// Catalogue is the platform's newest catalogue, at Revision or above.
	Catalogue *catalogue.Catalogue
	// ConfirmedAt is when Catalogue is known to have been the newest.
	ConfirmedAt clock.Time
	// Repeated means that the operation had been accepted before this call, or
	// by an earlier try whose answer was lost.
	Repeated bool
}

// Event returns the event for config.State.
func (a Accepted) Event() *config.Accepted {
	return &config.Accepted{Catalogue: a.Catalogue, ConfirmedAt: a.ConfirmedAt}
}

// Change applies op to the platform's catalogue. The error is either one of
// package change, and op was not run, or a *verdict.Error that says whether op
// may have run. Calling again with the same op is always safe.
func (w *Writer) Change(ctx context.Context, op change.Operation) (Accepted, error) {
	if err := w.lock(ctx); err != nil {
		return Accepted{}, err
	}
	defer w.unlock()
	a := attempt{w: w, op: op}
	return a.run(ctx)
}

// Find returns the revision that the operation with the given id was given, or
// false if the platform's document does not list it.
func (w *Writer) Find(ctx context.Context, id string) (uint64, bool, error) {
	h, err := readHead(ctx, w.o.Store)
	if err != nil {
		return 0, false, err
	}
	o, found := h.find(id)
	return o.Revision, found, nil
}

func (w *Writer) lock(ctx context.Context) error {
	select {
	case w.writing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonDeadline, Err: ctx.Err()}
	}
}

func (w *Writer) unlock() { <-w.writing }

// nextRevision returns a revision above floor.
func (w *Writer) nextRevision(floor uint64) uint64 {
	next := floor + 1
	if w.o.CountedRevisions {
		return next
	}
	return max(next, uint64(w.o.Now())/uint64(time.Millisecond))
}

// attempt is one Change in progress.
type attempt struct {
	w         *Writer
	op        change.Operation
	unsettled *unsettledWrite // a write whose answer was lost; nil: none
}

// unsettledWrite is a write that may have run.
type unsettledWrite struct {
	index uint64         // index that the write was conditioned on
	base  config.Version // revision and hash of the head at that index
}

func (a *attempt) run(ctx context.Context) (Accepted, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstWait
	wait.MaxInterval = maxWait
	var err error // of the latest try that ctx did not interrupt
	for range MaxTries {
		done, failed := a.try(ctx)
		if failed == nil || isPermanent(failed) {
			return done, a.result(failed)
		}
		if err == nil || ctx.Err() == nil {
			err = failed
		}
		if !sleep(ctx, wait.NextBackOff()) {
			break
		}
	}
	return Accepted{}, a.result(err)
}

// isPermanent reports whether another try cannot succeed.
func isPermanent(err error) bool {
	return isRejection(err) || errors.Is(err, platform.ErrTooLarge) || errors.Is(err, errRevisionsExhausted)
}

// isRejection reports whether err is a rejection of the operation by package
// change.
func isRejection(err error) bool {
	var (
		conflict *change.Conflict
		refused  *change.Refused
		invalid  *change.Invalid
	)
	return errors.As(err, &conflict) || errors.As(err, &refused) || errors.As(err, &invalid)
}

// result gives err the verdict of the whole change: while a write is unsettled
// the operation may have run, whatever the last try returned.
func (a *attempt) result(err error) error {
	if err == nil {
		return nil
	}
	if a.unsettled != nil {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost, Err: err}
	}
	if isRejection(err) {
		return err
	}
	return &verdict.Error{Verdict: verdict.NotRun, Reason: a.reason(err), Err: err}
}

func (a *attempt) reason(err error) verdict.Reason {
	switch {
	case isPermanent(err):
		return verdict.ReasonInternal
	case errors.Is(err, ErrBehind):
		return verdict.ReasonNotReady
	default:
		return verdict.ReasonRetriesExhausted
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try reads the head and, unless the head lists the operation, writes.
func (a *attempt) try(ctx context.Context) (Accepted, error) {
	asked := a.w.o.Now()
	h, err := readHead(ctx, a.w.o.Store)
	if err != nil {
		return Accepted{}, err
	}
	if o, found := h.find(a.op.ID); found {
		a.unsettled = nil
		return Accepted{Revision: o.Revision, Catalogue: h.Catalogue, ConfirmedAt: asked, Repeated: true}, nil
	}
	a.settle(h)
	next, err := a.build(h)
	if err != nil {
		return Accepted{}, err
	}
	asked = a.w.o.Now()
	if err := a.write(ctx, h, next); err != nil {
		return Accepted{}, err
	}
	a.unsettled = nil
	return Accepted{Revision: next.Revision, Catalogue: next.Catalogue, ConfirmedAt: asked}, nil
}

// settle decides whether the unsettled write, which h does not list, may have
// taken effect or may still do so. It cannot if the head has moved on from its
// index and still lists all operations since then.
func (a *attempt) settle(h head) {
	u := a.unsettled
	if u != nil && h.index != u.index && h.listsSince(u.base) {
		a.unsettled = nil
	}
}

// errRevisionsExhausted means that no higher revision is left.
var errRevisionsExhausted = errors.New("store: revisions exhausted")

// build applies the operation to the newer of the platform's catalogue and the
// one in force.
func (a *attempt) build(h head) (document, error) {
	base, ok := a.w.o.Base()
	if !ok {
		return document{}, fmt.Errorf("%w: above %d", ErrBehind, base.Floor)
	}
	from, at, err := newerCatalogue(h, base)
	if err != nil {
		return document{}, err
	}
	revision := a.w.nextRevision(max(h.Revision, at.Revision, base.Floor))
	if revision > config.MaxRevision {
		return document{}, errRevisionsExhausted
	}
	from.Revision = revision - 1
	c, err := change.Apply(from, a.op, a.w.o.Now())
	if err != nil {
		return document{}, err
	}
	return h.next(&c, a.op.ID, at)
}

// newerCatalogue returns the catalogue to build on. A platform with a lower
// revision than the one in force came back with older data: building on that
// would undo changes accepted since.
func newerCatalogue(h head, base config.Base) (catalogue.Catalogue, config.Version, error) {
	if base.Catalogue != nil && base.Catalogue.Revision > h.Revision {
		hash, err := config.Hash(base.Catalogue)
		return *base.Catalogue, config.Version{Revision: base.Catalogue.Revision, Hash: hash}, err
	}
	if h.Catalogue == nil {
		return catalogue.Catalogue{}, config.Version{}, nil
	}
	return *h.Catalogue, h.version(), nil
}

// write replaces h with next.
func (a *attempt) write(ctx context.Context, h head, next document) error {
	err := writeDocument(ctx, a.w.o.Store, h, next)
	if mayHaveRun(err) {
		a.unsettled = &unsettledWrite{index: h.index, base: h.version()}
	}
	return err
}

// mayHaveRun reports whether the head may have been written despite err.
func mayHaveRun(err error) bool {
	var s *swapError
	if !errors.As(err, &s) {
		return false
	}
	var v *verdict.Error
	return !errors.As(err, &v) || v.Verdict != verdict.NotRun
}

// swapError is a failed write of the head. A failed write of a chunk is not
// one: nobody sees a chunk without its head.
type swapError struct{ err error }

func (e *swapError) Error() string { return "store: writing the head: " + e.err.Error() }

func (e *swapError) Unwrap() error { return e.err }

// writeDocument writes the chunks of next, and then its head if the platform's
// head is still at the index of h.
func writeDocument(ctx context.Context, s platform.Store, h head, next document) error {
	value, chunks, err := next.encode()
	if err != nil {
		return err
	}
	for _, c := range chunks {
		if err := writeChunk(ctx, s, c); err != nil {
			return err
		}
	}
	_, err = s.CompareAndSwap(ctx, HeadKey, value, h.index)
	switch {
	case err == nil:
		removeChunks(ctx, s, h.Obsolete)
		return nil
	case errors.Is(err, platform.ErrConflict):
		return fmt.Errorf("%w: %w", errHeadChanged, err)
	case errors.Is(err, platform.ErrTooLarge):
		return err
	default:
		return &swapError{err: err}
	}
}

// writeChunk creates a chunk. An existing one has the same content, written by
// an earlier try: the hash is part of its key.
func writeChunk(ctx context.Context, s platform.Store, c chunk) error {
	_, err := s.CompareAndSwap(ctx, c.key, c.value, 0)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// removeChunks removes the chunks of the revision before the replaced one;
// readers may still be reading the chunks of the replaced one. After a failure
// they stay in the store, where they only take space.
func removeChunks(ctx context.Context, s platform.Store, keys []string) {
	for _, k := range keys {
		if err := s.Delete(ctx, k, 0); err != nil {
			return
		}
	}
}

// Restore writes the catalogue in force back to a platform that holds older
// data, and reports whether it wrote. It does nothing if the platform holds
// that revision or a higher one. If the platform holds different content under
// the same revision, the catalogue is written under a new one.
func (w *Writer) Restore(ctx context.Context, c *catalogue.Catalogue) (Accepted, bool, error) {
	if err := w.lock(ctx); err != nil {
		return Accepted{}, false, err
	}
	defer w.unlock()
	h, err := readHead(ctx, w.o.Store)
	if err != nil {
		return Accepted{}, false, err
	}
	hash, err := config.Hash(c)
	if err != nil {
		return Accepted{}, false, err
	}
	at := config.Version{Revision: c.Revision, Hash: hash}
	restored := *c
	switch {
	case h.Revision > c.Revision || h.version() == at:
		return Accepted{}, false, nil
	case h.Revision == c.Revision:
		restored.Revision = w.nextRevision(c.Revision)
	}
	next, err := h.next(&restored, "", at)
	if err != nil {
		return Accepted{}, false, err
	}
	asked := w.o.Now()
	if err := writeDocument(ctx, w.o.Store, h, next); err != nil {
		return Accepted{}, false, err
	}
	return Accepted{Revision: next.Revision, Catalogue: &restored, ConfirmedAt: asked}, true, nil
}
