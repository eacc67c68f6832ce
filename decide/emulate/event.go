package emulate

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/rank"
	"github.com/azurethread/azurethread/decide/verdict"
)

// startEvent carries out an event, and its end.
func (f *simulation) startEvent(e *Event) {
	last := seconds(e.Duration)
	switch e.Kind {
	case Burst:
		f.setLoad(e, e.Value)
		f.after(last, func() { f.setLoad(e, 1) })
	case Evacuate:
		f.broadcast(func() ingress.Event { return &ingress.Evacuated{Domain: e.Domain, Begin: true} })
		f.after(last, func() {
			f.broadcast(func() ingress.Event { return &ingress.Evacuated{Domain: e.Domain} })
		})
	case KillVMs:
		f.killVMs(e)
	case RestartTargets:
		f.eachTarget(e, func(t *target) { f.restartTarget(t, last) })
	case SlowTargets:
		f.eachTarget(e, func(t *target) { t.slowFactor = e.Value })
		f.after(last, func() { f.eachTarget(e, func(t *target) { t.slowFactor = 1 }) })
	case GreyTargets:
		f.eachTarget(e, func(t *target) { t.errorShare = e.Value })
		f.after(last, func() { f.eachTarget(e, func(t *target) { t.errorShare = 0 }) })
	case ShedTargets:
		f.eachTarget(e, func(t *target) { t.refusedShare = e.Value })
		f.after(last, func() { f.eachTarget(e, func(t *target) { t.refusedShare = 0 }) })
	case LimitTargets:
		f.eachTarget(e, func(t *target) { f.recorder.startLimit(f.now, t, e.Value) })
		f.after(last, func() { f.eachTarget(e, func(t *target) { t.limit.until = f.now }) })
	case QueryOfDeath:
		f.startDeathQuery(e)
	}
}

func (f *simulation) setLoad(e *Event, x float64) {
	for d := range f.loadFactor {
		if e.Domain == "" || e.Domain == d {
			f.loadFactor[d] = x
		}
	}
}

// eachTarget visits the share of the targets that an event is about, spread
// over the failure domains.
func (f *simulation) eachTarget(e *Event, visit func(*target)) {
	var fit []*target
	for _, t := range f.targetList {
		if (e.Service == "" || e.Service == t.registered.Service) && (e.Domain == "" || e.Domain == t.registered.Domain) {
			fit = append(fit, t)
		}
	}
	// A fixed shuffle: the end of an event finds the targets of its beginning.
	slices.SortFunc(fit, func(a, b *target) int { return cmp.Compare(hash(a), hash(b)) })
	for i, t := range fit {
		if f.selected(e.Share, i, len(fit)) {
			visit(t)
		}
	}
}

func hash(t *target) uint64 { return rank.Score("event", string(t.registered.ID)) }

func (f *simulation) killVMs(e *Event) {
	var fit []*vm
	for _, v := range f.vms {
		if e.Domain == "" || e.Domain == v.self.Domain {
			fit = append(fit, v)
		}
	}
	for i, v := range fit {
		if !f.selected(e.Share, i, len(fit)) || v.reducer == nil {
			continue
		}
		v.reducer = nil
		v.processNumber++ // what is under way belongs to an earlier process
		f.failOpenRequests(v)
		f.after(seconds(e.Duration), func() { f.startVM(v) })
	}
}

// restartTarget ends t, and starts it again under its ID after a while.
func (f *simulation) restartTarget(t *target, down time.Duration) {
	t.down = true
	t.queue, t.running = nil, 0
	t.objects = objectCache{}
	f.failRunning(t)
	f.after(down, func() {
		t.down = false
		t.registered.Born++
		t.coldEnd = f.now.Add(seconds(t.service.ColdTime))
		f.broadcast(func() ingress.Event {
			return &ingress.TargetsChanged{Set: []ingress.Target{t.registration(f.now)}}
		})
	})
}

// failRunning ends what t was sent: what had begun may have run.
func (f *simulation) failRunning(t *target) {
	for _, v := range f.vms {
		for _, id := range sortedKeys(v.attempts) {
			s := v.attempts[id]
			if s.t != t || s.run == nil || s.run.targetStart != t.registered.Born || s.run.ended {
				continue
			}
			s.run.ended = true
			f.recorder.countLost(s.q)
			f.after(f.latency(t.registered.Domain, v.self.Domain), func() {
				f.endSend(s, &ingress.Failed{
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
