package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/admin"
)

// maxResponseSize is the largest number of bytes read of a response.
const maxResponseSize = 64 << 20

// Client sends requests to one entry VM. It is safe for concurrent use.
type Client struct {
	baseURL string // scheme://host:port
	token   string
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the entry VM at addr, host:port or an http or https
// URL without a path. The timeout applies to each request; a watch may take
// its wait in addition.
func New(addr, token string, timeout time.Duration) (*Client, error) {
	base, err := parseBaseURL(addr)
	if err != nil {
		return nil, err
	}
	// Entry VMs are reached by IP address, without a proxy.
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: timeout}).DialContext}
	return &Client{baseURL: base, token: token, timeout: timeout, http: &http.Client{Transport: transport}}, nil
}

func parseBaseURL(addr string) (string, error) {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	u, err := url.Parse(addr)
	if err != nil || u.Port() == "" || u.Hostname() == "" {
		return "", fmt.Errorf("address %q is not host:port", addr)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || strings.Trim(u.Path, "/") != "" {
		return "", fmt.Errorf("address %q is not an http or https URL without a path", addr)
	}
	return u.Scheme + "://" + u.Host, nil
}

// apiRequest is a request to the entry VM.
type apiRequest struct {
	method string
	path   string // with query
	id     string // operation id; empty for reads
	body   any
}

// get sends a read request and decodes its response.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err := c.do(ctx, apiRequest{method: http.MethodGet, path: path}, &out)
	return out, err
}

// change sends a change under a new operation id.
func (c *Client) change(ctx context.Context, method, path string, body any) (admin.Accepted, error) {
	var out admin.Accepted
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r := apiRequest{method: method, path: admin.Prefix + path, id: uuid.NewString(), body: body}
	if err := c.do(ctx, r, &out); err != nil {
		return admin.Accepted{}, err
	}
	if !out.Settled {
		return out, &UnknownOutcome{Operation: r.id}
	}
	return out, nil
}

func (c *Client) do(ctx context.Context, r apiRequest, out any) error {
	req, err := c.httpRequest(ctx, r)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.classifyFailure(r, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return c.classifyFailure(r, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(r, resp.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return c.classifyFailure(r, fmt.Errorf("the answer does not have the expected JSON format: %w", err))
	}
	return nil
}

func (c *Client) httpRequest(ctx context.Context, r apiRequest) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		raw, err := json.Marshal(r.body)
		if err != nil {
			return nil, fmt.Errorf("encoding the request: %w", err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, c.baseURL+r.path, body)
	if err != nil {
		return nil, fmt.Errorf("creating the request: %w", err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if r.id != "" {
		req.Header.Set(admin.OperationHeader, r.id)
	}
	return req, nil
}

// classifyFailure returns the error for a request without a usable response.
// Only a failed dial proves that no byte of a change was sent; otherwise the
// entry VM may have made the change.
func (c *Client) classifyFailure(r apiRequest, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if r.id == "" || dialFailed {
		return &Unreachable{Addr: c.baseURL, Err: err}
	}
	return &UnknownOutcome{Operation: r.id, Err: err}
}

// decodeError decodes an error response. A body of another format, for example
// from an intermediary, has the verdict may-have-run.
func decodeError(r apiRequest, status int, raw []byte) error {
	e := &APIError{Status: status}
	if json.Unmarshal(raw, &e.Body) != nil || e.Body.Message == "" {
		e.Body = admin.Error{Code: admin.CodeInternal, Message: "unexpected answer with status " + strconv.Itoa(status)}
	}
	if r.id != "" && e.Body.Verdict != verdict.NotRun {
		return &UnknownOutcome{Operation: r.id, Err: e}
	}
	return e
}

// Catalogue returns the catalogue in force at the entry VM.
func (c *Client) Catalogue(ctx context.Context) (catalogue.Catalogue, error) {
	return get[catalogue.Catalogue](ctx, c, admin.Prefix+"catalogue")
}

// Shift returns one traffic shift.
func (c *Client) Shift(ctx context.Context, id string) (catalogue.Shift, error) {
	return get[catalogue.Shift](ctx, c, admin.Prefix+"shifts/"+url.PathEscape(id))
}

// Status returns the state of the system as seen by the entry VM.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	return get[admin.Status](ctx, c, admin.Prefix+"status")
}

// InForce returns which entry VMs have applied a revision.
func (c *Client) InForce(ctx context.Context, revision uint64) (admin.InForce, error) {
	return get[admin.InForce](ctx, c, admin.Prefix+"inforce?revision="+strconv.FormatUint(revision, 10))
}

// FindOutcome returns the outcome of an operation.
func (c *Client) FindOutcome(ctx context.Context, operation string) (admin.Outcome, error) {
	return get[admin.Outcome](ctx, c, admin.Prefix+"operations/"+url.PathEscape(operation))
}

// Watch returns once the revision at the entry VM is greater than after, or
// when wait has passed.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (admin.Watch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	var out admin.Watch
	path := fmt.Sprintf("%swatch?after=%d&wait=%s", admin.Prefix, after, wait)
	err := c.do(ctx, apiRequest{method: http.MethodGet, path: path}, &out)
	return out, err
}

// PutService adds a service, or replaces the one at revision expect.
func (c *Client) PutService(ctx context.Context, s catalogue.Service, expect uint64) (admin.Accepted, error) {
	body := change.PutService{Service: s, Expect: expect}
	return c.change(ctx, http.MethodPut, "services/"+url.PathEscape(string(s.Name)), body)
}

// RemoveService removes the service at revision expect.
func (c *Client) RemoveService(ctx context.Context, name string, expect uint64) (admin.Accepted, error) {
	return c.change(ctx, http.MethodDelete, fmt.Sprintf("services/%s?expect=%d", url.PathEscape(name), expect), nil)
}

// AddShift adds a traffic shift as a draft.
func (c *Client) AddShift(ctx context.Context, e change.Entry) (admin.Accepted, error) {
	return c.change(ctx, http.MethodPost, "shifts", change.AddShift{Entry: e})
}

// ChangeShift replaces the content of the traffic shift at revision expect.
func (c *Client) ChangeShift(ctx context.Context, e change.Entry, expect uint64) (admin.Accepted, error) {
	body := change.ChangeShift{Entry: e, Expect: expect}
	return c.change(ctx, http.MethodPut, "shifts/"+url.PathEscape(e.ID), body)
}

// RemoveShift removes the traffic shift at revision expect.
func (c *Client) RemoveShift(ctx context.Context, id string, expect uint64) (admin.Accepted, error) {
	return c.change(ctx, http.MethodDelete, fmt.Sprintf("shifts/%s?expect=%d", url.PathEscape(id), expect), nil)
}

// Action is a life-cycle step of a traffic shift, under its name in the API's
// path.
type Action string

// The actions.
const (
	Approve  Action = "approve"
	Start    Action = "start"
	Pause    Action = "pause"
	Resume   Action = "resume"
	RollBack Action = "rollback"
)

// RevisionOptional reports whether the action may omit the expected revision.
func (a Action) RevisionOptional() bool { return a == Pause || a == RollBack }

// PerformAction performs a life-cycle step of a traffic shift.
func (c *Client) PerformAction(ctx context.Context, a Action, id string, body admin.ShiftAction) (admin.Accepted, error) {
	return c.change(ctx, http.MethodPost, "shifts/"+url.PathEscape(id)+"/"+string(a), body)
}
