package outbound

import (
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// peer is the address of one receiver and the connections to it.
type peer struct {
	pool *Pool
	addr string

	mu      sync.Mutex
	idle    []*conn // most recently used last
	waiting []*Call // for a connection, oldest first; one is being opened for each
	open    int
	dialing int
	watched *conn // see conn.watch; nil: none
}

// unused reports whether there is no connection, open or being opened.
func (pe *peer) unused() bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return pe.open == 0 && pe.dialing == 0
}

// claimOrQueue claims an idle connection for k. If there is none it counts a
// dial and queues k for that connection or any other that becomes idle sooner.
// A request that asks for a new or unused connection waits only for the one dialled for it.
func (pe *peer) claimOrQueue(k *Call) *conn {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if !k.req.NewConnection {
		if c := pe.claimIdle(k); c != nil {
			return c
		}
	}
	if !k.req.waitsForOwn() {
		pe.waiting = append(pe.waiting, k)
	}
	pe.dialing++
	k.queuedAt = pe.pool.opts.Now()
	return nil
}

// claimIdle claims the most recently used idle connection, so that the others
// age and are closed when the load falls. pe.mu must be held.
func (pe *peer) claimIdle(k *Call) *conn {
	now := pe.pool.opts.Now()
	for i, c := range slices.Backward(pe.idle) {
		if c.idleFor(now) >= c.maxIdle || !c.fits(k.req) {
			continue // sweep closes it if it is idle for too long
		}
		pe.idle = slices.Delete(pe.idle, i, i+1)
		c.call = k
		return c
	}
	return nil
}

// fits reports whether r may be sent on the idle connection c. The peer's mu must be held.
func (c *conn) fits(r *Request) bool {
	return !c.used || (!r.Unused && (c.receiver == r.Receiver || c.receiver == "" || r.Receiver == ""))
}

// waitsForOwn reports whether the request waits only for the connection dialled for it.
func (r *Request) waitsForOwn() bool { return r.NewConnection || r.Unused }

// assignIdle gives idle connections to waiting requests. Opening a connection
// to another region takes two one-way delays; one that becomes idle meanwhile
// is available at once, and the new one is kept for the next request.
func (pe *peer) assignIdle() {
	for {
		c, k := pe.assignOne()
		if c == nil {
			return
		}
		c.start(k) // releases the connection if the request has ended
	}
}

// assignOne claims an idle connection for the request that has waited longest.
func (pe *peer) assignOne() (*conn, *Call) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	for i, k := range pe.waiting {
		if c := pe.claimIdle(k); c != nil {
			pe.waiting = slices.Delete(pe.waiting, i, i+1)
			return c, k
		}
	}
	return nil, nil
}

// stopWaiting removes k from the waiting requests and reports whether it was
// among them.
func (pe *peer) stopWaiting(k *Call) bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	at := slices.Index(pe.waiting, k)
	if at < 0 {
		return false
	}
	pe.waiting = slices.Delete(pe.waiting, at, at+1)
	return true
}

// closeIdle closes the connections that have been idle for at least age.
func (pe *peer) closeIdle(age time.Duration) {
	for _, c := range pe.removeIdle(pe.pool.opts.Now(), age) {
		c.close(ClosedIdle)
	}
}

// removeIdle removes and returns the connections that have been idle for at
// least age.
func (pe *peer) removeIdle(now clock.Time, age time.Duration) []*conn {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	var out []*conn
	pe.idle = slices.DeleteFunc(pe.idle, func(c *conn) bool {
		if c.idleFor(now) < min(age, c.maxIdle) || (c.sending() && c.idleFor(now) < maxSendAfterAnswer) {
			return false
		}
		out = append(out, c)
		return true
	})
	return out
}

// releaseAnswered is release after an answer to the request that c carries.
func (pe *peer) releaseAnswered(c *conn, keepAlive time.Duration) (k *Call, kept bool) {
	pe.mu.Lock()
	if c.call != nil {
		c.used, c.receiver = true, c.call.req.Receiver
	}
	pe.mu.Unlock()
	return pe.release(c, keepAlive)
}

// release makes c available for the next request and returns the call that it
// carried, and whether c is kept. One that is not kept must be closed. A connection
// without a call has been detached meanwhile; released again, it would be reused
// although it is closed.
//
// keepAlive is how long the receiver keeps an idle connection open; 0: not
// stated. A connection that the receiver may be about to close is not reused: a
// request on it could be lost with an unknown outcome.
func (pe *peer) release(c *conn, keepAlive time.Duration) (k *Call, kept bool) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	k = c.call
	c.call = nil
	c.maxIdle = maxIdleTime(keepAlive, pe.pool.opts.IdleTimeout)
	kept = k != nil && !c.noReuse && c.closedBy == ""
	if kept {
		c.idleSince = pe.pool.opts.Now()
		pe.idle = append(pe.idle, c)
	}
	return k, kept
}

// releaseIfClaimed releases c if k still holds it. Releasing a connection that
// has been given to another call would assign it to two calls at once, and one
// would get the other's answer.
func (pe *peer) releaseIfClaimed(c *conn, k *Call) {
	pe.mu.Lock()
	owned := c.call == k
	pe.mu.Unlock()
	if !owned {
		return
	}
	if _, kept := pe.release(c, 0); !kept {
		c.close(ClosedNotReusable)
	}
}

// An idle connection is reused until keepAliveMargin before the receiver closes
// it, or for keepAliveFraction of the time that the receiver keeps it,
// whichever is longer. The margin covers the delay to another region and one
// lost packet.
const (
	keepAliveMargin   = time.Second
	keepAliveFraction = 0.6
)

// maxIdleTime returns how long an idle connection may be reused. stated is the
// time for which the receiver keeps it; 0: not stated.
func maxIdleTime(stated, limit time.Duration) time.Duration {
	if stated == 0 {
		return limit
	}
	use := max(stated-keepAliveMargin, time.Duration(keepAliveFraction*float64(stated)))
	return min(use, limit)
}

// callOf returns the call that c carries, nil if there is none.
func (pe *peer) callOf(c *conn) *Call {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return c.call
}

// takeBack decides to close c if it still carries k. If k's answer has come meanwhile, c
// may carry another request.
func (pe *peer) takeBack(c *conn, k *Call) bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if c.call != k || c.closedBy != "" {
		return false
	}
	c.closedBy = ClosedCancelled
	return true
}

// attach records that k's request is about to be written to c. It returns false if k has
// finished or c is being closed: nothing may be written then.
func (pe *peer) attach(c *conn, k *Call) bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return c.closedBy == "" && k.attach(c)
}

// expectsAnswer reports whether a request is being written to c or was. If not, what the
// receiver sends belongs to no request, and c is not given to one any more: the decision
// is taken under the lock of attach, or a request could still be written to c.
func (pe *peer) expectsAnswer(c *conn) bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if c.call != nil && c.call.attached() {
		return true
	}
	if c.closedBy == "" {
		c.closedBy = ClosedInvalid
	}
	pe.idle = slices.DeleteFunc(pe.idle, func(o *conn) bool { return o == c })
	return false
}

// detach removes c from the idle connections and returns the call that it
// carried.
func (pe *peer) detach(c *conn) *Call {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	k := c.call
	c.call = nil
	pe.idle = slices.DeleteFunc(pe.idle, func(o *conn) bool { return o == c })
	return k
}

// countClosed removes c from the count of open connections; only the first call
// has an effect. It returns the holding of the answer that was being received.
func (pe *peer) countClosed(c *conn) *holding {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if !c.ended {
		c.ended = true
		pe.open--
	}
	if pe.watched == c {
		pe.watched = nil
	}
	return c.hold
}

// setHolding sets the holding of the answer that is being received on c. If c was closed
// meanwhile, nothing is held.
func (pe *peer) setHolding(c *conn, h *holding) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	c.hold = h
	if c.ended {
		h.release()
	}
}

// takeHolding removes and returns the holding of the answer that is being received on c.
func (pe *peer) takeHolding(c *conn) *holding {
	if c.hold == nil {
		return nil
	}
	pe.mu.Lock()
	defer pe.mu.Unlock()
	h := c.hold
	c.hold = nil
	return h
}

// noteClose records why this side closes c; the first reason counts.
func (pe *peer) noteClose(c *conn, why CloseReason) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if c.closedBy == "" {
		c.closedBy = why
	}
}

// beginWatch makes c the receiver's watched connection. It reports false if there is another
// one, or c is closed.
func (pe *peer) beginWatch(c *conn) bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if pe.watched != nil || c.ended {
		return false
	}
	pe.watched = c
	if c.closedBy == "" {
		c.closedBy = ClosedNotReusable
	}
	return true
}

// closeReason returns why c was closed, with the error that nbio reports.
func (pe *peer) closeReason(c *conn, err error) CloseReason {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	switch {
	case c.closedBy != "":
		return c.closedBy
	case errors.Is(err, io.EOF):
		return ClosedByReceiver
	case err != nil:
		return ClosedByFailure
	default:
		return ClosedWithPool
	}
}
