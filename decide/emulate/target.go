package emulate

import (
	"container/list"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
)

// target is a modelled target: it works on slots requests at a time, keeps a
// few waiting, refuses more, and remembers the objects that it handled last.
type target struct {
	reg    ingress.Target
	region fleet.Region
	svc    *Service

	down    bool
	slow    float64  // work is multiplied by it
	grey    float64  // part of the requests that fail
	shed    float64  // part of the requests that are refused
	limited *limited // the rate that it names; nil: it has never named one
	coldEnd clock.Time

	running int
	queue   []*run
	memory  memory
}

// run is one request at a target.
type run struct {
	send   *send
	object string
	start  int64 // of the target: which of its starts has the request
	over   bool
}

// coldWork is how much longer work takes at a target that is cold.
const coldWork = 2

// work draws how long a request takes.
func (t *target) work(f *fleetRun, k *Kind, object string) time.Duration {
	ms := k.WorkMS * (1 + k.Spread*(2*f.rng.Float64()-1)) * t.slow
	if t.memory.touch(object, t.svc.Remember) {
		ms *= 1 - k.WarmGain
	}
	if f.now.Before(t.coldEnd) {
		ms *= coldWork
	}
	return millis(ms)
}

func (t *target) load() ingress.Load {
	return ingress.Load{Known: true, Running: t.running, Waiting: len(t.queue), Slots: t.svc.Slots}
}

// take accepts a request, or refuses it.
func (t *target) take(f *fleetRun, r *run) {
	switch {
	case t.shed > 0 && f.rng.Float64() < t.shed:
		r.over = true
		f.answer(t, r, ingress.Refused)
	case len(t.queue) >= t.svc.Queue && t.running >= t.svc.Slots:
		r.over = true
		f.answer(t, r, ingress.Refused)
	case t.running >= t.svc.Slots:
		t.queue = append(t.queue, r)
	default:
		t.begin(f, r)
	}
}

func (t *target) begin(f *fleetRun, r *run) {
	t.running++
	took := t.work(f, r.send.q.kind, r.object)
	start := t.reg.Born
	if r.send.q.deadly != nil {
		f.after(deadlyWork, func() { f.endUnder(t, r, start) })
		return
	}
	f.after(took, func() {
		if t.reg.Born != start || t.down {
			return // it has ended meanwhile
		}
		t.running--
		t.next(f)
		if r.over {
			return // cancelled
		}
		r.over = true
		outcome := ingress.Served
		if t.grey > 0 && f.rng.Float64() < t.grey {
			outcome = ingress.ServerError
		}
		f.answer(t, r, outcome)
	})
}

// next begins the work on the request that has waited longest.
func (t *target) next(f *fleetRun) {
	for len(t.queue) > 0 && t.running < t.svc.Slots {
		r := t.queue[0]
		t.queue = t.queue[1:]
		if !r.over {
			t.begin(f, r)
		}
	}
}

// memory holds the objects handled last, the latest first.
type memory struct {
	order list.List
	at    map[string]*list.Element
}

// touch reports whether the object was remembered, and remembers it.
func (m *memory) touch(object string, most int) bool {
	if object == "" || most == 0 {
		return false
	}
	if m.at == nil {
		m.at = make(map[string]*list.Element)
	}
	if e, ok := m.at[object]; ok {
		m.order.MoveToFront(e)
		return true
	}
	m.at[object] = m.order.PushFront(object)
	if m.order.Len() > most {
		last := m.order.Back()
		m.order.Remove(last)
		delete(m.at, last.Value.(string))
	}
	return false
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
