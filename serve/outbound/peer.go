package outbound

import (
	"slices"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// peer is one receiver's address and the connections to it.
type peer struct {
	pool *Pool
	addr string

	mu      sync.Mutex
	idle    []*conn // the most recently used last
	waiting []*Call // for a connection, one being opened for each; the first to come first
	open    int
	dialing int
}

// unused reports whether there is no connection, nor one being opened.
func (pe *peer) unused() bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return pe.open == 0 && pe.dialing == 0
}

// claimOrQueue claims a free connection for k. Without one it counts a dial and has k
// wait, for that one or for any that is freed sooner.
// A fresh one is content with its own dial alone.
func (pe *peer) claimOrQueue(k *Call, fresh bool) *conn {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if !fresh {
		if c := pe.claimIdle(k); c != nil {
			return c
		}
		pe.waiting = append(pe.waiting, k)
	}
	pe.dialing++
	k.queuedAt = pe.pool.opts.Now()
	return nil
}

// claimIdle claims the most recently used free connection: the others age and
// are closed when the load falls. pe.mu must be held.
func (pe *peer) claimIdle(k *Call) *conn {
	now := pe.pool.opts.Now()
	for i, c := range slices.Backward(pe.idle) {
		if c.idleFor(now) >= c.maxIdle {
			continue // the sweep closes it
		}
		pe.idle = slices.Delete(pe.idle, i, i+1)
		c.call = k
		return c
	}
	return nil
}

// assignIdle hands free connections to the requests that wait. One to another region
// takes two crossings to open; one that is freed meanwhile is there at once, and
// the new one is kept for the next request.
func (pe *peer) assignIdle() {
	for {
		c, k := pe.assignOne()
		if c == nil {
			return
		}
		c.start(k) // of a request that has ended the connection comes back
	}
}

// assignOne claims a free connection for the request that has waited longest.
func (pe *peer) assignOne() (*conn, *Call) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if len(pe.waiting) == 0 {
		return nil, nil
	}
	c := pe.claimIdle(pe.waiting[0])
	if c == nil {
		return nil, nil
	}
	k := pe.waiting[0]
	pe.waiting = slices.Delete(pe.waiting, 0, 1)
	return c, k
}

// stopWaiting reports whether k was still waiting, and ends that.
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

// closeIdle closes the connections free for at least age.
func (pe *peer) closeIdle(age time.Duration) {
	for _, c := range pe.removeIdle(pe.pool.opts.Now(), age) {
		c.nbc.Close()
	}
}

// removeIdle claims the connections free for at least age.
func (pe *peer) removeIdle(now clock.Time, age time.Duration) []*conn {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	var out []*conn
	pe.idle = slices.DeleteFunc(pe.idle, func(c *conn) bool {
		if c.idleFor(now) < min(age, c.maxIdle) {
			return false
		}
		out = append(out, c)
		return true
	})
	return out
}

// release frees c for the next request and returns the call it carried. A
// connection that must not be used again is closed. One without a call has
// been dropped meanwhile: freed again, it would be lent out closed.
//
// keepAlive is how long the receiver keeps a free connection; 0: not stated.
// One that it may be about to close is not lent out: a request on it could be
// lost with its outcome unknown.
func (pe *peer) release(c *conn, keepAlive time.Duration) *Call {
	pe.mu.Lock()
	k := c.call
	c.call = nil
	c.maxIdle = maxIdleTime(keepAlive, pe.pool.opts.IdleTimeout)
	keep := k != nil && !c.noReuse
	if keep {
		c.idleSince = pe.pool.opts.Now()
		pe.idle = append(pe.idle, c)
	}
	pe.mu.Unlock()
	if !keep {
		c.nbc.Close()
	}
	return k
}

// releaseIfClaimed releases c if k still has it. Releasing a connection that has gone
// on to another call would lend it to two at a time, and give one the answer
// of the other.
func (pe *peer) releaseIfClaimed(c *conn, k *Call) {
	pe.mu.Lock()
	owned := c.call == k
	pe.mu.Unlock()
	if owned {
		pe.release(c, 0)
	}
}

// A free connection is lent out until keepAliveMargin before the receiver closes
// it, or for keepAliveUse of the time that it keeps it, whichever is longer. The
// margin is for the way to another region and one lost packet on it.
const (
	keepAliveMargin   = time.Second
	keepAliveFraction = 0.6
)

// maxIdleTime is how long a free connection is lent out again. kept is the time
// for which the receiver says that it keeps it; 0: not stated.
func maxIdleTime(kept, most time.Duration) time.Duration {
	if kept == 0 {
		return most
	}
	use := max(kept-keepAliveMargin, time.Duration(keepAliveFraction*float64(kept)))
	return min(use, most)
}

// isOwnAnswer reports whether the answer that c has begun to receive is one to
// its request.
func (pe *peer) isOwnAnswer(c *conn) bool {
	pe.mu.Lock()
	k := c.call
	pe.mu.Unlock()
	return k == nil || k.req.Own == nil || k.req.Own(c.answer.Status, c.answer.Header)
}

// reportAcknowledged tells the sender of c's request that the receiver has it.
func (pe *peer) reportAcknowledged(c *conn) {
	pe.mu.Lock()
	k := c.call
	pe.mu.Unlock()
	if k != nil && k.req.Acknowledged != nil {
		k.req.Acknowledged()
	}
}

// mayEndByClose reports whether c's request takes an answer without a length.
func (pe *peer) mayEndByClose(c *conn) bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return c.call != nil && c.call.req.MayEndByClose
}

// hasRequest reports whether c has been handed a request.
func (pe *peer) hasRequest(c *conn) bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return c.call != nil && c.call.attached()
}

// detach forgets c and returns the call it carried.
func (pe *peer) detach(c *conn) *Call {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	k := c.call
	c.call = nil
	pe.idle = slices.DeleteFunc(pe.idle, func(o *conn) bool { return o == c })
	return k
}

// countClosed counts a connection out; only the first time counts.
func (pe *peer) countClosed(c *conn) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if !c.ended {
		c.ended = true
		pe.open--
	}
}
