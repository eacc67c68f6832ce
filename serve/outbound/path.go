package outbound

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/azurethread/azurethread/decide/clock"
)

// A receiver that does not read closes its window. Linux counts TCP_USER_TIMEOUT against a
// closed window too, although the receiver's kernel answers each probe: an upload to a
// receiver that pauses for longer would be broken off like one on a dead path. While the
// window is closed and probes are answered, the timeout is therefore moved ahead of the time
// for which it has been closed. When none was answered for the timeout, the kernel ends the
// connection within as much time again. A single unanswered probe proves nothing: kernels
// limit the rate of such answers.

const (
	// pathCheckInterval is the interval between two looks at a connection whose receiver
	// has not taken a large request yet.
	pathCheckInterval = 250 * time.Millisecond
	// checkedRequestBytes is the size from which a request is checked. The window of a
	// receiver that has read everything takes a smaller one.
	checkedRequestBytes = 16 << 10
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
	c        *conn
	openAt   clock.Time // when the window was last seen open
	extended bool       // the connection has a longer timeout than Options.AckTimeout
}

// checkPath begins to follow c, to which a large request was written.
func (c *conn) checkPath() {
	p := c.p.pool
	if p.opts.AckTimeout == 0 {
		return
	}
	check := &pathCheck{c: c, openAt: p.opts.Now()}
	check.schedule()
}

// schedule runs the next check on the goroutine of the connection's poller, where the
// connection's descriptor is its own.
func (k *pathCheck) schedule() {
	engine := k.c.p.pool.engine
	time.AfterFunc(pathCheckInterval, func() { engine.Run(k.c.nbc, k.run) })
}

func (k *pathCheck) run() {
	again := false
	err := k.c.p.pool.engine.Control(k.c.nbc, func(fd uintptr) { again = k.look(fd) })
	if err == nil && again {
		k.schedule()
	}
}

// look adapts the timeout to what the kernel knows of the connection, and reports whether to
// look again. If the kernel does not tell, the timeout stays as it is.
func (k *pathCheck) look(fd uintptr) (again bool) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	now, timeout := k.c.p.pool.opts.Now(), k.c.p.pool.opts.AckTimeout
	if waiting := info.Notsent_bytes > 0 && info.Unacked == 0; waiting { // for the window to open
		if answered := time.Duration(info.Last_ack_recv) * time.Millisecond; answered < timeout {
			k.extended = true
			return setAckTimeout(fd, now.Sub(k.openAt)+timeout) == nil
		}
		return true
	}
	k.openAt = now
	if k.extended {
		k.extended = false
		if setAckTimeout(fd, timeout) != nil {
			return false
		}
	}
	return info.Unacked > 0
}
