package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/standin/payload"
	"github.com/azurethread/azurethread/standin/target"
)

// Symptom: a planned restart cuts requests off, or callers are not told where
// to go.
// Sequence: 50 callers have a request at work, and send the next ones, while
// their entry VM is stopped.
// Cause: an end of the process that does not wait.
func TestStopCutsNothing(t *testing.T) {
	const callers = 50
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	release := make(chan struct{})
	var began atomic.Int64
	sys.startHandlerTarget("attiki-1", calc, func(w http.ResponseWriter, r *http.Request) {
		began.Add(1)
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})
	a := sys.startEntryVM("a", "attiki-1", "--leave-delay=200ms", "--log-level=error")
	b := sys.startEntryVM("b", "attiki-1")
	waitFor(t, func() bool { return a.KnownVMs() == 2 && b.KnownVMs() == 2 })

	conns := make([]*rawCaller, callers)
	for i := range conns {
		conns[i] = dialRaw(t, a)
		conns[i].send(t, fmt.Sprintf("GET /v1/call/%s/%d HTTP/1.1\r\nHost: a\r\n\r\n", calc, i))
	}
	waitFor(t, func() bool { return began.Load() >= callers })

	sys.markEnded(a)
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		stopped <- a.Stop(ctx)
	}()
	waitFor(t, func() bool { return !a.Ready() })
	refused := call(t, a, "GET", calc, "/late", nil, nil)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.verdict(), "not-run")
	is.Equal(refused.reason(), "stopping")
	var page refusalBody
	refused.decode(t, &page)
	is.True(slices.Contains(page.Alternatives, b.CallAddr()))

	close(release)
	for i, c := range conns {
		got := c.receive(t, "GET")
		is.Equal(got.status, http.StatusOK)
		is.Equal(string(got.body), fmt.Sprintf("/%d", i))
	}
	is.NoErr(<-stopped)
	is.Equal(call(t, b, "GET", calc, "/after", nil, nil).status, http.StatusOK)
}

// Symptom: a drawing pack is cut by a planned restart.
// Sequence: a caller reads a large answer slowly; its entry VM is stopped.
// Cause: an answer counted as given once it is in the process's own buffers.
func TestStopWaitsForSlowReaders(t *testing.T) {
	const size = 8 << 20
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	sys.startTarget("attiki-1", target.Options{Service: calc, ID: "t1", Slots: 3})
	e := sys.startEntryVM("a", "attiki-1")
	conn := dialRaw(t, e)
	conn.send(t, fmt.Sprintf("GET /v1/call/%s/x HTTP/1.1\r\nHost: a\r\n%s: r1\r\n%s: %d\r\n\r\n", calc, payload.IDHeader, payload.SizeHeader, size))
	res, err := http.ReadResponse(conn.r, nil)
	is.NoErr(err)
	sys.markEnded(e)
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		stopped <- e.Stop(ctx)
	}()
	select {
	case err := <-stopped:
		t.Fatalf("stopped (%v) with an answer half sent", err)
	case <-time.After(time.Second): // long enough for a stop that does not wait
	}
	is.NoErr(payload.Check(res.Body, "r1", size))
	is.NoErr(<-stopped)
}

// Symptom: a stop hangs for ever on a request that does not end.
// Sequence: a request is at work past the stop's bound.
// Cause: a target that never answers.
func TestStopIsBounded(t *testing.T) {
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	s := sys.startTarget("attiki-1", target.Options{Service: calc, ID: "t1", Slots: 3, Work: target.Work{Base: time.Hour}})
	e := sys.startEntryVM("a", "attiki-1")
	conn := dialRaw(t, e)
	conn.send(t, "GET /v1/call/"+calc+"/x HTTP/1.1\r\nHost: a\r\nAzurethread-Deadline-Ms: 3600000\r\n\r\n")
	waitFor(t, func() bool { return s.Stats().Started == 1 })
	sys.markEnded(e)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.True(e.Stop(ctx) != nil) // says that it cut something
}
