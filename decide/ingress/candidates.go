package ingress

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/rank"
)

// option is the best target of the own region or of the others, with the expected
// time in ns until its answer.
type option struct {
	scored
	cost float64
}

// keepCheaper keeps the cheaper target. Ties go to the first in the object's
// order, so that the same events always have the same effects.
func (o *option) keepCheaper(x scored, cost float64) {
	if o.t == nil || cost < o.cost || (cost == o.cost && x.before(o.scored)) {
		o.scored, o.cost = x, cost
	}
}

// bestOptions returns the best target of the own region and of the others. The
// candidates for an object are every target where it is warm, and in the object's
// order the first localCandidates that are eligible in the own region, the first
// remoteCandidates of the others, and the first domainCandidates of the failure
// domain of the request's entry VM. They are stored in j.
func (r *Reducer) bestOptions(now clock.Time, j *job, includeEjected bool) (local, remote option) {
	j.candidates = j.candidates[:0]
	if j.Object == "" {
		r.addCandidatesWithoutObject(now, j, includeEjected)
	} else {
		r.addCandidatesForObject(now, j, includeEjected)
	}
	for _, x := range j.candidates {
		if r.isLocal(x.t) {
			local.keepCheaper(x, r.cost(now, j, x.t))
		} else {
			remote.keepCheaper(x, r.cost(now, j, x.t))
		}
	}
	return local, remote
}

// addCandidatesForObject adds the candidates for j's object.
func (r *Reducer) addCandidatesForObject(now clock.Time, j *job, includeEjected bool) {
	var buffer [localCandidates]scored
	here := buffer[:0]
	for g := groupRemote + 1; int(g) < len(j.svc.groups); g++ {
		own := g == r.groups[j.Domain]
		for i, x := range r.firstEligible(now, j, g, localCandidates, includeEjected) {
			if own && i < domainCandidates {
				j.addCandidate(x)
			}
			here = insertBest(here, x, localCandidates)
		}
	}
	for _, x := range here {
		j.addCandidate(x)
	}
	for _, x := range r.firstEligible(now, j, groupRemote, remoteCandidates, includeEjected) {
		j.addCandidate(x)
	}
	for i := range j.obj.warm {
		w := &j.obj.warm[i]
		if w.isValid(now) && !j.isCandidate(w.target) && r.eligible(now, j, w.target, includeEjected) {
			j.candidates = append(j.candidates, j.obj.score(w.target))
		}
	}
}

// addCandidate adds a target unless it is a candidate already.
func (j *job) addCandidate(x scored) {
	if !j.isCandidate(x.t) {
		j.candidates = append(j.candidates, x)
	}
}

func (j *job) isCandidate(t *targetState) bool {
	for i := range j.candidates {
		if j.candidates[i].t == t {
			return true
		}
	}
	return false
}

// firstEligible returns the first eligible targets of a group in the order for j's
// object, at most limit of them. The slice is valid until the next call.
func (r *Reducer) firstEligible(now clock.Time, j *job, g group, limit int, includeEjected bool) []scored {
	if j.obj.ranked == nil {
		j.obj.order(j.svc)
	}
	found := r.scratch[:0]
	for _, x := range j.obj.ranked[g] {
		if r.eligible(now, j, x.t, includeEjected) {
			found = append(found, x)
		}
		if len(found) == limit {
			return found
		}
	}
	if len(j.obj.ranked[g]) == len(j.svc.groups[g]) {
		return found
	}
	// Too few of the ranked targets are eligible: search the whole group.
	found = found[:0]
	for _, t := range j.svc.groups[g] {
		if r.eligible(now, j, t, includeEjected) {
			found = insertBest(found, j.obj.score(t), limit)
		}
	}
	return found
}

// addCandidatesWithoutObject adds the candidates for a request without an object.
// It takes the same time at any target of its region, so all of them are compared.
func (r *Reducer) addCandidatesWithoutObject(now clock.Time, j *job, includeEjected bool) {
	remote := 0
	for i, t := range j.svc.orderWithoutObject() {
		if !r.isLocal(t) && remote == remoteCandidates {
			continue
		}
		if !r.eligible(now, j, t, includeEjected) {
			continue
		}
		if !r.isLocal(t) {
			remote++
		}
		// The position in the order replaces the score.
		j.candidates = append(j.candidates, scored{t: t, score: ^uint64(i)})
	}
}

// orderWithoutObject returns the targets in their order for requests without an
// object.
func (s *service) orderWithoutObject() []*targetState {
	if s.withoutObject == nil {
		s.withoutObject = rank.By("", s.targets, func(t *targetState) string { return string(t.ID) })
	}
	return s.withoutObject
}

// firstLocal returns the first usable target of the own region in the order for
// j's object.
func (r *Reducer) firstLocal(j *job) *targetState {
	if len(j.AllowedRegions) > 0 && !slices.Contains(j.AllowedRegions, r.region) {
		return nil
	}
	if j.obj.ranked == nil {
		j.obj.order(j.svc)
	}
	var best scored
	for _, first := range j.obj.ranked[groupRemote+1:] {
		if len(first) > 0 && (best.t == nil || first[0].before(best)) {
			best = first[0]
		}
	}
	return best.t
}
