package tally

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
)

// domain is a failure domain as membership sees it.
type domain struct {
	member.DomainView
	unreachableSince clock.Time // clock.Never while the domain is reachable
}

// lost reports whether the domain has been unreachable for at least after, so
// that its entry VMs are no longer waited for.
func (d *domain) lost(now clock.Time, after time.Duration) bool {
	return d.unreachableSince != clock.Never && now.Sub(d.unreachableSince) >= after
}

// expectedVMs returns the number of entry VMs whose figures are needed.
func (d *domain) expectedVMs(now clock.Time, after time.Duration) uint32 {
	if d.lost(now, after) {
		return 0
	}
	return uint32(d.Live)
}

// headForRound returns the entry VM to ask for the domain's figures in a round.
// Each round takes another one, so that a head that has died, or can't be
// reached from here, makes only its own round incomplete.
func (d *domain) headForRound(round uint64) (fleet.VMID, bool) {
	if !d.Reachable || len(d.VMs) == 0 {
		return "", false
	}
	n := min(len(d.VMs), member.MaxRowVMs)
	return d.VMs[round%uint64(n)].ID, true
}

// domains holds all known failure domains, in order of name.
type domains struct {
	all    []domain
	ownVMs []fleet.VMID // live entry VMs of the own domain
}

// update replaces the views. It reports whether a lost domain is reachable
// again.
func (f *domains) update(now clock.Time, lostAfter time.Duration, own fleet.Domain, views []member.DomainView) (returned bool) {
	next := make([]domain, 0, len(views))
	for _, v := range views {
		v.VMs = slices.Clone(v.VMs)
		d := domain{DomainView: v, unreachableSince: clock.Never}
		if !v.Reachable {
			d.unreachableSince = f.unreachableStart(now, v.Domain)
		} else if old := f.find(v.Domain); old != nil && old.lost(now, lostAfter) {
			returned = true
		}
		if v.Domain == own {
			f.ownVMs = f.ownVMs[:0]
			for i := range v.VMs {
				f.ownVMs = append(f.ownVMs, v.VMs[i].ID)
			}
		}
		next = append(next, d)
	}
	f.all = next
	return returned
}

func (f *domains) find(name fleet.Domain) *domain {
	for i := range f.all {
		if f.all[i].Domain == name {
			return &f.all[i]
		}
	}
	return nil
}

// unreachableStart returns when a domain that is unreachable now became so.
func (f *domains) unreachableStart(now clock.Time, name fleet.Domain) clock.Time {
	if d := f.find(name); d != nil {
		return clock.Min(d.unreachableSince, now)
	}
	return now
}

// regions returns all regions, in order of name.
func (f *domains) regions() []fleet.Region {
	var out []fleet.Region
	for i := range f.all {
		out = append(out, f.all[i].Region)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// regionState derives the state of a region from membership: live if a
// reachable domain of it has live entry VMs, otherwise leaving or dead. It
// reports false if that isn't known, since a domain of it is unreachable but
// not yet lost.
func (f *domains) regionState(now clock.Time, lostAfter time.Duration, r fleet.Region) (fleet.State, bool) {
	state, known := fleet.Dead, true
	for i := range f.all {
		d := &f.all[i]
		switch {
		case d.Region != r || d.lost(now, lostAfter):
		case !d.Reachable:
			known = false
		case d.Live > 0:
			return fleet.Live, true
		case d.Leaving > 0:
			state = fleet.Leaving
		}
	}
	return state, known
}
