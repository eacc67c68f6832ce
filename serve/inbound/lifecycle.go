package inbound

import (
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// phase is the state of a connection. It only advances, and it is guarded by
// conn.mu, under which requests are also passed on. A request can therefore not be
// passed on after the decision to close its connection, whichever goroutine decides.
type phase uint8

const (
	phaseOpen   phase = iota // received requests are passed on
	phaseLast                // nothing is received any more; requests received before are answered
	phaseClosed              // closed, or about to be
)

// awaited is what a connection's deadline is for.
type awaited uint8

const (
	awaitNone    awaited = iota
	awaitRequest         // the first byte of the next request
	awaitMessage         // the rest of a partly received message
	awaitClose           // that the caller closes, after its last answer
)

// await sets the deadline. It must be called with mu held. The deadline is not left to
// nbio, which closes the connection without a look at what is in flight.
func (c *conn) await(what awaited, d time.Duration) {
	c.awaited = what
	c.awaitedBy.set(d, c.deadlineExceeded)
}

// awaitNothing removes the deadline. It must be called with mu held.
func (c *conn) awaitNothing() {
	c.awaited = awaitNone
	c.awaitedBy.clear()
}

// deadlineExceeded is called by the timer.
func (c *conn) deadlineExceeded() {
	c.mu.Lock()
	act := c.expire()
	c.mu.Unlock()
	if act != nil {
		act()
	}
}

// expire decides what follows from the end of the deadline, and returns what is to be
// done about it without the lock; nil: nothing. It must be called with mu held.
func (c *conn) expire() func() {
	if !c.awaitedBy.due() {
		return nil
	}
	switch c.awaited {
	case awaitRequest:
		return func() { c.s.engine.Run(c.nbc, c.idleTimedOut) }
	case awaitMessage:
		if c.phase == phaseOpen && c.pipeline.empty() {
			c.phase = phaseLast
			return func() {
				c.s.engine.Run(c.nbc, c.dropPartial)
				c.refuseAndClose(http.StatusRequestTimeout, ClosedReadTimeout)
			}
		}
	case awaitClose:
		before := c.untaken
		if c.untaken = c.kernelUntaken(); 0 < c.untaken && c.untaken < before {
			c.await(awaitClose, lingerTimeout)
			return nil
		}
		c.phase = phaseClosed
		return c.hangUp
	}
	return nil
}

// writeTimedOut closes a connection whose caller has not taken an answer in time. nbio's
// own deadline is not used: it stays set when the rest of an answer is sent later, and
// would close the connection during another request.
func (c *conn) writeTimedOut() {
	c.mu.Lock()
	late := c.pending() && c.takenBy.due()
	if late {
		c.phase = phaseClosed
		c.closeReason = ClosedWriteTimeout
	}
	c.mu.Unlock()
	if late {
		c.hangUp()
	}
}

// close ends the connection after its last answer, once everything written has reached
// the kernel. nbio's Close drops queued bytes: closing at once would truncate a large
// answer for a caller that reads slowly.
//
// Normally the caller closes first, as the answer asks it to; this side closes only if
// the caller does not.
func (c *conn) close(why CloseReason) {
	c.mu.Lock()
	c.closeReason = why
	c.mu.Unlock()
	c.draining.Store(true)
	if !c.pending() {
		c.linger()
	}
}

// lingerTimeout is how long a caller may take to close after the last answer, or to
// take a further part of it.
const lingerTimeout = time.Second

// linger waits for the caller's close and ignores what it still sends. Closing at once
// with unread data in the receive buffer would make the kernel send a reset, which can
// destroy the answer before the caller has read it.
func (c *conn) linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.untaken = c.kernelUntaken()
	c.changedAt = time.Now()
	c.await(awaitClose, lingerTimeout)
}

// kernelUntaken returns how many written bytes the caller's side has not acknowledged, 0
// if that is unknown.
func (c *conn) kernelUntaken() int {
	raw, err := c.nbc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return n
}

// kernelUnread returns how many received bytes this side has not read, 0 if that is unknown.
// It must be called on the poller's goroutine.
func (c *conn) kernelUnread() int {
	n := 0
	var err error
	if c.s.engine.Control(c.nbc, func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }) != nil || err != nil {
		return 0
	}
	return n
}

// hangUp closes the connection. The phase must not be open.
func (c *conn) hangUp() { c.s.engine.Close(c.nbc) }

// awaitNextRequest bounds the time for which the connection may be idle. It must be
// called with mu held.
func (c *conn) awaitNextRequest() { c.await(awaitRequest, c.s.limits().IdleTimeout) }

// awaitFirstRequest bounds the time for which a new connection may be idle. It must be
// called after the registration: a connection that is closed before it would be
// registered with a descriptor that may be another one's by then. The poller may have
// processed data already; the deadline that was set for it stays.
func (c *conn) awaitFirstRequest() {
	c.mu.Lock()
	c.registered = true
	if c.phase == phaseOpen && c.awaited == awaitNone && c.pipeline.empty() && !c.receiving {
		c.awaitNextRequest()
	}
	c.mu.Unlock()
	c.closeInStop()
}

// beginReceiving records that data has come. It reports false if the connection is
// closing: what comes then is ignored, and its caller sees it as unread.
func (c *conn) beginReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = c.phase == phaseOpen
	return c.receiving
}

// endReceiving records whether a message is partly received, after data has been
// processed.
func (c *conn) endReceiving() {
	partial := len(c.head) > 0 || c.req != nil
	c.mu.Lock()
	c.receiving = partial && c.phase == phaseOpen
	if c.s.closingIdle.Load() && !c.receiving && !c.pipeline.empty() {
		// A caller that always has a further request under way would delay the stop.
		c.phase = max(c.phase, phaseLast)
	}
	c.mu.Unlock()
	c.closeInStop()
}

// closeInStop closes the connection if it is idle and the server takes no further
// request.
func (c *conn) closeInStop() {
	if c.s.closingIdle.Load() {
		c.s.engine.Run(c.nbc, func() { c.closeIfIdle(ClosedStopIdle) })
	}
}

// idleTimedOut closes the connection if it has been idle for too long. It must be called on
// the poller's goroutine.
func (c *conn) idleTimedOut() {
	c.mu.Lock()
	over := c.awaited == awaitRequest && c.awaitedBy.due() // or another request has come
	c.mu.Unlock()
	if !over || c.closeIfIdle(ClosedIdleTimeout) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaited == awaitRequest {
		c.awaitNextRequest() // data has come, or the caller has not taken its answer yet
	}
}

// isOpen reports whether received requests are passed on.
func (c *conn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseOpen
}

// isUnfinished reports whether a message is partly received or in flight, or bytes wait
// to be sent.
func (c *conn) isUnfinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receiving || !c.pipeline.empty() || c.pending()
}

// isBusy reports whether the connection is unfinished, its caller may still be reading its
// last answer, or it was to be closed as idle and was not: something has come for it.
func (c *conn) isBusy() bool {
	c.mu.Lock()
	last := c.phase == phaseLast || c.phase == phaseOpen && c.s.closingIdle.Load()
	c.mu.Unlock()
	return last || c.isUnfinished()
}

// closeIfIdle closes the connection if it has no request in flight or partly received,
// nothing that the kernel holds and no answer left to send. It reports whether it has. It must be called on the poller's
// goroutine: otherwise the poller could read a request between the decision and the close,
// and its caller could not tell that from a request that was taken.
func (c *conn) closeIfIdle(why CloseReason) bool {
	unread := c.kernelUnread()
	c.mu.Lock()
	idle := c.phase == phaseOpen && c.registered && unread == 0 && !c.receiving && c.pipeline.empty() && !c.pending()
	if idle {
		c.phase = phaseLast
		c.closeReason = why
		c.unread = unread
	}
	c.mu.Unlock()
	if idle {
		c.endIdle(why)
	}
	return idle
}

// endIdle closes a connection that is idle by the decision of closeIfIdle.
func (c *conn) endIdle(why CloseReason) {
	if c.s.opts.RefuseAtClose {
		c.refuseAndClose(http.StatusServiceUnavailable, why)
		return
	}
	c.hangUp()
}

// onClose is called once when the connection is closed.
func (c *conn) onClose(err error) {
	c.releasePartialHead()
	c.releasePartialBody()
	c.unsent.drop()
	c.mu.Lock()
	c.phase = phaseClosed
	c.awaitNothing()
	c.takenBy.clear()
	end := c.end(err)
	left := c.pipeline.abort()
	c.mu.Unlock()
	for _, x := range left {
		x.setCallerGone(end.Reason)
	}
	if report := c.s.opts.Closed; report != nil {
		report(end)
	}
}

// end describes the closed connection. It must be called with mu held.
func (c *conn) end(err error) ConnectionEnd {
	why := c.closeReason
	switch {
	case errors.Is(err, io.EOF):
		why = ClosedByCaller
	case err != nil:
		why = ClosedByFailure
	case why == "":
		why = ClosedStopEnd
	}
	return ConnectionEnd{
		Reason: why, Remote: c.remote, Requests: c.requests,
		InFlight: len(c.pipeline.inFlight), Waiting: len(c.pipeline.waiting), Partial: c.receiving, Unread: c.unread,
	}
}
