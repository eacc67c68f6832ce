package config

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// push is the state of pushes that have this daemon as their root.
type push struct {
	pending      bool
	sendDelta    bool       // send the Delta, not only a Digest
	baseRevision uint64     // revision before the first change not yet pushed
	dueAt        clock.Time // when the pending push is due
	lastSentAt   clock.Time // when the last push was sent
	sent         bool
	lastRevision uint64 // highest revision pushed or announced
}

// schedulePush schedules a push of everything that came into force after before.
// If sendDelta is false, only a Digest is sent, because another root is expected
// to push the Delta. Changes made before the push is due are merged into it.
func (s *State) schedulePush(before *content, sendDelta bool) {
	p := &s.push
	if before == nil {
		return
	}
	if p.pending {
		p.sendDelta = p.sendDelta || sendDelta
		return
	}
	p.pending = true
	p.sendDelta = sendDelta
	p.baseRevision = before.cat.Revision
	p.dueAt = s.now
	if p.sent {
		p.dueAt = max(p.dueAt, p.lastSentAt.Add(MinPushInterval))
	}
}

// announceCurrent schedules a Digest of the content in force down this reader's
// tree, unless the reader has already pushed that content. The content came down
// the tree of another root and may not have reached every member.
func (s *State) announceCurrent() {
	p := &s.push
	if p.pending || p.lastRevision >= s.current.cat.Revision {
		return
	}
	s.schedulePush(s.current, false)
}

func (p *push) wake() clock.Time {
	if !p.pending {
		return clock.Never
	}
	return p.dueAt
}

// runPushTimer sends the pending push down this daemon's tree, and a Digest to
// other domains, of which those without the platform will request the change. A
// change that is too large for a push is announced by a Digest only.
func (s *State) runPushTimer(out *Ready) {
	p := &s.push
	if !p.pending || s.now.Before(p.dueAt) {
		return
	}
	p.pending = false
	p.sent = true
	p.lastRevision = s.current.cat.Revision
	p.lastSentAt = s.now
	m := s.pushMessage()
	for _, to := range s.view.treeChildren(s.cfg.Self) {
		s.send(to, m, out)
	}
	for _, to := range s.randomCrossDomainReaders(CrossDomainPushes) {
		s.send(to, s.makeDigest(), out)
	}
}

func (s *State) pushMessage() Message {
	d, ok := s.history.deltaSince(s.push.baseRevision, s.current, MaxPushEntries)
	if !ok || !s.push.sendDelta {
		return s.makeHeartbeat()
	}
	d.Age = s.messageAge()
	return &Push{Root: s.cfg.Self, Delta: *d}
}

// handlePush applies a Push and forwards it down the tree of its root. It
// forwards it even if it already has the change, since the members below may not.
func (s *State) handlePush(from fleet.VMID, m *Push, out *Ready) {
	s.handleDelta(from, &m.Delta, out)
	if !s.view.isDomainMember(from) || m.Root == s.cfg.Self || !s.gossip.isNewPush(m.Root, m.Delta.To) {
		return
	}
	for _, to := range s.view.treeChildren(m.Root) {
		s.send(to, m, out)
	}
}
