package emulate

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/rank"
	"github.com/azurethread/azurethread/decide/verdict"
)

// startEvent applies an event and schedules its end.
func (sim *simulation) startEvent(e *Event) {
	last := seconds(e.Duration)
	switch e.Kind {
	case Burst:
		sim.setLoad(e, e.Value)
		sim.after(last, func() { sim.setLoad(e, 1) })
	case Evacuate:
		sim.evacuate(e.Domain, true)
		sim.after(last, func() { sim.evacuate(e.Domain, false) })
	case KillVMs:
		sim.killVMs(e)
	case RestartTargets:
		sim.eachTarget(e, func(t *target) { sim.restartTarget(t, last) })
	case SlowTargets:
		sim.eachTarget(e, func(t *target) { t.slowFactor = e.Value })
		sim.after(last, func() { sim.eachTarget(e, func(t *target) { t.slowFactor = 1 }) })
	case GreyTargets:
		sim.eachTarget(e, func(t *target) { t.errorShare = e.Value })
		sim.after(last, func() { sim.eachTarget(e, func(t *target) { t.errorShare = 0 }) })
	case ShedTargets:
		sim.eachTarget(e, func(t *target) { t.refusedShare = e.Value })
		sim.after(last, func() { sim.eachTarget(e, func(t *target) { t.refusedShare = 0 }) })
	case LimitTargets:
		sim.eachTarget(e, func(t *target) { sim.recorder.startLimit(sim.now, t, e.Value) })
		sim.after(last, func() { sim.eachTarget(e, func(t *target) { t.limit.until = sim.now }) })
	case LeaveTargets:
		sim.eachTarget(e, func(t *target) { t.leaving = true })
		sim.after(last, func() { sim.eachTarget(e, sim.removeTarget) })
	case BackoffTargets:
		sim.eachTarget(e, func(t *target) { t.backoff = seconds(e.Value) })
		sim.after(last, func() { sim.eachTarget(e, func(t *target) { t.backoff = 0 }) })
	case QueryOfDeath:
		sim.startDeathQuery(e)
	case HotAccount:
		sim.startHotCallers(e)
	case LowerQuota:
		sim.lowerQuota(e, e.Value)
		sim.after(last, func() { sim.lowerQuota(e, 1) })
	case CutVMs:
		sim.setCut(e, true)
		sim.after(last, func() { sim.setCut(e, false) })
	case LapseRegistrations:
		sim.eachTarget(e, sim.unregister)
		sim.after(last, func() { sim.eachTarget(e, sim.register) })
	case CutTargets:
		sim.cutFromTargets(e)
	case DrainTargets:
		sim.eachTarget(e, sim.drain)
		sim.after(last, func() { sim.eachTarget(e, sim.removeTarget) })
	case ReturnStore:
		sim.returnStore(e)
	}
}

// evacuate starts or ends the evacuation of a failure domain.
func (sim *simulation) evacuate(d fleet.Domain, begin bool) {
	if sim.store == nil {
		sim.broadcast(func() ingress.Event { return &ingress.Evacuated{Domain: d, Begin: begin} })
		return
	}
	value := ""
	if begin {
		value = "begun"
	}
	sim.writeStore(prefixEvacuate+string(d), value)
}

func (sim *simulation) setLoad(e *Event, x float64) {
	for d := range sim.loadFactor {
		switch {
		case e.Domain != "" && e.Domain != d:
		case e.RequestKind == "":
			sim.loadFactor[d] = x
		case x == 1:
			delete(sim.kindFactor[d], e.RequestKind)
		default:
			if sim.kindFactor[d] == nil {
				sim.kindFactor[d] = make(kindFactors)
			}
			sim.kindFactor[d][e.RequestKind] = x
		}
	}
}

// eachTarget visits the share of the targets that an event applies to, spread
// over the failure domains.
func (sim *simulation) eachTarget(e *Event, visit func(*target)) {
	var matching []*target
	for _, t := range sim.targetList {
		if (e.Service == "" || e.Service == t.registered.Service) && (e.Domain == "" || e.Domain == t.registered.Domain) {
			matching = append(matching, t)
		}
	}
	// The order is a fixed shuffle, so the end of an event visits the same
	// targets as its start.
	slices.SortFunc(matching, func(a, b *target) int { return cmp.Compare(hash(a), hash(b)) })
	for i, t := range matching {
		if sim.selected(e.Share, i, len(matching)) {
			visit(t)
		}
	}
}

func hash(t *target) uint64 { return rank.Score("event", string(t.registered.ID)) }

// matchingVMs returns the entry VMs that an event applies to.
func (sim *simulation) matchingVMs(e *Event) []*vm {
	var all, matching []*vm
	for _, v := range sim.vms {
		if e.Domain == "" || e.Domain == v.self.Domain {
			all = append(all, v)
		}
	}
	for i, v := range all {
		if sim.selected(e.Share, i, len(all)) {
			matching = append(matching, v)
		}
	}
	return matching
}

// shuffledVMs returns the entry VMs that an event applies to, spread over the failure
// domains. The order is a fixed shuffle.
func (sim *simulation) shuffledVMs(e *Event) []*vm {
	all := sim.matchingVMs(&Event{Domain: e.Domain})
	score := func(v *vm) uint64 { return rank.Score("event", string(v.self.ID)) }
	slices.SortFunc(all, func(a, b *vm) int { return cmp.Compare(score(a), score(b)) })
	var matching []*vm
	for i, v := range all {
		if sim.selected(e.Share, i, len(all)) {
			matching = append(matching, v)
		}
	}
	return matching
}

func (sim *simulation) killVMs(e *Event) {
	for _, v := range sim.matchingVMs(e) {
		if v.reducer == nil {
			continue
		}
		v.reducer = nil
		v.processNumber++ // invalidates the pending events of the earlier process
		sim.failOpenRequests(v)
		sim.after(seconds(e.Duration), func() { sim.restartVM(v) })
		if m := sim.pattern.Members; m != nil {
			sim.after(seconds(m.LeaseSeconds), func() { sim.endLease(v) })
		}
	}
}

// restartVM starts v, which registers itself.
func (sim *simulation) restartVM(v *vm) {
	v.listed = true
	sim.startVM(v)
	if sim.pattern.Members != nil {
		sim.broadcastMembers()
	}
}

// endLease removes v from the list of entry VMs if it is still down.
func (sim *simulation) endLease(v *vm) {
	if v.reducer == nil && v.listed {
		v.listed = false
		sim.broadcastMembers()
	}
}

// restartTarget stops t and starts it again with the same ID after the downtime.
func (sim *simulation) restartTarget(t *target, down time.Duration) {
	t.down = true
	t.queue, t.running = nil, 0
	t.objects = objectCache{}
	sim.failRunning(t)
	sim.after(down, func() {
		t.down, t.leaving, t.registered.Draining = false, false, false
		t.registered.StartedAt++
		t.coldEnd = sim.now.Add(seconds(t.service.ColdTime))
		if !t.unregistered {
			sim.broadcastRegistration(t)
		}
	})
}

// removeTarget stops t for good and removes its registration.
func (sim *simulation) removeTarget(t *target) {
	t.down = true
	t.queue, t.running = nil, 0
	sim.failRunning(t)
	sim.unregister(t)
}

// unregister removes t's registration, whether or not t still serves.
func (sim *simulation) unregister(t *target) {
	t.unregistered = true
	if sim.store != nil {
		sim.writeStore(targetKey(t), "")
		return
	}
	sim.broadcast(func() ingress.Event {
		return &ingress.TargetsChanged{Removed: []fleet.TargetID{t.registered.ID}}
	})
}

// register registers t again. A target that is down registers when it starts.
func (sim *simulation) register(t *target) {
	t.unregistered = false
	if !t.down {
		sim.broadcastRegistration(t)
	}
}

// drain makes t's registration say that it drains.
func (sim *simulation) drain(t *target) {
	t.registered.Draining = true
	sim.broadcastRegistration(t)
}

func (sim *simulation) broadcastRegistration(t *target) {
	if sim.store != nil {
		sim.writeStore(targetKey(t), encodeTarget(t.registration(sim.now)))
		return
	}
	sim.broadcast(func() ingress.Event {
		return &ingress.TargetsChanged{Updated: []ingress.Target{t.registration(sim.now)}}
	})
}

// failRunning fails the requests at t; they may have run.
func (sim *simulation) failRunning(t *target) {
	for _, v := range sim.vms {
		for _, id := range sortedKeys(v.attempts) {
			s := v.attempts[id]
			if s.target != t || s.execution == nil || s.execution.targetStart != t.registered.StartedAt || s.execution.ended {
				continue
			}
			s.execution.ended = true
			sim.recorder.countLost(s.attempt)
			sim.after(sim.latency(t.registered.Domain, v.self.Domain), func() {
				sim.endSend(s, &ingress.Failed{
					Attempt: s.id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost,
				})
			})
		}
	}
}

// sortedKeys returns the keys of a map in order, so that runs are reproducible.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
