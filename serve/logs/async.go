package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds the lines waiting to be written: some seconds of
	// log output.
	maxBufferBytes = 1 << 20
	// flushInterval is the interval between writes: few writes of many lines
	// cost less than one write per line.
	flushInterval = 100 * time.Millisecond
	closeTimeout  = 100 * time.Millisecond
)

// Async is an io.Writer that never blocks. Lines wait in a bounded buffer and
// are written by a goroutine. A line that does not fit is dropped and counted,
// and the count is logged as a line of its own. Otherwise a stalled reader of
// the log would stall every request.
type Async struct {
	w io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int

	stop    chan struct{}
	stopped chan struct{}
}

// NewAsync returns an Async that writes to w. Close stops it.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, stop: make(chan struct{}), stopped: make(chan struct{})}
	go a.run()
	return a
}

// Write queues one line.
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

// Dropped returns the number of dropped lines not yet reported in the log.
func (a *Async) Dropped() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

// Close writes the remaining lines and stops the writer. It does not wait for longer than
// closeTimeout for a reader that has stalled.
func (a *Async) Close() {
	close(a.stop)
	select {
	case <-a.stopped:
	case <-time.After(closeTimeout):
	}
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

// flush writes the waiting lines and returns their buffer for reuse.
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
		_, _ = a.w.Write(buf) // a failure to write the log cannot be logged
	}
	return buf
}
