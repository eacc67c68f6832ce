package block

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
)

// Block is one prefix with its home.
type Block struct {
	Prefix netip.Prefix
	Home   Home
}

// Delta is the difference between two tables.
type Delta struct {
	From   uint64         // Table.Sum before
	To     uint64         // Table.Sum after
	Set    []Block        // added blocks, and those whose home has changed
	Remove []netip.Prefix // removed blocks
}

// change sets or removes one entry of an address family.
type change[K key] struct {
	entry  entry[K]
	remove bool
}

// Patch returns the result of applying d to t, and leaves t unchanged. It returns
// an error and no table if d was made for another table, lists a prefix twice,
// removes a prefix that is not in t, or does not result in the checksum that it
// states. Names are checked against topology.
//
// The new table shares the memory of all unchanged pages with t.
func (t *Table) Patch(d Delta, topology Topology) (*Table, error) {
	if t.Sum() != d.From {
		return nil, fmt.Errorf("%w: delta is for checksum %016x, table has %016x", ErrBase, d.From, t.Sum())
	}
	if t == nil {
		t = &Table{}
	}
	homes := newHomeSet(t.homes)
	c4, c6, err := splitChanges(d, homes, topology)
	if err != nil {
		return nil, err
	}
	next := &Table{homes: homes.homes, homeHashes: homes.hashes, checksum: t.checksum}
	if next.v4, err = patchPages(&t.v4, c4, homes.hashes, &next.checksum, prefix4); err != nil {
		return nil, err
	}
	if next.v6, err = patchPages(&t.v6, c6, homes.hashes, &next.checksum, prefix6); err != nil {
		return nil, err
	}
	if next.Len() > MaxBlocks {
		return nil, fmt.Errorf("%w: more than %d blocks", ErrTooLarge, MaxBlocks)
	}
	if next.checksum != d.To {
		return nil, fmt.Errorf("%w: delta results in checksum %016x, want %016x", ErrTruncated, next.checksum, d.To)
	}
	return next, nil
}

// splitChanges checks a delta and returns its changes per address family, in the
// order of entries.
func splitChanges(d Delta, homes *homeSet, topology Topology) ([]change[uint32], []change[uint64], error) {
	var c4 []change[uint32]
	var c6 []change[uint64]
	add := func(p netip.Prefix, id HomeID, remove bool) error {
		if err := checkPrefix(p); err != nil {
			return err
		}
		bits := uint8(p.Bits())
		if p.Addr().Is4() {
			c4 = append(c4, change[uint32]{entry[uint32]{key4(p.Addr()), id, bits, noParent}, remove})
		} else {
			c6 = append(c6, change[uint64]{entry[uint64]{key6(p.Addr()), id, bits, noParent}, remove})
		}
		return nil
	}
	for _, b := range d.Set {
		if err := topology.check(b.Home); err != nil {
			return nil, nil, err
		}
		id, err := homes.id(b.Home)
		if err != nil {
			return nil, nil, err
		}
		if err := add(b.Prefix, id, false); err != nil {
			return nil, nil, err
		}
	}
	for _, p := range d.Remove {
		if err := add(p, 0, true); err != nil {
			return nil, nil, err
		}
	}
	if err := sortChanges(c4, prefix4); err != nil {
		return nil, nil, err
	}
	return c4, c6, sortChanges(c6, prefix6)
}

// sortChanges sorts changes in the order of entries. It returns an error if two
// changes have the same prefix.
func sortChanges[K key](changes []change[K], prefix func(K, uint8) netip.Prefix) error {
	slices.SortFunc(changes, func(a, b change[K]) int {
		return cmp.Or(cmp.Compare(a.entry.start, b.entry.start), cmp.Compare(a.entry.bits, b.entry.bits))
	})
	for i := 1; i < len(changes); i++ {
		if e := &changes[i].entry; e.samePrefix(&changes[i-1].entry) {
			return fmt.Errorf("%w: delta lists %s twice", ErrConflict, prefix(e.start, e.bits))
		}
	}
	return nil
}

// patchPages applies sorted changes to t and updates the checksum sum.
func patchPages[K key](
	t *pages[K], changes []change[K], homeHashes []uint64, sum *uint64, prefix func(K, uint8) netip.Prefix,
) (pages[K], error) {
	if len(changes) == 0 {
		return *t, nil
	}
	list := make([]page[K], 0, len(t.pages)+1)
	for i := range t.pages {
		pageChanges := changes
		if i+1 < len(t.pages) {
			pageChanges = changes[:countBefore(changes, &t.pages[i+1].entries[0])]
		}
		changes = changes[len(pageChanges):]
		if len(pageChanges) == 0 {
			list = append(list, t.pages[i])
			continue
		}
		entries, err := merge(t.pages[i].entries, pageChanges, homeHashes, sum, prefix)
		if err != nil {
			return pages[K]{}, err
		}
		list = appendPages(list, entries)
	}
	if len(t.pages) == 0 {
		entries, err := merge(nil, changes, homeHashes, sum, prefix)
		if err != nil {
			return pages[K]{}, err
		}
		list = appendPages(list, entries)
	}
	return buildDirectory(list), nil
}

// countBefore returns the number of sorted changes that come before e.
func countBefore[K key](changes []change[K], e *entry[K]) int {
	n := 0
	for n < len(changes) && changes[n].entry.before(e) {
		n++
	}
	return n
}

// merge returns a copy of entries with the sorted changes applied, and updates the
// checksum sum.
func merge[K key](
	entries []entry[K], changes []change[K], homeHashes []uint64, sum *uint64, prefix func(K, uint8) netip.Prefix,
) ([]entry[K], error) {
	out := make([]entry[K], 0, len(entries)+len(changes))
	for _, c := range changes {
		for len(entries) > 0 && entries[0].before(&c.entry) {
			out = append(out, entries[0])
			entries = entries[1:]
		}
		present := len(entries) > 0 && entries[0].samePrefix(&c.entry)
		if present {
			*sum -= entries[0].checksum(homeHashes)
			entries = entries[1:]
		}
		switch {
		case !c.remove:
			*sum += c.entry.checksum(homeHashes)
			out = append(out, c.entry)
		case !present:
			return nil, fmt.Errorf("%w: delta removes %s, which is not in the table", ErrBase, prefix(c.entry.start, c.entry.bits))
		}
	}
	return append(out, entries...), nil
}

// appendPages appends entries to list as pages. It makes one page if there are at
// most maxPageSize entries, and otherwise splits off pages of initialPageSize.
func appendPages[K key](list []page[K], entries []entry[K]) []page[K] {
	for len(entries) > 0 {
		n := len(entries)
		if n > maxPageSize {
			n = min(initialPageSize, n)
		}
		p := page[K]{entries: entries[:n:n]}
		p.linkParents()
		list = append(list, p)
		entries = entries[n:]
	}
	return list
}
