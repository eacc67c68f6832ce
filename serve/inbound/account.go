package inbound

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Account bounds what the clients of one or more servers hold together: connections, and
// the memory of heads, from their first byte until their request is answered. Bodies and
// answers have bounds of their own.
//
// A client that would exceed it is refused, or others make room for it: first those whose
// last answer was sent, then those that hold most, or hold a connection longest, without a
// whole request. A request that was passed on is never cut off. A part of the memory is kept
// for small requests, so that large heads do not keep ordinary clients out.
type Account struct {
	maxBytes int64
	maxConns int
	refused  func(Refusal)

	bytes atomic.Int64 // of heads
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Refusal says what a client was refused for, or cut off to make room.
type Refusal string

// What an Account refuses.
const (
	RefusedHead       Refusal = "head"       // no memory for its head
	RefusedPartial    Refusal = "partial"    // its head was incomplete, and others needed the memory
	RefusedConnection Refusal = "connection" // its connection was new, idle or closing, and others needed it
)

// NewAccount returns an Account of some bytes of heads and some connections; 0: unlimited.
// refused is called for each refusal, and must not block; may be nil.
func NewAccount(bytes int64, conns int, refused func(Refusal)) *Account {
	if refused == nil {
		refused = func(Refusal) {}
	}
	return &Account{maxBytes: bytes, maxConns: conns, refused: refused, conns: make(map[*conn]struct{})}
}

const (
	// fieldBytes is the memory of a parsed header field beside its bytes: an entry of a map
	// and of its copy for the target, and a slice and a name of its own.
	fieldBytes = 256
	// smallBytes is the largest charge of a request that may use all of the memory.
	smallBytes = 16 << 10
	// smallDivisor: 1/smallDivisor of the memory is kept for small requests.
	smallDivisor = 4
	// evictDivisor: up to 1/evictDivisor of the connections make room at once, because a
	// search for the next ones walks all of them.
	evictDivisor = 32
)

const (
	// reservedDescriptors are those that are not for connections: files, listeners, pollers.
	reservedDescriptors = 200
	// clientShare is the share of the other descriptors that connections of clients may use.
	// The rest is for targets, other entry VMs and the store.
	clientShare = 3.0 / 4
)

// ConnectionLimit returns how many connections clients of a process may have that may open
// some descriptors; 0: as many as the operating system allows.
func ConnectionLimit(descriptors int) (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("inbound: read the limit on descriptors: %w", err)
	}
	most := int(min(limit.Cur, math.MaxInt32))
	if descriptors > 0 {
		most = min(most, descriptors)
	}
	return max(int(clientShare*float64(most-reservedDescriptors)), 1), nil
}

// headCost returns the memory that a head takes with a number of lines.
func headCost(bytes, lines int) int64 { return int64(bytes) + int64(lines)*fieldBytes }

// reserve charges n bytes to a client that already holds some, and reports whether there was
// room.
func (a *Account) reserve(n, holds int64) bool {
	if a == nil || a.maxBytes == 0 {
		return true
	}
	limit := a.maxBytes
	if n+holds > smallBytes {
		limit -= a.maxBytes / smallDivisor
	}
	if a.bytes.Add(n) <= limit {
		return true
	}
	a.evictPartial(a.bytes.Load()-limit, n+holds)
	if a.bytes.Load() <= limit {
		return true
	}
	a.bytes.Add(-n)
	a.refused(RefusedHead)
	return false
}

func (a *Account) release(n int64) {
	if a != nil && n != 0 {
		a.bytes.Add(-n)
	}
}

// evictPartial refuses the clients that hold most for incomplete heads, each more than some
// bytes, until they held n bytes.
func (a *Account) evictPartial(n, more int64) {
	a.mu.Lock()
	type holder struct {
		c     *conn
		holds int64
	}
	var list []holder
	for c := range a.conns {
		if holds := c.partialHead.Load(); holds > more {
			list = append(list, holder{c, holds})
		}
	}
	a.mu.Unlock()
	slices.SortFunc(list, func(x, y holder) int { return cmp.Compare(y.holds, x.holds) })
	for _, h := range list {
		if n <= 0 {
			return
		}
		n -= h.c.evictPartial()
	}
}

// evictPartial refuses the message that is partly received, as others need its memory, and
// returns how many bytes it held.
func (c *conn) evictPartial() int64 {
	c.mu.Lock()
	evicted := c.phase == phaseOpen && c.receiving
	if evicted {
		c.phase = phaseLast
	}
	answer := evicted && c.pipeline.empty()
	c.mu.Unlock()
	if !evicted {
		return 0
	}
	held := c.releasePartialHead()
	c.s.opts.Account.refused(RefusedPartial)
	c.s.engine.Run(c.nbc, func() {
		c.dropPartial()
		if answer { // otherwise those in flight are answered, and the caller sees the rest as unread
			c.refuseAndClose(http.StatusServiceUnavailable, ClosedRefused)
		}
	})
	return held
}

// admit counts a connection that was accepted. If there are too many, others close to make
// room for it; it reports false if none can.
func (a *Account) admit(c *conn) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	full := a.maxConns > 0 && len(a.conns) >= a.maxConns
	if !full {
		a.conns[c] = struct{}{}
		a.mu.Unlock()
		return true
	}
	victims := a.leastUseful(time.Now())
	for _, v := range victims {
		delete(a.conns, v)
	}
	if len(victims) > 0 {
		a.conns[c] = struct{}{}
	}
	a.mu.Unlock()
	for _, v := range victims {
		a.refused(RefusedConnection)
		v.evict()
	}
	if len(victims) == 0 {
		a.refused(RefusedConnection)
		return false
	}
	a.awaitClose(victims)
	return true
}

// evictTimeout bounds the wait for a poller to close connections.
const evictTimeout = time.Second

// awaitClose waits until connections have closed: accepting goes on no faster than that, as
// their descriptors are in use until then.
func (a *Account) awaitClose(victims []*conn) {
	ctx, cancel := context.WithTimeout(context.Background(), evictTimeout)
	defer cancel()
	waited := make(map[*Server]bool)
	for _, v := range victims {
		if !waited[v.s] {
			waited[v.s] = true
			_ = v.s.engine.Sync(ctx) // an error means that a poller is busy
		}
	}
}

// remove ends the count of a connection.
func (a *Account) remove(c *conn) {
	if a == nil {
		return
	}
	a.mu.Lock()
	delete(a.conns, c)
	a.mu.Unlock()
}

// usefulness orders connections by what is lost if they close.
type usefulness uint8

const (
	closing usefulness = iota // its last answer was sent
	unused                    // it has not carried a whole request
	idle                      // it has, and carries none
	inUse                     // it carries a request or an answer
)

// leastUseful returns the connections that make room for others: a part of those that are
// closing or unused, the longest first, or else the one that is idle for longest. It must be
// called with mu held.
func (a *Account) leastUseful(now time.Time) []*conn {
	type candidate struct {
		c     *conn
		use   usefulness
		since time.Duration
	}
	list := make([]candidate, 0, len(a.conns))
	for c := range a.conns {
		use, at := c.usefulness()
		if use < inUse {
			list = append(list, candidate{c, use, now.Sub(at)})
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.use, y.use), cmp.Compare(y.since, x.since))
	})
	most := 1 + a.maxConns/evictDivisor
	var out []*conn
	for _, k := range list[:min(len(list), most)] {
		if k.use == idle && len(out) > 0 {
			break
		}
		out = append(out, k.c)
		if k.use == idle {
			break
		}
	}
	return out
}

// usefulness returns what the connection is used for, and since when.
func (c *conn) usefulness() (usefulness, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.registered || !c.pipeline.empty() || c.pending():
		return inUse, c.changedAt
	case c.phase != phaseOpen:
		return closing, c.changedAt
	case c.requests == 0:
		return unused, c.changedAt
	default:
		return idle, c.changedAt
	}
}

// evict closes the connection unless it carries a request by now.
func (c *conn) evict() {
	c.s.engine.Run(c.nbc, func() {
		c.mu.Lock()
		carries := !c.pipeline.empty() || c.pending()
		if !carries {
			c.phase = phaseClosed
			c.closeReason = ClosedNoRoom
		}
		c.mu.Unlock()
		if !carries {
			c.hangUp()
		}
	})
}
