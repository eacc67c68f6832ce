package block

// entry is one block. Its size is what the memory of a table consists of.
type entry[K key] struct {
	start K
	home  HomeID
	bits  uint8
	up    uint8 // index in the page of the enclosing entry, or outside
}

// outside marks an entry whose enclosing block, if any, is in an earlier page.
const outside = 255

const (
	// pageFill is the number of entries in a page of a new table.
	pageFill = 64
	// pageMax is the number of entries at which a patched page is split; it
	// must stay below outside.
	pageMax = 128
	// maxBuckets is the largest number of buckets in the index of a family.
	maxBuckets = 1 << 16
)

// page is a run of entries in ascending order of start, then bits.
type page[K key] struct {
	entries []entry[K]
	// outer are the blocks of earlier pages that enclose the first entry,
	// longest first. A block of an earlier page that encloses any entry of
	// this one encloses the first, because it starts before it.
	outer []entry[K]
}

// pages holds the blocks of one address family.
type pages[K key] struct {
	firsts []K // start of the first entry of each page
	pages  []page[K]
	index  []uint32 // see newIndex
	shift  uint8    // log2 of the addresses in a bucket of the index
	n      int      // entries in all pages
}

func widthOf[K key]() uint8 {
	if ^K(0)>>31 == 1 {
		return width4
	}
	return width6
}

// contains reports whether address a is in e's block.
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
	if len(t.firsts) == 0 || a < t.firsts[0] {
		return nil
	}
	return t.pages[t.pageOf(a)].find(a)
}

// pageOf returns the last page that starts at or before a, which must not be
// below the first start. The index narrows the search to a few pages.
func (t *pages[K]) pageOf(a K) int {
	bucket := min((a-t.firsts[0])>>t.shift, K(len(t.index)-2))
	lo, n := int(t.index[bucket]), int(t.index[bucket+1]-t.index[bucket])+1
	// The branches of these searches are unpredictable; this form lets the
	// compiler use conditional moves.
	for n > 1 {
		half := n / 2
		if t.firsts[lo+half] <= a {
			lo += half
		}
		n -= half
	}
	return lo
}

// newIndex divides the space between the first and the last start evenly.
// Element i is the last page that starts at or before the beginning of bucket
// i; one more element ends the last bucket.
func newIndex[K key](firsts []K) (index []uint32, shift uint8) {
	if len(firsts) == 0 {
		return nil, 0
	}
	span := uint64(firsts[len(firsts)-1] - firsts[0])
	for span>>shift >= maxBuckets {
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
	j := p.last(a)
	for j >= 0 {
		e := &p.entries[j]
		if e.contains(a) {
			return e
		}
		if e.up == outside {
			break
		}
		j = int(e.up)
	}
	for j := range p.outer {
		if p.outer[j].contains(a) {
			return &p.outer[j]
		}
	}
	return nil
}

// last returns the index of the last entry that starts at or before a, or -1.
func (p *page[K]) last(a K) int {
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

// link sets the up of every entry of the page.
func (p *page[K]) link() {
	for i := range p.entries {
		p.entries[i].up = p.enclosing(i)
	}
}

// enclosing returns the index of the shortest-distance entry before i that
// encloses it; entries before i are linked already.
func (p *page[K]) enclosing(i int) uint8 {
	if i == 0 {
		return outside
	}
	j := i - 1
	for !p.entries[j].contains(p.entries[i].start) {
		if p.entries[j].up == outside {
			return outside
		}
		j = int(p.entries[j].up)
	}
	return uint8(j)
}

// outerOf returns the blocks of page p and of its outer ones that enclose the
// entry first of the next page, longest first. Every such block also encloses
// or is the last entry of p, so p's last chain holds them all.
func (p *page[K]) outerOf(first *entry[K], buf []entry[K]) []entry[K] {
	buf = buf[:0]
	for j := len(p.entries) - 1; ; j = int(p.entries[j].up) {
		e := p.entries[j]
		if e.contains(first.start) {
			buf = append(buf, e)
		}
		if e.up == outside {
			break
		}
	}
	for _, e := range p.outer {
		if e.contains(first.start) {
			buf = append(buf, e)
		}
	}
	return buf
}

// newPages cuts entries, which are sorted and without duplicates, into pages.
// It keeps entries as the pages' memory.
func newPages[K key](entries []entry[K]) pages[K] {
	n := (len(entries) + pageFill - 1) / pageFill
	list := make([]page[K], 0, n)
	for len(entries) > 0 {
		m := min(pageFill, len(entries))
		list = append(list, page[K]{entries: entries[:m:m]})
		entries = entries[m:]
	}
	for i := range list {
		list[i].link()
	}
	return assemble(list)
}

// assemble builds the directory over linked pages and renews their outer
// blocks. Pages whose outer blocks stay as they were keep their memory.
func assemble[K key](list []page[K]) pages[K] {
	t := pages[K]{pages: list, firsts: make([]K, len(list))}
	var buf []entry[K]
	for i := range list {
		p := &list[i]
		t.firsts[i] = p.entries[0].start
		t.n += len(p.entries)
		if i == 0 {
			p.outer = nil
			continue
		}
		buf = list[i-1].outerOf(&p.entries[0], buf)
		p.setOuter(buf)
	}
	t.index, t.shift = newIndex(t.firsts)
	return t
}

func (p *page[K]) setOuter(outer []entry[K]) {
	if sameBlocks(p.outer, outer) {
		return
	}
	p.outer = append([]entry[K](nil), outer...)
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

// all calls yield for every entry in order until it returns false.
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
