package member

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// reachState is a statement about reachability as held here.
type reachState struct {
	reach Reach
	at    clock.Time // when it was measured
}

func sameKey(a, b *Reach) bool {
	return a.Region == b.Region && a.Domain == b.Domain &&
		a.SeenRegion == b.SeenRegion && a.SeenDomain == b.SeenDomain
}

// applyReach merges a statement. It reports whether its word differs from
// what was held.
func (s *State) applyReach(r *Reach) bool {
	at := since(s.now, r.Age)
	if s.now.Sub(at) > reachFor {
		return false
	}
	for i := range s.reaches {
		h := &s.reaches[i]
		if !sameKey(&h.reach, r) {
			continue
		}
		if at <= h.at {
			return false
		}
		changed := h.reach.Reachable != r.Reachable
		h.reach, h.at = *r, at
		s.claims = s.claims || changed
		return changed
	}
	if len(s.reaches) >= MaxReaches {
		return false
	}
	s.reaches = append(s.reaches, reachState{reach: *r, at: at})
	s.claims = true
	return !r.Reachable
}

func (s *State) applyReaches(rs []Reach) {
	for i := range rs {
		s.applyReach(&rs[i])
	}
}

func (s *State) expireReaches() {
	s.reaches = slices.DeleteFunc(s.reaches, func(h reachState) bool {
		return s.now.Sub(h.at) > reachFor
	})
}

// item is a domain, or with an empty domain a whole region.
type item struct {
	region fleet.Region
	domain fleet.Domain
}

// reachable reports the own domain's finding about an item. Nothing found
// means reachable. What other domains say only makes this one check: believed
// at once, the word of a domain that was itself cut off would, when it comes
// back, withdraw VMs that everybody else has reached all the time.
func (s *State) reachable(it item) bool {
	for i := range s.reaches {
		h := &s.reaches[i].reach
		if h.SeenDomain == s.self.vm.Domain && h.Region == it.region && h.Domain == it.domain {
			return h.Reachable
		}
	}
	return true
}

// domainReachable reports whether a domain may be used from here.
func (s *State) domainReachable(region fleet.Region, d fleet.Domain) bool {
	if d == s.self.vm.Domain {
		return true
	}
	if region != s.self.vm.Region && !s.reachable(item{region: region}) {
		return false
	}
	return s.reachable(item{region: region, domain: d})
}

// claimed reports whether anybody says that an item is unreachable.
func (s *State) claimed(it item) bool {
	return slices.ContainsFunc(s.reaches, func(h reachState) bool {
		return !h.reach.Reachable && h.reach.Region == it.region && h.reach.Domain == it.domain
	})
}

// measured records this VM's own finding about an item and tells it if it is
// news.
func (s *State) measured(w *watch, ok bool) {
	w.lastSaid = saidNothing
	if ok && !s.claimed(w.item) {
		return
	}
	r := Reach{
		Region:     w.item.region,
		Domain:     w.item.domain,
		SeenRegion: s.self.vm.Region,
		SeenDomain: s.self.vm.Domain,
		Reachable:  ok,
	}
	if s.applyReach(&r) {
		s.news.addReach(s.now.Add(flushDelay), newsReach{reach: r, at: s.now, to: w.extent(s)})
	}
	w.lastSaid = saidReachable
	if !ok {
		w.lastSaid = saidUnreachable
	}
}

// carriedReaches returns statements for one message: those that others can
// use, the latest first.
func (s *State) carriedReaches(far bool) []Reach {
	var held []reachState
	for _, h := range s.reaches {
		if far && (h.reach.Domain == "" || h.reach.SeenRegion != s.self.vm.Region) {
			continue
		}
		held = append(held, h)
	}
	slices.SortStableFunc(held, func(a, b reachState) int { return int(b.at.Sub(a.at)) })
	var out []Reach
	for _, h := range held[:min(len(held), maxReachesCarried)] {
		h.reach.Age = age(s.now, h.at)
		out = append(out, h.reach)
	}
	return out
}
