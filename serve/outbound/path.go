package outbound

import (
	"fmt"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/azurethread/azurethread/decide/clock"
)

// A receiver that does not read closes its window, or drops what does not fit and acknowledges
// that it has not got it. Linux counts TCP_USER_TIMEOUT against both: an upload to a receiver
// that pauses for longer would be broken off like one on a dead path. While the receiver's
// kernel answers, the timeout is therefore moved ahead of the age of the request. That also
// keeps the kernel asking: it sends its next probe of a closed window before the timeout ends.
// When no answer has come for twice the timeout, the connection is closed. On a path that dies
// in the middle of the data no answer comes after the last progress, and the kernel's own
// timeout ends it.

const (
	// pathCheckInterval is the interval between two looks at a connection whose receiver
	// has not taken a large request yet.
	pathCheckInterval = 250 * time.Millisecond
	// checkedRequestBytes is the size from which a request is checked. The window of a
	// receiver that has read everything takes a smaller one.
	checkedRequestBytes = 16 << 10
	// minAckGap is how much later than the last progress an acknowledgement must come to be
	// another one: the kernel states such times in milliseconds.
	minAckGap = 10 * time.Millisecond
)

// limitUnacknowledged sets Options.AckTimeout for a new connection.
func limitUnacknowledged(nc net.Conn, timeout time.Duration) error {
	sc, ok := nc.(syscall.Conn)
	if timeout == 0 || !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return fmt.Errorf("outbound: access socket: %w", err)
	}
	var set error
	if err := raw.Control(func(fd uintptr) { set = setAckTimeout(fd, timeout) }); err != nil {
		return fmt.Errorf("outbound: access socket: %w", err)
	}
	return set
}

// setAckTimeout sets for how long sent bytes may stay unacknowledged.
func setAckTimeout(fd uintptr, timeout time.Duration) error {
	if err := unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())); err != nil {
		return fmt.Errorf("outbound: set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

// pathCheck follows a connection until its receiver has taken a request.
type pathCheck struct {
	c          *conn
	began      clock.Time // the write of the request
	acked      uint64     // bytes that were acknowledged
	progressAt clock.Time // when that last grew
	extended   bool       // the connection has a longer timeout than Options.AckTimeout
}

// checkPath begins to follow c, to which a large request was written.
func (c *conn) checkPath() {
	p := c.p.pool
	if p.opts.AckTimeout == 0 {
		return
	}
	now := p.opts.Now()
	check := &pathCheck{c: c, began: now, progressAt: now}
	check.schedule()
}

// schedule runs the next check on the goroutine of the connection's poller, where the
// connection's descriptor is its own.
func (k *pathCheck) schedule() {
	engine := k.c.p.pool.engine
	time.AfterFunc(pathCheckInterval, func() { engine.Run(k.c.nbc, k.run) })
}

func (k *pathCheck) run() {
	result := pathDone
	err := k.c.p.pool.engine.Control(k.c.nbc, func(fd uintptr) { result = k.look(fd) })
	switch {
	case err != nil || result == pathDone:
	case result == pathDead:
		_ = k.c.nbc.CloseWithError(syscall.ETIMEDOUT) // an error means that it is closed
	default:
		k.schedule()
	}
}

// minRTT returns the shortest round-trip time that the kernel has seen on the connection; 0:
// not known.
func (c *conn) minRTT() time.Duration {
	var rtt time.Duration
	_ = c.p.pool.engine.Control(c.nbc, func(fd uintptr) { // an error means that it is closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.Min_rtt != math.MaxUint32 {
			rtt = time.Duration(info.Min_rtt) * time.Microsecond
		}
	})
	return rtt
}

// pathState is what a look at a connection shows.
type pathState uint8

const (
	pathDone  pathState = iota // nothing is left to look for
	pathInUse                  // the receiver has not taken everything
	pathDead                   // the receiver's kernel does not answer
)

// look adapts the timeout to what the kernel knows of the connection. If the kernel does not
// tell, the timeout stays as it is.
func (k *pathCheck) look(fd uintptr) pathState {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || (info.Unacked == 0 && info.Notsent_bytes == 0) {
		return pathDone
	}
	now, timeout := k.c.p.pool.opts.Now(), k.c.p.pool.opts.AckTimeout
	sinceAck := time.Duration(info.Last_ack_recv) * time.Millisecond
	if info.Bytes_acked > k.acked {
		k.acked, k.progressAt = info.Bytes_acked, now.Add(-sinceAck)
	}
	closed := info.Unacked == 0 // what was sent is acknowledged, and no more may be sent
	refused := sinceAck+minAckGap < now.Sub(k.progressAt)
	switch {
	case sinceAck >= 2*timeout:
		return pathDead
	case !closed && !refused && !k.extended:
		return pathInUse
	}
	// The kernel goes on counting from the first time that the window was closed, also when
	// the connection carries another request.
	k.extended, k.c.noReuse = true, true
	if setAckTimeout(fd, now.Sub(k.began)+timeout) != nil {
		return pathDone
	}
	return pathInUse
}
