package outbound

import (
	"fmt"

	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/body"
	"github.com/azurethread/azurethread/serve/heads"
)

// bodyState says how the body that is being received ends.
type bodyState uint8

const (
	bodyNone    bodyState = iota // no body is being received
	bodyLength                   // after a stated length
	bodyChunked                  // with its last chunk
	bodyClose                    // with the connection
)

const (
	// maxAnswerHeads bounds the heads received for one request, in bytes: that of its
	// answer, interim ones, and those of answers to other requests.
	maxAnswerHeads = 64 << 10
	// maxOverhead bounds the other bytes that are received without the answer's body
	// growing: the sizes of chunks, trailers, and bodies of answers to other requests.
	maxOverhead = 1 << 20
)

// countOverhead counts received bytes that are neither a head nor part of the answer's
// body.
func (c *conn) countOverhead(n int) error {
	if c.overhead += n; c.overhead > maxOverhead {
		return errOverhead
	}
	return nil
}

// endsWithHead reports whether an answer with this status and the framing of the
// current one has no body.
func (c *conn) endsWithHead(status int) bool {
	return c.framing.Length == 0 || c.noBody || !heads.BodyAllowed(status)
}

// takeLength takes data of a body with Content-Length.
func (c *conn) takeLength(data []byte) (int, error) {
	n := int(min(c.bodyLeft, int64(len(data))))
	c.bodyLeft -= int64(n)
	if err := c.addToBody(data[:n]); err != nil {
		return 0, err
	}
	if c.bodyLeft > 0 {
		return n, nil
	}
	c.endsWithin(data, n)
	c.complete()
	return n, nil
}

// takeChunks takes data of a chunked body.
func (c *conn) takeChunks(data []byte) (int, error) {
	content, n, err := c.chunks.Next(data)
	if err != nil {
		return 0, fmt.Errorf("outbound: %w", err)
	}
	if err := c.countOverhead(n - len(content)); err != nil {
		return 0, err
	}
	if err := c.addToBody(content); err != nil {
		return 0, err
	}
	if c.chunks.Done() {
		c.endsWithin(data, n)
		c.complete()
	}
	return n, nil
}

// endsWithin records that an answer ends with the first n bytes of data. What follows belongs
// to no request, and the connection must not be reused.
func (c *conn) endsWithin(data []byte, n int) {
	if len(data) == n || c.foreignAnswer {
		return
	}
	c.noReuse, c.behind = true, true
}

// beginBody prepares for the body of the answer to k whose head was received, and ends the
// answer if it has none. k is nil if its request has ended.
func (c *conn) beginBody(k *Call) {
	a, f := c.answer, c.framing
	switch {
	case c.endsWithHead(a.Status):
		// The length of a 304, and of an answer to a HEAD, describes the entity, not
		// a body that follows.
		c.noReuse = c.noReuse || f.Length > 0 || f.Chunked
		c.complete()
	case f.Chunked:
		c.body, c.chunks = bodyChunked, body.Chunks{}
	case f.Length > 0:
		c.beginLength()
	case c.foreignAnswer:
		// The end of the foreign answer cannot be told from the close.
		c.fail(verdict.MayHaveRun, verdict.ReasonAnswerCut, errUnframed)
	case k == nil || !k.req.MayEndByClose:
		// Such an answer ends with the connection, which looks the same when
		// the receiver crashes: whether the answer is complete cannot be
		// determined.
		c.fail(verdict.Ran, verdict.ReasonAnswerCut, errUnframed)
	default:
		c.body = bodyClose
		c.noReuse = true
		c.awaitClose(a)
	}
}

// beginLength prepares for a body with Content-Length.
func (c *conn) beginLength() {
	c.body, c.bodyLeft = bodyLength, c.framing.Length
	if c.foreignAnswer {
		return
	}
	if c.bodyLeft > int64(c.p.pool.opts.MaxAnswerBytes) {
		c.fail(verdict.Ran, verdict.ReasonAnswerCut, errAnswerTooLong)
		return
	}
	if !c.holdAnswer().state(c.bodyLeft) {
		c.fail(verdict.MayHaveRun, verdict.ReasonNoMemory, errBudget)
		return
	}
	c.content.Expect(int(c.bodyLeft))
}

// addToBody adds received data to the body of the answer.
func (c *conn) addToBody(data []byte) error {
	switch {
	case len(data) == 0:
		return nil
	case c.foreignAnswer:
		return c.countOverhead(len(data))
	case c.body == bodyLength:
		// The budget holds the whole body.
	case c.content.Size()+len(data) > c.p.pool.opts.MaxAnswerBytes:
		return errAnswerTooLong
	default:
		if err := c.grow(len(data)); err != nil {
			return err
		}
	}
	c.overhead = 0
	c.content.Add(data)
	return nil
}

// holdAnswer returns the holding of the answer that is being received.
func (c *conn) holdAnswer() *holding {
	if c.hold == nil {
		c.p.setHolding(c, c.p.pool.opts.Budget.newHolding(c.evict))
	}
	return c.hold
}

// grow holds n more bytes for an answer whose length is not known.
func (c *conn) grow(n int) error {
	if !c.holdAnswer().grow(int64(n)) {
		return errBudget
	}
	return nil
}

// evict ends the request whose answer is being received. Any goroutine may call it.
func (c *conn) evict(stated bool) {
	reason := verdict.ReasonAnswerCut // the receiver may send without end
	if stated {
		reason = verdict.ReasonNoMemory
	}
	if k := c.p.detach(c); k != nil {
		k.finish(nil, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reason, Err: errBudget})
	}
	c.close(ClosedInvalid)
}
