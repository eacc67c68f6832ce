package daemon

import (
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/engine"
)

// executor carries out effects. It must not block.
type executor interface {
	execute(now clock.Time, r *engine.Ready)
}

// Core serialises the engine. Whoever posts an event while nobody is stepping
// steps the engine until the queue is empty; everyone else only queues. So no
// goroutine waits for another, an executor may post events itself, and effects
// are carried out in the order in which the engine stated them.
type Core struct {
	now  func() clock.Time
	exec executor
	eng  *engine.Engine

	mu      sync.Mutex
	queue   []engine.Event
	spare   []engine.Event
	running bool
	closed  bool
	stopped chan struct{}

	ready engine.Ready // touched only by the goroutine that is running
	timer *time.Timer
	due   clock.Time

	crash func(v any) // ends the process; replaced in tests
}

func newCore(now func() clock.Time, eng *engine.Engine, exec executor) *Core {
	c := &Core{now: now, eng: eng, exec: exec, due: clock.Never, stopped: make(chan struct{}), crash: crash}
	c.timer = time.AfterFunc(time.Hour, c.tick)
	return c
}

// Post queues ev and sees to it that it is stepped.
func (c *Core) Post(ev engine.Event) {
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

func (c *Core) run() {
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
		c.queue = c.spare[:0]
		c.mu.Unlock()
		for i, ev := range batch {
			c.step(ev)
			batch[i] = nil
		}
		c.spare = batch[:0]
	}
}

func (c *Core) step(ev engine.Event) {
	now := c.now()
	if q, ok := ev.(*question); ok {
		q.answer(now, c.eng)
		return
	}
	c.ready.Reset()
	c.eng.Step(now, ev, &c.ready)
	c.arm(now, c.ready.Wake())
	c.exec.execute(now, &c.ready)
}

// arm sets the timer for the engine's next tick. A wake that is due already is
// always armed anew: the timer for it has fired, and a process that waited for
// it without a timer would never tick again.
func (c *Core) arm(now, wake clock.Time) {
	if wake == clock.Never || (wake == c.due && wake.After(now)) {
		return
	}
	c.due = wake
	c.timer.Reset(max(wake.Sub(now), 0))
}

func (c *Core) tick() { c.Post(&engine.Tick{}) }

// question is put to the engine between two steps.
type question struct {
	ask   func(now clock.Time, e *engine.Engine)
	taken atomic.Bool // run, or given up
	done  chan struct{}
}

// claim reports whether the question is still to be run or given up.
func (q *question) claim() bool { return q.taken.CompareAndSwap(false, true) }

func (q *question) answer(now clock.Time, e *engine.Engine) {
	if q.claim() {
		q.ask(now, e)
		close(q.done)
	}
}

// Ask runs f with the engine between two steps and waits for it. It reports
// false when the core has been closed; f is not run later then, when its
// variables may be in use again. It must not be called while an effect is
// carried out: it would wait for itself.
func (c *Core) Ask(f func(now clock.Time, e *engine.Engine)) bool {
	q := &question{ask: f, done: make(chan struct{})}
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
func (c *Core) Close() {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.stopped)
	}
	c.mu.Unlock()
	c.timer.Stop()
}
