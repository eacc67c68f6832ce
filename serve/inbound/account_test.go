package inbound

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newAccountServer returns a server whose requests wait until hold is closed, if their path is
// /held.
func newAccountServer(t *testing.T, a *Account, hold <-chan struct{}) *Server {
	s, err := Listen("127.0.0.1:0", Options{
		Limits:       Limits{HeadBytes: testHead, BodyBytes: testBody, ReadTimeout: time.Minute, IdleTimeout: time.Minute},
		WriteTimeout: time.Minute, Account: a,
		Refusal: func(int) (http.Header, []byte) { return nil, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Serve(handlerFunc(func(x *Exchange) {
		if x.URI == "/held" {
			go func() {
				<-hold
				echo(x)
			}()
			return
		}
		echo(x)
	}))
	t.Cleanup(s.Close)
	return s
}

// largeHead returns a whole head whose fields are short and many.
func largeHead(path string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: a\r\n", path)
	for n := 0; b.Len() < testHead-100; n++ {
		fmt.Fprintf(&b, "f%x:\r\n", n)
	}
	return b.String() + "\r\n"
}

// ask sends a message on a connection of its own and returns the status of its answer.
func ask(t *testing.T, s *Server, message string) int {
	conn, r := dial(t, s)
	defer conn.Close()
	_, err := io.WriteString(conn, message)
	is.New(t).NoErr(err)
	res, _ := read(t, r, http.MethodGet)
	return res.StatusCode
}

// await waits until a condition holds.
func await(t *testing.T, holds func() bool) {
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not hold in time")
		}
	}
}

const smallRequest = "GET /small HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against heads of many short fields that take many times their bytes of memory, and
// against large heads that keep ordinary requests out.
func TestHeadsOfManyFieldsAreCharged(t *testing.T) {
	is := is.New(t)
	one := headCost(len(largeHead("/held")), strings.Count(largeHead("/held"), "\n"))
	var refused atomic.Int64
	a := NewAccount(one*4, 0, func(Refusal) { refused.Add(1) }) // three of four are for large heads
	hold := make(chan struct{})
	s := newAccountServer(t, a, hold)
	is.Equal(ask(t, s, largeHead("/alone")), http.StatusOK)
	for range 3 {
		conn, _ := dial(t, s)
		_, err := io.WriteString(conn, largeHead("/held"))
		is.NoErr(err)
	}
	await(t, func() bool { return a.bytes.Load() >= 3*one })
	is.Equal(ask(t, s, largeHead("/held")), http.StatusServiceUnavailable)
	is.Equal(refused.Load(), int64(1))
	is.Equal(ask(t, s, smallRequest), http.StatusOK)
	close(hold)
	await(t, func() bool { return a.bytes.Load() == 0 })
}

// Guards against incomplete heads that take all of the memory for heads: ordinary requests
// got none.
func TestIncompleteHeadsMakeRoom(t *testing.T) {
	const held = 3 << 10
	is := is.New(t)
	a := NewAccount(4*held, 0, nil)
	s := newAccountServer(t, a, nil)
	var conns []net.Conn
	for range 4 {
		conn, _ := dial(t, s)
		_, err := io.WriteString(conn, strings.Repeat("x", held))
		is.NoErr(err)
		conns = append(conns, conn)
	}
	await(t, func() bool { return a.bytes.Load() >= 4*held })
	is.Equal(ask(t, s, smallRequest), http.StatusOK)
	is.True(a.bytes.Load() <= 4*held)
	for _, c := range conns {
		_ = c.Close()
	}
	await(t, func() bool { return a.bytes.Load() == 0 })
}

// Guards against connections that take all descriptors: those without a request make room,
// and one that carries a request is never closed for others.
func TestConnectionsMakeRoom(t *testing.T) {
	const most = 8
	is := is.New(t)
	a := NewAccount(0, most, nil)
	hold := make(chan struct{})
	s := newAccountServer(t, a, hold)
	conn, r := dial(t, s)
	_, err := io.WriteString(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	for range 10 * most {
		_, _ = dial(t, s)
	}
	is.Equal(ask(t, s, smallRequest), http.StatusOK)
	is.True(s.Connections() <= most)
	close(hold)
	res, _ := read(t, r, http.MethodGet)
	is.Equal(res.StatusCode, http.StatusOK)
}

// Guards against bodies that are counted for good: those of pipelined requests that are not
// read any more took all of the memory for bodies, and every later one was refused.
func TestUnreadRequestsReleaseTheirBodies(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	s := newAccountServer(t, nil, hold)
	conn, _ := dial(t, s)
	request := "POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000)
	_, err := io.WriteString(conn, strings.Repeat(request, maxPipelined+2))
	is.NoErr(err)
	await(t, func() bool { return s.bodyBytes.Load() >= 1000 })
	time.Sleep(50 * time.Millisecond) // all is read
	_ = conn.Close()
	close(hold)
	await(t, func() bool { return s.bodyBytes.Load() == 0 })
}
