package token

import "github.com/azurethread/azurethread/decide/clock"

// expiryEntry is the entry of one record in an expiryHeap.
type expiryEntry struct {
	dropAt clock.Time
	slot   int32
}

// expiryHeap is a binary min-heap by instant and then slot, so that the order in
// which records are dropped is a function of the events.
type expiryHeap []expiryEntry

func (h expiryHeap) less(i, j int) bool {
	if h[i].dropAt != h[j].dropAt {
		return h[i].dropAt < h[j].dropAt
	}
	return h[i].slot < h[j].slot
}

// push adds d.
func (h *expiryHeap) push(d expiryEntry) {
	*h = append(*h, d)
	s := *h
	for i := len(s) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s.less(i, parent) {
			return
		}
		s[i], s[parent] = s[parent], s[i]
		i = parent
	}
}

// pop removes and returns the earliest entry; the heap must not be empty.
func (h *expiryHeap) pop() expiryEntry {
	s := *h
	first := s[0]
	last := len(s) - 1
	s[0] = s[last]
	s = s[:last]
	*h = s
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if right := child + 1; right < last && s.less(right, child) {
			child = right
		}
		if !s.less(child, i) {
			return first
		}
		s[i], s[child] = s[child], s[i]
		i = child
	}
}
