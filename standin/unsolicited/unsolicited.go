// Package unsolicited lets the stand-in of a target send bytes that no request caused: answers
// a second time, and others of any form; at once, behind an answer, or where the answer to the
// next request on their connection is due.
package unsolicited

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// maxAnswer is the size of the largest answer after which something is sent, in bytes.
// net/http writes a larger one in several pieces.
const maxAnswer = 4 << 10

// maxPause is the longest time after an answer for Alone.
const maxPause = 20 * time.Millisecond

// Place is where bytes are sent that no request caused.
type Place uint8

// Places of bytes that no request caused.
const (
	Due      Place = iota // where the answer is due, before it
	TwoParts              // the same, in two segments
	Behind                // in one segment with the answer, behind it
	Alone                 // by themselves, up to 20 ms after the answer
	places
)

// String returns the name of the place.
func (p Place) String() string {
	return [...]string{"where an answer is due", "in two parts where an answer is due", "behind an answer", "alone"}[p]
}

// Places returns all places.
func Places() []Place { return []Place{Due, TwoParts, Behind, Alone} }

// DrawPlace returns a place at random.
func DrawPlace(rng *rand.Rand) Place { return Place(rng.IntN(int(places))) }

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
	alone  []byte // is sent some time after the next answer
	sent   func() // is called when behind or alone is sent
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
	switch sent := c.sent; {
	case len(c.behind) > 0 && n > len(b):
		sent()
	case len(c.alone) > 0:
		alone := c.alone
		time.AfterFunc(rand.N(maxPause), func() {
			if c.SendNow(alone) {
				sent()
			}
		})
	}
	c.behind, c.alone = nil, nil
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

// SendAt sends b at a place around the answer to the request that was received last. It
// calls sent when it has.
func (c *Conn) SendAt(at Place, b []byte, sent func()) {
	switch at {
	case Due:
		if c.SendAsNext(b) {
			sent()
		}
	case TwoParts:
		half := len(b) / 2
		c.SendAsNext(b[:half])
		time.Sleep(time.Millisecond)
		if c.SendAsNext(b[half:]) {
			sent()
		}
	case Behind:
		c.sendLater(b, nil, sent)
	case Alone:
		c.sendLater(nil, b, sent)
	}
}

func (c *Conn) sendLater(behind, alone []byte, sent func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behind, c.alone, c.sent = behind, alone, sent
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
