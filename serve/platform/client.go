package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

const (
	// IndexHeader carries the index of an answer to a GET.
	IndexHeader = "X-Consul-Index"
	// TokenHeader carries the access token of a request.
	TokenHeader = "X-Consul-Token"

	// DefaultTimeout limits a call whose context has no earlier deadline.
	DefaultTimeout = 5 * time.Second

	// maxAnswerSize limits the answer to a read of one entry: the largest value in
	// base64 plus the other fields.
	maxAnswerSize = MaxValueSize/3*4 + 64<<10
	// maxListSize limits the answer to a list and the machine list. 64 chunks of
	// the largest size fit.
	maxListSize = 64 * maxAnswerSize
	// maxMessageSize limits the text of a refusal that is included in an error.
	maxMessageSize = 512
	// waitJitter is the divisor for the time by which the service may exceed a
	// wait: the published API adds up to a sixteenth.
	waitJitter = 16

	dialTimeout     = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	maxIdlePerHost  = 8
)

// Options configures a Client.
type Options struct {
	// Addr is the service's host:port, or an http:// or https:// URL.
	Addr string
	// Token is the access token; if it is empty, none is sent.
	Token string
	// Timeout limits each call, and for a watch the time beyond its wait. Zero
	// means DefaultTimeout.
	Timeout time.Duration
}

// Client accesses the platform over HTTP. It implements Store and Machines and
// is safe for concurrent use.
type Client struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client
}

var (
	_ Store    = (*Client)(nil)
	_ Machines = (*Client)(nil)
)

// NewClient returns a client. It does not connect yet.
func NewClient(o Options) (*Client, error) {
	base, err := baseURL(o.Addr)
	if err != nil {
		return nil, err
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	c := &Client{
		base:    base,
		token:   o.Token,
		timeout: o.Timeout,
		http:    &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
	return c, nil
}

// refuseRedirect prevents a write from being sent again to another address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func baseURL(addr string) (string, error) {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	u, err := url.Parse(addr)
	if err != nil {
		return "", fmt.Errorf("platform: address: %w", err)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", fmt.Errorf("platform: address %q is not host:port or an http URL", addr)
	}
	return u.Scheme + "://" + u.Host, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one request to the service.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	wait   time.Duration // how long the service may hold the answer
	limit  int64         // largest answer in bytes
}

// answer is a complete answer of the service.
type answer struct {
	status int
	index  uint64
	body   []byte
}

// do sends one request. It returns an answer for status 200 or 404, otherwise an
// error.
func (c *Client) do(ctx context.Context, r call) (answer, error) {
	// Without the limit, a connection that has become silent would block the call
	// forever if ctx has no deadline. When the call fails, net/http closes the
	// connection.
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.wait+r.wait/waitJitter)
	defer cancel()

	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return answer{}, failure(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, sendFailure(ctx, connected.Load(), err)
	}
	defer resp.Body.Close()
	return readAnswer(ctx, resp, r.limit)
}

func (c *Client) request(ctx context.Context, r call) (*http.Request, error) {
	target := c.base + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, body)
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		req.Header.Set(TokenHeader, c.token)
	}
	return req, nil
}

// readAnswer reads the whole answer. A truncated answer counts as lost: part of
// a value must never be taken for the value.
func readAnswer(ctx context.Context, resp *http.Response, limit int64) (answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return answer{}, failure(verdict.MayHaveRun, lossReason(ctx, verdict.ReasonAnswerCut), err)
	}
	if int64(len(body)) > limit {
		err := fmt.Errorf("platform: answer exceeds %d bytes", limit)
		return answer{}, failure(verdict.MayHaveRun, verdict.ReasonInternal, err)
	}
	switch {
	case resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusNotFound:
		index, _ := strconv.ParseUint(resp.Header.Get(IndexHeader), 10, 64)
		return answer{status: resp.StatusCode, index: index, body: body}, nil
	case resp.StatusCode == http.StatusRequestEntityTooLarge:
		return answer{}, ErrTooLarge
	default:
		return answer{}, statusFailure(resp.StatusCode, body)
	}
}

// statusError is an answer with an unexpected status.
type statusError struct {
	status int
	text   string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("platform: status %d: %s", e.status, e.text)
}

// statusFailure converts a refusal to an error. A 4xx means that the service did
// not run the request. A 5xx does not: the service may have failed after
// applying a write.
func statusFailure(status int, body []byte) error {
	err := &statusError{
		status: status,
		text:   strings.TrimSpace(string(body[:min(len(body), maxMessageSize)])),
	}
	if status >= 400 && status < 500 {
		return failure(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	return failure(verdict.MayHaveRun, verdict.ReasonInternal, err)
}

func sendFailure(ctx context.Context, connected bool, err error) error {
	if !connected {
		return failure(verdict.NotRun, lossReason(ctx, verdict.ReasonConnect), err)
	}
	return failure(verdict.MayHaveRun, lossReason(ctx, verdict.ReasonConnectionLost), err)
}

// lossReason returns def, unless the context ended the call.
func lossReason(ctx context.Context, def verdict.Reason) verdict.Reason {
	switch err := ctx.Err(); {
	case errors.Is(err, context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case err != nil:
		return verdict.ReasonCallerGone
	default:
		return def
	}
}

func failure(v verdict.Verdict, r verdict.Reason, err error) error {
	return &verdict.Error{Verdict: v, Reason: r, Err: err}
}

// Machines implements Machines.
func (c *Client) Machines(ctx context.Context, after uint64, wait time.Duration) (fleet.List, error) {
	r := call{method: http.MethodGet, path: "/v1/machines", limit: maxListSize}
	r.setBlocking(after, wait)
	a, err := c.do(ctx, r)
	if err != nil {
		return fleet.List{}, err
	}
	if a.status == http.StatusNotFound {
		return fleet.List{}, ErrNotFound
	}
	var l fleet.List
	if err := json.Unmarshal(a.body, &l); err != nil {
		return fleet.List{}, failure(verdict.MayHaveRun, verdict.ReasonInternal, fmt.Errorf("platform: machine list: %w", err))
	}
	if after != 0 && l.Version == after {
		return fleet.List{}, ErrNotModified
	}
	return l, nil
}

// setBlocking makes r a blocking query unless after is 0.
func (r *call) setBlocking(after uint64, wait time.Duration) {
	if after == 0 {
		return
	}
	if r.query == nil {
		r.query = url.Values{}
	}
	r.query.Set("index", strconv.FormatUint(after, 10))
	r.query.Set("wait", wait.String())
	r.wait = wait
}
