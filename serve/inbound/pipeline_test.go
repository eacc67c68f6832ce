package inbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// heldHandler stores all exchanges until the test answers them. Callers in
// these tests send GETs to /1, /2 and so on in one write; GETs may overlap.
type heldHandler struct {
	mu        sync.Mutex
	exchanges map[string]*Exchange
	arrived   chan string
}

func newHeldHandler() *heldHandler {
	return &heldHandler{exchanges: make(map[string]*Exchange), arrived: make(chan string, 100)}
}

func (h *heldHandler) Serve(x *Exchange) {
	h.mu.Lock()
	h.exchanges[x.URI] = x
	h.mu.Unlock()
	h.arrived <- x.URI
}

func (h *heldHandler) answer(uri string) {
	h.mu.Lock()
	x := h.exchanges[uri]
	h.mu.Unlock()
	echo(x)
}

func isGet(r *Request) bool { return r.Method == http.MethodGet }

func sendGets(t *testing.T, conn net.Conn, n int) {
	t.Helper()
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i+1)
	}
	if _, err := io.WriteString(conn, b.String()); err != nil {
		t.Fatal(err)
	}
}

// Guards against short requests that miss their deadline although their targets
// answer at once: a caller pipelines three requests of equal duration, and each
// is served only after the answer to the one before.
func TestPipelinedRequestsAreServedConcurrently(t *testing.T) {
	is := is.New(t)
	h := newHeldHandler()
	s := listenOverlapping(t, isGet, h.Serve)
	conn, r := dial(t, s)
	sendGets(t, conn, 3)
	for _, want := range []string{"/1", "/2", "/3"} {
		is.Equal(<-h.arrived, want)
	}
	for _, uri := range []string{"/3", "/1", "/2"} { // in any order
		h.answer(uri)
	}
	for _, want := range []string{"/1 ", "/2 ", "/3 "} {
		_, b := read(t, r, http.MethodGet)
		is.Equal(b, want) // in request order
	}
	sendGets(t, conn, 1)
	is.Equal(<-h.arrived, "/1") // the connection is still usable
	h.answer("/1")
	_, b := read(t, r, http.MethodGet)
	is.Equal(b, "/1 ")
}

// Guards against a POST that runs twice: it is pipelined behind a GET whose
// answer closes the connection, so its caller takes it for unread and sends it
// again. Only requests that may be repeated are served concurrently.
func TestOnlyRepeatableRequestsOverlap(t *testing.T) {
	is := is.New(t)
	h := newHeldHandler()
	s := listenOverlapping(t, isGet, h.Serve)
	conn, r := dial(t, s)
	_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	is.Equal(<-h.arrived, "/1")
	h.answer("/1")
	res, _ := read(t, r, http.MethodGet)
	is.True(res.Close)
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(len(h.arrived), 0) // the POST was not passed on
}

// Guards against a planned stop that closes a connection before all of its
// requests are answered: the first answer after the start of the stop announced
// the close. Only the last one may; requests that wait for others are served too.
func TestStopAnswersAllReceived(t *testing.T) {
	const received = maxOverlap + 2
	is := is.New(t)
	h := newHeldHandler()
	s := listenOverlapping(t, isGet, h.Serve)
	conn, r := dial(t, s)
	sendGets(t, conn, received)
	for range maxOverlap {
		<-h.arrived
	}
	for receivedRequests(s) < received {
		time.Sleep(time.Millisecond)
	}
	s.AnnounceClose()
	for i := maxOverlap; i >= 1; i-- {
		h.answer(fmt.Sprint("/", i))
	}
	for i := maxOverlap; i < received; i++ {
		is.Equal(<-h.arrived, fmt.Sprint("/", i+1))
	}
	for i := received; i > maxOverlap; i-- {
		h.answer(fmt.Sprint("/", i))
	}
	for i := range received {
		res, b := read(t, r, http.MethodGet)
		is.Equal(b, fmt.Sprintf("/%d ", i+1))
		is.Equal(res.Close, i == received-1)
	}
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(len(h.arrived), 0)
}

// Guards against targets that work for a caller which has closed its connection
// with several requests in flight: only the oldest request was notified.
func TestCallerGoneReportedToAllInFlight(t *testing.T) {
	is := is.New(t)
	gone := make(chan string, 3)
	s := listenOverlapping(t, isGet, func(x *Exchange) {
		uri := x.URI
		x.OnCallerGone(func() { gone <- uri })
	})
	conn, _ := dial(t, s)
	sendGets(t, conn, 3)
	time.Sleep(20 * time.Millisecond)
	is.NoErr(conn.Close())
	seen := map[string]bool{}
	for range 3 {
		seen[<-gone] = true
	}
	is.Equal(len(seen), 3)
}

// Guards against an answer that is lost or sent for another request, and
// against a stop that never ends: many callers pipeline requests, some answers
// are there at once and others come from several goroutines in any order.
// Deciding whose turn it is and writing the answer must happen as one step.
func TestRandomPipelines(t *testing.T) {
	is := is.New(t)
	s := listenOverlapping(t, isGet, func(x *Exchange) {
		if len(x.URI)%2 == 0 {
			echo(x)
			return
		}
		go echo(x)
	})
	var callers sync.WaitGroup
	for range 8 {
		conn, r := dial(t, s)
		callers.Go(func() { pipelineCaller(t, conn, r) })
	}
	callers.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(s.Stop(ctx))
}

func pipelineCaller(t *testing.T, conn net.Conn, r *bufio.Reader) {
	const ahead = 12
	for range 40 {
		var b strings.Builder
		for i := range ahead {
			method := "GET"
			if i%5 == 4 {
				method = "DELETE" // does not overlap
			}
			fmt.Fprintf(&b, "%s /%d HTTP/1.1\r\nHost: a\r\n\r\n", method, i)
		}
		if _, err := io.WriteString(conn, b.String()); err != nil {
			t.Error(err)
			return
		}
		for i := range ahead {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Error(err)
				return
			}
			body, err := io.ReadAll(res.Body)
			if want := fmt.Sprintf("/%d ", i); err != nil || string(body) != want {
				t.Errorf("answer %q, want %q: %v", body, want, err)
				return
			}
		}
	}
}

// Guards against an answer with foreign bytes in it: an interim answer to the request
// behind it was sent at once, also between its head and its body.
func TestInterimAnswerWaitsForItsTurn(t *testing.T) {
	is := is.New(t)
	h := newHeldHandler()
	s := listen(t, h.Serve)
	conn, r := dial(t, s)
	_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	is.NoErr(err)
	is.Equal(<-h.arrived, "/1")
	is.NoErr(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = r.ReadByte()
	is.True(err != nil) // nothing is sent yet
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
	h.answer("/1")
	_, b := read(t, r, http.MethodGet)
	is.Equal(b, "/1 ")
	interim := make([]byte, len(interimContinue))
	_, err = io.ReadFull(r, interim)
	is.NoErr(err)
	is.Equal(string(interim), string(interimContinue))
	_, err = io.WriteString(conn, "ab")
	is.NoErr(err)
	is.Equal(<-h.arrived, "/2")
	h.answer("/2")
	_, b = read(t, r, http.MethodPost)
	is.Equal(b, "/2 ab")
}
