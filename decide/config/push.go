package config

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// push is the dissemination of new revisions with this daemon as the root.
type push struct {
	pending bool
	whole   bool       // send the change, not only its digest
	base    uint64     // revision before the first change not yet pushed
	at      clock.Time // when it is due
	last    clock.Time // when the last one was sent
	sent    bool
	newest  uint64 // highest revision pushed or announced
}

// originate makes the daemon push what came into force after before: whole, or
// only its digest where another root is expected to push it whole. Changes
// until the push is due are merged into it.
func (s *State) originate(before *content, whole bool) {
	p := &s.push
	if before == nil {
		return
	}
	if p.pending {
		p.whole = p.whole || whole
		return
	}
	p.pending = true
	p.whole = whole
	p.base = before.cat.Revision
	p.at = s.now
	if p.sent {
		p.at = max(p.at, p.last.Add(MinPushInterval))
	}
}

// announce makes a reader send the digest of what is in force down its tree,
// unless it has pushed that: it reached this daemon down the tree of another
// root, and may not have reached everybody.
func (s *State) announce() {
	p := &s.push
	if p.pending || p.newest >= s.held.cat.Revision {
		return
	}
	s.originate(s.held, false)
}

func (p *push) wake() clock.Time {
	if !p.pending {
		return clock.Never
	}
	return p.at
}

// duePush sends the pending push down the own tree, and its digest to other
// domains: those without the platform will ask. A change too large for a push
// is announced by its digest alone.
func (s *State) duePush(out *Ready) {
	p := &s.push
	if !p.pending || s.now.Before(p.at) {
		return
	}
	p.pending = false
	p.sent = true
	p.newest = s.held.cat.Revision
	p.last = s.now
	m := s.pushMessage()
	for _, to := range s.view.treeChildren(s.cfg.Self) {
		s.send(to, m, out)
	}
	for _, to := range s.randomCross(CrossPushes) {
		s.send(to, s.makeDigest(), out)
	}
}

func (s *State) pushMessage() Message {
	d, ok := s.history.since(s.push.base, s.held, MaxPushEntries)
	if !ok || !s.push.whole {
		return s.makeHeartbeat()
	}
	d.Age = s.age()
	return &Push{Root: s.cfg.Self, Delta: *d}
}

// pushed takes a Push and passes it down its root's tree, also where it already
// has the change: those below may not.
func (s *State) pushed(from fleet.VMID, m *Push, out *Ready) {
	s.delta(from, &m.Delta, out)
	if !s.view.isOwn(from) || m.Root == s.cfg.Self || !s.gossip.firstPush(m.Root, m.Delta.To) {
		return
	}
	for _, to := range s.view.treeChildren(m.Root) {
		s.send(to, m, out)
	}
}
