package engine

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/load"
	"github.com/azurethread/azurethread/decide/machine"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/tally"
)

// peerMessage passes each part of a frame to the package that handles it.
func (e *Engine) peerMessage(now clock.Time, m *PeerMessage, out *Ready) {
	if m.Load != nil {
		e.loads.Step(now, &load.Received{From: m.From, Report: m.Load})
	}
	if m.Member != nil {
		e.stepMember(now, &member.Message{From: m.From, Incarnation: m.Incarnation, Msg: m.Member}, out)
	}
	if m.Config != nil {
		e.stepConfig(now, &config.PeerMessage{From: m.From, Msg: m.Config}, out)
	}
	if m.Tally != nil {
		e.stepTally(now, &tally.PeerMessage{From: m.From, Msg: m.Tally}, out)
	}
	if m.Machine != nil {
		e.stepMachine(now, &machine.PeerMessage{From: m.From, Msg: m.Machine}, out)
	}
}

// stepMember steps the membership and applies its changes to the other parts.
func (e *Engine) stepMember(now clock.Time, ev member.Event, out *Ready) {
	r := &e.memberReady
	e.member.Step(now, ev, r)
	e.wakeTimes.member = r.WakeAt
	for _, s := range r.Sends {
		out.Peers = append(out.Peers, PeerSend{To: s.To, Member: s.Msg, Load: e.loadReport(now, s.Scope)})
	}
	out.Superseded = out.Superseded || r.Superseded
	changed, dutiesChanged := len(r.Changed) > 0, r.DutiesChanged
	if !changed && !dutiesChanged {
		return
	}
	domains := e.member.Domains(nil)
	e.updateLoadFleet(now, domains)
	if changed {
		e.updateVMs(now, domains, out)
	}
}

// loadReport builds the load report that is sent with a membership message.
func (e *Engine) loadReport(now clock.Time, s member.Scope) *load.Report {
	if s == member.ScopeNone {
		return nil
	}
	return e.loads.Attach(now, loadScopes[s])
}

var loadScopes = [...]load.Scope{
	member.ScopeCollector:   load.ScopeCollector,
	member.ScopeMember:      load.ScopeMember,
	member.ScopePeer:        load.ScopePeer,
	member.ScopeRegion:      load.ScopeRegion,
	member.ScopeOtherRegion: load.ScopeOtherRegion,
}

// updateLoadFleet passes the failure domains and this VM's reporting duties to
// the load state.
func (e *Engine) updateLoadFleet(now clock.Time, domains []member.DomainView) {
	d := e.member.Duties()
	f := &load.Membership{Representative: d.Representative, Group: d.Group, Peers: d.Peers}
	for _, v := range domains {
		f.Domains = append(f.Domains, load.DomainOf{Region: v.Region, Domain: v.Domain})
	}
	e.loads.Step(now, f)
}

// updateVMs rebuilds the list of entry VMs and passes it to every part that
// uses it.
func (e *Engine) updateVMs(now clock.Time, domains []member.DomainView, out *Ready) {
	e.vms = e.vms[:0:0]
	for _, v := range domains {
		for _, vm := range v.VMs {
			if !v.Reachable {
				vm.State = fleet.Dead
			}
			e.vms = append(e.vms, vm)
		}
	}
	own := e.addLeavingMembers()
	slices.SortFunc(e.vms, func(a, b fleet.VM) int { return cmp.Compare(a.ID, b.ID) })
	out.VMs = e.vms
	out.EligibleForLease = e.eligibleForLease(domains)
	e.stepTally(now, &tally.FleetChanged{Domains: domains}, out)
	e.stepDispatch(now, e.domainPeers(), out)
	e.updateRemotes(now, domains, out)
	e.stepConfig(now, &config.Members{Members: e.configMembers()}, out)
	e.rebuildView(out)
	// This comes last: a machine list that comes into force steps the
	// membership again, and the older view of this call must not overwrite
	// the result.
	e.stepMachine(now, own, out)
}

// addLeavingMembers adds the leaving members of the VM's own failure domain to
// the list, because they still receive messages although look-ups no longer
// return them. It returns all members of the domain.
func (e *Engine) addLeavingMembers() *machine.Members {
	own := &machine.Members{}
	for _, vm := range e.member.Members(nil) {
		own.IDs = append(own.IDs, vm.ID)
		if vm.State == fleet.Leaving {
			e.vms = append(e.vms, vm)
		}
	}
	return own
}

func (e *Engine) configMembers() []config.Member {
	ms := make([]config.Member, 0, len(e.vms))
	for _, vm := range e.vms {
		ms = append(ms, config.Member{ID: vm.ID, Domain: vm.Domain, Incarnation: vm.Incarnation, State: vm.State})
	}
	return ms
}

// domainPeers returns the number of live entry VMs in this failure domain and
// the rank of this VM among them.
func (e *Engine) domainPeers() *dispatch.Peers {
	p := &dispatch.Peers{Count: 1}
	for _, vm := range e.vms {
		if vm.Domain != e.self.Domain || vm.State != fleet.Live || vm.ID == e.self.ID {
			continue
		}
		p.Count++
		if vm.ID < e.self.ID {
			p.Rank++
		}
	}
	return p
}

// stepConfig steps the distribution of the configuration and applies the
// catalogue that it accepts.
func (e *Engine) stepConfig(now clock.Time, ev config.Event, out *Ready) {
	r := &e.configReady
	e.config.Step(now, ev, r)
	e.wakeTimes.config = r.WakeAt
	for _, s := range r.Send {
		if vm, ok := e.findVM(s.To); ok {
			out.Peers = append(out.Peers, PeerSend{To: vm, Config: s.Msg})
		}
	}
	out.Watch = append(out.Watch, r.Watch...)
	out.Fetch = append(out.Fetch, r.Fetch...)
	out.Unwatch = append(out.Unwatch, r.Stop...)
	out.Restore = append(out.Restore, r.Restore...)
	for _, a := range r.Apply {
		e.apply(now, a.Catalogue, out)
	}
	e.updateReading(now, out)
}

func (e *Engine) findVM(id fleet.VMID) (fleet.VM, bool) {
	i, ok := slices.BinarySearchFunc(e.vms, id, func(v fleet.VM, id fleet.VMID) int { return cmp.Compare(v.ID, id) })
	if ok {
		return e.vms[i], true
	}
	return e.member.VM(id)
}

// apply puts a catalogue in force.
func (e *Engine) apply(now clock.Time, c *catalogue.Catalogue, out *Ready) {
	e.checkRevision(c, out)
	e.catalogue = c
	out.Catalogue = c
	clear(e.services)
	for _, s := range c.Services {
		e.services[s.Name] = s
	}
	e.stepDispatch(now, &dispatch.Services{List: c.Services}, out)
	e.applyShifts(now, c, out)
	e.rebuildView(out)
}

// checkRevision reports a violation unless the new catalogue has a higher
// revision than the one in force.
func (e *Engine) checkRevision(c *catalogue.Catalogue, out *Ready) {
	if e.catalogue == nil || c.Revision > e.catalogue.Revision {
		return
	}
	out.Dispatch.Violations = append(out.Dispatch.Violations, dispatch.Violation{
		Invariant: "revision-rises",
		Detail:    fmt.Sprintf("catalogue revision %d applied while revision %d is in force", c.Revision, e.catalogue.Revision),
	})
}

// stepMachine steps the distribution of the machine list and applies the list
// that it puts in force.
func (e *Engine) stepMachine(now clock.Time, ev machine.Event, out *Ready) {
	r := &e.machineReady
	e.machine.Step(now, ev, r)
	e.wakeTimes.machine = r.WakeAt
	e.watchMachineList = r.Watch
	for _, s := range r.Sends {
		if vm, ok := e.findVM(s.To); ok {
			out.Peers = append(out.Peers, PeerSend{To: vm, Machine: s.Msg})
		}
	}
	if r.Apply != nil {
		e.applyMachineList(now, r.Apply, out)
	}
}

// applyMachineList passes the targets of this failure domain to the dispatcher
// and the whole list to the membership.
func (e *Engine) applyMachineList(now clock.Time, l *fleet.List, out *Ready) {
	out.MachineList = l
	own := slices.DeleteFunc(slices.Clone(l.Targets), func(t fleet.Target) bool {
		return t.Domain != e.self.Domain
	})
	e.stepDispatch(now, &dispatch.Targets{List: own}, out)
	e.stepMember(now, &member.PlatformList{List: *l}, out)
}

// updateReading reports to the distribution of the machine list when this
// process starts or stops reading the platform for its failure domain.
func (e *Engine) updateReading(now clock.Time, out *Ready) {
	on := e.config.Status(now).Reading
	if on == e.reading {
		return
	}
	e.reading = on
	e.stepMachine(now, &machine.ReaderRole{On: on}, out)
}

// rebuildView rebuilds the view that answers look-ups, with and without
// traffic shifts.
func (e *Engine) rebuildView(out *Ready) {
	in := steer.Inputs{Self: e.self.Region, Blocks: e.blocks, VMs: e.vms, Weights: e.weights}
	if e.catalogue != nil {
		in.Running = runningRoutes(e.catalogue)
	}
	out.Unshifted = steer.New(in)
	out.View = out.Unshifted
	if e.table != nil {
		in.Shifts = e.table
		out.View = steer.New(in)
	}
}

// runningRoutes returns the routes of the running traffic shifts.
func runningRoutes(c *catalogue.Catalogue) []steer.Route {
	var rs []steer.Route
	for _, s := range c.Shifts {
		if s.State == catalogue.Running {
			rs = append(rs, steer.Route{Service: s.Service, From: s.From, To: s.To})
		}
	}
	return rs
}
