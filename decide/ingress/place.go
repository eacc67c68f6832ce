package ingress

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
	"github.com/azurethread/azurethread/decide/target"
)

// workClass says what is known of an object at a target before a request for
// it is sent there. Latency is learned for each class apart.
type workClass uint8

const (
	warmHere    workClass = iota // handled there for this entry VM lately
	localFirst                   // the first choice of this region
	localOther                   // another target of this region
	remoteFirst                  // the first choice of another region
	workClasses
)

// initialWork is the latency expected before anything was measured.
var initialWork = [workClasses]time.Duration{
	warmHere: initialWarm, localFirst: initialCold, localOther: initialCold, remoteFirst: initialCold,
}

// usualSpeed is the value of a target's speed that is as fast as the others.
const usualSpeed = time.Second

func (r *Reducer) classOf(now clock.Time, q *request, t *targetState) workClass {
	switch {
	case t.isWarm(now, q.object):
		return warmHere
	case t.region != r.region:
		return remoteFirst
	case r.firstIn(now, q, t.region) == t:
		return localFirst
	default:
		return localOther
	}
}

// firstIn returns the first usable target of a region in q's ranking.
func (r *Reducer) firstIn(now clock.Time, q *request, region fleet.Region) *targetState {
	for _, t := range q.svc.rank(q.object) {
		if t.region == region && r.usable(now, q, t) {
			return t
		}
	}
	return nil
}

// usable reports whether t may get requests at all.
func (r *Reducer) usable(now clock.Time, q *request, t *targetState) bool {
	return !t.Draining && !r.evacuated[t.Domain] && q.route.Serves(t.region)
}

// choose returns the target with the earliest expected answer to q among those
// considered for its object, nil when all are full or unusable.
func (r *Reducer) choose(now clock.Time, q *request) *targetState {
	if t := r.chooseAmong(now, q, false); t != nil {
		return t
	}
	if r.anyInUse(now, q) {
		return nil
	}
	// Every target is out of use because of failures: trying one is better
	// than refusing everything until the ejections end.
	return r.chooseAmong(now, q, true)
}

// anyInUse reports whether a target that q may go to is in use.
func (r *Reducer) anyInUse(now clock.Time, q *request) bool {
	for _, t := range q.svc.targets {
		if r.usable(now, q, t) && t.standing.Standing() == target.InUse {
			return true
		}
	}
	return false
}

func (r *Reducer) chooseAmong(now clock.Time, q *request, ejectedToo bool) *targetState {
	var best *targetState
	lowest := math.Inf(1)
	considered := make(map[fleet.Region]int, 4)
	for _, t := range q.svc.rank(q.object) {
		if !r.usable(now, q, t) || slices.Contains(q.tried, t.ID) {
			continue
		}
		if !ejectedToo && !r.admits(now, t) {
			continue
		}
		if t.cold(now) && !(r.owns(t) && t.coldRoom(now, r.coldQuota(t))) {
			continue
		}
		if considered[t.region] >= choices(t.region == r.region) {
			continue
		}
		considered[t.region]++
		if t.region != r.region && !r.shift.room(now, r.opts.Bounds.RegionShift*shiftUse) {
			continue
		}
		if t.load(now) >= t.Slots+queueAtTarget {
			continue
		}
		if c := r.cost(now, q, t); c < lowest {
			best, lowest = t, c
		}
	}
	return best
}

func choices(local bool) int {
	if local {
		return localChoices
	}
	return remoteChoices
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

// cost is the time in ns after which t's answer to q is expected, and what its
// bytes cost on the way, as a time.
func (r *Reducer) cost(now clock.Time, q *request, t *targetState) float64 {
	class := r.classOf(now, q, t)
	work := q.svc.work[class].Value(float64(initialWork[class]))
	work *= t.speed.At(now, float64(usualSpeed)) / float64(usualSpeed)
	wait := float64(max(0, t.load(now)+1-t.Slots)) / float64(max(t.Slots, 1)) * work
	return r.trip(t.region) + work + wait + r.carriage(q, t)
}

// carriage is what carrying the answer costs, as a time.
func (r *Reducer) carriage(q *request, t *targetState) float64 {
	kilobytes := r.sizes[q.route.Name].or(0) / 1000
	switch {
	case t.Domain == r.opts.Domain:
		return 0
	case t.region == r.region:
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
// cold: the first of t's failure domain, or else of its region, or of all, by
// rendezvous hashing.
func (r *Reducer) owns(t *targetState) bool {
	var owner fleet.VMID
	var best uint64
	nearest := 0
	for i := range r.members {
		m := &r.members[i]
		if m.State != fleet.Live {
			continue
		}
		near := nearness(m, t)
		score := rank.Score(string(t.ID), string(m.ID))
		if owner == "" || near > nearest || (near == nearest && score > best) {
			owner, best, nearest = m.ID, score, near
		}
	}
	return owner == r.opts.Self
}

// nearness is higher for an entry VM that is nearer to t.
func nearness(m *fleet.VM, t *targetState) int {
	switch {
	case m.Domain == t.Domain:
		return 2
	case m.Region == t.region:
		return 1
	default:
		return 0
	}
}

func sortServices(list []*service) {
	slices.SortFunc(list, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
}
