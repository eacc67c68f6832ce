package dispatch

import "math/bits"

// bitset marks the targets of a service that have a free slot, so that the
// choice among hundreds of targets visits only those.
type bitset []uint64

func newBitset(n int) bitset { return make(bitset, (n+63)/64) }

func (b bitset) set(i int, on bool) {
	if on {
		b[i/64] |= 1 << (i % 64)
	} else {
		b[i/64] &^= 1 << (i % 64)
	}
}

func (b bitset) has(i int) bool { return b[i/64]&(1<<(i%64)) != 0 }

// next returns the first marked index at or after i, or -1.
func (b bitset) next(i int) int {
	w := i / 64
	if w >= len(b) {
		return -1
	}
	rest := b[w] >> (i % 64) << (i % 64)
	for rest == 0 {
		w++
		if w == len(b) {
			return -1
		}
		rest = b[w]
	}
	return w*64 + bits.TrailingZeros64(rest)
}

// cyclic returns the first marked index at or after i, wrapping around to 0, or
// -1.
func (b bitset) cyclic(i int) int {
	if n := b.next(i); n >= 0 {
		return n
	}
	return b.next(0)
}

func (b bitset) count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}
