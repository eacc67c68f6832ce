package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	api "github.com/azurethread/azurethread/serve/platform"
	"github.com/azurethread/azurethread/standin/platform"
)

// testClock is a clock that tests advance.
type testClock struct{ ns atomic.Int64 }

func (c *testClock) Now() clock.Time         { return clock.Time(c.ns.Load()) }
func (c *testClock) Wall() time.Time         { return time.Unix(0, c.ns.Load()) }
func (c *testClock) Advance(d time.Duration) { c.ns.Add(int64(d)) }

// fixture is a platform with one Writer.
type fixture struct {
	clock  *testClock
	server *platform.Server
	view   *platform.View
	writer *Writer
	base   config.Base
	behind bool
}

func newFixture() *fixture {
	f := &fixture{clock: &testClock{}}
	f.clock.Advance(time.Hour)
	f.server = platform.New(platform.Options{Now: f.clock.Wall})
	f.view = f.server.Store()
	f.writer = f.newWriter(f.view)
	return f
}

func (f *fixture) newWriter(s api.Store) *Writer {
	return NewWriter(WriterOptions{
		Store:            s,
		Base:             func() (config.Base, bool) { return f.base, !f.behind },
		Now:              f.clock.Now,
		CountedRevisions: true,
	})
}

func putService(id string, name string, expect uint64) change.Operation {
	return change.Operation{
		ID:       id,
		Operator: "eleni",
		Kind:     change.KindPutService,
		PutService: &change.PutService{
			Service: catalogue.Service{Name: fleet.ServiceName(name), Priority: catalogue.Interactive},
			Expect:  expect,
		},
	}
}

// opID returns a distinct operation id.
func opID(n int) string { return fmt.Sprintf("00000000-0000-4000-8000-%012d", n) }

func verdictOf(is *is.I, err error) verdict.Verdict {
	is.Helper()
	var v *verdict.Error
	is.True(errors.As(err, &v))
	return v.Verdict
}

func mustReadHead(is *is.I, s api.Store) head {
	is.Helper()
	h, err := readHead(context.Background(), s)
	is.NoErr(err)
	return h
}

// hookedStore runs functions before and after each compare-and-swap of the
// head.
type hookedStore struct {
	api.Store
	before func(try int)                  // called before the write
	after  func(try int, err error) error // returns the error to report
	tries  int
}

func (s *hookedStore) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	if key != HeadKey {
		return s.Store.CompareAndSwap(ctx, key, value, index)
	}
	s.tries++
	if s.before != nil {
		s.before(s.tries)
	}
	next, err := s.Store.CompareAndSwap(ctx, key, value, index)
	if s.after != nil {
		err = s.after(s.tries, err)
	}
	return next, err
}

// Guards against reporting a change as failed that is in force, or making it
// twice: the platform accepts the write and its answer is lost. The error alone
// does not show the outcome; reading back must find it.
func TestLostAnswerOfAWriteThatRan(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.server.LoseAnswers(1)
	a, err := f.writer.Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	is.True(a.Repeated)
	is.Equal(a.Revision, uint64(1))
	is.Equal(len(mustReadHead(is, f.view).Operations), 1)
}

// Guards against a change that takes effect twice: a write is delayed on its
// way and reported as lost, the writer reads the unchanged head and sends
// again, and then the first write arrives. The second must be conditioned on
// the same index.
func TestDelayedWriteTakesEffectOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	late := &delayedStore{Store: f.view}
	w := f.newWriter(late)
	a, err := w.Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	is.Equal(a.Revision, uint64(1))
	_, err = f.view.CompareAndSwap(t.Context(), HeadKey, late.value, late.index)
	is.True(errors.Is(err, api.ErrConflict))
	is.Equal(mustReadHead(is, f.view).Revision, uint64(1))
}

// delayedStore holds back the first write of the head and reports it as lost.
type delayedStore struct {
	api.Store
	value []byte
	index uint64
}

func (d *delayedStore) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	if d.value == nil {
		d.value, d.index = value, index
		return 0, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline}
	}
	return d.Store.CompareAndSwap(ctx, key, value, index)
}

// Guards against the verdict "not run" for a change that ran: its answer is
// lost and the platform stays unreachable. The writer must report that the
// change may have run, and settle it by the same operation id when the platform
// is back.
func TestLostAnswerThenOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	s := &hookedStore{Store: f.view, after: func(int, error) error {
		is.NoErr(f.server.SetOutage(platform.Refusing))
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}
	}}
	w := f.newWriter(s)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := w.Change(ctx, putService(opID(1), "calc-lookup", 0))
	is.Equal(verdictOf(is, err), verdict.MayHaveRun)
	is.NoErr(f.server.SetOutage(platform.Up))
	_, found, err := w.Find(t.Context(), opID(1))
	is.NoErr(err)
	is.True(found)
	a, err := w.Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	is.True(a.Repeated)
	is.Equal(mustReadHead(is, f.view).Revision, uint64(1))
}

// Guards against the verdict "may have run" for a change that certainly did
// not: the platform is down from the start, and not every failure leaves the
// outcome unknown.
func TestOutageIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.NoErr(f.server.SetOutage(platform.Refusing))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := f.writer.Change(ctx, putService(opID(1), "calc-lookup", 0))
	is.Equal(verdictOf(is, err), verdict.NotRun)
}

// Guards against reporting a change as failed that was made on a slow platform:
// every call takes longer than the caller waits, before or after it takes
// effect. The verdict must follow from what was sent.
func TestSlowPlatform(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	s := &hookedStore{Store: f.view, before: func(int) { f.server.SetDelay(0, time.Second) }}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := f.newWriter(s).Change(ctx, putService(opID(1), "calc-lookup", 0))
	is.Equal(verdictOf(is, err), verdict.MayHaveRun)
	f.server.SetDelay(0, 0)
	is.Equal(mustReadHead(is, f.view).Revision, uint64(1))
}

// Guards against losing one of two operators' changes: both read the same
// revision and write different entries, and the later write must be applied to
// the newer document.
func TestTwoOperatorsOnDifferentEntries(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	other := f.newWriter(f.view)
	s := &hookedStore{Store: f.view, before: func(try int) {
		if try == 1 {
			_, err := other.Change(t.Context(), putService(opID(2), "permit-file", 0))
			is.NoErr(err)
		}
	}}
	a, err := f.newWriter(s).Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	is.Equal(a.Revision, uint64(2))
	is.Equal(len(mustReadHead(is, f.view).Catalogue.Services), 2)
}

// Guards against an operator who overwrites another's change: both change the
// same entry from the same version. The second must get a conflict that shows
// both versions.
func TestTwoOperatorsOnTheSameEntry(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	other := f.newWriter(f.view)
	s := &hookedStore{Store: f.view, before: func(try int) {
		if try == 1 {
			_, err := other.Change(t.Context(), putService(opID(2), "calc-lookup", 0))
			is.NoErr(err)
		}
	}}
	_, err := f.newWriter(s).Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	var c *change.Conflict
	is.True(errors.As(err, &c))
	is.True(c.YourService != nil && c.CurrentService != nil)
	is.Equal(c.Found, uint64(1))
}

// Guards against "conflict" for a change that ran: its answer is lost, the
// platform comes back with older data, and the fleet's catalogue already
// contains the change. The rejection of the repetition is not the outcome of
// the change.
func TestLostAnswerThenOlderData(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	_, err := f.writer.Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	old := f.server.Snapshot()
	_, err = f.writer.Change(t.Context(), putService(opID(2), "permit-file", 0))
	is.NoErr(err)
	s := &hookedStore{Store: f.view, after: func(int, error) error {
		f.base = config.Base{Catalogue: mustReadHead(is, f.view).Catalogue, Floor: 3}
		f.server.Restore(old)
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}
	}}
	_, err = f.newWriter(s).Change(t.Context(), putService(opID(3), "drawing-vault", 0))
	is.Equal(verdictOf(is, err), verdict.MayHaveRun)
}

// Guards against undoing accepted changes: the platform comes back with older
// data, and an operator's write must neither be built on that data nor reuse a
// revision.
func TestWriteAfterOlderData(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	_, err := f.writer.Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	old := f.server.Snapshot()
	kept, err := f.writer.Change(t.Context(), putService(opID(2), "permit-file", 0))
	is.NoErr(err)
	f.server.Restore(old)
	f.base = config.Base{Catalogue: kept.Catalogue, Floor: 7} // 3 to 7 are known to exist, and lost
	a, err := f.writer.Change(t.Context(), putService(opID(3), "drawing-vault", 0))
	is.NoErr(err)
	is.Equal(a.Revision, uint64(8))
	h := mustReadHead(is, f.view)
	is.Equal(len(h.Catalogue.Services), 3)
	is.Equal(len(h.lineage()), 3) // 1, the fleet's 2, and 8
}

// Guards against undoing accepted changes: the writer knows of a higher
// revision whose content it lacks, and must not build on the platform's older
// document.
func TestNoWriteWhileBehind(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.behind = true
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := f.writer.Change(ctx, putService(opID(1), "calc-lookup", 0))
	is.Equal(verdictOf(is, err), verdict.NotRun)
	is.True(errors.Is(err, ErrBehind))
	is.Equal(mustReadHead(is, f.view).Revision, uint64(0))
}

// cancelOnRead cancels its caller's context during the second read.
type cancelOnRead struct {
	api.Store
	reads  int
	cancel context.CancelFunc
}

func (c *cancelOnRead) Get(ctx context.Context, key string) (api.Entry, error) {
	if c.reads++; c.reads > 1 {
		c.cancel()
		return api.Entry{}, ctx.Err()
	}
	return c.Store.Get(ctx, key)
}

// Guards against a writer that loses the reason for its wait when its caller's
// time ends during a further read.
func TestErrBehindSurvivesCancellation(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.behind = true
	ctx, cancel := context.WithCancel(t.Context())
	w := f.newWriter(&cancelOnRead{Store: f.view, cancel: cancel})
	_, err := w.Change(ctx, putService(opID(1), "calc-lookup", 0))
	is.Equal(verdictOf(is, err), verdict.NotRun)
	is.True(errors.Is(err, ErrBehind))
}

// Guards against a platform that keeps older data and loses the newer when the
// fleet is replaced: it came back with a backup, nobody writes, and the
// catalogue in force must be written back. Two daemons that do so must not undo
// each other's write.
func TestRestore(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	empty := f.server.Snapshot()
	a, err := f.writer.Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	f.server.Restore(empty)
	_, wrote, err := f.writer.Restore(t.Context(), a.Catalogue)
	is.NoErr(err)
	is.True(wrote)
	_, wrote, err = f.writer.Restore(t.Context(), a.Catalogue)
	is.NoErr(err)
	is.True(!wrote)
	h := mustReadHead(is, f.view)
	is.Equal(h.Revision, uint64(1))
	other := *a.Catalogue
	other.Services = nil
	b, wrote, err := f.writer.Restore(t.Context(), &other) // other content, same revision
	is.NoErr(err)
	is.True(wrote)
	is.Equal(b.Revision, uint64(2))
}

// Guards against one revision with two contents: after the platform came back
// with older data, a writer that knows nothing of the lost revisions writes.
// Revisions counted from what the writer sees would be reused; those by the
// clock are not.
func TestRevisionsFollowTheClock(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.writer.o.CountedRevisions = false
	empty := f.server.Snapshot()
	a, err := f.writer.Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	b, err := f.writer.Change(t.Context(), putService(opID(2), "permit-file", 0))
	is.NoErr(err)
	is.Equal(b.Revision, a.Revision+1) // in the same millisecond
	f.server.Restore(empty)
	f.clock.Advance(2 * time.Millisecond)
	c, err := f.writer.Change(t.Context(), putService(opID(3), "drawing-vault", 0))
	is.NoErr(err)
	is.True(c.Revision > b.Revision)
}

// TestManyWriters checks that concurrent writers through different entry VMs
// all succeed, each once, although answers are lost.
func TestManyWriters(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	const writers, changes = 4, 10
	f.server.LoseAnswers(5)
	var wg sync.WaitGroup
	errs := make(chan error, writers*changes)
	for w := range writers {
		wg.Go(func() {
			wr := f.newWriter(f.server.Store())
			for c := range changes {
				n := w*changes + c
				_, err := wr.Change(t.Context(), putService(opID(n), fmt.Sprint("s", n), 0))
				errs <- err
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		is.NoErr(err)
	}
	h := mustReadHead(is, f.view)
	is.Equal(h.Revision, uint64(writers*changes))
	is.Equal(len(h.Catalogue.Services), writers*changes)
}

// largeCatalogue returns a catalogue that does not fit into the head.
func largeCatalogue(revision uint64) *catalogue.Catalogue {
	rng := rand.New(rand.NewPCG(1, revision))
	c := &catalogue.Catalogue{Revision: revision}
	for i := range 4000 {
		c.Shifts = append(c.Shifts, catalogue.Shift{
			ID:    fmt.Sprintf("shift-%05d-%016x", i, rng.Uint64()),
			Owner: randomText(rng, 256),
		})
	}
	return c
}

// randomText returns n hexadecimal digits, which compress to half.
func randomText(rng *rand.Rand, n int) string {
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%016x", rng.Uint64())
	}
	return b.String()
}

// TestPackedCatalogue checks that a catalogue too large to be kept uncompressed
// is read back completely, and that a damaged one is refused.
func TestPackedCatalogue(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	c := largeCatalogue(5)
	c.Shifts = c.Shifts[:200]
	f.base = config.Base{Catalogue: c, Floor: 5}
	_, err := f.writer.Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	h := mustReadHead(is, f.view)
	is.True(len(h.Packed) > 0 && len(h.Chunks) == 0)
	is.Equal(len(h.Catalogue.Shifts), 200)
	h.Catalogue = nil
	h.Packed[len(h.Packed)/2] ^= 1
	value, err := json.Marshal(&h.document)
	is.NoErr(err)
	_, err = f.view.CompareAndSwap(t.Context(), HeadKey, value, h.index)
	is.NoErr(err)
	_, err = readHead(t.Context(), f.view)
	is.True(errors.Is(err, ErrMalformed))
}

// TestLargeCatalogue checks that chunks hold what does not fit into the head,
// that a damaged or missing chunk is never applied, and that old chunks are
// removed.
func TestLargeCatalogue(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.base = config.Base{Catalogue: largeCatalogue(5), Floor: 5}
	var keys []string
	for i := range 4 {
		a, err := f.writer.Change(t.Context(), putService(opID(i), fmt.Sprint("s", i), 0))
		is.NoErr(err)
		h := mustReadHead(is, f.view)
		is.Equal(h.Revision, a.Revision)
		is.Equal(len(h.Catalogue.Shifts), 4000)
		is.True(len(h.Chunks) > 0)
		keys = h.Chunks
	}
	es, err := f.view.List(t.Context(), chunkPrefix)
	is.NoErr(err)
	is.Equal(len(es), 2*len(keys)) // of the newest and of the one before
	e, err := f.view.Get(t.Context(), keys[0])
	is.NoErr(err)
	e.Value[len(e.Value)/2] ^= 1
	_, err = f.view.CompareAndSwap(t.Context(), keys[0], e.Value, e.Index)
	is.NoErr(err)
	_, err = readHead(t.Context(), f.view)
	is.True(errors.Is(err, ErrMalformed))
	is.NoErr(f.view.Delete(t.Context(), keys[0], 0))
	_, err = readHead(t.Context(), f.view)
	is.True(errors.Is(err, ErrMalformed))
}

// TestReader checks that the outcomes of reads become the events that package
// config expects.
func TestReader(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	events := make(chan *config.PlatformRead, 10)
	r := NewReader(ReaderOptions{Store: f.view, Now: f.clock.Now, Emit: func(ev *config.PlatformRead) { events <- ev }})
	defer r.Close()
	fetch := func(seq uint64) *config.PlatformRead {
		r.Perform(&config.Ready{Fetch: []config.FetchPlatform{{Seq: seq}}})
		return <-events
	}
	is.Equal(fetch(1).Result, config.ReadNotFound)
	_, err := f.writer.Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	ev := fetch(2)
	is.Equal(ev.Result, config.ReadDocument)
	is.Equal(ev.Catalogue.Revision, uint64(1))
	is.Equal(len(ev.Lineage), 1)
	is.Equal(ev.ConfirmedAt, f.clock.Now())
	r.Perform(&config.Ready{Watch: []config.WatchPlatform{{Seq: 3, After: ev.Index, Wait: time.Minute}}})
	_, err = f.writer.Change(t.Context(), putService(opID(2), "permit-file", 0))
	is.NoErr(err)
	ev = <-events
	is.Equal(ev.Seq, uint64(3))
	is.Equal(ev.Catalogue.Revision, uint64(2))
	r.Perform(&config.Ready{Watch: []config.WatchPlatform{{Seq: 4, After: ev.Index, Wait: time.Millisecond}}})
	quiet := <-events
	is.Equal(quiet.Result, config.ReadNotModified)
	is.Equal(quiet.ConfirmedAt, f.clock.Now()) // the fake clock did not move: not the end of the wait
	is.NoErr(f.server.SetOutage(platform.Refusing))
	is.Equal(fetch(5).Result, config.ReadFailed)
	is.NoErr(f.server.SetOutage(platform.Up))
	_, err = f.view.CompareAndSwap(t.Context(), HeadKey, []byte(`{"format":1,"revision":3}`), ev.Index)
	is.NoErr(err)
	is.Equal(fetch(6).Result, config.ReadMalformed)
}

// Guards against a daemon that keeps watching after another has taken over, or
// that cannot stop: a waiting watch must be cancelled when it is stopped.
func TestStopWatching(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	events := make(chan *config.PlatformRead, 10)
	r := NewReader(ReaderOptions{Store: f.view, Now: f.clock.Now, Emit: func(ev *config.PlatformRead) { events <- ev }})
	_, err := f.writer.Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	r.Perform(&config.Ready{Watch: []config.WatchPlatform{{Seq: 1, After: mustReadHead(is, f.view).index, Wait: time.Hour}}})
	r.Perform(&config.Ready{Stop: []config.StopWatching{{Seq: 1}}})
	r.Close() // returns only when the watch has ended
	is.Equal(len(events), 0)
	is.Equal(f.server.Counts().Waiting, 0)
}
