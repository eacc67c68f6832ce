package outbound

import "sync"

// Budget bounds the bytes that a process holds for answers: the received parts of
// answers, and whole answers until they are released (Answer.Release). The pools of a
// process share one.
//
// An answer that states its length holds all of it from the start. One that does not
// may never end, so it gives way: while the budget is exhausted, the largest such answer
// is cut. Thus a receiver that sends without end displaces neither answers of a stated
// length nor short ones. If there is no such answer, one gives way that states a greater
// length than the one that needs room, as what is stated may never arrive.
type Budget struct {
	limit int64

	mu   sync.Mutex
	held int64
	cut  int64
	open map[*holding]struct{} // those whose answers are not whole yet
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, open: make(map[*holding]struct{})}
}

// Held returns the bytes that are held now.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Cut returns how many answers were cut because the budget was exhausted.
func (b *Budget) Cut() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

// holding is what is held for one answer. A nil holding is not bounded.
type holding struct {
	b *Budget
	// evict ends the answer; stated says whether its length is. It is called without
	// locks, by any goroutine.
	evict func(stated bool)

	// Guarded by b.mu.
	bytes    int64
	stated   bool // the answer states its length
	released bool
}

// newHolding returns the holding of an answer whose length is not known yet; nil if
// there is no budget.
func (b *Budget) newHolding(evict func(stated bool)) *holding {
	if b == nil {
		return nil
	}
	h := &holding{b: b, evict: evict}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[h] = struct{}{}
	return h
}

// grow holds n more bytes and reports true. If there is no room for them, or the answer
// was cut meanwhile, nothing is held any more.
func (h *holding) grow(n int64) bool {
	if h == nil {
		return true
	}
	return h.b.makeRoom(h, n, false)
}

// state is grow for an answer that states its length, which is n.
func (h *holding) state(n int64) bool {
	if h == nil {
		return true
	}
	return h.b.makeRoom(h, n, true)
}

// makeRoom holds n more bytes for h, after cutting other answers if need be.
func (b *Budget) makeRoom(h *holding, n int64, stated bool) bool {
	b.mu.Lock()
	if stated && !h.released {
		h.stated = true
	}
	var cut []*holding
	for !h.released && b.held+n > b.limit {
		o := b.givesWayTo(h, n)
		b.cut++
		b.release(o)
		if o != h {
			cut = append(cut, o)
		}
	}
	ok := !h.released
	if ok {
		h.bytes += n
		b.held += n
	}
	b.mu.Unlock()
	for _, o := range cut {
		o.evict(o.stated)
	}
	return ok
}

// givesWayTo returns the answer to be cut so that h can hold n more bytes: the largest of
// unknown length, else the largest, if it is larger than h would be, else that of h.
func (b *Budget) givesWayTo(h *holding, n int64) *holding {
	var unknown, stated *holding
	for o := range b.open {
		switch {
		case o.stated:
			stated = larger(stated, o)
		default:
			unknown = larger(unknown, o)
		}
	}
	switch {
	case unknown != nil:
		return unknown
	case stated != nil && stated.bytes > h.bytes+n:
		return stated
	default:
		return h
	}
}

func larger(a, b *holding) *holding {
	if a == nil || b.bytes > a.bytes {
		return b
	}
	return a
}

func (b *Budget) release(h *holding) {
	if h.released {
		return
	}
	h.released = true
	b.held -= h.bytes
	delete(b.open, h)
}

// settle records that the answer is whole, after which it is not cut any more.
// It reports false if the answer was cut.
func (h *holding) settle() bool {
	if h == nil {
		return true
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	delete(h.b.open, h)
	return !h.released
}

// release ends the holding; only the first call has an effect.
func (h *holding) release() {
	if h == nil {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.b.release(h)
}
