package outbound

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/body"
	"github.com/azurethread/azurethread/serve/heads"
)

// conn is one connection to a receiver.
type conn struct {
	p      *peer
	nbc    *nbio.Conn
	parser *nbhttp.Parser

	// initialized is set by the dialling goroutine and read by the poller's.
	// The kernel's poll set orders the two, but the race detector cannot see
	// that.
	initialized atomic.Bool

	queued   atomic.Int64 // bytes handed to nbio
	written  atomic.Int64 // bytes that nbio has written to the kernel
	lastSent atomic.Bool  // close once everything is written

	// Guarded by p.mu.
	call      *Call       // the call that has claimed the connection
	ended     bool        // no longer counted in peer.open
	closedBy  CloseReason // why this side closes it, "" if it does not
	used      bool        // it has carried an answer to a request
	receiver  string      // of that request, see Request.Receiver
	idleSince clock.Time
	maxIdle   time.Duration // how long it may be idle before it is closed
	// hold is that of the answer being received; nil: none yet, or no budget. It is
	// changed only while data is taken.
	hold *holding

	answerStarted  atomic.Bool // an answer is partly received
	closeDelimited atomic.Pointer[closeDelimitedAnswer]

	connected time.Duration // time it took to open, until its first answer

	// Parsing state, touched only while data is taken.
	head          []byte        // received part of the next head
	framing       heads.Framing // of the answer
	body          bodyState
	bodyLeft      int64       // rest of a body with Content-Length
	chunks        body.Chunks // of a chunked body
	foreignAnswer bool        // the answer belongs to another request or to none
	reused        bool        // an answer has ended a request
	answers       int         // complete heads of answers, those to other requests included
	answer        *Answer
	noReuse       bool
	noBody        bool // the request was a HEAD
	content       body.Pieces
	behind        bool     // more was received together with the end of an answer
	watched       *Request // whose own answer may still come; see watch
	headBytes     int      // of the heads received for the request
	overhead      int      // see maxOverhead
}

// start writes the request of k.
func (c *conn) start(k *Call) {
	if !c.p.attach(c, k) {
		k.finish(nil, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectionLost, Err: errClosing})
		c.p.releaseIfClaimed(c, k)
		return
	}
	c.noBody = k.req.Method == http.MethodHead
	b := buffers.Get().(*bytes.Buffer)
	b.Reset()
	encode(b, c.p.addr, k.req)
	c.queued.Add(int64(b.Len()))
	err := c.p.pool.engine.Write(c.nbc, b.Bytes())
	if err == nil && b.Len() >= checkedRequestBytes {
		c.checkPath()
	}
	if b.Cap() <= 2*maxPooledBuffer {
		buffers.Put(b)
	}
	k.writeDone(err)
	if err != nil {
		c.close(ClosedByFailure)
	}
}

// onData processes received bytes. Data that is not an answer closes the
// connection.
func (c *conn) onData(_ *nbio.Conn, data []byte) {
	if !c.initialized.Load() {
		return
	}
	for len(data) > 0 {
		n, err := c.consume(data)
		if err != nil {
			c.p.noteClose(c, ClosedInvalid)
			c.nbc.CloseWithError(err)
			return
		}
		data = data[n:]
	}
	// Only after all data has been processed: bytes behind an answer must not
	// be read as the answer to the connection's next request.
	c.p.assignIdle()
}

// consume processes the first part of data, at most to the end of a head or of a body,
// and returns its size.
func (c *conn) consume(data []byte) (int, error) {
	switch c.body {
	case bodyLength:
		return c.takeLength(data)
	case bodyChunked:
		return c.takeChunks(data)
	case bodyClose:
		return len(data), c.addToBody(data)
	default:
		return c.takeHead(data)
	}
}

// onClose is called once when the connection is closed, on its own goroutine:
// the parser may still be running.
func (c *conn) onClose(err error) {
	k := c.p.detach(c)
	hold := c.p.countClosed(c)
	if report := c.p.pool.opts.Closed; report != nil {
		report(c.p.closeReason(c, err), k != nil)
	}
	end := c.closeDelimited.Load()
	whole := end != nil && end.endedCleanly() && errors.Is(err, io.EOF)
	if k != nil && whole && hold.settle() {
		end.answer.hold = hold
		end.answer.Body = c.content.Join()
		if !k.finish(end.answer, nil) {
			end.answer.Release()
		}
		return
	}
	hold.release()
	if k == nil {
		return
	}
	reason := verdict.ReasonConnectionLost
	if c.answerStarted.Load() {
		// Part of the answer was received. A partial answer is never passed on
		// as complete, and it is unknown whether the request ran to its end.
		reason = verdict.ReasonAnswerCut
	}
	k.connectionLost(reason, err)
}

// complete delivers a complete answer and frees the connection.
func (c *conn) complete() {
	a := c.answer
	if a == nil {
		return
	}
	if c.foreignAnswer {
		c.resetAnswer() // the answer to this request follows
		return
	}
	if !c.hold.settle() {
		return // evict ends the request
	}
	a.hold = c.p.takeHolding(c)
	a.Body = c.content.Join()
	c.resetAnswer()
	c.headBytes, c.overhead = 0, 0
	c.connected = 0 // the next request did not wait for it to open
	c.reused = true
	k, kept := c.p.releaseAnswered(c, keepAliveTimeout(a.Header))
	switch {
	case kept:
	case a.Status < http.StatusBadRequest:
		c.closeWhenSent()
	default:
		c.close(ClosedNotReusable) // a receiver that has refused a request wants no more of it
	}
	if k == nil || !k.finish(a, nil) {
		a.Release()
	}
}

// resetAnswer prepares for the next head.
func (c *conn) resetAnswer() {
	c.p.takeHolding(c).release()
	c.answer = nil
	c.content = body.Pieces{}
	c.body = bodyNone
	c.bodyLeft = 0
	c.answerStarted.Store(false)
}

// idleFor returns how long the connection has been idle.
func (c *conn) idleFor(now clock.Time) time.Duration { return now.Sub(c.idleSince) }
