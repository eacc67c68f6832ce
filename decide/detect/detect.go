package detect

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// ID numbers a member of a group: a connection to one target, a target of one
// service, or an entry VM. The caller gives numbers out from zero, densely,
// and may reuse a number after Forget.
type ID int32

// Detector finds the members of a group that have gone silent. Implementations
// are deterministic, single-threaded and keep no clock.
type Detector interface {
	// Sent records that id owes one more answer. A member that sends
	// heartbeats unasked owes one answer for as long as it is watched.
	Sent(now clock.Time, id ID)
	// Heard records a sign of life, such as part of an answer or a heartbeat,
	// after which id still owes what it owed.
	Heard(now clock.Time, id ID)
	// Done records a complete answer: a sign of life, and one answer fewer owed.
	Done(now clock.Time, id ID)
	// Abandoned records that the caller stopped waiting for one answer. It is
	// no sign of life: the silence so far counts against the next attempt.
	Abandoned(now clock.Time, id ID)
	// Suspect reports whether id has been silent for too long.
	Suspect(now clock.Time, id ID) bool
	// Due returns when to ask Suspect about id again: Never if it owes
	// nothing, now if it is already suspected.
	Due(now clock.Time, id ID) clock.Time
	// Forget drops what is known of id.
	Forget(id ID)
}

// member is what every detector knows about one ID.
//
// Silence is counted only while an answer is owed, and adds up over abandoned
// attempts until a sign of life. Without the adding up, a dead target whose
// callers each give up before the bound would never be suspected.
type member struct {
	silentSince        clock.Time    // start of the silence, as if it were unbroken; valid while owed > 0
	accumulatedSilence time.Duration // silence so far; valid while owed == 0
	lagStart           int64         // logical clock from which lag counts; valid while owed > 0
	accumulatedLag     int64         // lag so far; valid while owed == 0
	owed               int32         // answers owed
}

// group holds the members. What their lag is counted in is the detector's
// matter: it passes in the reading of its logical clock.
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

// lag returns how far the siblings' progress, at tick, has run ahead of id.
func (g *group) lag(tick int64, id ID) int64 {
	if int(id) >= len(g.members) {
		return 0
	}
	m := &g.members[id]
	if m.owed == 0 {
		return m.accumulatedLag
	}
	return max(0, tick-m.lagStart)
}

// owesAnswer reports whether id owes an answer.
func (g *group) owesAnswer(id ID) bool {
	return int(id) < len(g.members) && g.members[id].owed > 0
}

// addOwed adds one answer owed; mark is where lag starts when id owed none.
func (g *group) addOwed(now clock.Time, id ID, mark int64) {
	m := g.member(id)
	if m.owed == 0 {
		m.silentSince = now.Add(-m.accumulatedSilence)
		m.lagStart = mark - m.accumulatedLag
	}
	m.owed++
	g.owed++
}

// endSilence ends the silence of id.
func (g *group) endSilence(now clock.Time, id ID, mark int64) {
	m := g.member(id)
	m.silentSince, m.accumulatedSilence = now, 0
	m.lagStart, m.accumulatedLag = mark, 0
}

// removeOwed takes one answer off what id owes. Silence and lag are kept.
func (g *group) removeOwed(now clock.Time, id ID, tick int64) {
	m := g.member(id)
	if m.owed == 0 {
		return
	}
	silent, lag := g.silence(now, id), g.lag(tick, id)
	m.owed--
	g.owed--
	if m.owed == 0 {
		m.accumulatedSilence, m.accumulatedLag = silent, lag
	}
}

// forget drops id.
func (g *group) forget(id ID) {
	if int(id) >= len(g.members) {
		return
	}
	g.owed -= int64(g.members[id].owed)
	g.members[id] = member{}
}

// boundPassedAt returns when the silence of id will pass bound.
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

// nextCheck returns when the silence of id will pass bound, or a poll from now if
// it has.
func (g *group) nextCheck(now clock.Time, id ID, bound time.Duration) clock.Time {
	return max(g.boundPassedAt(now, id, bound), now.Add(pollInterval))
}

// pollInterval is how often a member that only its siblings' progress can bring under
// suspicion is asked about. A suspicion is noticed that much late at most.
const pollInterval = 10 * time.Millisecond
