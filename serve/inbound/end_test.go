package inbound

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against closes that cannot be told apart: which side closed a connection,
// why, and how many requests were in flight on it.
func TestConnectionEndIsReported(t *testing.T) {
	const get = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct {
		send     string
		then     func(s *Server, conn net.Conn)
		reason   CloseReason
		inFlight int
	}{
		"caller closes":        {"", func(_ *Server, conn net.Conn) { _ = conn.Close() }, ClosedByCaller, 0},
		"caller closes in use": {get, func(_ *Server, conn net.Conn) { _ = conn.Close() }, ClosedByCaller, 1},
		"idle timeout":         {"", func(*Server, net.Conn) {}, ClosedIdleTimeout, 0},
		"read timeout":         {"GET /", func(*Server, net.Conn) {}, ClosedReadTimeout, 0},
		"refused":              {"G@T / HTTP/1.1\r\n\r\n", func(*Server, net.Conn) {}, ClosedRefused, 0},
		"idle at a stop":       {"", func(s *Server, _ net.Conn) { s.StopAccepting(t.Context()) }, ClosedStopIdle, 0},
		"end of the server":    {get, func(s *Server, _ net.Conn) { s.Close() }, ClosedStopEnd, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ends, arrived := make(chan ConnectionEnd, 1), make(chan *Exchange, 1)
			s, err := Listen("127.0.0.1:0", Options{
				Limits:       Limits{HeadBytes: testHead, BodyBytes: testBody, ReadTimeout: 100 * time.Millisecond, IdleTimeout: 300 * time.Millisecond},
				WriteTimeout: time.Minute,
				Refusal:      func(int) (http.Header, []byte) { return nil, nil },
				Closed:       func(e ConnectionEnd) { ends <- e },
			})
			is.NoErr(err)
			s.Serve(handlerFunc(func(x *Exchange) { arrived <- x }))
			t.Cleanup(s.Close)
			conn, _ := dial(t, s)
			_, err = io.WriteString(conn, c.send)
			is.NoErr(err)
			for s.Connections() == 0 {
				time.Sleep(time.Millisecond)
			}
			var x *Exchange
			if c.inFlight > 0 {
				x = <-arrived
			}
			c.then(s, conn)
			end := <-ends
			is.Equal(end.Reason, c.reason)
			is.Equal(end.InFlight, c.inFlight)
			is.Equal(end.Requests, c.inFlight)
			if x != nil {
				is.Equal(x.CloseReason(), c.reason)
			}
		})
	}
}
