package inbound

import (
	"net/http"
	"slices"
	"time"
)

// pipeline holds the unanswered requests of one connection in the order of
// their arrival. A caller may send further requests before the first is
// answered. Requests that may overlap are served concurrently, and each answer
// is sent in turn. Served one after the other, the third of three requests
// would wait for the two before it: of requests with a deadline of 800 ms, one
// in ten missed it.
type pipeline struct {
	inFlight []*Exchange // passed to the handler, oldest first
	waiting  []*Exchange // not yet passed on
	writing  bool        // a goroutine is writing answers
}

func (p *pipeline) empty() bool { return len(p.inFlight) == 0 }

// abort drops the waiting requests and returns all unanswered ones. Those in
// flight stay until their handler answers them.
func (p *pipeline) abort() []*Exchange {
	left := slices.Concat(p.inFlight, p.waiting)
	p.waiting = nil
	return left
}

// maxOverlap bounds the requests of one connection that are served
// concurrently.
const maxOverlap = 8

// admit moves the exchanges that may be served now from waiting to in flight
// and returns them. It must be called with mu held.
func (c *conn) admit() (started []*Exchange) {
	p := &c.pipeline
	for c.phase != phaseClosed && len(p.waiting) > 0 && c.canStart(p.waiting[0]) {
		x := p.waiting[0]
		p.waiting[0] = nil // the array outlives the request
		p.waiting = p.waiting[1:]
		c.startExchange(x)
		started = append(started, x)
	}
	return started
}

// canStart reports whether x may be served concurrently with the requests in
// flight. Only requests that may be repeated are: if the connection ends early,
// their caller sends them again.
func (c *conn) canStart(x *Exchange) bool {
	p := &c.pipeline
	switch {
	case p.empty():
		return true
	case len(p.inFlight) >= maxOverlap:
		return false
	default:
		return c.s.overlaps(x) && c.s.overlaps(p.inFlight[len(p.inFlight)-1])
	}
}

// overlaps reports whether x may be served concurrently with other requests.
func (s *Server) overlaps(x *Exchange) bool {
	return s.opts.Overlaps != nil && s.opts.Overlaps(&x.Request)
}

// queueAnswer stores the answer of x and writes all answers whose turn has
// come. Only one goroutine writes at a time; the others leave their answers to
// it.
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

// writeNext writes the oldest answer if it is there, and ends its exchange.
func (c *conn) writeNext() bool {
	c.mu.Lock()
	p := &c.pipeline
	if p.empty() || p.inFlight[0].answer == nil {
		p.writing = false
		c.mu.Unlock()
		return false
	}
	x := p.inFlight[0]
	last := c.isLastAnswer()
	if last {
		c.phase = max(c.phase, phaseLast)
	}
	c.mu.Unlock()
	if a := x.answer; !x.isCallerGone() {
		c.write(x, last, a.status, a.header, a.body)
	} else {
		x.sent()
	}
	x.answer.body = nil // nbio holds what the kernel has not taken yet
	c.finishExchange(x, last)
	return true
}

// isLastAnswer reports whether the answer to the oldest exchange is the connection's
// last, and says so. Requests behind it that were received, or have begun to come, are
// answered first. It must be called with mu held.
func (c *conn) isLastAnswer() bool {
	switch {
	case len(c.pipeline.inFlight) > 1 || len(c.pipeline.waiting) > 0:
		return false
	case c.phase != phaseOpen:
		return true
	default:
		return c.s.stopping.Load() && !c.receiving
	}
}

// finishExchange removes the oldest exchange and starts the ones waiting behind
// it.
func (c *conn) finishExchange(x *Exchange, last bool) {
	if x.counted {
		c.s.exchangeEnded()
	}
	c.mu.Lock()
	p := &c.pipeline
	p.inFlight[0] = nil // the array outlives the request
	p.inFlight = p.inFlight[1:]
	c.changedAt = time.Now()
	started := c.admit()
	// The phase may have changed since the answer was written as one that is not the
	// last.
	last = last || c.phase == phaseLast && p.empty()
	askForBody := c.continueDue && p.empty() && !last
	c.continueDue = c.continueDue && !askForBody
	switch {
	case !p.empty() || last:
	case c.receiving:
		c.await(awaitMessage, c.s.limits().ReadTimeout)
	default:
		c.awaitNextRequest()
	}
	c.mu.Unlock()
	if askForBody {
		_ = c.send(interimContinue) // an error means that the connection failed
	}
	switch {
	case x.Refused != 0:
		c.close(ClosedRefused)
	case last:
		c.close(ClosedAnswered)
	default:
		c.closeInStop()
	}
	c.serveAll(started)
}

// answer is a handler's answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}
