package kvtest

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/serve/kv"
)

// Client is one entry VM's access to a Store: it learns of the store's era by the answers
// that it gets, and can be refused.
type Client struct {
	*Store
	era      atomic.Uint64
	refusing atomic.Bool
}

var _ kv.Store = (*Client)(nil)

// NewClient returns a client.
func (s *Store) NewClient() *Client { return &Client{Store: s} }

// Refuse makes all calls fail without an answer, or ends that.
func (c *Client) Refuse(refuse bool) {
	c.refusing.Store(refuse)
	c.Store.mu.Lock()
	defer c.Store.mu.Unlock()
	c.Store.notify()
}

// Era implements kv.Store.
func (c *Client) Era() mirror.Era { return mirror.Era(c.era.Load()) }

// answer returns the error of a call, and learns the era if the store has answered.
func (c *Client) answer(err error) error {
	if c.refusing.Load() {
		return errDown()
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	c.Store.mu.Lock()
	defer c.Store.mu.Unlock()
	if !c.Store.down {
		c.era.Store(uint64(c.Store.era))
	}
	return err
}

// Range implements kv.Store.
func (c *Client) Range(ctx context.Context, prefix string, from kv.Replica) (kv.Snapshot, error) {
	if c.refusing.Load() {
		return kv.Snapshot{}, errDown()
	}
	snap, err := c.Store.Range(ctx, prefix, from)
	return snap, c.answer(err)
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after mirror.Revision, wait time.Duration) (kv.Changes, error) {
	if c.refusing.Load() {
		return kv.Changes{}, errDown()
	}
	changes, err := c.Store.Watch(ctx, prefix, after, wait)
	return changes, c.answer(err)
}

// Commit implements kv.Store.
func (c *Client) Commit(ctx context.Context, t kv.Txn) (mirror.Revision, error) {
	if c.refusing.Load() {
		return 0, errDown()
	}
	rev, err := c.Store.Commit(ctx, t)
	return rev, c.answer(err)
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, time.Duration, error) {
	if c.refusing.Load() {
		return 0, 0, errDown()
	}
	l, granted, err := c.Store.Grant(ctx, ttl)
	return l, granted, c.answer(err)
}

// Renew implements kv.Store.
func (c *Client) Renew(ctx context.Context, l kv.Lease) error {
	if c.refusing.Load() {
		return errDown()
	}
	return c.answer(c.Store.Renew(ctx, l))
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, l kv.Lease) error {
	if c.refusing.Load() {
		return errDown()
	}
	return c.answer(c.Store.Revoke(ctx, l))
}
