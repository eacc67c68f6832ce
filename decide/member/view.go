package member

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/fleet"
)

// DomainView is this VM's view of one failure domain.
type DomainView struct {
	Region    fleet.Region
	Domain    fleet.Domain
	Reachable bool
	Live      int
	Leaving   int
	// VMs lists live entry VMs of the domain: all of the own domain, at most
	// MaxRowVMs of another one.
	VMs []fleet.VM
}

// Self returns this VM with its current state and incarnation.
func (s *State) Self() fleet.VM { return s.self.vm }

// Joined reports whether joining has ended: another member has answered, or
// none did within joinTimeout.
func (s *State) Joined() bool { return s.joined }

// Members appends every VM of the own domain that is not dead, this one
// included, in ring order.
func (s *State) Members(dst []fleet.VM) []fleet.VM {
	for _, r := range s.members {
		if !r.dead() {
			dst = append(dst, r.vm)
		}
	}
	return dst
}

// VM returns an entry VM of the own domain, which may be dead, or one that is
// listed in a row.
func (s *State) VM(id fleet.VMID) (fleet.VM, bool) {
	if r := s.byID[id]; r != nil {
		return r.vm, true
	}
	return s.findInRows(id)
}

// Domains appends a view of every known domain in order of name.
func (s *State) Domains(dst []DomainView) []DomainView {
	from := len(dst)
	dst = append(dst, s.ownView())
	for _, r := range s.rows {
		if r.row.Domain == s.self.vm.Domain {
			continue
		}
		v := DomainView{
			Region:    r.row.Region,
			Domain:    r.row.Domain,
			Reachable: s.domainReachable(r.row.Region, r.row.Domain),
			Live:      int(r.row.Live),
			Leaving:   int(r.row.Leaving),
		}
		for _, m := range r.row.offeredVMs() {
			v.VMs = append(v.VMs, r.row.fleetVM(m))
		}
		dst = append(dst, v)
	}
	slices.SortFunc(dst[from:], func(a, b DomainView) int { return cmp.Compare(a.Domain, b.Domain) })
	return dst
}

func (s *State) ownView() DomainView {
	v := DomainView{
		Region:    s.self.vm.Region,
		Domain:    s.self.vm.Domain,
		Reachable: true,
	}
	for _, r := range s.members {
		switch r.vm.State {
		case fleet.Live:
			v.Live++
			v.VMs = append(v.VMs, r.vm)
		case fleet.Leaving:
			v.Leaving++
		}
	}
	return v
}

// reportChanges adds to out what has changed since the last step.
func (s *State) reportChanges(out *Ready) {
	out.Superseded = s.superseded
	out.DutiesChanged = s.dutiesChanged()
	for _, r := range s.members {
		if !r.reported || r.reportedState != r.vm.State || r.reportedIncarnation != r.vm.Incarnation {
			r.reported, r.reportedState, r.reportedIncarnation = true, r.vm.State, r.vm.Incarnation
			out.Changed = append(out.Changed, r.vm)
		}
	}
	s.reportRemoteVMs(out)
}

// reportRemoteVMs reports the changes among the VMs that other domains offer.
func (s *State) reportRemoteVMs(out *Ready) {
	h := s.remoteHash()
	if h == s.reportedRemoteHash {
		return
	}
	s.reportedRemoteHash = h
	var next []fleet.VM
	for _, r := range s.rows {
		if r.row.Domain == s.self.vm.Domain {
			continue
		}
		state := fleet.Live
		if !s.domainReachable(r.row.Region, r.row.Domain) {
			state = fleet.Dead
		}
		for _, v := range r.row.offeredVMs() {
			vm := r.row.fleetVM(v)
			vm.State = state
			next = append(next, vm)
		}
	}
	slices.SortFunc(next, func(a, b fleet.VM) int { return cmp.Compare(a.ID, b.ID) })
	s.diffRemoteVMs(next, out)
	s.reportedRemoteVMs = next
}

func (s *State) diffRemoteVMs(next []fleet.VM, out *Ready) {
	i := 0
	for _, vm := range next {
		for i < len(s.reportedRemoteVMs) && s.reportedRemoteVMs[i].ID < vm.ID {
			out.Changed = append(out.Changed, asLeaving(s.reportedRemoteVMs[i]))
			i++
		}
		if i < len(s.reportedRemoteVMs) && s.reportedRemoteVMs[i].ID == vm.ID {
			if s.reportedRemoteVMs[i] != vm {
				out.Changed = append(out.Changed, vm)
			}
			i++
			continue
		}
		out.Changed = append(out.Changed, vm)
	}
	for ; i < len(s.reportedRemoteVMs); i++ {
		out.Changed = append(out.Changed, asLeaving(s.reportedRemoteVMs[i]))
	}
}

// asLeaving returns a VM as reported once its domain no longer offers it.
func asLeaving(vm fleet.VM) fleet.VM {
	vm.State = fleet.Leaving
	return vm
}

// remoteHash returns a hash that changes with any row and with the reachability
// of any domain. Comparing it is cheaper than comparing the VMs.
func (s *State) remoteHash() uint64 {
	var h uint64
	for _, r := range s.rows {
		v := r.hash
		if !s.domainReachable(r.row.Region, r.row.Domain) {
			v = ^v
		}
		h ^= mix(v)
	}
	return h + uint64(len(s.rows))
}
