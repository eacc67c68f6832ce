package limit

// Share returns how many of the slots at positions [first, first+slots) belong
// to the entry VM of the given rank among count, where position p belongs to
// rank p mod count. Over all ranks the shares add up to slots.
//
// The position of a target's first slot is the number of slots of the targets
// before it, so that even if targets have fewer slots than there are entry
// VMs, the parts of the VMs differ by at most one over the whole service.
func Share(slots, first, count, rank int) int {
	if count <= 1 {
		return slots
	}
	if slots <= 0 || rank < 0 || rank >= count {
		return 0
	}
	return slotsBelow(first+slots, count, rank) - slotsBelow(first, count, rank)
}

// slotsBelow returns the number of positions below p that belong to rank.
func slotsBelow(p, count, rank int) int {
	n := p / count
	if p%count > rank {
		n++
	}
	return n
}
