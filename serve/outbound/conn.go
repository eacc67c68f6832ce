package outbound

import (
	"bytes"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// conn is one connection to a receiver.
type conn struct {
	p      *peer
	nbc    *nbio.Conn
	parser *nbhttp.Parser

	// built is set by the dialling goroutine and read by the poller's. The
	// kernel's poll set orders the two, which the race detector cannot see.
	built atomic.Bool

	// Guarded by p.mu.
	call  *Call // the one that has claimed the connection
	ended bool  // counted out
	since clock.Time

	partial atomic.Bool // part of an answer has come

	// Parsing state, touched only while the parser runs.
	answer  *Answer
	framed  bool // the head says how the body ends
	noReuse bool
}

// start writes the request of k.
func (c *conn) start(k *Call) {
	if !k.attach(c) {
		c.p.giveBack(c, k)
		return
	}
	b := buffers.Get().(*bytes.Buffer)
	b.Reset()
	encode(b, c.p.addr, k.req)
	_, err := c.nbc.Write(b.Bytes())
	if b.Cap() <= 2*maxPooledBuffer {
		buffers.Put(b)
	}
	k.wrote(err)
	if err != nil {
		c.nbc.Close()
	}
}

// onData feeds the parser; an answer it cannot read ends the connection.
func (c *conn) onData(_ *nbio.Conn, data []byte) {
	if !c.built.Load() {
		return
	}
	if c.answer == nil {
		data = withReason(data)
	}
	if err := c.parser.Parse(data); err != nil {
		c.nbc.CloseWithError(err)
	}
}

// Parts of a status line with an empty reason phrase.
const (
	statusLine  = "HTTP/1.1 200 "
	emptyReason = "\r\n"
	someReason  = "Status"
)

// withReason gives a status line without a reason phrase one. nbhttp skips line
// ends in search of it and takes the first header field for the phrase: the
// field is lost, and with it, if it is the length, the answer. A status line
// that comes in two pieces, or in one piece with an interim answer, is not
// mended.
func withReason(data []byte) []byte {
	n := len(statusLine)
	if len(data) < n+len(emptyReason) || data[n-1] != ' ' || string(data[n:n+len(emptyReason)]) != emptyReason {
		return data
	}
	if !bytes.HasPrefix(data, []byte("HTTP/1.")) {
		return data
	}
	return slices.Concat(data[:n], []byte(someReason), data[n:])
}

// onClose is called once when the connection has gone, on a goroutine of its
// own: the parser may still be at work.
func (c *conn) onClose(err error) {
	k := c.p.drop(c)
	c.p.countOut(c)
	if k == nil {
		return
	}
	reason := verdict.ReasonConnectionLost
	if c.partial.Load() {
		// The answer had begun: what there is of it is never handed on as
		// whole, and whether the request ran to its end is not known.
		reason = verdict.ReasonAnswerCut
	}
	k.lose(reason, err)
}

// The methods below implement nbhttp.Processor, the parser's callbacks.

// OnMethod implements nbhttp.Processor.
func (c *conn) OnMethod(*nbhttp.Parser, string) {}

// OnURL implements nbhttp.Processor.
func (c *conn) OnURL(*nbhttp.Parser, string) error { return nil }

// OnProto implements nbhttp.Processor.
func (c *conn) OnProto(_ *nbhttp.Parser, proto string) error {
	if !c.p.busy(c) {
		return errUnsolicited
	}
	c.answer = &Answer{Header: make(http.Header, headerHint)}
	c.partial.Store(true)
	c.framed = false
	c.noReuse = proto != "HTTP/1.1"
	return nil
}

// headerHint is the usual number of header fields of an answer.
const headerHint = 8

// OnStatus implements nbhttp.Processor.
func (c *conn) OnStatus(_ *nbhttp.Parser, code int, _ string) { c.answer.Status = code }

// OnHeader implements nbhttp.Processor.
func (c *conn) OnHeader(_ *nbhttp.Parser, key, value string) {
	switch key {
	case "Content-Length", "Transfer-Encoding":
		c.framed = true
	case "Connection":
		c.noReuse = c.noReuse || hasClose(value)
	}
	c.answer.Header[key] = append(c.answer.Header[key], value)
}

// hasClose reports whether a Connection field announces the connection's end.
// A receiver's word that is overlooked costs the next request on the connection
// its certainty: it is lost, and may have run.
func hasClose(value string) bool {
	for f := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.TrimSpace(f), "close") {
			return true
		}
	}
	return false
}

// OnContentLength implements nbhttp.Processor. It ends the head.
func (c *conn) OnContentLength(_ *nbhttp.Parser, length int) {
	if len(c.answer.Header["Content-Length"]) > 1 {
		// nbhttp takes the first; which of them makes the answer whole cannot
		// be told.
		c.fail(verdict.Ran, verdict.ReasonAnswerCut, errLengths)
		return
	}
	if length > c.p.pool.opts.MaxAnswerBytes {
		c.fail(verdict.Ran, verdict.ReasonAnswerCut, errAnswerTooLong)
		return
	}
	if length > 0 {
		c.answer.Body = make([]byte, 0, length)
	}
	if length > 0 && c.answer.Status == http.StatusNotModified {
		// The length of a 304 describes the entity, not a body that follows;
		// the parser would wait for that body until the deadline.
		c.noReuse = true
		c.complete()
	}
}

var (
	errAnswerTooLong = errors.New("outbound: answer longer than the limit")
	errUnframed      = errors.New("outbound: answer without a length")
	errLengths       = errors.New("outbound: answer with two lengths")
	errUnsolicited   = errors.New("outbound: answer without a request")
)

// OnBody implements nbhttp.Processor.
func (c *conn) OnBody(_ *nbhttp.Parser, data []byte) error {
	if c.answer == nil {
		return nil
	}
	if len(c.answer.Body)+len(data) > c.p.pool.opts.MaxAnswerBytes {
		c.fail(verdict.Ran, verdict.ReasonAnswerCut, errAnswerTooLong)
		return errAnswerTooLong
	}
	c.answer.Body = append(c.answer.Body, data...)
	return nil
}

// OnTrailerHeader implements nbhttp.Processor. Trailers are not passed on.
func (c *conn) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor.
func (c *conn) OnComplete(*nbhttp.Parser) { c.complete() }

// complete hands a whole answer on and frees the connection.
func (c *conn) complete() {
	a := c.answer
	if a == nil {
		return
	}
	if a.Status < http.StatusOK {
		c.endAnswer() // interim; the final one follows
		return
	}
	if !c.framed && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		// The end of such an answer is the end of the connection, which looks
		// the same when the receiver dies: wholeness cannot be told, and the
		// parser reports it complete with no body at all.
		c.fail(verdict.Ran, verdict.ReasonAnswerCut, errUnframed)
		return
	}
	c.endAnswer()
	k := c.p.release(c)
	if k != nil {
		k.finish(a, nil)
	}
}

func (c *conn) endAnswer() {
	c.answer = nil
	c.partial.Store(false)
}

// fail ends the call in flight and the connection.
func (c *conn) fail(v verdict.Verdict, r verdict.Reason, err error) {
	c.endAnswer()
	k := c.p.drop(c)
	if k != nil {
		k.finish(nil, &verdict.Error{Verdict: v, Reason: r, Err: err})
	}
	c.nbc.Close()
}

// Close implements nbhttp.Processor.
func (c *conn) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (c *conn) Clean(*nbhttp.Parser) {}

// idleFor returns how long the connection has been free.
func (c *conn) idleFor(now clock.Time) time.Duration { return now.Sub(c.since) }
