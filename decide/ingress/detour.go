package ingress

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
	"github.com/azurethread/azurethread/decide/verdict"
)

// While a VM cannot connect to targets itself (links), its requests to targets of its own
// region take a detour: a gateway sends them, as it does those to other regions.

// needsDetour reports whether requests go through other VMs, because this VM could not
// open a connection to a target since it last did.
func (r *Reducer) needsDetour() bool { return len(r.links.failed) > 0 && r.on(Detours) }

// linksDown reports whether this VM reaches no target itself.
func (r *Reducer) linksDown() bool { return r.links.down && r.on(Detours) }

// detourTo returns an entry VM that can forward q to any target: one of the own failure
// domain, of the own region, or else of another region in which q may be handled. It
// returns "" if there is none.
func (r *Reducer) detourTo(now clock.Time, q *request) fleet.VMID {
	for _, d := range r.detourDomains {
		region := r.opts.Regions[d]
		if region != r.region && len(q.allowedRegions) > 0 && !slices.Contains(q.allowedRegions, region) {
			continue
		}
		if id := r.availableGateway(now, d); id != "" {
			return id
		}
	}
	return ""
}

// detourDomains returns all failure domains in the order in which a VM looks for a
// detour. The order of those of the same distance differs between VMs.
func detourDomains(o Options) []fleet.Domain {
	var names []fleet.Domain
	for d := range o.Regions {
		names = append(names, d)
	}
	slices.Sort(names)
	names = rank.By(string(o.Self), names, func(d fleet.Domain) string { return string(d) })
	distance := func(d fleet.Domain) int {
		switch {
		case d == o.Domain:
			return 0
		case o.Regions[d] == o.Regions[o.Domain]:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(names, func(a, b fleet.Domain) int { return cmp.Compare(distance(a), distance(b)) })
	return names
}

// detourAfterFailure returns the gateway for an attempt whose target could not be
// connected to from here, "" if it is not sent there again. While the links are not known
// to be down, the failure may be the target's own: then another target is tried.
func (r *Reducer) detourAfterFailure(now clock.Time, a *attempt, v verdict.Verdict) fleet.VMID {
	if !r.linksDown() || v != verdict.NotRun || !now.Before(a.req.deadline) || !a.target.listed {
		return ""
	}
	return r.gatewayTo(now, a.req, a.target)
}

// rttOfSend returns the round-trip time in ns to where a is sent, and from there to its
// target.
func (r *Reducer) rttOfSend(a *attempt) float64 {
	rtt := r.rtt(a.target.region)
	if a.gateway == "" || !r.needsDetour() {
		return rtt
	}
	for i := range r.members {
		if m := &r.members[i]; m.ID == a.gateway && m.Region != a.target.region {
			return max(rtt, r.rtt(m.Region))
		}
	}
	return rtt
}
