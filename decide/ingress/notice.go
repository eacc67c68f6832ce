package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/notice"
)

// Changes of a target's state that result from its notices.
const (
	changeLeaving = "states that it is leaving"
	changeBackoff = "asks for a backoff"
)

// noticeReceived applies the notice of an answer that this VM has received.
func (r *Reducer) noticeReceived(now clock.Time, ev *NoticeReceived) {
	if t := r.instanceOf(ev.Target, ev.StartedAt); t != nil {
		r.applyNotice(now, t, ev.Notice)
	}
}

// instanceOf returns the state of a target if its instance is the one that started
// at startedAt, nil otherwise. Start times that are not stated match any other.
func (r *Reducer) instanceOf(id fleet.TargetID, startedAt int64) *targetState {
	t, ok := r.targets[id]
	if !ok || differs(t.StartedAt, startedAt) {
		return nil
	}
	return t
}

// differs reports whether two start times are those of different instances.
func differs(a, b int64) bool { return a != 0 && b != 0 && a != b }

// applyNotice records a notice about t.
func (r *Reducer) applyNotice(now clock.Time, t *targetState, n notice.Notice) {
	t.availability.EndBackoff(now)
	c := t.availability.Apply(now, n)
	if c.Left {
		r.reportNotice(t, changeLeaving, 0, 0, 0)
	}
	if c.BackedOff {
		r.reportNotice(t, changeBackoff, t.availability.BackoffUntil(), n.Backoff, 0)
	}
}

// reportNotice reports a change of t's state with what the target stated.
func (r *Reducer) reportNotice(t *targetState, change string, until clock.Time, stated, age time.Duration) {
	r.out.StateChanges = append(r.out.StateChanges, TargetStateChange{Target: t.ID, Change: change, Until: until, Stated: stated, Age: age})
}
