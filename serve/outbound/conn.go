package outbound

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/sys/unix"

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

// takeHead collects the head of an answer and passes it to the parser when it
// is complete and well-formed.
func (c *conn) takeHead(data []byte) (int, error) {
	if c.watched != nil {
		c.takeWatched(data)
		return len(data), nil
	}
	if !c.p.expectsAnswer(c) {
		c.reportUnsolicited(c.unexpectedKind(), nil)
		return 0, errUnsolicited
	}
	seen := len(c.head)
	c.head = append(c.head, data...)
	if !bytes.HasPrefix(c.head, httpPrefix[:min(len(httpPrefix), len(c.head))]) {
		return 0, errMalformedHead
	}
	c.answerStarted.Store(true)
	end := heads.End(c.head, seen)
	received := end
	if end == 0 {
		received = len(c.head)
	}
	if c.headBytes+received > maxAnswerHeads {
		return 0, errHeadsTooLong
	}
	if end == 0 {
		return len(data), c.grow(len(data))
	}
	c.headBytes += end
	head := c.head[:end]
	c.head = nil
	f, status, err := heads.Response(head)
	if err == nil && c.answers > 0 && heads.ContainsStatusLine(head) {
		err = errSpliced
	}
	if err != nil {
		if status > 0 && c.answers == 0 {
			// The target has answered, but the end of the answer cannot be
			// determined.
			c.fail(verdict.Ran, verdict.ReasonAnswerCut, err)
		}
		return 0, fmt.Errorf("outbound: %w", err)
	}
	c.framing = f
	n := end - seen
	if status >= http.StatusOK && c.endsWithHead(status) {
		c.endsWithin(data, n)
	}
	return n, c.parser.Parse(heads.WithoutFraming(withReason(head)))
}

// httpPrefix is the start of every answer.
var httpPrefix = []byte("HTTP/1.")

// awaitClose holds the socket of an answer that ends with its connection, so that
// the way it ended can be checked after nbio has closed it. nbio reports a connection
// that ended with an error event as closed cleanly, without reading from it, and a
// truncated answer would be taken for complete.
func (c *conn) awaitClose(a *Answer) {
	socket, release, err := c.p.pool.engine.Hold(c.nbc)
	if err != nil {
		return // the answer will count as truncated
	}
	c.closeDelimited.Store(&closeDelimitedAnswer{answer: a, socket: socket, release: release})
}

// closeDelimitedAnswer is an answer that ends with its connection.
type closeDelimitedAnswer struct {
	answer  *Answer
	socket  int // duplicate of the connection's socket
	release func()
}

// endedCleanly reports whether the receiver closed the connection without an
// error, and closes the duplicate socket.
func (e *closeDelimitedAnswer) endedCleanly() bool {
	defer e.release()
	var more [1]byte
	n, err := syscall.Read(e.socket, more[:])
	return n == 0 && err == nil
}

// Parts of a status line with an empty reason phrase.
const (
	exampleStatusLine = "HTTP/1.1 200"
	defaultReason     = " Status"
)

// withReason adds a reason phrase to the status line of a checked head if it
// has none. nbhttp would skip the line end in search of one and take the first
// header field for the phrase: the field would be lost, and with it the answer
// if it was the length.
func withReason(head []byte) []byte {
	n := len(exampleStatusLine)
	end := bytes.IndexByte(head, '\r')
	if len(bytes.TrimSpace(head[n:end])) > 0 {
		return head
	}
	return slices.Concat(head[:n], []byte(defaultReason), head[end:])
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

// The methods below implement nbhttp.Processor, the parser's callbacks.

// OnMethod implements nbhttp.Processor.
func (c *conn) OnMethod(*nbhttp.Parser, string) {}

// OnURL implements nbhttp.Processor.
func (c *conn) OnURL(*nbhttp.Parser, string) error { return nil }

// OnProto implements nbhttp.Processor.
func (c *conn) OnProto(_ *nbhttp.Parser, proto string) error {
	if !c.p.expectsAnswer(c) {
		return errUnsolicited
	}
	c.answer = &Answer{Header: make(http.Header, typicalHeaderFields), ConnectTime: c.connected}
	c.answerStarted.Store(true)
	c.foreignAnswer = false
	c.noReuse = c.noReuse || proto != "HTTP/1.1"
	return nil
}

// typicalHeaderFields is the usual number of header fields of an answer.
const typicalHeaderFields = 8

// OnStatus implements nbhttp.Processor.
func (c *conn) OnStatus(_ *nbhttp.Parser, code int, _ string) { c.answer.Status = code }

// OnHeader implements nbhttp.Processor.
func (c *conn) OnHeader(_ *nbhttp.Parser, key, value string) {
	switch key {
	case "Connection":
		c.noReuse = c.noReuse || hasClose(value)
	}
	c.answer.Header[key] = append(c.answer.Header[key], value)
}

// hasClose reports whether a Connection field announces that the connection
// will be closed. If that is missed, the next request on the connection is lost
// and may have run.
func hasClose(value string) bool {
	for f := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.TrimSpace(f), "close") {
			return true
		}
	}
	return false
}

// OnContentLength implements nbhttp.Processor. The parser sees no length.
func (c *conn) OnContentLength(*nbhttp.Parser, int) {}

var (
	errAnswerTooLong = errors.New("outbound: body of the answer exceeds the limit")
	errUnframed      = errors.New("outbound: answer states neither length nor chunked encoding")
	errMalformedHead = errors.New("outbound: received data is not the head of an HTTP/1 answer")
	errSpliced       = errors.New("outbound: the head of an answer contains another status line")
	errClosing       = errors.New("outbound: connection is being closed")
	errUnsolicited   = errors.New("outbound: unsolicited data from the receiver")
	errHeadsTooLong  = fmt.Errorf("outbound: heads of more than %d bytes for one request", maxAnswerHeads)
	errOverhead      = fmt.Errorf("outbound: more than %d bytes without a part of the answer's body", maxOverhead)
	errBudget        = errors.New("outbound: answers exceed the memory set aside for them")
)

// OnBody implements nbhttp.Processor. The parser sees no body.
func (c *conn) OnBody(*nbhttp.Parser, []byte) error { return nil }

// OnTrailerHeader implements nbhttp.Processor.
func (c *conn) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor. It ends the head.
func (c *conn) OnComplete(*nbhttp.Parser) {
	a, f := c.answer, c.framing
	if a == nil {
		return
	}
	if f.Length >= 0 {
		a.Header["Content-Length"] = []string{strconv.FormatInt(f.Length, 10)}
	}
	k := c.p.callOf(c)
	if a.Status < http.StatusOK {
		if a.Status == http.StatusProcessing && k != nil && k.req.Acknowledged != nil && k.req.ownerOf(Head{Status: a.Status, Header: a.Header}) != Foreign {
			k.req.Acknowledged()
		}
		c.resetAnswer() // the final answer follows
		return
	}
	a.Earlier = c.answers
	c.answers++
	if k != nil {
		c.assign(a, k)
	}
	c.beginBody(k)
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

// keepAliveTimeout returns how long the receiver keeps an idle connection open,
// or 0 if it does not say.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for f := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if s, err := strconv.Atoi(value); err == nil && s >= 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return 0
}

// fail ends the call in flight and closes the connection.
func (c *conn) fail(v verdict.Verdict, r verdict.Reason, err error) {
	c.resetAnswer()
	k := c.p.detach(c)
	if k != nil {
		k.finish(nil, &verdict.Error{Verdict: v, Reason: r, Err: err})
	}
	c.close(ClosedInvalid)
}

// close closes the connection. The first reason counts.
func (c *conn) close(why CloseReason) {
	c.p.noteClose(c, why)
	c.p.pool.engine.Close(c.nbc)
}

// maxSendAfterAnswer is how long the rest of a request is sent on after its answer.
const maxSendAfterAnswer = 20 * time.Second

// closeWhenSent closes the connection after its last answer. A receiver may answer before it
// has read the whole request, and read on: nbio's Close would drop what it has queued.
func (c *conn) closeWhenSent() {
	c.p.noteClose(c, ClosedNotReusable)
	c.lastSent.Store(true)
	if !c.sending() {
		c.p.pool.engine.Close(c.nbc)
		return
	}
	time.AfterFunc(maxSendAfterAnswer, func() { c.close(ClosedNotReusable) })
}

// sending reports whether nbio holds bytes that the kernel has not taken.
func (c *conn) sending() bool { return c.written.Load() < c.queued.Load() }

// onWritten is called when the kernel has taken n bytes. nbio holds the connection's lock
// during the call, so closing is left to the poller.
func (c *conn) onWritten(n int) {
	c.written.Add(int64(n))
	if c.lastSent.Load() && !c.sending() {
		c.p.pool.engine.Run(c.nbc, func() { c.close(ClosedNotReusable) })
	}
}

// abort closes the connection of a cancelled request. What the receiver's side has not
// acknowledged is dropped with a reset: the kernel would go on delivering it, and a request
// that a broken path holds up would run long after it was given up.
func (c *conn) abort() {
	engine := c.p.pool.engine
	engine.Run(c.nbc, func() {
		_ = engine.Control(c.nbc, resetIfUntaken) // an error means that it is closed
		c.close(ClosedCancelled)
	})
}

// resetIfUntaken makes the close of a socket a reset unless everything that was written is
// acknowledged. If that is not known, it is a reset.
func resetIfUntaken(fd uintptr) {
	if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil && n == 0 {
		return
	}
	_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}) // otherwise it is an orderly close
}

// Close implements nbhttp.Processor.
func (c *conn) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (c *conn) Clean(*nbhttp.Parser) {}

// idleFor returns how long the connection has been idle.
func (c *conn) idleFor(now clock.Time) time.Duration { return now.Sub(c.idleSince) }
