package outbound

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/azurethread/azurethread/decide/verdict"
)

// fail ends the call in flight and closes the connection.
func (c *conn) fail(v verdict.Verdict, r verdict.Reason, err error) {
	c.resetAnswer()
	k := c.p.detach(c)
	if k != nil {
		k.finish(nil, &verdict.Error{Verdict: v, Reason: r, Err: err})
	}
	c.close(ClosedInvalid)
}

// close closes the connection. The first reason counts.
func (c *conn) close(why CloseReason) {
	c.p.noteClose(c, why)
	c.p.pool.engine.Close(c.nbc)
}

// maxSendAfterAnswer is how long the rest of a request is sent on after its answer.
const maxSendAfterAnswer = 20 * time.Second

// closeWhenSent closes the connection after its last answer. A receiver may answer before it
// has read the whole request, and read on: nbio's Close would drop what it has queued.
func (c *conn) closeWhenSent() {
	c.p.noteClose(c, ClosedNotReusable)
	c.lastSent.Store(true)
	if !c.sending() {
		c.p.pool.engine.Close(c.nbc)
		return
	}
	time.AfterFunc(maxSendAfterAnswer, func() { c.close(ClosedNotReusable) })
}

// sending reports whether nbio holds bytes that the kernel has not taken.
func (c *conn) sending() bool { return c.written.Load() < c.queued.Load() }

// onWritten is called when the kernel has taken n bytes. nbio holds the connection's lock
// during the call, so closing is left to the poller.
func (c *conn) onWritten(n int) {
	c.written.Add(int64(n))
	if c.lastSent.Load() && !c.sending() {
		c.p.pool.engine.Run(c.nbc, func() { c.close(ClosedNotReusable) })
	}
}

// abort closes the connection of a cancelled request. What the receiver's side has not
// acknowledged is dropped with a reset: the kernel would go on delivering it, and a request
// that a broken path holds up would run long after it was given up.
func (c *conn) abort() {
	engine := c.p.pool.engine
	engine.Run(c.nbc, func() {
		_ = engine.Control(c.nbc, resetIfUntaken) // an error means that it is closed
		c.close(ClosedCancelled)
	})
}

// resetIfUntaken makes the close of a socket a reset unless everything that was written is
// acknowledged. If that is not known, it is a reset.
func resetIfUntaken(fd uintptr) {
	if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil && n == 0 {
		return
	}
	_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}) // otherwise it is an orderly close
}

// awaitClose holds the socket of an answer that ends with its connection, so that
// the way it ended can be checked after nbio has closed it. nbio reports a connection
// that ended with an error event as closed cleanly, without reading from it, and a
// truncated answer would be taken for complete.
func (c *conn) awaitClose(a *Answer) {
	socket, release, err := c.p.pool.engine.Hold(c.nbc)
	if err != nil {
		return // the answer will count as truncated
	}
	c.closeDelimited.Store(&closeDelimitedAnswer{answer: a, socket: socket, release: release})
}

// closeDelimitedAnswer is an answer that ends with its connection.
type closeDelimitedAnswer struct {
	answer  *Answer
	socket  int // duplicate of the connection's socket
	release func()
}

// endedCleanly reports whether the receiver closed the connection without an
// error, and closes the duplicate socket.
func (e *closeDelimitedAnswer) endedCleanly() bool {
	defer e.release()
	var more [1]byte
	n, err := syscall.Read(e.socket, more[:])
	return n == 0 && err == nil
}
