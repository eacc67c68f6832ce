package config

import (
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// join is the start-up of a daemon that has no catalogue yet. The daemon asks a
// few peers for their revision and the platform for its document, and installs
// the highest revision. If it installed the first answer, a stale peer in a small
// partition could make it apply a lower revision than the previous process at the
// same address had in force.
type join struct {
	deadline     clock.Time   // when the highest content received so far is installed
	collectUntil clock.Time   // when waiting for the answers of peers ends
	retryAt      clock.Time   // when the next round of peers is asked
	best         *joinOffer   // highest content received so far
	membersKnown bool         // whether membership is known
	askedAny     bool         // whether any peer has been asked
	awaiting     []fleet.VMID // peers that were asked and have not answered
}

// joinOffer is content that a joining daemon may install, and its confirmation.
type joinOffer struct {
	content     *content
	confirmed   bool
	confirmedAt clock.Time // used only if confirmed
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

// answersComplete reports whether every peer that was asked has answered or
// timed out.
func (j *join) answersComplete(now clock.Time) bool {
	known := j.membersKnown || !now.Before(j.deadline)
	return known && (len(j.awaiting) == 0 || !now.Before(j.collectUntil))
}

// addJoinOffer keeps o if it is the best offer so far, and then tries to finish
// joining.
func (s *State) addJoinOffer(o joinOffer, out *Ready) {
	b := s.join.best
	if b == nil || !b.content.version().supersedes(o.content.version()) {
		s.join.best = &o
	}
	s.tryFinishJoin(out)
}

// tryFinishJoin installs the best offer once every asked peer has answered or
// timed out and no higher revision is known, or once the deadline has passed.
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

// askForRevisions sends a digest with Ask to some peers in the daemon's own and
// in other domains.
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

// joinPeers selects the peers to ask. They include peers of other domains, since
// the daemon's own domain may be cut off or completely restarted.
func (s *State) joinPeers() []fleet.VMID {
	own := s.randomDomainMembers(JoinPeers - 2)
	return append(own, s.randomCrossDomainReaders(JoinPeers-len(own))...)
}

// recordJoinAnswer records that a peer has answered. Each peer counts once: peers
// also send digests unasked, and counting those would end the wait for other
// peers that may have a higher revision.
func (s *State) recordJoinAnswer(from fleet.VMID, out *Ready) {
	if s.current != nil {
		return
	}
	j := &s.join
	j.awaiting = slices.DeleteFunc(j.awaiting, func(id fleet.VMID) bool { return id == from })
	s.tryFinishJoin(out)
}
