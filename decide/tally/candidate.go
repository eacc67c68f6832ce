package tally

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
)

// DefaultCandidates is the number of entry VMs that may try to acquire the
// runner's lease.
const DefaultCandidates = 2

// Candidate returns the entry VM that should run the shifts, or an empty id if
// no domain is reachable.
func Candidate(domains []member.DomainView) fleet.VMID {
	ids := Candidates(domains, 1)
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

// Candidates returns the n entry VMs of highest rank for running the shifts.
// Of each domain only the first member.MaxRowVMs are ranked, which every view
// holds. The view of the own domain holds more; ranking those too would make
// each domain prefer its own.
func Candidates(domains []member.DomainView, n int) []fleet.VMID {
	var ids []fleet.VMID
	for i := range domains {
		if !domains[i].Reachable {
			continue
		}
		for _, vm := range domains[i].VMs[:min(len(domains[i].VMs), member.MaxRowVMs)] {
			ids = append(ids, vm.ID)
		}
	}
	slices.SortFunc(ids, func(a, b fleet.VMID) int {
		return cmp.Or(cmp.Compare(runnerRank(b), runnerRank(a)), cmp.Compare(a, b))
	})
	ids = slices.Compact(ids)
	return ids[:min(n, len(ids))]
}

func runnerRank(id fleet.VMID) uint64 { return xxhash.Sum64String("shift-runner:" + string(id)) }
