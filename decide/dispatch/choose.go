package dispatch

import (
	"github.com/azurethread/azurethread/decide/target"
)

// The constants of the choice.
const (
	maxCompared         = 16  // free targets compared for one request
	maxBorrowCandidates = 16  // full targets looked at for a borrowed slot
	loadCostWeight      = 0.1 // added cost of a target that is all but full
	slowTargetFactor    = 3   // a free target this much slower than usual isn't taken if waiting is shorter
)

// choose returns a target with a free slot for r, or nil. Borrowed says that
// the slot is beyond this entry VM's share.
func (s *State) choose(r *request) (t *targetState, borrowed bool) {
	v := r.svc
	if len(v.targets) == 0 {
		return nil, false
	}
	switch s.policy {
	case target.RoundRobin:
		t = s.roundRobin(v)
	case target.Random:
		t = s.randomFree(v)
	case target.LeastInFlight:
		t = s.leastInFlight(v)
	case target.TwoChoices:
		t = s.twoChoices(v)
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

// lowestExpectedLatency returns the free target whose answer is expected first.
func (s *State) lowestExpectedLatency(r *request) *targetState {
	v := r.svc
	usual := v.meanLatency()
	n := len(v.targets)
	start := int(r.block % uint64(n))
	var best *targetState
	bestCost := 0.0
	i := v.freeTargets.cyclic(start)
	first := i
	for seen := 0; i >= 0 && seen < maxCompared; seen++ {
		t := v.targets[i]
		if t != r.avoidTarget || best == nil {
			if c := s.expectedLatency(t, usual); best == nil || c < bestCost || best == r.avoidTarget {
				best, bestCost = t, c
			}
		}
		if i++; i == n {
			i = 0
		}
		if i = v.freeTargets.cyclic(i); i == first {
			break
		}
	}
	if best == nil {
		return nil
	}
	// The slots that a second attempt would wait for may be those of silent
	// connections, which nobody frees.
	if !r.duplicated && bestCost > slowTargetFactor*usual && s.fasterToWait(v, bestCost, usual) {
		return nil
	}
	return best
}

// expectedLatency is the expected time to the answer of t in ns.
func (s *State) expectedLatency(t *targetState, usual float64) float64 {
	c := t.mean.At(s.now, usual)
	slots := float64(t.slots)
	busy := float64(t.inFlight) + t.borrow.Others(s.now, t.slots, t.share, s.lim.MaxLoadAge)
	if busy+1 > slots {
		return c * (busy + 1) / slots
	}
	return c * (1 + loadCostWeight*busy/slots)
}

// fasterToWait reports whether a slot of an ordinary target is expected to
// come free, and answer, before a slow target would.
func (s *State) fasterToWait(v *service, slow, usual float64) bool {
	others := 0
	for _, t := range v.targets {
		if t.capacity > 0 && t.inFlight >= t.capacity {
			others += t.inFlight
		}
	}
	if others == 0 {
		return false
	}
	ahead := float64(v.queue.Len() + 1)
	return usual+usual*ahead/float64(others) < slow
}

// borrowTarget returns a target whose slots beyond the own share are reported
// free, or nil.
func (s *State) borrowTarget(r *request) *targetState {
	if s.peers.Count == 1 {
		return nil
	}
	v := r.svc
	n := len(v.targets)
	start := int(r.block % uint64(n))
	for k := 0; k < min(n, maxBorrowCandidates); k++ {
		t := v.targets[(start+k)%n]
		if t != r.avoidTarget && t.inFlight < s.maxInFlight(t) {
			return t
		}
	}
	return nil
}

// maxInFlight is how many requests t may have in flight, borrowed slots included.
func (s *State) maxInFlight(t *targetState) int {
	if t.leaving || s.now < t.pausedUntil || t.outlier.Standing() != target.InUse {
		return t.capacity
	}
	if t.limit.Limit() < t.share {
		return t.capacity // refused or slow lately: not a target to ask for more
	}
	return t.capacity + t.borrow.Slots(s.now, t.slots, t.share, s.lim.MaxLoadAge)
}

func (s *State) roundRobin(v *service) *targetState {
	i := v.freeTargets.cyclic(v.nextIndex % len(v.targets))
	if i < 0 {
		return nil
	}
	v.nextIndex = i + 1
	return v.targets[i]
}

func (s *State) randomFree(v *service) *targetState {
	n := v.freeTargets.count()
	if n == 0 {
		return nil
	}
	i := v.freeTargets.next(0)
	for k := s.rng.IntN(n); k > 0; k-- {
		i = v.freeTargets.next(i + 1)
	}
	return v.targets[i]
}

// leastInFlight looks at the targets in turn, so that equal ones share.
func (s *State) leastInFlight(v *service) *targetState {
	var best *targetState
	n := len(v.targets)
	v.nextIndex++
	for k := 0; k < n; k++ {
		i := (v.nextIndex + k) % n
		if t := v.targets[i]; v.freeTargets.has(i) && (best == nil || t.inFlight < best.inFlight) {
			best = t
		}
	}
	return best
}

func (s *State) twoChoices(v *service) *targetState {
	a, b := s.randomFree(v), s.randomFree(v)
	if a == nil || a.inFlight <= b.inFlight {
		return a
	}
	return b
}
