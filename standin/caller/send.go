package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/standin/payload"
)

const (
	tokenHeader  = "Azurethread-Token"
	clientHeader = "Azurethread-Client"
	// maxErrorBodySize bounds an error's body, in bytes.
	maxErrorBodySize = 64 << 10
)

// fault is a way in which a send ended without a whole answer.
type fault uint8

const (
	noFault fault = iota
	notConnected
	lost // connection lost, or answer cut
	timedOut
)

// result is what came of one send.
type result struct {
	verdict        verdict.Verdict
	reason         verdict.Reason
	fault          fault
	answered       bool // a whole answer of a target
	wrong          bool
	missingVerdict bool // an error answer without a verdict
	status         int
	target         fleet.TargetID
	retryAfter     time.Duration
}

// errorBody is the JSON of an entry VM's error answer.
type errorBody struct {
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	RetryAfter int64           `json:"retry_after_ms"`
	Message    string          `json:"message"`
}

// send makes one attempt.
func (c *Caller) send(ctx context.Context, r Request, to route) result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req, err := c.newHTTPRequest(httptrace.WithClientTrace(ctx, trace), r, to)
	if err != nil {
		return result{verdict: verdict.NotRun, reason: verdict.ReasonBadRequest}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportFailure(err, connected.Load())
	}
	defer resp.Body.Close()
	if resp.Header.Get(payload.HashHeader) != "" {
		return checkAnswer(resp, r)
	}
	if c.direct() {
		return readRefusal(resp)
	}
	return readError(resp)
}

func (c *Caller) newHTTPRequest(ctx context.Context, r Request, to route) (*http.Request, error) {
	path := "/v1/call/" + string(r.Service) + "/" + r.Path
	if c.direct() {
		path = "/" + r.Path
	}
	// net/http sends a GET again by itself on a lost connection, which the
	// caller's record of sends would miss; it never does so with a POST.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.vm.Addr+path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set(payload.IDHeader, r.ID)
	if r.AnswerSize > 0 {
		h.Set(payload.SizeHeader, strconv.Itoa(r.AnswerSize))
	}
	if r.Chunked {
		h.Set(payload.ChunkedHeader, "yes")
	}
	if to.token != "" {
		h.Set(tokenHeader, to.token)
	}
	if to.client != "" {
		h.Set(clientHeader, to.client)
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(payload.DeadlineHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return req, nil
}

// transportFailure reads an error of the transport.
func transportFailure(err error, connected bool) result {
	timeout := errors.Is(err, context.DeadlineExceeded)
	switch {
	case !connected && timeout:
		return result{verdict: verdict.NotRun, reason: verdict.ReasonDeadline, fault: timedOut}
	case !connected:
		return result{verdict: verdict.NotRun, reason: verdict.ReasonConnect, fault: notConnected}
	case timeout:
		return result{verdict: verdict.MayHaveRun, reason: verdict.ReasonDeadline, fault: timedOut}
	default:
		return result{verdict: verdict.MayHaveRun, reason: verdict.ReasonConnectionLost, fault: lost}
	}
}

// checkAnswer checks a target's answer against the request.
func checkAnswer(resp *http.Response, r Request) result {
	size := r.AnswerSize
	if size == 0 {
		size = payload.DefaultSize
	}
	err := payload.Check(resp.Body, r.ID, size)
	if err != nil && !errors.Is(err, payload.ErrWrongContent) {
		return transportFailure(err, true)
	}
	own := resp.Header.Get(payload.IDHeader) == r.ID &&
		resp.Header.Get(payload.HashHeader) == payload.HashOf(r.Body) &&
		resp.StatusCode == http.StatusOK
	said := resp.Header.Get(verdict.Header)
	return result{
		verdict:        verdict.Ran,
		answered:       true,
		wrong:          err != nil || !own,
		missingVerdict: said != "" && said != verdict.Ran.String(),
		status:         resp.StatusCode,
		target:         fleet.TargetID(resp.Header.Get(payload.TargetHeader)),
	}
}

// readRefusal reads, in direct mode, a target's answer to what it didn't run
// to its end.
func readRefusal(resp *http.Response) result {
	res := result{status: resp.StatusCode}
	if resp.Header.Get(payload.RefusedHeader) == payload.RefusedNotRun {
		res.verdict, res.reason = verdict.NotRun, verdict.ReasonShed
	}
	return res
}

// readError reads an entry VM's error, or a target's that it passed on.
func readError(resp *http.Response) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodySize))
	if err != nil {
		return transportFailure(err, true)
	}
	v, known := verdict.Parse(resp.Header.Get(verdict.Header))
	var e errorBody
	parsed := json.Unmarshal(body, &e) == nil
	return result{
		verdict: v,
		reason:  e.Reason,
		// A target's own error, which has run, has a body of its own.
		missingVerdict: !known || (v != verdict.Ran && (!parsed || e.Verdict != v)),
		status:         resp.StatusCode,
		retryAfter:     time.Duration(e.RetryAfter) * time.Millisecond,
	}
}
