package admission

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Request is what the queue knows of a request.
type Request struct {
	// Priority is its class; 0 is the most urgent.
	Priority int
	// Account is its client account, "" if it has none. Weight is the account's share in
	// relation to others; 0 means 1.
	Account string
	Weight  float64
	// Arrived is when its entry VM received it.
	Arrived clock.Time
	// ObjectiveAt is the latest time of a grant after which its answer is still expected
	// within its latency objective.
	ObjectiveAt clock.Time
	// WaitUntil is when its wait ends.
	WaitUntil clock.Time
	// MinReturn and MaxReturn are the shortest and the longest time after which its caller
	// may return if it is refused.
	MinReturn, MaxReturn time.Duration
}

func (r *Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// Entry is one waiting request.
type Entry[T any] struct {
	Item T

	request Request
	seq     uint64
	queue   *Queue[T] // nil: no longer waiting
	at      int       // index in queue.entries
	class   *class
	account *account
	late    bool // it could not meet its objective on arrival
}

// Queued reports whether e waits; a nil entry does not.
func (e *Entry[T]) Queued() bool { return e != nil && e.queue != nil }

// Queue holds the waiting requests of one service. The zero value is empty and ready to
// use. The times passed to its methods must not decrease.
type Queue[T any] struct {
	entries []*Entry[T] // in no order
	lastSeq uint64
	classes []*class // by priority

	granted  window // requests, also those placed at once while others waited
	busy     window // seconds in which requests waited
	seenAt   clock.Time
	meanWork float64 // of a grant, in s; a moving average
	grants   uint64  // detects grants during a walk
	sweptAt  clock.Time
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Push adds a request.
func (q *Queue[T]) Push(now clock.Time, r Request, item T) *Entry[T] {
	q.advance(now)
	q.sweep(now)
	q.lastSeq++
	c := q.newClassOf(r.Priority)
	e := &Entry[T]{Item: item, request: r, seq: q.lastSeq, queue: q, at: len(q.entries), class: c, account: c.accountOf(now, &r)}
	e.late = e.isLate(now)
	c.add(e.account, e.late)
	c.pushed.add(now, 1)
	q.entries = append(q.entries, e)
	return e
}

// Remove removes a request that no longer waits. It does nothing if e was removed before.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.queue != q {
		return
	}
	last := len(q.entries) - 1
	q.entries[e.at] = q.entries[last]
	q.entries[e.at].at = e.at
	q.entries[last] = nil
	q.entries = q.entries[:last]
	e.class.remove(e.account, e.late)
	e.queue = nil
}

// meanWorkWeight is the weight of a new grant in Queue.meanWork.
const meanWorkWeight = 0.05

// Granted removes a request that was granted a slot, and charges its account with the
// work that the slot is expected to do for it.
func (q *Queue[T]) Granted(now clock.Time, e *Entry[T], work time.Duration) {
	if e.queue != q {
		return
	}
	q.advance(now)
	for _, c := range q.classes {
		if c != e.class && c.n > 0 {
			c.countPassedOver()
		}
	}
	e.class.countGrant()
	q.Remove(e)
	e.account.usedAt = now
	e.account.charge(now, work)
	q.granted.add(now, 1)
	if q.meanWork == 0 {
		q.meanWork = work.Seconds()
	}
	q.meanWork += meanWorkWeight * (work.Seconds() - q.meanWork)
	q.grants++
}

// Charge charges the account of a request that was placed without waiting. Without it,
// an account would appear to have been granted nothing until its requests wait. While
// others wait, it counts as a grant: a longer queue could have used the slot.
func (q *Queue[T]) Charge(now clock.Time, r Request, work time.Duration) {
	q.advance(now)
	q.sweep(now)
	q.newClassOf(r.Priority).accountOf(now, &r).charge(now, work)
	if len(q.entries) > 0 {
		q.granted.add(now, 1)
	}
}

// maxEventGap is the longest time between two events that counts as time in which requests
// waited. A rate is known only from minGrants grants in observedTime, so in a longer gap the
// process was paused, or the load is too low for refusals.
const maxEventGap = observedTime / minGrants

// advance records that requests waited since the latest event.
func (q *Queue[T]) advance(now clock.Time) {
	if len(q.entries) > 0 && now.Sub(q.seenAt) <= maxEventGap {
		q.busy.addTime(q.seenAt, now)
	}
	q.seenAt = now
}

// isLate reports whether the answer to e can no longer meet its objective.
func (e *Entry[T]) isLate(now clock.Time) bool { return now.After(e.request.ObjectiveAt) }

// compare returns a negative number if a goes before b, a positive one otherwise.
func compare[T any](now clock.Time, a, b *Entry[T]) int {
	if a.class != b.class {
		if a.class.owed() != b.class.owed() {
			return count(b.class.owed()) - count(a.class.owed())
		}
		return cmp.Compare(a.class.priority, b.class.priority)
	}
	if a.account != b.account {
		return cmp.Or(cmp.Compare(a.account.level, b.account.level), cmp.Compare(a.account.seq, b.account.seq))
	}
	if late := count(a.isLate(now)) - count(b.isLate(now)); late != 0 {
		return late
	}
	return cmp.Or(cmp.Compare(a.request.Arrived, b.request.Arrived), cmp.Compare(a.seq, b.seq))
}

// All returns the waiting requests in the order of service. During the walk, requests
// may be granted or removed; each grant changes the order of those that are left.
func (q *Queue[T]) All(now clock.Time) iter.Seq[*Entry[T]] {
	return q.InOrder(now, slices.Clone(q.entries))
}

// InOrder is All for some of the waiting requests. It changes the order of list.
func (q *Queue[T]) InOrder(now clock.Time, list []*Entry[T]) iter.Seq[*Entry[T]] {
	return func(yield func(*Entry[T]) bool) {
		h := heap[T]{now: now, list: list}
		h.build()
		grants := q.grants
		for len(h.list) > 0 {
			if q.grants != grants {
				grants = q.grants
				h.build()
			}
			if e := h.pop(); e.queue == q && !yield(e) {
				return
			}
		}
	}
}

// heap is a binary heap of entries; the first one goes first.
type heap[T any] struct {
	now  clock.Time
	list []*Entry[T]
}

func (h *heap[T]) build() {
	for i := len(h.list)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *heap[T]) pop() *Entry[T] {
	e, last := h.list[0], len(h.list)-1
	h.list[0] = h.list[last]
	h.list = h.list[:last]
	h.down(0)
	return e
}

func (h *heap[T]) down(i int) {
	for {
		first := 2*i + 1
		if first >= len(h.list) {
			return
		}
		if next := first + 1; next < len(h.list) && compare(h.now, h.list[next], h.list[first]) < 0 {
			first = next
		}
		if compare(h.now, h.list[i], h.list[first]) <= 0 {
			return
		}
		h.list[i], h.list[first] = h.list[first], h.list[i]
		i = first
	}
}
