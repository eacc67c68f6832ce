package inbound

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newAccountServer returns a server whose requests wait until hold is closed, if their path is
// /held.
func newAccountServer(t *testing.T, hold <-chan struct{}) *Server {
	s, err := Listen("127.0.0.1:0", Options{
		Limits:       Limits{HeadBytes: testHead, BodyBytes: testBody, ReadTimeout: time.Minute, IdleTimeout: time.Minute},
		WriteTimeout: time.Minute,
		Refusal:      func(int) (http.Header, []byte) { return nil, nil },
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

// await waits until a condition holds.
func await(t *testing.T, holds func() bool) {
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not hold in time")
		}
	}
}

// Guards against bodies that are counted for good: those of pipelined requests that are not
// read any more took all of the memory for bodies, and every later one was refused.
func TestUnreadRequestsReleaseTheirBodies(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	s := newAccountServer(t, hold)
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
