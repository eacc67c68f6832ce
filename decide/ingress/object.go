package ingress

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

// object is the state of one object of a service: where it was recently handled,
// and the targets that come first for it by rendezvous hashing.
//
// Both are cached per object, so that a choice compares few targets regardless of
// the size of the service. Iterating over all targets for each request, and
// ranking them after each change, took a coordinator of a thousand targets half a
// core at a thousand requests per second.
type object struct {
	name string
	warm []warmEntry
	// ranked holds the first targets of each group by descending score; nil: not
	// computed.
	ranked [][]scored
}

// warmEntry records when a target last handled an object.
type warmEntry struct {
	target *targetState
	// start is the target's coldStarts at that time: an entry from before a later
	// cold start is void.
	start uint32
	at    clock.Time
}

// scored is a target with its score for an object.
type scored struct {
	t     *targetState
	score uint64
}

// before reports whether s comes before o in the order for an object.
func (s scored) before(o scored) bool {
	return s.score > o.score || (s.score == o.score && s.t.ID < o.t.ID)
}

const (
	// maxRanked is how many targets of a group are kept in the order for an
	// object. A choice needs two; the others replace targets that are ejected,
	// cold or tried.
	maxRanked = 6
	// maxWarm is how many warm targets of an object are kept. A region places an
	// object at one or two targets; retries and load peaks add some more.
	maxWarm = 12
	// objectsPerGeneration limits the objects of one generation: at most twice as
	// many are known of a service, at about 600 bytes each.
	objectsPerGeneration = 4096
)

// objects holds the objects of one service in two generations. Objects of the old
// generation that were not used while the young one filled up are dropped.
type objects struct {
	young, old map[string]*object
}

// get returns the object of a name, which must not be empty, and keeps it in the
// young generation.
func (os *objects) get(name string) *object {
	if o, ok := os.young[name]; ok {
		return o
	}
	o, ok := os.old[name]
	if !ok {
		o = &object{name: name}
	}
	if len(os.young) >= objectsPerGeneration {
		os.old, os.young = os.young, nil
	}
	if os.young == nil {
		os.young = make(map[string]*object)
	}
	os.young[name] = o
	return o
}

// each calls f for every known object once.
func (os *objects) each(f func(*object)) {
	for _, o := range os.young {
		f(o)
	}
	for name, o := range os.old {
		if _, moved := os.young[name]; !moved {
			f(o)
		}
	}
}

// isValid reports whether the target is still assumed to remember the object.
func (w *warmEntry) isValid(now clock.Time) bool {
	return w.start == w.target.coldStarts && !w.target.removed && now.Sub(w.at) < warmTTL
}

// markWarm records that t handles the object.
func (o *object) markWarm(now clock.Time, t *targetState) {
	if o == nil {
		return
	}
	w := warmEntry{target: t, start: t.coldStarts, at: now}
	oldest := 0
	for i := range o.warm {
		if o.warm[i].target == t {
			o.warm[i] = w
			return
		}
		if o.warm[i].at < o.warm[oldest].at {
			oldest = i
		}
	}
	if len(o.warm) < maxWarm {
		o.warm = append(o.warm, w)
		return
	}
	o.warm[oldest] = w
}

// unmarkWarm undoes markWarm.
func (o *object) unmarkWarm(t *targetState) {
	if o != nil {
		o.warm = slices.DeleteFunc(o.warm, func(w warmEntry) bool { return w.target == t })
	}
}

// isWarmAt reports whether t is assumed to remember the object.
func (o *object) isWarmAt(now clock.Time, t *targetState) bool {
	if o == nil {
		return false
	}
	for i := range o.warm {
		if o.warm[i].target == t {
			return o.warm[i].isValid(now)
		}
	}
	return false
}

// isWarmAnywhere reports whether any target is assumed to remember the object.
func (o *object) isWarmAnywhere(now clock.Time) bool {
	if o == nil {
		return false
	}
	for i := range o.warm {
		if o.warm[i].isValid(now) {
			return true
		}
	}
	return false
}

// group is a set of targets of a service that has its own order for an object:
// each failure domain of the own region, and all other regions together.
type group int

// groupRemote holds the targets of other regions; the failure domains of the own
// region follow.
const groupRemote group = 0

// groupsOf numbers the failure domains of a region.
func groupsOf(regions map[fleet.Domain]fleet.Region, own fleet.Region) map[fleet.Domain]group {
	var domains []fleet.Domain
	for d, r := range regions {
		if r == own {
			domains = append(domains, d)
		}
	}
	slices.Sort(domains)
	groups := make(map[fleet.Domain]group, len(domains))
	for i, d := range domains {
		groups[d] = groupRemote + 1 + group(i)
	}
	return groups
}

// score returns t with its score for the object.
func (o *object) score(t *targetState) scored {
	return scored{t: t, score: rank.Score(o.name, string(t.ID))}
}

// order computes the targets that come first for the object.
func (o *object) order(s *service) {
	o.ranked = make([][]scored, len(s.groups))
	for g, members := range s.groups {
		for _, t := range members {
			o.ranked[g] = insertBest(o.ranked[g], o.score(t), maxRanked)
		}
	}
}

// insertBest inserts x into list, which holds the best targets in order, at most
// limit of them.
func insertBest(list []scored, x scored, limit int) []scored {
	at := len(list)
	for at > 0 && x.before(list[at-1]) {
		at--
	}
	switch {
	case at == limit:
		return list
	case len(list) < limit:
		list = append(list, scored{})
	}
	copy(list[at+1:], list[at:])
	list[at] = x
	return list
}

// targetListed updates the order for a target that was added to its group.
func (o *object) targetListed(s *service, t *targetState) {
	if o.ranked == nil {
		return
	}
	first := o.ranked[t.group]
	x := o.score(t)
	// Targets after the last ranked one are unknown, unless all are ranked; s
	// already counts t.
	all := len(first) >= len(s.groups[t.group])-1
	if !all && len(first) > 0 && first[len(first)-1].before(x) {
		return
	}
	o.ranked[t.group] = insertBest(first, x, maxRanked)
}

// targetUnlisted updates the order for a target that was removed from its group.
// When the last ranked target is removed, the order is recomputed on its next use.
func (o *object) targetUnlisted(s *service, t *targetState) {
	if o.ranked == nil {
		return
	}
	first := slices.DeleteFunc(o.ranked[t.group], func(x scored) bool { return x.t == t })
	o.ranked[t.group] = first
	if len(first) == 0 && len(s.groups[t.group]) > 0 {
		o.ranked = nil
	}
}
