package block

// entry is one block. Its size determines the memory use of a table.
type entry[K key] struct {
	start  K
	home   HomeID
	bits   uint8
	parent uint8 // index in the page of the enclosing entry, or noParent
}

// noParent marks an entry with no enclosing entry in its page. A block of an
// earlier page may enclose it.
const noParent = 255

const (
	// initialPageSize is the number of entries per page of a new table.
	initialPageSize = 64
	// maxPageSize is the number of entries above which a patched page is split.
	// It must be less than noParent.
	maxPageSize = 128
	// maxIndexBuckets is the maximum number of buckets in the index of an address
	// family.
	maxIndexBuckets = 1 << 16
)

// page holds consecutive entries in ascending order of start, then bits.
type page[K key] struct {
	entries []entry[K]
	// outerBlocks are the blocks of earlier pages that enclose the first entry,
	// longest first. A block of an earlier page that encloses any entry of this
	// page also encloses its first entry, because it starts before that entry.
	outerBlocks []entry[K]
}

// pages holds the blocks of one address family.
type pages[K key] struct {
	firstStarts []K // start of the first entry of each page
	pages       []page[K]
	index       []uint32 // see newIndex
	shift       uint8    // log2 of the addresses in a bucket of the index
	count       int      // entries in all pages
}

func widthOf[K key]() uint8 {
	if ^K(0)>>31 == 1 {
		return width4
	}
	return width6
}

// contains reports whether the block contains address a.
func (e *entry[K]) contains(a K) bool {
	return (a^e.start)>>(widthOf[K]()-e.bits) == 0
}

// before orders entries by start, then by length, so that an enclosing block
// comes before the blocks it encloses.
func (e *entry[K]) before(o *entry[K]) bool {
	if e.start != o.start {
		return e.start < o.start
	}
	return e.bits < o.bits
}

func (e *entry[K]) samePrefix(o *entry[K]) bool {
	return e.start == o.start && e.bits == o.bits
}

// find returns the longest block that contains a, or nil.
func (t *pages[K]) find(a K) *entry[K] {
	if len(t.firstStarts) == 0 || a < t.firstStarts[0] {
		return nil
	}
	return t.pages[t.findPage(a)].find(a)
}

// findPage returns the number of the last page that starts at or before a. a must
// not be less than the first start. The index narrows the search to a few pages.
func (t *pages[K]) findPage(a K) int {
	bucket := min((a-t.firstStarts[0])>>t.shift, K(len(t.index)-2))
	lo, n := int(t.index[bucket]), int(t.index[bucket+1]-t.index[bucket])+1
	// The branches of a binary search are unpredictable; in this form the
	// compiler can use conditional moves.
	for n > 1 {
		half := n / 2
		if t.firstStarts[lo+half] <= a {
			lo += half
		}
		n -= half
	}
	return lo
}

// newIndex divides the address space between the first and the last start into
// buckets of equal size. Element i is the last page that starts at or before the
// beginning of bucket i. One additional element marks the end of the last bucket.
func newIndex[K key](firsts []K) (index []uint32, shift uint8) {
	if len(firsts) == 0 {
		return nil, 0
	}
	span := uint64(firsts[len(firsts)-1] - firsts[0])
	for span>>shift >= maxIndexBuckets {
		shift++
	}
	buckets := int(span>>shift) + 1
	index = make([]uint32, buckets+1)
	at := 0
	for i := range buckets {
		begin := firsts[0] + K(i)<<shift
		for at+1 < len(firsts) && firsts[at+1] <= begin {
			at++
		}
		index[i] = uint32(at)
	}
	index[buckets] = uint32(len(firsts) - 1)
	return index, shift
}

func (p *page[K]) find(a K) *entry[K] {
	j := p.lastAtOrBefore(a)
	for j >= 0 {
		e := &p.entries[j]
		if e.contains(a) {
			return e
		}
		if e.parent == noParent {
			break
		}
		j = int(e.parent)
	}
	for j := range p.outerBlocks {
		if p.outerBlocks[j].contains(a) {
			return &p.outerBlocks[j]
		}
	}
	return nil
}

// lastAtOrBefore returns the index of the last entry that starts at or before a,
// or -1.
func (p *page[K]) lastAtOrBefore(a K) int {
	lo, n := 0, len(p.entries)
	if p.entries[0].start > a {
		return -1
	}
	for n > 1 {
		half := n / 2
		if p.entries[lo+half].start <= a {
			lo += half
		}
		n -= half
	}
	return lo
}

// linkParents sets the parent of every entry of the page.
func (p *page[K]) linkParents() {
	for i := range p.entries {
		p.entries[i].parent = p.findParent(i)
	}
}

// findParent returns the index of the nearest entry before i that encloses entry
// i, or noParent. The parents of the entries before i must be set.
func (p *page[K]) findParent(i int) uint8 {
	if i == 0 {
		return noParent
	}
	j := i - 1
	for !p.entries[j].contains(p.entries[i].start) {
		if p.entries[j].parent == noParent {
			return noParent
		}
		j = int(p.entries[j].parent)
	}
	return uint8(j)
}

// enclosingBlocks returns the blocks of p and of p's outerBlocks that enclose
// first, the first entry of the next page, longest first. Every such block is or
// encloses the last entry of p, so it is found by following the parents of that
// entry.
func (p *page[K]) enclosingBlocks(first *entry[K], buf []entry[K]) []entry[K] {
	buf = buf[:0]
	for j := len(p.entries) - 1; ; j = int(p.entries[j].parent) {
		e := p.entries[j]
		if e.contains(first.start) {
			buf = append(buf, e)
		}
		if e.parent == noParent {
			break
		}
	}
	for _, e := range p.outerBlocks {
		if e.contains(first.start) {
			buf = append(buf, e)
		}
	}
	return buf
}

// newPages splits entries, which must be sorted and without duplicates, into
// pages. The pages share the memory of entries.
func newPages[K key](entries []entry[K]) pages[K] {
	n := (len(entries) + initialPageSize - 1) / initialPageSize
	list := make([]page[K], 0, n)
	for len(entries) > 0 {
		m := min(initialPageSize, len(entries))
		list = append(list, page[K]{entries: entries[:m:m]})
		entries = entries[m:]
	}
	for i := range list {
		list[i].linkParents()
	}
	return buildDirectory(list)
}

// buildDirectory builds the directory of pages whose parents are set, and updates
// their outerBlocks. Pages whose outerBlocks have not changed keep their memory.
func buildDirectory[K key](list []page[K]) pages[K] {
	t := pages[K]{pages: list, firstStarts: make([]K, len(list))}
	var buf []entry[K]
	for i := range list {
		p := &list[i]
		t.firstStarts[i] = p.entries[0].start
		t.count += len(p.entries)
		if i == 0 {
			p.outerBlocks = nil
			continue
		}
		buf = list[i-1].enclosingBlocks(&p.entries[0], buf)
		p.setOuterBlocks(buf)
	}
	t.index, t.shift = newIndex(t.firstStarts)
	return t
}

func (p *page[K]) setOuterBlocks(outer []entry[K]) {
	if sameBlocks(p.outerBlocks, outer) {
		return
	}
	p.outerBlocks = append([]entry[K](nil), outer...)
}

func sameBlocks[K key](a, b []entry[K]) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !a[i].samePrefix(&b[i]) || a[i].home != b[i].home {
			return false
		}
	}
	return true
}

// all calls yield for every entry in order until yield returns false. It returns
// false if yield did.
func (t *pages[K]) all(yield func(*entry[K]) bool) bool {
	for i := range t.pages {
		entries := t.pages[i].entries
		for j := range entries {
			if !yield(&entries[j]) {
				return false
			}
		}
	}
	return true
}
