package member

import (
	"cmp"
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

// applyReach merges a statement. It reports whether Reachable has changed.
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
		s.claimsChanged = s.claimsChanged || changed
		return changed
	}
	if len(s.reaches) >= MaxReaches && !s.displaceReach(r) {
		return false
	}
	s.reaches = append(s.reaches, reachState{reach: *r, at: at})
	s.claimsChanged = true
	return !r.Reachable
}

// displaceReach makes room for a result of the own domain by dropping the
// oldest one of another. Without it a wide outage, in which other domains
// publish MaxReaches results, would hide from this domain that a remote is
// unreachable, and callers would be sent there: only own results withdraw VMs.
func (s *State) displaceReach(r *Reach) bool {
	own := s.self.vm.Domain
	if r.SeenDomain != own {
		return false
	}
	oldest := -1
	for i := range s.reaches {
		h := &s.reaches[i]
		if h.reach.SeenDomain != own && (oldest < 0 || h.at < s.reaches[oldest].at) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	s.reaches = slices.Delete(s.reaches, oldest, oldest+1)
	return true
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

// remote is a domain, or with an empty domain a whole region.
type remote struct {
	region fleet.Region
	domain fleet.Domain
}

// reachable reports the own domain's result for a remote; without one it is
// taken to be reachable. The results of other domains only trigger a probe.
// If they were applied, a domain that was itself cut off would, when it
// returns, withdraw VMs that all others could reach throughout.
func (s *State) reachable(rm remote) bool {
	for i := range s.reaches {
		h := &s.reaches[i].reach
		if h.SeenDomain == s.self.vm.Domain && h.Region == rm.region && h.Domain == rm.domain {
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
	if region != s.self.vm.Region && !s.reachable(remote{region: region}) {
		return false
	}
	return s.reachable(remote{region: region, domain: d})
}

// claimed reports whether any domain states that a remote is unreachable.
func (s *State) claimed(rm remote) bool {
	return slices.ContainsFunc(s.reaches, func(h reachState) bool {
		return !h.reach.Reachable && h.reach.Region == rm.region && h.reach.Domain == rm.domain
	})
}

// recordReach records this VM's own result for a remote, and publishes it if it
// differs from the last one.
func (s *State) recordReach(w *watch, ok bool) {
	w.lastReported = reportedNothing
	if ok && !s.claimed(w.remote) {
		return
	}
	r := Reach{
		Region:     w.remote.region,
		Domain:     w.remote.domain,
		SeenRegion: s.self.vm.Region,
		SeenDomain: s.self.vm.Domain,
		Reachable:  ok,
	}
	if s.applyReach(&r) {
		s.outbox.addReach(s.now.Add(flushDelay), outboxReach{reach: r, at: s.now, to: w.extent(s)})
	}
	w.lastReported = reportedReachable
	if !ok {
		w.lastReported = reportedUnreachable
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
	slices.SortStableFunc(held, func(a, b reachState) int { return cmp.Compare(b.at, a.at) })
	var out []Reach
	for _, h := range held[:min(len(held), maxReachesCarried)] {
		h.reach.Age = age(s.now, h.at)
		out = append(out, h.reach)
	}
	return out
}
