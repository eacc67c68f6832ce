package emulate

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/rank"
	"github.com/azurethread/azurethread/decide/verdict"
)

// happen carries out an event, and its end.
func (f *fleetRun) happen(e *Event) {
	last := seconds(e.For)
	switch e.Kind {
	case Burst:
		f.setLoad(e, e.X)
		f.after(last, func() { f.setLoad(e, 1) })
	case Evacuate:
		f.tellAll(func() ingress.Event { return &ingress.Evacuated{Domain: e.Domain, Begin: true} })
		f.after(last, func() {
			f.tellAll(func() ingress.Event { return &ingress.Evacuated{Domain: e.Domain} })
		})
	case KillVMs:
		f.killVMs(e)
	case RestartTargets:
		f.eachTarget(e, func(t *target) { f.restartTarget(t, last) })
	case SlowTargets:
		f.eachTarget(e, func(t *target) { t.slow = e.X })
		f.after(last, func() { f.eachTarget(e, func(t *target) { t.slow = 1 }) })
	case GreyTargets:
		f.eachTarget(e, func(t *target) { t.grey = e.X })
		f.after(last, func() { f.eachTarget(e, func(t *target) { t.grey = 0 }) })
	case ShedTargets:
		f.eachTarget(e, func(t *target) { t.shed = e.X })
		f.after(last, func() { f.eachTarget(e, func(t *target) { t.shed = 0 }) })
	case LimitTargets:
		f.eachTarget(e, func(t *target) { f.books.limit(f.now, t, e.X) })
		f.after(last, func() { f.eachTarget(e, func(t *target) { t.limited.until = f.now }) })
	case QueryOfDeath:
		f.beginDeadly(e)
	}
}

func (f *fleetRun) setLoad(e *Event, x float64) {
	for d := range f.load {
		if e.Domain == "" || e.Domain == d {
			f.load[d] = x
		}
	}
}

// eachTarget visits the share of the targets that an event is about, spread
// over the failure domains.
func (f *fleetRun) eachTarget(e *Event, visit func(*target)) {
	var fit []*target
	for _, t := range f.order {
		if (e.Service == "" || e.Service == t.reg.Service) && (e.Domain == "" || e.Domain == t.reg.Domain) {
			fit = append(fit, t)
		}
	}
	// A fixed shuffle: the end of an event finds the targets of its beginning.
	slices.SortFunc(fit, func(a, b *target) int { return cmp.Compare(hash(a), hash(b)) })
	for i, t := range fit {
		if f.chosen(e.Share, i, len(fit)) {
			visit(t)
		}
	}
}

func hash(t *target) uint64 { return rank.Score("event", string(t.reg.ID)) }

func (f *fleetRun) killVMs(e *Event) {
	var fit []*vm
	for _, v := range f.vms {
		if e.Domain == "" || e.Domain == v.self.Domain {
			fit = append(fit, v)
		}
	}
	for i, v := range fit {
		if !f.chosen(e.Share, i, len(fit)) || v.r == nil {
			continue
		}
		v.r = nil
		v.starts++ // what is under way belongs to an earlier process
		f.lost(v)
		f.after(seconds(e.For), func() { f.start(v) })
	}
}

// restartTarget ends t, and starts it again under its ID after a while.
func (f *fleetRun) restartTarget(t *target, down time.Duration) {
	t.down = true
	t.queue, t.running = nil, 0
	t.memory = memory{}
	f.breakOff(t)
	f.after(down, func() {
		t.down = false
		t.reg.Born++
		t.coldEnd = f.now.Add(seconds(t.svc.ColdTime))
		f.tellAll(func() ingress.Event {
			return &ingress.TargetsChanged{Set: []ingress.Target{t.registration(f.now)}}
		})
	})
}

// breakOff ends what t was sent: what had begun may have run.
func (f *fleetRun) breakOff(t *target) {
	for _, v := range f.vms {
		for _, id := range sortedKeys(v.attempts) {
			s := v.attempts[id]
			if s.t != t || s.run == nil || s.run.start != t.reg.Born || s.run.over {
				continue
			}
			s.run.over = true
			f.books.lost(s.q)
			f.after(f.way(t.reg.Domain, v.self.Domain), func() {
				f.end(s, &ingress.Failed{
					Attempt: s.id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost,
				})
			})
		}
	}
}

// sortedKeys returns the keys of a map in order, so that plays repeat.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
