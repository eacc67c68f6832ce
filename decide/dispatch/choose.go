package dispatch

import (
	"github.com/azurethread/azurethread/decide/target"
)

// The constants of the choice.
const (
	maxCompared  = 16  // free targets compared for one request
	maxBorrowers = 16  // full targets looked at for a borrowed slot
	loadWeight   = 0.1 // added cost of a target that is all but full
	slowerTimes  = 3   // a free target this much slower than usual isn't taken if waiting is shorter
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
		t = s.inTurn(v)
	case target.Random:
		t = s.anyFree(v)
	case target.LeastInFlight:
		t = s.leastInFlight(v)
	case target.TwoChoices:
		t = s.twoChoices(v)
	default:
		t = s.soonest(r)
	}
	if t != nil {
		return t, false
	}
	if s.opts.Ungated || r.hops > 0 {
		return nil, false
	}
	return s.borrowable(r), true
}

// soonest returns the free target whose answer is expected first.
func (s *State) soonest(r *request) *targetState {
	v := r.svc
	usual := v.usual()
	n := len(v.targets)
	start := int(r.block % uint64(n))
	var best *targetState
	bestCost := 0.0
	i := v.free.cyclic(start)
	first := i
	for seen := 0; i >= 0 && seen < maxCompared; seen++ {
		t := v.targets[i]
		if t != r.avoid || best == nil {
			if c := s.cost(t, usual); best == nil || c < bestCost || best == r.avoid {
				best, bestCost = t, c
			}
		}
		if i++; i == n {
			i = 0
		}
		if i = v.free.cyclic(i); i == first {
			break
		}
	}
	if best == nil {
		return nil
	}
	// The slots that a second attempt would wait for may be those of silent
	// connections, which nobody frees.
	if !r.seconded && bestCost > slowerTimes*usual && s.betterToWait(v, bestCost, usual) {
		return nil
	}
	return best
}

// cost is the expected time to the answer of t in ns.
func (s *State) cost(t *targetState, usual float64) float64 {
	c := t.mean.At(s.now, usual)
	slots := float64(t.slots)
	busy := float64(t.inFlight) + t.borrow.Others(s.now, t.slots, t.share, s.lim.LoadHorizon)
	if busy+1 > slots {
		return c * (busy + 1) / slots
	}
	return c * (1 + loadWeight*busy/slots)
}

// betterToWait reports whether a slot of an ordinary target is expected to
// come free, and answer, before a slow target would.
func (s *State) betterToWait(v *service, slow, usual float64) bool {
	others := 0
	for _, t := range v.targets {
		if t.granted > 0 && t.inFlight >= t.granted {
			others += t.inFlight
		}
	}
	if others == 0 {
		return false
	}
	ahead := float64(v.queue.Len() + 1)
	return usual+usual*ahead/float64(others) < slow
}

// borrowable returns a target whose slots beyond the own share are reported
// free, or nil.
func (s *State) borrowable(r *request) *targetState {
	if s.peers.Count == 1 {
		return nil
	}
	v := r.svc
	n := len(v.targets)
	start := int(r.block % uint64(n))
	for k := 0; k < min(n, maxBorrowers); k++ {
		t := v.targets[(start+k)%n]
		if t != r.avoid && t.inFlight < s.allowed(t) {
			return t
		}
	}
	return nil
}

// allowed is how many requests t may have in flight, borrowed slots included.
func (s *State) allowed(t *targetState) int {
	if t.leaving || s.now < t.pausedUntil || t.outlier.Standing() != target.InUse {
		return t.granted
	}
	if t.limit.Limit() < t.share {
		return t.granted // refused or slow lately: not a target to ask for more
	}
	return t.granted + t.borrow.Slots(s.now, t.slots, t.share, s.lim.LoadHorizon)
}

func (s *State) inTurn(v *service) *targetState {
	i := v.free.cyclic(v.turn % len(v.targets))
	if i < 0 {
		return nil
	}
	v.turn = i + 1
	return v.targets[i]
}

func (s *State) anyFree(v *service) *targetState {
	n := v.free.count()
	if n == 0 {
		return nil
	}
	i := v.free.next(0)
	for k := s.rng.IntN(n); k > 0; k-- {
		i = v.free.next(i + 1)
	}
	return v.targets[i]
}

// leastInFlight looks at the targets in turn, so that equal ones share.
func (s *State) leastInFlight(v *service) *targetState {
	var best *targetState
	n := len(v.targets)
	v.turn++
	for k := 0; k < n; k++ {
		i := (v.turn + k) % n
		if t := v.targets[i]; v.free.has(i) && (best == nil || t.inFlight < best.inFlight) {
			best = t
		}
	}
	return best
}

func (s *State) twoChoices(v *service) *targetState {
	a, b := s.anyFree(v), s.anyFree(v)
	if a == nil || a.inFlight <= b.inFlight {
		return a
	}
	return b
}
