package ingress

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
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
	Suspects    int `json:"suspects"`
	Quarantined int `json:"quarantined"`
}

// ServiceStatus summarises the state of one service.
type ServiceStatus struct {
	Targets  int     `json:"targets"`
	Draining int     `json:"draining"`
	Cold     int     `json:"cold"`
	Ejected  int     `json:"ejected"`
	Limited  int     `json:"limited"`   // with a rate limit
	InFlight int     `json:"in_flight"` // placed by this entry VM
	Waiting  int     `json:"waiting"`   // for a target
	Retries  float64 `json:"repeats"`   // that the budget pays for
}

// Status returns a summary of r's state.
func (r *Reducer) Status(now clock.Time) Status {
	st := Status{
		Requests: len(r.requests), Jobs: len(r.jobs), Placements: len(r.placements), Timers: r.timers.Len(),
		Suspects: r.quarantine.Len(), Quarantined: r.quarantine.QuarantinedCount(),
		Services: make(map[fleet.ServiceName]ServiceStatus, len(r.services)),
	}
	for name, s := range r.services {
		v := ServiceStatus{Targets: len(s.targets), Waiting: s.waiting.Len(), Retries: s.retryBudget.tokens}
		for _, t := range s.targets {
			v.InFlight += t.inFlight
			v.Draining += count(t.Draining)
			v.Cold += count(t.cold(now))
			v.Limited += count(t.limit.active)
			v.Ejected += count(t.standing.State() == target.Ejected)
		}
		st.Services[name] = v
	}
	return st
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// Bounds returns the operators' limits in force.
func (r *Reducer) Bounds() Bounds { return r.opts.Bounds }
