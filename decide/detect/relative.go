package detect

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Pace selects what advances the logical clock of a group.
type Pace uint8

const (
	// ByAnswer advances the clock with every answer of any member. It suits
	// members that are used in turn, such as connections and targets.
	ByAnswer Pace = iota
	// ByRound advances the clock at a member's second heartbeat within one
	// round, so that the fastest member determines the rounds. It suits
	// members that all send at the same interval.
	ByRound
)

// RelativeConfig configures a Relative detector.
type RelativeConfig struct {
	Pace       Pace
	MinRound   time.Duration // minimum length of a round with ByRound
	Bound      int64         // initial lag bound, in answers or rounds
	BoundMax   int64         // maximum lag bound
	MinSilence time.Duration // shorter silences are never suspected
	MaxSilence time.Duration // longer silences are always suspected
}

// Relative suspects a member whose lag behind its siblings exceeds an adaptive
// bound. While no member progresses no lag grows, so a pause or a slowdown of
// all members causes suspicions only after MaxSilence.
type Relative struct {
	config      RelativeConfig
	group       group
	logicalTime int64      // logical clock, in answers or rounds
	bound       int64      // the adaptive lag bound
	advancedAt  clock.Time // when the logical clock last advanced
}

// NewRelative returns a detector for one group.
func NewRelative(c RelativeConfig) *Relative {
	return &Relative{config: c, bound: c.Bound}
}

// Sent implements Detector.
func (r *Relative) Sent(now clock.Time, id ID) { r.group.addOwed(now, id, r.nextLagStart()) }

// Heard implements Detector.
func (r *Relative) Heard(now clock.Time, id ID) {
	r.raiseBound(now, id)
	r.advance(now, id)
	r.group.endSilence(now, id, r.nextLagStart())
}

// Done implements Detector.
func (r *Relative) Done(now clock.Time, id ID) {
	r.Heard(now, id)
	r.group.removeOwed(now, id, r.logicalTime)
}

// Abandoned implements Detector.
func (r *Relative) Abandoned(now clock.Time, id ID) { r.group.removeOwed(now, id, r.logicalTime) }

// Suspect implements Detector.
func (r *Relative) Suspect(now clock.Time, id ID) bool {
	silence := r.group.silence(now, id)
	return silence > r.config.MaxSilence || r.lagExceedsBound(silence, id)
}

// Due implements Detector. Any event of a sibling can make a silent member
// suspected, so a silence above MinSilence is checked every pollInterval.
func (r *Relative) Due(now clock.Time, id ID) clock.Time {
	if r.group.owesAnswer(id) && r.Suspect(now, id) {
		return now
	}
	latest := r.group.boundPassedAt(now, id, r.config.MaxSilence)
	return clock.Min(latest, r.group.nextCheck(now, id, r.config.MinSilence))
}

// Forget implements Detector.
func (r *Relative) Forget(id ID) { r.group.forget(id) }

// LagBound returns the current adaptive bound, in answers or rounds.
func (r *Relative) LagBound() int64 { return r.bound }

// lagExceedsBound reports whether id is behind its siblings by more than the bound.
func (r *Relative) lagExceedsBound(silence time.Duration, id ID) bool {
	return silence > r.config.MinSilence && r.group.lag(r.logicalTime, id) > r.bound
}

// raiseBound raises the bound by one when a member that would have been suspected
// for its lag gives a sign of life.
func (r *Relative) raiseBound(now clock.Time, id ID) {
	if r.lagExceedsBound(r.group.silence(now, id), id) {
		r.bound = min(r.bound+1, r.config.BoundMax)
	}
}

// advance advances the logical clock for a sign of life of id.
//
// After a pause of the observer itself, it reads all heartbeats sent during the
// pause at the same time, those of one peer before those of the next. Without
// MinRound the first peer would complete several rounds in one instant, and all
// others would be suspected.
func (r *Relative) advance(now clock.Time, id ID) {
	if r.config.Pace == ByRound {
		if r.group.member(id).lagStart < r.logicalTime || now.Sub(r.advancedAt) < r.config.MinRound {
			return
		}
	}
	r.logicalTime++
	r.advancedAt = now
}

// nextLagStart returns the logical time from which the lag of a member counts if
// its silence starts now. Answers to requests that were sent before don't
// overtake that member, so with ByAnswer the lag starts only after as many
// answers as the group owes.
func (r *Relative) nextLagStart() int64 {
	if r.config.Pace == ByRound {
		return r.logicalTime
	}
	return r.logicalTime + r.group.owed
}
