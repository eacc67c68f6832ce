package ingress

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/admission"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/queue"
	"github.com/azurethread/azurethread/decide/verdict"
)

// jobKey identifies a job by the entry VM whose request it is and that VM's number
// for it.
type jobKey struct {
	vm fleet.VMID
	id PlacementID
}

// job is the search for a target for one send of a request, and then the place
// that the request takes there, in a slot or in the target's queue. The request may
// belong to another entry VM.
type job struct {
	key jobKey
	PlacementRequest
	req       *request // of this entry VM; nil: of another entry VM
	svc       *service
	obj       *object // nil: the request names none
	arrived   clock.Time
	waitUntil clock.Time // when it stops waiting for a target
	expiresAt clock.Time // when its place is freed even without a report
	node      queue.Node[*job]
	state     jobState

	// candidates are the targets that the latest choice compared.
	candidates []scored
	// preferred is the target that a waiting job would go to.
	preferred *targetState
	seq       uint64 // its place among the waiting jobs of its priority
	// entry is its place among the waiting jobs with admission, instead of node and seq.
	entry *admission.Entry[*job]
	// regionReason is what determined the region of the latest choice; localFaster
	// means that the own region's best target was expected to answer sooner.
	regionReason RegionReason
	localFaster  bool
	// hadChoice means that the latest choice was between a target of the own region and
	// one of another.
	hadChoice bool

	target      *targetState
	class       workClass
	queuedAhead int // requests ahead of it at the target, beyond the slots
	// charged means that it holds a token of its account, taken at chargedAt.
	charged   bool
	chargedAt clock.Time
	// within is set for a second send that saves time; see placeHedge.
	within time.Duration
}

type jobState uint8

const (
	jobNew       jobState = iota
	jobUncharged          // waits for a token of its account
	jobWaiting
	jobPlaced
	jobDone
)

// expiryMargin is how long after a request's deadline its place at a target still
// counts as taken if its entry VM reports nothing, for example because it crashed.
const expiryMargin = 500 * time.Millisecond

// isFixed reports whether j runs in its own region as long as that has a target, or only
// in the regions to which its route is bound.
func (j *job) isFixed() bool { return j.Large || len(j.AllowedRegions) > 0 }

func (r *Reducer) newJob(now clock.Time, key jobKey, p PlacementRequest) *job {
	j := &job{key: key, PlacementRequest: p, svc: r.serviceOf(p.Service), arrived: now}
	if j.Object != "" {
		j.obj = j.svc.objects.get(j.Object)
	}
	j.node.Item = j
	j.waitUntil = now.Add(min(p.MaxWait, p.TimeLeft))
	j.expiresAt = now.Add(p.TimeLeft + expiryMargin)
	r.jobs[key] = j
	r.useLastTarget(now, j)
	return j
}

// place finds a target for j, queues j, or denies it.
func (r *Reducer) place(now clock.Time, j *job) {
	if r.admit(now, j) {
		r.placeCharged(now, j)
	}
}

// placeCharged finds a target for j, which is within its account's quota.
func (r *Reducer) placeCharged(now clock.Time, j *job) {
	if t := r.chooseOrAdmit(now, j, nil); t != nil {
		r.chargePlaced(now, j, t)
		r.grant(now, j, t)
		return
	}
	if r.denyUnavailable(now, j) {
		return
	}
	if !j.waitUntil.After(now) {
		r.deny(now, j)
		return
	}
	if r.denyOnArrival(now, j) {
		return
	}
	j.state = jobWaiting
	r.enqueue(now, j)
	j.startWaiting()
	r.timers.add(timer{at: j.waitUntil, purpose: dueJob, job: j})
}

// startWaiting counts j at its preferred target, and registers it to be retried
// when one of its candidates has a free slot.
func (j *job) startWaiting() {
	if j.preferred != nil {
		j.preferred.preferredBy++
	}
	for _, x := range j.candidates {
		x.t.waiters = append(x.t.waiters, j)
	}
}

// stopWaiting undoes startWaiting.
func (j *job) stopWaiting() {
	if j.preferred != nil {
		j.preferred.preferredBy--
	}
	for _, x := range j.candidates {
		if at := slices.Index(x.t.waiters, j); at >= 0 {
			x.t.waiters = slices.Delete(x.t.waiters, at, at+1)
		}
	}
}

// grant gives j a place at t.
func (r *Reducer) grant(now clock.Time, j *job, t *targetState) {
	j.state = jobPlaced
	j.target = t
	j.class = classOf(now, j, t)
	j.queuedAhead = max(0, t.load(now)+1-t.Slots)
	t.inFlight++
	r.updateOccupancy(now, t)
	t.markTried()
	j.obj.markWarm(now, t)
	if t.cold(now) || t.limit.active {
		t.sends.add(now, sendRetention)
	}
	if t.limit.active {
		j.svc.limitedPlaced++
	}
	if j.hadChoice {
		// Only requests with a choice count for the share. The limit on its change
		// would otherwise keep the share high after a time without local targets.
		j.svc.share.count(now, !r.isLocal(t))
	}
	r.countPlacement(j)
	if j.req != nil {
		r.sendTo(now, j.req, j, t, t.limitTerms(now), hedgeClass(j.class), j.within > 0)
		return
	}
	r.timers.add(timer{at: j.expiresAt, purpose: dueJob, job: j})
	if terms := t.limitTerms(now); terms != (LimitTerms{}) {
		r.sendMessage(j.key.vm, &GrantTerms{ID: j.key.id, Terms: terms})
	}
	r.reportWork(j)
	r.sendMessage(j.key.vm, &Grant{ID: j.key.id, Target: t.ID, Share: j.svc.share.advertised()})
}

// deny reports to j's entry VM that there is no target for it.
func (r *Reducer) deny(now clock.Time, j *job) {
	reason, freeAfter := r.denyReason(now, j), r.freeAfter(now, j)
	if j.svc.waiting.fair != nil && reason == verdict.ReasonOverload {
		freeAfter = r.returnAfter(now, j)
	}
	r.refund(now, j)
	r.denyFor(now, j, reason, freeAfter)
}

// denyFor reports a reason for which j is not placed. It may be placed after
// freeAfter.
func (r *Reducer) denyFor(now clock.Time, j *job, reason verdict.Reason, freeAfter time.Duration) {
	if j.entry.Queued() {
		j.svc.waiting.counts.RefusedAfterWait[reason]++
	}
	r.removeJob(j)
	if j.req != nil {
		r.placementDenied(now, j.req, reason, freeAfter)
		return
	}
	r.sendMessage(j.key.vm, &Deny{ID: j.key.id, Reason: reason, FreeAfter: freeAfter, Share: j.svc.share.advertised()})
}

// freeAfter returns the expected time until j's preferred target has room for it;
// 0 if there is none.
func (r *Reducer) freeAfter(now clock.Time, j *job) time.Duration {
	if j.preferred == nil {
		return 0
	}
	return time.Duration(r.expectedWait(now, j, j.preferred))
}

// removeJob removes j from the queue and the jobs.
func (r *Reducer) removeJob(j *job) {
	if j.queued() {
		j.stopWaiting()
		j.svc.waiting.dequeue(j)
	}
	j.state = jobDone
	delete(r.jobs, j.key)
}

// jobDue ends j's wait, or frees its place if no report came.
func (r *Reducer) jobDue(now clock.Time, j *job) {
	switch {
	case j.state == jobUncharged && !j.waitUntil.After(now):
		r.denyOverQuota(now, j)
	case j.state == jobWaiting && !j.waitUntil.After(now):
		r.retryPlacement(now, j, nil)
		if j.state == jobWaiting {
			r.deny(now, j)
		}
	case j.state == jobPlaced && j.req == nil && !j.expiresAt.After(now):
		r.release(now, j, &Report{Result: ResultUnknown})
	}
}

// release frees j's place after its send has ended and records the result.
func (r *Reducer) release(now clock.Time, j *job, rep *Report) {
	t := j.target
	load := t.load(now)
	r.removeJob(j)
	t.inFlight--
	r.applyResult(now, t, rep)
	r.updateOccupancy(now, t)
	switch rep.Result {
	case ResultServed:
		r.observeWork(now, j, rep)
	case ResultRefused, ResultUnreachable, ResultMisdirected, ResultNotSent:
		r.refund(now, j)
		if j.class == objectCold { // j was the first request for the object and has not run
			j.obj.unmarkWarm(t)
		}
	}
	r.dispatchAfter(now, t, load)
}

// withdraw ends j, whose request no longer needs a target.
func (r *Reducer) withdraw(now clock.Time, j *job) {
	switch j.state {
	case jobPlaced:
		r.release(now, j, &Report{Result: ResultUnknown})
	default:
		r.refund(now, j)
		r.removeJob(j)
	}
}

// denyReason returns why no target took j.
func (r *Reducer) denyReason(now clock.Time, j *job) verdict.Reason {
	for _, t := range j.svc.targets {
		if r.usable(j, t) {
			return verdict.ReasonOverload
		}
	}
	if _, unavailable := r.unavailableUntil(j); unavailable {
		return verdict.ReasonUnavailable
	}
	return verdict.ReasonNoTarget
}

const (
	// dispatchAllLimit is the number of waiting jobs of a service up to which
	// every end of a request retries all of them.
	dispatchAllLimit = 32
	// dispatchInterval is the time between retries of all waiting jobs above
	// dispatchAllLimit. It is short compared with callers' aims, and costs a
	// coordinator with a thousand waiting jobs a twentieth of a core.
	dispatchInterval = 50 * time.Millisecond
)

// dispatchAfter places waiting jobs after a request at t has ended. load is the
// load of t before.
//
// Jobs with t among their candidates may now go there. Others can be placed only
// because time has passed: the share may have moved, or an ejection may have
// ended.
func (r *Reducer) dispatchAfter(now clock.Time, t *targetState, load int) {
	s := t.svc
	if s.waiting.fair != nil {
		r.dispatchFairly(now, t, load)
		return
	}
	if s.waiting.Len() <= dispatchAllLimit || now.Sub(s.dispatchedAt) >= dispatchInterval {
		r.dispatchWaiting(now, s)
		return
	}
	for j := range s.waiting.inOrder(now, t.waiters) {
		if t.load(now) >= load {
			return
		}
		r.retryPlacement(now, j, nil)
	}
}

// dispatchWaiting places the waiting jobs of s for which there is room.
func (r *Reducer) dispatchWaiting(now clock.Time, s *service) {
	s.dispatchedAt = now
	for j := range s.waiting.all(now) {
		r.retryPlacement(now, j, nil)
	}
}

// retryPlacement places a waiting job if there is room for it. See chooseOrAdmit for
// contended.
func (r *Reducer) retryPlacement(now clock.Time, j *job, contended *targetState) {
	j.stopWaiting()
	t := r.chooseOrAdmit(now, j, contended)
	if t == nil {
		j.startWaiting()
		r.denyUnavailable(now, j) // which ends the wait
		return
	}
	r.dequeueFor(now, j, t)
	r.grant(now, j, t)
}

// releaseJobsOfLostVMs releases the places held by entry VMs that are no longer
// members.
func (r *Reducer) releaseJobsOfLostVMs(now clock.Time) {
	live := make(map[fleet.VMID]bool, len(r.members))
	for i := range r.members {
		live[r.members[i].ID] = true
	}
	for _, j := range r.sortedJobs() {
		if j.req == nil && !live[j.key.vm] {
			r.withdraw(now, j)
		}
	}
}
