package member

import (
	"cmp"

	"github.com/azurethread/azurethread/decide/fleet"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func hashString(h uint64, s string) uint64 {
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// mix is the finaliser of splitmix64. It makes ids that differ only in the last
// letter get unrelated ranks.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// rank is the position of a VM in the ring of its domain, the same at every VM.
func rank(id fleet.VMID) uint64 {
	return mix(hashString(fnvOffset, string(id)))
}

func compareRecords(a, b *record) int {
	if c := cmp.Compare(a.rank, b.rank); c != 0 {
		return c
	}
	return cmp.Compare(a.vm.ID, b.vm.ID)
}

// repCount returns the number of representatives of a domain with n live VMs:
// about the square root of n, since each of them exchanges messages with all
// others and collects from an equal part of the remaining VMs.
func repCount(n int) int {
	root := 0
	for root*root < n {
		root++
	}
	return min(n, max(minReps, min(maxReps, root)))
}
