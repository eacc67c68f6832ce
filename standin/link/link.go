// Package link gives connections of the stand-ins the one-way latency that a
// wide-area link would have.
//
// Bytes are delayed in both directions, in order and without holding up the
// bytes behind them, so throughput is that of the connection below. Only the
// dialling end is wrapped; the other end needs nothing.
package link

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// queueLength bounds the pieces on their way in one direction.
	queueLength = 1024
	// pieceSize is the largest piece read at once, in bytes.
	pieceSize = 32 << 10
	// flushTimeout bounds the sending of what was queued at Close.
	flushTimeout = time.Second
)

// Dialer dials connections with latency.
type Dialer struct {
	// Latency returns the one-way latency to host:port. Nil means none.
	Latency func(addr string) time.Duration
	// Timeout bounds a dial. Zero means none.
	Timeout time.Duration
}

// DialContext connects to addr; the connection takes one round trip more.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	plain := net.Dialer{Timeout: d.Timeout}
	c, err := plain.DialContext(ctx, network, addr)
	if err != nil || d.Latency == nil {
		return c, err
	}
	latency := d.Latency(addr)
	if latency <= 0 {
		return c, nil
	}
	t := time.NewTimer(2 * latency)
	defer t.Stop()
	select {
	case <-t.C:
		return Delay(c, latency), nil
	case <-ctx.Done():
		c.Close()
		return nil, ctx.Err()
	}
}

// piece is some bytes, or the end of a stream, on the way.
type piece struct {
	due  time.Time
	data []byte
	err  error
}

// conn delays one connection. Its read deadlines take effect at the
// connection below, that is, earlier by the latency than at the reader; a
// net/http client sets none.
type conn struct {
	net.Conn
	latency time.Duration
	out, in chan piece
	closing chan struct{}
	once    sync.Once

	reading sync.Mutex
	rest    piece // what Read has not handed on yet
}

// Delay wraps c with a one-way latency in each direction.
func Delay(c net.Conn, latency time.Duration) net.Conn {
	d := &conn{
		Conn:    c,
		latency: latency,
		out:     make(chan piece, queueLength),
		in:      make(chan piece, queueLength),
		closing: make(chan struct{}),
	}
	go d.send()
	go d.receive()
	return d
}

// send writes what Write has queued. After Close it writes what had been
// queued before, as the bytes on a real link still arrive.
func (c *conn) send() {
	defer c.Conn.Close()
	for {
		select {
		case p := <-c.out:
			if !c.forward(p) {
				return
			}
		case <-c.closing:
			c.drain()
			return
		}
	}
}

func (c *conn) drain() {
	for {
		select {
		case p := <-c.out:
			if !c.forward(p) {
				return
			}
		default:
			return
		}
	}
}

func (c *conn) forward(p piece) bool {
	time.Sleep(time.Until(p.due))
	_, err := c.Conn.Write(p.data)
	return err == nil
}

// receive queues what arrives for Read.
func (c *conn) receive() {
	for {
		b := make([]byte, pieceSize)
		n, err := c.Conn.Read(b)
		p := piece{due: time.Now().Add(c.latency), data: b[:n], err: err}
		select {
		case c.in <- p:
		case <-c.closing:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write implements net.Conn. An error of the connection below shows at a
// later Read, as it would on a real link.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.closing:
		return 0, net.ErrClosed
	default:
	}
	p := piece{due: time.Now().Add(c.latency), data: append([]byte(nil), b...)}
	select {
	case c.out <- p:
		return len(b), nil
	case <-c.closing:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if len(c.rest.data) == 0 && c.rest.err == nil {
		select {
		case c.rest = <-c.in:
		case <-c.closing:
			return 0, net.ErrClosed
		}
		if err := c.waitUntil(c.rest.due); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.rest.data)
	c.rest.data = c.rest.data[n:]
	if n == 0 && c.rest.err != nil {
		return 0, c.rest.err
	}
	return n, nil
}

func (c *conn) waitUntil(due time.Time) error {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-c.closing:
		return net.ErrClosed
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		// A peer that reads nothing would hold send, and with it the
		// connection below, for good.
		c.Conn.SetWriteDeadline(time.Now().Add(c.latency + flushTimeout))
		close(c.closing)
	})
	return nil
}
