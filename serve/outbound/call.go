package outbound

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Request is one request to send. Header must hold end-to-end fields only.
type Request struct {
	Method string
	URI    string // path and query
	Header http.Header
	Body   []byte
	// Host is the Host field; empty: the receiver's address.
	Host string
	// Own reports whether an answer with these fields is one to this request;
	// nil: every answer is.
	Own func(status int, h http.Header) bool
	// MayEndByClose takes an answer without a length as whole when the receiver
	// has ended the connection in good order.
	MayEndByClose bool
	// Connect bounds the opening of a connection; 0: Options.DialTimeout.
	Connect time.Duration
	// Fresh asks for a new connection even where one is free: the free ones
	// are suspected to have gone silent.
	Fresh bool
	// Acknowledged is called when the receiver says, before its answer, that it has
	// the request. It must not block; nil: nobody asks.
	Acknowledged func()
	// Spare asks for one more connection where the request takes the last one
	// that is free.
	Spare bool
}

// Answer is one whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Connected is how long opening the connection took, if this is its first
	// answer and it was opened for a request; 0 otherwise.
	Connected time.Duration
	// Waited is how long the request waited for a connection; 0 when one was
	// free.
	Waited time.Duration
}

// Done receives the outcome of a call: exactly one of the two is not nil. It
// runs on a poller's goroutine and must not block.
type Done func(*Answer, *verdict.Error)

// Call is one request under way.
type Call struct {
	req      *Request
	done     Done
	queuedAt clock.Time // of its wait for a connection; 0: it did not wait

	mu       sync.Mutex
	c        *conn          // connection the request was handed to
	waited   time.Duration  // until it was
	writing  bool           // it is being handed over
	lost     *verdict.Error // the connection has ended meanwhile
	finished bool
}

// finish reports the outcome; only the first one counts.
func (k *Call) finish(a *Answer, err *verdict.Error) {
	k.mu.Lock()
	if k.finished {
		k.mu.Unlock()
		return
	}
	k.finished = true
	if a != nil {
		a.Waited = k.waited
	}
	k.mu.Unlock()
	k.done(a, err)
}

// attach notes the connection that is about to get the request. It reports
// false when the call has ended meanwhile.
func (k *Call) attach(c *conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.finished {
		return false
	}
	k.c = c
	k.writing = true
	if k.queuedAt > 0 {
		k.waited = c.p.pool.opts.Now().Sub(k.queuedAt)
	}
	return true
}

// attached reports whether the request has been handed to a connection.
func (k *Call) attached() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.c != nil
}

// writeDone takes the outcome of handing the request over.
func (k *Call) writeDone(err error) {
	k.mu.Lock()
	k.writing = false
	lost := k.lost
	k.mu.Unlock()
	switch {
	case err != nil:
		// A free connection has nothing queued, so nbio writes to the socket at
		// once and reports an error only if the kernel took no byte.
		k.finish(nil, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectionLost, Err: err})
	case lost != nil:
		k.finish(nil, lost)
	}
}

// connectionLost reports the end of the connection that the call has claimed. A request
// that was not handed over yet has not run, and never will on it. One that is
// being handed over is left to wrote, which learns whether the connection took
// any of it: a receiver that closes free connections as it leaves would
// otherwise turn requests that it never got into may-have-run.
func (k *Call) connectionLost(reason verdict.Reason, err error) {
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reason, Err: err}
	k.mu.Lock()
	if k.writing {
		k.lost = e
		k.mu.Unlock()
		return
	}
	if k.finished {
		k.mu.Unlock()
		return
	}
	if k.c == nil {
		e.Verdict = verdict.NotRun
	}
	k.finished = true
	k.mu.Unlock()
	k.done(nil, e)
}

// Cancel gives the call up. Before the request was handed to a connection the
// outcome is not-run; afterwards the connection is closed, which also tells
// the receiver, and the outcome is may-have-run.
func (k *Call) Cancel(reason verdict.Reason) {
	k.mu.Lock()
	if k.finished {
		k.mu.Unlock()
		return
	}
	k.finished = true
	c := k.c
	k.mu.Unlock()
	if c == nil {
		k.done(nil, &verdict.Error{Verdict: verdict.NotRun, Reason: reason})
		return
	}
	c.nbc.Close()
	k.done(nil, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reason})
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer keeps one large request from pinning its buffer for good.
const maxPooledBuffer = 64 << 10

// ownHeaders are the request fields that this package writes itself.
var ownHeaders = map[string]bool{
	"Host":              true,
	"Connection":        true,
	"Content-Length":    true,
	"Transfer-Encoding": true,
	"Keep-Alive":        true,
	"Expect":            true,
}

// encode writes the request in one piece, so that a connection gets either
// nothing or as much as the kernel takes.
func encode(b *bytes.Buffer, addr string, r *Request) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	if r.Host != "" {
		addr = r.Host
	}
	b.WriteString(addr)
	b.WriteString("\r\n")
	_ = r.Header.WriteSubset(b, ownHeaders) // a bytes.Buffer does not fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(len(r.Body)), 10))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
}
