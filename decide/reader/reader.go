// Package reader decides from where an entry VM learns what changes in the
// metadata store: from the store itself, or from another entry VM of its region
// that reads it.
//
// The store counts each waiting watch as a call. Read by every VM, it costs a
// fleet of 59 about 1,800 calls a minute, most of which say nothing. So in a
// large region a few VMs read, and the others ask them.
//
// A VM that follows must not be worse informed than one that reads: a word
// counts only while its reader has itself heard from the store lately, and a
// follower without such a word reads the store until the reader is to be trusted
// again. So a cut between two VMs, a reader that has died or one that the store
// turns away delay a change by askTimeout at most, and cost calls, nothing else.
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
	// readersPerRegion is how many VMs of a region read: one may be down and another
	// cut off.
	readersPerRegion = 3
	// maxVMsAllReading is the number of VMs of a region up to which all read: the calls
	// saved there are worth less than the shorter way.
	maxVMsAllReading = 2 * readersPerRegion
	// PollInterval is the time between two asks, as long as the pause that a reader
	// makes after a change.
	PollInterval = 400 * time.Millisecond
	// PollTimeout is how long a reader may take for its word: inside a region it
	// takes a few milliseconds.
	PollTimeout = 300 * time.Millisecond
	// maxStoreAge is how long ago a reader may have heard from the store. A watch
	// without news takes 2 s.
	maxStoreAge = 2700 * time.Millisecond
	// avoidTime is how long a reader without a fresh word is not asked.
	avoidTime = 5 * time.Second
)

// Selector is what one entry VM has learned of its region's readers. The zero
// value trusts all. It is not safe for concurrent use.
type Selector struct {
	avoidedUntil map[fleet.VMID]clock.Time // until when
}

// Source returns the VM to ask for changes; false: self is to read the store.
func (c *Selector) Source(now clock.Time, self fleet.VM, members []fleet.VM) (fleet.VM, bool) {
	readers := readersOf(self.Region, members)
	isReader := slices.ContainsFunc(readers, func(vm fleet.VM) bool { return vm.ID == self.ID })
	if isReader {
		return fleet.VM{}, false
	}
	// Each follower has its own order, so that the readers share the asks, but
	// for one of its own failure domain: words from there cross no other.
	order := rank.By(string(self.ID), readers, vmName)
	slices.SortStableFunc(order, func(a, b fleet.VM) int { return cmp.Compare(distance(self, a), distance(self, b)) })
	for _, vm := range order {
		if !c.avoidedUntil[vm.ID].After(now) {
			return vm, true
		}
	}
	return fleet.VM{}, false
}

// readersOf returns the VMs of a region that read; none if all do.
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

// spreadOverDomains returns the first perRegion different VMs of an order, and of these at
// most one of a failure domain as long as other domains have any: readers that
// are lost together leave their followers to the store.
func spreadOverDomains(order []fleet.VM) []fleet.VM {
	var chosen, rest []fleet.VM
	named := make(map[fleet.VMID]bool)
	domains := make(map[fleet.Domain]bool)
	for _, vm := range order {
		switch {
		case named[vm.ID]:
			continue
		case domains[vm.Domain]:
			rest = append(rest, vm)
		default:
			chosen = append(chosen, vm)
		}
		named[vm.ID], domains[vm.Domain] = true, true
	}
	return append(chosen, rest...)[:readersPerRegion]
}

// distance is 0 inside a failure domain and 1 between two.
func distance(a, b fleet.VM) int {
	if a.Domain == b.Domain {
		return 0
	}
	return 1
}

func vmName(vm fleet.VM) string { return string(vm.ID) }

// Fresh reports whether the word of a reader that heard from the store age ago
// may be relied upon.
func Fresh(age time.Duration) bool { return age <= maxStoreAge }

// Failed notes that a reader gave no fresh word.
func (c *Selector) Failed(now clock.Time, id fleet.VMID) {
	if c.avoidedUntil == nil {
		c.avoidedUntil = make(map[fleet.VMID]clock.Time)
	}
	for other, until := range c.avoidedUntil {
		if !until.After(now) {
			delete(c.avoidedUntil, other)
		}
	}
	c.avoidedUntil[id] = now.Add(avoidTime)
}
