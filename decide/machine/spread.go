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

// passOn passes a push down its root's tree, also where it brought nothing
// new: those below may lack it.
func (s *State) passOn(m *Push, out *Ready) {
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

// sendDigest tells another member what is held: in turn the next by rank, who
// so has a steady sign of its neighbour, and a random one.
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
	if s.shownAt != 0 {
		d.Age = uint32(min(s.now.Sub(s.shownAt)/time.Millisecond+1, Unknown))
	}
	return d
}

// digest takes what another member holds.
func (s *State) digest(from fleet.VMID, m *Digest, out *Ready) {
	switch c := m.Held.compare(s.Held()); {
	case c > 0:
		s.pursue(from, m.Held, out)
	case c < 0:
		s.help(from, m.Held, out)
	case m.Age != Unknown:
		s.shownAt = max(s.shownAt, s.now.Add(-time.Duration(m.Age)*time.Millisecond))
	}
}

// help sends a member that is behind what it lacks, or a digest that makes it
// ask.
func (s *State) help(to fleet.VMID, p Point, out *Ready) {
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

// wanted answers a Want.
func (s *State) wanted(from fleet.VMID, have Point, out *Ready) {
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
// which could turn small messages into large ones.
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

// delta takes a Delta. One on another base shows what there is to ask for.
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
	s.pursue(from, d.To, out)
}

// part takes a part of a whole list that was asked for.
func (s *State) part(p *Part) {
	if s.chase.deadline == clock.Never || p.Held.compare(s.Held()) <= 0 {
		return
	}
	if c := s.chase.parts.add(p); c != nil {
		s.received(c)
	}
}

// received puts in force what a member has sent.
func (s *State) received(c *content) {
	s.adopt(c)
	if c.point.compare(s.chase.to) >= 0 {
		s.chase = chase{deadline: clock.Never}
	}
}

// pursue asks a member for a list that it holds.
func (s *State) pursue(from fleet.VMID, to Point, out *Ready) {
	if s.chase.deadline != clock.Never && s.chase.to.compare(to) >= 0 {
		return
	}
	s.chase.to, s.chase.wants = to, 0
	s.ask(from, out)
}

// want asks another member, after one hasn't answered, or at the start.
func (s *State) want(out *Ready) {
	s.chase.deadline = clock.Never
	done := s.held != nil && s.held.point.compare(s.chase.to) >= 0
	if len(s.members) < 2 || done || (s.held != nil && s.chase.wants >= maxWants) {
		s.chase = chase{deadline: clock.Never}
		return
	}
	at := slices.Index(s.members, s.self.ID)
	by := 1 + s.rng.IntN(len(s.members)-1)
	s.ask(s.members[(at+by)%len(s.members)], out)
}

func (s *State) ask(to fleet.VMID, out *Ready) {
	s.chase.wants++
	s.chase.deadline = s.now.Add(WantTimeout)
	s.send(to, &Want{Have: s.Held()}, out)
}
