// Package link adds the one-way latency of a wide-area link to connections of
// the stand-ins.
//
// Bytes are delayed in both directions and stay in order. A delayed byte doesn't
// block the bytes after it, so the throughput is that of the underlying
// connection. Only the dialling side is wrapped.
package link

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// queueLength is the largest number of delayed segments per direction.
	queueLength = 1024
	// maxSegmentSize is the largest segment read at once, in bytes.
	maxSegmentSize = 32 << 10
	// flushTimeout limits the sending of queued segments after Close.
	flushTimeout = time.Second
)

// Dialer dials connections with latency.
type Dialer struct {
	// Latency returns the one-way latency to host:port. Nil means none.
	Latency func(addr string) time.Duration
	// Timeout limits a dial. Zero means no limit.
	Timeout time.Duration
}

// DialContext connects to addr. Dialling takes one additional round trip.
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

// segment is a delayed piece of a stream, or the error that ends the stream.
type segment struct {
	deliverAt time.Time
	data      []byte
	err       error
}

// conn is a connection with latency. A read deadline applies to the underlying
// connection, so Read returns its error only after the latency; a net/http client
// sets no read deadline.
type conn struct {
	net.Conn
	latency            time.Duration
	outgoing, incoming chan segment
	closing            chan struct{}
	closeOnce          sync.Once

	readMu sync.Mutex
	unread segment // part of a received segment that Read has not returned yet
}

// Delay returns c with a one-way latency in each direction.
func Delay(c net.Conn, latency time.Duration) net.Conn {
	d := &conn{
		Conn:     c,
		latency:  latency,
		outgoing: make(chan segment, queueLength),
		incoming: make(chan segment, queueLength),
		closing:  make(chan struct{}),
	}
	go d.send()
	go d.receive()
	return d
}

// send writes the queued segments to the underlying connection. After Close it
// still writes the segments queued before, because bytes that are already on a
// real link arrive too.
func (c *conn) send() {
	defer c.Conn.Close()
	for {
		select {
		case s := <-c.outgoing:
			if !c.deliver(s) {
				return
			}
		case <-c.closing:
			c.flush()
			return
		}
	}
}

func (c *conn) flush() {
	for {
		select {
		case s := <-c.outgoing:
			if !c.deliver(s) {
				return
			}
		default:
			return
		}
	}
}

func (c *conn) deliver(s segment) bool {
	time.Sleep(time.Until(s.deliverAt))
	_, err := c.Conn.Write(s.data)
	return err == nil
}

// receive queues received data for Read.
func (c *conn) receive() {
	for {
		b := make([]byte, maxSegmentSize)
		n, err := c.Conn.Read(b)
		s := segment{deliverAt: time.Now().Add(c.latency), data: b[:n], err: err}
		select {
		case c.incoming <- s:
		case <-c.closing:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write implements net.Conn. An error of the underlying connection appears at a
// later Read, as on a real link.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.closing:
		return 0, net.ErrClosed
	default:
	}
	s := segment{deliverAt: time.Now().Add(c.latency), data: append([]byte(nil), b...)}
	select {
	case c.outgoing <- s:
		return len(b), nil
	case <-c.closing:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.unread.data) == 0 && c.unread.err == nil {
		select {
		case c.unread = <-c.incoming:
		case <-c.closing:
			return 0, net.ErrClosed
		}
		if err := c.waitUntil(c.unread.deliverAt); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.unread.data)
	c.unread.data = c.unread.data[n:]
	if n == 0 && c.unread.err != nil {
		return 0, c.unread.err
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
	c.closeOnce.Do(func() {
		// Without a deadline, a peer that doesn't read would block send
		// forever and keep the underlying connection open.
		c.Conn.SetWriteDeadline(time.Now().Add(c.latency + flushTimeout))
		close(c.closing)
	})
	return nil
}
