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

// Len returns how many items wait.
func (l *FIFO[T]) Len() int { return l.n }

// Front returns the item that has waited longest, or nil.
func (l *FIFO[T]) Front() *Node[T] { return l.head }

// Back returns the item queued last, or nil.
func (l *FIFO[T]) Back() *Node[T] { return l.tail }

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

// PushFront puts n before all others; n must not be in a list.
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

// Remove takes n out of l; it does nothing when n isn't in l.
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
