package unsolicited

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against tests of second answers that send none.
func TestRepeat(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	repeated := make(chan bool, 2)
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			repeated <- Received(r).RepeatAsNext()
			_, _ = io.WriteString(w, r.URL.Path)
		}),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return WithConn(ctx, c.(*Conn)) },
	}
	defer srv.Close()
	go func() { _ = srv.Serve(Listener{ln}) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
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
