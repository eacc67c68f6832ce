package config

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// minSnapshotInterval is the minimum time between two snapshots to one peer.
// Otherwise a peer that sends requests in a loop would trigger a large answer to
// each small message.
const minSnapshotInterval = UpdateRequestTimeout / 2

// gossip holds the timers for sending digests, and the per-peer state that
// filters duplicates and limits snapshots.
type gossip struct {
	nextDigest            clock.Time
	nextCrossDomainDigest clock.Time
	nextHeartbeat         clock.Time
	digestsSent           int
	heartbeatSeq          map[fleet.VMID]uint64     // Seq of the last digest forwarded, by root
	pushedRevision        map[fleet.VMID]uint64     // last revision forwarded, by root
	snapshotAt            map[fleet.VMID]clock.Time // time of the last snapshot sent, by peer
}

func (g *gossip) wake() clock.Time {
	return clock.Min(g.nextDigest, clock.Min(g.nextCrossDomainDigest, g.nextHeartbeat))
}

// removeFormerMembers deletes the state of former members; otherwise memory
// would grow with every replaced VM.
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

// isNewHeartbeat reports whether the digest seq of root has not been forwarded
// yet, and records it.
func (g *gossip) isNewHeartbeat(root fleet.VMID, seq uint64) bool {
	return recordIfHigher(&g.heartbeatSeq, root, seq)
}

// isNewPush reports whether the push of root to revision to has not been
// forwarded yet, and records it.
func (g *gossip) isNewPush(root fleet.VMID, to uint64) bool {
	return recordIfHigher(&g.pushedRevision, root, to)
}

// recordIfHigher records n for id if it is higher than the recorded value, and
// reports whether it was.
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
// records that it is sent.
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
	v := s.currentVersion()
	return &Digest{
		Format:   Format,
		Revision: v.Revision,
		Hash:     v.Hash,
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
// rank or after a takeover. Fleet-wide duties are assigned to readers.
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

// withJitter returns a random duration between 3/4 and 5/4 of d. With fixed
// intervals the sends of different daemons could synchronise.
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

// handleDigest compares a peer's Digest with the content in force, and forwards
// it if it is a heartbeat.
func (s *State) handleDigest(from fleet.VMID, m *Digest, out *Ready) {
	if m.Root != "" {
		s.forwardHeartbeat(m, out)
	}
	if s.current == nil {
		s.addCandidate(from, Version{Revision: m.Revision, Hash: m.Hash})
		s.recordJoinAnswer(from, out)
		return
	}
	if m.Ask {
		s.send(from, s.makeDigest(), out)
		return
	}
	v := Version{Revision: m.Revision, Hash: m.Hash}
	s.compareWithPeer(from, v, m.Age)
	if from == s.catchUp.askedPeer && !v.supersedes(s.currentVersion()) {
		s.dropCandidate(from) // it has no newer content yet
	}
	if m.Root != "" && m.Root != from {
		s.compareWithPeer(m.Root, v, m.Age)
		return
	}
	switch {
	case s.currentVersion().supersedes(v):
		s.updatePeer(from, v, out)
	case s.currentVersion() == v && s.shouldSendConfirmation(m.Age):
		s.send(from, s.makeDigest(), out)
	}
}

// shouldSendConfirmation reports whether to send this daemon's confirmation to a
// peer whose confirmation has the given age. A daemon that is missing from the
// readers' membership lists is in none of their trees, and would otherwise report
// that it is cut off.
func (s *State) shouldSendConfirmation(peerAge Age) bool {
	own := s.messageAge()
	if own == Unknown || own.Duration() > CutOffAfter/2 {
		return false
	}
	return peerAge == Unknown || peerAge.Duration() > CutOffAfter/2
}

// forwardHeartbeat records the heartbeat of a reader and forwards it down the
// reader's tree.
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

// updatePeer sends a peer that is behind a delta or, if none is available, a
// digest, upon which the peer sends an UpdateRequest.
func (s *State) updatePeer(to fleet.VMID, v Version, out *Ready) {
	if v.Revision < s.current.cat.Revision && v.Revision > 0 {
		if d, ok := s.history.deltaSince(v.Revision, s.current, MaxPushEntries); ok {
			d.Age = s.messageAge()
			s.send(to, d, out)
			return
		}
	}
	s.send(to, s.makeDigest(), out)
}

// randomDomainMembers returns up to n members of the daemon's own domain, without
// the daemon itself.
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

// randomCrossDomainReaders returns one reader from each of up to n other domains.
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
