package ingress

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/rank"
)

// option is the best target of one side and the time in ns after which its
// answer is expected.
type option struct {
	scored
	cost float64
}

// offer keeps the cheaper one; among equals the first in the object's order, so
// that the same events have the same effects.
func (o *option) offer(x scored, cost float64) {
	if o.t == nil || cost < o.cost || (cost == o.cost && x.before(o.scored)) {
		o.scored, o.cost = x, cost
	}
}

// options returns the best target of the own region and of the others. For an
// object these are considered: every target where it is warm, and in its order
// the first localChoices that are eligible in the own region, the first
// remoteChoices of the others, and the first domainChoices of the failure domain
// of the request's entry VM. The targets are noted in j.
func (r *Reducer) options(now clock.Time, j *job, ejectedToo bool) (local, remote option) {
	j.considered = j.considered[:0]
	if j.Object == "" {
		r.considerUnnamed(now, j, ejectedToo)
	} else {
		r.considerNamed(now, j, ejectedToo)
	}
	for _, x := range j.considered {
		if r.here(x.t) {
			local.offer(x, r.cost(now, j, x.t))
		} else {
			remote.offer(x, r.cost(now, j, x.t))
		}
	}
	return local, remote
}

// considerNamed notes the targets that are considered for j's object.
func (r *Reducer) considerNamed(now clock.Time, j *job, ejectedToo bool) {
	var memory [localChoices]scored
	here := memory[:0]
	for g := groupElsewhere + 1; int(g) < len(j.svc.groups); g++ {
		own := g == r.groups[j.Domain]
		for i, x := range r.firstEligible(now, j, g, localChoices, ejectedToo) {
			if own && i < domainChoices {
				j.consider(x)
			}
			here = insertBest(here, x, localChoices)
		}
	}
	for _, x := range here {
		j.consider(x)
	}
	for _, x := range r.firstEligible(now, j, groupElsewhere, remoteChoices, ejectedToo) {
		j.consider(x)
	}
	for i := range j.obj.warm {
		w := &j.obj.warm[i]
		if w.holds(now) && !j.considers(w.target) && r.eligible(now, j, w.target, ejectedToo) {
			j.considered = append(j.considered, j.obj.score(w.target))
		}
	}
}

// consider notes a target unless it is noted already.
func (j *job) consider(x scored) {
	if !j.considers(x.t) {
		j.considered = append(j.considered, x)
	}
}

func (j *job) considers(t *targetState) bool {
	for i := range j.considered {
		if j.considered[i].t == t {
			return true
		}
	}
	return false
}

// firstEligible returns the first most targets of a group, in the order for j's
// object, that are eligible. The slice is valid until the next call.
func (r *Reducer) firstEligible(now clock.Time, j *job, g group, most int, ejectedToo bool) []scored {
	if j.obj.first == nil {
		j.obj.order(j.svc)
	}
	found := r.found[:0]
	for _, x := range j.obj.first[g] {
		if r.eligible(now, j, x.t, ejectedToo) {
			found = append(found, x)
		}
		if len(found) == most {
			return found
		}
	}
	if len(j.obj.first[g]) == len(j.svc.groups[g]) {
		return found
	}
	// The ones that are kept are out of use, cold or tried: look at all.
	found = found[:0]
	for _, t := range j.svc.groups[g] {
		if r.eligible(now, j, t, ejectedToo) {
			found = insertBest(found, j.obj.score(t), most)
		}
	}
	return found
}

// considerUnnamed notes the targets for a request that names no object: it is as
// quick at any target of its region, so all of them are compared.
func (r *Reducer) considerUnnamed(now clock.Time, j *job, ejectedToo bool) {
	elsewhere := 0
	for i, t := range j.svc.unnamedOrder() {
		if !r.here(t) && elsewhere == remoteChoices {
			continue
		}
		if !r.eligible(now, j, t, ejectedToo) {
			continue
		}
		if !r.here(t) {
			elsewhere++
		}
		// The place in the order stands for the score.
		j.considered = append(j.considered, scored{t: t, score: ^uint64(i)})
	}
}

// unnamedOrder returns the targets in their order for requests without an
// object.
func (s *service) unnamedOrder() []*targetState {
	if s.unnamed == nil {
		s.unnamed = rank.By("", s.targets, func(t *targetState) string { return string(t.ID) })
	}
	return s.unnamed
}

// firstHere returns the first usable target of the own region in the order for
// j's object.
func (r *Reducer) firstHere(j *job) *targetState {
	if len(j.Homes) > 0 && !slices.Contains(j.Homes, r.region) {
		return nil
	}
	if j.obj.first == nil {
		j.obj.order(j.svc)
	}
	var best scored
	for _, first := range j.obj.first[groupElsewhere+1:] {
		if len(first) > 0 && (best.t == nil || first[0].before(best)) {
			best = first[0]
		}
	}
	return best.t
}
