package config

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// catchUp requests newer content from peers known to have it, one peer at a
// time.
type catchUp struct {
	highestKnown      uint64     // highest revision known to exist, with or without its content
	highestKnownSince clock.Time // when highestKnown last increased
	candidates        []candidate
	askAfter          clock.Time // when to ask the first peer
	askedPeer         fleet.VMID // peer whose answer is awaited; empty if none
	deadline          clock.Time // when the request to askedPeer times out
	wantSnapshot      bool       // request a snapshot, because a delta would not apply
}

// candidate is a peer whose content supersedes the content in force here.
type candidate struct {
	id      fleet.VMID
	version Version
}

// supersedes reports whether v takes precedence over o: the higher revision
// does, and under the same revision the greater hash.
func (v Version) supersedes(o Version) bool {
	if v.Revision != o.Revision {
		return v.Revision > o.Revision
	}
	return v.Hash > o.Hash
}

// addCandidate records that a peer has v, unless v is no newer than the content
// in force.
func (s *State) addCandidate(from fleet.VMID, v Version) {
	c := &s.catchUp
	current := s.currentVersion()
	if !v.supersedes(current) {
		return
	}
	if v.Revision > c.highestKnown {
		c.highestKnown = v.Revision
		c.highestKnownSince = s.now
	}
	if s.current != nil && v.Revision == current.Revision {
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
	c.candidates = append(c.candidates, candidate{id: from, version: v})
}

// prune drops the candidates whose content does not supersede v, and ends the
// current request.
func (c *catchUp) prune(v Version) {
	c.candidates = slices.DeleteFunc(c.candidates, func(x candidate) bool { return !x.version.supersedes(v) })
	c.highestKnown = max(c.highestKnown, v.Revision)
	c.askedPeer = ""
	c.wantSnapshot = false
}

// pending reports whether the content of a revision higher than current is still
// expected. That ends CatchUpTimeout after the revision became known.
func (c *catchUp) pending(current uint64, now clock.Time) bool {
	return c.highestKnown > current && now.Sub(c.highestKnownSince) < CatchUpTimeout
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

// runCatchUpTimers drops a candidate that did not answer in time, and sends a
// request to the best remaining one.
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

// best returns the candidate with the newest content, and the earliest known
// one of several with the same content.
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

// handleUpdateRequest sends a peer that is behind a Delta, or a Snapshot if no
// Delta leads from its revision to the one in force. A peer that is not behind
// gets a Digest.
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

// handleDelta applies a Delta if it fits the content in force, and otherwise
// records the sender as a candidate.
func (s *State) handleDelta(from fleet.VMID, d *Delta, out *Ready) {
	v := Version{Revision: d.To, Hash: d.Hash}
	if s.current == nil || d.From > s.current.cat.Revision {
		s.addCandidate(from, v)
		s.catchUp.askAfter = s.now
		return
	}
	if d.To <= s.current.cat.Revision {
		s.compareWithPeer(from, v, d.Age)
		return
	}
	c, err := s.current.apply(d)
	if err != nil {
		// The base differs from the sender's, or the delta is damaged:
		// request a snapshot instead.
		s.countRejected(err)
		s.addCandidate(from, v)
		s.catchUp.askAfter = s.now
		s.catchUp.wantSnapshot = true
		return
	}
	s.installFromPeer(from, c, out)
	s.confirmByPeer(v, d.Age)
}

// handleSnapshot takes one part of a Snapshot, and installs the content once
// all parts have arrived.
func (s *State) handleSnapshot(from fleet.VMID, m *Snapshot, out *Ready) {
	v := Version{Revision: m.Revision, Hash: m.Hash}
	if !v.supersedes(s.currentVersion()) {
		s.compareWithPeer(from, v, m.Age)
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
	s.confirmByPeer(v, m.Age)
}

// compareWithPeer compares v, the content of a peer, with the content in force:
// it records a confirmation, a divergence, or a candidate for newer content.
func (s *State) compareWithPeer(from fleet.VMID, v Version, age Age) {
	current := s.currentVersion()
	switch {
	case v == current:
		s.confirmByPeer(v, age)
	case v.Revision == current.Revision && v.Revision > 0:
		s.counters.Diverged++
		s.addCandidate(from, v)
	default:
		s.addCandidate(from, v)
	}
}
