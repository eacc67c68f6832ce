package inbound

import (
	"net/http"
	"strings"

	"github.com/azurethread/azurethread/serve/body"
)

// maxChunkOverhead bounds the bytes of a chunked body beside its content: a caller may
// send as many as the body may be long, and this many more.
const maxChunkOverhead = 64 << 10

// beginBody prepares for the body of the message whose head was received, and passes the
// request on if it has none.
func (c *conn) beginBody() {
	length := c.framing.Length
	switch {
	case c.framing.Chunked:
		c.body, c.chunks, c.overhead = bodyChunked, body.Chunks{}, 0
	case length <= 0:
		c.complete()
		return
	case length > int64(c.s.limits().BodyBytes):
		// Refused before any of the body is read or stored.
		c.refuse(http.StatusRequestEntityTooLarge)
		return
	case !c.reserveBody(length):
		return
	default:
		c.body, c.bodyLeft = bodyLength, length
		c.content.Expect(int(length))
	}
	if strings.EqualFold(c.req.Header.Get("Expect"), "100-continue") {
		c.askForBody()
	}
}

// takeLength takes data of a body with Content-Length.
func (c *conn) takeLength(data []byte) (n int) {
	n = int(min(c.bodyLeft, int64(len(data))))
	c.rest = len(data) - n
	c.content.Add(data[:n])
	if c.bodyLeft -= int64(n); c.bodyLeft == 0 {
		c.complete()
	}
	return n
}

// takeChunks takes data of a chunked body.
func (c *conn) takeChunks(data []byte) (n, status int) {
	content, n, err := c.chunks.Next(data)
	if err != nil {
		return 0, http.StatusBadRequest
	}
	c.rest = len(data) - n
	c.overhead += n - len(content)
	limit := c.s.limits().BodyBytes
	if c.content.Size()+len(content) > limit || c.overhead > limit+maxChunkOverhead {
		return 0, http.StatusRequestEntityTooLarge
	}
	if len(content) > 0 && !c.reserveBody(int64(len(content))) {
		return n, 0
	}
	c.content.Add(content)
	if c.chunks.Done() {
		c.complete()
	}
	return n, 0
}

// complete passes on the request whose end was received.
func (c *conn) complete() {
	x := c.req
	c.req = nil
	c.body = bodyNone
	if x == nil {
		return
	}
	x.Body = c.content.Join()
	c.content = body.Pieces{}
	x.close = wantsClose(&x.Request)
	x.bodyBytes.Store(c.partialBody.Swap(0))
	x.headBytes.Store(c.partialHead.Swap(0))
	c.dispatch(x)
}
