package config

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// join is the start of a daemon that has nothing yet. It asks a few peers for
// their revision and the platform for its document, and takes the highest. If
// it took the first answer, a stale peer in a small partition would make it
// apply a lower revision than its predecessor at the same address had in force.
type join struct {
	deadline     clock.Time   // when the highest content so far is taken
	collectUntil clock.Time   // until when answers are awaited
	retryAt      clock.Time   // when other peers are asked
	best         *joinOffer   // highest content received so far
	membersKnown bool         // whether membership is known
	askedAny     bool         // whether any peer has been asked
	awaiting     []fleet.VMID // peers asked that have not answered
}

// joinOffer is content that may be put in force, with its confirmation.
type joinOffer struct {
	content     *content
	confirmed   bool
	confirmedAt clock.Time // of the confirmation
}

func (j *join) begin(now clock.Time) {
	j.deadline = now.Add(JoinWait)
	j.collectUntil = j.deadline
	j.retryAt = now
}

func (j *join) wake(now clock.Time) clock.Time {
	w := j.retryAt
	if now.Before(j.collectUntil) {
		w = clock.Min(w, j.collectUntil)
	}
	if j.best != nil {
		w = clock.Min(w, j.deadline)
	}
	return w
}

func (j *join) finish() {
	*j = join{deadline: clock.Never, collectUntil: clock.Never, retryAt: clock.Never}
}

// answersComplete reports whether every peer asked has answered, or timed out.
func (j *join) answersComplete(now clock.Time) bool {
	known := j.membersKnown || !now.Before(j.deadline)
	return known && (len(j.awaiting) == 0 || !now.Before(j.collectUntil))
}

// addJoinOffer keeps o if it is the best so far, and takes the best if it may.
func (s *State) addJoinOffer(o joinOffer, out *Ready) {
	b := s.join.best
	if b == nil || !b.content.version().supersedes(o.content.version()) {
		s.join.best = &o
	}
	s.tryFinishJoin(out)
}

// tryFinishJoin takes the best content once nothing higher has been heard of and
// the platform or all asked peers have answered, or once the time is over.
func (s *State) tryFinishJoin(out *Ready) {
	j := &s.join
	if s.current != nil || j.best == nil {
		return
	}
	best := *j.best
	highest := best.content.cat.Revision >= s.catchUp.highestKnown
	if s.now.Before(j.deadline) && !(highest && j.answersComplete(s.now)) {
		return
	}
	s.install(best.content, out)
	if best.confirmed {
		s.confirmCurrent(best.content.version(), best.confirmedAt)
	}
	j.finish()
}

func (s *State) runJoinTimers(out *Ready) {
	if s.current != nil {
		return
	}
	if !s.now.Before(s.join.retryAt) {
		s.askForRevisions(out)
	}
	s.tryFinishJoin(out)
}

// askForRevisions sends a digest with Ask to some peers, of the own and of
// other domains.
func (s *State) askForRevisions(out *Ready) {
	j := &s.join
	j.retryAt = s.now.Add(JoinRetry)
	peers := s.joinPeers()
	if len(peers) == 0 {
		return
	}
	j.askedAny, j.awaiting = true, peers
	j.collectUntil = s.now.Add(JoinDigestWait)
	for _, to := range peers {
		s.send(to, &Digest{Format: Format, Age: Unknown, ReadAge: Unknown, Ask: true}, out)
	}
}

// joinPeers picks the peers to ask. Other domains are asked too, since the own
// one may have been cut off, or replaced as a whole.
func (s *State) joinPeers() []fleet.VMID {
	own := s.randomDomainMembers(JoinPeers - 2)
	return append(own, s.randomCrossDomainReaders(JoinPeers-len(own))...)
}

// recordJoinAnswer notes a digest of a peer. Each peer counts once: digests also come
// unasked, and counting them would end the wait for peers that may hold more.
func (s *State) recordJoinAnswer(from fleet.VMID, out *Ready) {
	if s.current != nil {
		return
	}
	j := &s.join
	j.awaiting = slices.DeleteFunc(j.awaiting, func(id fleet.VMID) bool { return id == from })
	s.tryFinishJoin(out)
}
