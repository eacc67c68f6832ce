package inbound

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// holdUp keeps the server's pollers busy for some time, as a process that is short of
// processor time does, and returns once they are.
func (c *crossing) holdUp(d time.Duration) {
	var held sync.WaitGroup
	byPoller := make(map[int]bool)
	for _, k := range c.s.openConns() {
		poller := k.nbc.Hash() % c.s.engine.NPoller
		if byPoller[poller] {
			continue
		}
		byPoller[poller] = true
		held.Add(1)
		c.s.engine.Run(k.nbc, func() {
			held.Done()
			time.Sleep(d)
		})
	}
	held.Wait()
}

// Guards against a planned stop that takes longer than its time because it waits for a
// poller: the process is killed before what follows has stopped.
func TestStopEndsInTimeBesideABusyPoller(t *testing.T) {
	const timeout, busy = 300 * time.Millisecond, 3 * time.Second
	is := is.New(t)
	c := newCrossing(t, time.Minute)
	c.connect(1)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	c.holdUp(busy)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c.s.StopAccepting(ctx)
		_ = c.s.flush(ctx) // an error says what is left
	}()
	select {
	case <-stopped:
	case <-time.After(busy / 2):
		t.Error("the stop still waits for the poller, long after its time")
		<-stopped
	}
	is.True(ctx.Err() != nil)
}

// Guards against a connection that is closed as idle although the kernel holds a request
// that nobody has read: its caller can't tell whether the request has run.
func TestStopReadsWhatTheKernelHolds(t *testing.T) {
	const callers = 20
	is := is.New(t)
	c := newCrossing(t, time.Minute)
	connections := c.connect(callers)
	c.holdUp(300 * time.Millisecond)
	c.s.AnnounceClose()
	c.s.StopAccepting(context.Background())
	var answers sync.WaitGroup
	for i, k := range connections {
		answers.Go(func() {
			if path := "/" + strconv.Itoa(i); !k.request(path) {
				t.Errorf("request %s got no answer", path)
			}
		})
	}
	answers.Wait()
	is.Equal(c.lost(), 0)
}

// Guards against a stop that ends while the kernel holds a request for a connection that was
// not closed for that: the request is passed on and cut off, or reset.
func TestStopWaitsForWhatTheKernelHolds(t *testing.T) {
	const rounds = 20
	is := is.New(t)
	lost := 0
	for range rounds {
		c := newCrossing(t, time.Minute)
		k := c.connect(1)[0]
		c.holdUp(60 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() { stopped <- c.s.Stop(t.Context()) }()
		time.Sleep(20 * time.Millisecond) // the stop waits for the poller
		if !k.request("/last") {
			lost++
		}
		_ = k.conn.Close()
		is.NoErr(<-stopped)
	}
	is.Equal(lost, 0) // requests without an answer
}
