package ingress

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Until the lease of a coordinator that has died ends, it is named all the same.
// Entry VMs that find it silent turn to the next one in line, the same for all
// of them: if each placed its own requests, as it does where nobody is left to
// ask, none would count those of the others.

// silence is that of a coordinator or gateway that did not answer in time.
type silence struct {
	until clock.Time // it is not asked before
	// probe is the one ask that finds out whether it answers again; 0: none is
	// under way. With all asks put to it, those of a third of a second would
	// wait for a dead VM once a second.
	probe askNumber
}

// askNumber numbers what a VM is asked for: an AskID of a coordinator, or the
// AttemptID of a request that a gateway is to carry.
type askNumber uint64

// mostAsked is how many in line are asked at most: beyond two it is likely to be
// this VM that is cut off.
const mostAsked = 2

// placer returns the entry VM that is to place a request for a service in this
// VM's region: the first in line that is not silent. It returns "" if there is
// none to ask.
func (r *Reducer) placer(now clock.Time, s fleet.ServiceName) fleet.VMID {
	line := r.line(r.region, s)
	for _, id := range line[:min(len(line), mostAsked)] {
		if r.askable(now, id) {
			return id
		}
	}
	return ""
}

func (r *Reducer) askable(now clock.Time, id fleet.VMID) bool {
	s, silent := r.silent[id]
	return !silent || (s.probe == 0 && !s.until.After(now))
}

// noteAsk makes an ask the probe of a silent VM.
func (r *Reducer) noteAsk(to fleet.VMID, id askNumber) {
	if s, silent := r.silent[to]; silent {
		s.probe = id
	}
}

// noteWithdrawn ends a probe that will have no answer.
func (r *Reducer) noteWithdrawn(to fleet.VMID, id askNumber) {
	if s, silent := r.silent[to]; silent && s.probe == id {
		s.probe = 0
	}
}

// noteSilent notes that a VM has not answered in time.
func (r *Reducer) noteSilent(now clock.Time, id fleet.VMID) {
	r.silent[id] = &silence{until: now.Add(avoidFor)}
}

// noteHeard notes that a VM has answered an ask.
func (r *Reducer) noteHeard(id fleet.VMID) { delete(r.silent, id) }

// forgetUnlisted forgets the silence of VMs that are not listed: one that is
// listed again is another process.
func (r *Reducer) forgetUnlisted() {
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
