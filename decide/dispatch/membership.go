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

// The slots and connections of a target that states none.
const (
	defaultSlots       = 1
	defaultConnections = 330
)

// service returns the service of the given name, made when it is new.
func (s *State) service(name fleet.ServiceName) *service {
	if v := s.byName[name]; v != nil {
		return v
	}
	v := &service{
		name:   name,
		budget: retry.NewBudget(max(s.lim.RepeatShare, 0), s.repeatBurst()),
	}
	s.byName[name] = v
	s.services = append(s.services, v)
	slices.SortFunc(s.services, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return v
}

func (s *State) repeatBurst() int {
	if s.lim.RepeatShare < 0 {
		return 0
	}
	return s.lim.RepeatBurst
}

func (s *State) setServices(list []catalogue.Service) {
	for _, v := range s.services {
		v.listed = false
	}
	for _, c := range list {
		s.service(c.Name).configure(c)
	}
}

func (s *State) setTargets(list []fleet.Target) {
	for _, v := range s.services {
		v.targets = v.targets[:0]
	}
	for _, t := range s.targets {
		t.listed = false // the same for each, so the map's order doesn't matter
	}
	for i := range list {
		s.setTarget(&list[i])
	}
	s.forgetTargets()
	s.targetsReceived = true
	for _, v := range s.services {
		slices.SortFunc(v.targets, func(a, b *targetState) int { return cmp.Compare(a.id, b.id) })
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
	if t.outlier.Standing() == target.Ejected {
		s.scheduleRecheck(t, t.outlier.Until()) // it was unlisted, and forgotten there
	}
}

// initTarget sets the limit of a target not known before. One that appears
// while this entry VM runs has just started and has cold caches.
func (s *State) initTarget(t *targetState, f *fleet.Target) {
	t.declaredSlots = f.Slots
	t.slots = max(f.Slots, defaultSlots)
	if s.targetsReceived {
		t.limit = limit.Cold(t.slots)
	} else {
		t.limit = limit.Full(t.slots)
	}
}

// forgetTargets drops targets that are gone and hold no request.
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

// assignShares deals out the slots and connections of all targets among the
// entry VMs of the domain.
func (s *State) assignShares() {
	for _, v := range s.services {
		s.assignServiceShares(v)
	}
}

func (s *State) assignServiceShares(v *service) {
	v.freeTargets = newBitset(len(v.targets))
	v.capacity = 0
	slots, connections := 0, 0
	for i, t := range v.targets {
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
	for _, t := range v.targets {
		s.updateCapacity(t)
	}
}

// updateCapacity brings granted and what depends on it up to date after a change of
// anything that grant looks at, or of inFlight.
func (s *State) updateCapacity(t *targetState) {
	g := t.computeCapacity(s.now, s.opts.PlainBalancer)
	if !t.listed {
		t.capacity = 0
		return
	}
	t.svc.capacity += g - t.capacity
	t.capacity = g
	t.svc.freeTargets.set(t.index, t.inFlight < g)
}
