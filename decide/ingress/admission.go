package ingress

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/admission"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/queue"
	"github.com/azurethread/azurethread/decide/verdict"
)

// waitingJobs holds the jobs of one service that wait for a target. Without admission
// they are served by priority, then in the order of their arrival here, and none is
// refused before the end of its wait.
type waitingJobs struct {
	fifo    queue.FIFO[*job]
	lastSeq uint64                 // given to jobs in fifo
	fair    *admission.Queue[*job] // used instead of fifo; nil: no admission
	counts  AdmissionCounts
}

// AdmissionCounts counts the requests of one service for which there was no target on
// arrival. All are since the start of the process.
type AdmissionCounts struct {
	Granted          uint64                    `json:"granted"` // after waiting
	RefusedOnArrival map[verdict.Reason]uint64 `json:"refused_on_arrival"`
	RefusedAfterWait map[verdict.Reason]uint64 `json:"refused_after_wait"`
}

// newWaitingJobs returns an empty list.
func (r *Reducer) newWaitingJobs() waitingJobs {
	if !r.opts.Admission {
		return waitingJobs{}
	}
	return waitingJobs{fair: new(admission.Queue[*job]), counts: AdmissionCounts{
		RefusedOnArrival: make(map[verdict.Reason]uint64), RefusedAfterWait: make(map[verdict.Reason]uint64),
	}}
}

// Len returns the number of waiting jobs.
func (w *waitingJobs) Len() int {
	if w.fair != nil {
		return w.fair.Len()
	}
	return w.fifo.Len()
}

// queued reports whether j is in its service's list.
func (j *job) queued() bool { return j.node.Queued() || j.entry.Queued() }

// enqueue adds j to the waiting jobs.
func (r *Reducer) enqueue(now clock.Time, j *job) {
	w := &j.svc.waiting
	if w.fair != nil {
		j.entry = w.fair.Push(now, r.admissionRequest(now, j), j)
		j.svc.countWaitingAccount(j)
		return
	}
	at := w.fifo.Back()
	for at != nil && at.Item.Priority > j.Priority {
		at = at.Prev()
	}
	w.fifo.InsertAfter(at, &j.node)
	w.lastSeq++
	j.seq = w.lastSeq
}

// dequeue removes j, which gets no target.
func (w *waitingJobs) dequeue(j *job) {
	if w.fair != nil {
		w.fair.Remove(j.entry)
		return
	}
	w.fifo.Remove(&j.node)
}

// dequeueFor removes j, which is granted t.
func (r *Reducer) dequeueFor(now clock.Time, j *job, t *targetState) {
	w := &j.svc.waiting
	if w.fair == nil {
		w.fifo.Remove(&j.node)
		return
	}
	w.counts.Granted++
	w.fair.Granted(now, j.entry, time.Duration(r.expectedWork(now, j, t)))
}

// all returns the waiting jobs in the order of service. The job that the walk is at may be
// removed.
func (w *waitingJobs) all(now clock.Time) iter.Seq[*job] {
	if w.fair != nil {
		return items(w.fair.All(now))
	}
	return func(yield func(*job) bool) {
		for n := w.fifo.Front(); n != nil; {
			next := n.Next()
			if !yield(n.Item) {
				return
			}
			n = next
		}
	}
}

// inOrder returns some of the waiting jobs in the order of service. Those that stop
// waiting meanwhile are skipped if there is admission.
func (w *waitingJobs) inOrder(now clock.Time, jobs []*job) iter.Seq[*job] {
	if w.fair == nil {
		sorted := slices.Clone(jobs)
		slices.SortFunc(sorted, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.seq, b.seq))
		})
		return slices.Values(sorted)
	}
	entries := make([]*admission.Entry[*job], len(jobs))
	for i, j := range jobs {
		entries[i] = j.entry
	}
	return items(w.fair.InOrder(now, entries))
}

func items(entries iter.Seq[*admission.Entry[*job]]) iter.Seq[*job] {
	return func(yield func(*job) bool) {
		for e := range entries {
			if !yield(e.Item) {
				return
			}
		}
	}
}

// chooseOrAdmit is choose, with another rule for full targets if there is admission. choose
// has j wait for its preferred target, whose expected wait counts all waiting jobs, also
// those that go after j. So j may also take a candidate of the same side that has room
// and where its work class (warm, cold) is the same or better.
//
// contended is a target at which a place has become free for which requests of several
// priorities or accounts wait; nil: none. There, a cold request may wait at the target like a
// warm one. Otherwise the warm requests of a crowd, which fill the targets' queues, would
// keep it from its slot although it goes before them.
func (r *Reducer) chooseOrAdmit(now clock.Time, j *job, contended *targetState) *targetState {
	t := r.choose(now, j)
	if t != nil || j.svc.waiting.fair == nil || j.preferred == nil || j.MayCrashTarget {
		return t
	}
	class, local := classOf(now, j, j.preferred), r.isLocal(j.preferred)
	var best option
	for _, x := range j.candidates {
		room := !r.isFull(now, j, x.t) || (x.t == contended && x.t.load(now) < x.t.Slots+r.queueLimit(objectWarm, x.t.Slots))
		if room && r.isLocal(x.t) == local && classOf(now, j, x.t) <= class {
			best.keepCheaper(x, r.cost(now, j, x.t))
		}
	}
	return best.t
}

// dispatchFairly is dispatchAfter with admission. The first job in the order of service
// for which t is a candidate gets the place. Those that are placed at once on arrival
// find it only if no waiting job can use it.
func (r *Reducer) dispatchFairly(now clock.Time, t *targetState, load int) {
	s := t.svc
	if s.waiting.Len() == 0 {
		return
	}
	contended := t
	if !isContended(t.waiters) {
		contended = nil
	}
	for j := range s.waiting.inOrder(now, t.waiters) {
		if t.load(now) >= load {
			break
		}
		r.retryPlacement(now, j, contended)
	}
	if s.waiting.Len() <= dispatchAllLimit || now.Sub(s.dispatchedAt) >= dispatchInterval {
		r.dispatchWaiting(now, s)
	}
}

// isContended reports whether jobs of several priorities or accounts are in a list.
func isContended(jobs []*job) bool {
	for _, j := range jobs {
		if j.Priority != jobs[0].Priority || j.Account != jobs[0].Account {
			return true
		}
	}
	return false
}

// chargePlaced charges the account of j, which is placed at t without waiting.
func (r *Reducer) chargePlaced(now clock.Time, j *job, t *targetState) {
	w := &j.svc.waiting
	if w.fair == nil {
		return
	}
	a := admission.Request{Priority: j.Priority, Account: string(j.Account), Weight: r.accountWeight(j)}
	w.fair.Charge(now, a, time.Duration(r.expectedWork(now, j, t)))
}

// admissionRequest describes j to the queue. j.preferred is set if a target is eligible.
func (r *Reducer) admissionRequest(now clock.Time, j *job) admission.Request {
	aim := r.aimOf(j)
	arrived := r.arrivedAt(now, j, aim)
	work := 0.0
	if j.preferred != nil {
		work = r.rtt(j.preferred.region) + r.expectedWork(now, j, j.preferred)
	}
	return admission.Request{
		Priority: j.Priority, Account: string(j.Account), Weight: r.accountWeight(j),
		Arrived: arrived, ObjectiveAt: arrived.Add(aim - time.Duration(work)), WaitUntil: j.waitUntil,
		MinReturn: time.Duration(minRetryAfter * float64(aim)), MaxReturn: time.Duration(maxRetryAfter * float64(aim)),
	}
}

// arrivedAt returns when the entry VM of j received its request. A PlacementRequest does not
// say so, but the wait that it allows ends at a fixed part of the aim after that time,
// unless the request's deadline is earlier.
func (r *Reducer) arrivedAt(now clock.Time, j *job, aim time.Duration) clock.Time {
	switch {
	case j.req != nil:
		return j.req.arrived
	case j.MaxWait < j.TimeLeft:
		return clock.Min(now, j.waitUntil.Add(-time.Duration(maxWaitShare*float64(aim))))
	default:
		return now
	}
}

// aimOf returns the aim of j's route. If this VM's configuration does not have the route
// yet, the aim is derived from the wait that j's entry VM allows.
func (r *Reducer) aimOf(j *job) time.Duration {
	if j.req != nil {
		return j.req.aim()
	}
	if rt := r.table.Route(j.Route); rt != nil {
		return (&request{route: rt}).aim()
	}
	return time.Duration(float64(j.MaxWait) / maxWaitShare)
}

// accountWeight returns the weight of j's account: the rate of its quota, 1 without one.
func (r *Reducer) accountWeight(j *job) float64 {
	if j.Account == "" {
		return 1
	}
	if a, _ := r.limitedAccount(j.Account); a != nil {
		return a.Quota.PerSecond
	}
	return 1
}

// denyOnArrival denies j if it is expected to wait in vain, and reports whether it did.
// Only a lack of slots can be predicted. The prediction counts all requests that wait for the
// service. If none of them waits for j's preferred target, they do not delay j.
func (r *Reducer) denyOnArrival(now clock.Time, j *job) bool {
	w := &j.svc.waiting
	if w.fair == nil || w.fair.Len() == 0 || (j.preferred != nil && len(j.preferred.waiters) == 0) {
		return false
	}
	if !w.fair.WaitsInVain(now, r.admissionRequest(now, j)) {
		return false
	}
	if r.denyReason(now, j) != verdict.ReasonOverload {
		return false
	}
	w.counts.RefusedOnArrival[verdict.ReasonOverload]++
	j.svc.countsNow().refusedOnArrival++
	r.deny(now, j)
	return true
}

// returnAfter returns when the caller of j, which is denied for lack of slots, should
// return. Without a prediction, the delays are spread at random over the time until
// j's preferred target has room.
func (r *Reducer) returnAfter(now clock.Time, j *job) time.Duration {
	a := r.admissionRequest(now, j)
	if after := j.svc.waiting.fair.ReturnAfter(now, a); after > 0 {
		return after
	}
	after := min(max(r.freeAfter(now, j), a.MinReturn), a.MaxReturn)
	return time.Duration(float64(after) * (1 + r.rng.Float64()))
}

// AdmissionCounts returns the counts of each service whose requests are admitted by an
// admission.Queue.
func (r *Reducer) AdmissionCounts() map[fleet.ServiceName]AdmissionCounts {
	out := make(map[fleet.ServiceName]AdmissionCounts, len(r.services))
	for name, s := range r.services {
		if s.waiting.fair != nil {
			c := s.waiting.counts
			c.RefusedOnArrival, c.RefusedAfterWait = maps.Clone(c.RefusedOnArrival), maps.Clone(c.RefusedAfterWait)
			out[name] = c
		}
	}
	return out
}
