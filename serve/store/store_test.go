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

// testClock is advanced by hand.
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

// hookedStore lets a test act around the compare-and-swaps of the head.
type hookedStore struct {
	api.Store
	before func(try int)                  // before the write
	after  func(try int, err error) error // replaces the answer
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

// Symptom: an operator is told that a change failed, and it is in force; or
// it is made twice. Sequence: the platform accepts the write and its answer is
// lost. Cause: the error is taken for the outcome. Reading back must find it.
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

// Symptom: a change that was refused as lost takes effect later, beside its
// repetition. Sequence: the write is delayed on its way, the writer sees
// nothing, reads the unchanged head and sends again; then the first arrives.
// Cause: the second isn't conditioned on the same index.
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

// Symptom: an operator is told "not run" for a change that ran. Sequence: the
// answer is lost, and the platform stays away. Cause: the writer guesses. It
// must say that the change may have run, and settle it once the platform is
// back, by the same operation id.
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

// Symptom: an operator is told "may have run" for a change that certainly
// didn't. Sequence: the platform is down from the start. Cause: every failure
// counts as unknown.
func TestOutageIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.NoErr(f.server.SetOutage(platform.Refusing))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := f.writer.Change(ctx, putService(opID(1), "calc-lookup", 0))
	is.Equal(verdictOf(is, err), verdict.NotRun)
}

// Symptom: with a slow platform a change is reported as failed although it
// was made. Sequence: every call takes longer than the caller waits, before or
// after it takes effect. Cause: the verdict doesn't follow from what was sent.
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

// Symptom: of two operators' changes one is gone. Sequence: both read the same
// revision and write different entries. Cause: the later write isn't applied
// to the newer document.
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

// Symptom: an operator overwrites what another has just decided. Sequence:
// both change the same entry from the same version. Cause: the second write is
// applied without comparing versions. It must see both.
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

// Symptom: "conflict" for a change that ran. Sequence: its answer is lost, the
// platform comes back with older data, and the fleet's catalogue already holds
// the change. Cause: the refusal of the repetition is taken for the outcome.
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

// Symptom: accepted changes are undone. Sequence: the platform comes back with
// older data, and an operator writes. Cause: the write is built on that data,
// or takes a revision that was given out before.
func TestWriteAfterOlderData(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	_, err := f.writer.Change(t.Context(), putService(opID(1), "calc-lookup", 0))
	is.NoErr(err)
	old := f.server.Snapshot()
	kept, err := f.writer.Change(t.Context(), putService(opID(2), "permit-file", 0))
	is.NoErr(err)
	f.server.Restore(old)
	f.base = config.Base{Catalogue: kept.Catalogue, Floor: 7} // 3 to 7 heard of, and lost
	a, err := f.writer.Change(t.Context(), putService(opID(3), "drawing-vault", 0))
	is.NoErr(err)
	is.Equal(a.Revision, uint64(8))
	h := mustReadHead(is, f.view)
	is.Equal(len(h.Catalogue.Services), 3)
	is.Equal(len(h.lineage()), 3) // 1, the fleet's 2, and 8
}

// Symptom: as above. Sequence: the writer knows that a higher revision exists,
// and doesn't have it. Cause: it builds on the platform's older document.
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

// cancelOnRead ends its caller's time during a later read.
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

// Guards against a writer that forgets why it waits when its caller's time ends
// while it looks once more.
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

// Symptom: the platform keeps older data for good, and loses the newer when
// the fleet is replaced. Sequence: it is put back, and nobody writes. Cause:
// nobody gives it what is in force; or two daemons do, and undo each other.
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

// Symptom: one revision stands for two contents. Sequence: after older data a
// writer that has heard nothing of the lost revisions writes. Cause: revisions
// are counted from what the writer sees; by the clock they are never reused.
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

// TestManyWriters: concurrent writers through different entry VMs all succeed,
// each once, though answers get lost.
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

// largeCatalogue returns a catalogue that doesn't fit into the head.
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

// TestPackedCatalogue: a catalogue too large to be kept plain is read back
// whole, and a damaged one is refused.
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

// TestLargeCatalogue: chunks hold what the head can't, a chunk that is damaged
// or missing is never applied, and old chunks are removed.
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

// TestReader: the outcomes of reads become the events that config expects.
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
	is.Equal(ev.Confirmed, f.clock.Now())
	r.Perform(&config.Ready{Watch: []config.WatchPlatform{{Seq: 3, After: ev.Index, Wait: time.Minute}}})
	_, err = f.writer.Change(t.Context(), putService(opID(2), "permit-file", 0))
	is.NoErr(err)
	ev = <-events
	is.Equal(ev.Seq, uint64(3))
	is.Equal(ev.Catalogue.Revision, uint64(2))
	r.Perform(&config.Ready{Watch: []config.WatchPlatform{{Seq: 4, After: ev.Index, Wait: time.Millisecond}}})
	quiet := <-events
	is.Equal(quiet.Result, config.ReadNotModified)
	is.Equal(quiet.Confirmed, f.clock.Now()) // the fake clock stood still: not the end of the wait
	is.NoErr(f.server.SetOutage(platform.Refusing))
	is.Equal(fetch(5).Result, config.ReadFailed)
	is.NoErr(f.server.SetOutage(platform.Up))
	_, err = f.view.CompareAndSwap(t.Context(), HeadKey, []byte(`{"format":1,"revision":3}`), ev.Index)
	is.NoErr(err)
	is.Equal(fetch(6).Result, config.ReadMalformed)
}

// Symptom: a daemon goes on watching after another has taken over, or blocks
// its own stop. Sequence: a watch waits while it is told to stop. Cause: the
// watch isn't abandoned.
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
