package config

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// minSnapshotInterval is the least time between two snapshots to one peer. A peer
// that asks in a loop would otherwise turn small messages into large ones.
const minSnapshotInterval = UpdateRequestTimeout / 2

// gossip is the exchange of digests, and what is remembered of each peer for
// it.
type gossip struct {
	nextDigest            clock.Time
	nextCrossDomainDigest clock.Time
	nextHeartbeat         clock.Time
	digestsSent           int
	heartbeatSeq          map[fleet.VMID]uint64     // last digest passed on, by root
	pushedRevision        map[fleet.VMID]uint64     // last revision passed on, by root
	snapshotAt            map[fleet.VMID]clock.Time // last snapshot sent, by peer
}

func (g *gossip) wake() clock.Time {
	return clock.Min(g.nextDigest, clock.Min(g.nextCrossDomainDigest, g.nextHeartbeat))
}

// removeFormerMembers drops what is kept of former members. Without it memory would grow
// with every VM that was ever replaced.
func (g *gossip) removeFormerMembers(v view) {
	for id := range g.heartbeatSeq {
		if !v.isDomainMember(id) {
			delete(g.heartbeatSeq, id)
		}
	}
	for id := range g.pushedRevision {
		if !v.isDomainMember(id) {
			delete(g.pushedRevision, id)
		}
	}
	clear(g.snapshotAt)
}

// isNewHeartbeat reports whether a digest of root wasn't passed on before.
func (g *gossip) isNewHeartbeat(root fleet.VMID, seq uint64) bool {
	return recordIfHigher(&g.heartbeatSeq, root, seq)
}

// isNewPush reports whether a push of root wasn't passed on before.
func (g *gossip) isNewPush(root fleet.VMID, to uint64) bool {
	return recordIfHigher(&g.pushedRevision, root, to)
}

// recordIfHigher records n for id. It reports whether n is above the last one.
func recordIfHigher(m *map[fleet.VMID]uint64, id fleet.VMID, n uint64) bool {
	if *m == nil {
		*m = map[fleet.VMID]uint64{}
	}
	if n <= (*m)[id] {
		return false
	}
	(*m)[id] = n
	return true
}

// allowSnapshot reports whether a snapshot may be sent to a peer now, and if so
// starts its snapshotPause.
func (g *gossip) allowSnapshot(to fleet.VMID, now clock.Time) bool {
	if at, ok := g.snapshotAt[to]; ok && now.Sub(at) < minSnapshotInterval {
		return false
	}
	if g.snapshotAt == nil {
		g.snapshotAt = map[fleet.VMID]clock.Time{}
	}
	g.snapshotAt[to] = now
	return true
}

func (s *State) makeDigest() *Digest {
	p := s.currentVersion()
	return &Digest{
		Format:   Format,
		Revision: p.Revision,
		Hash:     p.Hash,
		Age:      s.messageAge(),
		ReadAge:  s.reader.age(s.now),
	}
}

func (s *State) makeHeartbeat() *Digest {
	d := s.makeDigest()
	d.Root = s.cfg.Self
	d.Seq = uint64(s.now)
	return d
}

// IsReader reports whether this daemon is one of the readers of its domain, by
// rank or because it took over. The duties of the fleet go to such daemons.
func (s *State) IsReader() bool {
	byRank := s.view.rank >= 0 && s.view.rank < ReadersPerDomain
	return byRank || s.reader.working(s.now)
}

func (s *State) runGossipTimers(out *Ready) {
	g := &s.gossip
	if !s.now.Before(g.nextHeartbeat) {
		g.nextHeartbeat = s.now.Add(HeartbeatInterval)
		s.sendHeartbeat(out)
	}
	if !s.now.Before(g.nextDigest) {
		g.nextDigest = s.now.Add(s.withJitter(DigestInterval))
		s.sendDigest(out)
	}
	if !s.now.Before(g.nextCrossDomainDigest) {
		g.nextCrossDomainDigest = s.now.Add(s.withJitter(CrossDomainDigestInterval))
		if s.IsReader() {
			s.sendDigestTo(s.randomCrossDomainReaders(1), out)
		}
	}
}

// withJitter returns a random duration from 3/4 to 5/4 of d. Equal intervals
// would synchronise the daemons' sends.
func (s *State) withJitter(d time.Duration) time.Duration {
	return d*3/4 + s.jitter(d/2)
}

func (s *State) sendHeartbeat(out *Ready) {
	if s.current == nil || !s.IsReader() {
		return
	}
	m := s.makeHeartbeat()
	for _, to := range s.view.treeChildren(s.cfg.Self) {
		s.send(to, m, out)
	}
}

func (s *State) sendDigest(out *Ready) {
	s.gossip.digestsSent++
	to := s.randomDomainMembers(1)
	if len(to) == 0 || (!s.IsReader() && s.gossip.digestsSent%CrossDomainDigestEvery == 0) {
		to = s.randomCrossDomainReaders(1)
	}
	s.sendDigestTo(to, out)
}

func (s *State) sendDigestTo(to []fleet.VMID, out *Ready) {
	if s.current == nil {
		return
	}
	for _, id := range to {
		s.send(id, s.makeDigest(), out)
	}
}

// handleDigest takes a Digest.
func (s *State) handleDigest(from fleet.VMID, m *Digest, out *Ready) {
	if m.Root != "" {
		s.forwardHeartbeat(m, out)
	}
	if s.current == nil {
		s.addCandidate(from, Point{Revision: m.Revision, Hash: m.Hash})
		s.recordJoinAnswer(from, out)
		return
	}
	if m.Ask {
		s.send(from, s.makeDigest(), out)
		return
	}
	p := Point{Revision: m.Revision, Hash: m.Hash}
	s.compareWithPeer(from, p, m.Age)
	if from == s.catchUp.askedPeer && !p.supersedes(s.currentVersion()) {
		s.dropCandidate(from) // it has nothing for us, or not yet
	}
	if m.Root != "" && m.Root != from {
		s.compareWithPeer(m.Root, p, m.Age)
		return
	}
	switch {
	case s.currentVersion().supersedes(p):
		s.updatePeer(from, p, out)
	case s.currentVersion() == p && s.shouldSendConfirmation(m.Age):
		s.send(from, s.makeDigest(), out)
	}
}

// shouldSendConfirmation reports whether a peer whose confirmation has this age should be
// sent ours. A daemon that the readers' membership doesn't list is in none
// of their trees, and would seem cut off to itself.
func (s *State) shouldSendConfirmation(theirs Age) bool {
	own := s.messageAge()
	if own == Unknown || own.Duration() > CutOffAfter/2 {
		return false
	}
	return theirs == Unknown || theirs.Duration() > CutOffAfter/2
}

// forwardHeartbeat notes the heartbeat of a reader and forwards it down the tree.
func (s *State) forwardHeartbeat(m *Digest, out *Ready) {
	if m.Root == s.cfg.Self || !s.view.isDomainMember(m.Root) {
		return
	}
	if !s.gossip.isNewHeartbeat(m.Root, m.Seq) {
		return
	}
	if m.ReadAge != Unknown {
		s.reader.recordRead(m.Root, s.now.Add(-m.ReadAge.Duration()))
	}
	for _, to := range s.view.treeChildren(m.Root) {
		s.send(to, m, out)
	}
}

// updatePeer sends a peer that is behind a delta, or a digest that makes it ask.
func (s *State) updatePeer(to fleet.VMID, p Point, out *Ready) {
	if p.Revision < s.current.cat.Revision && p.Revision > 0 {
		if d, ok := s.history.deltaSince(p.Revision, s.current, MaxPushEntries); ok {
			d.Age = s.messageAge()
			s.send(to, d, out)
			return
		}
	}
	s.send(to, s.makeDigest(), out)
}

// randomDomainMembers returns up to n members of the own domain but self.
func (s *State) randomDomainMembers(n int) []fleet.VMID {
	all := s.view.domain.members
	out := make([]fleet.VMID, 0, n)
	for _, i := range s.rng.Perm(len(all)) {
		if len(out) == n {
			break
		}
		if all[i] != s.cfg.Self {
			out = append(out, all[i])
		}
	}
	return out
}

// randomCrossDomainReaders returns one reader of each of up to n other domains.
func (s *State) randomCrossDomainReaders(n int) []fleet.VMID {
	out := make([]fleet.VMID, 0, n)
	for _, i := range s.rng.Perm(len(s.view.otherDomains)) {
		if len(out) == n {
			break
		}
		if r := s.view.otherDomains[i].readers(); len(r) > 0 {
			out = append(out, r[s.rng.IntN(len(r))])
		}
	}
	return out
}
