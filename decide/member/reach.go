package member

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// storedReachResult is a reachability result that this VM has measured or
// received.
type storedReachResult struct {
	result     ReachResult
	measuredAt clock.Time // on the local clock
}

// sameKey reports whether two results have the same remote and watcher.
func sameKey(a, b *ReachResult) bool {
	return a.Region == b.Region && a.Domain == b.Domain &&
		a.WatcherRegion == b.WatcherRegion && a.WatcherDomain == b.WatcherDomain
}

// applyReachResult stores a result if it is newer than the stored one. It
// reports whether Reachable has changed.
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
// oldest result of another domain. Without eviction, a large outage in which
// other domains publish MaxReachResults results would leave no room for the
// own result that a remote is unreachable. Only own results withdraw VMs, so
// callers would still be sent there.
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

// remote identifies another domain or, if domain is empty, a whole region.
type remote struct {
	region fleet.Region
	domain fleet.Domain
}

// reachable returns the own domain's result for a remote, or true without one.
// Results of other domains only trigger a probe. If they were applied, a domain
// that had been cut off would, on its return, withdraw VMs that all other
// domains could reach all the time.
func (s *State) reachable(rm remote) bool {
	for i := range s.reachResults {
		h := &s.reachResults[i].result
		if h.WatcherDomain == s.self.vm.Domain && h.Region == rm.region && h.Domain == rm.domain {
			return h.Reachable
		}
	}
	return true
}

// domainReachable reports whether neither a domain nor its region is recorded
// as unreachable from the own domain.
func (s *State) domainReachable(region fleet.Region, d fleet.Domain) bool {
	if d == s.self.vm.Domain {
		return true
	}
	if region != s.self.vm.Region && !s.reachable(remote{region: region}) {
		return false
	}
	return s.reachable(remote{region: region, domain: d})
}

// anyReportsUnreachable reports whether any domain has published that a remote
// is unreachable.
func (s *State) anyReportsUnreachable(rm remote) bool {
	return slices.ContainsFunc(s.reachResults, func(h storedReachResult) bool {
		return !h.result.Reachable && h.result.Region == rm.region && h.result.Domain == rm.domain
	})
}

// recordReachResult stores this VM's own result for a remote, and publishes it
// if it differs from the last one.
func (s *State) recordReachResult(w *watch, ok bool) {
	w.lastReported = reportedNothing
	if ok && !s.anyReportsUnreachable(w.remote) {
		return
	}
	r := ReachResult{
		Region:        w.remote.region,
		Domain:        w.remote.domain,
		WatcherRegion: s.self.vm.Region,
		WatcherDomain: s.self.vm.Domain,
		Reachable:     ok,
	}
	if s.applyReachResult(&r) {
		s.outbox.addReachResult(s.now.Add(flushDelay), outboxReachResult{result: r, measuredAt: s.now, to: w.extent(s)})
	}
	w.lastReported = reportedReachable
	if !ok {
		w.lastReported = reportedUnreachable
	}
}

// latestReachResults returns the latest results for one message. For a receiver
// in another region it leaves out results about whole regions and results that
// were measured outside of this region.
func (s *State) latestReachResults(otherRegion bool) []ReachResult {
	var selected []storedReachResult
	for _, h := range s.reachResults {
		if otherRegion && (h.result.Domain == "" || h.result.WatcherRegion != s.self.vm.Region) {
			continue
		}
		selected = append(selected, h)
	}
	slices.SortStableFunc(selected, func(a, b storedReachResult) int { return cmp.Compare(b.measuredAt, a.measuredAt) })
	var out []ReachResult
	for _, h := range selected[:min(len(selected), maxSentReachResults)] {
		h.result.Age = ageMillis(s.now, h.measuredAt)
		out = append(out, h.result)
	}
	return out
}
