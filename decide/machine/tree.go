package machine

import (
	"slices"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

// fanOut is the number of members that each member forwards a push to.
const fanOut = 4

// children returns the members that self forwards a push of root to. The order
// of members in a tree depends on its root, so that different trees have
// different inner members.
func children(root, self fleet.VMID, members []fleet.VMID) []fleet.VMID {
	others := slices.DeleteFunc(slices.Clone(members), func(id fleet.VMID) bool { return id == root })
	order := append([]fleet.VMID{root}, rank.Order(string(root), others)...)
	return rank.Children(order, self, fanOut)
}
