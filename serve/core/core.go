// Package core runs a reducer: it processes one event at a time, with the time
// at which the event is taken, and sets a timer for the next tick.
package core

import (
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Step processes one event and performs its effects without blocking. It
// returns the time of the next tick; clock.Never: none.
type Step func(now clock.Time, ev any) (wake clock.Time)

// Core serialises access to a reducer with state T. A goroutine that posts an
// event while no other is processing events processes the queue until it is
// empty; every other goroutine only queues its event. So no goroutine waits for
// another, a step may post events itself, and effects are performed in the
// order in which the reducer returned them.
type Core[T any] struct {
	now   func() clock.Time
	state T
	step  Step
	tick  any // the event posted when the timer fires

	mu         sync.Mutex
	queue      []any
	spareQueue []any
	running    bool
	closed     bool
	stopped    chan struct{}

	timer    *time.Timer
	timerDue clock.Time // used only by the goroutine that is running

	crash func(v any) // ends the process; replaced in tests
}

// New returns a Core. tick is the event posted when the time returned by a step
// is reached.
func New[T any](now func() clock.Time, state T, step Step, tick any) *Core[T] {
	c := &Core[T]{
		now: now, state: state, step: step, tick: tick,
		timerDue: clock.Never, stopped: make(chan struct{}), crash: crash,
	}
	c.timer = time.AfterFunc(time.Hour, func() { c.Post(c.tick) })
	return c
}

// Post queues ev for processing.
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

// crash panics on a separate goroutine, where nothing recovers the panic.
func crash(v any) {
	stack := debug.Stack()
	go panic(fmt.Sprintf("%v\n%s", v, stack))
}

func (c *Core[T]) run() {
	// nbio recovers panics of its handlers and continues. A core that panicked
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

// armTimer sets the timer for the next tick. A wake time that has already
// passed always resets the timer: the previous timer has fired, and without a
// new one there would never be another tick.
func (c *Core[T]) armTimer(now, wake clock.Time) {
	if wake == clock.Never || (wake == c.timerDue && wake.After(now)) {
		return
	}
	c.timerDue = wake
	c.timer.Reset(max(wake.Sub(now), 0))
}

// query is a function to run on the state between two steps.
type query[T any] struct {
	ask     func(now clock.Time, state T)
	claimed atomic.Bool // run or abandoned
	done    chan struct{}
}

// claim reports whether the query has been neither run nor abandoned, and marks
// it as claimed.
func (q *query[T]) claim() bool { return q.claimed.CompareAndSwap(false, true) }

func (q *query[T]) answer(now clock.Time, state T) {
	if q.claim() {
		q.ask(now, state)
		close(q.done)
	}
}

// Query runs f on the state between two steps and waits for it. It returns false
// if the core has been closed; f is then never run, as its variables may be in
// use again. Query must not be called while an effect is performed: it would
// wait for itself.
func (c *Core[T]) Query(f func(now clock.Time, state T)) bool {
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
	<-q.done // f is running
	return true
}

// Close stops the processing of events.
func (c *Core[T]) Close() {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.stopped)
	}
	c.mu.Unlock()
	c.timer.Stop()
}
