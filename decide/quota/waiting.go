package quota

import (
	"cmp"
	"math"
	"slices"
)

// leastEvery is the number of tokens of which one is for the least urgent request.
const leastEvery = 1 / LeastShare

// Waiting holds what waits for tokens of one account. The most urgent is next, of one
// priority the oldest. While several priorities wait, each tenth token is for the least
// urgent one, so that it is not starved. The zero value is empty.
type Waiting[T any] struct {
	classes []waitingClass[T] // by priority, none empty
	passed  int               // tokens since the least urgent priority got one
	count   int
}

type waitingClass[T any] struct {
	priority int
	items    []T // in the order of arrival
}

// Len returns the number of items.
func (w *Waiting[T]) Len() int { return w.count }

// Push adds an item behind those that are as urgent.
func (w *Waiting[T]) Push(priority int, x T) {
	at, found := slices.BinarySearchFunc(w.classes, priority, func(c waitingClass[T], p int) int { return cmp.Compare(c.priority, p) })
	if !found {
		w.classes = slices.Insert(w.classes, at, waitingClass[T]{priority: priority})
	}
	w.classes[at].items = append(w.classes[at].items, x)
	w.count++
}

// Pop removes the item that gets the next token. It returns false if there is none.
func (w *Waiting[T]) Pop() (x T, ok bool) {
	if w.count == 0 {
		return x, false
	}
	at := 0
	if len(w.classes) == 1 {
		w.passed = 0
	} else if w.passed++; w.passed >= leastEvery {
		at, w.passed = len(w.classes)-1, 0
	}
	c := &w.classes[at]
	x, c.items = c.items[0], c.items[1:]
	w.removed(at)
	return x, true
}

// Displace removes the newest of the least urgent items in favour of one that is more
// urgent. It returns false if none is less urgent, or if only LeastShare of all items
// are.
func (w *Waiting[T]) Displace(priority int) (x T, ok bool) {
	at := len(w.classes) - 1
	if at < 0 || w.classes[at].priority <= priority {
		return x, false
	}
	// The least urgent priority keeps its places; the next one may have to give way.
	if least := math.Ceil(LeastShare * float64(w.count)); float64(len(w.classes[at].items)) <= least {
		if at--; at < 0 || w.classes[at].priority <= priority {
			return x, false
		}
	}
	c := &w.classes[at]
	last := len(c.items) - 1
	x, c.items = c.items[last], c.items[:last]
	w.removed(at)
	return x, true
}

// removed accounts for an item that was removed from a class.
func (w *Waiting[T]) removed(at int) {
	w.count--
	if len(w.classes[at].items) == 0 {
		w.classes = slices.Delete(w.classes, at, at+1)
	}
}

// DropFirst removes the oldest items of each priority for which drop is true, up to the
// first one for which it is not. Afterwards Pop returns an item that is to stay.
func (w *Waiting[T]) DropFirst(drop func(T) bool) {
	for i := len(w.classes) - 1; i >= 0; i-- {
		c := &w.classes[i]
		n := 0
		for n < len(c.items) && drop(c.items[n]) {
			n++
		}
		c.items = c.items[n:]
		w.count -= n
		if len(c.items) == 0 {
			w.classes = slices.Delete(w.classes, i, i+1)
		}
	}
}

// DeleteFunc removes the items for which del is true.
func (w *Waiting[T]) DeleteFunc(del func(T) bool) {
	w.count = 0
	for i := range w.classes {
		w.classes[i].items = slices.DeleteFunc(w.classes[i].items, del)
		w.count += len(w.classes[i].items)
	}
	w.classes = slices.DeleteFunc(w.classes, func(c waitingClass[T]) bool { return len(c.items) == 0 })
}

// All returns the items, the most urgent priority first.
func (w *Waiting[T]) All() []T {
	var list []T
	for _, c := range w.classes {
		list = append(list, c.items...)
	}
	return list
}
