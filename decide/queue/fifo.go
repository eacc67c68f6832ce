package queue

// Node links one item into a FIFO. It is meant to be a field of the item.
type Node[T any] struct {
	Item T

	prev, next *Node[T]
	list       *FIFO[T]
}

// Queued reports whether the node is in a list.
func (n *Node[T]) Queued() bool { return n.list != nil }

// FIFO is a list of waiting items. The zero value is empty.
type FIFO[T any] struct {
	head, tail *Node[T]
	n          int
}

// Len returns the number of waiting items.
func (l *FIFO[T]) Len() int { return l.n }

// Front returns the item that has waited longest, or nil.
func (l *FIFO[T]) Front() *Node[T] { return l.head }

// Back returns the item queued last, or nil.
func (l *FIFO[T]) Back() *Node[T] { return l.tail }

// Next returns the node behind n, or nil.
func (n *Node[T]) Next() *Node[T] { return n.next }

// Prev returns the node before n, or nil.
func (n *Node[T]) Prev() *Node[T] { return n.prev }

// InsertAfter inserts n behind at, which is in l; n must not be in a list. If
// at is nil, n becomes the front.
func (l *FIFO[T]) InsertAfter(at, n *Node[T]) {
	switch {
	case at == nil:
		l.PushFront(n)
	case at == l.tail:
		l.PushBack(n)
	default:
		n.list = l
		n.prev, n.next = at, at.next
		at.next.prev = n
		at.next = n
		l.n++
	}
}

// PushBack appends n, which must not be in a list.
func (l *FIFO[T]) PushBack(n *Node[T]) {
	n.list = l
	n.prev, n.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = n
	} else {
		l.head = n
	}
	l.tail = n
	l.n++
}

// PushFront inserts n before all others; n must not be in a list.
func (l *FIFO[T]) PushFront(n *Node[T]) {
	n.list = l
	n.prev, n.next = nil, l.head
	if l.head != nil {
		l.head.prev = n
	} else {
		l.tail = n
	}
	l.head = n
	l.n++
}

// Remove removes n from l; it does nothing if n isn't in l.
func (l *FIFO[T]) Remove(n *Node[T]) {
	if n.list != l {
		return
	}
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.tail = n.prev
	}
	n.prev, n.next, n.list = nil, nil, nil
	l.n--
}
