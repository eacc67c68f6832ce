package ingress

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/target"
)

// usable reports whether t may get requests at all.
func (r *Reducer) usable(j *job, t *targetState) bool {
	home := len(j.Homes) == 0 || slices.Contains(j.Homes, t.region)
	return home && !t.Draining && !r.evacuated[t.Domain]
}

// choose returns the target with the earliest expected answer to j among those
// considered for its object, nil when all are full or unusable.
func (r *Reducer) choose(now clock.Time, j *job) *targetState {
	if t := r.chooseAmong(now, j, false); t != nil {
		return t
	}
	if r.anyInUse(now, j) {
		return nil
	}
	// Every target is out of use because of failures: trying one is better
	// than refusing everything until the ejections end.
	return r.chooseAmong(now, j, true)
}

// anyInUse reports whether a target that j may go to is in use.
func (r *Reducer) anyInUse(now clock.Time, j *job) bool {
	for _, t := range j.svc.targets {
		if r.usable(j, t) && t.standing.Standing() == target.InUse {
			return true
		}
	}
	return false
}

// chooseAmong compares the targets considered for j. Full ones are among them:
// where waiting for one is quicker than the cold start of the object elsewhere,
// j waits, and nil is returned.
func (r *Reducer) chooseAmong(now clock.Time, j *job, ejectedToo bool) *targetState {
	if t := r.untried(now, j); t != nil {
		j.chose = false
		return t
	}
	if j.Alone {
		return r.leastBusy(now, j, ejectedToo)
	}
	local, remote := r.options(now, j, ejectedToo)
	j.chose = local.t != nil && remote.t != nil
	chosen, why := r.sideOf(now, j, local, remote)
	best := chosen.t
	j.why = why
	j.slower = local.t != nil && local.cost < chosen.cost
	j.awaited = best
	if best == nil || r.full(now, j, best) {
		return nil
	}
	return best
}

// leastBusy returns the target with the fewest requests, for one that may end
// it: they would be lost with it.
func (r *Reducer) leastBusy(now clock.Time, j *job, ejectedToo bool) *targetState {
	var best *targetState
	for _, t := range j.svc.targets {
		if r.eligible(now, j, t, ejectedToo) && (best == nil || r.lessBusy(now, t, best)) {
			best = t
		}
	}
	j.chose, j.why, j.slower = false, WhyAlone, false
	j.awaited, j.considered = best, j.considered[:0]
	if best == nil {
		return nil
	}
	j.considered = append(j.considered, scored{t: best})
	if r.full(now, j, best) {
		return nil
	}
	return best
}

// lessBusy compares two targets: those of the own region come first, then the
// ones with fewer requests.
func (r *Reducer) lessBusy(now clock.Time, a, b *targetState) bool {
	if r.here(a) != r.here(b) {
		return r.here(a)
	}
	return a.load(now) < b.load(now)
}

// untried returns a target of the own region that has joined and was never
// used. Objects keep to their places, so without a first request to learn from
// a new target would stay idle beside full ones.
func (r *Reducer) untried(now clock.Time, j *job) *targetState {
	if !r.on(Joined) {
		return nil
	}
	for _, t := range j.svc.untried {
		if r.eligible(now, j, t, false) && !r.full(now, j, t) {
			return t
		}
	}
	return nil
}

// sideOf decides between the own region and the others, and says why. Large
// answers stay unless there is no target here; what is bound to regions has no
// choice.
func (r *Reducer) sideOf(now clock.Time, j *job, local, remote option) (option, Why) {
	s := &j.svc.share
	switch {
	case local.t == nil:
		return remote, r.whyNoneHere(now, j)
	case remote.t == nil || !r.on(Elsewhere):
		return local, WhyOnly
	case j.Large || len(j.Homes) > 0:
		if len(j.Homes) > 0 && remote.cost < local.cost {
			return remote, WhyHomes
		}
		return local, WhyOnly
	}
	s.bound = r.shiftBound()
	if !s.known {
		s.begin(now, r.firstShare(j.svc))
	}
	if j.state == jobNew {
		s.follow(now, remote.cost < local.cost || (r.on(Headroom) && r.crowded(now, j.svc)))
	}
	first, second, toRemote := local, remote, true
	belongs, why := s.sideOf(now, r.sideHash(j.Object), warmSide(now, j, local.t, remote.t))
	if belongs == sideOthers {
		first, second, toRemote = remote, local, false
	}
	// A wait for a target where the object is warm is often shorter than the
	// cold start elsewhere, which would also take a slot for three times as long.
	sooner := second.cost < first.cost
	if sooner && r.full(now, j, first.t) && !r.full(now, j, second.t) && s.mayCross(now, toRemote) {
		return second, WhyFull
	}
	return first, why
}

// warmSide returns the side on which alone the object of j is warm.
func warmSide(now clock.Time, j *job, local, remote *targetState) side {
	switch here, there := j.obj.warmAt(now, local), j.obj.warmAt(now, remote); {
	case here == there:
		return sideAny
	case here:
		return sideOwn
	default:
		return sideOthers
	}
}

// full reports whether t has as many requests as it may for one more of j's
// class.
func (r *Reducer) full(now clock.Time, j *job, t *targetState) bool {
	return t.load(now) >= t.Slots+r.queueAt(classOf(now, j, t), t.Slots)
}

// queueAt is how many requests beyond its slots may be at a target before one
// of a class is sent there.
//
// A warm object is worth a wait at its target: everywhere else its
// request would start cold, miss its aim and take another's slot meanwhile. As
// many as there are slots wait there, which is one round. A cold request gains
// nothing by queueing and keeps those behind it waiting.
//
// With one request beyond the slots for all classes, or with two and one, more
// requests missed their aim.
func (r *Reducer) queueAt(class workClass, slots int) int {
	switch class {
	case objectWarm:
		if !r.on(WaitAtTarget) {
			return queueWithoutObject
		}
		return slots
	case objectNone:
		return queueWithoutObject
	default:
		return 0
	}
}

// eligible reports whether j may be sent to t at all now, its load aside.
func (r *Reducer) eligible(now clock.Time, j *job, t *targetState, ejectedToo bool) bool {
	switch {
	case !r.usable(j, t) || slices.Contains(j.Tried, t.ID):
		return false
	case !ejectedToo && !r.admits(now, t):
		return false
	case t.cold(now) && (!r.owns(t) || !t.coldRoom(now, r.coldQuota(t))):
		return false
	}
	return r.limitRoom(now, t)
}

// admits reports whether t's standing lets it take a request now.
func (r *Reducer) admits(now clock.Time, t *targetState) bool {
	if t.standing.Standing() == target.Ejected && !t.standing.Until().After(now) {
		t.standing.Test()
	}
	switch t.standing.Standing() {
	case target.InUse:
		return true
	case target.Testing:
		return t.inFlight == 0
	default:
		return false
	}
}

// cost is the time in ns after which t's answer to j is expected, and what its
// bytes cost on the way, as a time.
func (r *Reducer) cost(now clock.Time, j *job, t *targetState) float64 {
	return r.trip(t.region) + r.expectedWork(now, j, t) + r.expectedWait(now, j, t) + r.carriage(j, t)
}

// expectedWait is how long j would wait at t for a slot, in ns.
func (r *Reducer) expectedWait(now clock.Time, j *job, t *targetState) float64 {
	ahead := t.load(now) + t.awaited
	return float64(max(0, ahead+1-t.Slots)) / float64(max(t.Slots, 1)) * r.expectedWork(now, j, t)
}

// carriage is what carrying the answer costs, as a time.
func (r *Reducer) carriage(j *job, t *targetState) float64 {
	kilobytes := r.routeOf(j.Route).size.or(0) / 1000
	switch {
	case t.Domain == j.Domain || !r.on(Carriage):
		return 0
	case r.here(t):
		return kilobytes * float64(nearBytes)
	default:
		return kilobytes * float64(farBytes)
	}
}

// coldQuota is how many requests a second this entry VM may send to a cold
// target that it owns.
func (r *Reducer) coldQuota(t *targetState) int {
	b := r.opts.Bounds
	rate := 0.0
	if r.table != nil {
		rate = r.table.Config.Services[t.Service].ColdRate
	}
	return int((rate*b.ColdFactor + b.ColdSlack) / coldOwners)
}

// owns reports whether this entry VM is the one that sends to t while t is
// cold, or has others send to it: the coordinator for t's service and region.
func (r *Reducer) owns(t *targetState) bool {
	return r.coordinator(t.region, t.Service) == r.opts.Self
}

func sortServices(list []*service) {
	slices.SortFunc(list, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
}
