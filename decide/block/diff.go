package block

import "net/netip"

// Diff returns the delta that changes the table from into the table to.
func Diff(from, to *Table) Delta {
	d := Delta{From: from.Sum(), To: to.Sum()}
	if from == nil {
		from = &Table{}
	}
	if to == nil {
		to = &Table{}
	}
	same := sameHomes(from, to)
	diffPages(&d, to, &from.v4, &to.v4, same, prefix4)
	diffPages(&d, to, &from.v6, &to.v6, same, prefix6)
	return d
}

// sameHomes returns a function that reports whether a home of from equals a home
// of to.
func sameHomes(from, to *Table) func(HomeID, HomeID) bool {
	set := newHomeSet(from.homes)
	ids := make([]HomeID, len(to.homes))
	found := make([]bool, len(to.homes))
	for i, h := range to.homes {
		ids[i], found[i] = set.ids[homeText(h)]
	}
	return func(a, b HomeID) bool { return found[b] && ids[b] == a }
}

// cursor iterates over the entries of one address family.
type cursor[K key] struct {
	pages []page[K]
	index int // index in pages[0]
}

// entry returns the entry under the cursor, or nil at the end.
func (c *cursor[K]) entry() *entry[K] {
	if len(c.pages) == 0 {
		return nil
	}
	return &c.pages[0].entries[c.index]
}

func (c *cursor[K]) next() {
	c.index++
	if c.index == len(c.pages[0].entries) {
		c.pages, c.index = c.pages[1:], 0
	}
}

// diffPages iterates over both tables of one address family in parallel and adds
// their differences to d.
func diffPages[K key](
	d *Delta, table *Table, from, to *pages[K], same func(HomeID, HomeID) bool, prefix func(K, uint8) netip.Prefix,
) {
	a, b := cursor[K]{pages: from.pages}, cursor[K]{pages: to.pages}
	for {
		x, y := a.entry(), b.entry()
		switch {
		case x == nil && y == nil:
			return
		case y == nil || x != nil && x.before(y):
			d.Remove = append(d.Remove, prefix(x.start, x.bits))
			a.next()
		case x == nil || y.before(x):
			d.Set = append(d.Set, Block{prefix(y.start, y.bits), table.Home(y.home)})
			b.next()
		default:
			if !same(x.home, y.home) {
				d.Set = append(d.Set, Block{prefix(y.start, y.bits), table.Home(y.home)})
			}
			a.next()
			b.next()
		}
	}
}
