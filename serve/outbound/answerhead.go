package outbound

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
)

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

// Close implements nbhttp.Processor.
func (c *conn) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (c *conn) Clean(*nbhttp.Parser) {}

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
