package outbound

import (
	"fmt"
	"net/http"
	"time"

	"github.com/azurethread/azurethread/decide/verdict"
)

// Ownership says whether an answer belongs to the request that its connection carries.
type Ownership uint8

const (
	// Own means that the answer names the request, or that the receiver answers each
	// request once and sends nothing else.
	Own Ownership = iota
	// Unnamed means that the answer names no request. It ends the request, and is the last
	// one on its connection.
	//
	// It is the request's if it is the first one on its connection. A receiver may send
	// additional bytes after an answer: copies of earlier answers, or any other bytes, at
	// once or as late as where the next answer is due. So behind an answer, nothing without
	// a name proves anything of a request: the call fails with an UnprovedError.
	Unnamed
	// Foreign means that the answer belongs to another request, or to none. The request
	// goes on waiting for its own.
	Foreign
)

// Head is what OwnerOf and HeadReceived are told of an answer.
type Head struct {
	Status int
	Header http.Header
	// Reused means that the connection has carried an answer to an earlier request, for the
	// same Request.Receiver.
	Reused bool
	// Proved means that the answer is the request's. It is not known yet to OwnerOf.
	Proved bool
}

// UnprovedError is the cause of a call's end by an answer that may not be its own. The request
// may have run, whatever the answer states.
type UnprovedError struct {
	Status    int
	Earlier   int           // answers that the connection had carried before
	HeadAfter time.Duration // from the write of the request to the head of the answer
	RTT       time.Duration // the shortest one on the connection; 0: not known
}

// Error implements error.
func (e *UnprovedError) Error() string {
	return fmt.Sprintf("outbound: an answer with status %d names no request, and its connection had carried %d answers before", e.Status, e.Earlier)
}

// assign decides whether the answer whose head was received belongs to k, the call that c
// carries.
func (c *conn) assign(a *Answer, k *Call) {
	h := Head{Status: a.Status, Header: a.Header, Reused: c.reused}
	owner := k.req.ownerOf(h)
	c.noReuse = c.noReuse || owner != Own
	if owner == Foreign {
		c.foreignAnswer = true
		c.reportUnsolicited(UnsolicitedForeign, k.req)
		return
	}
	a.HeadAfter = k.sinceWrite(c.p.pool.opts.Now())
	if owner == Unnamed {
		a.RTT = c.minRTT()
	}
	h.Proved = owner == Own || a.Earlier == 0
	if k.req.HeadReceived != nil {
		k.req.HeadReceived(h)
	}
	if !h.Proved {
		c.endUnproved(a, k)
	}
}

// endUnproved ends k by an answer that may not be its own. The rest of that is dropped.
func (c *conn) endUnproved(a *Answer, k *Call) {
	c.foreignAnswer = true
	if c.p.detach(c) == k {
		k.finish(nil, &verdict.Error{
			Verdict: verdict.MayHaveRun, Reason: verdict.ReasonUnproved,
			Err: &UnprovedError{Status: a.Status, Earlier: a.Earlier, HeadAfter: a.HeadAfter, RTT: a.RTT},
		})
	}
	if !c.watch(k.req) {
		c.close(ClosedNotReusable)
	}
}
