package config

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

// Member is an entry VM in the membership list.
type Member struct {
	ID          fleet.VMID
	Domain      fleet.Domain
	Incarnation fleet.Incarnation
	State       fleet.State
}

// domainView holds the members of one failure domain that are not dead.
type domainView struct {
	name    fleet.Domain
	members []fleet.VMID // live and leaving
	ranked  []fleet.VMID // live, best rank first
}

// view is the membership in the form used by dissemination.
type view struct {
	self         fleet.VMID
	domain       domainView
	otherDomains []domainView                // sorted by name
	rank         int                         // of self among the live members of its domain; -1 while it is leaving
	children     map[fleet.VMID][]fleet.VMID // cached results of treeChildren, by root
}

// newView builds the view of self from the membership list. It always includes
// self, which the list may omit.
func newView(self Member, members []Member) view {
	byDomain := map[fleet.Domain][]Member{self.Domain: nil}
	for _, m := range members {
		if m.ID == self.ID {
			self.State = m.State
			continue
		}
		if m.State != fleet.Dead {
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	byDomain[self.Domain] = append(byDomain[self.Domain], self)
	v := view{self: self.ID, children: map[fleet.VMID][]fleet.VMID{}}
	for name, ms := range byDomain {
		if name == self.Domain {
			v.domain = newDomainView(name, ms)
			continue
		}
		v.otherDomains = append(v.otherDomains, newDomainView(name, ms))
	}
	slices.SortFunc(v.otherDomains, func(a, b domainView) int { return cmp.Compare(a.name, b.name) })
	v.rank = slices.Index(v.domain.ranked, self.ID)
	return v
}

func newDomainView(name fleet.Domain, ms []Member) domainView {
	d := domainView{name: name}
	for _, m := range ms {
		d.members = append(d.members, m.ID)
		if m.State == fleet.Live {
			d.ranked = append(d.ranked, m.ID)
		}
	}
	slices.Sort(d.members)
	d.members = slices.Compact(d.members)
	d.ranked = rank.Order(string(name), d.ranked)
	d.ranked = slices.Compact(d.ranked)
	return d
}

// readers returns the first ReadersPerDomain members by rank.
func (d domainView) readers() []fleet.VMID {
	return d.ranked[:min(ReadersPerDomain, len(d.ranked))]
}

// isDomainMember reports whether id is a known member of self's domain.
func (v *view) isDomainMember(id fleet.VMID) bool {
	_, found := slices.BinarySearch(v.domain.members, id)
	return found
}

// treeChildren returns the members to which self forwards a push of root. The
// order of the members in the tree depends on the root, so that the trees of a
// domain have different inner nodes. Other readers come last, as leaves: if a
// reader were the root of the second tree and an inner node of the first, its
// failure would cut the members below it off from both trees.
func (v *view) treeChildren(root fleet.VMID) []fleet.VMID {
	if c, ok := v.children[root]; ok {
		return c
	}
	c := v.computeChildren(root)
	v.children[root] = c
	return c
}

func (v *view) computeChildren(root fleet.VMID) []fleet.VMID {
	readers := v.domain.readers()
	inner := make([]fleet.VMID, 0, len(v.domain.members))
	order := []fleet.VMID{root}
	for _, id := range v.domain.members {
		if id != root && !slices.Contains(readers, id) {
			inner = append(inner, id)
		}
	}
	order = append(order, rank.Order(string(root), inner)...)
	for _, id := range readers {
		if id != root {
			order = append(order, id)
		}
	}
	return rank.Children(order, v.self, TreeFanOut)
}
