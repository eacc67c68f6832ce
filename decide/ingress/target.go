package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/notice"
	"github.com/azurethread/azurethread/decide/pace"
	"github.com/azurethread/azurethread/decide/target"
)

// targetState is the state of one instance of a target: one run of its process.
type targetState struct {
	Target
	region  fleet.Region
	svc     *service
	group   group
	listed  bool // among its service's groups
	removed bool // its registration is gone; see removedTargets
	// removedAt is when its registration was last removed.
	removedAt clock.Time
	// countedLoad and countedSlots are its part of its service's occupancy.
	countedLoad, countedSlots int
	inFlight                  int
	lapsesAt                  clock.Time // when it is removed unless its registration returns
	coldUntil                 clock.Time
	// coldStarts counts how often it lost its warm objects.
	coldStarts uint32
	// sends are the recent sends, kept while it is cold or has a rate limit.
	sends sends

	standing target.Outlier
	// otherLoad is the number of requests of other entry VMs that the target
	// reported at reportedAt.
	otherLoad  int
	reportedAt clock.Time
	rejectedAt clock.Time // when it last rejected a request of this VM, or may have
	answeredAt clock.Time // when the last answer came
	// untried means that the target joined a running system and has got no request
	// yet.
	untried bool
	// terminated means that this instance is known to have terminated. lost are
	// the requests that were under way when their connections were lost, kept
	// until that is known; probing means that a probe is under way.
	terminated bool
	lost       []lostRequest
	probing    bool
	probedAt   clock.Time // when the latest probe began
	speed      target.Mean
	// pace is what the target states of its present speed. Unlike speed, it is not
	// measured.
	pace  pace.Estimate
	limit rateLimit
	// availability is what the target's answers state. backoffEndsAt is when this
	// VM uses it again after a backoff, and toldUntil the end that it has told other
	// VMs. unavailable means that it is among its service's unavailable targets.
	availability  notice.Availability
	backoffEndsAt clock.Time
	toldUntil     clock.Time
	unavailable   bool
	preferredBy   int    // waiting jobs that prefer the target
	waiters       []*job // waiting jobs with the target among their candidates
}

func (t *targetState) cold(now clock.Time) bool { return now.Before(t.coldUntil) }

// load estimates the requests at the target, including those of other entry VMs.
func (t *targetState) load(now clock.Time) int {
	n := t.inFlight
	if now.Sub(t.reportedAt) < loadReportTTL {
		n += t.otherLoad
	}
	return n
}

// recordLoad records the load reported in an answer. The report still includes the
// answered request, which is subtracted: otherwise every target seemed to have one
// request of another VM, and one slot of three stayed idle.
func (t *targetState) recordLoad(now clock.Time, l Load) {
	if !l.Known {
		return
	}
	t.otherLoad = max(0, l.Running+l.Waiting-1-t.inFlight)
	t.reportedAt = now
}

// paceAnnounced applies the pace in an answer that another entry VM has received, and
// keeps it for the Report of that answer.
func (r *Reducer) paceAnnounced(now clock.Time, from fleet.VMID, m *TargetPace) {
	t, known := r.targets[m.Target]
	if !known || differs(t.StartedAt, m.StartedAt) {
		return // of an earlier instance, or of one that is not known yet
	}
	t.pace.Observe(now, m.Percent)
	if r.announcedPaces == nil {
		r.announcedPaces = make(map[fleet.VMID]TargetPace)
	}
	if len(r.announcedPaces) > len(r.members) {
		clear(r.announcedPaces) // VMs that have ended send no Report
	}
	r.announcedPaces[from] = *m
}

// takeAnnouncedPace returns and forgets what a VM has announced since its last Report. Its
// messages arrive in order, so the announcement belongs to the Report that it sends now.
func (r *Reducer) takeAnnouncedPace(from fleet.VMID) TargetPace {
	m, ok := r.announcedPaces[from]
	if ok {
		delete(r.announcedPaces, from)
	}
	return m
}

// percentOf returns the announced pace if it is that of t's instance, 0 otherwise.
func (m TargetPace) percentOf(t *targetState) int {
	if m.Target != t.ID || differs(m.StartedAt, t.StartedAt) {
		return 0
	}
	return m.Percent
}

// withinColdLimit reports whether another request may be sent to the target within
// the current second while it is cold.
func (t *targetState) withinColdLimit(now clock.Time, perSecond int) bool {
	return t.sends.countWithin(now, time.Second+coldWindowSlack) < perSecond
}

// coldWindowSlack widens the second over which sends to a cold target are counted.
// Sends spread over more than a second may arrive within one, because the first of
// them may have waited for a connection.
const coldWindowSlack = 500 * time.Millisecond

// applyTargets applies changed registrations.
func (r *Reducer) applyTargets(now clock.Time, ev *TargetsChanged) {
	for _, id := range ev.Removed {
		t, ok := r.targets[id]
		switch {
		case !ok:
		case ev.StoreDegraded && !t.Draining:
			t.lapsesAt = now.Add(r.lapseTime())
			r.nextLapse = clock.Min(r.nextLapse, t.lapsesAt)
		default:
			r.removeTarget(now, t)
		}
	}
	var terminated []*targetState
	for _, d := range ev.Updated {
		if old := r.setTarget(now, d); old != nil {
			terminated = append(terminated, old)
		}
	}
	for _, old := range terminated {
		r.abandonInstance(now, old)
	}
	r.dispatchAll(now)
}

// setTarget applies a registration. If the target has restarted, it returns the
// state of the terminated instance.
func (r *Reducer) setTarget(now clock.Time, d Target) (terminated *targetState) {
	t, ok := r.targets[d.ID]
	switch {
	case ok && t.isRestart(d):
		r.removeTarget(now, t)
		terminated, ok = t, false
	case ok && (t.Service != d.Service || t.Domain != d.Domain):
		r.removeTarget(now, t)
		ok = false
	}
	if !ok {
		t = r.addTarget(now, d)
	}
	t.lapsesAt = clock.Never
	t.Target = d
	if d.Cold > 0 {
		t.coldUntil = now.Add(d.Cold)
		t.coldStarts++
	}
	r.updateListing(now, t)
	return terminated
}

// addTarget adds a target that is not registered yet.
func (r *Reducer) addTarget(now clock.Time, d Target) *targetState {
	t := &targetState{Target: d, region: r.opts.Regions[d.Domain], group: r.groups[d.Domain], svc: r.serviceOf(d.Service)}
	t.untried = now.Sub(r.startedAt) > startupPeriod
	t = r.restoreInstance(now, t)
	r.targets[d.ID] = t
	t.svc.targets = insertByID(t.svc.targets, t)
	t.svc.withoutObject = nil
	if t.limit.active {
		t.svc.limited = insertByID(t.svc.limited, t)
	}
	if t.untried && r.isLocal(t) {
		t.svc.untried = insertByID(t.svc.untried, t)
	}
	return t
}

// removeTarget removes a target. Requests under way there keep using its state, and so
// does a later registration of the same instance.
func (r *Reducer) removeTarget(now clock.Time, t *targetState) {
	r.markTerminated(now, t)
	r.removed.keep(now, t)
	delete(r.targets, t.ID)
	t.removed = true
	t.svc.targets = deleteByID(t.svc.targets, t)
	t.svc.limited = deleteByID(t.svc.limited, t)
	t.svc.untried = deleteByID(t.svc.untried, t)
	t.svc.withoutObject = nil
	r.updateListing(now, t)
}

// markTried records that a request was placed at t.
func (t *targetState) markTried() {
	if t.untried {
		t.untried = false
		t.svc.untried = deleteByID(t.svc.untried, t)
	}
}

// updateListing adds t to its service's groups and the cached orders of objects,
// or removes it, depending on whether it may get requests.
func (r *Reducer) updateListing(now clock.Time, t *targetState) {
	r.updateUnavailable(t)
	may := !t.removed && !t.Draining && !r.evacuated[t.Domain] && t.availability.Available()
	group := &t.svc.groups[t.group]
	switch {
	case may && !t.listed:
		t.listed = true
		*group = append(*group, t)
		t.svc.objects.each(func(o *object) { o.targetListed(t.svc, t) })
	case !may && t.listed:
		t.listed = false
		at := slices.Index(*group, t)
		*group = slices.Delete(*group, at, at+1)
		t.svc.objects.each(func(o *object) { o.targetUnlisted(t.svc, t) })
	}
	r.updateOccupancy(now, t)
}

// isRestart reports whether d describes a later instance of t. The first
// registration to state a start time describes the current instance.
func (t *targetState) isRestart(d Target) bool {
	return t.StartedAt != 0 && d.StartedAt != 0 && t.StartedAt != d.StartedAt
}

// abandonInstance closes the pooled connections to a terminated instance, whose
// end they may never signal, and sends idempotent requests under way there to
// another target. A late answer still counts.
func (r *Reducer) abandonInstance(now clock.Time, old *targetState) {
	r.reportChange(old, "restarted", 0)
	r.recordTerminationForAll(now, old)
	r.out.RestartedAddrs = append(r.out.RestartedAddrs, old.Addr)
	for _, a := range r.attemptsAt(old) {
		if q := a.req; q.route.Idempotent {
			r.hedge(now, q)
		}
	}
}

// attemptsAt returns the attempts under way at t, in their order.
func (r *Reducer) attemptsAt(t *targetState) []*attempt {
	var list []*attempt
	for _, a := range r.attempts {
		if a.target == t {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return list
}

// startupPeriod is how long after its first event the reducer assumes that newly
// known targets were there before.
const startupPeriod = 5 * time.Second

// A target is still used for some time if its registration disappeared while the
// store was in trouble: live targets are registered again within about two seconds
// of the store's return. maxLapseTime is that time, and maxLapseShare the largest
// part of the drain time of targets that it may take.
const (
	maxLapseTime  = 1800 * time.Millisecond
	maxLapseShare = 0.7
)

// lapseTime returns how long a target is used after its registration has lapsed.
func (r *Reducer) lapseTime() time.Duration {
	if r.opts.DrainTime == 0 {
		return maxLapseTime
	}
	return min(maxLapseTime, time.Duration(maxLapseShare*float64(r.opts.DrainTime)))
}

// removeLapsed removes the targets whose lapsed registrations have not returned.
func (r *Reducer) removeLapsed(now clock.Time) {
	if r.nextLapse.After(now) {
		return
	}
	r.nextLapse = clock.Never
	for _, t := range r.targets {
		switch {
		case t.lapsesAt == clock.Never:
		case !t.lapsesAt.After(now):
			r.removeTarget(now, t)
		default:
			r.nextLapse = clock.Min(r.nextLapse, t.lapsesAt)
		}
	}
}

// applyEvacuation starts or ends the evacuation of a failure domain. Its targets
// may have lost their warm objects meanwhile without a restart, so they count as
// cold when they return.
func (r *Reducer) applyEvacuation(now clock.Time, ev *Evacuated) {
	if ev.Begin == r.evacuated[ev.Domain] {
		return
	}
	if ev.Begin {
		r.evacuated[ev.Domain] = true
	} else {
		delete(r.evacuated, ev.Domain)
	}
	for _, known := range []map[fleet.TargetID]*targetState{r.targets, r.removed.states} {
		for _, t := range known {
			if t.Domain == ev.Domain {
				r.targetEvacuated(now, t, ev.Begin)
			}
		}
	}
	if ev.Begin {
		return
	}
	r.dispatchAll(now)
}

// targetEvacuated applies the beginning or end of an evacuation to t.
func (r *Reducer) targetEvacuated(now clock.Time, t *targetState, begin bool) {
	if !begin {
		t.coldUntil = max(t.coldUntil, now.Add(r.coldTime(t.Service)))
	}
	r.updateListing(now, t)
}

// coldTime returns how long a target of the service stays cold after its start.
func (r *Reducer) coldTime(s fleet.ServiceName) time.Duration {
	if r.table == nil {
		return 0
	}
	return r.table.Config.Services[s].ColdTime
}
