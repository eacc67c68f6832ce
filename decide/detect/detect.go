package detect

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// ID identifies a member of a group: a connection to one target, a target of
// one service, or an entry VM. The caller assigns IDs from zero without gaps,
// and may reuse an ID after Forget.
type ID int32

// Detector finds the members of a group that have stopped answering.
// Implementations are deterministic, not safe for concurrent use, and read no
// clock.
type Detector interface {
	// Sent records that id owes one more answer. A member that sends
	// heartbeats owes one answer for as long as it is monitored.
	Sent(now clock.Time, id ID)
	// Heard records a sign of life, such as part of an answer or a heartbeat,
	// which leaves the number of answers owed unchanged.
	Heard(now clock.Time, id ID)
	// Done records a complete answer: a sign of life, and one answer fewer owed.
	Done(now clock.Time, id ID)
	// Abandoned records that the caller stopped waiting for one answer. That
	// is no sign of life: the silence so far is added to that of the next
	// request.
	Abandoned(now clock.Time, id ID)
	// Suspect reports whether id has been silent for too long.
	Suspect(now clock.Time, id ID) bool
	// Due returns when to call Suspect for id again: clock.Never if id owes
	// no answer, now if it is already suspected.
	Due(now clock.Time, id ID) clock.Time
	// Forget removes all state of id.
	Forget(id ID)
}

// member is the state that every detector keeps for one ID.
//
// Silence is counted only while an answer is owed, and accumulates over
// abandoned requests until a sign of life. Otherwise a dead target whose
// callers all give up before the bound would never be suspected.
type member struct {
	silentSince        clock.Time    // start of the silence as if it were uninterrupted; valid while owed > 0
	accumulatedSilence time.Duration // silence so far; valid while owed == 0
	lagStart           int64         // logical time from which lag counts; valid while owed > 0
	accumulatedLag     int64         // lag so far; valid while owed == 0
	owed               int32         // answers owed
}

// group holds the members. The detector defines the unit of lag, and passes in
// the current reading of its logical clock.
type group struct {
	members []member
	owed    int64 // answers owed by all members
}

func (g *group) member(id ID) *member {
	for int(id) >= len(g.members) {
		g.members = append(g.members, member{})
	}
	return &g.members[id]
}

// silence returns how long id has owed an answer without a sign of life.
func (g *group) silence(now clock.Time, id ID) time.Duration {
	if int(id) >= len(g.members) {
		return 0
	}
	m := &g.members[id]
	if m.owed == 0 {
		return m.accumulatedSilence
	}
	return now.Sub(m.silentSince)
}

// lag returns how far id is behind the logical clock, which reads logicalTime.
func (g *group) lag(logicalTime int64, id ID) int64 {
	if int(id) >= len(g.members) {
		return 0
	}
	m := &g.members[id]
	if m.owed == 0 {
		return m.accumulatedLag
	}
	return max(0, logicalTime-m.lagStart)
}

// owesAnswer reports whether id owes an answer.
func (g *group) owesAnswer(id ID) bool {
	return int(id) < len(g.members) && g.members[id].owed > 0
}

// addOwed adds one answer owed. If id owed none, its lag counts from lagStart,
// less the lag accumulated before.
func (g *group) addOwed(now clock.Time, id ID, lagStart int64) {
	m := g.member(id)
	if m.owed == 0 {
		m.silentSince = now.Add(-m.accumulatedSilence)
		m.lagStart = lagStart - m.accumulatedLag
	}
	m.owed++
	g.owed++
}

// endSilence ends the silence of id; its lag counts from lagStart.
func (g *group) endSilence(now clock.Time, id ID, lagStart int64) {
	m := g.member(id)
	m.silentSince, m.accumulatedSilence = now, 0
	m.lagStart, m.accumulatedLag = lagStart, 0
}

// removeOwed subtracts one answer from those that id owes. Silence and lag are
// kept.
func (g *group) removeOwed(now clock.Time, id ID, logicalTime int64) {
	m := g.member(id)
	if m.owed == 0 {
		return
	}
	silent, lag := g.silence(now, id), g.lag(logicalTime, id)
	m.owed--
	g.owed--
	if m.owed == 0 {
		m.accumulatedSilence, m.accumulatedLag = silent, lag
	}
}

// forget removes the state of id.
func (g *group) forget(id ID) {
	if int(id) >= len(g.members) {
		return
	}
	g.owed -= int64(g.members[id].owed)
	g.members[id] = member{}
}

// boundPassedAt returns when the silence of id will exceed bound: clock.Never if
// it owes no answer, now if it already does.
func (g *group) boundPassedAt(now clock.Time, id ID, bound time.Duration) clock.Time {
	if !g.owesAnswer(id) {
		return clock.Never
	}
	at := g.members[id].silentSince.Add(bound + 1)
	if at < now {
		return now
	}
	return at
}

// nextCheck returns when the silence of id will exceed bound, but no earlier than
// pollInterval from now.
func (g *group) nextCheck(now clock.Time, id ID, bound time.Duration) clock.Time {
	return max(g.boundPassedAt(now, id, bound), now.Add(pollInterval))
}

// pollInterval is how often a member is checked if only progress of its siblings
// can make it suspected. It is the longest delay of such a suspicion.
const pollInterval = 10 * time.Millisecond
