package unsolicited

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// serve starts a server whose requests are handled with their connection, and returns a
// connection to it.
func serve(t *testing.T, handle func(c *Conn, w http.ResponseWriter, r *http.Request)) net.Conn {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(Received(r), w, r) }),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return WithConn(ctx, c.(*Conn)) },
	}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(Listener{ln}) }() // ends with Close
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against tests of second answers that send none.
func TestRepeat(t *testing.T) {
	is := is.New(t)
	repeated := make(chan bool, 2)
	c := serve(t, func(c *Conn, w http.ResponseWriter, r *http.Request) {
		repeated <- c.RepeatAsNext()
		_, _ = io.WriteString(w, r.URL.Path)
	})
	in := bufio.NewReader(c)
	read := func() string {
		res, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		b, err := io.ReadAll(res.Body)
		is.NoErr(err)
		return string(b)
	}
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(read(), "/1")
	is.Equal(<-repeated, false) // there was no answer before
	_, _ = io.WriteString(c, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(read(), "/1")
	is.Equal(read(), "/2")
	is.Equal(<-repeated, true)
}

// Guards against tests of unsolicited bytes that send none, or at another place.
func TestSendAt(t *testing.T) {
	const request, answer, extra = "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "answer", "HTTP/1.1 503 S\r\n\r\n"
	for _, at := range Places() {
		t.Run(at.String(), func(t *testing.T) {
			is := is.New(t)
			sent := make(chan bool, 2)
			requests := 0
			c := serve(t, func(c *Conn, w http.ResponseWriter, _ *http.Request) {
				if requests++; requests == 2 {
					c.SendAt(at, []byte(extra), func() { sent <- true })
				}
				_, _ = io.WriteString(w, answer)
			})
			in := make([]byte, 4<<10)
			_, _ = io.WriteString(c, request)
			n, err := c.Read(in)
			is.NoErr(err)
			is.True(strings.HasSuffix(string(in[:n]), answer))
			_, _ = io.WriteString(c, request)
			is.True(<-sent)
			received := ""
			for len(received) < n+len(extra) {
				m, err := c.Read(in)
				is.NoErr(err)
				received += string(in[:m])
			}
			before := at == Due || at == TwoParts
			is.Equal(strings.HasPrefix(received, extra), before)
			is.Equal(strings.HasSuffix(received, answer+extra), !before)
		})
	}
}
