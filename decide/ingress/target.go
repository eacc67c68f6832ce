package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/target"
)

// targetState is what is known of one start of a target.
type targetState struct {
	Target
	region fleet.Region
	svc    *service
	group  group
	listed bool // among its service's groups
	gone   bool // its registration is; it is kept for what is under way there
	// countedLoad and countedSlots are its part of its service's crowd.
	countedLoad, countedSlots int
	inFlight                  int
	lapses                    clock.Time // when it is taken to be gone unless it comes back
	coldUntil                 clock.Time
	// coldStarts counts the times that it lost what it remembered.
	coldStarts uint32
	// sends are those of the last seconds, while it is cold or names a limit.
	sends sends

	standing target.Outlier
	// others is how many requests of other entry VMs the target reported at
	// reported.
	others   int
	reported clock.Time
	answered clock.Time // when the last answer came
	// untried says that the target has joined a running system and no request
	// was placed there yet.
	untried bool
	// hasEnded says that this start is known to have ended. lost are the requests
	// that were under way when their connections did, while that is not known,
	// and probing says that the target is being asked.
	hasEnded bool
	lost     []lostRequest
	probing  bool
	speed    target.Mean
	limit    rateLimit
	awaited  int    // waiting jobs that would go to the target
	waiters  []*job // those that consider it
}

func (t *targetState) cold(now clock.Time) bool { return now.Before(t.coldUntil) }

// load estimates the requests at the target, those of other entry VMs included.
func (t *targetState) load(now clock.Time) int {
	n := t.inFlight
	if now.Sub(t.reported) < reportFor {
		n += t.others
	}
	return n
}

// note takes a target's word about its load in an answer. The request that was
// answered is still counted in it: without its subtraction every target seemed
// to have one request of somebody else, and a slot of three stayed idle.
func (t *targetState) note(now clock.Time, l Load) {
	if !l.Known {
		return
	}
	t.others = max(0, l.Running+l.Waiting-1-t.inFlight)
	t.reported = now
}

// coldRoom reports whether one more request may be sent to the target within
// the present second while it is cold.
func (t *targetState) coldRoom(now clock.Time, perSecond int) bool {
	return t.sends.within(now, time.Second+coldSpread) < perSecond
}

// coldSpread widens the second over which sends to a cold target are counted.
// Sends that left within more than a second may arrive within one, as the
// first may have waited for a connection.
const coldSpread = 500 * time.Millisecond

// applyTargets takes changed registrations.
func (r *Reducer) applyTargets(now clock.Time, ev *TargetsChanged) {
	for _, id := range ev.Gone {
		t, ok := r.targets[id]
		switch {
		case !ok:
		case ev.Unsure && !t.Draining:
			t.lapses = now.Add(r.lapseTime())
			r.lapses = clock.Min(r.lapses, t.lapses)
		default:
			r.removeTarget(now, t)
		}
	}
	var ended []*targetState
	for _, d := range ev.Set {
		if old := r.setTarget(now, d); old != nil {
			ended = append(ended, old)
		}
	}
	for _, old := range ended {
		r.leaveStart(now, old)
	}
	r.pump(now)
}

// setTarget takes a registration. Where the target has started again it returns
// what was known of the start that has ended.
func (r *Reducer) setTarget(now clock.Time, d Target) (ended *targetState) {
	t, ok := r.targets[d.ID]
	switch {
	case ok && t.restartedAs(d):
		r.removeTarget(now, t)
		ended, ok = t, false
	case ok && (t.Service != d.Service || t.Domain != d.Domain):
		r.removeTarget(now, t)
		ok = false
	}
	if !ok {
		t = r.addTarget(now, d)
	}
	t.lapses = clock.Never
	t.Target = d
	if d.Cold > 0 {
		t.coldUntil = now.Add(d.Cold)
		t.coldStarts++
	}
	r.list(now, t)
	return ended
}

// addTarget begins to keep a target.
func (r *Reducer) addTarget(now clock.Time, d Target) *targetState {
	t := &targetState{Target: d, region: r.opts.Regions[d.Domain], group: r.groups[d.Domain], svc: r.serviceOf(d.Service)}
	r.targets[d.ID] = t
	t.svc.targets = insertByID(t.svc.targets, t)
	t.svc.unnamed = nil
	if t.untried = now.Sub(r.began) > settleTime; t.untried && r.here(t) {
		t.svc.untried = insertByID(t.svc.untried, t)
	}
	return t
}

// removeTarget forgets a target. What is under way there still counts on it.
func (r *Reducer) removeTarget(now clock.Time, t *targetState) {
	r.ended(now, t)
	delete(r.targets, t.ID)
	t.gone = true
	t.svc.targets = deleteByID(t.svc.targets, t)
	t.svc.limited = deleteByID(t.svc.limited, t)
	t.svc.unnamed = nil
	t.tried()
	r.list(now, t)
}

// tried notes that a request was placed at t.
func (t *targetState) tried() {
	if t.untried {
		t.untried = false
		t.svc.untried = deleteByID(t.svc.untried, t)
	}
}

// list brings t's place among its service's groups, and in the orders kept for
// objects, in line with whether it may get requests.
func (r *Reducer) list(now clock.Time, t *targetState) {
	may := !t.gone && !t.Draining && !r.evacuated[t.Domain]
	group := &t.svc.groups[t.group]
	switch {
	case may && !t.listed:
		t.listed = true
		*group = append(*group, t)
		t.svc.objects.each(func(o *object) { o.joined(t.svc, t) })
	case !may && t.listed:
		t.listed = false
		at := slices.Index(*group, t)
		*group = slices.Delete(*group, at, at+1)
		t.svc.objects.each(func(o *object) { o.left(t.svc, t) })
	}
	r.recount(now, t)
}

// restartedAs reports whether d is of a later start of t. The first one to
// state its time is the start that was there before.
func (t *targetState) restartedAs(d Target) bool {
	return t.Born != 0 && d.Born != 0 && t.Born != d.Born
}

// leaveStart gives up what led to a start of a target that has ended: its kept
// connections, which may never tell, and the hope of an answer. Requests that
// may run again are sent elsewhere now; a late answer still counts.
func (r *Reducer) leaveStart(now clock.Time, old *targetState) {
	r.believe(old, "started again", 0)
	r.endedUnderAll(now, old)
	r.out.Restarted = append(r.out.Restarted, old.Addr)
	for _, a := range r.attemptsAt(old) {
		if q := a.req; q.route.Idempotent {
			r.hedge(now, q)
		}
	}
}

// attemptsAt returns the sends under way to t, in their order.
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

// settleTime is how long after its first event the reducer takes the targets
// that it hears of for such as were there before.
const settleTime = 5 * time.Second

// A target is still used for some time after its registration has gone while
// the store was in trouble: registrations of live targets are back within about
// two seconds of the store's return. lapseTime is that time, and lapseShare the
// part of the time for which leaving targets serve that it may take.
const (
	lapseTime  = 1800 * time.Millisecond
	lapseShare = 0.7
)

// lapseTime is how long a target is used whose registration has lapsed.
func (r *Reducer) lapseTime() time.Duration {
	if r.opts.Drain == 0 {
		return lapseTime
	}
	return min(lapseTime, time.Duration(lapseShare*float64(r.opts.Drain)))
}

// expireLapsed removes the targets whose registrations have not come back.
func (r *Reducer) expireLapsed(now clock.Time) {
	if r.lapses.After(now) {
		return
	}
	r.lapses = clock.Never
	for _, t := range r.targets {
		switch {
		case t.lapses == clock.Never:
		case !t.lapses.After(now):
			r.removeTarget(now, t)
		default:
			r.lapses = clock.Min(r.lapses, t.lapses)
		}
	}
}

// evacuate opens or ends the evacuation of a failure domain. Its targets may
// have become cold meanwhile without having been started anew, so they are
// taken to be cold when they come back.
func (r *Reducer) evacuate(now clock.Time, ev *Evacuated) {
	if ev.Begin == r.evacuated[ev.Domain] {
		return
	}
	if ev.Begin {
		r.evacuated[ev.Domain] = true
	} else {
		delete(r.evacuated, ev.Domain)
	}
	for _, t := range r.targets {
		if t.Domain != ev.Domain {
			continue
		}
		if !ev.Begin {
			t.coldUntil = max(t.coldUntil, now.Add(r.coldTime(t.Service)))
		}
		r.list(now, t)
	}
	if ev.Begin {
		return
	}
	r.pump(now)
}

// coldTime is how long a target of the service stays cold after its start.
func (r *Reducer) coldTime(s fleet.ServiceName) time.Duration {
	if r.table == nil {
		return 0
	}
	return r.table.Config.Services[s].ColdTime
}
