// Package core runs a reducer: one event at a time, with the instant at which
// it is taken, and a timer for the next one that is due.
package core

import (
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Step takes one event and carries out its effects, without blocking. It
// returns when a tick is due at the latest; clock.Never: not at all.
type Step func(now clock.Time, ev any) (wake clock.Time)

// Core serialises a reducer whose state is a T. Whoever posts an event while
// nobody is stepping steps it until the queue is empty; everyone else only
// queues. So no goroutine waits for another, a step may post events itself, and
// effects are carried out in the order in which the reducer stated them.
type Core[T any] struct {
	now   func() clock.Time
	state T
	step  Step
	tick  any // the event that lets time pass

	mu         sync.Mutex
	queue      []any
	spareQueue []any
	running    bool
	closed     bool
	stopped    chan struct{}

	timer    *time.Timer
	timerDue clock.Time // touched only by the goroutine that is running

	crash func(v any) // ends the process; replaced in tests
}

// New returns a Core. tick is the event that is posted when a step's wake is
// due.
func New[T any](now func() clock.Time, state T, step Step, tick any) *Core[T] {
	c := &Core[T]{
		now: now, state: state, step: step, tick: tick,
		timerDue: clock.Never, stopped: make(chan struct{}), crash: crash,
	}
	c.timer = time.AfterFunc(time.Hour, func() { c.Post(c.tick) })
	return c
}

// Post queues ev and has it stepped.
func (c *Core[T]) Post(ev any) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.queue = append(c.queue, ev)
	if c.running {
		c.mu.Unlock()
		return
	}
	c.running = true
	c.mu.Unlock()
	c.run()
}

// crash panics on a goroutine of its own, where nothing recovers it.
func crash(v any) {
	stack := debug.Stack()
	go panic(fmt.Sprintf("%v\n%s", v, stack))
}

func (c *Core[T]) run() {
	// nbio recovers panics of its handlers and goes on. A core that panicked
	// would stay marked as running: every later event would only be queued, and
	// the entry VM would accept requests without ever answering one. Ending the
	// process is better: its callers learn that the outcome is unknown, and use
	// another entry VM.
	defer func() {
		if v := recover(); v != nil {
			c.crash(v)
		}
	}()
	for {
		c.mu.Lock()
		batch := c.queue
		if len(batch) == 0 {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.queue = c.spareQueue[:0]
		c.mu.Unlock()
		for i, ev := range batch {
			c.handle(ev)
			batch[i] = nil
		}
		c.spareQueue = batch[:0]
	}
}

func (c *Core[T]) handle(ev any) {
	now := c.now()
	if q, ok := ev.(*query[T]); ok {
		q.answer(now, c.state)
		return
	}
	c.armTimer(now, c.step(now, ev))
}

// armTimer sets the timer for the engine's next tick. A wake that is due already is
// always armed anew: the timer for it has fired, and a process that waited for
// it without a timer would never tick again.
func (c *Core[T]) armTimer(now, wake clock.Time) {
	if wake == clock.Never || (wake == c.timerDue && wake.After(now)) {
		return
	}
	c.timerDue = wake
	c.timer.Reset(max(wake.Sub(now), 0))
}

// query is put to the state between two steps.
type query[T any] struct {
	ask     func(now clock.Time, state T)
	claimed atomic.Bool // run, or given up
	done    chan struct{}
}

// claim reports whether the question is still to be run or given up.
func (q *query[T]) claim() bool { return q.claimed.CompareAndSwap(false, true) }

func (q *query[T]) answer(now clock.Time, state T) {
	if q.claim() {
		q.ask(now, state)
		close(q.done)
	}
}

// Ask runs f with the state between two steps and waits for it. It reports
// false when the core has been closed; f is not run later then, when its
// variables may be in use again. It must not be called while an effect is
// carried out: it would wait for itself.
func (c *Core[T]) Ask(f func(now clock.Time, state T)) bool {
	q := &query[T]{ask: f, done: make(chan struct{})}
	c.Post(q)
	select {
	case <-q.done:
		return true
	case <-c.stopped:
	}
	if q.claim() {
		return false
	}
	<-q.done // it is being run
	return true
}

// Close ends the stepping of events.
func (c *Core[T]) Close() {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.stopped)
	}
	c.mu.Unlock()
	c.timer.Stop()
}
