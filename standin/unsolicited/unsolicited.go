// Package unsolicited lets the stand-in of a target send bytes that no request caused: answers
// a second time, and others of any form; at once, behind an answer, or where the answer to the
// next request on their connection is due.
package unsolicited

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
)

// maxAnswer is the size of the largest answer after which something is sent, in bytes.
// net/http writes a larger one in several pieces.
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

// Conn is a server's connection. Its methods are safe for concurrent use. Those that send
// something report whether they have: nothing is sent before the first answer, nor after one
// that is too large.
type Conn struct {
	net.Conn
	mu     sync.Mutex
	last   []byte // the latest answer; nil: none, or it is too large
	due    bool   // an answer to a received request is due
	behind []byte // is sent together with the next answer, behind it
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.due = nil, false
	if !bytes.HasPrefix(b, []byte("HTTP/1.1 ")) || len(b) >= maxAnswer {
		return c.Conn.Write(b)
	}
	c.last = bytes.Clone(b)
	n, err := c.Conn.Write(slices.Concat(b, c.behind))
	c.behind = nil
	return min(n, len(b)), err
}

// RepeatNow sends the latest answer again if no answer is due.
func (c *Conn) RepeatNow() bool { return c.send(nil, false) }

// RepeatAsNext sends the latest answer again where another one is due.
func (c *Conn) RepeatAsNext() bool { return c.send(nil, true) }

// SendNow sends b if no answer is due, and b is not empty.
func (c *Conn) SendNow(b []byte) bool { return len(b) > 0 && c.send(b, false) }

// SendAsNext sends b where an answer is due, if b is not empty.
func (c *Conn) SendAsNext(b []byte) bool { return len(b) > 0 && c.send(b, true) }

// SendBehind sends b behind the next answer, in the same write.
func (c *Conn) SendBehind(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behind = b
}

// send sends b, or the latest answer if b is nil.
func (c *Conn) send(b []byte, due bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil || c.due != due {
		return false
	}
	if b == nil {
		b = c.last
	}
	_, err := c.Conn.Write(b)
	return err == nil
}
