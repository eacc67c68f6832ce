package enginetest

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// sampleInterval is the time between samples of the membership.
const sampleInterval = 100 * time.Millisecond

// minAgreementTime is how long the entry VMs of a domain must have agreed on
// the live members before the checks that depend on this agreement apply.
const minAgreementTime = 2 * time.Second

// agreement is the set of live members on which all entry VMs of a domain agree.
type agreement struct {
	live  []fleet.VMID
	since clock.Time // clock.Never if they disagree
}

// sampleAgreement updates, for each domain, the live members on which its entry
// VMs agree. If a VM leaves between two samples and the others already agree on
// the smaller set, this counts as a new agreement, because requests that the VM
// sent are still in flight.
func (ck *Checker) sampleAgreement() {
	seen := make(map[fleet.Domain]bool)
	for _, v := range ck.w.VMs {
		d := v.Location.Domain
		if seen[d] {
			continue
		}
		seen[d] = true
		live, ok := ck.liveAndAgreed(d)
		old, known := ck.agreements[d]
		switch {
		case !ok:
			ck.agreements[d] = agreement{since: clock.Never}
		case !known || !slices.Equal(old.live, live):
			ck.agreements[d] = agreement{live: live, since: ck.w.Now}
		}
	}
}

// agreedSince returns since when the entry VMs of a domain have agreed at each
// sample, and whether this is at least minAgreementTime ago.
func (ck *Checker) agreedSince(d fleet.Domain) (clock.Time, bool) {
	a, ok := ck.agreements[d]
	return a.since, ok && a.since != clock.Never && ck.w.Now.Sub(a.since) >= minAgreementTime
}

// stillAgreed reports whether the agreement of the last sample still holds. A VM
// that was paused since then has not processed its queued events, so it cannot
// refuse them.
func (ck *Checker) stillAgreed(d fleet.Domain) bool {
	live, ok := ck.liveAndAgreed(d)
	return ok && slices.Equal(live, ck.agreements[d].live)
}

// liveAndAgreed returns the live entry VMs of a domain, and whether every
// running one considers exactly these to be live.
func (ck *Checker) liveAndAgreed(d fleet.Domain) ([]fleet.VMID, bool) {
	var live []fleet.VMID
	for _, v := range ck.w.VMs {
		if v.Location.Domain == d && v.Up && !v.Leaving {
			live = append(live, v.Self.ID)
		}
	}
	for _, v := range ck.w.VMs {
		if v.Location.Domain != d || !v.Up {
			continue
		}
		if v.Paused || !slices.Equal(v.liveMembers(), live) {
			return nil, false
		}
	}
	return live, true
}
