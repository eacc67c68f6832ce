package link

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Cut is a way in which a link is lost.
type Cut int

const (
	// CutHang loses all packets: new connections time out, and open ones carry nothing
	// until the link is restored.
	CutHang Cut = iota
	// CutReset resets open connections and refuses new ones.
	CutReset
	// CutRefuse refuses new connections; open ones live on.
	CutRefuse
)

// String returns the name of the cut.
func (c Cut) String() string { return [...]string{"hang", "reset", "refuse"}[c] }

const (
	// relayBacklog is how many connections may wait to be accepted while the link works.
	relayBacklog = 512
	// maxFillers limits the connections that fill the backlog of a link that hangs.
	maxFillers = 8
	// fillTimeout is after which time a connection counts as not accepted.
	fillTimeout = 100 * time.Millisecond
)

// Relay is a link: it forwards TCP connections to a destination, and can be cut.
type Relay struct {
	addr, destination string

	mu       sync.Mutex
	restored *sync.Cond // while open connections carry nothing
	listener *net.TCPListener
	accepted sync.WaitGroup // the loop that accepts
	conns    map[net.Conn]bool
	fillers  []net.Conn
	hangs    bool
	closed   bool
}

// NewRelay listens on host:port addr, of which the port may be 0, and forwards to
// destination.
func NewRelay(addr, destination string) (*Relay, error) {
	r := &Relay{addr: addr, destination: destination, conns: make(map[net.Conn]bool)}
	r.restored = sync.NewCond(&r.mu)
	if err := r.listen(); err != nil {
		return nil, err
	}
	r.addr = r.listener.Addr().String()
	return r, nil
}

// Addr returns the host:port on which the link listens.
func (r *Relay) Addr() string { return r.addr }

// listen starts to accept connections.
func (r *Relay) listen() error {
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return fmt.Errorf("link: listen on %s: %w", r.addr, err)
	}
	r.listener = ln.(*net.TCPListener)
	r.accept()
	return nil
}

func (r *Relay) accept() {
	ln := r.listener
	r.accepted.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed, or interrupted by a cut
			}
			go r.forward(c)
		}
	})
}

// Cut cuts the link until Restore. A link is cut once at a time.
func (r *Relay) Cut(how Cut) error {
	switch how {
	case CutHang:
		return r.hang()
	case CutReset:
		defer r.resetAll()
	}
	return r.listener.Close()
}

// hang stops accepting, and fills the backlog so that the kernel drops what opens further
// connections.
func (r *Relay) hang() error {
	r.mu.Lock()
	r.hangs = true
	r.mu.Unlock()
	if err := r.listener.SetDeadline(time.Now()); err != nil {
		return fmt.Errorf("link: stop accepting on %s: %w", r.addr, err)
	}
	r.accepted.Wait()
	if err := r.setBacklog(0); err != nil {
		return err
	}
	for range maxFillers {
		c, err := net.DialTimeout("tcp", r.addr, fillTimeout)
		if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() {
			return nil
		}
		if err != nil {
			return fmt.Errorf("link: fill the backlog of %s: %w", r.addr, err)
		}
		r.fillers = append(r.fillers, c)
	}
	return fmt.Errorf("link: %s still accepts after %d connections", r.addr, maxFillers)
}

// setBacklog changes how many connections may wait to be accepted.
func (r *Relay) setBacklog(n int) error {
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("link: backlog of %s: %w", r.addr, err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) })
	if err = errors.Join(err, failed); err != nil {
		return fmt.Errorf("link: backlog of %s: %w", r.addr, err)
	}
	return nil
}

// resetAll resets all open connections.
func (r *Relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // an error means that it is closed already
		}
		_ = c.Close()
	}
}

// Restore ends a cut.
func (r *Relay) Restore() error {
	r.mu.Lock()
	hung := r.hangs
	r.hangs = false
	r.restored.Broadcast()
	r.mu.Unlock()
	if !hung {
		return r.listen()
	}
	for _, c := range r.fillers {
		_ = c.Close() // nothing was sent on it
	}
	r.fillers = nil
	if err := r.setBacklog(relayBacklog); err != nil {
		return err
	}
	if err := r.listener.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("link: accept on %s: %w", r.addr, err)
	}
	r.accept()
	return nil
}

// Close ends the link and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed, r.hangs = true, false
	r.restored.Broadcast()
	r.mu.Unlock()
	_ = r.listener.Close() // closed already if the link is cut
	for _, c := range r.fillers {
		_ = c.Close()
	}
	r.resetAll()
}

// forward connects c to the destination.
func (r *Relay) forward(c net.Conn) {
	d, err := net.Dial("tcp", r.destination)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	r.mu.Lock()
	r.conns[c], r.conns[d] = true, true
	r.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { r.copy(d, c) })
	copies.Go(func() { r.copy(c, d) })
	copies.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, d)
	r.mu.Unlock()
}

// copy copies what comes from one end to the other, and closes both at its end.
func (r *Relay) copy(to, from net.Conn) {
	b := make([]byte, maxSegmentSize)
	for {
		n, err := from.Read(b)
		r.waitRestored()
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).SetLinger(0) // a reset is passed on as one
			}
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// waitRestored waits while the link hangs.
func (r *Relay) waitRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.hangs {
		r.restored.Wait()
	}
}
