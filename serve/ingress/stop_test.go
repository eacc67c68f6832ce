package ingress

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: a request is cut off by a planned stop, and nobody knows whether it
// ran.
// Sequence: callers go on sending to a VM that is leaving, on new connections
// and on those they have, until its time is up.
// Cause: the listener stayed open until no request was in flight, which never
// came about.
func TestStopUnderLoad(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	w.startTarget("t1", func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		respondOK("done")(rw, r)
	})
	s := w.startListed("vm-1")
	free := dial(t, s)
	free.sendRequest(http.MethodGet, "/", "free")
	free.readResponse(http.MethodGet) // its connection stays open, with nothing under way
	addr := s.callerServer.Addr()
	var stop atomic.Bool
	cut := make(chan int)
	for range loadCallers {
		go func() { cut <- sendUntilStopped(addr, &stop) }()
	}
	is.NoErr(s.Stop())
	stop.Store(true)
	for range loadCallers {
		is.Equal(<-cut, 0)
	}
	_ = free.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := free.r.ReadByte()
	is.True(err != nil && !errors.Is(err, syscall.ETIMEDOUT)) // closed
}

// loadCallers is how many callers press: enough for one of them to have a request
// in flight at any time.
const loadCallers = 16

// sendUntilStopped sends requests, each on a new connection, until the listener is gone
// or stop is set. It returns how many were sent whole without an answer.
func sendUntilStopped(addr string, stop *atomic.Bool) (cut int) {
	for !stop.Load() {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return cut
		}
		req := "POST / HTTP/1.1\r\nHost: " + testHost + "\r\nX-Id: a\r\nX-Patience: 5000\r\n\r\n"
		if _, err := c.Write([]byte(req)); err == nil {
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			var head [12]byte
			if n, err := c.Read(head[:]); n < len(head) && !errors.Is(err, syscall.ECONNRESET) {
				cut++ // a reset: it was never accepted
			}
		}
		_ = c.Close()
	}
	return cut
}

// Guards against planned stops that take all of their time once a caller has left
// before its answer: its request counted as in flight for good.
func TestStopDoesNotWaitForGoneCallers(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	working, cancelled := make(chan struct{}), make(chan struct{})
	w.startTarget("t1", func(_ http.ResponseWriter, r *http.Request) {
		close(working)
		<-r.Context().Done()
		close(cancelled)
	})
	s := w.startListed("vm-1")
	c := dial(t, s)
	c.sendRequest(http.MethodGet, "/", "id-1")
	<-working
	_ = c.conn.Close()
	<-cancelled
	is.NoErr(s.Stop()) // it would say that requests are in flight
}
