package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
)

// farTarget registers a target of the other region that answers with h.
func (w *world) farTarget(id string, h http.Handler) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	w.t.Cleanup(func() { _ = srv.Close() })
	w.registerIn("far", id, ln.Addr().String())
}

// twoRegions starts an entry VM, and one in the other region that is its gateway.
func (w *world) twoRegions() (near, gate *Server) {
	w.t.Helper()
	gate = w.listed(w.startIn("far", "gate", w.store))
	near = w.entry("vm-1")
	w.eventually("the gateway is known", func() bool {
		_, known := near.member("gate")
		return known
	})
	return near, gate
}

// send sends a request with a body and returns the answer.
func send(t *testing.T, s *Server, method, id string, body []byte) (*http.Response, string) {
	t.Helper()
	c := dial(t, s)
	_, err := fmt.Fprintf(c.c, "%s /x HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Patience: 5000\r\nContent-Length: %d\r\n\r\n%s",
		method, testHost, id, len(body), body)
	is.New(t).NoErr(err)
	return c.hear(method)
}

// Guards against requests to other regions that open a connection of their own.
func TestAGatewayCarriesRequestsToItsRegion(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(false))
	log := new(lines)
	w.log = log
	var mu sync.Mutex
	var got []http.Header
	w.farTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		got = append(got, r.Header.Clone())
		mu.Unlock()
		rw.Header().Set(verdict.Header, "not-run") // a target's own field of that name
		ok("hello")(rw, r)
	}))
	near, gate := w.twoRegions()
	res, body := send(t, near, http.MethodPost, "id-1", []byte("body"))
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "hello")
	is.Equal(gate.metrics.carried.Value(), int64(1))
	is.Equal(near.metrics.sends.Value(), int64(1))
	is.Equal(gate.metrics.sends.Value(), int64(0)) // its own VM counts it
	h := got[0]
	is.Equal(h.Get(carryHeader), "")
	is.Equal(h.Get(testFields.Target), "t1")
	is.Equal(h.Get(testFields.RequestID), "id-1")
	left, err := strconv.Atoi(h.Get(testFields.Patience))
	is.NoErr(err)
	is.True(left > 0 && left <= 5000)
}

// Guards against bodies and answers that only fit a message between entry VMs.
func TestAGatewayCarriesLargeBodies(t *testing.T) {
	is := is.New(t)
	const size = 3 << 20
	w := newWorld(t, plain(false))
	w.farTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil || len(b) != maxLargeBody {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		ok(strings.Repeat("a", size))(rw, r)
	}))
	near, _ := w.twoRegions()
	res, body := send(t, near, http.MethodPost, "id-1", bytes.Repeat([]byte("b"), maxLargeBody))
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(len(body), size)
}

// maxLargeBody is the largest body that the tests' entry VMs take.
const maxLargeBody = firstBodyBytes

// Guards against verdicts that change on the way through a gateway.
func TestVerdictsPassThroughAGateway(t *testing.T) {
	hangUp := http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
	full := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testFields.NotRun, "1")
		rw.Header().Set(testFields.RequestID, r.Header.Get(testFields.RequestID))
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	broken := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testFields.Stamp, "s")
		rw.Header().Set(testFields.RequestID, r.Header.Get(testFields.RequestID))
		rw.WriteHeader(http.StatusInternalServerError)
	})
	for name, tc := range map[string]struct {
		target http.Handler
		status int
		stamp  string
	}{
		"connection lost": {hangUp, http.StatusBadGateway, ""},
		"refused":         {full, http.StatusServiceUnavailable, ""},
		"its own failure": {broken, http.StatusInternalServerError, "s"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plain(false))
			w.farTarget("t1", tc.target)
			near, gate := w.twoRegions()
			res, _ := send(t, near, http.MethodPost, "id-1", nil)
			is.Equal(res.StatusCode, tc.status)
			is.Equal(res.Header.Get(testFields.Stamp), tc.stamp)
			is.True(gate.metrics.carried.Value() > 0)
			w.eventually("nothing is carried any more", func() bool { return gate.calls.len() == 0 })
		})
	}
}

// Guards against requests that fail because the gateway's process has ended: the
// target can be reached without it.
func TestAGatewayThatHasEndedIsPassedBy(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(false))
	w.farTarget("t1", ok("hello"))
	near, gate := w.twoRegions()
	gate.end() // its lease goes on
	res, body := send(t, near, http.MethodPost, "id-1", nil)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "hello")
	is.Equal(gate.metrics.carried.Value(), int64(0))
}

// Guards against a target that goes on working on a request whose caller has
// left, since only the gateway could tell it.
func TestCancelReachesTheTargetOfAGateway(t *testing.T) {
	w := newWorld(t, plain(true))
	working, cancelled := make(chan struct{}), make(chan struct{})
	w.farTarget("t1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(working)
		<-r.Context().Done()
		close(cancelled)
	}))
	near, gate := w.twoRegions()
	c := dial(t, near)
	c.say(http.MethodGet, "/", "id-1")
	<-working
	_ = c.c.Close()
	<-cancelled
	w.eventually("the call is forgotten", func() bool { return near.calls.len() == 0 && gate.calls.len() == 0 })
}

// Guards against requests that are cut off by the planned stop of their gateway.
func TestStopOfAGatewayUnderLoad(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(false))
	w.farTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		ok("done")(rw, r)
	}))
	near, gate := w.twoRegions()
	lost := make(chan int, pressing)
	stopped := make(chan struct{})
	for range pressing {
		go func() {
			n := 0
			for {
				select {
				case <-stopped:
					lost <- n
					return
				default:
				}
				if statusOfOne(near.callers.Addr()) == http.StatusBadGateway {
					n++
				}
			}
		}()
	}
	is.NoErr(gate.Stop())
	time.Sleep(200 * time.Millisecond)
	close(stopped)
	for range pressing {
		is.Equal(<-lost, 0)
	}
	is.True(gate.metrics.carried.Value() > 0)
}

// statusOfOne sends a request on a new connection and returns the status of its
// answer, 502 if there is none: it may have run then.
func statusOfOne(addr string) int {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return http.StatusBadGateway
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: "+testHost+"\r\nX-Id: a\r\nX-Patience: 5000\r\nContent-Length: 0\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return http.StatusBadGateway
	}
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against a gateway that carries what no entry VM of its deployment has
// placed, or sends anywhere but to a registered target.
func TestAGatewayCarriesOnlyWhatIsMeantForIt(t *testing.T) {
	w := newWorld(t, plain(true))
	w.farTarget("t1", ok("hello"))
	_, gate := w.twoRegions()
	for name, line := range map[string]string{
		"another deployment": "t1 1000 0000000000000000",
		"no target":          " 1000 " + gate.carryMark,
		"no time":            "t1 soon " + gate.carryMark,
		"unknown target":     "10.0.0.1:80 1000 " + gate.carryMark,
		"nothing":            "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodGet, "http://"+gate.carriers.Addr()+"/", nil)
			is.NoErr(err)
			req.Header.Set(carryHeader, line)
			res, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer res.Body.Close()
			failure := heads.Failure(res.Header)
			is.True(failure != nil)
			is.Equal(failure.Verdict, verdict.NotRun)
			is.Equal(failure.Reason, verdict.ReasonGateway)
		})
	}
}

// Guards against a gateway that is shunned for as long as connections last that
// have gone silent: new ones would work.
func TestSilentConnectionsToAGatewayAreReplaced(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	w.farTarget("t1", ok("hello"))
	near, gate := w.twoRegions()
	res, _ := ask(t, near, http.MethodGet, "/", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	addr := gate.set.Self.GatewayAddr
	is.True(near.gateways.Connections(addr) > 0)
	near.discardGateway(gate.set.Self.ID)
	w.eventually("free connections are closed", func() bool { return near.gateways.Connections(addr) == 0 })
	res, _ = ask(t, near, http.MethodGet, "/", "id-2")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(gate.metrics.carried.Value(), int64(2))
}
