package config

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// catchUp fetches content from peers known to hold it, one request at a time.
type catchUp struct {
	highestKnown      uint64     // highest revision known to exist, whether or not its content came
	highestKnownSince clock.Time // when highest first exceeded what is in force
	candidates        []candidate
	askAfter          clock.Time // when to ask the first peer
	askedPeer         fleet.VMID // peer whose answer is awaited; empty if none
	deadline          clock.Time // when another peer is asked
	wantSnapshot      bool       // ask for a snapshot: a delta didn't fit
}

// candidate is a peer whose content supersedes the own one.
type candidate struct {
	id      fleet.VMID
	version Point
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
	held := s.currentVersion()
	if !p.supersedes(held) {
		return
	}
	if p.Revision > c.highestKnown {
		c.highestKnown = p.Revision
		c.highestKnownSince = s.now
	}
	if s.current != nil && p.Revision == held.Revision {
		c.wantSnapshot = true
	}
	if len(c.candidates) == 0 {
		c.askAfter = s.now
		if s.domainHasReader() {
			c.askAfter = s.now.Add(UpdateRequestDelay)
		}
	}
	c.candidates = slices.DeleteFunc(c.candidates, func(x candidate) bool { return x.id == from })
	if len(c.candidates) == maxCandidates {
		c.candidates = slices.Delete(c.candidates, 0, 1)
	}
	c.candidates = append(c.candidates, candidate{id: from, version: p})
}

// prune drops the candidates whose content does not supersede p.
func (c *catchUp) prune(p Point) {
	c.candidates = slices.DeleteFunc(c.candidates, func(x candidate) bool { return !x.version.supersedes(p) })
	c.highestKnown = max(c.highestKnown, p.Revision)
	c.askedPeer = ""
	c.wantSnapshot = false
}

// pending reports whether content of a higher revision than held is still
// being asked for.
func (c *catchUp) pending(held uint64, now clock.Time) bool {
	return c.highestKnown > held && now.Sub(c.highestKnownSince) < CatchUpTimeout
}

func (c *catchUp) wake(now clock.Time) clock.Time {
	switch {
	case c.askedPeer != "":
		return c.deadline
	case len(c.candidates) > 0 && now.Before(c.askAfter):
		return c.askAfter
	default:
		return clock.Never
	}
}

// runCatchUpTimers asks the best candidate, and gives up on one that didn't answer.
func (s *State) runCatchUpTimers(out *Ready) {
	c := &s.catchUp
	if c.askedPeer != "" && s.now.Before(c.deadline) {
		return
	}
	if c.askedPeer != "" {
		s.dropCandidate(c.askedPeer)
	}
	if len(c.candidates) == 0 || s.now.Before(c.askAfter) || (s.current == nil && !s.join.answersComplete(s.now)) {
		return
	}
	best := c.best()
	w := &UpdateRequest{Format: Format, Have: s.currentVersion().Revision}
	if c.wantSnapshot {
		w.Have = 0
	}
	c.askedPeer = best.id
	c.deadline = s.now.Add(UpdateRequestTimeout)
	s.send(best.id, w, out)
}

// best returns the candidate with the newest content; of equals the first known.
func (c *catchUp) best() candidate {
	best := c.candidates[0]
	for _, x := range c.candidates[1:] {
		if x.version.supersedes(best.version) {
			best = x
		}
	}
	return best
}

func (s *State) dropCandidate(id fleet.VMID) {
	c := &s.catchUp
	c.candidates = slices.DeleteFunc(c.candidates, func(x candidate) bool { return x.id == id })
	c.askedPeer = ""
}

// handleUpdateRequest answers a peer that is behind.
func (s *State) handleUpdateRequest(from fleet.VMID, m *UpdateRequest, out *Ready) {
	if s.current == nil {
		return
	}
	if m.Have >= s.current.cat.Revision {
		s.send(from, s.makeDigest(), out)
		return
	}
	if d, ok := s.history.deltaSince(m.Have, s.current, MaxDeltaEntries); ok && m.Have > 0 {
		d.Age = s.messageAge()
		s.send(from, d, out)
		return
	}
	if !s.gossip.allowSnapshot(from, s.now) {
		return
	}
	for _, part := range splitSnapshot(s.current, s.messageAge()) {
		s.send(from, part, out)
	}
}

// handleDelta takes a Delta.
func (s *State) handleDelta(from fleet.VMID, d *Delta, out *Ready) {
	p := Point{Revision: d.To, Hash: d.Hash}
	if s.current == nil || d.From > s.current.cat.Revision {
		s.addCandidate(from, p)
		s.catchUp.askAfter = s.now
		return
	}
	if d.To <= s.current.cat.Revision {
		s.compareWithPeer(from, p, d.Age)
		return
	}
	c, err := s.current.apply(d)
	if err != nil {
		// The base differs from the sender's, or the delta is damaged: only
		// a snapshot helps.
		s.countRejected(err)
		s.addCandidate(from, p)
		s.catchUp.askAfter = s.now
		s.catchUp.wantSnapshot = true
		return
	}
	s.installFromPeer(from, c, out)
	s.confirmByPeer(p, d.Age)
}

// handleSnapshot takes one part of a Snapshot.
func (s *State) handleSnapshot(from fleet.VMID, m *Snapshot, out *Ready) {
	p := Point{Revision: m.Revision, Hash: m.Hash}
	if !p.supersedes(s.currentVersion()) {
		s.compareWithPeer(from, p, m.Age)
		return
	}
	c, err := s.assembly.add(m)
	if err != nil {
		s.countRejected(err)
		return
	}
	if c == nil {
		return
	}
	if s.current == nil {
		at := s.now.Add(-m.Age.Duration())
		s.addJoinOffer(joinOffer{content: c, confirmed: m.Age != Unknown, confirmedAt: at}, out)
		return
	}
	s.installFromPeer(from, c, out)
	s.confirmByPeer(p, m.Age)
}

// compareWithPeer evaluates a peer's point p: a confirmation, a divergence, or content
// to fetch.
func (s *State) compareWithPeer(from fleet.VMID, p Point, age Age) {
	held := s.currentVersion()
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
