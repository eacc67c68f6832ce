package ingress

import (
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
	arrived clock.Time
	until   clock.Time // when it stops waiting for a target
	expires clock.Time // when its place is free again whatever is heard
	node    queue.Node[*job]
	state   jobState

	// awaited is the target that a waiting job would go to.
	awaited *targetState

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
	j.countAwaited(+1)
	r.timers.add(timer{at: j.until, purpose: dueJob, job: j})
}

// countAwaited counts a waiting job at the target that it would go to.
func (j *job) countAwaited(n int) {
	if j.awaited != nil {
		j.awaited.awaited += n
	}
}

// grant gives j its place at t.
func (r *Reducer) grant(now clock.Time, j *job, t *targetState) {
	j.state = jobPlaced
	j.target = t
	j.class = classOf(now, j, t)
	j.waiting = max(0, t.load(now)+1-t.Slots)
	t.inFlight++
	t.untried = false
	t.remember(now, j.Object)
	if t.cold(now) {
		t.coldSends = append(t.coldSends, now)
	}
	j.svc.share.count(now, t.region != r.region)
	if j.req != nil {
		r.granted(now, j.req, j, t)
		return
	}
	r.timers.add(timer{at: j.expires, purpose: dueJob, job: j})
	r.tell(j.key.vm, &Grant{ID: j.key.id, Target: t.ID})
}

// deny tells j's entry VM that there is no target for it.
func (r *Reducer) deny(now clock.Time, j *job) {
	reason, room := r.whyWaiting(now, j), r.roomAfter(now, j)
	r.drop(j)
	if j.req != nil {
		r.denied(now, j.req, reason, room)
		return
	}
	r.tell(j.key.vm, &Deny{ID: j.key.id, Reason: reason, Room: room})
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
		j.countAwaited(-1)
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
	r.drop(j)
	t.inFlight--
	r.learnResult(now, t, rep)
	switch rep.Result {
	case ResultServed:
		r.learnWork(now, j, rep)
	case ResultRefused, ResultUnreachable, ResultMisdirected:
		t.forget(j)
	}
	r.pumpService(now, j.svc)
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

// pumpService places the jobs that wait, where there is room now.
func (r *Reducer) pumpService(now clock.Time, s *service) {
	for n := s.waiting.Front(); n != nil; {
		next := n.Next()
		j := n.Item
		j.countAwaited(-1)
		t := r.choose(now, j)
		j.countAwaited(+1)
		if t != nil {
			j.countAwaited(-1)
			s.waiting.Remove(n)
			r.grant(now, j, t)
		}
		n = next
	}
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
