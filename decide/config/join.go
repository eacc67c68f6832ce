package config

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// join is the start of a daemon that has nothing yet. It asks a few peers for
// their revision and the platform for its document, and takes the highest. If
// it took the first answer, a stale peer in a small partition would put it
// back to a revision that its predecessor at the same address had left.
type join struct {
	deadline clock.Time // when the highest content so far is taken
	collect  clock.Time // until when answers are awaited
	retry    clock.Time // when other peers are asked
	best     *offer     // highest content received so far
	members  bool       // whether membership is known
	asked    int
	answers  int
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

// collected reports whether every peer asked has answered, or had its time.
func (j *join) collected(now clock.Time) bool {
	known := j.members || !now.Before(j.deadline)
	return known && (j.answers >= j.asked || !now.Before(j.collect))
}

// offerJoin keeps o if it is the best so far, and takes the best if it may.
func (s *State) offerJoin(o offer, out *Ready) {
	b := s.join.best
	if b == nil || !b.content.point().beats(o.content.point()) {
		s.join.best = &o
	}
	s.settleJoin(out)
}

// settleJoin takes the best content once nothing higher has been heard of and
// the platform or all asked peers have answered, or once the time is over.
func (s *State) settleJoin(out *Ready) {
	j := &s.join
	if s.held != nil || j.best == nil {
		return
	}
	best := *j.best
	highest := best.content.cat.Revision >= s.catchUp.heard
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
	s.settleJoin(out)
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
	j.asked, j.answers = len(peers), 0
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

// joinAnswer notes an answer to askForRevisions.
func (s *State) joinAnswer(out *Ready) {
	if s.held != nil {
		return
	}
	s.join.answers++
	s.settleJoin(out)
}
