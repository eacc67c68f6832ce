package ingress

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// A coordinator that has crashed stays a member until its lease ends. Entry VMs
// that find it silent use the next VM in the order of coordinators as standby, and
// all of them use the same one. If each placed its own requests instead, as it does
// when no VM is left to ask, none would count the requests of the others.

// silentVM is the state of a coordinator or gateway that did not answer in time.
type silentVM struct {
	retryAt clock.Time // it is not asked before
	// probe is the single request that checks whether the VM answers again; 0:
	// none is under way. If all requests were sent to a dead VM again after each
	// avoidPeriod, those of a third of a second would wait for it each time.
	probe probeID
}

// probeID is the number of what a VM was asked for: a PlacementID at a
// coordinator, or the AttemptID of a request that a gateway is to forward.
type probeID uint64

// maxStandby is how many VMs of an order are asked at most. If two of them are
// silent, it is probably this VM that is cut off.
const maxStandby = 2

// activeCoordinator returns the entry VM that places requests for a service in
// this VM's region: the first of the coordinator order that is not silent. It
// returns "" if there is none to ask.
func (r *Reducer) activeCoordinator(now clock.Time, s fleet.ServiceName) fleet.VMID {
	order := r.coordinatorOrder(r.region, s)
	for _, id := range order[:min(len(order), maxStandby)] {
		if r.isAvailable(now, id) {
			return id
		}
	}
	return ""
}

func (r *Reducer) isAvailable(now clock.Time, id fleet.VMID) bool {
	s, silent := r.silent[id]
	return !silent || (s.probe == 0 && !s.retryAt.After(now))
}

// startProbe makes a request to a silent VM its probe.
func (r *Reducer) startProbe(to fleet.VMID, id probeID) {
	if s, silent := r.silent[to]; silent {
		s.probe = id
	}
}

// endProbe ends a probe that will get no answer.
func (r *Reducer) endProbe(to fleet.VMID, id probeID) {
	if s, silent := r.silent[to]; silent && s.probe == id {
		s.probe = 0
	}
}

// markSilent records that a VM has not answered in time.
func (r *Reducer) markSilent(now clock.Time, id fleet.VMID) {
	r.silent[id] = &silentVM{retryAt: now.Add(avoidPeriod)}
}

// markResponsive records that a VM has answered.
func (r *Reducer) markResponsive(id fleet.VMID) { delete(r.silent, id) }

// forgetRemovedVMs drops the silent state of VMs that are no longer members: one
// that is listed again is a new process.
func (r *Reducer) forgetRemovedVMs() {
	listed := make(map[fleet.VMID]bool, len(r.members))
	for i := range r.members {
		listed[r.members[i].ID] = true
	}
	for id := range r.silent {
		if !listed[id] {
			delete(r.silent, id)
		}
	}
}
