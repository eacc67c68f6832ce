package ingress

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

// object is what a service knows of one object: where it was handled lately,
// and the targets that come first for it by rendezvous hashing.
//
// Both are kept for each object, so that a choice looks at a handful of targets
// however many the service has. Walking all of them for each request, and
// ranking them anew after each change, took a coordinator of a thousand targets
// half of a core at a thousand requests a second.
type object struct {
	name string
	warm []warmAt
	// first holds the targets of each group that come first, by falling score;
	// nil: not computed.
	first [][]scored
}

// warmAt says when a target last handled an object.
type warmAt struct {
	target *targetState
	// start tells apart what the target held before it became cold again.
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
	// firstKept is how many targets of a group are kept in the order for an
	// object. A choice needs two; the others stand in for those that are out of
	// use, cold or tried.
	firstKept = 6
	// warmKept is how many places of an object are kept. A region brings an
	// object to one or two targets, its repeats and crowds to some more.
	warmKept = 12
	// objectsKept bounds the objects of one generation of objects: twice as
	// many are known of a service at most, at about 600 bytes each.
	objectsKept = 4096
)

// objects holds the objects of one service in two generations. Those of the
// older one that were not asked for while the younger one filled are dropped.
type objects struct {
	young, old map[string]*object
}

// get returns the object of a name, which must not be empty, and keeps it.
func (os *objects) get(name string) *object {
	if o, ok := os.young[name]; ok {
		return o
	}
	o, ok := os.old[name]
	if !ok {
		o = &object{name: name}
	}
	if len(os.young) >= objectsKept {
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

// holds reports whether w still says something of its target.
func (w *warmAt) holds(now clock.Time) bool {
	return w.start == w.target.coldStarts && !w.target.gone && now.Sub(w.at) < warmFor
}

// remember notes that t handles the object.
func (o *object) remember(now clock.Time, t *targetState) {
	if o == nil {
		return
	}
	w := warmAt{target: t, start: t.coldStarts, at: now}
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
	if len(o.warm) < warmKept {
		o.warm = append(o.warm, w)
		return
	}
	o.warm[oldest] = w
}

// forget undoes remember.
func (o *object) forget(t *targetState) {
	if o != nil {
		o.warm = slices.DeleteFunc(o.warm, func(w warmAt) bool { return w.target == t })
	}
}

// warmAt reports whether t is taken to remember the object.
func (o *object) warmAt(now clock.Time, t *targetState) bool {
	if o == nil {
		return false
	}
	for i := range o.warm {
		if o.warm[i].target == t {
			return o.warm[i].holds(now)
		}
	}
	return false
}

// warmSomewhere reports whether a target is known to remember the object.
func (o *object) warmSomewhere(now clock.Time) bool {
	if o == nil {
		return false
	}
	for i := range o.warm {
		if o.warm[i].holds(now) {
			return true
		}
	}
	return false
}

// group is a set of targets of a service whose order for an object is kept
// apart: each failure domain of the own region, and all other regions together.
type group int

// groupElsewhere holds the targets of other regions; those of the own region's
// failure domains follow.
const groupElsewhere group = 0

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
		groups[d] = groupElsewhere + 1 + group(i)
	}
	return groups
}

// score is the score of t for the object.
func (o *object) score(t *targetState) scored {
	return scored{t: t, score: rank.Score(o.name, string(t.ID))}
}

// order computes the targets that come first for the object.
func (o *object) order(s *service) {
	o.first = make([][]scored, len(s.groups))
	for g, members := range s.groups {
		for _, t := range members {
			o.first[g] = insertBest(o.first[g], o.score(t), firstKept)
		}
	}
}

// insertBest puts x at its place among the most best ones in list, if it is one
// of them.
func insertBest(list []scored, x scored, most int) []scored {
	at := len(list)
	for at > 0 && x.before(list[at-1]) {
		at--
	}
	switch {
	case at == most:
		return list
	case len(list) < most:
		list = append(list, scored{})
	}
	copy(list[at+1:], list[at:])
	list[at] = x
	return list
}

// joined takes a target that has come into use.
func (o *object) joined(s *service, t *targetState) {
	if o.first == nil {
		return
	}
	first := o.first[t.group]
	x := o.score(t)
	// Beyond the last one kept stand others that are not known, unless these
	// are all: s counts t already.
	all := len(first) >= len(s.groups[t.group])-1
	if !all && len(first) > 0 && first[len(first)-1].before(x) {
		return
	}
	o.first[t.group] = insertBest(first, x, firstKept)
}

// left takes a target that has gone out of use. Once the last of those kept has
// left, the order is computed anew when it is asked for.
func (o *object) left(s *service, t *targetState) {
	if o.first == nil {
		return
	}
	first := slices.DeleteFunc(o.first[t.group], func(x scored) bool { return x.t == t })
	o.first[t.group] = first
	if len(first) == 0 && len(s.groups[t.group]) > 0 {
		o.first = nil
	}
}
