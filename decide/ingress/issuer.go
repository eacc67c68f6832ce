package ingress

import (
	"maps"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quota"
	"github.com/azurethread/azurethread/decide/route"
)

// Quota tokens are issued by the strong VMs, from which coordinators are chosen, in
// equal parts. A weak VM places requests only while it reaches no coordinator; a
// small part of the budget is set aside for that.

const (
	// isolatedShare is the part of the budget of an account that the weak VMs
	// issue, and isolatedVMs the part of them that is assumed to place requests
	// itself at the same time. If more of them do, they are cut off from strong VMs,
	// which then get only their own callers' requests and use little of their part.
	isolatedShare = 0.2
	isolatedVMs   = 0.4
	// isolatedDepth is how many tokens a weak VM may save up.
	isolatedDepth = 2
	// isolatedGap is the longest time between two requests that a weak VM places
	// itself in one period without a coordinator.
	isolatedGap = time.Second
	// issuerTTL is how long a VM that is no longer a member keeps its part of the
	// budgets: it may be cut off and still issue tokens.
	issuerTTL = time.Minute
)

// issuers are the VMs that issue tokens.
type issuers struct {
	seen         map[fleet.VMID]issuer
	strong, weak int
	selfStrong   bool
}

// issuer is an entry VM that is a member, or was until recently.
type issuer struct {
	vm     fleet.VM
	seenAt clock.Time
}

// isolation is the time during which a weak VM placed requests itself.
type isolation struct {
	total time.Duration
	last  clock.Time // of the last request that it placed itself; 0: none
}

func (i *isolation) extend(now clock.Time) {
	if gap := now.Sub(i.last); i.last != 0 && gap < isolatedGap {
		i.total += gap
	}
	i.last = now
}

// updateIssuers applies a new list of members.
func (r *Reducer) updateIssuers(now clock.Time) {
	if r.issuers.seen == nil {
		r.issuers.seen = make(map[fleet.VMID]issuer)
	}
	for i := range r.members {
		r.issuers.seen[r.members[i].ID] = issuer{vm: r.members[i], seenAt: now}
	}
	var vms []fleet.VM
	for _, id := range slices.Sorted(maps.Keys(r.issuers.seen)) {
		if x := r.issuers.seen[id]; now.Sub(x.seenAt) <= issuerTTL {
			vms = append(vms, x.vm)
		} else {
			delete(r.issuers.seen, id)
		}
	}
	maps.DeleteFunc(r.tokenSilent, func(id fleet.VMID, _ clock.Time) bool { _, seen := r.issuers.seen[id]; return !seen })
	strong := fleet.Strong(vms)
	r.issuers.strong, r.issuers.weak = len(strong), len(vms)-len(strong)
	r.issuers.selfStrong = slices.ContainsFunc(strong, func(v fleet.VM) bool { return v.ID == r.opts.Self })
	for _, s := range r.accountList {
		if a := r.table.Account(s.name); a != nil {
			s.bucket.SetBudget(now, r.ownBudget(a))
		}
	}
}

// ownBudget returns the part of an account's budget that this VM issues.
func (r *Reducer) ownBudget(a *route.Account) quota.Budget {
	b := r.budgetOf(a)
	switch {
	case !r.issuers.selfStrong || r.issuers.strong == 0:
		return quota.Budget{Depth: b.Depth * r.strongPart()} // holds tokens of others
	case r.issuers.weak == 0:
		return b.Part(1 / float64(r.issuers.strong))
	}
	p := b.Part((1 - isolatedShare) / float64(r.issuers.strong))
	p.Depth = b.Depth * r.strongPart()
	return p
}

// strongPart returns the part of the depth of budgets that one VM may save up.
func (r *Reducer) strongPart() float64 { return 1 / float64(max(r.issuers.strong, 1)) }

func (r *Reducer) budgetOf(a *route.Account) quota.Budget {
	return r.opts.Bounds.Quota.Budget(a.Quota.PerSecond, a.Quota.Burst)
}

// takeIsolated takes a token that is set aside for a weak VM which places its own
// requests.
func (r *Reducer) takeIsolated(now clock.Time, a *route.Account, s *accountState) bool {
	r.isolation.extend(now)
	rate := r.budgetOf(a).Rate * isolatedShare / max(isolatedVMs*float64(r.issuers.weak), 1)
	s.isolated = min(s.isolated+rate*(r.isolation.total-s.isolatedFor).Seconds(), max(isolatedDepth, rate))
	s.isolatedFor = r.isolation.total
	if s.isolated < 1 {
		return false
	}
	s.isolated--
	return true
}
