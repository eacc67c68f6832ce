package member

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// storedReachResult is a statement about reachability as held here.
type storedReachResult struct {
	result ReachResult
	measuredAt    clock.Time // when it was measured
}

func sameKey(a, b *ReachResult) bool {
	return a.Region == b.Region && a.Domain == b.Domain &&
		a.WatcherRegion == b.WatcherRegion && a.WatcherDomain == b.WatcherDomain
}

// applyReachResult merges a statement. It reports whether Reachable has changed.
func (s *State) applyReachResult(r *ReachResult) bool {
	at := timeFromAge(s.now, r.Age)
	if s.now.Sub(at) > reachResultTTL {
		return false
	}
	for i := range s.reachResults {
		h := &s.reachResults[i]
		if !sameKey(&h.result, r) {
			continue
		}
		if at <= h.measuredAt {
			return false
		}
		changed := h.result.Reachable != r.Reachable
		h.result, h.measuredAt = *r, at
		s.reachChanged = s.reachChanged || changed
		return changed
	}
	if len(s.reachResults) >= MaxReachResults && !s.evictReachResult(r) {
		return false
	}
	s.reachResults = append(s.reachResults, storedReachResult{result: *r, measuredAt: at})
	s.reachChanged = true
	return !r.Reachable
}

// evictReachResult makes room for a result of the own domain by dropping the
// oldest one of another. Without it a wide outage, in which other domains
// publish MaxReaches results, would hide from this domain that a remote is
// unreachable, and callers would be sent there: only own results withdraw VMs.
func (s *State) evictReachResult(r *ReachResult) bool {
	own := s.self.vm.Domain
	if r.WatcherDomain != own {
		return false
	}
	oldest := -1
	for i := range s.reachResults {
		h := &s.reachResults[i]
		if h.result.WatcherDomain != own && (oldest < 0 || h.measuredAt < s.reachResults[oldest].measuredAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	s.reachResults = slices.Delete(s.reachResults, oldest, oldest+1)
	return true
}

func (s *State) applyReachResults(rs []ReachResult) {
	for i := range rs {
		s.applyReachResult(&rs[i])
	}
}

func (s *State) expireReachResults() {
	s.reachResults = slices.DeleteFunc(s.reachResults, func(h storedReachResult) bool {
		return s.now.Sub(h.measuredAt) > reachResultTTL
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
	for i := range s.reachResults {
		h := &s.reachResults[i].result
		if h.WatcherDomain == s.self.vm.Domain && h.Region == rm.region && h.Domain == rm.domain {
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

// anyReportsUnreachable reports whether any domain states that a remote is unreachable.
func (s *State) anyReportsUnreachable(rm remote) bool {
	return slices.ContainsFunc(s.reachResults, func(h storedReachResult) bool {
		return !h.result.Reachable && h.result.Region == rm.region && h.result.Domain == rm.domain
	})
}

// recordReachResult records this VM's own result for a remote, and publishes it if it
// differs from the last one.
func (s *State) recordReachResult(w *watch, ok bool) {
	w.lastReported = reportedNothing
	if ok && !s.anyReportsUnreachable(w.remote) {
		return
	}
	r := ReachResult{
		Region:     w.remote.region,
		Domain:     w.remote.domain,
		WatcherRegion: s.self.vm.Region,
		WatcherDomain: s.self.vm.Domain,
		Reachable:  ok,
	}
	if s.applyReachResult(&r) {
		s.outbox.addReachResult(s.now.Add(flushDelay), outboxReachResult{result: r, measuredAt: s.now, to: w.extent(s)})
	}
	w.lastReported = reportedReachable
	if !ok {
		w.lastReported = reportedUnreachable
	}
}

// latestReachResults returns statements for one message: those that others can
// use, the latest first.
func (s *State) latestReachResults(far bool) []ReachResult {
	var held []storedReachResult
	for _, h := range s.reachResults {
		if far && (h.result.Domain == "" || h.result.WatcherRegion != s.self.vm.Region) {
			continue
		}
		held = append(held, h)
	}
	slices.SortStableFunc(held, func(a, b storedReachResult) int { return cmp.Compare(b.measuredAt, a.measuredAt) })
	var out []ReachResult
	for _, h := range held[:min(len(held), maxSentReachResults)] {
		h.result.Age = ageMillis(s.now, h.measuredAt)
		out = append(out, h.result)
	}
	return out
}
