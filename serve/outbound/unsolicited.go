package outbound

import (
	"net/http"
	"strconv"
	"time"

	"github.com/azurethread/azurethread/serve/heads"
)

// UnsolicitedKind says how it shows that received bytes belong to no request.
type UnsolicitedKind string

// Kinds of bytes that belong to no request.
const (
	UnsolicitedIdle    UnsolicitedKind = "idle"    // they came while the connection carried no request
	UnsolicitedForeign UnsolicitedKind = "foreign" // the head of an answer that cannot be the request's
	UnsolicitedBehind  UnsolicitedKind = "behind"  // they came together with the end of an answer
	// UnsolicitedTaken is an answer without a name that was taken for a request's: the
	// receiver has answered the request after it.
	UnsolicitedTaken UnsolicitedKind = "taken"
)

// Unsolicited describes bytes of a receiver that belong to no request.
type Unsolicited struct {
	Addr string // of the receiver
	Kind UnsolicitedKind
	// Request is the one that the connection carried, or the latest; nil: there was none.
	Request *Request
}

// reportUnsolicited reports bytes that belong to no request.
func (c *conn) reportUnsolicited(kind UnsolicitedKind, r *Request) {
	if report := c.p.pool.opts.Unsolicited; report != nil {
		report(Unsolicited{Addr: c.p.addr, Kind: kind, Request: r})
	}
}

// unexpectedKind returns the kind of bytes for which no request waits.
func (c *conn) unexpectedKind() UnsolicitedKind {
	if c.behind {
		return UnsolicitedBehind
	}
	return UnsolicitedIdle
}

// watchTime is how long a connection is read on after an answer that may not be its
// request's.
const watchTime = 2 * time.Second

// watch closes c later, to see whether r is answered after the answer that was taken for its
// own. One connection of a receiver is watched at a time. It reports false if another one is.
func (c *conn) watch(r *Request) bool {
	if !c.p.beginWatch(c) {
		return false
	}
	c.watched = r
	time.AfterFunc(watchTime, func() { c.close(ClosedNotReusable) })
	return true
}

// takeWatched takes data that is received on a watched connection.
func (c *conn) takeWatched(data []byte) {
	seen := len(c.head)
	c.head = append(c.head, data[:min(len(data), maxAnswerHeads-seen)]...)
	end := heads.End(c.head, seen)
	if end == 0 && len(c.head) < maxAnswerHeads {
		return
	}
	_, status, fields := heads.ParsePartial(c.head[:end])
	code, err := strconv.Atoi(status)
	if err == nil && code >= http.StatusOK {
		kind := c.unexpectedKind()
		if c.watched.ownerOf(Head{Status: code, Header: fields, Reused: true}) == Own {
			kind = UnsolicitedTaken
		}
		c.reportUnsolicited(kind, c.watched)
	}
	c.close(ClosedNotReusable)
}
