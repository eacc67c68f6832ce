package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// A target may become cold at any moment without a restart, for instance while its failure
// domain is evacuated. Its registration says so, and the evacuation is in the store. A VM that
// has had no word of the store for some time knows of neither, and would send it more requests
// than it bears. Only the target's health page can tell then. The coordinator of a service in
// a region, which places the requests of all VMs there, reads the pages of its targets for as
// long as its copy of the store is old, and tells the others. What a page states is believed
// only as far as it keeps requests from the target, so it needs no proof.

// HealthCheckInterval is the interval between two reads of a target's health page.
const HealthCheckInterval = 500 * time.Millisecond

// checkHealth requests the health pages of the targets at which this VM places the requests of
// its region.
func (r *Reducer) checkHealth() {
	if r.table == nil {
		return
	}
	placed := r.servicesWith(func(s *service) bool { return r.coordinator(r.region, s.name) == r.opts.Self })
	for _, s := range placed {
		path := r.table.Config.Services[s.name].HealthPath
		if path == "" {
			continue
		}
		for _, t := range s.targets {
			if t.listed && r.isLocal(t) {
				r.out.HealthChecks = append(r.out.HealthChecks, HealthCheck{
					Target: t.ID, StartedAt: t.StartedAt, Addr: t.Addr, Path: path,
					ConnectTimeout: connectTimeout(r.rtt(t.region)),
				})
			}
		}
	}
}

// healthRead applies what a target's health page states.
func (r *Reducer) healthRead(now clock.Time, ev *HealthRead) {
	t := r.instanceOf(ev.Target, ev.StartedAt)
	if t == nil || !r.becomeCold(now, t, ev.Cold) {
		return
	}
	m := &TargetCold{Target: t.ID, StartedAt: t.StartedAt, Left: ev.Cold}
	for i := range r.members {
		vm := &r.members[i]
		if vm.ID != r.opts.Self && (vm.Region == r.region || vm.ID == r.coordinator(vm.Region, t.Service)) {
			r.sendMessage(vm.ID, m)
		}
	}
}

// coldAnnounced applies what another VM has read of a target's health page.
func (r *Reducer) coldAnnounced(now clock.Time, m *TargetCold) {
	if t := r.instanceOf(m.Target, m.StartedAt); t != nil {
		r.becomeCold(now, t, m.Left)
	}
}

// becomeCold records that t is cold although its registration does not say so, for as long as
// targets of its service are cold at most. It reports false if that is known or not so.
func (r *Reducer) becomeCold(now clock.Time, t *targetState, left time.Duration) bool {
	left = min(left, r.coldTime(t.Service))
	if left <= 0 || t.cold(now) {
		return false
	}
	t.coldUntil = now.Add(left)
	t.coldStarts++
	r.out.StateChanges = append(r.out.StateChanges, TargetStateChange{Target: t.ID, Change: "states that it is cold", Until: t.coldUntil, Stated: left})
	r.updateListing(now, t)
	return true
}
