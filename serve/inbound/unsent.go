package inbound

import (
	"slices"
	"sync"
)

// unsentAnswers are the answers of one connection that nbio holds until the kernel takes
// them. Its methods may be called while nbio holds the connection's lock.
type unsentAnswers struct {
	mu      sync.Mutex
	list    []unsentAnswer // in the order of their ends
	dropped bool           // the connection has closed
}

// unsentAnswer ends at a position in the bytes written to its connection.
type unsentAnswer struct {
	exchange *Exchange
	end      int64
}

// len returns the number of answers.
func (u *unsentAnswers) len() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.list)
}

// add records the answer of x, which ends at end. written bytes were sent already.
func (u *unsentAnswers) add(x *Exchange, end, written int64) {
	u.mu.Lock()
	u.list = append(u.list, unsentAnswer{x, end})
	dropped := u.dropped
	u.mu.Unlock()
	if dropped {
		u.drop()
		return
	}
	u.sent(written)
}

// sent reports the answers that end within the bytes written so far.
func (u *unsentAnswers) sent(written int64) {
	u.mu.Lock()
	n := 0
	for n < len(u.list) && u.list[n].end <= written {
		n++
	}
	done := slices.Clone(u.list[:n])
	u.list = slices.Delete(u.list, 0, n)
	u.mu.Unlock()
	for _, a := range done {
		a.exchange.sent()
	}
}

// drop reports all answers, because the connection has closed.
func (u *unsentAnswers) drop() {
	u.mu.Lock()
	done := u.list
	u.list, u.dropped = nil, true
	u.mu.Unlock()
	for _, a := range done {
		a.exchange.sent()
	}
}
