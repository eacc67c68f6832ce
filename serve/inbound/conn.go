package inbound

import (
	"bytes"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/azurethread/azurethread/serve/body"
	"github.com/azurethread/azurethread/serve/heads"
)

// conn is one caller's connection. Parsing runs on the poller's goroutine;
// answers may come from any goroutine.
type conn struct {
	s      *Server
	nbc    *nbio.Conn
	parser *nbhttp.Parser
	remote netip.AddrPort

	// initialized is set by the accepting goroutine and read by the poller's.
	// The kernel's poll set orders the two, but the race detector cannot see
	// that.
	initialized atomic.Bool

	// Parsing state, used only while the parser runs.
	req      *Exchange
	head     []byte        // received part of the next head
	framing  heads.Framing // of the message
	body     bodyState
	bodyLeft int64       // rest of a body with Content-Length
	chunks   body.Chunks // of a chunked body
	content  body.Pieces
	overhead int // received bytes of a chunked body that are not content
	rest     int // bytes that were received behind those being processed

	mu          sync.Mutex
	pipeline    pipeline
	phase       phase
	closeReason CloseReason // why this side closes the connection, "" if it has not decided to
	receiving   bool        // data is being processed, or a message is partly received
	requests    int         // passed to the handler
	continueDue bool        // interimContinue is sent after the requests in flight
	awaited     awaited
	awaitedBy   deadline  // of what is awaited
	takenBy     deadline  // for the caller to take what was written
	registered  bool      // with a poller
	changedAt   time.Time // when the connection was opened, became idle, or had its last answer
	unread      int       // bytes that the kernel held when the connection was closed as idle
	untaken     int       // of the last answer, bytes that its caller had not taken when linger last looked

	// partialBody counts the bytes reserved for a body that is not yet
	// complete.
	partialBody atomic.Int64
	// partialHead counts the bytes reserved for the head of a message that is not yet
	// complete.
	partialHead atomic.Int64

	unsent   unsentAnswers
	queued   atomic.Int64 // bytes handed to nbio
	written  atomic.Int64 // bytes that nbio has written to the kernel
	draining atomic.Bool  // linger once written reaches queued
}

// bodyState says how the body that is being received ends.
type bodyState uint8

const (
	bodyNone    bodyState = iota // no body is being received
	bodyLength                   // after a stated length
	bodyChunked                  // with its last chunk
)

// onData processes received bytes and answers a message that is refused.
func (c *conn) onData(_ *nbio.Conn, data []byte) {
	if !c.initialized.Load() || !c.beginReceiving() {
		return
	}
	defer c.endReceiving()
	for len(data) > 0 && c.isOpen() {
		n, status := c.takeData(data)
		if status != 0 {
			c.refuse(status)
			return
		}
		data = data[n:]
	}
}

// takeData processes the first part of data, at most to the end of a head or of a body.
// It returns the size of that part, and the status to refuse the message with, or 0.
func (c *conn) takeData(data []byte) (n, status int) {
	switch c.body {
	case bodyLength:
		return c.takeLength(data), 0
	case bodyChunked:
		return c.takeChunks(data)
	default:
		return c.takeHead(data)
	}
}

// takeHead collects the head of a message and passes it to the parser when it
// is complete and well-formed.
func (c *conn) takeHead(data []byte) (n, status int) {
	if len(c.head) == 0 {
		c.armHeadTimeout()
	}
	seen := len(c.head)
	limit := c.s.limits().HeadBytes
	part := data[:max(0, min(len(data), limit+1-seen))] // one byte more shows that it is too long
	if !c.reserveHead(int64(len(part))) {
		return 0, http.StatusServiceUnavailable
	}
	c.head = append(c.head, part...)
	end := heads.End(c.head, seen)
	status = c.checkHead(end, limit)
	if status != 0 {
		c.req = c.unparsedExchange(c.head)
		return 0, status
	}
	if end == 0 {
		return len(data), 0
	}
	head := c.head[:end]
	c.head = nil
	n = end - seen
	c.rest = len(data) - n
	return n, c.parse(heads.WithoutFraming(head))
}

// checkHead returns the status to refuse the collected head with, or 0. end is
// the length of the head, 0 when it is not complete. What the parsed head takes is reserved.
func (c *conn) checkHead(end, limit int) (status int) {
	if end > limit || (end == 0 && len(c.head) > limit) {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if end == 0 {
		return 0
	}
	f, err := heads.Request(c.head[:end])
	if err != nil {
		return http.StatusBadRequest
	}
	c.framing = f
	if !c.reserveHead(headCost(0, bytes.Count(c.head[:end], []byte("\n")))) {
		return http.StatusServiceUnavailable
	}
	if timeout := c.s.limits().BodyTimeout; timeout > 0 && (f.Chunked || f.Length > 0) {
		c.armReadTimer(timeout)
	}
	return 0
}

// unparsedExchange returns an exchange for a head that is not passed to the
// parser, nil if its message can be no repeat. Of its header fields it has those that show
// whether it is one: any number of others may come.
func (c *conn) unparsedExchange(head []byte) *Exchange {
	if c.s.opts.MayBeRepeat == nil {
		return nil
	}
	x := &Exchange{c: c}
	x.Method, x.URI, x.Header = heads.ParsePartial(head, c.s.opts.RepeatFields...)
	x.Remote = c.remote.Addr()
	return x
}

// parse passes a head to the parser and returns the status to refuse the message with,
// or 0.
func (c *conn) parse(head []byte) (status int) {
	if err := c.parser.Parse(head); err != nil {
		return http.StatusBadRequest
	}
	return 0
}

// armHeadTimeout bounds the time from the first byte of a message to its end.
// Without it, a caller that sends a byte now and then would hold a connection
// and its buffers indefinitely, and the connections gauge would grow without
// requests.
func (c *conn) armHeadTimeout() {
	c.armReadTimer(c.s.limits().ReadTimeout)
}

// armReadTimer bounds the receipt of the rest of the message, unless an earlier
// one has not been answered yet.
func (c *conn) armReadTimer(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pipeline.empty() {
		return
	}
	c.await(awaitMessage, timeout)
}

// refuse answers a message that cannot be processed and closes the connection.
// While an earlier exchange is in flight its answer must come first, so refuse
// only marks the connection as closing.
func (c *conn) refuse(status int) {
	x := c.refusedExchange(status)
	c.dropPartial()
	c.mu.Lock()
	if c.phase != phaseOpen {
		c.mu.Unlock()
		return
	}
	c.phase = phaseLast
	if !c.pipeline.empty() {
		c.mu.Unlock()
		return
	}
	if x.Refused != 0 {
		c.startExchange(x)
	}
	c.mu.Unlock()
	if x.Refused != 0 {
		c.serve(x)
		return
	}
	c.refuseAndClose(status, ClosedRefused)
}

// refuseAndClose sends a refusal of this package as the connection's last answer.
func (c *conn) refuseAndClose(status int, why CloseReason) {
	h, body := c.s.opts.Refusal(status)
	c.write(&Exchange{c: c}, true, status, h, body)
	c.close(why)
}

// refusedExchange returns the exchange of a refused message. If the message may
// be a repeat, its Refused is set and it goes to the handler. The header fields
// are cloned because the parser may continue with the message.
func (c *conn) refusedExchange(status int) *Exchange {
	x := &Exchange{c: c}
	x.close = true
	mayBeRepeat := c.s.opts.MayBeRepeat
	if c.req == nil || mayBeRepeat == nil || !mayBeRepeat(c.req.Header) {
		return x
	}
	x.Request = c.req.Request
	x.Header = c.req.Header.Clone()
	x.Body = nil
	x.close = true
	x.Refused = status
	return x
}

// dispatch accepts a parsed request: it is served at once, or queued behind
// those in flight.
func (c *conn) dispatch(x *Exchange) {
	untaken := c.unsent.len()
	c.mu.Lock()
	if c.phase != phaseOpen {
		c.mu.Unlock()
		x.release()
		return
	}
	if len(c.pipeline.waiting)+untaken >= c.s.maxPipelined() {
		c.phase = phaseLast // its caller sees the request as unread
		last := c.pipeline.empty()
		c.mu.Unlock()
		x.release()
		if last {
			c.close(ClosedRefused)
		}
		return
	}
	if x.close {
		c.phase = phaseLast
	}
	c.receiving = c.rest > 0 // its answer may come before the data is processed to its end
	c.pipeline.waiting = append(c.pipeline.waiting, x)
	started := c.admit()
	c.mu.Unlock()
	c.serveAll(started)
}

// maxPipelined bounds the requests of a connection that wait behind those in flight, and the
// answers that its caller has not taken.
const maxPipelined = 16

func (s *Server) maxPipelined() int {
	if s.opts.MaxPipelined > 0 {
		return s.opts.MaxPipelined
	}
	return maxPipelined
}

// startExchange adds x to the exchanges in flight and removes the deadline for its
// receipt. It must be called with mu held.
func (c *conn) startExchange(x *Exchange) {
	c.pipeline.inFlight = append(c.pipeline.inFlight, x)
	c.awaitNothing()
}

func (c *conn) serveAll(list []*Exchange) {
	for _, x := range list {
		c.serve(x)
	}
}

func (c *conn) serve(x *Exchange) {
	c.s.exchangeStarted()
	c.mu.Lock()
	c.requests++
	c.mu.Unlock()
	x.counted = true
	c.s.handler.Serve(x)
}

// write sends an answer. closing says that it is the last on the connection.
func (c *conn) write(x *Exchange, closing bool, status int, h http.Header, body []byte) {
	b := buffers.Get().(*bytes.Buffer)
	b.Reset()
	encodeHead(b, status, h, len(body), closing)
	sendBody := x.Method != http.MethodHead && heads.BodyAllowed(status)
	if sendBody && len(body) <= maxPooledBuffer {
		b.Write(body)
	}
	err := c.send(b.Bytes())
	if err == nil && sendBody && len(body) > maxPooledBuffer {
		err = c.send(body)
	}
	c.unsent.add(x, c.queued.Load(), c.written.Load())
	if err == nil && c.pending() {
		c.mu.Lock()
		c.takenBy.set(c.s.opts.WriteTimeout, c.writeTimedOut)
		c.mu.Unlock()
	}
	if b.Cap() <= 2*maxPooledBuffer {
		buffers.Put(b)
	}
}

func (c *conn) send(b []byte) error {
	c.queued.Add(int64(len(b)))
	return c.s.engine.Write(c.nbc, b)
}

// pending reports whether nbio still holds bytes that the kernel has not taken.
func (c *conn) pending() bool { return c.written.Load() < c.queued.Load() }

// onWritten is called when the kernel has taken n bytes. nbio holds the
// connection's lock during the call, so closing is left to another goroutine.
func (c *conn) onWritten(n int) {
	c.unsent.sent(c.written.Add(int64(n)))
	switch {
	case c.pending():
	case c.draining.Load():
		go c.linger()
	case c.s.closingIdle.Load():
		c.closeInStop()
	}
}

// reserveHead charges n bytes of the head that is being received to the clients' account.
func (c *conn) reserveHead(n int64) bool {
	if !c.s.opts.Account.reserve(n, c.partialHead.Load()) {
		return false
	}
	c.partialHead.Add(n)
	return true
}

// releasePartialHead releases the bytes reserved for a head whose message is not complete,
// and returns how many they were.
func (c *conn) releasePartialHead() int64 {
	n := c.partialHead.Swap(0)
	c.s.opts.Account.release(n)
	return n
}

// dropPartial drops what was received of an incomplete message. It must be called on the
// poller's goroutine, when nothing is received any more.
func (c *conn) dropPartial() {
	c.head, c.req, c.body = nil, nil, bodyNone
	c.content, c.chunks = body.Pieces{}, body.Chunks{}
	c.releasePartialHead()
	c.releasePartialBody()
}

// releasePartialBody releases the bytes reserved for an incomplete body.
func (c *conn) releasePartialBody() {
	if n := c.partialBody.Swap(0); n > 0 {
		c.s.bodyBytes.Add(-n)
	}
}
