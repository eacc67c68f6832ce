package platform_test

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	api "github.com/azurethread/azurethread/serve/platform"
	"github.com/azurethread/azurethread/standin/platform"
)

// testClock is a clock that tests advance explicitly.
type testClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *testClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

const longWait = time.Minute

// fixture is a server with an HTTP or in-process client.
type fixture struct {
	server   *platform.Server
	clock    *testClock
	store    api.Store
	machines api.Machines
}

// eachClient runs a test over HTTP and in process; both must behave the same.
func eachClient(t *testing.T, run func(is *is.I, ctx context.Context, f fixture)) {
	t.Helper()
	for _, name := range []string{"http", "process"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &testClock{now: time.Unix(1000, 0)}
			s := platform.New(platform.Options{Now: clock.Now})
			is.NoErr(s.Start("127.0.0.1:0"))
			defer s.Close()
			f := fixture{server: s, clock: clock}
			if name == "http" {
				c, err := api.NewClient(api.Options{Addr: s.Addr()})
				is.NoErr(err)
				defer c.Close()
				f.store, f.machines = c, c
			} else {
				v := s.Store()
				f.store, f.machines = v, v
			}
			ctx, cancel := context.WithTimeout(context.Background(), longWait)
			defer cancel()
			run(is, ctx, f)
		})
	}
}

func verdictOf(is *is.I, err error) verdict.Verdict {
	is.Helper()
	var e *verdict.Error
	is.True(errors.As(err, &e)) // err is a *verdict.Error
	return e.Verdict
}

func TestCompareAndSwap(t *testing.T) {
	eachClient(t, func(is *is.I, ctx context.Context, f fixture) {
		_, err := f.store.Get(ctx, "a/b")
		is.True(errors.Is(err, api.ErrNotFound))

		first, err := f.store.CompareAndSwap(ctx, "a/b", []byte("one"), 0)
		is.NoErr(err)
		second, err := f.store.CompareAndSwap(ctx, "a/b", []byte("two"), first)
		is.NoErr(err)
		is.True(second > first)

		_, err = f.store.CompareAndSwap(ctx, "a/b", []byte("three"), first)
		is.True(errors.Is(err, api.ErrConflict))
		var conflict *api.ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Current, api.Entry{Key: "a/b", Value: []byte("two"), Index: second})

		is.True(errors.Is(f.store.Delete(ctx, "a/b", first), api.ErrConflict))
		is.NoErr(f.store.Delete(ctx, "a/b", second))
		gone, err := f.store.Get(ctx, "a/b")
		is.True(errors.Is(err, api.ErrNotFound))
		is.True(gone.Index > second)
	})
}

func TestListReturnsPrefixSortedByKey(t *testing.T) {
	eachClient(t, func(is *is.I, ctx context.Context, f fixture) {
		for _, k := range []string{"p/2", "q/1", "p/1"} {
			_, err := f.store.CompareAndSwap(ctx, k, []byte(k), 0)
			is.NoErr(err)
		}
		es, err := f.store.List(ctx, "p/")
		is.NoErr(err)
		is.Equal(len(es), 2)
		is.Equal(es[0].Key, "p/1")
		is.Equal(es[1].Key, "p/2")
		none, err := f.store.List(ctx, "absent/")
		is.NoErr(err)
		is.Equal(len(none), 0)
	})
}

func TestValueSizeLimit(t *testing.T) {
	eachClient(t, func(is *is.I, ctx context.Context, f fixture) {
		largest := bytes.Repeat([]byte{0xff}, api.MaxValueSize)
		_, err := f.store.CompareAndSwap(ctx, "k", largest, 0)
		is.NoErr(err)
		e, err := f.store.Get(ctx, "k")
		is.NoErr(err)
		is.True(bytes.Equal(e.Value, largest))
		_, err = f.store.CompareAndSwap(ctx, "k", append(largest, 0), e.Index)
		is.True(errors.Is(err, api.ErrTooLarge))
	})
}

func TestWatchReturnsChange(t *testing.T) {
	eachClient(t, func(is *is.I, ctx context.Context, f fixture) {
		first, err := f.store.CompareAndSwap(ctx, "k", []byte("one"), 0)
		is.NoErr(err)
		_, err = f.store.Watch(ctx, "k", first, time.Millisecond)
		is.True(errors.Is(err, api.ErrNotModified))

		seen := make(chan api.Entry, 1)
		go func() {
			e, _ := f.store.Watch(ctx, "k", first, longWait)
			seen <- e
		}()
		for f.server.Counts().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		second, err := f.store.CompareAndSwap(ctx, "k", []byte("two"), first)
		is.NoErr(err)
		e := <-seen
		is.Equal(e.Index, second)
		is.Equal(string(e.Value), "two")
		is.Equal(f.server.Counts().Watches, uint64(2))
	})
}

func TestWatchOfAbsentKeyReturnsCreation(t *testing.T) {
	eachClient(t, func(is *is.I, ctx context.Context, f fixture) {
		absent, err := f.store.Watch(ctx, "k", 0, longWait)
		is.True(errors.Is(err, api.ErrNotFound))
		_, err = f.store.CompareAndSwap(ctx, "k", []byte("one"), 0)
		is.NoErr(err)
		e, err := f.store.Watch(ctx, "k", absent.Index, longWait)
		is.NoErr(err)
		is.Equal(string(e.Value), "one")
	})
}

// Guards against two active holders of one duty: the first holder is paused, its
// lease expires, a second one acquires the key, and the first one resumes and
// writes. A holder can't rely on its lease being valid at the time of a write;
// only the comparison of the index prevents the write.
func TestExpiredLeaseLosesKey(t *testing.T) {
	eachClient(t, func(is *is.I, ctx context.Context, f fixture) {
		first, err := f.store.GrantLease(ctx, api.MinLeaseTTL)
		is.NoErr(err)
		second, err := f.store.GrantLease(ctx, 10*api.MinLeaseTTL)
		is.NoErr(err)
		index, held, err := f.store.Acquire(ctx, "duty", []byte("first"), first)
		is.NoErr(err)
		is.True(held)
		_, held, err = f.store.Acquire(ctx, "duty", []byte("second"), second)
		is.NoErr(err)
		is.True(!held)

		f.clock.Advance(api.MinLeaseTTL - 1)
		is.NoErr(f.store.RenewLease(ctx, first))
		f.clock.Advance(api.MinLeaseTTL)
		_, held, err = f.store.Acquire(ctx, "duty", []byte("second"), second)
		is.NoErr(err)
		is.True(held)

		is.True(errors.Is(f.store.RenewLease(ctx, first), api.ErrLeaseLost))
		_, err = f.store.CompareAndSwap(ctx, "duty", []byte("first"), index)
		is.True(errors.Is(err, api.ErrConflict))
		_, _, err = f.store.Acquire(ctx, "duty", []byte("first"), first)
		is.True(errors.Is(err, api.ErrLeaseLost))

		is.NoErr(f.store.RevokeLease(ctx, second))
		e, err := f.store.Get(ctx, "duty")
		is.NoErr(err)
		is.Equal(e.Lease, api.LeaseID(""))
		is.Equal(string(e.Value), "second")
	})
}

// Guards against a catalogue change that is reported as failed but is in force:
// a write takes effect, and its connection is cut before the answer. A lost
// answer doesn't show whether the write took effect.
func TestLostAnswerMayHaveRun(t *testing.T) {
	eachClient(t, func(is *is.I, ctx context.Context, f fixture) {
		f.server.LoseAnswers(1)
		_, err := f.store.CompareAndSwap(ctx, "k", []byte("one"), 0)
		is.Equal(verdictOf(is, err), verdict.MayHaveRun)
		e, err := f.store.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(string(e.Value), "one")
		is.Equal(f.server.Counts().Writes, uint64(1)) // the client must not retry the write
	})
}

func TestRefusingOutage(t *testing.T) {
	eachClient(t, func(is *is.I, ctx context.Context, f fixture) {
		first, err := f.store.CompareAndSwap(ctx, "k", []byte("one"), 0)
		is.NoErr(err)
		cut := make(chan error, 1)
		go func() {
			_, err := f.store.Watch(ctx, "k", first, longWait)
			cut <- err
		}()
		for f.server.Counts().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		is.NoErr(f.server.SetOutage(platform.Refusing))
		is.Equal(verdictOf(is, <-cut), verdict.MayHaveRun)
		_, err = f.store.CompareAndSwap(ctx, "k", []byte("two"), first)
		is.Equal(verdictOf(is, err), verdict.NotRun)

		is.NoErr(f.server.SetOutage(platform.Up))
		e, err := f.store.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(string(e.Value), "one")
	})
}

func TestHangingOutage(t *testing.T) {
	eachClient(t, func(is *is.I, ctx context.Context, f fixture) {
		is.NoErr(f.server.SetOutage(platform.Hanging))
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err := f.store.CompareAndSwap(short, "k", []byte("one"), 0)
		is.Equal(verdictOf(is, err), verdict.MayHaveRun)
		is.True(errors.Is(err, context.DeadlineExceeded))

		is.NoErr(f.server.SetOutage(platform.Up))
		_, err = f.store.Get(ctx, "k")
		is.True(errors.Is(err, api.ErrNotFound))
	})
}

// Guards against a catalogue that returns to an older revision: after two
// writes the service is restored from a copy made after the first one, and its
// indexes decrease.
func TestRestoreReusesIndexes(t *testing.T) {
	eachClient(t, func(is *is.I, ctx context.Context, f fixture) {
		first, err := f.store.CompareAndSwap(ctx, "k", []byte("one"), 0)
		is.NoErr(err)
		older := f.server.Snapshot()
		second, err := f.store.CompareAndSwap(ctx, "k", []byte("two"), first)
		is.NoErr(err)
		f.server.Restore(older)

		e, err := f.store.Watch(ctx, "k", second, time.Millisecond)
		is.NoErr(err)
		is.Equal(e.Index, first)
		is.Equal(string(e.Value), "one")
		again, err := f.store.CompareAndSwap(ctx, "k", []byte("other"), first)
		is.NoErr(err)
		is.Equal(again, second) // the index is reused
	})
}

func TestMachineListLag(t *testing.T) {
	eachClient(t, func(is *is.I, ctx context.Context, f fixture) {
		before, err := f.machines.Machines(ctx, 0, 0)
		is.NoErr(err)
		f.server.SetMachineLag(time.Second)
		f.server.SetMachines(fleet.List{VMs: []fleet.VM{{ID: "vm-1"}}})
		_, err = f.machines.Machines(ctx, before.Version, time.Millisecond)
		is.True(errors.Is(err, api.ErrNotModified))
		f.clock.Advance(time.Second)
		l, err := f.machines.Machines(ctx, before.Version, longWait)
		is.NoErr(err)
		is.Equal(l.VMs, []fleet.VM{{ID: "vm-1"}})
	})
}

func TestOutageOfOneEndpoint(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := platform.New(platform.Options{})
	is.NoErr(s.Start("127.0.0.1:0"))
	defer s.Close()
	other, err := s.Endpoint("127.0.0.1:0")
	is.NoErr(err)
	reachable, err := api.NewClient(api.Options{Addr: s.Addr()})
	is.NoErr(err)
	cutOff, err := api.NewClient(api.Options{Addr: other.Addr()})
	is.NoErr(err)

	is.NoErr(other.SetOutage(platform.Refusing))
	_, err = reachable.CompareAndSwap(ctx, "k", []byte("one"), 0)
	is.NoErr(err)
	_, err = cutOff.Get(ctx, "k")
	is.Equal(verdictOf(is, err), verdict.NotRun)
	is.NoErr(other.SetOutage(platform.Up))
	_, err = cutOff.Get(ctx, "k")
	is.NoErr(err)
}
