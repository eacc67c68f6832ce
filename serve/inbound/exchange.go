package inbound

import (
	"bytes"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/azurethread/azurethread/serve/heads"
)

// Request is one complete request of a caller.
type Request struct {
	Method string
	URI    string // path and query as sent
	Header http.Header
	Body   []byte
	Remote netip.Addr // the caller's address
	close  bool       // the caller asked for the connection to be closed
	http10 bool
}

// Exchange is one request and its answer.
type Exchange struct {
	Request
	// Refused is the status that the message was refused with, 0 for a request
	// that was accepted. For a refused message Header holds the fields that
	// could be read, and Body is nil.
	Refused int

	c *conn

	mu         sync.Mutex
	callerGone bool
	closed     CloseReason // why the connection ended before the answer; "" if it did not
	answered   bool
	onGone     func()
	counted    bool // included in the server's count of exchanges in flight

	bodyBytes atomic.Int64 // bytes of the body counted by Server.reserveBody
	headBytes atomic.Int64 // bytes of the head reserved in the clients' account
	answer    *answer      // guarded by the connection's mu; nil: none yet
	onSent    func()       // set before the answer is given; may be nil
}

// OnSent registers f to be called once when nothing of the answer is in memory any more:
// the kernel has taken all of it, or its caller is gone. It must be called before
// Respond, at most once. f must not block.
func (x *Exchange) OnSent(f func()) { x.onSent = f }

func (x *Exchange) sent() {
	if x.onSent != nil {
		x.onSent()
	}
}

// OnCallerGone registers f to be called once if the caller closes its connection
// before the answer. If that has already happened, f is called at once.
func (x *Exchange) OnCallerGone(f func()) {
	x.mu.Lock()
	gone := x.callerGone
	x.onGone = f
	x.mu.Unlock()
	if gone {
		f()
	}
}

// Respond answers the exchange. Only the first call has an effect; later ones
// return false, as does a call whose caller has disconnected. Connection,
// Content-Length and Transfer-Encoding in h are ignored: this package writes
// them itself.
func (x *Exchange) Respond(status int, h http.Header, body []byte) bool {
	x.mu.Lock()
	if x.answered {
		x.mu.Unlock()
		return false
	}
	x.answered = true
	gone := x.callerGone
	x.mu.Unlock()
	x.release()
	x.c.queueAnswer(x, answer{status, h, body})
	return !gone
}

// Drop ends the exchange of a caller that has disconnected, without an answer.
// An exchange counts as in flight until it is answered or dropped.
func (x *Exchange) Drop() { x.Respond(statusCallerGone, nil, nil) }

// statusCallerGone is the status recorded for a caller that has disconnected.
const statusCallerGone = 499

// interimProcessing is the interim answer sent by Acknowledge.
var interimProcessing = []byte("HTTP/1.1 102 Processing\r\n\r\n")

// Acknowledge tells the caller, before the answer, that the complete request
// was received. Only a handler may call it, before Serve returns, and only on
// connections that carry one request at a time.
func (x *Exchange) Acknowledge() { _ = x.c.send(interimProcessing) } // an error means that the connection failed

// isCallerGone reports whether the caller disconnected before the answer.
func (x *Exchange) isCallerGone() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.callerGone
}

// release releases the bytes reserved for the request. The answer and the end of the
// connection may both call it, at the same time.
func (x *Exchange) release() {
	x.c.s.bodyBytes.Add(-x.bodyBytes.Swap(0))
	x.c.s.opts.Account.release(x.headBytes.Swap(0))
}

// CloseReason returns why the connection was closed before the answer, "" if it
// was not.
func (x *Exchange) CloseReason() CloseReason {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.closed
}

// setCallerGone records that the connection was closed and calls the
// OnCallerGone callback.
func (x *Exchange) setCallerGone(why CloseReason) {
	x.mu.Lock()
	if x.callerGone || x.answered {
		x.mu.Unlock()
		return
	}
	x.callerGone = true
	x.closed = why
	f := x.onGone
	x.mu.Unlock()
	x.release()
	if f != nil {
		f()
	}
}

// ownHeaders are the response fields that this package writes itself.
var ownHeaders = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Transfer-Encoding": true,
	"Keep-Alive":        true,
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer is the largest answer body that is copied into a pooled
// buffer, in bytes, so that one large answer does not keep its buffer
// allocated.
const maxPooledBuffer = 64 << 10

// encodeHead writes the status line and the header fields.
func encodeHead(b *bytes.Buffer, status int, h http.Header, length int, closing bool) {
	b.WriteString("HTTP/1.1 ")
	b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(status), 10))
	b.WriteByte(' ')
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	b.WriteString(text)
	b.WriteString("\r\n")
	_ = h.WriteSubset(b, ownHeaders) // a bytes.Buffer does not fail
	if heads.BodyAllowed(status) {
		b.WriteString("Content-Length: ")
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(length), 10))
		b.WriteString("\r\n")
	}
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
}
