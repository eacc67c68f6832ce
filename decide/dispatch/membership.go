package dispatch

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/limit"
	"github.com/azurethread/azurethread/decide/retry"
	"github.com/azurethread/azurethread/decide/target"
)

// Slots and connections of a target that states none.
const (
	defaultSlots       = 1
	defaultConnections = 330
)

// service returns the service with the given name and creates it if needed.
func (s *State) service(name fleet.ServiceName) *service {
	if svc := s.byName[name]; svc != nil {
		return svc
	}
	svc := &service{
		name:   name,
		budget: retry.NewBudget(max(s.lim.RepeatShare, 0), s.repeatBurst()),
	}
	s.byName[name] = svc
	s.services = append(s.services, svc)
	slices.SortFunc(s.services, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return svc
}

func (s *State) repeatBurst() int {
	if s.lim.RepeatShare < 0 {
		return 0
	}
	return s.lim.RepeatBurst
}

func (s *State) setServices(list []catalogue.Service) {
	for _, svc := range s.services {
		svc.listed = false
	}
	for _, c := range list {
		s.service(c.Name).configure(c)
	}
}

func (s *State) setTargets(list []fleet.Target) {
	for _, svc := range s.services {
		svc.targets = svc.targets[:0]
	}
	for _, t := range s.targets {
		t.listed = false // the same for each, so the iteration order doesn't matter
	}
	for i := range list {
		s.setTarget(&list[i])
	}
	s.forgetTargets()
	s.targetsReceived = true
	for _, svc := range s.services {
		slices.SortFunc(svc.targets, func(a, b *targetState) int { return cmp.Compare(a.id, b.id) })
	}
	s.assignShares()
	s.drainAll()
}

func (s *State) setTarget(f *fleet.Target) {
	if s.opts.Domain != "" && f.Domain != s.opts.Domain {
		return
	}
	t := s.targets[f.ID]
	if t != nil && t.listed {
		return // listed twice
	}
	if t == nil || t.svc.name != f.Service {
		t = &targetState{id: f.ID, svc: s.service(f.Service)}
		s.targets[f.ID] = t
		s.initTarget(t, f)
	}
	if f.Slots != t.declaredSlots {
		t.declaredSlots = f.Slots
		t.slots = max(f.Slots, defaultSlots)
	}
	t.svc.hadTargets = true
	t.acceptedConnections = f.Connections
	t.listed = true
	t.leaving = f.State != fleet.Live
	t.svc.targets = append(t.svc.targets, t)
	if t.outlier.State() == target.Ejected {
		s.scheduleRecheck(t, t.outlier.Until()) // rechecks stop while a target is unlisted
	}
}

// initTarget sets the initial limit of a new target. A target that appears
// while this entry VM runs has just started and has cold caches.
func (s *State) initTarget(t *targetState, f *fleet.Target) {
	t.declaredSlots = f.Slots
	t.slots = max(f.Slots, defaultSlots)
	if s.targetsReceived {
		t.limit = limit.NewColdAdaptive(t.slots)
	} else {
		t.limit = limit.NewAdaptive(t.slots)
	}
}

// forgetTargets removes unlisted targets without requests in flight.
func (s *State) forgetTargets() {
	for id, t := range s.targets {
		if !t.listed && t.inFlight == 0 {
			delete(s.targets, id)
		}
	}
}

func (s *State) setPeers(p Peers) {
	p.Count = max(p.Count, 1)
	if p == s.peers {
		return
	}
	s.peers = p
	s.assignShares()
	s.drainAll()
}

// assignShares divides the slots and connections of all targets among the entry
// VMs of the domain.
func (s *State) assignShares() {
	for _, svc := range s.services {
		s.assignServiceShares(svc)
	}
}

func (s *State) assignServiceShares(svc *service) {
	svc.freeTargets = newBitset(len(svc.targets))
	svc.capacity = 0
	slots, connections := 0, 0
	for i, t := range svc.targets {
		t.index = i
		t.capacity = 0
		t.share = 0
		if t.leaving {
			continue
		}
		total := t.acceptedConnections
		if total <= 0 {
			total = defaultConnections
		}
		t.share = limit.Share(t.slots, slots, s.peers.Count, s.peers.Rank)
		t.connectionShare = limit.Share(total, connections, s.peers.Count, s.peers.Rank)
		t.limit.SetSlots(t.share)
		slots += t.slots
		connections += total
	}
	for _, t := range svc.targets {
		s.updateCapacity(t)
	}
}

// updateCapacity recomputes the capacity of t and what depends on it. It has to
// be called after a change of inFlight or of anything that computeCapacity
// reads.
func (s *State) updateCapacity(t *targetState) {
	capacity := t.computeCapacity(s.now, s.opts.PlainBalancer)
	if !t.listed {
		t.capacity = 0
		return
	}
	t.svc.capacity += capacity - t.capacity
	t.capacity = capacity
	t.svc.freeTargets.set(t.index, t.inFlight < capacity)
}
