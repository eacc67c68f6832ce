package dispatch

import (
	"github.com/azurethread/azurethread/decide/target"
)

// Bounds and weights for the choice of a target.
const (
	maxCompared         = 16  // free targets compared for one request
	maxBorrowCandidates = 16  // full targets checked for a slot to borrow
	loadCostWeight      = 0.1 // relative cost added at full load
	slowTargetFactor    = 3   // multiple of the mean latency above which a free target is skipped if waiting is faster
)

// choose returns a target with a free slot for r, or nil. Borrowed reports that
// the slot exceeds this entry VM's share.
func (s *State) choose(r *request) (t *targetState, borrowed bool) {
	svc := r.svc
	if len(svc.targets) == 0 {
		return nil, false
	}
	switch s.policy {
	case target.RoundRobin:
		t = s.roundRobin(svc)
	case target.Random:
		t = s.randomFree(svc)
	case target.LeastInFlight:
		t = s.leastInFlight(svc)
	case target.TwoChoices:
		t = s.twoChoices(svc)
	default:
		t = s.lowestExpectedLatency(r)
	}
	if t != nil {
		return t, false
	}
	if s.opts.PlainBalancer || r.hops > 0 {
		return nil, false
	}
	return s.borrowTarget(r), true
}

// lowestExpectedLatency returns the free target with the lowest expected
// latency, or nil when waiting for another one is faster.
func (s *State) lowestExpectedLatency(r *request) *targetState {
	svc := r.svc
	mean := svc.meanLatency()
	n := len(svc.targets)
	start := int(r.block % uint64(n))
	var best *targetState
	bestCost := 0.0
	i := svc.freeTargets.cyclic(start)
	first := i
	for seen := 0; i >= 0 && seen < maxCompared; seen++ {
		t := svc.targets[i]
		if t != r.avoidTarget || best == nil {
			if c := s.expectedLatency(t, mean); best == nil || c < bestCost || best == r.avoidTarget {
				best, bestCost = t, c
			}
		}
		if i++; i == n {
			i = 0
		}
		if i = svc.freeTargets.cyclic(i); i == first {
			break
		}
	}
	if best == nil {
		return nil
	}
	// The slots that a duplicate would wait for may be occupied by attempts on
	// silent connections, which are not freed.
	if !r.duplicated && bestCost > slowTargetFactor*mean && s.fasterToWait(svc, bestCost, mean) {
		return nil
	}
	return best
}

// expectedLatency returns the expected time until t answers, in ns.
func (s *State) expectedLatency(t *targetState, mean float64) float64 {
	c := t.mean.At(s.now, mean)
	slots := float64(t.slots)
	busy := float64(t.inFlight) + t.borrow.Others(s.now, t.slots, t.share, s.lim.MaxLoadAge)
	if busy+1 > slots {
		return c * (busy + 1) / slots
	}
	return c * (1 + loadCostWeight*busy/slots)
}

// fasterToWait reports whether waiting for a slot of a busy target is expected
// to give an answer sooner than a free target with slowLatency does. Latencies
// are in ns.
func (s *State) fasterToWait(svc *service, slowLatency, mean float64) bool {
	busySlots := 0
	for _, t := range svc.targets {
		if t.capacity > 0 && t.inFlight >= t.capacity {
			busySlots += t.inFlight
		}
	}
	if busySlots == 0 {
		return false
	}
	ahead := float64(svc.queue.Len() + 1)
	return mean+mean*ahead/float64(busySlots) < slowLatency
}

// borrowTarget returns a target that has reported free slots beyond this entry
// VM's share, or nil.
func (s *State) borrowTarget(r *request) *targetState {
	if s.peers.Count == 1 {
		return nil
	}
	svc := r.svc
	n := len(svc.targets)
	start := int(r.block % uint64(n))
	for k := 0; k < min(n, maxBorrowCandidates); k++ {
		t := svc.targets[(start+k)%n]
		if t != r.avoidTarget && t.inFlight < s.maxInFlight(t) {
			return t
		}
	}
	return nil
}

// maxInFlight returns how many requests t may have in flight, including
// borrowed slots.
func (s *State) maxInFlight(t *targetState) int {
	if t.leaving || s.now < t.pausedUntil || t.outlier.State() != target.InUse {
		return t.capacity
	}
	if t.limit.Limit() < t.share {
		return t.capacity // don't borrow from a target that was slow or refused requests lately
	}
	return t.capacity + t.borrow.Slots(s.now, t.slots, t.share, s.lim.MaxLoadAge)
}

func (s *State) roundRobin(svc *service) *targetState {
	i := svc.freeTargets.cyclic(svc.nextIndex % len(svc.targets))
	if i < 0 {
		return nil
	}
	svc.nextIndex = i + 1
	return svc.targets[i]
}

func (s *State) randomFree(svc *service) *targetState {
	n := svc.freeTargets.count()
	if n == 0 {
		return nil
	}
	i := svc.freeTargets.next(0)
	for k := s.rng.IntN(n); k > 0; k-- {
		i = svc.freeTargets.next(i + 1)
	}
	return svc.targets[i]
}

// leastInFlight starts at a different target each time, so that equally loaded
// targets share the requests.
func (s *State) leastInFlight(svc *service) *targetState {
	var best *targetState
	n := len(svc.targets)
	svc.nextIndex++
	for k := 0; k < n; k++ {
		i := (svc.nextIndex + k) % n
		if t := svc.targets[i]; svc.freeTargets.has(i) && (best == nil || t.inFlight < best.inFlight) {
			best = t
		}
	}
	return best
}

func (s *State) twoChoices(svc *service) *targetState {
	a, b := s.randomFree(svc), s.randomFree(svc)
	if a == nil || a.inFlight <= b.inFlight {
		return a
	}
	return b
}
