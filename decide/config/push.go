package config

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// push is the dissemination of new revisions with this daemon as the root.
type push struct {
	pending      bool
	sendDelta    bool       // send the change, not only its digest
	baseRevision uint64     // revision before the first change not yet pushed
	dueAt        clock.Time // when it is due
	lastSentAt   clock.Time // when the last one was sent
	sent         bool
	lastRevision uint64 // highest revision pushed or announced
}

// schedulePush makes the daemon push what came into force after before: whole, or
// only its digest where another root is expected to push it whole. Changes
// until the push is due are merged into it.
func (s *State) schedulePush(before *content, whole bool) {
	p := &s.push
	if before == nil {
		return
	}
	if p.pending {
		p.sendDelta = p.sendDelta || whole
		return
	}
	p.pending = true
	p.sendDelta = whole
	p.baseRevision = before.cat.Revision
	p.dueAt = s.now
	if p.sent {
		p.dueAt = max(p.dueAt, p.lastSentAt.Add(MinPushInterval))
	}
}

// announceCurrent makes a reader send the digest of what is in force down its tree,
// unless it has pushed that: it reached this daemon down the tree of another
// root, and may not have reached everybody.
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

// runPushTimer sends the pending push down the own tree, and its digest to other
// domains: those without the platform will ask. A change too large for a push
// is announced by its digest alone.
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

// handlePush takes a Push and passes it down its root's tree, also where it already
// has the change: those below may not.
func (s *State) handlePush(from fleet.VMID, m *Push, out *Ready) {
	s.handleDelta(from, &m.Delta, out)
	if !s.view.isDomainMember(from) || m.Root == s.cfg.Self || !s.gossip.isNewPush(m.Root, m.Delta.To) {
		return
	}
	for _, to := range s.view.treeChildren(m.Root) {
		s.send(to, m, out)
	}
}
