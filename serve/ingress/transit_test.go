package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
	"github.com/azurethread/azurethread/serve/outbound"
)

// forwardWithStamp sends a request through a gateway as near does, with its clock moved.
func forwardWithStamp(near, gate *Server, id string, move time.Duration) *verdict.Error {
	name, text, _ := strings.Cut(near.transitClock.stamp(), " ")
	ms, _ := strconv.ParseInt(text, 10, 64)
	stamp := name + " " + strconv.FormatInt(ms+move.Milliseconds(), 10)
	e := &ingress.Send{Target: "t1", TimeLeft: 2 * time.Second}
	result := make(chan *verdict.Error, 1)
	near.gatewayPool.Do(gate.settings.Self.GatewayAddr, &outbound.Request{
		Method: http.MethodPost, URI: "/", Host: testHost,
		Header: http.Header{testFields.RequestID: {id}, forwardHeader: {near.forwardHeaderValue(e)}, forwardSentHeader: {stamp}},
	}, func(ans *outbound.Answer, err *verdict.Error) {
		if err == nil {
			near.checkHeldUp(ans.Header, 0)
			err = heads.ParseFailure(ans.Header)
		}
		result <- err
	})
	return <-result
}

// Guards against a gateway that sends a request which was held up on its way until its entry
// VM must have given it up.
func TestGatewayReturnsHeldUpRequests(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	log := new(logBuffer)
	w.log = log
	ran := new(executions)
	w.startRemoteTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get(forwardSentHeader), "")
		ran.add(r.Header.Get(testFields.RequestID))
		respondOK("done")(rw, r)
	}))
	near, gate := w.startTwoRegions()
	is.Equal(forwardWithStamp(near, gate, "first", 0), nil)
	err := forwardWithStamp(near, gate, "held up", -3*time.Second)
	is.Equal(err.Verdict, verdict.NotRun)
	is.Equal(err.Reason, verdict.ReasonGateway)
	is.Equal(forwardWithStamp(near, gate, "slow", -time.Second), nil)
	is.Equal(ran.of("held up"), 0)
	is.Equal(ran.of("slow"), 1)
	is.Equal(gate.metrics.forwardedLate.Value(), int64(1))
	is.True(strings.Contains(log.String(), `"held_up_ms":`))
}

// Guards against a gateway that returns all requests of an entry VM as held up: its clock has
// lost time.
func TestClockThatHasLostTimeIsReplaced(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	w.startRemoteTarget("t1", http.HandlerFunc(respondOK("done")))
	near, gate := w.startTwoRegions()
	is.Equal(forwardWithStamp(near, gate, "ahead", time.Hour), nil) // then its clock falls back
	for _, id := range []string{"id-1", "id-2"} {
		res, _ := doRequest(t, near, http.MethodPost, "/x", id)
		is.Equal(res.StatusCode, http.StatusOK) // the first one is sent directly
	}
	time.Sleep(1100 * time.Millisecond) // the gateway is used again
	before := gate.metrics.forwarded.Value()
	res, _ := doRequest(t, near, http.MethodPost, "/x", "id-3")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(gate.metrics.forwarded.Value(), before+1)
	is.Equal(gate.metrics.forwardedLate.Value(), int64(1))
	is.Equal(near.transitClock.epoch.Load(), uint64(1))
}

// holdUp accepts connections at the returned address, and passes on what comes on them to addr
// once release is closed, also what was sent before a close.
func holdUp(t *testing.T, addr string, release <-chan struct{}) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				sent := make([]byte, maxForwardedHeadBytes)
				n, _ := from.Read(sent)
				<-release
				to, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				_, _ = to.Write(sent[:n])
				_, _ = io.Copy(io.Discard, to)
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a request that is answered as not run and runs later: it is held up on its
// way to a gateway which does not know its sender's clock yet, and runs after its entry VM has
// given it up.
func TestRequestThatRunsAfterItsEndGetsNoPromise(t *testing.T) {
	for name, stops := range map[string]bool{"deadline": false, "planned stop": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, catchAllRoute(false))
			ran := new(executions)
			w.startRemoteTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				ran.add(r.Header.Get(testFields.RequestID))
				respondOK("done")(rw, r)
			}))
			near, gate := w.startTwoRegions()
			release := make(chan struct{})
			held := holdUp(t, gate.settings.Self.GatewayAddr, release)
			near.gatewayPool.Close()
			pool, err := outbound.NewPool(outbound.Options{
				DialTimeout: time.Second, IdleTimeout: time.Minute, MaxAnswerBytes: maxAnswerBytes, Now: near.now,
				Dial: func(network, _ string, timeout time.Duration) (net.Conn, error) {
					return net.DialTimeout(network, held, timeout)
				},
			})
			is.NoErr(err)
			near.gatewayPool = pool
			c := dial(t, near)
			_, err = fmt.Fprintf(c.conn, "POST /x HTTP/1.1\r\nHost: %s\r\nX-Id: held-up\r\nX-Patience: 500\r\nContent-Length: 0\r\n\r\n", testHost)
			is.NoErr(err)
			w.eventually("the request is on its way", func() bool { return pool.Connections(gate.settings.Self.GatewayAddr) == 1 })
			if stops {
				go near.Stop(0)
			}
			res, _ := c.readResponse(http.MethodPost)
			is.True(!statusMeansNotRun(res.StatusCode))
			is.Equal(ran.of("held-up"), 0)
			close(release)
			w.eventually("the request has run", func() bool { return ran.of("held-up") == 1 })
		})
	}
}
