package shift

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Table returns the region to which shifts move a client block. It is
// immutable and safe for concurrent use.
type Table struct {
	routes map[fleet.Region][]route
}

// route is one moving shift in the form that look-ups use.
type route struct {
	id      string
	service fleet.ServiceName // empty: every service
	to      fleet.Region      // empty: every other region
	salt    salt
	share   catalogue.Share
}

// NewTable builds the table of the shifts of c that move traffic.
func NewTable(c *catalogue.Catalogue) *Table {
	t := &Table{routes: make(map[fleet.Region][]route)}
	for _, s := range moving(c) {
		if s.Share == 0 {
			continue
		}
		r := route{id: s.ID, service: s.Service, to: s.To, salt: saltOf(s.ID), share: s.Share}
		t.routes[s.From] = append(t.routes[s.From], r)
	}
	return t
}

// Region returns the region to which the client block, at home in the given
// region, is moved for a service, and the shift that moves it. If moved is true
// and to is empty, the block goes to any other region, by weight. It allocates
// nothing.
func (t *Table) Region(service fleet.ServiceName, home fleet.Region, block uint64) (to fleet.Region, shiftID string, moved bool) {
	for i := range t.routes[home] {
		r := &t.routes[home][i]
		if r.service != "" && r.service != service {
			continue
		}
		if r.salt.position(block) < r.share {
			return r.to, r.id, true
		}
	}
	return "", "", false
}

// moving returns the shifts of c that move traffic, in the order of their ids.
// Shifts take blocks and headroom in this order.
func moving(c *catalogue.Catalogue) []catalogue.Shift {
	if c == nil {
		return nil
	}
	var out []catalogue.Shift
	for _, s := range c.Shifts {
		if s.State.Moves() {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b catalogue.Shift) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
