package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// A registration may lapse and return although its target is still the same instance:
// while the store is down, or the target is cut off from it and not from the entry VMs.
// The state of an instance therefore outlives its registration for some time. If it
// did not, a returning target would be unlimited, idle, healthy and available in the
// view of all entry VMs at once, whatever it had stated before.

const (
	// removedRetention is how long the state of an instance is kept after its
	// registration was removed.
	removedRetention = time.Minute
	// maxRemoved limits the number of instances whose state is kept.
	maxRemoved = 4096
)

// removedTargets holds the states of targets whose registrations were removed.
type removedTargets struct {
	states map[fleet.TargetID]*targetState
	queue  []*targetState // in the order of their removal, with states that have returned
}

// keep stores the state of a target that is removed. If there are too many, the one
// removed first is dropped.
func (m *removedTargets) keep(now clock.Time, t *targetState) {
	if m.states == nil {
		m.states = make(map[fleet.TargetID]*targetState)
	}
	m.expire(now)
	if len(m.queue) >= maxRemoved {
		m.dropFirst()
	}
	t.removedAt = now
	m.states[t.ID] = t
	m.queue = append(m.queue, t)
}

// expire drops the states that were kept for long enough.
func (m *removedTargets) expire(now clock.Time) {
	for len(m.queue) > 0 && now.Sub(m.queue[0].removedAt) >= removedRetention {
		m.dropFirst()
	}
}

// dropFirst drops the first state of the queue unless it has returned or was replaced.
func (m *removedTargets) dropFirst() {
	t := m.queue[0]
	m.queue[0] = nil
	m.queue = m.queue[1:]
	if m.states[t.ID] == t {
		delete(m.states, t.ID)
	}
}

// take removes and returns the state kept under an ID, nil if there is none.
func (m *removedTargets) take(now clock.Time, id fleet.TargetID) *targetState {
	m.expire(now)
	t := m.states[id]
	delete(m.states, id)
	return t
}

// restoreInstance applies to a target that is registered what is known of its instance
// from an earlier registration, and returns its state: the earlier one if the target is
// the same, t otherwise.
func (r *Reducer) restoreInstance(now clock.Time, t *targetState) *targetState {
	old := r.removed.take(now, t.ID)
	switch {
	case old == nil:
		return t
	case differs(old.StartedAt, t.StartedAt):
		if !old.availability.Available() {
			r.reportChange(t, changeReturned, 0)
		}
		return t
	case old.Service != t.Service || old.Domain != t.Domain:
		t.adoptInstance(old)
		if t.availability.BackingOff() {
			r.scheduleBackoffEnd(t)
		}
		return t
	}
	old.removed = false
	old.terminated = false // it has written its registration
	return old
}

// adoptInstance takes over what is known of t's instance from the state under its
// earlier service or domain. Requests under way there keep using the earlier state.
func (t *targetState) adoptInstance(old *targetState) {
	t.limit, t.sends = old.limit, old.sends
	t.availability, t.toldUntil = old.availability, old.toldUntil
	t.standing = old.standing
	t.coldUntil, t.coldStarts = old.coldUntil, old.coldStarts
	t.answeredAt = old.answeredAt
	t.untried = old.untried
}

// stateOf returns the state of a target, also if its registration was removed a short
// time ago; nil if there is none.
func (r *Reducer) stateOf(id fleet.TargetID) *targetState {
	if t, ok := r.targets[id]; ok {
		return t
	}
	return r.removed.states[id]
}
