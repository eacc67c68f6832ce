package inbound

import (
	"net/http"
	"strings"
	"unicode"

	"github.com/lesismal/nbio/nbhttp"
)

// The methods below implement nbhttp.Processor, the parser's callbacks.

// OnMethod implements nbhttp.Processor.
func (c *conn) OnMethod(_ *nbhttp.Parser, method string) {
	c.req = &Exchange{c: c}
	c.req.Method = method
	c.req.Header = make(http.Header, typicalHeaderFields)
	c.req.Remote = c.remote.Addr()
}

// typicalHeaderFields is the usual number of header fields of a request.
const typicalHeaderFields = 8

// OnURL implements nbhttp.Processor. nbhttp accepts every byte but a space. A
// line end in the path would end the request line at the target, which could
// read the rest as a separate request that no token protects.
func (c *conn) OnURL(_ *nbhttp.Parser, uri string) error {
	if strings.ContainsFunc(uri, unicode.IsControl) {
		return nbhttp.ErrInvalidRequestURI
	}
	c.req.URI = uri
	return nil
}

// OnProto implements nbhttp.Processor.
func (c *conn) OnProto(_ *nbhttp.Parser, proto string) error {
	switch proto {
	case "HTTP/1.1":
	case "HTTP/1.0":
		c.req.http10 = true
	default:
		return nbhttp.ErrInvalidHTTPVersion
	}
	return nil
}

// OnStatus implements nbhttp.Processor.
func (c *conn) OnStatus(*nbhttp.Parser, int, string) {}

// OnHeader implements nbhttp.Processor.
func (c *conn) OnHeader(_ *nbhttp.Parser, key, value string) {
	c.req.Header[key] = append(c.req.Header[key], value)
}

// OnContentLength implements nbhttp.Processor. The parser sees no length.
func (c *conn) OnContentLength(*nbhttp.Parser, int) {}

// interimContinue is the interim answer that asks for the body of a request.
var interimContinue = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// askForBody sends the interim answer in its turn: within the answer to an earlier
// request it would be taken for a part of that.
func (c *conn) askForBody() {
	c.mu.Lock()
	c.continueDue = !c.pipeline.empty()
	now := !c.continueDue
	c.mu.Unlock()
	if now {
		_ = c.send(interimContinue) // an error means that the connection failed
	}
}

// OnBody implements nbhttp.Processor. The parser sees no body.
func (c *conn) OnBody(*nbhttp.Parser, []byte) error { return nil }

// reserveBody reserves n more bytes for the body, or refuses the message.
func (c *conn) reserveBody(n int64) bool {
	if !c.s.reserveBody(n) {
		c.refuse(http.StatusServiceUnavailable)
		return false
	}
	c.partialBody.Add(n)
	return true
}

// OnTrailerHeader implements nbhttp.Processor.
func (c *conn) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor. It ends the head.
func (c *conn) OnComplete(*nbhttp.Parser) { c.beginBody() }

// Close implements nbhttp.Processor.
func (c *conn) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (c *conn) Clean(*nbhttp.Parser) {}

// wantsClose reports whether the caller wants the connection closed after this
// answer.
func wantsClose(r *Request) bool {
	keep := false
	for _, v := range r.Header["Connection"] {
		for _, f := range strings.Split(v, ",") {
			f = strings.TrimSpace(f)
			if strings.EqualFold(f, "close") {
				return true
			}
			keep = keep || strings.EqualFold(f, "keep-alive")
		}
	}
	return r.http10 && !keep
}
