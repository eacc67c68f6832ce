package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/azurethread/azurethread/standin/unsolicited"
)

// listener tracks the connections of one target and limits their number.
type listener struct {
	net.Listener
	limit int // 0 means no limit

	mu      sync.Mutex
	conns   map[*conn]struct{}
	peak    int
	refused uint64 // connections closed because of the limit
}

func newListener(l net.Listener, limit int) *listener {
	return &listener{Listener: unsolicited.Listener{Listener: l}, limit: limit, conns: map[*conn]struct{}{}}
}

// withConn is an http.Server's ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return unsolicited.WithConn(ctx, c.(*conn).Conn.(*unsolicited.Conn))
}

// Accept implements net.Listener. It closes connections beyond the limit
// immediately.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.track(c); tracked != nil {
			return tracked, nil
		}
		c.Close()
	}
}

func (l *listener) track(c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.conns) >= l.limit {
		l.refused++
		return nil
	}
	t := &conn{Conn: c, listener: l}
	l.conns[t] = struct{}{}
	l.peak = max(l.peak, len(l.conns))
	return t
}

func (l *listener) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// silence makes n connections silent, or all if n is negative, and returns the
// number of connections it made silent.
func (l *listener) silence(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := 0
	for c := range l.conns {
		if done == n {
			break
		}
		if !c.silent.Swap(true) {
			done++
		}
	}
	return done
}

// reset closes all connections with a TCP reset.
func (l *listener) reset() {
	l.mu.Lock()
	var conns []*conn
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		if t, ok := c.Conn.(*unsolicited.Conn).Conn.(*net.TCPConn); ok {
			t.SetLinger(0) // best effort: without it the peer sees an orderly close
		}
		c.Close()
	}
}

// conn is a connection that can be made silent: data in both directions is
// dropped, and the peer doesn't see a close either.
type conn struct {
	net.Conn
	listener  *listener
	silent    atomic.Bool
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.listener.untrack(c) })
	if c.silent.Load() {
		return c.closeAfterPeer()
	}
	return c.Conn.Close()
}

// closeAfterPeer keeps the underlying connection open until the peer closes it.
// The peer of a lost connection would not see a close either.
func (c *conn) closeAfterPeer() error {
	go func() {
		buf := make([]byte, 1024)
		for {
			if _, err := c.Conn.Read(buf); err != nil {
				c.Conn.Close()
				return
			}
		}
	}()
	return nil
}
