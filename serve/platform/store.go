package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/verdict"
)

// wireEntry is an entry in the service's format; []byte is base64 in JSON.
type wireEntry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

func (w wireEntry) entry() Entry {
	return Entry{Key: w.Key, Value: w.Value, Index: w.ModifyIndex, Lease: LeaseID(w.Session)}
}

// wireSession is a session in the service's format.
type wireSession struct {
	ID        string `json:",omitempty"`
	TTL       string `json:",omitempty"`
	LockDelay string `json:",omitempty"`
	Behavior  string `json:",omitempty"`
}

// noLockDelay disables the delay that the service adds between the end of one
// holder and the start of the next; the compared index protects writes.
const noLockDelay = "0s"

func keyPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/kv/" + strings.Join(parts, "/")
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	return c.get(ctx, call{method: http.MethodGet, path: keyPath(key), limit: maxAnswerSize}, key)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	r := call{method: http.MethodGet, path: keyPath(key), limit: maxAnswerSize}
	r.setBlocking(after, wait)
	e, err := c.get(ctx, r, key)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Entry{}, err
	}
	if after != 0 && e.Index == after {
		return Entry{}, ErrNotModified
	}
	return e, err
}

func (c *Client) get(ctx context.Context, r call, key string) (Entry, error) {
	a, err := c.do(ctx, r)
	if err != nil {
		return Entry{}, err
	}
	if a.status == http.StatusNotFound {
		return Entry{Key: key, Index: a.index}, notFoundError(a)
	}
	es, err := decodeEntries(a.body)
	if err != nil {
		return Entry{}, err
	}
	if len(es) != 1 || es[0].Key != key {
		err := fmt.Errorf("platform: asked for key %q, answered with %d others", key, len(es))
		return Entry{}, failure(verdict.MayHaveRun, verdict.ReasonInternal, err)
	}
	return es[0], nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	r := call{
		method: http.MethodGet,
		path:   keyPath(prefix),
		query:  url.Values{"recurse": {"true"}},
		limit:  maxListSize,
	}
	a, err := c.do(ctx, r)
	if err != nil {
		return nil, err
	}
	if a.status == http.StatusNotFound {
		if err := notFoundError(a); !errors.Is(err, ErrNotFound) {
			return nil, err
		}
		return nil, nil
	}
	return decodeEntries(a.body)
}

// notFoundError converts a 404 to an error. Another program at the service's
// address also answers 404; a daemon that took this for the service's answer
// would conclude that there is no catalogue. Only the service sends an index
// with a 404.
func notFoundError(a answer) error {
	if a.index == 0 {
		err := errors.New("platform: status 404 without an index: not the key-value service")
		return failure(verdict.NotRun, verdict.ReasonInternal, err)
	}
	return ErrNotFound
}

func decodeEntries(body []byte) ([]Entry, error) {
	var ws []wireEntry
	if err := json.Unmarshal(body, &ws); err != nil {
		return nil, failure(verdict.MayHaveRun, verdict.ReasonInternal, fmt.Errorf("platform: entries: %w", err))
	}
	es := make([]Entry, 0, len(ws))
	for _, w := range ws {
		es = append(es, w.entry())
	}
	return es, nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	if len(value) > MaxValueSize {
		return 0, ErrTooLarge
	}
	r := call{
		method: http.MethodPut,
		path:   keyPath(key),
		query:  url.Values{"cas": {strconv.FormatUint(index, 10)}},
		body:   value,
		limit:  maxAnswerSize,
	}
	ok, err := c.sendWrite(ctx, r)
	if err != nil {
		return 0, err
	}
	if !ok {
		return 0, c.conflictError(ctx, key)
	}
	return c.writtenIndex(ctx, key, value), nil
}

// sendWrite sends a write and parses its answer, true or false.
func (c *Client) sendWrite(ctx context.Context, r call) (bool, error) {
	a, err := c.do(ctx, r)
	if err != nil {
		return false, err
	}
	text := string(bytes.TrimSpace(a.body))
	if a.status != http.StatusOK || (text != "true" && text != "false") {
		err := fmt.Errorf("platform: status %d, answer %.40q to a write", a.status, text)
		return false, failure(verdict.MayHaveRun, verdict.ReasonInternal, err)
	}
	return text == "true", nil
}

// writtenIndex returns the index of an accepted write, or 0 if another client
// has replaced the entry since. With the index of that other write, the next
// compare-and-swap would overwrite it unnoticed.
func (c *Client) writtenIndex(ctx context.Context, key string, value []byte) uint64 {
	e, err := c.Get(ctx, key)
	if err != nil || !bytes.Equal(e.Value, value) {
		return 0
	}
	return e.Index
}

func (c *Client) conflictError(ctx context.Context, key string) error {
	e, err := c.Get(ctx, key)
	switch {
	case err == nil:
		return &ConflictError{Key: key, Current: e, Known: true, Exists: true}
	case errors.Is(err, ErrNotFound):
		return &ConflictError{Key: key, Known: true}
	default:
		return &ConflictError{Key: key}
	}
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, index uint64) error {
	r := call{method: http.MethodDelete, path: keyPath(key), limit: maxAnswerSize}
	if index != 0 {
		r.query = url.Values{"cas": {strconv.FormatUint(index, 10)}}
	}
	ok, err := c.sendWrite(ctx, r)
	if err != nil {
		return err
	}
	if !ok {
		return c.conflictError(ctx, key)
	}
	return nil
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	ttl = max(ttl, MinLeaseTTL)
	body, err := json.Marshal(wireSession{TTL: ttl.String(), LockDelay: noLockDelay, Behavior: "release"})
	if err != nil {
		return "", failure(verdict.NotRun, verdict.ReasonInternal, err)
	}
	a, err := c.do(ctx, call{method: http.MethodPut, path: "/v1/session/create", body: body, limit: maxAnswerSize})
	if err != nil {
		return "", err
	}
	var s wireSession
	if err := json.Unmarshal(a.body, &s); err != nil || s.ID == "" {
		err := fmt.Errorf("platform: status %d, no session in answer", a.status)
		return "", failure(verdict.MayHaveRun, verdict.ReasonInternal, err)
	}
	return LeaseID(s.ID), nil
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) error {
	a, err := c.do(ctx, call{method: http.MethodPut, path: sessionPath("renew", id), limit: maxAnswerSize})
	if err != nil {
		return err
	}
	if a.status == http.StatusNotFound {
		return ErrLeaseLost
	}
	return nil
}

// RevokeLease implements Store.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	_, err := c.do(ctx, call{method: http.MethodPut, path: sessionPath("destroy", id), limit: maxAnswerSize})
	return err
}

func sessionPath(verb string, id LeaseID) string {
	return "/v1/session/" + verb + "/" + url.PathEscape(string(id))
}

// Acquire implements Store.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, lease LeaseID) (uint64, bool, error) {
	if len(value) > MaxValueSize {
		return 0, false, ErrTooLarge
	}
	r := call{
		method: http.MethodPut,
		path:   keyPath(key),
		query:  url.Values{"acquire": {string(lease)}},
		body:   value,
		limit:  maxAnswerSize,
	}
	held, err := c.sendWrite(ctx, r)
	if err != nil {
		return 0, false, acquireError(err)
	}
	if !held {
		return 0, false, nil
	}
	return c.writtenIndex(ctx, key, value), true, nil
}

// invalidSession is the text that the service returns, with status 500, if it
// does not know the session for which a key is to be locked.
const invalidSession = "invalid session"

// acquireError distinguishes an expired lease from other failures of Acquire.
func acquireError(err error) error {
	var status *statusError
	if errors.As(err, &status) && strings.Contains(status.text, invalidSession) {
		return ErrLeaseLost
	}
	return err
}
