package ingress

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/target"
)

// usable reports whether t may get j at all.
func (r *Reducer) usable(j *job, t *targetState) bool {
	return r.mayServe(j, t) && t.availability.Available()
}

// mayServe reports whether t may get j, apart from t's notices.
func (r *Reducer) mayServe(j *job, t *targetState) bool {
	allowed := len(j.AllowedRegions) == 0 || slices.Contains(j.AllowedRegions, t.region)
	return allowed && !t.Draining && !r.evacuated[t.Domain]
}

// choose returns the candidate with the earliest expected answer to j, nil if all
// are full or unusable.
func (r *Reducer) choose(now clock.Time, j *job) *targetState {
	if t := r.chooseAmong(now, j, false); t != nil {
		return t
	}
	if r.anyInUse(now, j) {
		return nil
	}
	// Every target is ejected: trying one is better than refusing all requests
	// until the ejections end.
	return r.chooseAmong(now, j, true)
}

// anyInUse reports whether a target that may get j is in use.
func (r *Reducer) anyInUse(now clock.Time, j *job) bool {
	for _, t := range j.svc.targets {
		if r.usable(j, t) && t.standing.State() == target.InUse {
			return true
		}
	}
	return false
}

// chooseAmong compares the candidates for j, including full ones: if waiting for a
// full target is quicker than a cold start of the object at another one, j waits
// and nil is returned.
func (r *Reducer) chooseAmong(now clock.Time, j *job, includeEjected bool) *targetState {
	if t := r.untriedTarget(now, j); t != nil {
		j.hadChoice = false
		return t
	}
	if j.MayCrashTarget {
		return r.leastBusy(now, j, includeEjected)
	}
	local, remote := r.bestOptions(now, j, includeEjected)
	j.hadChoice = false
	chosen, reason := r.chooseSide(now, j, local, remote)
	best := chosen.t
	j.regionReason = reason
	j.localFaster = local.t != nil && local.cost < chosen.cost
	j.preferred = best
	if best == nil || r.isFull(now, j, best) {
		return nil
	}
	return best
}

// leastBusy returns the target with the fewest requests, for a request that may
// crash it and with it the others that run there.
func (r *Reducer) leastBusy(now clock.Time, j *job, includeEjected bool) *targetState {
	var best *targetState
	for _, t := range j.svc.targets {
		if r.eligible(now, j, t, includeEjected) && (best == nil || r.lessBusy(now, t, best)) {
			best = t
		}
	}
	j.hadChoice, j.regionReason, j.localFaster = false, ReasonMayCrashTarget, false
	j.preferred, j.candidates = best, j.candidates[:0]
	if best == nil {
		return nil
	}
	j.candidates = append(j.candidates, scored{t: best})
	if r.isFull(now, j, best) {
		return nil
	}
	return best
}

// lessBusy compares two targets: those of the own region come first, then those
// with fewer requests.
func (r *Reducer) lessBusy(now clock.Time, a, b *targetState) bool {
	if r.isLocal(a) != r.isLocal(b) {
		return r.isLocal(a)
	}
	return a.load(now) < b.load(now)
}

// untriedTarget returns a target of the own region that has joined and was never
// used. Objects keep their places, so a new target needs a first request to be
// considered; otherwise it would stay idle beside full ones.
func (r *Reducer) untriedTarget(now clock.Time, j *job) *targetState {
	if !r.on(NewTargets) {
		return nil
	}
	for _, t := range j.svc.untried {
		if r.eligible(now, j, t, false) && !r.isFull(now, j, t) {
			return t
		}
	}
	return nil
}

// chooseSide decides between the own region and the others, and returns the
// reason. Large bodies stay local unless there is no local target, or none in time;
// requests of routes bound to regions have no choice.
func (r *Reducer) chooseSide(now clock.Time, j *job, local, remote option) (option, RegionReason) {
	s := &j.svc.share
	switch {
	case local.t == nil:
		return remote, r.noLocalReason(now, j)
	case remote.t == nil || !r.on(OtherRegions):
		return local, ReasonOnlyLocal
	case len(j.AllowedRegions) > 0 && remote.cost < local.cost:
		return remote, ReasonAllowedRegions
	case j.isFixed():
		if j.Large && r.mayOverflow(now, j, local, remote) {
			return remote, ReasonLargeOverflow
		}
		return local, ReasonOnlyLocal
	}
	j.hadChoice = true
	s.maxChange = r.shiftBound()
	r.updateResting(now, j.svc)
	if !s.known {
		s.start(now, r.slotsOf(j.svc).share())
	}
	if j.state == jobNew {
		s.adjust(now, r.usualCost(now, j, remote) < r.usualCost(now, j, local) || (r.on(Headroom) && r.lacksHeadroom(now, j.svc)))
	}
	first, second, toRemote := local, remote, true
	belongsTo, reason := s.sideFor(now, r.objectHash(j.Object), warmSide(now, j, local.t, remote.t))
	if belongsTo == sideRemote {
		first, second, toRemote = remote, local, false
	}
	// Waiting for a target where the object is warm often takes less time than a
	// cold start at another one, which would also occupy a slot three times as
	// long.
	sooner := second.cost < first.cost
	warm := j.obj == nil || j.obj.isWarmAnywhere(now)
	if sooner && r.isFull(now, j, first.t) && !r.isFull(now, j, second.t) && s.mayCross(now, toRemote, warm) {
		return second, ReasonSideFull
	}
	return first, reason
}

// mayOverflow reports whether a request with a large body, whose wait for a target of the
// own region is over, may go to another one instead of being refused.
func (r *Reducer) mayOverflow(now clock.Time, j *job, local, remote option) bool {
	full := r.isFull(now, j, local.t) && !r.isFull(now, j, remote.t)
	return full && remote.cost < local.cost && !j.waitUntil.After(now)
}

// warmSide returns the side on which alone the object of j is warm.
func warmSide(now clock.Time, j *job, local, remote *targetState) side {
	switch here, there := j.obj.isWarmAt(now, local), j.obj.isWarmAt(now, remote); {
	case here == there:
		return sideAny
	case here:
		return sideLocal
	default:
		return sideRemote
	}
}

// isFull reports whether t has no room for another request of j's class.
func (r *Reducer) isFull(now clock.Time, j *job, t *targetState) bool {
	limit := r.queueLimit(classOf(now, j, t), t.Slots)
	if f := t.pace.Factor(now); f > 1 {
		// The queue of a busy target moves more slowly, and its pace may be as usual
		// soon. With the full limit, more requests were late.
		limit = int(float64(limit) / f)
	}
	return t.load(now) >= t.Slots+limit
}

// queueLimit returns how many requests beyond its slots may be at a target before
// a request of this class is sent there.
//
// A warm object is worth waiting for at its target: everywhere else its request
// would start cold, miss its aim and occupy a slot meanwhile. As many requests as
// there are slots may wait there, so each waits for about one other request. A cold
// request gains nothing by queueing at a target and delays those behind it.
//
// With a limit of one request for all classes, or with limits of two and one, more
// requests missed their aim.
func (r *Reducer) queueLimit(class workClass, slots int) int {
	switch class {
	case objectWarm:
		if !r.on(WaitAtTarget) {
			return queueLimitNoObject
		}
		return slots
	case objectNone:
		return queueLimitNoObject
	default:
		return 0
	}
}

// eligible reports whether j may be sent to t now, regardless of its load.
func (r *Reducer) eligible(now clock.Time, j *job, t *targetState, includeEjected bool) bool {
	switch {
	case !r.usable(j, t) || slices.Contains(j.Tried, t.ID):
		return false
	case !includeEjected && !r.admits(now, t), !t.availability.Admits(t.inFlight):
		return false
	case t.cold(now) && (!r.owns(t) || !t.withinColdLimit(now, r.coldLimit(t))):
		return false
	}
	return r.withinLimit(now, t)
}

// admits reports whether t's ejection state lets it take a request now.
func (r *Reducer) admits(now clock.Time, t *targetState) bool {
	if t.standing.State() == target.Ejected && !t.standing.Until().After(now) {
		t.standing.StartTesting()
	}
	switch t.standing.State() {
	case target.InUse:
		return true
	case target.Testing:
		return t.inFlight == 0
	default:
		return false
	}
}

// cost returns the expected time in ns until t's answer to j, plus the transfer
// cost of the answer expressed as a time.
func (r *Reducer) cost(now clock.Time, j *job, t *targetState) float64 {
	return r.rtt(t.region) + r.expectedWork(now, j, t) + r.expectedWait(now, j, t) + r.transferCost(j, t)
}

// usualCost returns the cost of o at the usual pace of its target. The share of requests in
// other regions takes seconds to change; a pace lasts for less, and the paces of other
// regions' targets are seldom known here. With the present cost, the share followed the
// paces of single targets of the own region.
func (r *Reducer) usualCost(now clock.Time, j *job, o option) float64 {
	f := o.t.pace.Factor(now)
	if f == 1 {
		return o.cost
	}
	unpaced := r.rtt(o.t.region) + r.transferCost(j, o.t)
	return unpaced + (o.cost-unpaced)/f
}

// expectedWait returns how long j would wait at t for a slot, in ns.
func (r *Reducer) expectedWait(now clock.Time, j *job, t *targetState) float64 {
	ahead := t.load(now) + t.preferredBy
	return float64(max(0, ahead+1-t.Slots)) / float64(max(t.Slots, 1)) * r.expectedWork(now, j, t)
}

// transferCost returns the cost of transferring t's answer, expressed as a time.
func (r *Reducer) transferCost(j *job, t *targetState) float64 {
	kilobytes := r.routeOf(j.Route).size.valueOr(0) / 1000
	switch {
	case t.Domain == j.Domain || !r.on(TransferCosts):
		return 0
	case r.isLocal(t):
		return kilobytes * float64(localKilobyteCost)
	default:
		return kilobytes * float64(remoteKilobyteCost)
	}
}

// coldLimit is how many requests per second this entry VM may send to a cold
// target that it owns.
func (r *Reducer) coldLimit(t *targetState) int {
	b := r.opts.Bounds
	rate := 0.0
	if r.table != nil {
		rate = r.table.Config.Services[t.Service].ColdRate
	}
	return int((rate*b.ColdFactor + b.ColdSlack) / maxColdOwners)
}

// owns reports whether this entry VM places the requests for t while t is cold: it
// is the coordinator for t's service and region.
func (r *Reducer) owns(t *targetState) bool {
	return r.coordinator(t.region, t.Service) == r.opts.Self
}
