package machine

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// originate makes the daemon push what came into force after before.
func (s *State) originate(before *content) {
	if s.push.at != clock.Never {
		return
	}
	s.push.base = before
	s.push.at = max(s.now, s.push.last.Add(PushEvery))
}

// pushChange sends the pending push. A change too large for it is announced by
// a digest, and fetched with Want.
func (s *State) pushChange(out *Ready) {
	base := s.push.base
	s.push = push{at: clock.Never, last: s.now}
	var m Message = s.makeDigest()
	if base != nil && base.point != s.held.point {
		if d, ok := deltaOf(base, s.held); ok {
			m = &Push{Root: s.self.ID, Delta: *d}
		}
	}
	for _, to := range children(s.self.ID, s.self.ID, s.members) {
		s.send(to, m, out)
	}
}

// forward forwards a push down its root's tree even if it held nothing new
// here: members below may lack it.
func (s *State) forward(m *Push, out *Ready) {
	if m.Root == s.self.ID || !slices.Contains(s.members, m.Root) {
		return
	}
	if m.Delta.To.compare(s.pushed[m.Root]) <= 0 {
		return
	}
	s.pushed[m.Root] = m.Delta.To
	for _, to := range children(m.Root, s.self.ID, s.members) {
		s.send(to, m, out)
	}
}

// sendDigest sends a digest alternately to the next member by rank, as a
// heartbeat, and to a random one, for anti-entropy.
func (s *State) sendDigest(out *Ready) {
	if s.held == nil || len(s.members) < 2 {
		return
	}
	s.digests++
	by := 1
	if s.digests%2 == 0 {
		by += s.rng.IntN(len(s.members) - 1)
	}
	at := slices.Index(s.members, s.self.ID)
	s.send(s.members[(at+by)%len(s.members)], s.makeDigest(), out)
}

func (s *State) makeDigest() *Digest {
	d := &Digest{Held: s.held.point, Age: Unknown}
	if s.confirmedAt != 0 {
		d.Age = uint32(min(s.now.Sub(s.confirmedAt)/time.Millisecond+1, Unknown))
	}
	return d
}

// digest takes what another member holds.
func (s *State) digest(from fleet.VMID, m *Digest, out *Ready) {
	switch c := m.Held.compare(s.Held()); {
	case c > 0:
		s.startCatchUp(from, m.Held, out)
	case c < 0:
		s.repair(from, m.Held, out)
	case m.Age != Unknown:
		s.confirmedAt = max(s.confirmedAt, s.now.Add(-time.Duration(m.Age)*time.Millisecond))
	}
}

// repair sends a member that is behind a delta, or a digest that makes it ask.
func (s *State) repair(to fleet.VMID, p Point, out *Ready) {
	if d := s.deltaFrom(p); d != nil {
		s.send(to, d, out)
		return
	}
	s.send(to, s.makeDigest(), out)
}

// deltaFrom returns the Delta from an earlier point, or nil if that isn't
// known any more.
func (s *State) deltaFrom(p Point) *Delta {
	for _, c := range s.history {
		if c.point != p || p.compare(s.held.point) >= 0 {
			continue
		}
		if d, ok := deltaOf(c, s.held); ok {
			return d
		}
	}
	return nil
}

// handleWant answers a Want.
func (s *State) handleWant(from fleet.VMID, have Point, out *Ready) {
	if s.held == nil {
		return
	}
	if have.compare(s.held.point) >= 0 {
		s.send(from, s.makeDigest(), out)
		return
	}
	if d := s.deltaFrom(have); d != nil {
		s.send(from, d, out)
		return
	}
	s.sendAll(from, out)
}

// sendAll sends the whole list, but not twice in a row to the same member,
// which would let small messages cause large ones.
func (s *State) sendAll(to fleet.VMID, out *Ready) {
	if at, ok := s.served[to]; ok && s.now.Sub(at) < WantTimeout/2 {
		return
	}
	if !slices.Contains(s.members, to) && len(s.served) > len(s.members) {
		return // bounds what senders of made-up ids make this daemon keep
	}
	s.served[to] = s.now
	for _, p := range s.held.parts() {
		s.send(to, p, out)
	}
}

// delta applies a Delta. If it has another base, its target is fetched.
func (s *State) delta(from fleet.VMID, d *Delta, out *Ready) {
	if d.To.compare(s.Held()) <= 0 {
		return
	}
	if s.held != nil {
		if c, ok := s.held.apply(d); ok {
			s.received(c)
			return
		}
	}
	s.startCatchUp(from, d.To, out)
}

// part takes a part of a whole list that was asked for.
func (s *State) part(p *Part) {
	if s.catchUp.deadline == clock.Never || p.Held.compare(s.Held()) <= 0 {
		return
	}
	if c := s.catchUp.parts.add(p); c != nil {
		s.received(c)
	}
}

// received puts in force what a member has sent.
func (s *State) received(c *content) {
	s.adopt(c)
	if c.point.compare(s.catchUp.to) >= 0 {
		s.catchUp = catchUp{deadline: clock.Never}
	}
}

// startCatchUp asks a member for a list that it holds, unless one as new is
// being fetched.
func (s *State) startCatchUp(from fleet.VMID, to Point, out *Ready) {
	if s.catchUp.deadline != clock.Never && s.catchUp.to.compare(to) >= 0 {
		return
	}
	s.catchUp.to, s.catchUp.wants = to, 0
	s.ask(from, out)
}

// askNext asks another member, after one hasn't answered, or at the start.
func (s *State) askNext(out *Ready) {
	s.catchUp.deadline = clock.Never
	done := s.held != nil && s.held.point.compare(s.catchUp.to) >= 0
	if len(s.members) < 2 || done || (s.held != nil && s.catchUp.wants >= maxWants) {
		s.catchUp = catchUp{deadline: clock.Never}
		return
	}
	at := slices.Index(s.members, s.self.ID)
	by := 1 + s.rng.IntN(len(s.members)-1)
	s.ask(s.members[(at+by)%len(s.members)], out)
}

func (s *State) ask(to fleet.VMID, out *Ready) {
	s.catchUp.wants++
	s.catchUp.deadline = s.now.Add(WantTimeout)
	s.send(to, &Want{Have: s.Held()}, out)
}
