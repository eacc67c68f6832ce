package machine

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// schedulePush schedules a push of the changes since the list before, with this
// daemon as the root.
func (s *State) schedulePush(before *domainList) {
	if s.push.dueAt != clock.Never {
		return
	}
	s.push.base = before
	s.push.dueAt = max(s.now, s.push.lastSentAt.Add(PushEvery))
}

// sendPush sends the pending push. A change that is too large for a push is
// announced by a Digest and fetched with Want.
func (s *State) sendPush(out *Ready) {
	base := s.push.base
	s.push = pendingPush{dueAt: clock.Never, lastSentAt: s.now}
	var m Message = s.newDigest()
	if base != nil && base.version != s.held.version {
		if d, ok := newDelta(base, s.held); ok {
			m = &Push{Root: s.self.ID, Delta: *d}
		}
	}
	for _, to := range children(s.self.ID, s.self.ID, s.members) {
		s.send(to, m, out)
	}
}

// forwardPush forwards a push down the tree of its root, once, even if its list
// isn't new here: members further down may lack it.
func (s *State) forwardPush(m *Push, out *Ready) {
	if m.Root == s.self.ID || !slices.Contains(s.members, m.Root) {
		return
	}
	if m.Delta.To.compare(s.lastForwarded[m.Root]) <= 0 {
		return
	}
	s.lastForwarded[m.Root] = m.Delta.To
	for _, to := range children(m.Root, s.self.ID, s.members) {
		s.send(to, m, out)
	}
}

// sendDigest sends a Digest alternately to the next member by rank, as a
// heartbeat, and to a random member, for anti-entropy.
func (s *State) sendDigest(out *Ready) {
	if s.held == nil || len(s.members) < 2 {
		return
	}
	s.digestsSent++
	offset := 1
	if s.digestsSent%2 == 0 {
		offset += s.rng.IntN(len(s.members) - 1)
	}
	at := slices.Index(s.members, s.self.ID)
	s.send(s.members[(at+offset)%len(s.members)], s.newDigest(), out)
}

func (s *State) newDigest() *Digest {
	d := &Digest{Held: s.held.version, Age: AgeUnknown}
	if s.confirmedAt != 0 {
		d.Age = uint32(min(s.now.Sub(s.confirmedAt)/time.Millisecond+1, AgeUnknown))
	}
	return d
}

// handleDigest compares the list of another member with the own one. The
// member that is behind gets the newer list. With equal lists, the Age in the
// Digest can make confirmedAt more recent.
func (s *State) handleDigest(from fleet.VMID, m *Digest, out *Ready) {
	switch c := m.Held.compare(s.Held()); {
	case c > 0:
		s.startCatchUp(from, m.Held, out)
	case c < 0:
		s.updateMember(from, m.Held, out)
	case m.Age != AgeUnknown:
		s.confirmedAt = max(s.confirmedAt, s.now.Add(-time.Duration(m.Age)*time.Millisecond))
	}
}

// updateMember sends a Delta to a member that is behind, or a Digest that makes
// it send a Want.
func (s *State) updateMember(to fleet.VMID, v ListVersion, out *Ready) {
	if d := s.deltaFrom(v); d != nil {
		s.send(to, d, out)
		return
	}
	s.send(to, s.newDigest(), out)
}

// deltaFrom returns the Delta from an earlier version to the list in force, or
// nil if that version is no longer in the history or the Delta is too large.
func (s *State) deltaFrom(v ListVersion) *Delta {
	for _, l := range s.history {
		if l.version != v || v.compare(s.held.version) >= 0 {
			continue
		}
		if d, ok := newDelta(l, s.held); ok {
			return d
		}
	}
	return nil
}

// handleWant answers a Want with a Delta, the whole list or, if the sender
// isn't behind, a Digest.
func (s *State) handleWant(from fleet.VMID, have ListVersion, out *Ready) {
	if s.held == nil {
		return
	}
	if have.compare(s.held.version) >= 0 {
		s.send(from, s.newDigest(), out)
		return
	}
	if d := s.deltaFrom(have); d != nil {
		s.send(from, d, out)
		return
	}
	s.sendFullList(from, out)
}

// sendFullList sends the whole list, but at most once per WantTimeout/2 to the
// same member. Otherwise many small messages would cause many large ones.
func (s *State) sendFullList(to fleet.VMID, out *Ready) {
	if at, ok := s.fullListSentAt[to]; ok && s.now.Sub(at) < WantTimeout/2 {
		return
	}
	if !slices.Contains(s.members, to) && len(s.fullListSentAt) > len(s.members) {
		return // limits the memory that senders with invented ids can use here
	}
	s.fullListSentAt[to] = s.now
	for _, p := range s.held.parts() {
		s.send(to, p, out)
	}
}

// handleDelta applies a Delta. If it has another base, the list that it leads
// to is fetched.
func (s *State) handleDelta(from fleet.VMID, d *Delta, out *Ready) {
	if d.To.compare(s.Held()) <= 0 {
		return
	}
	if s.held != nil {
		if l, ok := s.held.apply(d); ok {
			s.adoptReceived(l)
			return
		}
	}
	s.startCatchUp(from, d.To, out)
}

// handlePart adds a part of a whole list that was requested with Want.
func (s *State) handlePart(p *Part) {
	if s.catchUp.deadline == clock.Never || p.Held.compare(s.Held()) <= 0 {
		return
	}
	if l := s.catchUp.parts.add(p); l != nil {
		s.adoptReceived(l)
	}
}

// adoptReceived puts a list in force that a member has sent, and ends the
// catch-up that it completes.
func (s *State) adoptReceived(l *domainList) {
	s.adopt(l)
	if l.version.compare(s.catchUp.wanted) >= 0 {
		s.catchUp = catchUp{deadline: clock.Never}
	}
}

// startCatchUp requests a list from a member that holds it, unless a list at
// least as new is being fetched.
func (s *State) startCatchUp(from fleet.VMID, to ListVersion, out *Ready) {
	if s.catchUp.deadline != clock.Never && s.catchUp.wanted.compare(to) >= 0 {
		return
	}
	s.catchUp.wanted, s.catchUp.attempts = to, 0
	s.requestFrom(from, out)
}

// requestFromAnother sends a Want to a random member, at the start or after
// another member hasn't answered.
func (s *State) requestFromAnother(out *Ready) {
	s.catchUp.deadline = clock.Never
	done := s.held != nil && s.held.version.compare(s.catchUp.wanted) >= 0
	if len(s.members) < 2 || done || (s.held != nil && s.catchUp.attempts >= maxWantAttempts) {
		s.catchUp = catchUp{deadline: clock.Never}
		return
	}
	at := slices.Index(s.members, s.self.ID)
	offset := 1 + s.rng.IntN(len(s.members)-1)
	s.requestFrom(s.members[(at+offset)%len(s.members)], out)
}

func (s *State) requestFrom(to fleet.VMID, out *Ready) {
	s.catchUp.attempts++
	s.catchUp.deadline = s.now.Add(WantTimeout)
	s.send(to, &Want{Have: s.Held()}, out)
}
