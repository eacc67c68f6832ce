package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/queue"
	"github.com/azurethread/azurethread/decide/verdict"
)

// jobKey names a job: the entry VM whose request it is, and that VM's number.
type jobKey struct {
	vm fleet.VMID
	id AskID
}

// job is the search for a target for one send of a request, and then the place
// that it takes there. It may be the request of another entry VM.
type job struct {
	key jobKey
	Ask
	req     *request // of this entry VM; nil: the job of another one
	svc     *service
	obj     *object // that it is about; nil: none
	arrived clock.Time
	until   clock.Time // when it stops waiting for a target
	expires clock.Time // when its place is free again whatever is heard
	node    queue.Node[*job]
	state   jobState

	// considered are the targets that the latest choice compared.
	considered []scored
	// awaited is the target that a waiting job would go to.
	awaited *targetState
	turn    uint64 // its place among the waiting jobs of its priority
	// why is what decided for the region of the latest choice, and slower says
	// that the own region's best target was expected to answer sooner.
	why    Why
	slower bool
	// chose says that the latest choice had a target on both sides.
	chose bool

	target  *targetState
	class   workClass
	waiting int // requests ahead of it at the target, beyond the slots
}

type jobState uint8

const (
	jobNew jobState = iota
	jobWaiting
	jobPlaced
	jobOver
)

// expiryMargin is how long after the deadline of a request its place at a
// target counts as taken when its entry VM reports nothing: it may have died.
const expiryMargin = 500 * time.Millisecond

func (r *Reducer) newJob(now clock.Time, key jobKey, a Ask) *job {
	j := &job{key: key, Ask: a, svc: r.serviceOf(a.Service), arrived: now}
	if j.Object != "" {
		j.obj = j.svc.objects.get(j.Object)
	}
	j.node.Item = j
	j.until = now.Add(min(a.Wait, a.Left))
	j.expires = now.Add(a.Left + expiryMargin)
	r.jobs[key] = j
	r.believeRecalled(now, j)
	return j
}

// place finds a target for j, has it wait for one, or refuses it.
func (r *Reducer) place(now clock.Time, j *job) {
	if t := r.choose(now, j); t != nil {
		r.grant(now, j, t)
		return
	}
	if !j.until.After(now) {
		r.deny(now, j)
		return
	}
	j.state = jobWaiting
	at := j.svc.waiting.Back()
	for at != nil && at.Item.Priority > j.Priority {
		at = at.Prev()
	}
	j.svc.waiting.InsertAfter(at, &j.node)
	j.svc.turns++
	j.turn = j.svc.turns
	j.startWaiting()
	r.timers.add(timer{at: j.until, purpose: dueJob, job: j})
}

// startWaiting counts j at the target that it would go to, and has a free place
// at any that it considers wake it.
func (j *job) startWaiting() {
	if j.awaited != nil {
		j.awaited.awaited++
	}
	for _, x := range j.considered {
		x.t.waiters = append(x.t.waiters, j)
	}
}

// stopWaiting undoes startWaiting.
func (j *job) stopWaiting() {
	if j.awaited != nil {
		j.awaited.awaited--
	}
	for _, x := range j.considered {
		if at := slices.Index(x.t.waiters, j); at >= 0 {
			x.t.waiters = slices.Delete(x.t.waiters, at, at+1)
		}
	}
}

// grant gives j its place at t.
func (r *Reducer) grant(now clock.Time, j *job, t *targetState) {
	j.state = jobPlaced
	j.target = t
	j.class = classOf(now, j, t)
	j.waiting = max(0, t.load(now)+1-t.Slots)
	t.inFlight++
	r.recount(now, t)
	t.tried()
	j.obj.remember(now, t)
	if t.cold(now) || t.limit.named {
		t.sends.add(now, keepSends)
	}
	if j.chose {
		// What has one side only is none of the share, whose change the bound
		// slows: counted, it would hold the share up after a lack of targets here.
		j.svc.share.count(now, !r.here(t))
	}
	r.notePlaced(j)
	if j.req != nil {
		r.granted(now, j.req, j, t)
		return
	}
	r.timers.add(timer{at: j.expires, purpose: dueJob, job: j})
	r.tell(j.key.vm, &Grant{ID: j.key.id, Target: t.ID, Share: j.svc.share.stated()})
}

// deny tells j's entry VM that there is no target for it.
func (r *Reducer) deny(now clock.Time, j *job) {
	reason, room := r.whyWaiting(now, j), r.roomAfter(now, j)
	r.drop(j)
	if j.req != nil {
		r.denied(now, j.req, reason, room)
		return
	}
	r.tell(j.key.vm, &Deny{ID: j.key.id, Reason: reason, Room: room, Share: j.svc.share.stated()})
}

// roomAfter is the time after which the target that j waited for has room for
// it; 0 if there is none.
func (r *Reducer) roomAfter(now clock.Time, j *job) time.Duration {
	if j.awaited == nil {
		return 0
	}
	return time.Duration(r.expectedWait(now, j, j.awaited))
}

// drop forgets j.
func (r *Reducer) drop(j *job) {
	if j.node.Queued() {
		j.stopWaiting()
		j.svc.waiting.Remove(&j.node)
	}
	j.state = jobOver
	delete(r.jobs, j.key)
}

// jobDue ends j's wait, or its place when nothing was heard.
func (r *Reducer) jobDue(now clock.Time, j *job) {
	switch {
	case j.state == jobWaiting && !j.until.After(now):
		r.deny(now, j)
	case j.state == jobPlaced && j.req == nil && !j.expires.After(now):
		r.release(now, j, &Report{Result: ResultUnknown})
	}
}

// release takes the end of j's send.
func (r *Reducer) release(now clock.Time, j *job, rep *Report) {
	t := j.target
	load := t.load(now)
	r.drop(j)
	t.inFlight--
	r.learnResult(now, t, rep)
	r.recount(now, t)
	switch rep.Result {
	case ResultServed:
		r.learnWork(now, j, rep)
	case ResultRefused, ResultUnreachable, ResultMisdirected:
		if j.class == objectCold { // j was the first to bring it, and has not run
			j.obj.forget(t)
		}
	}
	r.pumpAfter(now, t, load)
}

// withdraw ends j whose request needs no target any more.
func (r *Reducer) withdraw(now clock.Time, j *job) {
	switch j.state {
	case jobPlaced:
		r.release(now, j, &Report{Result: ResultUnknown})
	default:
		r.drop(j)
	}
}

// whyWaiting says why no target took j.
func (r *Reducer) whyWaiting(now clock.Time, j *job) verdict.Reason {
	for _, t := range j.svc.targets {
		if r.usable(j, t) {
			return verdict.ReasonOverload
		}
	}
	return verdict.ReasonNoTarget
}

const (
	// pumpAll is the number of waiting jobs of a service up to which each end of
	// a request has all of them tried.
	pumpAll = 32
	// pumpEvery is the time between two tries of more waiting jobs than that. It
	// is short beside the aims of callers, and has a coordinator with a thousand
	// waiting jobs spend a twentieth of a core on them.
	pumpEvery = 50 * time.Millisecond
)

// pumpAfter places waiting jobs after the end of a request at t. load is what
// was at t before.
//
// Jobs that considered t may go there now. Others have become able to go
// somewhere only because time has passed: the share may have moved, or an
// ejection have ended.
func (r *Reducer) pumpAfter(now clock.Time, t *targetState, load int) {
	s := t.svc
	if s.waiting.Len() <= pumpAll || now.Sub(s.pumped) >= pumpEvery {
		r.pumpService(now, s)
		return
	}
	waiters := slices.Clone(t.waiters)
	slices.SortFunc(waiters, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.turn, b.turn))
	})
	for _, j := range waiters {
		if t.load(now) >= load {
			return
		}
		r.retry(now, j)
	}
}

// pumpService places the jobs that wait, where there is room now.
func (r *Reducer) pumpService(now clock.Time, s *service) {
	s.pumped = now
	for n := s.waiting.Front(); n != nil; {
		next := n.Next()
		r.retry(now, n.Item)
		n = next
	}
}

// retry places a waiting job if there is room for it now.
func (r *Reducer) retry(now clock.Time, j *job) {
	j.stopWaiting()
	t := r.choose(now, j)
	if t == nil {
		j.startWaiting()
		return
	}
	j.svc.waiting.Remove(&j.node)
	r.grant(now, j, t)
}

// dropJobsOfLost releases what entry VMs held that are gone.
func (r *Reducer) dropJobsOfLost(now clock.Time) {
	live := make(map[fleet.VMID]bool, len(r.members))
	for i := range r.members {
		live[r.members[i].ID] = true
	}
	for _, j := range r.jobList() {
		if j.req == nil && !live[j.key.vm] {
			r.withdraw(now, j)
		}
	}
}
