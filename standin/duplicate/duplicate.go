// Package duplicate lets the stand-in of a target send answers a second time: at once, or as
// late as where the answer to the next request on their connection is due.
package duplicate

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// maxAnswer is the size of the largest answer that can be sent again, in bytes. net/http
// writes a larger one in several pieces.
const maxAnswer = 4 << 10

// Listener wraps the connections that it accepts in Conns.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

type contextKey struct{}

// WithConn returns a context of a connection's requests, for http.Server.ConnContext.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Received returns the connection on which r was received, which is WithConn's, and records
// that an answer to r is due.
func Received(r *http.Request) *Conn {
	c := r.Context().Value(contextKey{}).(*Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = true
	return c
}

// Conn is a server's connection. Its methods are safe for concurrent use.
type Conn struct {
	net.Conn
	mu   sync.Mutex
	last []byte // the latest answer; nil: none, or it is too large
	due  bool   // an answer to a received request is due
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.due = nil, false
	if bytes.HasPrefix(b, []byte("HTTP/1.1 ")) && len(b) < maxAnswer {
		c.last = bytes.Clone(b)
	}
	return c.Conn.Write(b)
}

// RepeatNow sends the latest answer again if no answer is due. It reports whether it has.
func (c *Conn) RepeatNow() bool { return c.repeat(false) }

// RepeatAsNext sends the latest answer again where another one is due. It reports whether it
// has.
func (c *Conn) RepeatAsNext() bool { return c.repeat(true) }

func (c *Conn) repeat(due bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil || c.due != due {
		return false
	}
	_, err := c.Conn.Write(c.last)
	return err == nil
}
