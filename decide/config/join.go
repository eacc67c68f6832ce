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
	deadline clock.Time   // when the highest content so far is taken
	collect  clock.Time   // until when answers are awaited
	retry    clock.Time   // when other peers are asked
	best     *offer       // highest content received so far
	members  bool         // whether membership is known
	asked    bool         // whether any peer has been asked
	awaiting []fleet.VMID // peers asked that have not answered
}

// offer is content that may be put in force, with its confirmation.
type offer struct {
	content   *content
	confirmed bool
	at        clock.Time // of the confirmation
}

func (j *join) begin(now clock.Time) {
	j.deadline = now.Add(JoinWait)
	j.collect = j.deadline
	j.retry = now
}

func (j *join) wake(now clock.Time) clock.Time {
	w := j.retry
	if now.Before(j.collect) {
		w = clock.Min(w, j.collect)
	}
	if j.best != nil {
		w = clock.Min(w, j.deadline)
	}
	return w
}

func (j *join) end() {
	*j = join{deadline: clock.Never, collect: clock.Never, retry: clock.Never}
}

// collected reports whether every peer asked has answered, or timed out.
func (j *join) collected(now clock.Time) bool {
	known := j.members || !now.Before(j.deadline)
	return known && (len(j.awaiting) == 0 || !now.Before(j.collect))
}

// offerJoin keeps o if it is the best so far, and takes the best if it may.
func (s *State) offerJoin(o offer, out *Ready) {
	b := s.join.best
	if b == nil || !b.content.point().supersedes(o.content.point()) {
		s.join.best = &o
	}
	s.finishJoin(out)
}

// finishJoin takes the best content once nothing higher has been heard of and
// the platform or all asked peers have answered, or once the time is over.
func (s *State) finishJoin(out *Ready) {
	j := &s.join
	if s.held != nil || j.best == nil {
		return
	}
	best := *j.best
	highest := best.content.cat.Revision >= s.catchUp.highest
	if s.now.Before(j.deadline) && !(highest && j.collected(s.now)) {
		return
	}
	s.adopt(best.content, out)
	if best.confirmed {
		s.confirmHeld(best.content.point(), best.at)
	}
	j.end()
}

func (s *State) dueJoin(out *Ready) {
	if s.held != nil {
		return
	}
	if !s.now.Before(s.join.retry) {
		s.askForRevisions(out)
	}
	s.finishJoin(out)
}

// askForRevisions sends a digest with Ask to some peers, of the own and of
// other domains.
func (s *State) askForRevisions(out *Ready) {
	j := &s.join
	j.retry = s.now.Add(JoinRetry)
	peers := s.joinPeers()
	if len(peers) == 0 {
		return
	}
	j.asked, j.awaiting = true, peers
	j.collect = s.now.Add(JoinDigestWait)
	for _, to := range peers {
		s.send(to, &Digest{Format: Format, Age: Unknown, ReadAge: Unknown, Ask: true}, out)
	}
}

// joinPeers picks the peers to ask. Other domains are asked too, since the own
// one may have been cut off, or replaced as a whole.
func (s *State) joinPeers() []fleet.VMID {
	own := s.randomOwn(JoinAsks - 2)
	return append(own, s.randomCross(JoinAsks-len(own))...)
}

// joinAnswer notes a digest of a peer. Each peer counts once: digests also come
// unasked, and counting them would end the wait for peers that may hold more.
func (s *State) joinAnswer(from fleet.VMID, out *Ready) {
	if s.held != nil {
		return
	}
	j := &s.join
	j.awaiting = slices.DeleteFunc(j.awaiting, func(id fleet.VMID) bool { return id == from })
	s.finishJoin(out)
}
