package limit

// Share returns how many of the slots at positions [first, first+slots)
// belong to the entry VM of the given rank among count, when position p
// belongs to rank p mod count. Over all ranks the shares add up to slots.
//
// The position of a target's first slot is the number of slots of the targets
// before it, so that with fewer slots a target than entry VMs the VMs still
// get parts that differ by one at most over the whole service.
func Share(slots, first, count, rank int) int {
	if count <= 1 {
		return slots
	}
	if slots <= 0 || rank < 0 || rank >= count {
		return 0
	}
	return slotsBelow(first+slots, count, rank) - slotsBelow(first, count, rank)
}

// slotsBelow counts the positions under p that belong to rank.
func slotsBelow(p, count, rank int) int {
	n := p / count
	if p%count > rank {
		n++
	}
	return n
}
