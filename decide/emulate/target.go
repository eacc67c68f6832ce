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
	registered ingress.Target
	region     fleet.Region
	service    *Service

	down         bool
	slowFactor   float64    // work is multiplied by it
	errorShare   float64    // part of the requests that fail
	refusedShare float64    // part of the requests that are refused
	limit        *rateLimit // the rate that it names; nil: it has never named one
	coldEnd      clock.Time

	running int
	queue   []*execution
	objects objectCache
}

// execution is one request at a target.
type execution struct {
	send        *targetSend
	object      string
	targetStart int64 // of the target: which of its starts has the request
	ended       bool
}

// coldWorkFactor is how much longer work takes at a target that is cold.
const coldWorkFactor = 2

// workTime draws how long a request takes.
func (t *target) workTime(f *simulation, k *Kind, object string) time.Duration {
	ms := k.WorkMS * (1 + k.Spread*(2*f.rng.Float64()-1)) * t.slowFactor
	if t.objects.touch(object, t.service.Remember) {
		ms *= 1 - k.WarmSaving
	}
	if f.now.Before(t.coldEnd) {
		ms *= coldWorkFactor
	}
	return millis(ms)
}

func (t *target) load() ingress.Load {
	return ingress.Load{Known: true, Running: t.running, Waiting: len(t.queue), Slots: t.service.Slots}
}

// handleRequest accepts a request, or refuses it.
func (t *target) handleRequest(f *simulation, r *execution) {
	switch {
	case t.refusedShare > 0 && f.rng.Float64() < t.refusedShare:
		r.ended = true
		f.sendAnswer(t, r, ingress.Refused)
	case len(t.queue) >= t.service.Queue && t.running >= t.service.Slots:
		r.ended = true
		f.sendAnswer(t, r, ingress.Refused)
	case t.running >= t.service.Slots:
		t.queue = append(t.queue, r)
	default:
		t.startExecution(f, r)
	}
}

func (t *target) startExecution(f *simulation, r *execution) {
	t.running++
	took := t.workTime(f, r.send.q.kind, r.object)
	start := t.registered.Born
	if r.send.q.deathQuery != nil {
		f.after(deathQueryWork, func() { f.crashTarget(t, r, start) })
		return
	}
	f.after(took, func() {
		if t.registered.Born != start || t.down {
			return // it has ended meanwhile
		}
		t.running--
		t.startNext(f)
		if r.ended {
			return // cancelled
		}
		r.ended = true
		outcome := ingress.Served
		if t.errorShare > 0 && f.rng.Float64() < t.errorShare {
			outcome = ingress.ServerError
		}
		f.sendAnswer(t, r, outcome)
	})
}

// startNext begins the work on the request that has waited longest.
func (t *target) startNext(f *simulation) {
	for len(t.queue) > 0 && t.running < t.service.Slots {
		r := t.queue[0]
		t.queue = t.queue[1:]
		if !r.ended {
			t.startExecution(f, r)
		}
	}
}

// objectCache holds the objects handled last, the latest first.
type objectCache struct {
	order list.List
	at    map[string]*list.Element
}

// touch reports whether the object was remembered, and remembers it.
func (m *objectCache) touch(object string, most int) bool {
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
