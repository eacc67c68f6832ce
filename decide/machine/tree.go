package machine

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/fleet"
)

// fanOut is the number of members that each member passes a push to.
const fanOut = 4

// children returns the members that self passes a push of root to. The order
// of the tree depends on the root.
func children(root, self fleet.VMID, members []fleet.VMID) []fleet.VMID {
	order := []fleet.VMID{root}
	for _, id := range members {
		if id != root {
			order = append(order, id)
		}
	}
	rest := order[1:]
	slices.SortFunc(rest, func(a, b fleet.VMID) int {
		return cmp.Or(cmp.Compare(place(root, a), place(root, b)), cmp.Compare(a, b))
	})
	at := slices.Index(order, self)
	if at < 0 {
		return nil
	}
	first := min(fanOut*at+1, len(order))
	return order[first:min(first+fanOut, len(order))]
}

func place(root, id fleet.VMID) uint64 {
	return xxhash.Sum64String(string(root) + "\x00" + string(id))
}
