// Package reader selects the source from which an entry VM learns of changes
// in the metadata store: the store itself, or another entry VM of its region
// that reads the store.
//
// The store counts each waiting watch as a call. If every VM reads it, a fleet
// of 59 makes about 1,800 calls a minute, most of which return no change. So
// in a large region a few VMs, the readers, read the store, and the others,
// the followers, poll the readers.
//
// A follower must be as up to date as a reader: the answer of a reader counts
// only if that reader has recently had an answer from the store itself, and a
// follower without such an answer reads the store until a reader can be polled
// again. So a network partition between two VMs, a reader that has crashed or a
// reader that the store refuses delays a change by PollTimeout at most, at the
// cost of more calls to the store.
package reader

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

const (
	// readersPerRegion is how many VMs of a region read the store: one may be
	// down and another cut off.
	readersPerRegion = 3
	// maxVMsAllReading is the number of VMs of a region up to which all read
	// the store: polling readers would save few calls and delay every change.
	maxVMsAllReading = 2 * readersPerRegion
	// PollInterval is the time between two polls. It equals the pause that a
	// reader makes after a change.
	PollInterval = 400 * time.Millisecond
	// PollTimeout is how long a reader may take to answer: inside a region it
	// takes a few milliseconds.
	PollTimeout = 300 * time.Millisecond
	// maxStoreAge is how old a reader's last answer from the store may be. A
	// watch without a change takes 2 s.
	maxStoreAge = 2700 * time.Millisecond
	// avoidTime is how long a reader that gave no fresh answer is not polled.
	avoidTime = 5 * time.Second
)

// Selector selects the source of changes for one entry VM and remembers which
// readers failed. The zero value avoids none. It is not safe for concurrent
// use.
type Selector struct {
	avoidedUntil map[fleet.VMID]clock.Time
}

// Source returns the VM to poll for changes; false: self reads the store.
func (s *Selector) Source(now clock.Time, self fleet.VM, members []fleet.VM) (fleet.VM, bool) {
	readers := readersOf(self.Region, members)
	isReader := slices.ContainsFunc(readers, func(vm fleet.VM) bool { return vm.ID == self.ID })
	if isReader {
		return fleet.VM{}, false
	}
	// Each follower has its own order, so that the polls are spread over the
	// readers. A reader of the follower's failure domain comes first, as its
	// answers cross no other domain.
	order := rank.By(string(self.ID), readers, vmName)
	slices.SortStableFunc(order, func(a, b fleet.VM) int { return cmp.Compare(distance(self, a), distance(self, b)) })
	for _, vm := range order {
		if !s.avoidedUntil[vm.ID].After(now) {
			return vm, true
		}
	}
	return fleet.VM{}, false
}

// readersOf returns the VMs of a region that read the store; none if all do.
func readersOf(region fleet.Region, members []fleet.VM) []fleet.VM {
	var own []fleet.VM
	for i := range members {
		if members[i].Region == region && members[i].State == fleet.Live {
			own = append(own, members[i])
		}
	}
	if len(own) <= maxVMsAllReading {
		return nil
	}
	return spreadOverDomains(append(rank.By("reader", fleet.Strong(own), vmName), rank.By("reader", own, vmName)...))
}

// spreadOverDomains returns the first readersPerRegion distinct VMs of an
// order, at most one per failure domain as long as other domains have any: if
// readers are lost together, their followers have to read the store.
func spreadOverDomains(order []fleet.VM) []fleet.VM {
	var chosen, rest []fleet.VM
	seen := make(map[fleet.VMID]bool)
	domains := make(map[fleet.Domain]bool)
	for _, vm := range order {
		switch {
		case seen[vm.ID]:
			continue
		case domains[vm.Domain]:
			rest = append(rest, vm)
		default:
			chosen = append(chosen, vm)
		}
		seen[vm.ID], domains[vm.Domain] = true, true
	}
	return append(chosen, rest...)[:readersPerRegion]
}

// distance is 0 inside a failure domain and 1 between two domains.
func distance(a, b fleet.VM) int {
	if a.Domain == b.Domain {
		return 0
	}
	return 1
}

func vmName(vm fleet.VM) string { return string(vm.ID) }

// Fresh reports whether an answer of a reader may be used whose own last answer
// from the store is of the given age.
func Fresh(age time.Duration) bool { return age <= maxStoreAge }

// Failed records that a reader gave no fresh answer.
func (s *Selector) Failed(now clock.Time, id fleet.VMID) {
	if s.avoidedUntil == nil {
		s.avoidedUntil = make(map[fleet.VMID]clock.Time)
	}
	for other, until := range s.avoidedUntil {
		if !until.After(now) {
			delete(s.avoidedUntil, other)
		}
	}
	s.avoidedUntil[id] = now.Add(avoidTime)
}
