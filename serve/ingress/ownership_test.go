package ingress

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/serve/outbound"
)

// executions counts the requests that targets run, by id.
type executions struct {
	mu     sync.Mutex
	counts map[string]int
}

func (e *executions) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = make(map[string]int)
	}
	e.counts[id]++
}

func (e *executions) of(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[id]
}

// Rejections as targets send them, without the id of the request.
const (
	testRejection    = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Load: 0,0,4\r\nContent-Length: 0\r\n\r\n"
	testMisdirection = "HTTP/1.1 421 Misdirected Request\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n"
)

// namedRejection is a rejection with the id of the request.
func namedRejection(req *http.Request) string {
	return strings.Replace(testRejection, "\r\n", "\r\nX-Id: "+req.Header.Get(testFields.RequestID)+"\r\n", 1)
}

// reply decides how a raw target answers a request. previous is the answer that was sent
// before on the connection, "" if there is none. first is sent first, as a copy of an earlier
// answer; rejection is the answer to the request, "" if it runs.
type reply func(req *http.Request, previous string) (first, rejection string)

// serveReplies serves a connection of a raw target, and counts the requests that run.
func serveReplies(c net.Conn, r *bufio.Reader, ran *executions, decide reply) {
	previous := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		first, answer := decide(req, previous)
		_, _ = io.WriteString(c, first)
		if answer == "" {
			id := req.Header.Get(testFields.RequestID)
			ran.add(id)
			time.Sleep(5 * time.Millisecond)
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
		}
		_, _ = io.WriteString(c, answer)
		previous = answer
	}
}

// rejectOne returns a reply that rejects one request of each connection, the one with this
// number, and sends the rejection once more before the answer to the next one.
func rejectOne(number int, named bool) reply {
	requests := 0
	return func(req *http.Request, previous string) (first, rejection string) {
		requests++
		switch {
		case requests == number && named:
			return "", namedRejection(req)
		case requests == number:
			return "", testRejection
		case requests == number+1:
			return previous, ""
		}
		return "", ""
	}
}

// countRejections counts the rejections that a reply gives, by request.
func countRejections(rejected *executions, of reply) reply {
	return func(req *http.Request, previous string) (first, rejection string) {
		if first, rejection = of(req, previous); rejection != "" {
			rejected.add(req.Header.Get(testFields.RequestID))
		}
		return first, rejection
	}
}

// Guards against a request that is answered as not run and has run: a target's rejection
// comes a second time, where the answer to the connection's next request is due.
func TestRepeatedRejectionRefusesNoOtherRequest(t *testing.T) {
	is := is.New(t)
	rt := catchAllRoute(false)
	rt.Attempts = 1
	w := newTestEnv(t, rt)
	ran := new(executions)
	w.startRawTarget("t1", func(c net.Conn, r *bufio.Reader) {
		serveReplies(c, r, ran, rejectOne(2, false))
	})
	s := w.startListed("vm-1")
	for i := range 9 {
		id := fmt.Sprint("id-", i)
		res, _ := doRequest(t, s, http.MethodPost, "/x", id)
		is.Equal(ran.of(id) == 1, res.StatusCode == http.StatusOK)
	}
}

// Guards against a request that runs at two targets: a target's rejection comes a second
// time, where the answer to the connection's next request is due.
func TestRepeatedRejectionSendsNoOtherRequestAgain(t *testing.T) {
	for name, named := range map[string]bool{"named": true, "unnamed": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, catchAllRoute(false))
			ran, rejected := new(executions), new(executions)
			for _, id := range []string{"t1", "t2"} {
				w.startRawTarget(id, func(c net.Conn, r *bufio.Reader) {
					serveReplies(c, r, ran, countRejections(rejected, rejectOne(20, named)))
				})
			}
			s := w.startListed("vm-1")
			unproved := 0
			for i := range 50 { // the first ones earn a retry
				id := fmt.Sprint("id-", i)
				c := dial(t, s)
				_, err := fmt.Fprintf(c.conn, "POST /x HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Object: o\r\nContent-Length: 0\r\n\r\n", testHost, id)
				is.NoErr(err)
				res, _ := c.readResponse(http.MethodPost)
				if !named && res.StatusCode == http.StatusBadGateway {
					unproved++
					is.Equal(ran.of(id), 0)
					continue
				}
				if rejected.of(id) == 2 { // by both targets: there is no other
					is.Equal(res.StatusCode, http.StatusServiceUnavailable)
					is.Equal(ran.of(id), 0)
					continue
				}
				is.Equal(res.StatusCode, http.StatusOK)
				is.Equal(ran.of(id), 1)
			}
			is.True(unproved <= 1) // later rejections of the service are proofs
		})
	}
}

// Guards against a request that is answered as not run and has run: the target that got
// another one's address answers 421 twice, and the second one is taken for the answer to
// a request that was meant for it.
func TestRepeatedMisdirectionRefusesNoOtherRequest(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	ran := new(executions)
	w.startRawTarget("t1", func(c net.Conn, r *bufio.Reader) {
		serveReplies(c, r, ran, func(req *http.Request, previous string) (first, rejection string) {
			misdirection := fmt.Sprintf(testMisdirection, "t2")
			if req.Header.Get(testFields.Target) != "t2" {
				return "", misdirection
			}
			if previous == misdirection {
				return previous, ""
			}
			return "", ""
		})
	})
	registration, _ := w.store.Get("test/target/t1")
	s := w.startListed("vm-1")
	res, _ := doRequest(t, s, http.MethodPost, "/x", "misdirected")
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	w.store.Put("test/target/t2", strings.Replace(registration, `"t1"`, `"t2"`, 1)) // at the same address
	w.eventually("the new target is known", func() bool { return s.hasTargets(2) })
	for i := range 20 {
		id := fmt.Sprint("id-", i)
		res, _ := doRequest(t, s, http.MethodPost, "/x", id)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(ran.of(id), 1)
	}
}

// Guards against requests that are answered as not run and have run, or run twice, while
// targets reject at random and send rejections and other answers a second time.
func TestAnswersThatComeTwice(t *testing.T) {
	for name, named := range map[string]bool{"named": true, "unnamed": false} {
		t.Run(name, func(t *testing.T) { testAnswersThatComeTwice(t, named) })
	}
}

// testAnswersThatComeTwice does so with rejections that name their requests, or do not.
func testAnswersThatComeTwice(t *testing.T, named bool) {
	const (
		targets      = 3
		callers      = 12
		requestsEach = 150
		accepted     = 20 // requests of each target, before it rejects any
	)
	w := newTestEnv(t, catchAllRoute(false), readRoute())
	p := &promises{ran: new(executions)}
	var copies atomic.Int64
	for n := range targets {
		var requests atomic.Int64
		w.startRawTarget(fmt.Sprint("t", n), func(c net.Conn, r *bufio.Reader) {
			rng := rand.New(rand.NewPCG(uint64(n), uint64(c.RemoteAddr().(*net.TCPAddr).Port)))
			serveReplies(c, r, p.ran, func(req *http.Request, previous string) (first, rejection string) {
				if previous != "" && rng.IntN(2) == 0 {
					first = previous
					copies.Add(1)
				}
				switch {
				case requests.Add(1) <= accepted || rng.IntN(8) > 0:
				case named:
					rejection = namedRejection(req)
				default:
					rejection = testRejection
				}
				return first, rejection
			})
		})
	}
	unsolicitedCalls(t, w.startListed("vm-1"), p, callers, requestsEach, true)
	p.report(t)
	if copies.Load() == 0 {
		t.Error("no answer came a second time")
	}
}

// Guards against an answer that is credited to a request whose target did not give it, and
// against a request that waits in vain for an answer that it has got.
func TestOwnerOf(t *testing.T) {
	is := is.New(t)
	s := &Server{settings: &Settings{Fields: testFields}}
	for _, tc := range []struct {
		id     string
		status int
		header http.Header
		want   outbound.Ownership
	}{
		{"a", 200, http.Header{"X-Id": {"a"}}, outbound.Own},
		{"a", 503, http.Header{"X-Id": {"a"}}, outbound.Own},
		{"a", 200, http.Header{"X-Id": {"b"}}, outbound.Foreign},
		{"a", 503, http.Header{"X-Id": {"b"}}, outbound.Foreign},
		{"a", 200, http.Header{}, outbound.Foreign},
		{"a", 302, http.Header{}, outbound.Unnamed},
		{"a", 503, http.Header{}, outbound.Unnamed},
		{"a", 421, http.Header{"X-Instance": {"t2"}}, outbound.Unnamed},
		{"a", 421, http.Header{}, outbound.Unnamed},
		{"a", 421, http.Header{"X-Instance": {"t1"}}, outbound.Foreign},
		{"", 200, http.Header{}, outbound.Unnamed}, // the caller's request has no id
		{"", 200, http.Header{"X-Id": {"b"}}, outbound.Foreign},
	} {
		is.Equal(s.ownerOf(tc.id, "t1", outbound.Head{Status: tc.status, Header: tc.header}), tc.want) // tc
	}
}

// Guards against a connection to another region that is opened anew after each rejection:
// targets do not name the request, but its gateway does.
func TestGatewayNamesRejectedRequest(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	w.startRemoteTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(testFields.NotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}))
	near, gate := w.startTwoRegions()
	for i := range 5 {
		res, _ := doRequest(t, near, http.MethodPost, "/x", fmt.Sprint("id-", i))
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	}
	is.Equal(gate.metrics.forwarded.Value(), int64(5))
	is.Equal(near.metrics.sendConnsClosed.Get(string(outbound.ClosedNotReusable)), nil)
}

// Guards against an error of a target that never reaches its caller: the target names requests
// in successes only, and each of its errors proves nothing.
func TestUnnamedErrorReachesItsCaller(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	for _, id := range []string{"t1", "t2"} {
		w.startTarget(id, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/missing" {
				time.Sleep(5 * time.Millisecond)
				respondOK("body")(rw, r)
				return
			}
			rw.Header().Set(testFields.Stamp, "s")
			rw.WriteHeader(http.StatusNotFound)
		})
	}
	s := w.startListed("vm-1")
	var before sync.WaitGroup // requests that earn a retry, and use connections to both targets
	for n := range 6 {
		before.Go(func() {
			for i := range 10 {
				doRequest(t, s, http.MethodGet, "/x", fmt.Sprint(n, "-", i))
			}
		})
	}
	before.Wait()
	res, _ := doRequest(t, s, http.MethodGet, "/missing", "missing")
	is.Equal(res.StatusCode, http.StatusNotFound)
}
