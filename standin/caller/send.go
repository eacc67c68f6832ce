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
	// maxErrorBodySize limits the body of an error answer, in bytes.
	maxErrorBodySize = 64 << 10
)

// fault is a transport failure of a send.
type fault uint8

const (
	noFault fault = iota
	notConnected
	lost // connection lost, or answer cut
	timedOut
)

// result is the result of one send.
type result struct {
	verdict        verdict.Verdict
	reason         verdict.Reason
	fault          fault
	answered       bool // complete answer of a target received
	wrong          bool
	missingVerdict bool // answer without a valid verdict
	status         int
	target         fleet.TargetID
	retryAfter     time.Duration
}

// errorBody is the JSON body of an entry VM's error answer.
type errorBody struct {
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	RetryAfter int64           `json:"retry_after_ms"`
	Message    string          `json:"message"`
}

// send sends the request once.
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
	// net/http retries a GET after a lost connection, which the caller's count
	// of sends would miss; it never retries a POST.
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

// transportFailure converts an error of the HTTP transport to a result.
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

// checkAnswer checks that a target's answer is complete and belongs to r.
func checkAnswer(resp *http.Response, r Request) result {
	size := r.AnswerSize
	if size == 0 {
		size = payload.DefaultSize
	}
	err := payload.Check(resp.Body, r.ID, size)
	if err != nil && !errors.Is(err, payload.ErrWrongContent) {
		return transportFailure(err, true)
	}
	matches := resp.Header.Get(payload.IDHeader) == r.ID &&
		resp.Header.Get(payload.HashHeader) == payload.HashOf(r.Body) &&
		resp.StatusCode == http.StatusOK
	stated := resp.Header.Get(verdict.Header)
	return result{
		verdict:        verdict.Ran,
		answered:       true,
		wrong:          err != nil || !matches,
		missingVerdict: stated != "" && stated != verdict.Ran.String(),
		status:         resp.StatusCode,
		target:         fleet.TargetID(resp.Header.Get(payload.TargetHeader)),
	}
}

// readRefusal reads a target's error answer to a request that was sent directly
// to it.
func readRefusal(resp *http.Response) result {
	res := result{status: resp.StatusCode}
	if resp.Header.Get(payload.RefusedHeader) == payload.RefusedNotRun {
		res.verdict, res.reason = verdict.NotRun, verdict.ReasonTargetRefused
	}
	return res
}

// readError reads an error answer of an entry VM, or one of a target that the
// entry VM forwarded.
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
		// A forwarded error of a target has the verdict ran and the target's
		// own body.
		missingVerdict: !known || (v != verdict.Ran && (!parsed || e.Verdict != v)),
		status:         resp.StatusCode,
		retryAfter:     time.Duration(e.RetryAfter) * time.Millisecond,
	}
}
