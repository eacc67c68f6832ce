package block

import (
	"iter"
	"math/bits"
	"net/netip"
	"unsafe"
)

// Table is an immutable set of blocks. The zero Table and a nil one are empty.
type Table struct {
	v4         pages[uint32]
	v6         pages[uint64]
	homes      []Home
	homeHashes []uint64 // hash of each home, by HomeID
	checksum   uint64
}

// Match is the result of a look-up.
type Match struct {
	Prefix netip.Prefix // the longest block that contains the address
	Home   HomeID
}

// Lookup returns the longest block that contains a. It does not allocate.
func (t *Table) Lookup(a netip.Addr) (Match, bool) {
	if t == nil {
		return Match{}, false
	}
	a = a.Unmap()
	switch {
	case a.Is4():
		e := t.v4.find(key4(a))
		if e == nil {
			return Match{}, false
		}
		return Match{prefix4(e.start, e.bits), e.home}, true
	case a.Is6():
		e := t.v6.find(key6(a))
		if e == nil {
			return Match{}, false
		}
		return Match{prefix6(e.start, e.bits), e.home}, true
	default:
		return Match{}, false
	}
}

// Home returns the home with the given id. The caller must not modify it.
func (t *Table) Home(id HomeID) Home { return t.homes[id] }

// Homes returns the number of homes. All HomeIDs are less than it. Homes that have
// no more blocks after a patch are counted until the table is rebuilt.
func (t *Table) Homes() int {
	if t == nil {
		return 0
	}
	return len(t.homes)
}

// Len returns the number of blocks.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return t.v4.count + t.v6.count
}

// Sum returns the checksum of the table's content. Tables with equal content have
// equal checksums, regardless of the order in which blocks were added or patched.
func (t *Table) Sum() uint64 {
	if t == nil {
		return 0
	}
	return t.checksum
}

// Bytes returns the memory used by the table's blocks and directory.
func (t *Table) Bytes() int {
	if t == nil {
		return 0
	}
	return bytesOf(&t.v4) + bytesOf(&t.v6)
}

func bytesOf[K key](t *pages[K]) int {
	n := cap(t.firstStarts)*int(unsafe.Sizeof(K(0))) +
		cap(t.pages)*int(unsafe.Sizeof(page[K]{})) +
		cap(t.index)*int(unsafe.Sizeof(uint32(0)))
	for i := range t.pages {
		n += (cap(t.pages[i].entries) + cap(t.pages[i].outerBlocks)) * int(unsafe.Sizeof(entry[K]{}))
	}
	return n
}

// All iterates over the blocks, IPv4 first, each family in ascending order of
// start address and then of length.
func (t *Table) All() iter.Seq2[netip.Prefix, HomeID] {
	return func(yield func(netip.Prefix, HomeID) bool) {
		if t == nil {
			return
		}
		more := t.v4.all(func(e *entry[uint32]) bool {
			return yield(prefix4(e.start, e.bits), e.home)
		})
		if !more {
			return
		}
		t.v6.all(func(e *entry[uint64]) bool {
			return yield(prefix6(e.start, e.bits), e.home)
		})
	}
}

// Odd multipliers for blockChecksum, as used by common 64-bit mixers.
const (
	startMultiplier = 0x9e3779b97f4a7c15
	bitsMultiplier  = 0xbf58476d1ce4e5b9
)

// blockChecksum returns the checksum of one block. The checksum of a table is the
// sum over its blocks, so that it does not depend on their order.
func blockChecksum(width uint8, start uint64, length uint8, home uint64) uint64 {
	x := (start ^ home) * startMultiplier
	x ^= (uint64(length)<<8 | uint64(width)) * bitsMultiplier
	hi, lo := bits.Mul64(x^home, startMultiplier^start)
	return hi ^ lo
}
