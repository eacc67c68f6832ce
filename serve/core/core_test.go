package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
)

func testCore(t *testing.T, step func()) *Core[int] {
	t.Helper()
	now := func() clock.Time { return clock.FromWall(time.Now()) }
	c := New(now, 0, func(clock.Time, any) clock.Time { step(); return clock.Never }, "tick")
	t.Cleanup(c.Close)
	return c
}

// Guards against a data race on the variables that a query fills for a page of
// the administration interface, or a page with values from two points in time. A
// query waits behind a step, the core is closed, Query returns false, and then
// the step ends: a closed core must not run the queries in its queue, as their
// callers use the variables again.
func TestQueryAfterClose(t *testing.T) {
	is := is.New(t)
	stepping, proceed, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	c := testCore(t, func() {})
	go func() {
		defer close(ended)
		c.Query(func(clock.Time, int) {
			close(stepping)
			<-proceed
		})
	}()
	<-stepping
	var ran bool
	asked := make(chan bool)
	go func() { asked <- c.Query(func(clock.Time, int) { ran = true }) }()
	for queued := 0; queued == 0; {
		time.Sleep(time.Millisecond)
		c.mu.Lock()
		queued = len(c.queue)
		c.mu.Unlock()
	}
	c.Close()
	is.Equal(<-asked, false)
	close(proceed)
	<-ended
	is.Equal(ran, false)
}

// Guards against an entry VM that accepts requests and answers none, without a
// log line. A step panics on a poller's goroutine, and nbio recovers the panic:
// the core would stay marked as running, so that every later event would only
// be queued.
func TestPanicEndsTheProcess(t *testing.T) {
	is := is.New(t)
	c := testCore(t, func() { panic("defect") })
	var cause any
	c.crash = func(v any) { cause = v }
	c.Post("event")
	is.Equal(cause, "defect")
}
