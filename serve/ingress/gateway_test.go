package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
	"github.com/azurethread/azurethread/serve/outbound"
)

// startRemoteTarget registers a target of the other region that answers with h.
func (w *testEnv) startRemoteTarget(id string, h http.Handler) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	w.t.Cleanup(func() { _ = srv.Close() })
	w.registerTargetIn("far", id, ln.Addr().String())
}

// startTwoRegions starts an entry VM, and one in the other region that is its
// gateway.
func (w *testEnv) startTwoRegions() (near, gate *Server) {
	w.t.Helper()
	gate = w.waitListed(w.startIn("far", "gate", w.store.NewClient()))
	near = w.startListed("vm-1")
	w.eventually("the gateway is known", func() bool {
		_, known := near.member("gate")
		return known
	})
	return near, gate
}

// doRequestWithBody sends a request with a body and returns the answer.
func doRequestWithBody(t *testing.T, s *Server, method, id string, body []byte) (*http.Response, string) {
	t.Helper()
	c := dial(t, s)
	_, err := fmt.Fprintf(c.conn, "%s /x HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Patience: 5000\r\nContent-Length: %d\r\n\r\n%s",
		method, testHost, id, len(body), body)
	is.New(t).NoErr(err)
	return c.readResponse(method)
}

// Guards against requests to other regions that bypass the gateway and open a
// connection of their own.
func TestGatewayForwardsRequestsToItsRegion(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	log := new(logBuffer)
	w.log = log
	var mu sync.Mutex
	var got []http.Header
	w.startRemoteTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		got = append(got, r.Header.Clone())
		mu.Unlock()
		rw.Header().Set(verdict.Header, "not-run") // the target sets a field of this name itself
		respondOK("hello")(rw, r)
	}))
	near, gate := w.startTwoRegions()
	res, body := doRequestWithBody(t, near, http.MethodPost, "id-1", []byte("body"))
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "hello")
	is.Equal(gate.metrics.forwarded.Value(), int64(1))
	is.Equal(near.metrics.sends.Value(), int64(1))
	is.Equal(gate.metrics.sends.Value(), int64(0)) // counted by the VM that received the request
	h := got[0]
	is.Equal(h.Get(forwardHeader), "")
	is.Equal(h.Get(testFields.Target), "t1")
	is.Equal(h.Get(testFields.RequestID), "id-1")
	left, err := strconv.Atoi(h.Get(testFields.Timeout))
	is.NoErr(err)
	is.True(left > 0 && left <= 5000)
}

// Guards against a size limit for forwarded bodies and answers, such as that of
// a message between entry VMs.
func TestGatewayForwardsLargeBodies(t *testing.T) {
	is := is.New(t)
	const size = 3 << 20
	w := newTestEnv(t, catchAllRoute(false))
	w.startRemoteTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil || len(b) != maxTestBody {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		respondOK(strings.Repeat("a", size))(rw, r)
	}))
	near, _ := w.startTwoRegions()
	res, body := doRequestWithBody(t, near, http.MethodPost, "id-1", bytes.Repeat([]byte("b"), maxTestBody))
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(len(body), size)
}

// maxTestBody is the largest body that the entry VMs of the tests accept.
const maxTestBody = defaultBodyBytes

// Guards against verdicts that are changed by a gateway.
func TestGatewayPreservesVerdicts(t *testing.T) {
	aborting := http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
	full := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testFields.NotRun, "1")
		rw.Header().Set(testFields.RequestID, r.Header.Get(testFields.RequestID))
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	failing := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testFields.Stamp, "s")
		rw.Header().Set(testFields.RequestID, r.Header.Get(testFields.RequestID))
		rw.WriteHeader(http.StatusInternalServerError)
	})
	for name, tc := range map[string]struct {
		target http.Handler
		status int
		stamp  string
	}{
		"connection lost": {aborting, http.StatusBadGateway, ""},
		"refused":         {full, http.StatusServiceUnavailable, ""},
		"target failure":  {failing, http.StatusInternalServerError, "s"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, catchAllRoute(false))
			w.startRemoteTarget("t1", tc.target)
			near, gate := w.startTwoRegions()
			res, _ := doRequestWithBody(t, near, http.MethodPost, "id-1", nil)
			is.Equal(res.StatusCode, tc.status)
			is.Equal(res.Header.Get(testFields.Stamp), tc.stamp)
			is.True(gate.metrics.forwarded.Value() > 0)
			w.eventually("no forwarded request is in flight", func() bool { return gate.calls.len() == 0 })
		})
	}
}

// Guards against requests that fail because the gateway's process has ended,
// although the target can be reached without it.
func TestDeadGatewayIsBypassed(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	w.startRemoteTarget("t1", respondOK("hello"))
	near, gate := w.startTwoRegions()
	gate.shutdown() // its lease has not ended
	res, body := doRequestWithBody(t, near, http.MethodPost, "id-1", nil)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "hello")
	is.Equal(gate.metrics.forwarded.Value(), int64(0))
}

// Guards against a target that continues a request whose caller has left: only
// the gateway can cancel it there.
func TestCancelReachesTargetThroughGateway(t *testing.T) {
	w := newTestEnv(t, catchAllRoute(true))
	working, cancelled := make(chan struct{}), make(chan struct{})
	w.startRemoteTarget("t1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(working)
		<-r.Context().Done()
		close(cancelled)
	}))
	near, gate := w.startTwoRegions()
	c := dial(t, near)
	c.sendRequest(http.MethodGet, "/", "id-1")
	<-working
	_ = c.conn.Close()
	<-cancelled
	w.eventually("the call is removed", func() bool { return near.calls.len() == 0 && gate.calls.len() == 0 })
}

// Guards against requests that are interrupted by the planned stop of their
// gateway.
func TestGatewayStopUnderLoad(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	w.startRemoteTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		respondOK("done")(rw, r)
	}))
	near, gate := w.startTwoRegions()
	lost := make(chan int, loadCallers)
	stopped := make(chan struct{})
	for range loadCallers {
		go func() {
			n := 0
			for {
				select {
				case <-stopped:
					lost <- n
					return
				default:
				}
				if requestStatus(near.callerServer.Addr()) == http.StatusBadGateway {
					n++
				}
			}
		}()
	}
	is.NoErr(gate.Stop(0))
	time.Sleep(200 * time.Millisecond)
	close(stopped)
	for range loadCallers {
		is.Equal(<-lost, 0)
	}
	is.True(gate.metrics.forwarded.Value() > 0)
}

// requestStatus sends a request on a new connection and returns the status of
// the answer. Without an answer it returns 502, because the request may have
// run.
func requestStatus(addr string) int {
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

// Guards against a gateway that forwards requests which no entry VM of its
// deployment has placed, or that sends them to anything but a registered target.
func TestGatewayRejectsInvalidForwardHeaders(t *testing.T) {
	w := newTestEnv(t, catchAllRoute(true))
	w.startRemoteTarget("t1", respondOK("hello"))
	_, gate := w.startTwoRegions()
	for name, line := range map[string]string{
		"another deployment": "t1 1000 0000000000000000",
		"no target":          " 1000 " + gate.deploymentTag,
		"no time":            "t1 soon " + gate.deploymentTag,
		"unknown target":     "10.0.0.1:80 1000 " + gate.deploymentTag,
		"nothing":            "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodGet, "http://"+gate.gatewayServer.Addr()+"/", nil)
			is.NoErr(err)
			req.Header.Set(forwardHeader, line)
			res, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer res.Body.Close()
			failure := heads.ParseFailure(res.Header)
			is.True(failure != nil)
			is.Equal(failure.Verdict, verdict.NotRun)
			is.Equal(failure.Reason, verdict.ReasonGateway)
		})
	}
}

// Guards against a gateway that is avoided for as long as its silent connections
// stay open, although new ones would work.
func TestIdleGatewayConnectionsAreReplaced(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startRemoteTarget("t1", respondOK("hello"))
	near, gate := w.startTwoRegions()
	res, _ := doRequest(t, near, http.MethodGet, "/", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	addr := gate.settings.Self.GatewayAddr
	is.True(near.gatewayPool.Connections(addr) > 0)
	near.discardGatewayConns(gate.settings.Self.ID)
	w.eventually("idle connections are closed", func() bool { return near.gatewayPool.Connections(addr) == 0 })
	res, _ = doRequest(t, near, http.MethodGet, "/", "id-2")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(gate.metrics.forwarded.Value(), int64(2))
}

// Guards against a wait at the gateway that no line or metric shows: the request's own
// entry VM sees only how long the answer took.
func TestWaitAtTheGatewayIsLogged(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	log := new(logBuffer)
	w.log = log
	w.startRemoteTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testFields.Stamp, "s")
		rw.Header().Set(testFields.RequestID, r.Header.Get(testFields.RequestID))
		rw.Header().Set(gatewayWaitHeader, "5000") // the target sets a field of this name itself
		rw.WriteHeader(http.StatusInternalServerError)
	}))
	near, gate := w.startTwoRegions()
	for i, id := range []string{"id-1", "id-2"} {
		res, _ := doRequestWithBody(t, near, http.MethodPost, id, nil)
		is.Equal(res.StatusCode, http.StatusInternalServerError)
		is.Equal(res.Header.Get(gatewayWaitHeader), "")
		send := log.requestLine(w, id).Sends[0]
		is.Equal(gate.metrics.gatewayConnWaits.Value(), int64(1)) // the second request finds the connection idle
		if i == 0 {
			is.Equal(send.GatewayWaitedMS, gate.metrics.gatewayConnWaitMS.Value())
		} else {
			is.Equal(send.GatewayWaitedMS, int64(0))
		}
	}
}

// Guards against a submission whose outcome its caller cannot know: it crosses the
// close of an idle connection at a gateway that leaves, which has not passed it on.
func TestGatewayThatLeavesLosesNoSubmission(t *testing.T) {
	const requests, rounds = 100, 5
	w := newTestEnv(t, catchAllRoute(false))
	var mu sync.Mutex
	runs := make(map[string]int)
	w.startRemoteTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(testFields.RequestID)
		mu.Lock()
		runs[id]++
		mu.Unlock()
		if strings.HasPrefix(id, "first") {
			time.Sleep(50 * time.Millisecond) // so that each opens a connection to the gateway
		}
		respondOK("done")(rw, r)
	}))
	for round := range rounds {
		near, gate := w.startTwoRegions()
		forward := func(id string, done outbound.Done) {
			e := &ingress.Send{Target: "t1", TimeLeft: 5 * time.Second}
			near.gatewayPool.Do(gate.settings.Self.GatewayAddr, &outbound.Request{
				Method: http.MethodPost, URI: "/", Host: testHost,
				Header: http.Header{testFields.RequestID: {id}, forwardHeader: {near.forwardHeaderValue(e)}},
			}, done)
		}
		var ended sync.WaitGroup
		ended.Add(requests)
		for i := range requests {
			forward(fmt.Sprint("first-", round, "-", i), func(*outbound.Answer, *verdict.Error) { ended.Done() })
		}
		ended.Wait()
		is.New(t).Equal(gate.gatewayServer.Connections(), requests) // no later request has to open one
		ended.Add(requests)
		decided := time.Now().Add(5 * time.Millisecond)
		for i := range requests {
			id := fmt.Sprint(round, "-", i)
			time.AfterFunc(time.Until(decided)+rand.N(3*time.Millisecond)-1500*time.Microsecond, func() {
				forward(id, func(ans *outbound.Answer, err *verdict.Error) {
					defer ended.Done()
					if err == nil {
						err = heads.ParseFailure(ans.Header)
					}
					mu.Lock()
					defer mu.Unlock()
					if known := err == nil && runs[id] == 1 || err != nil && err.Verdict == verdict.NotRun && runs[id] == 0; !known {
						t.Errorf("request %s: %v, %d runs", id, err, runs[id])
					}
				})
			})
		}
		time.Sleep(time.Until(decided))
		gate.gatewayServer.AnnounceClose()
		gate.gatewayServer.StopAccepting(t.Context())
		ended.Wait()
		near.shutdown()
		gate.shutdown()
	}
}
