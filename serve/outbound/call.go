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
	// Host is the value of the Host field; empty: the receiver's address.
	Host string
	// OwnerOf says whether an answer belongs to this request; nil: every answer does.
	OwnerOf func(Head) Ownership
	// Receiver identifies the process that is to answer. A connection on which another one
	// has answered is not used. Empty: any may answer.
	Receiver string
	// Unused asks for a connection that has carried no answer: the first one is proof
	// without a name.
	Unused bool
	// MayEndByClose accepts an answer without a length as complete when the
	// receiver has closed the connection cleanly.
	MayEndByClose bool
	// ConnectTimeout bounds the time to open a connection; 0: Options.DialTimeout.
	ConnectTimeout time.Duration
	// NewConnection asks for a new connection even if one is idle, because the idle
	// ones are suspected to be silent.
	NewConnection bool
	// HeadReceived is called with the head of the answer, before its body is
	// received: the answer may still fail. It must not block; may be nil.
	HeadReceived func(Head)
	// Acknowledged is called when the receiver reports, before its answer, that
	// it has received the request. It must not block; may be nil.
	Acknowledged func()
	// KeepSpare asks for one more connection if the request takes the last idle
	// one.
	KeepSpare bool
}

// Answer is one complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// ConnectTime is the time it took to open the connection, if it was opened
	// for a request and this is its first answer; otherwise 0.
	ConnectTime time.Duration
	// ConnectionWait is how long the request waited for a connection; 0 if one was
	// idle.
	ConnectionWait time.Duration
	// Earlier is the number of answers that the connection had carried before.
	Earlier int
	// HeadAfter is the time from the write of the request to the head of the answer.
	HeadAfter time.Duration
	// RTT is the shortest round-trip time that the kernel has seen on the connection, for an
	// answer that names no request; 0: not known.
	RTT time.Duration

	hold *holding // nil: no budget
}

// Release ends the holding of a's bytes in the pool's budget. Whoever gets an answer
// calls it once the answer is passed on or dropped.
func (a *Answer) Release() { a.hold.release() }

// Done receives the outcome of a call: exactly one of the arguments is not nil.
// It runs on a poller's goroutine and must not block.
type Done func(*Answer, *verdict.Error)

// Call is one request in progress.
type Call struct {
	req      *Request
	done     Done
	queuedAt clock.Time // start of its wait for a connection; 0: it did not wait

	mu        sync.Mutex
	c         *conn          // connection the request is written to, until the call has finished
	given     bool           // to a connection
	waited    time.Duration  // for that connection
	writtenAt clock.Time     // start of the write
	writing   bool           // the request is being written
	lost      *verdict.Error // set if the connection closes during the write
	finished  bool
}

// finish reports the outcome; only the first call has an effect and returns true.
func (k *Call) finish(a *Answer, err *verdict.Error) bool {
	k.mu.Lock()
	if k.finished {
		k.mu.Unlock()
		return false
	}
	k.end()
	if a != nil {
		a.ConnectionWait = k.waited
	}
	k.mu.Unlock()
	k.done(a, err)
	return true
}

// end records that the call has finished. The connection is dropped with what it has received
// of an answer: whoever sent the request may keep the call for long. It must be called with
// mu held.
func (k *Call) end() { k.finished, k.c = true, nil }

// attach records the connection that the request is about to be written to. It
// returns false if the call has finished meanwhile.
func (k *Call) attach(c *conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.finished {
		return false
	}
	k.c, k.given = c, true
	k.writing = true
	k.writtenAt = c.p.pool.opts.Now()
	if k.queuedAt > 0 {
		k.waited = k.writtenAt.Sub(k.queuedAt)
	}
	return true
}

// ownerOf says whether the answer with this head belongs to the request.
func (r *Request) ownerOf(h Head) Ownership {
	if r.OwnerOf == nil {
		return Own
	}
	return r.OwnerOf(h)
}

// sinceWrite returns how long ago the write of the request began.
func (k *Call) sinceWrite(now clock.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.writtenAt)
}

// attached reports whether the request has been given to a connection.
func (k *Call) attached() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.given
}

// writeDone handles the outcome of writing the request.
func (k *Call) writeDone(err error) {
	k.mu.Lock()
	k.writing = false
	lost := k.lost
	k.mu.Unlock()
	switch {
	case err != nil:
		// An idle connection has nothing queued, so nbio writes to the socket
		// at once and returns an error only if the kernel took no byte.
		k.finish(nil, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectionLost, Err: err})
	case lost != nil:
		k.finish(nil, lost)
	}
}

// connectionLost handles the close of the connection that the call has claimed.
// A request that was not written yet has not run and never will on this
// connection. One that is being written is left to writeDone, which learns
// whether the connection took any of it: otherwise a receiver that closes idle
// connections as it leaves would turn requests that it never received into
// may-have-run.
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
	if !k.given {
		e.Verdict = verdict.NotRun
	}
	k.end()
	k.mu.Unlock()
	k.done(nil, e)
}

// Cancel abandons the call. Before the request was given to a connection the
// outcome is not-run; afterwards the connection is closed, which also notifies
// the receiver and drops what it has not received, and the outcome is may-have-run.
func (k *Call) Cancel(reason verdict.Reason) {
	k.mu.Lock()
	if k.finished {
		k.mu.Unlock()
		return
	}
	c := k.c
	k.end()
	k.mu.Unlock()
	if c == nil {
		k.done(nil, &verdict.Error{Verdict: verdict.NotRun, Reason: reason})
		return
	}
	if c.p.takeBack(c, k) {
		c.abort()
	}
	k.done(nil, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reason})
}

// CancelUnsent abandons the call if the request was not given to a connection yet;
// the outcome is not-run. Otherwise the call continues.
func (k *Call) CancelUnsent(reason verdict.Reason) {
	k.mu.Lock()
	if k.finished || k.given {
		k.mu.Unlock()
		return
	}
	k.end()
	k.mu.Unlock()
	k.done(nil, &verdict.Error{Verdict: verdict.NotRun, Reason: reason})
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer bounds the buffers that are reused, so that one large request
// does not keep its buffer allocated.
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

// encode writes the request in one piece, so that a connection takes either
// nothing of it or as much as the kernel accepts.
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
