package e2e

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// rawTarget accepts connections, reads one request from each and sends the
// bytes that answer returns.
func rawTarget(tb testing.TB, answer func(*http.Request) string) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerRaw(c, answer)
		}
	}()
	return ln.Addr().String()
}

func answerRaw(c net.Conn, answer func(*http.Request) string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	_, _ = io.WriteString(c, answer(r)) // the peer may have closed the connection
}

// rawCaller is a caller that sends arbitrary bytes.
type rawCaller struct {
	net.Conn
	r *bufio.Reader
}

func dialRaw(tb testing.TB, e *entryVM) *rawCaller {
	tb.Helper()
	c, err := net.Dial("tcp", e.CallAddr())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(callTimeout))
	return &rawCaller{c, bufio.NewReader(c)}
}

// send writes text.
func (c *rawCaller) send(tb testing.TB, text string) {
	tb.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		tb.Fatal(err)
	}
}

// receive reads the next answer to a request of the method.
func (c *rawCaller) receive(tb testing.TB, method string) answer {
	tb.Helper()
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		tb.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return answer{res.StatusCode, res.Header, b}
}

// closed reads until the end of the connection and reports whether the entry VM
// closed it before the deadline.
func (c *rawCaller) closed() bool {
	_, err := io.Copy(io.Discard, c.r)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
