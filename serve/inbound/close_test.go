package inbound

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crossing is a server whose connections are closed while their callers send. Each
// caller's path is the number of its connection.
type crossing struct {
	t        *testing.T
	s        *Server
	mu       sync.Mutex
	passedOn map[string]bool                // to the handler, by path
	answered map[string]bool                // whole answers, by path
	ends     map[netip.AddrPort]CloseReason // of connections, by the caller's address
}

// newCrossing returns a server whose handler answers after a millisecond, on another
// goroutine, as a target's answer comes.
func newCrossing(t *testing.T, idleTimeout time.Duration) *crossing {
	c := &crossing{t: t, passedOn: make(map[string]bool), answered: make(map[string]bool), ends: make(map[netip.AddrPort]CloseReason)}
	s, err := Listen("127.0.0.1:0", Options{
		Limits:       Limits{HeadBytes: testHead, BodyBytes: testBody, ReadTimeout: time.Minute, IdleTimeout: idleTimeout},
		WriteTimeout: time.Minute,
		Refusal:      func(int) (http.Header, []byte) { return nil, nil },
		Closed: func(e ConnectionEnd) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.ends[e.Remote] = e.Reason
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Serve(handlerFunc(func(x *Exchange) {
		c.mu.Lock()
		c.passedOn[x.URI] = true
		c.mu.Unlock()
		time.AfterFunc(time.Millisecond, func() { echo(x) })
	}))
	t.Cleanup(s.Close)
	c.s = s
	return c
}

// connect opens n connections that have each been used once, and are idle.
func (c *crossing) connect(n int) []*crossingCaller {
	out := make([]*crossingCaller, n)
	for i := range out {
		conn, r := dial(c.t, c.s)
		out[i] = &crossingCaller{c: c, conn: conn, r: r}
		if !out[i].request("/first-" + strconv.Itoa(i)) {
			c.t.Fatal("the first request got no answer")
		}
	}
	return out
}

type crossingCaller struct {
	c    *crossing
	conn net.Conn
	r    *bufio.Reader
}

// request sends a request and reports whether its whole answer came.
func (k *crossingCaller) request(path string) bool {
	if _, err := fmt.Fprintf(k.conn, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path); err != nil {
		return false
	}
	res, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || string(body) != path+" " {
		return false
	}
	k.c.mu.Lock()
	k.c.answered[path] = true
	k.c.mu.Unlock()
	return true
}

// crossingSpread is the time around a decision to close within which callers send.
const crossingSpread = 3 * time.Millisecond

// sendAround calls decide, and has each caller send one request. The requests are sent
// within crossingSpread, around the time after from that decision.
func (c *crossing) sendAround(callers []*crossingCaller, after time.Duration, decide func()) {
	var sent sync.WaitGroup
	decided := time.Now().Add(crossingSpread)
	for i, k := range callers {
		begin := decided.Add(after + rand.N(crossingSpread) - crossingSpread/2)
		sent.Go(func() {
			time.Sleep(time.Until(begin))
			k.request("/" + strconv.Itoa(i))
			_ = k.conn.Close()
		})
	}
	time.Sleep(time.Until(decided))
	decide()
	sent.Wait()
}

// lost returns how many requests were passed on and got no whole answer.
func (c *crossing) lost() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for path := range c.passedOn {
		if !c.answered[path] {
			n++
		}
	}
	return n
}

const (
	crossingCallers = 200
	crossingRounds  = 10
)

// Guards against a request that is passed on to a target although its connection is
// being closed as idle in a planned stop: its caller gets no answer.
func TestStopClosesNoConnectionWithARequest(t *testing.T) {
	passedOn, lost := 0, 0
	for range crossingRounds {
		c := newCrossing(t, time.Minute)
		c.sendAround(c.connect(crossingCallers), 0, func() {
			c.s.AnnounceClose()
			c.s.StopAccepting(context.Background())
		})
		passedOn += len(c.passedOn) - crossingCallers
		lost += c.lost()
	}
	t.Logf("%d of %d requests were passed on", passedOn, crossingRounds*crossingCallers)
	is.New(t).Equal(lost, 0)
}

// Guards against a request that is passed on to a target although the idle timeout
// of its connection has ended: its caller gets no answer.
func TestIdleTimeoutClosesNoConnectionWithARequest(t *testing.T) {
	const idleTimeout = 60 * time.Millisecond
	passedOn, lost := 0, 0
	for range crossingRounds {
		c := newCrossing(t, idleTimeout)
		callers := c.connect(crossingCallers)
		var sent sync.WaitGroup
		for i, k := range callers {
			sent.Go(func() {
				if !k.request("/again-" + strconv.Itoa(i)) {
					return
				}
				time.Sleep(idleTimeout - time.Millisecond + rand.N(2*time.Millisecond))
				k.request("/" + strconv.Itoa(i))
			})
		}
		sent.Wait()
		passedOn += len(c.passedOn)
		lost += c.lost()
	}
	t.Logf("%d requests were passed on", passedOn)
	is.New(t).Equal(lost, 0)
}

// Guards against a request that is passed on and refused with 408, a promise that it has
// not run: its last byte comes as the time to receive it ends.
func TestReadTimeoutRefusesNoRequestPassedOn(t *testing.T) {
	const readTimeout = 60 * time.Millisecond
	var mu sync.Mutex
	passedOn, refused, wrong := 0, 0, 0
	for range crossingRounds {
		c := newCrossing(t, time.Minute)
		limits := *c.s.limits()
		limits.ReadTimeout = readTimeout
		c.s.SetLimits(limits)
		var sent sync.WaitGroup
		for i, k := range c.connect(crossingCallers) {
			sent.Go(func() {
				path := "/" + strconv.Itoa(i)
				_, err := fmt.Fprintf(k.conn, "GET %s HTTP/1.1\r\nHost: a\r\n", path)
				time.Sleep(readTimeout - time.Millisecond + rand.N(2*time.Millisecond))
				_, err2 := io.WriteString(k.conn, "\r\n")
				res, err3 := http.ReadResponse(k.r, nil)
				if err := errors.Join(err, err2, err3); err != nil {
					t.Error(err)
					return
				}
				c.mu.Lock()
				ran := c.passedOn[path]
				c.mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				switch {
				case ran && res.StatusCode == http.StatusOK:
					passedOn++
				case !ran && res.StatusCode == http.StatusRequestTimeout:
					refused++
				default:
					wrong++
				}
			})
		}
		sent.Wait()
	}
	t.Logf("%d requests were passed on, %d refused", passedOn, refused)
	is.New(t).Equal(wrong, 0)
}

// Guards against a request that is passed on after the server has found in a planned
// stop that nothing is in flight: the end of the process cuts it off.
func TestEndOfStopClosesNoConnectionWithARequest(t *testing.T) {
	passedOn, lost := 0, 0
	for round := range crossingRounds {
		c := newCrossing(t, time.Minute)
		callers := c.connect(crossingCallers)
		stopped := make(chan error, 1)
		after := []time.Duration{0, flushPollInterval + crossingSpread/2}[round%2]
		c.sendAround(callers, after, func() { go func() { stopped <- c.s.Stop(t.Context()) }() })
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		passedOn += len(c.passedOn) - crossingCallers
		lost += c.lost()
	}
	t.Logf("%d of %d requests were passed on", passedOn, crossingRounds*crossingCallers)
	is.New(t).Equal(lost, 0)
}

// Guards against requests that were received whole and get no answer because the
// answer to the one before them closes the connection in a planned stop.
func TestStopAnswersRequestsReceivedBefore(t *testing.T) {
	is := is.New(t)
	h := newHeldHandler()
	s := listen(t, h.Serve) // no two requests of a connection overlap
	conn, r := dial(t, s)
	sendGets(t, conn, 3)
	is.Equal(<-h.arrived, "/1")
	for received := 0; received < 3; time.Sleep(time.Millisecond) {
		received = receivedRequests(s)
	}
	s.AnnounceClose()
	for i, uri := range []string{"/1", "/2", "/3"} {
		if i > 0 {
			is.Equal(<-h.arrived, uri)
		}
		h.answer(uri)
		res, b := read(t, r, http.MethodGet)
		is.Equal(b, uri+" ")
		is.Equal(res.Close, i == 2)
	}
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
}

// receivedRequests returns the number of requests without an answer that were
// received whole.
func receivedRequests(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		n += len(c.pipeline.inFlight) + len(c.pipeline.waiting)
		c.mu.Unlock()
	}
	return n
}

// Guards against a connection that is closed in the middle of a later request by the
// timeout of an earlier answer, which its caller has taken slowly but in time.
func TestWriteTimeoutEndsWithItsAnswer(t *testing.T) {
	is := is.New(t)
	const writeTimeout = 300 * time.Millisecond
	large := bytes.Repeat([]byte("0123456789abcdef"), 16<<20/16)
	s, err := Listen("127.0.0.1:0", Options{
		Limits:       Limits{HeadBytes: testHead, BodyBytes: testBody, ReadTimeout: time.Minute, IdleTimeout: time.Minute},
		WriteTimeout: writeTimeout,
		Refusal:      func(int) (http.Header, []byte) { return nil, nil },
	})
	is.NoErr(err)
	s.Serve(handlerFunc(func(x *Exchange) {
		if x.URI == "/large" {
			x.Respond(http.StatusOK, nil, large)
			return
		}
		time.AfterFunc(2*writeTimeout, func() { echo(x) })
	}))
	t.Cleanup(s.Close)
	conn, r := dial(t, s)
	_, err = io.WriteString(conn, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	time.Sleep(writeTimeout / 4) // the kernel does not take all of it
	_, b := read(t, r, http.MethodGet)
	is.Equal(len(b), len(large))
	_, err = io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	_, b = read(t, r, http.MethodGet)
	is.Equal(b, "/slow ")
}

// Guards against a connection that is held without end by a caller that takes no answer.
func TestCallerThatTakesNoAnswerIsClosed(t *testing.T) {
	is := is.New(t)
	ends := make(chan ConnectionEnd, 1)
	s, err := Listen("127.0.0.1:0", Options{
		Limits:       Limits{HeadBytes: testHead, BodyBytes: testBody, ReadTimeout: time.Minute, IdleTimeout: time.Minute},
		WriteTimeout: 200 * time.Millisecond,
		Refusal:      func(int) (http.Header, []byte) { return nil, nil },
		Closed:       func(e ConnectionEnd) { ends <- e },
	})
	is.NoErr(err)
	large := make([]byte, 16<<20)
	s.Serve(handlerFunc(func(x *Exchange) { x.Respond(http.StatusOK, nil, large) }))
	t.Cleanup(s.Close)
	conn, _ := dial(t, s)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	is.Equal((<-ends).Reason, ClosedWriteTimeout)
}

// Guards against a truncated answer: its caller reads slowly and sends on, while the
// server closes. Bytes that the server has not read when it closes reset the
// connection, and the kernel drops what it still had to send.
func TestSlowReaderThatSendsOnGetsItsLastAnswer(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), 4<<20/16)
	s := listen(t, func(x *Exchange) { x.Respond(http.StatusOK, nil, body) })
	conn, r := dial(t, s)
	s.AnnounceClose()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	done := make(chan struct{})
	defer close(done)
	go func() { // requests behind the last answer, which the server does not serve
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				_, _ = io.WriteString(conn, "GET /more HTTP/1.1\r\nHost: a\r\n\r\n") // the server may have closed
			}
		}
	}()
	res, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	var got bytes.Buffer
	for err == nil { // takes 3 s, three times as long as the server lingers
		_, err = io.CopyN(&got, res.Body, int64(len(body)/30))
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(err, io.EOF)
	is.Equal(got.Len(), len(body))
}

// Guards against a refusal that its caller does not get: it comes behind a large
// answer that the caller reads slowly, and the connection is closed a second later.
func TestRefusalBehindALargeAnswer(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("0123456789abcdef", 16<<20/16)
	s := listen(t, func(x *Exchange) { x.Respond(http.StatusOK, nil, []byte(body)) })
	conn, r := dial(t, s)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(conn, "G@T / HTTP/1.1\r\n\r\n")
	is.NoErr(err)
	time.Sleep(2 * time.Second) // the caller is busy with something else
	_, b := read(t, r, http.MethodGet)
	is.Equal(len(b), len(body))
	res, _ := read(t, r, http.MethodGet)
	is.Equal(res.StatusCode, http.StatusBadRequest)
}

// Guards against a request that is lost because another connection has ended: that one
// is closed by its idle timeout while its caller closes it, its file descriptor is
// given to a new connection, and the poller takes the old one's end for the new one's.
func TestIdleTimeoutClosesNoOtherConnection(t *testing.T) {
	const idleTimeout = 20 * time.Millisecond
	c := newCrossing(t, idleTimeout)
	end := time.Now().Add(3 * time.Second)
	var load sync.WaitGroup
	for range 32 { // let connections time out
		load.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.Dial("tcp", c.s.Addr())
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(idleTimeout - time.Millisecond/2 + rand.N(time.Millisecond))
				_ = conn.Close()
			}
		})
	}
	var asked, timedOut, unanswered atomic.Int64
	for range 16 { // send a request on each new connection
		load.Go(func() {
			for time.Now().Before(end) {
				n := asked.Add(1)
				// An address of its own, by which the server's report is found.
				own := net.TCPAddr{IP: net.IPv4(127, byte(1+n>>16), byte(n>>8), byte(n))}
				conn, err := (&net.Dialer{LocalAddr: &own}).Dial("tcp", c.s.Addr())
				if err != nil {
					t.Error(err)
					return
				}
				k := &crossingCaller{c: c, conn: conn, r: bufio.NewReader(conn)}
				if !k.request("/" + strconv.FormatInt(n, 10)) {
					// On a busy machine the request may come after its own idle timeout.
					switch why := c.endOf(conn); why {
					case ClosedIdleTimeout:
						timedOut.Add(1)
					default:
						t.Logf("request %d: closed by %s", n, why)
						unanswered.Add(1)
					}
				}
				_ = conn.Close()
			}
		})
	}
	load.Wait()
	t.Logf("%d requests, %d of them later than the idle timeout", asked.Load(), timedOut.Load())
	is.New(t).Equal(unanswered.Load(), int64(0))
	is.New(t).Equal(c.lost(), 0)
}

// endOf waits for the end of the server's side of a caller's connection and returns its
// reason.
func (c *crossing) endOf(conn net.Conn) CloseReason {
	at := netip.MustParseAddrPort(conn.LocalAddr().String())
	for {
		c.mu.Lock()
		why, ended := c.ends[at]
		c.mu.Unlock()
		if ended {
			return why
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a connection that is lost, another one's requests that get no answer, and
// a stop that never ends: a connection was closed by its idle timeout before it was
// registered, as its poller was busy, and was then registered with a descriptor that
// belonged to another one. It is registered late because a timer has closed another one.
func TestIdleTimeoutBeginsWithRegistration(t *testing.T) {
	is := is.New(t)
	const idleTimeout = 60 * time.Millisecond
	entered, release := make(chan struct{}), make(chan struct{})
	s, err := Listen("127.0.0.1:0", Options{
		Limits:       Limits{HeadBytes: testHead, BodyBytes: testBody, ReadTimeout: time.Minute, IdleTimeout: idleTimeout},
		WriteTimeout: time.Minute, Pollers: 1,
		Refusal: func(int) (http.Header, []byte) { return nil, nil },
	})
	is.NoErr(err)
	s.Serve(handlerFunc(func(x *Exchange) {
		if x.URI == "/hold" {
			entered <- struct{}{}
			<-release // holds the poller
		}
		echo(x)
	}))
	t.Cleanup(s.Close)
	holding, _ := dial(t, s)
	refused, in := dial(t, s)
	_, err = io.WriteString(refused, "malformed\r\n\r\n")
	is.NoErr(err)
	res, _ := read(t, in, http.MethodGet) // its connection is closed lingerTimeout later
	is.Equal(res.StatusCode, http.StatusBadRequest)
	for s.Connections() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err = io.WriteString(holding, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	<-entered
	_, err = in.ReadByte() // closed: the next connection waits for the poller
	is.Equal(err, io.EOF)
	conn, r := dial(t, s)
	time.Sleep(3 * idleTimeout)
	close(release)
	_, err = io.WriteString(conn, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	_, b := read(t, r, http.MethodGet)
	is.Equal(b, "/late ")
}

// Guards against a stop that reports requests in flight although there are none, because
// its time was used up by another server.
func TestStopOfAnIdleServerAfterItsTime(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		s, err := Listen("127.0.0.1:0", Options{Limits: Limits{HeadBytes: 1 << 10}})
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Stop(ended); err != nil {
			t.Fatal(err)
		}
	}
}
