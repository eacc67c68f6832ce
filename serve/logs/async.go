package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds what waits to be written, some seconds of lines.
	maxBufferBytes = 1 << 20
	// flushInterval is how often lines are written: few writes of many lines cost
	// less than one each.
	flushInterval = 100 * time.Millisecond
)

// Async is an io.Writer that never blocks. Lines wait in a buffer of bounded
// size and are written by a goroutine; one that doesn't fit is dropped and
// counted, and the count is written as a line of its own. A reader of the log
// that stalls would otherwise stall every request.
type Async struct {
	w io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int

	stop    chan struct{}
	stopped chan struct{}
}

// NewAsync begins to write to w.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, stop: make(chan struct{}), stopped: make(chan struct{})}
	go a.run()
	return a
}

// Write takes one line.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.buf)+len(line) > maxBufferBytes {
		a.dropped++
	} else {
		a.buf = append(a.buf, line...)
	}
	return len(line), nil
}

// Dropped returns how many lines wait to be reported as dropped.
func (a *Async) Dropped() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

// Close writes what is left.
func (a *Async) Close() {
	close(a.stop)
	<-a.stopped
}

func (a *Async) run() {
	defer close(a.stopped)
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	var spare []byte
	for {
		select {
		case <-t.C:
			spare = a.flush(spare)
		case <-a.stop:
			a.flush(spare)
			return
		}
	}
}

// flush writes what waits, and returns its buffer for the next turn.
func (a *Async) flush(spare []byte) []byte {
	a.mu.Lock()
	buf, dropped := a.buf, a.dropped
	a.buf, a.dropped = spare[:0], 0
	a.mu.Unlock()
	if dropped > 0 {
		buf = fmt.Appendf(buf, `{"event":"lines-dropped","level":"warning","count":%d,"time":%q}`+"\n",
			dropped, time.Now().Format(time.RFC3339Nano))
	}
	if len(buf) > 0 {
		_, _ = a.w.Write(buf) // a log that can't be written has nowhere to say so
	}
	return buf
}
