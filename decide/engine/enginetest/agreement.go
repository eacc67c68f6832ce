package enginetest

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// sampleInterval is the time between two looks at the membership.
const sampleInterval = 100 * time.Millisecond

// minAgreementTime is how long the entry VMs of a domain must have agreed on who
// they are before the bounds that rest on it are asserted.
const minAgreementTime = 2 * time.Second

// agreement is what the entry VMs of a domain believe, all of them alike.
type agreement struct {
	live  []fleet.VMID
	since clock.Time // Never: they differ
}

// sampleAgreement looks at who the entry VMs of each domain believe to be live. Where
// one has left, the others may agree again between two samples, on fewer; that
// begins anew, as what it had sent is still in flight.
func (b *Checker) sampleAgreement() {
	seen := make(map[fleet.Domain]bool)
	for _, v := range b.w.VMs {
		d := v.Location.Domain
		if seen[d] {
			continue
		}
		seen[d] = true
		live, ok := b.liveAndAgreed(d)
		old, known := b.agreements[d]
		switch {
		case !ok:
			b.agreements[d] = agreement{since: clock.Never}
		case !known || !slices.Equal(old.live, live):
			b.agreements[d] = agreement{live: live, since: b.w.Now}
		}
	}
}

// agreedSince reports since when the entry VMs of a domain agree, if for long, as
// the last sample found.
func (b *Checker) agreedSince(d fleet.Domain) (clock.Time, bool) {
	a, ok := b.agreements[d]
	return a.since, ok && a.since != clock.Never && b.w.Now.Sub(a.since) >= minAgreementTime
}

// stillAgreed reports whether what the last sample found is so now. One that has
// been paused since has not seen what waits for it, and can't refuse it.
func (b *Checker) stillAgreed(d fleet.Domain) bool {
	live, ok := b.liveAndAgreed(d)
	return ok && slices.Equal(live, b.agreements[d].live)
}

// liveAndAgreed returns the live entry VMs of a domain, and whether all of them name
// these as live and no others.
func (b *Checker) liveAndAgreed(d fleet.Domain) ([]fleet.VMID, bool) {
	var live []fleet.VMID
	for _, v := range b.w.VMs {
		if v.Location.Domain == d && v.Up && !v.Leaving {
			live = append(live, v.Self.ID)
		}
	}
	for _, v := range b.w.VMs {
		if v.Location.Domain != d || !v.Up {
			continue
		}
		if v.Paused || !slices.Equal(v.liveMembers(), live) {
			return nil, false
		}
	}
	return live, true
}
