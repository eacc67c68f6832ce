package emulate

import (
	"container/list"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
)

// target models a target: it executes Slots requests at a time, queues some,
// refuses further ones, and caches the objects that it handled last.
type target struct {
	registered ingress.Target
	region     fleet.Region
	service    *Service

	down         bool
	unregistered bool          // its registration is gone
	slowFactor   float64       // multiplies the work
	errorShare   float64       // share of the requests that fail
	refusedShare float64       // share of the requests that are refused
	limit        *rateLimit    // latest limit that it stated; nil if none
	leaving      bool          // it states that it is leaving
	leftAt       clock.Time    // when its word to leave was written to the store; 0: not
	backoff      time.Duration // it refuses all requests and asks for this; 0 if not
	coldEnd      clock.Time

	running int
	queue   []*execution
	objects objectCache
	machine *machine // nil: its pace does not change
}

// execution is one request that a target executes or queues.
type execution struct {
	send        *targetSend
	object      string
	targetStart int64 // identifies the target's process that has the request
	ended       bool
}

// coldWorkFactor multiplies the work at a cold target.
const coldWorkFactor = 2

// workTime draws how long the execution of a request takes at the usual pace.
func (t *target) workTime(sim *simulation, c *caller, object string) time.Duration {
	k := c.kind
	ms := k.WorkMS * (1 + k.WorkSpread*(2*sim.rng.Float64()-1)) * t.slowFactor
	if t.objects.touch(object, t.service.CachedObjects) {
		ms *= 1 - k.WarmSaving
	}
	if sim.now.Before(t.coldEnd) {
		ms *= coldWorkFactor
	}
	if c.workFactor > 0 {
		ms *= c.workFactor
	}
	return millis(ms)
}

func (t *target) load(now clock.Time) ingress.Load {
	return ingress.Load{Known: true, Running: t.running, Waiting: len(t.queue), Slots: t.service.Slots, Pace: t.machine.statedPace(now)}
}

// handleRequest executes, queues or refuses a request.
func (t *target) handleRequest(sim *simulation, r *execution) {
	switch {
	case t.backoff > 0:
		r.ended = true
		sim.sendAnswer(t, r, ingress.Refused)
	case t.refusedShare > 0 && sim.rng.Float64() < t.refusedShare:
		r.ended = true
		sim.sendAnswer(t, r, ingress.Refused)
	case len(t.queue) >= t.service.Queue && t.running >= t.service.Slots:
		r.ended = true
		sim.sendAnswer(t, r, ingress.Refused)
	case t.running >= t.service.Slots:
		t.queue = append(t.queue, r)
	default:
		t.startExecution(sim, r)
	}
}

func (t *target) startExecution(sim *simulation, r *execution) {
	t.running++
	took := t.machine.duration(sim.now, t.workTime(sim, r.send.attempt.caller, r.object))
	start := t.registered.StartedAt
	if r.send.attempt.deathQuery != nil {
		sim.after(deathQueryWork, func() { sim.crashTarget(t, r, start) })
		return
	}
	sim.after(took, func() {
		if t.registered.StartedAt != start || t.down {
			return // the process has ended
		}
		t.running--
		t.startNext(sim)
		if r.ended {
			return // cancelled
		}
		r.ended = true
		outcome := ingress.Served
		if t.errorShare > 0 && sim.rng.Float64() < t.errorShare {
			outcome = ingress.ServerError
		}
		sim.sendAnswer(t, r, outcome)
	})
}

// startNext starts the requests that have waited longest while slots are free.
func (t *target) startNext(sim *simulation) {
	for len(t.queue) > 0 && t.running < t.service.Slots {
		r := t.queue[0]
		t.queue = t.queue[1:]
		if !r.ended {
			t.startExecution(sim, r)
		}
	}
}

// objectCache is an LRU cache of object names.
type objectCache struct {
	order list.List
	at    map[string]*list.Element
}

// touch reports whether the object was cached, and caches it.
func (c *objectCache) touch(object string, capacity int) bool {
	if object == "" || capacity == 0 {
		return false
	}
	if c.at == nil {
		c.at = make(map[string]*list.Element)
	}
	if e, ok := c.at[object]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.at[object] = c.order.PushFront(object)
	if c.order.Len() > capacity {
		last := c.order.Back()
		c.order.Remove(last)
		delete(c.at, last.Value.(string))
	}
	return false
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
