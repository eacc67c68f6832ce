package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a target that continues requests of callers that have left: the
// caller closes its connection while a target runs the request, and the call is
// removed before the cancel of its attempt is executed.
func TestCancelReachesTarget(t *testing.T) {
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
	w.eventually("the call is removed", func() bool { return s.calls.len() == 0 })
}

// Guards against a caller getting the answer to another request: a target
// answers a request twice, the second answer arrives when the answer to the next
// request on that connection is due, and answers are matched only by their
// order.
func TestDuplicateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startRawTarget("t1", func(c net.Conn, r *bufio.Reader) {
		first := ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Id")
			if first != "" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Id: "+first+"\r\nContent-Length: 3\r\n\r\nold")
			}
			first = id
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Id: "+id+"\r\nContent-Length: 3\r\n\r\nown")
		}
	})
	s := w.startListed("vm-1")
	for _, id := range []string{"a", "b", "c"} {
		res, body := doRequest(t, s, http.MethodGet, "/", id)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(body, "own")
		is.Equal(res.Header.Get("X-Id"), id)
	}
}

// Guards against a truncated answer taken for a complete one: an answer without
// a length ends with its connection, and a reset looks like a regular close.
func TestAnswerWithoutLength(t *testing.T) {
	for name, c := range map[string]struct {
		reset  bool
		status int
	}{
		"closed": {false, http.StatusOK},
		"reset":  {true, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, catchAllRoute(false))
			w.startRawTarget("t1", func(conn net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Id: "+req.Header.Get("X-Id")+"\r\n\r\nbody")
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			s := w.startListed("vm-1")
			res, body := doRequest(t, s, http.MethodPost, "/", "id-1")
			is.Equal(res.StatusCode, c.status)
			if !c.reset {
				is.Equal(body, "body")
			}
		})
	}
}

// Guards against telling a caller that its request was not run although it was:
// a target answers with a status that means "not run" without the header field
// that states it, and the status is passed on.
func TestNotRunStatusNeedsNotRunHeader(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		is := is.New(t)
		w := newTestEnv(t, catchAllRoute(false))
		w.startTarget("t1", func(w http.ResponseWriter, r *http.Request) {
			respondOK("")(bodyDiscarder{w}, r)
			w.WriteHeader(status)
		})
		s := w.startListed("vm-1")
		res, _ := doRequest(t, s, http.MethodPost, "/", "id-1")
		if status == http.StatusMisdirectedRequest {
			is.Equal(res.StatusCode, http.StatusServiceUnavailable) // 421 means by itself that it was not run
		} else {
			is.Equal(res.StatusCode, http.StatusBadGateway)
		}
	}
}

// bodyDiscarder keeps header fields and discards the body.
type bodyDiscarder struct{ http.ResponseWriter }

func (bodyDiscarder) Write(b []byte) (int, error) { return len(b), nil }
