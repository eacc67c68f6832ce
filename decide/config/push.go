package config

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// push is the spread of new revisions that this daemon is the root of.
type push struct {
	pending bool
	base    uint64     // revision before the first change not yet pushed
	at      clock.Time // when it is due
	last    clock.Time // when the last one was sent
	sent    bool
}

// originate makes the daemon push what came into force after before. Changes
// until the push is due are merged into it.
func (s *State) originate(before *content) {
	p := &s.push
	if before == nil || p.pending {
		return
	}
	p.pending = true
	p.base = before.cat.Revision
	p.at = s.now
	if p.sent {
		p.at = max(p.at, p.last.Add(MinPushInterval))
	}
}

func (p *push) wake() clock.Time {
	if !p.pending {
		return clock.Never
	}
	return p.at
}

// duePush sends the pending push down the own tree and to other domains. A
// change too large for it is announced by a digest, and fetched with Want.
func (s *State) duePush(out *Ready) {
	p := &s.push
	if !p.pending || s.now.Before(p.at) {
		return
	}
	p.pending = false
	p.sent = true
	p.last = s.now
	m := s.pushMessage()
	for _, to := range s.view.treeChildren(s.cfg.Self) {
		s.send(to, m, out)
	}
	for _, to := range s.randomCross(CrossPushes) {
		s.send(to, m, out)
	}
}

func (s *State) pushMessage() Message {
	d, ok := s.history.since(s.push.base, s.held, MaxPushEntries)
	if !ok {
		return s.makeBeacon()
	}
	d.Age = s.age()
	return &Push{Root: s.cfg.Self, Delta: *d}
}

// pushed takes a Push. One from the own domain is passed down its root's tree,
// also by a member that already has the change: those below may not. One from
// another domain makes this daemon a root in its own (see adoptFrom).
func (s *State) pushed(from fleet.VMID, m *Push, out *Ready) {
	s.delta(from, &m.Delta, out)
	if !s.view.isOwn(from) || m.Root == s.cfg.Self || !s.gossip.firstPush(m.Root, m.Delta.To) {
		return
	}
	for _, to := range s.view.treeChildren(m.Root) {
		s.send(to, m, out)
	}
}
