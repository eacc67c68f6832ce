package ingress

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/target"
)

// Status summarises the reducer's state for metrics.
type Status struct {
	Requests   int                                 `json:"requests"` // without a final answer
	Jobs       int                                 `json:"jobs"`     // places taken or waited for
	Placements int                                 `json:"asks"`     // requests not answered by coordinators
	Timers     int                                 `json:"timers"`
	Services   map[fleet.ServiceName]ServiceStatus `json:"services"`
	// Suspects is the number of fingerprints whose requests are known to have been
	// under way at a target that crashed; Quarantined is the number of those that
	// are kept away from targets.
	// LinksDown means that this VM reaches no target itself. Detours counts its requests
	// to targets of its region that went through other VMs.
	LinksDown   bool   `json:"links_down"`
	Detours     uint64 `json:"detours"`
	Suspects    int    `json:"suspects"`
	Quarantined int    `json:"quarantined"`
	// Accounts are the busiest limited accounts whose requests this VM places.
	Accounts map[route.AccountName]AccountStatus `json:"accounts"`
}

// AccountStatus summarises the state of one limited account at this VM.
type AccountStatus struct {
	PerSecond float64 `json:"per_second"` // the account's quota
	OwnRate   float64 `json:"own_rate"`   // tokens that this VM issues per second
	OwnDepth  float64 `json:"own_depth"`  // tokens that it may save up
	Tokens    float64 `json:"tokens"`
	Demand    float64 `json:"demand"` // requests per second
	Admitted  uint64  `json:"admitted"`
	OverQuota uint64  `json:"over_quota"`
}

// maxAccountStatus is how many accounts Status contains.
const maxAccountStatus = 20

// ServiceStatus summarises the state of one service.
type ServiceStatus struct {
	Targets  int `json:"targets"`
	Draining int `json:"draining"`
	Cold     int `json:"cold"`
	Ejected  int `json:"ejected"`
	Limited  int `json:"limited"` // with a rate limit
	// LimitedPlaced and LimitedSent are the requests that this entry VM has placed
	// at, and has sent to, targets of which it knew a rate limit. A request that is
	// placed without that knowledge is in the second only, over all VMs.
	LimitedPlaced uint64  `json:"limited_placed"`
	LimitedSent   uint64  `json:"limited_sent"`
	Leaving       int     `json:"leaving"`   // that say so in their answers
	BackOff       int     `json:"back_off"`  // that have asked for a backoff
	InFlight      int     `json:"in_flight"` // placed by this entry VM
	Waiting       int     `json:"waiting"`   // for a target
	Retries       float64 `json:"repeats"`   // that the budget pays for
}

// Status returns a summary of r's state.
func (r *Reducer) Status(now clock.Time) Status {
	st := Status{
		Requests: len(r.requests), Jobs: len(r.jobs), Placements: len(r.placements), Timers: r.timers.Len(),
		LinksDown: r.links.down, Detours: r.links.detours, Suspects: r.quarantine.Len(), Quarantined: r.quarantine.QuarantinedCount(),
		Services: make(map[fleet.ServiceName]ServiceStatus, len(r.services)),
	}
	for name, s := range r.services {
		v := ServiceStatus{
			Targets: len(s.targets), Waiting: s.waiting.Len(), Retries: s.retryBudget.tokens,
			LimitedPlaced: s.limitedPlaced, LimitedSent: s.limitedSent,
		}
		for _, t := range s.targets {
			v.InFlight += t.inFlight
			v.Draining += count(t.Draining)
			v.Cold += count(t.cold(now))
			v.Limited += count(t.limit.active)
			v.Leaving += count(t.availability.Leaving())
			v.BackOff += count(t.availability.BackingOff())
			v.Ejected += count(t.standing.State() == target.Ejected)
		}
		st.Services[name] = v
	}
	st.Accounts = r.accountStatus(now)
	return st
}

// accountStatus returns the state of the busiest accounts.
func (r *Reducer) accountStatus(now clock.Time) map[route.AccountName]AccountStatus {
	list := slices.Clone(r.accountList)
	slices.SortStableFunc(list, func(a, b *accountState) int {
		return cmp.Compare(b.charged+b.refused, a.charged+a.refused)
	})
	out := make(map[route.AccountName]AccountStatus)
	for _, s := range list[:min(len(list), maxAccountStatus)] {
		a, _ := r.limitedAccount(s.name)
		if a == nil {
			continue
		}
		own := r.ownBudget(a)
		out[s.name] = AccountStatus{
			PerSecond: a.Quota.PerSecond, OwnRate: own.Rate, OwnDepth: own.Depth, Tokens: s.bucket.Tokens(now),
			Demand: s.demand.PerSecond(now), Admitted: s.charged, OverQuota: s.refused,
		}
	}
	return out
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// Bounds returns the operators' limits in force.
func (r *Reducer) Bounds() Bounds { return r.opts.Bounds }
