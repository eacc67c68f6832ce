package inbound

import (
	"net/http"
	"slices"
)

// pipeline holds the requests of one connection that have no answer yet, in the
// order in which they came. A caller may send further requests before the first
// is answered. Those that may run beside each other are served at once; each
// answer waits for its turn. Served one after the other, the third of three
// requests waits for the work of two: of requests with 800 ms in all, it took
// one in ten.
type pipeline struct {
	inFlight []*Exchange // handed to the handler; the oldest first
	waiting  []*Exchange // behind them
	writing  bool        // a goroutine is writing answers
}

func (p *pipeline) empty() bool { return len(p.inFlight) == 0 }

// abort drops what waits and returns all exchanges without an answer. Those in
// flight stay until their handler answers them.
func (p *pipeline) abort() []*Exchange {
	left := slices.Concat(p.inFlight, p.waiting)
	p.waiting = nil
	return left
}

// maxOverlap bounds the requests of one connection that are served at a time.
const maxOverlap = 8

// admit moves exchanges from waiting to in flight, as far as they may be served
// now, and returns them. It must be called with mu held.
func (c *conn) admit() (started []*Exchange) {
	p := &c.pipeline
	for len(p.waiting) > 0 && c.canStart(p.waiting[0]) {
		x := p.waiting[0]
		p.waiting = p.waiting[1:]
		c.startExchange(x)
		started = append(started, x)
	}
	return started
}

// canStart reports whether x may be served beside what is in flight. Only
// requests that may be repeated are: if the connection ends early, their caller
// sends them again.
func (c *conn) canStart(x *Exchange) bool {
	p := &c.pipeline
	if p.empty() {
		return true
	}
	last := p.inFlight[len(p.inFlight)-1]
	switch {
	case len(p.inFlight) >= maxOverlap || last.close || c.s.stopping.Load():
		return false
	default:
		return c.s.overlaps(x) && c.s.overlaps(last)
	}
}

// overlaps reports whether x may be served beside other requests.
func (s *Server) overlaps(x *Exchange) bool {
	return s.opts.Overlaps != nil && s.opts.Overlaps(&x.Request)
}

// queueAnswer takes the answer of x and writes the answers whose turn it is. Only
// one goroutine writes at a time; the others leave their answers to it.
func (c *conn) queueAnswer(x *Exchange, a answer) {
	c.mu.Lock()
	x.answer = &a
	if c.pipeline.writing {
		c.mu.Unlock()
		return
	}
	c.pipeline.writing = true
	c.mu.Unlock()
	for c.writeNext() {
	}
}

// writeNext writes the next answer, if its turn has come, and ends its
// exchange.
func (c *conn) writeNext() bool {
	c.mu.Lock()
	p := &c.pipeline
	if p.empty() || p.inFlight[0].answer == nil {
		p.writing = false
		c.mu.Unlock()
		return false
	}
	x := p.inFlight[0]
	// An answer says that the connection closes only if it is the last: what is
	// in flight behind it has been passed on and must be answered.
	last := len(p.inFlight) == 1 && (c.closing || x.close || c.s.stopping.Load())
	c.closing = c.closing || last
	c.mu.Unlock()
	if a := x.answer; !x.isCallerGone() {
		c.write(x, last, a.status, a.header, a.body)
	}
	c.finishExchange(x, last)
	return true
}

// finishExchange ends the oldest exchange and starts those behind it.
func (c *conn) finishExchange(x *Exchange, last bool) {
	if x.counted {
		c.s.exchangeEnded()
	}
	c.mu.Lock()
	p := &c.pipeline
	p.inFlight = p.inFlight[1:]
	var started []*Exchange
	if !c.closing {
		started = c.admit()
		if p.empty() {
			c.armIdle()
		}
	}
	c.mu.Unlock()
	switch {
	case x.Refused != 0:
		c.linger()
	case last:
		c.close()
	}
	c.serveAll(started)
}

// answer is what a handler has answered.
type answer struct {
	status int
	header http.Header
	body   []byte
}
