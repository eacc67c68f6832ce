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

// A graceful stop must wait for the requests in flight of 50 callers, and refuse
// new requests with the addresses of other entry VMs.
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

// A graceful stop must wait until a caller that reads slowly has received its
// large answer. The stop would cut the answer if it counted as sent once it is
// in the buffers of the process.
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
		t.Fatalf("stopped (%v) with a partly sent answer", err)
	case <-time.After(time.Second): // enough for a stop that does not wait to end
	}
	is.NoErr(payload.Check(res.Body, "r1", size))
	is.NoErr(<-stopped)
}

// A graceful stop must end at its deadline, with an error, when a target never
// answers a request.
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
	is.True(e.Stop(ctx) != nil) // reports that a request was cut
}
