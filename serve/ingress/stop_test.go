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

// Guards against requests that are interrupted by a planned stop, with an
// unknown outcome: the listener stays open until no request is in flight, which
// never happens because callers keep sending to the leaving VM on new and open
// connections until the stop times out.
func TestStopUnderLoad(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	w.startTarget("t1", func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		respondOK("done")(rw, r)
	})
	s := w.startListed("vm-1")
	idle := dial(t, s)
	idle.sendRequest(http.MethodGet, "/", "free")
	idle.readResponse(http.MethodGet) // the connection stays open without a request in flight
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
	_ = idle.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := idle.r.ReadByte()
	is.True(err != nil && !errors.Is(err, syscall.ETIMEDOUT)) // closed
}

// loadCallers is the number of concurrent callers: enough for at least one to
// have a request in flight at any time.
const loadCallers = 16

// sendUntilStopped sends requests, each on a new connection, until the listener
// is closed or stop is set. It returns how many were sent completely and got no
// answer.
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
				cut++ // not after a reset: the request was never accepted then
			}
		}
		_ = c.Close()
	}
	return cut
}

// Guards against planned stops that take all of their time because the request
// of a caller that left before its answer counts as in flight forever.
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
	is.NoErr(s.Stop()) // fails if requests are in flight
}
