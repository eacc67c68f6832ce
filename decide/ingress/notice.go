package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/notice"
	"github.com/azurethread/azurethread/decide/verdict"
)

// A notice binds the entry VM that received it, so each VM that sends to a target
// checks its own knowledge last: the request's own VM (handleGrant), the gateway
// (forward), and the transport for requests that still wait for a connection
// (Ready.Recalls). A request that is held back goes to another target; it has not
// run, and costs neither an attempt nor a retry.
//
// The coordinators, which choose the targets, are told at once (tellCoordinator), and
// spare the target for the requests of all VMs. A coordinator that does not know of
// a notice, because it has just started, is told when it grants the target.

const (
	// noticeTolerance is by how much the end of a backoff may differ between entry
	// VMs before they tell each other.
	noticeTolerance = 250 * time.Millisecond
	// maxBackoffSpread limits the random delay after a backoff in the regions other
	// than the target's, so that its own region's first request comes alone.
	maxBackoffSpread = 500 * time.Millisecond
	// maxTargetNotices is the maximum number of notices in one message.
	maxTargetNotices = 64
	// maxReturnedGrants is how many granted targets a request may return to
	// coordinators before it is placed with this VM's own knowledge.
	maxReturnedGrants = 3
)

// Changes of a target's state that result from its notices.
const (
	changeLeaving      = "states that it is leaving"
	changeBackoff      = "asks for a backoff"
	changeBackoffEnded = "backoff has ended"
	changeReturned     = "registered again after it left"
)

// noticeReceived applies the notice of an answer that this VM has received.
func (r *Reducer) noticeReceived(now clock.Time, ev *NoticeReceived) {
	if t := r.instanceOf(ev.Target, ev.StartedAt); t != nil {
		c := r.applyNotice(now, t, ev.Notice, 0)
		r.tellCoordinator(now, t, c)
	}
}

// instanceOf returns the state of a target if its instance is the one that started
// at startedAt, nil otherwise. Start times that are not stated match any other.
func (r *Reducer) instanceOf(id fleet.TargetID, startedAt int64) *targetState {
	t := r.stateOf(id)
	if t == nil || differs(t.StartedAt, startedAt) {
		return nil
	}
	return t
}

// differs reports whether two start times are those of different instances.
func differs(a, b int64) bool { return a != 0 && b != 0 && a != b }

// applyNotice applies a notice about t that is this old, whoever has received it.
func (r *Reducer) applyNotice(now clock.Time, t *targetState, n notice.Notice, age time.Duration) notice.Change {
	if !r.on(Notices) {
		return notice.Change{}
	}
	c := t.availability.Apply(now, n)
	if c.BackedOff || c.Extended {
		r.scheduleBackoffEnd(t)
	}
	if !c.Left && !c.BackedOff {
		return c
	}
	if c.Left {
		r.reportNotice(t, changeLeaving, 0, 0, age)
		r.broadcastLeaving(now, t)
	}
	if c.BackedOff {
		r.reportNotice(t, changeBackoff, t.availability.BackoffUntil(), n.Backoff, 0)
	}
	r.updateListing(now, t)
	r.recallSends(t)
	r.dispatchWaiting(now, t.svc)
	return c
}

// reportNotice reports a change of t's state with what the target stated.
func (r *Reducer) reportNotice(t *targetState, change string, until clock.Time, stated, age time.Duration) {
	r.out.StateChanges = append(r.out.StateChanges, TargetStateChange{Target: t.ID, Change: change, Until: until, Stated: stated, Age: age})
}

// recallSends recalls the requests that may still wait for a connection to t.
func (r *Reducer) recallSends(t *targetState) {
	for _, a := range r.attemptsAt(t) {
		if a.gateway == "" {
			r.out.Recalls = append(r.out.Recalls, Recall{Request: a.req.id, Attempt: a.id})
		}
	}
	for _, f := range r.forwardsAt(t) {
		r.out.Recalls = append(r.out.Recalls, Recall{Request: f.request, Attempt: f.attempt})
	}
}

// scheduleBackoffEnd sets the timer for the end of t's backoff.
func (r *Reducer) scheduleBackoffEnd(t *targetState) {
	at := t.availability.BackoffUntil()
	if !r.isLocal(t) {
		spread := min(maxBackoffSpread, at.Sub(t.availability.BackoffSince()))
		at = at.Add(time.Duration(r.rng.Float64() * float64(spread)))
	}
	t.backoffEndsAt = at
	r.timers.add(timer{at: at, purpose: dueBackoff, target: t})
}

// backoffDue ends t's backoff. A timer from before the backoff was extended has no
// effect.
func (r *Reducer) backoffDue(now clock.Time, t *targetState) {
	if now.Before(t.backoffEndsAt) {
		return
	}
	since := t.availability.BackoffSince()
	if !t.availability.EndBackoff(now) || t.removed {
		return
	}
	r.reportNotice(t, changeBackoffEnded, 0, 0, now.Sub(since))
	r.updateListing(now, t)
	r.dispatchWaiting(now, t.svc)
}

// tellCoordinator tells the coordinator of this VM's region of a notice that this VM
// has received itself.
func (r *Reducer) tellCoordinator(now clock.Time, t *targetState, c notice.Change) {
	until := t.availability.BackoffUntil()
	later := (c.BackedOff || c.Extended) && until.Sub(t.toldUntil) > noticeTolerance
	if !c.Left && !(later && r.on(SharedBackoffs)) {
		return
	}
	t.toldUntil = until
	if to := r.activeCoordinator(now, t.Service); to != "" && to != r.opts.Self {
		r.sendMessage(to, &TargetNotices{List: []TargetNotice{t.noticeFor(now)}})
	}
}

// broadcastLeaving tells the other VMs of the region and the coordinators of other
// regions that t is leaving. Only the coordinator of a region does so, once for each
// target.
func (r *Reducer) broadcastLeaving(now clock.Time, t *targetState) {
	if r.activeCoordinator(now, t.Service) != r.opts.Self {
		return
	}
	m := &TargetNotices{List: []TargetNotice{t.noticeFor(now)}}
	for i := range r.members {
		vm := &r.members[i]
		if vm.ID != r.opts.Self && (vm.Region == r.region || vm.ID == r.coordinator(vm.Region, t.Service)) {
			r.sendMessage(vm.ID, m)
		}
	}
}

// noticeFor returns t's notice for other entry VMs.
func (t *targetState) noticeFor(now clock.Time) TargetNotice {
	n := t.availability.Notice(now)
	m := TargetNotice{Target: t.ID, StartedAt: t.StartedAt, Leaving: n.Leaving, Backoff: n.Backoff}
	if n.Leaving {
		m.Age = now.Sub(t.availability.LeavingSince())
	}
	return m
}

// mergeNotices applies what another entry VM knows of targets' notices.
func (r *Reducer) mergeNotices(now clock.Time, m *TargetNotices) {
	for _, n := range m.List[:min(len(m.List), maxTargetNotices)] {
		if t := r.instanceOf(n.Target, n.StartedAt); t != nil {
			r.applyNotice(now, t, notice.Notice{Leaving: n.Leaving, Backoff: max(n.Backoff, 0)}, max(n.Age, 0))
		}
	}
}

// briefCoordinator tells a coordinator that this VM has not asked before which
// targets of a service are not available: it may have just started.
func (r *Reducer) briefCoordinator(now clock.Time, to fleet.VMID, s *service) {
	if s.briefed == to {
		return
	}
	s.briefed = to
	m := new(TargetNotices)
	for _, t := range s.unavailable {
		if (t.availability.Leaving() || r.on(SharedBackoffs)) && len(m.List) < maxTargetNotices {
			m.List = append(m.List, t.noticeFor(now))
		}
	}
	if len(m.List) > 0 {
		r.sendMessage(to, m)
	}
}

// returnGrant returns a granted target to its coordinator because of t's notice or rate
// limit, and asks again. The next placement request states the limit.
func (r *Reducer) returnGrant(now clock.Time, q *request, from fleet.VMID, t *targetState) {
	p := q.pending.request
	if t.availability.Leaving() || (t.availability.BackingOff() && r.on(SharedBackoffs)) {
		r.sendMessage(from, &TargetNotices{List: []TargetNotice{t.noticeFor(now)}})
	}
	r.sendMessage(from, &Report{ID: p.ID, Result: ResultNotSent})
	delete(r.placements, p.ID)
	q.pending = nil
	q.tried = append(q.tried, t.ID)
	q.returnedGrants++
	if q.returnedGrants <= maxReturnedGrants {
		r.findTarget(now, q)
		return
	}
	p.MaxWait = 0
	r.placeLocally(now, q, p)
}

// updateUnavailable keeps the list of a service's targets that are not available by
// their notices.
func (r *Reducer) updateUnavailable(t *targetState) {
	now := !t.removed && !t.availability.Available()
	switch {
	case now && !t.unavailable:
		t.svc.unavailable = insertByID(t.svc.unavailable, t)
	case !now && t.unavailable:
		t.svc.unavailable = deleteByID(t.svc.unavailable, t)
	}
	t.unavailable = now
}

// unavailableUntil reports whether no target may take j because of their notices,
// and the earliest end of a backoff among them; 0 if there is none.
func (r *Reducer) unavailableUntil(j *job) (until clock.Time, unavailable bool) {
	if len(j.svc.unavailable) == 0 || r.anyListed(j) {
		return 0, false
	}
	for _, t := range j.svc.unavailable {
		if !r.mayServe(j, t) {
			continue
		}
		unavailable = true
		if t.availability.Leaving() {
			continue
		}
		if end := t.availability.BackoffUntil(); until == 0 || end.Before(until) {
			until = end
		}
	}
	return until, unavailable
}

// anyListed reports whether a target that may get requests may take j.
func (r *Reducer) anyListed(j *job) bool {
	for _, group := range j.svc.groups {
		if len(j.AllowedRegions) == 0 && len(group) > 0 {
			return true
		}
		for _, t := range group {
			if r.usable(j, t) {
				return true
			}
		}
	}
	return false
}

// denyUnavailable denies j at once if no target may take it because of their
// notices, and none will before j's wait ends.
func (r *Reducer) denyUnavailable(now clock.Time, j *job) bool {
	until, unavailable := r.unavailableUntil(j)
	if !unavailable || (until != 0 && until.Before(j.waitUntil)) {
		return false
	}
	freeAfter := time.Duration(0)
	if until != 0 {
		freeAfter = max(until.Sub(now), 0)
	}
	r.refund(now, j)
	r.denyFor(now, j, verdict.ReasonUnavailable, freeAfter)
	return true
}
