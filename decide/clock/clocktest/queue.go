// Package clocktest orders the events of tests that run on a fake clock.
package clocktest

import (
	"container/heap"

	"github.com/azurethread/azurethread/decide/clock"
)

// Queue holds events in order of their instants, and those of one instant in
// the order in which they were pushed. The zero Queue is empty.
type Queue[E any] struct {
	items  items[E]
	pushed uint64
}

// Push adds an event that is due at an instant.
func (q *Queue[E]) Push(at clock.Time, ev E) {
	q.pushed++
	heap.Push(&q.items, item[E]{at: at, order: q.pushed, event: ev})
}

// Next returns when the first event is due; clock.Never if there is none.
func (q *Queue[E]) Next() clock.Time {
	if len(q.items) == 0 {
		return clock.Never
	}
	return q.items[0].at
}

// Pop removes the first event if it is due by an instant, and returns it with
// its own instant.
func (q *Queue[E]) Pop(by clock.Time) (at clock.Time, ev E, ok bool) {
	if len(q.items) == 0 || q.items[0].at > by {
		return 0, ev, false
	}
	x := heap.Pop(&q.items).(item[E])
	return x.at, x.event, true
}

type item[E any] struct {
	at    clock.Time
	order uint64
	event E
}

// items implements heap.Interface.
type items[E any] []item[E]

func (s items[E]) Len() int { return len(s) }

func (s items[E]) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}

func (s items[E]) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s *items[E]) Push(x any) { *s = append(*s, x.(item[E])) }

func (s *items[E]) Pop() any {
	old := *s
	last := len(old) - 1
	x := old[last]
	old[last] = item[E]{} // lets the event be collected
	*s = old[:last]
	return x
}
