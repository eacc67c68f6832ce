package config

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// catchUp fetches content from peers known to hold it, one request at a time.
type catchUp struct {
	highest      uint64     // highest revision known to exist, whether or not its content came
	highestSince clock.Time // when highest first exceeded what is in force
	candidates   []candidate
	notBefore    clock.Time // when to ask the first peer
	asked        fleet.VMID // peer whose answer is awaited; empty if none
	deadline     clock.Time // when another peer is asked
	full         bool       // ask for a snapshot: a delta didn't fit
}

// candidate is a peer whose content supersedes the own one.
type candidate struct {
	id    fleet.VMID
	point Point
}

// supersedes reports whether p replaces q where both are offered: the higher
// revision does, and under one revision the greater hash.
func (p Point) supersedes(q Point) bool {
	if p.Revision != q.Revision {
		return p.Revision > q.Revision
	}
	return p.Hash > q.Hash
}

// addCandidate notes that a peer holds p.
func (s *State) addCandidate(from fleet.VMID, p Point) {
	c := &s.catchUp
	held := s.point()
	if !p.supersedes(held) {
		return
	}
	if p.Revision > c.highest {
		c.highest = p.Revision
		c.highestSince = s.now
	}
	if s.held != nil && p.Revision == held.Revision {
		c.full = true
	}
	if len(c.candidates) == 0 {
		c.notBefore = s.now
		if s.domainReads() {
			c.notBefore = s.now.Add(WantDelay)
		}
	}
	c.candidates = slices.DeleteFunc(c.candidates, func(x candidate) bool { return x.id == from })
	if len(c.candidates) == maxCandidates {
		c.candidates = slices.Delete(c.candidates, 0, 1)
	}
	c.candidates = append(c.candidates, candidate{id: from, point: p})
}

// prune drops the candidates whose content does not supersede p.
func (c *catchUp) prune(p Point) {
	c.candidates = slices.DeleteFunc(c.candidates, func(x candidate) bool { return !x.point.supersedes(p) })
	c.highest = max(c.highest, p.Revision)
	c.asked = ""
	c.full = false
}

// pending reports whether content of a higher revision than held is still
// being asked for.
func (c *catchUp) pending(held uint64, now clock.Time) bool {
	return c.highest > held && now.Sub(c.highestSince) < CatchUpLimit
}

func (c *catchUp) wake(now clock.Time) clock.Time {
	switch {
	case c.asked != "":
		return c.deadline
	case len(c.candidates) > 0 && now.Before(c.notBefore):
		return c.notBefore
	default:
		return clock.Never
	}
}

// dueCatchUp asks the best candidate, and gives up on one that didn't answer.
func (s *State) dueCatchUp(out *Ready) {
	c := &s.catchUp
	if c.asked != "" && s.now.Before(c.deadline) {
		return
	}
	if c.asked != "" {
		s.dropCandidate(c.asked)
	}
	if len(c.candidates) == 0 || s.now.Before(c.notBefore) || (s.held == nil && !s.join.collected(s.now)) {
		return
	}
	best := c.best()
	w := &Want{Format: Format, Have: s.point().Revision}
	if c.full {
		w.Have = 0
	}
	c.asked = best.id
	c.deadline = s.now.Add(WantTimeout)
	s.send(best.id, w, out)
}

// best returns the candidate with the newest content; of equals the first known.
func (c *catchUp) best() candidate {
	best := c.candidates[0]
	for _, x := range c.candidates[1:] {
		if x.point.supersedes(best.point) {
			best = x
		}
	}
	return best
}

func (s *State) dropCandidate(id fleet.VMID) {
	c := &s.catchUp
	c.candidates = slices.DeleteFunc(c.candidates, func(x candidate) bool { return x.id == id })
	c.asked = ""
}

// want answers a peer that is behind.
func (s *State) want(from fleet.VMID, m *Want, out *Ready) {
	if s.held == nil {
		return
	}
	if m.Have >= s.held.cat.Revision {
		s.send(from, s.makeDigest(), out)
		return
	}
	if d, ok := s.history.since(m.Have, s.held, MaxDeltaEntries); ok && m.Have > 0 {
		d.Age = s.age()
		s.send(from, d, out)
		return
	}
	if !s.gossip.allowSnapshot(from, s.now) {
		return
	}
	for _, part := range snapshotOf(s.held, s.age()) {
		s.send(from, part, out)
	}
}

// delta takes a Delta.
func (s *State) delta(from fleet.VMID, d *Delta, out *Ready) {
	p := Point{Revision: d.To, Hash: d.Hash}
	if s.held == nil || d.From > s.held.cat.Revision {
		s.addCandidate(from, p)
		s.catchUp.notBefore = s.now
		return
	}
	if d.To <= s.held.cat.Revision {
		s.compare(from, p, d.Age)
		return
	}
	c, err := s.held.apply(d)
	if err != nil {
		// The base differs from the sender's, or the delta is damaged: only
		// a snapshot helps.
		s.countRefusal(err)
		s.addCandidate(from, p)
		s.catchUp.notBefore = s.now
		s.catchUp.full = true
		return
	}
	s.adoptFrom(from, c, out)
	s.confirmByPeer(p, d.Age)
}

// snapshot takes one part of a Snapshot.
func (s *State) snapshot(from fleet.VMID, m *Snapshot, out *Ready) {
	p := Point{Revision: m.Revision, Hash: m.Hash}
	if !p.supersedes(s.point()) {
		s.compare(from, p, m.Age)
		return
	}
	c, err := s.parts.add(m)
	if err != nil {
		s.countRefusal(err)
		return
	}
	if c == nil {
		return
	}
	if s.held == nil {
		at := s.now.Add(-m.Age.Duration())
		s.offerJoin(offer{content: c, confirmed: m.Age != Unknown, at: at}, out)
		return
	}
	s.adoptFrom(from, c, out)
	s.confirmByPeer(p, m.Age)
}

// compare evaluates a peer's point p: a confirmation, a divergence, or content
// to fetch.
func (s *State) compare(from fleet.VMID, p Point, age Age) {
	held := s.point()
	switch {
	case p == held:
		s.confirmByPeer(p, age)
	case p.Revision == held.Revision && p.Revision > 0:
		s.counters.Diverged++
		s.addCandidate(from, p)
	default:
		s.addCandidate(from, p)
	}
}
