package kvtest

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/serve/kv"
)

// Client is one entry VM's access to a Store. It implements kv.Store: it learns of the
// store's era by the answers that it gets. It can be refused.
type Client struct {
	store    *Store
	era      atomic.Uint64
	refusing atomic.Bool
}

var _ kv.Store = (*Client)(nil)

// NewClient returns a client.
func (s *Store) NewClient() *Client { return &Client{store: s} }

// Refuse makes all calls fail without an answer, or ends that.
func (c *Client) Refuse(refuse bool) {
	c.refusing.Store(refuse)
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.notify()
}

// Era implements kv.Store.
func (c *Client) Era() mirror.Era { return mirror.Era(c.era.Load()) }

// call makes a call and returns the era of its answer.
func (c *Client) call(f func() error) (mirror.Era, error) {
	if c.refusing.Load() {
		return 0, errDown()
	}
	err := f()
	if errors.Is(err, context.Canceled) {
		return 0, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	switch {
	case c.refusing.Load():
		return 0, errDown()
	case c.store.down:
		return 0, err
	}
	c.era.Store(uint64(c.store.era))
	return c.store.era, err
}

// Range implements kv.Store.
func (c *Client) Range(ctx context.Context, prefix string, from kv.Replica) (snap kv.Snapshot, err error) {
	_, err = c.call(func() (err error) {
		snap, err = c.store.Range(ctx, prefix, from)
		return err
	})
	return snap, err
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after mirror.Position, wait time.Duration) (changes kv.Changes, err error) {
	if after.Era < c.Era() {
		return kv.Changes{}, kv.ErrEra
	}
	_, err = c.call(func() (err error) {
		changes, err = c.store.Watch(ctx, prefix, after.Revision, wait)
		return err
	})
	if err == nil && changes.At.Era != after.Era {
		err = kv.ErrEra
	}
	return changes, err
}

// Commit implements kv.Store.
func (c *Client) Commit(ctx context.Context, t kv.Txn) (at mirror.Position, err error) {
	if err := t.CheckEra(c.Era()); err != nil {
		return mirror.Position{}, err
	}
	_, err = c.call(func() (err error) {
		at, err = c.store.Commit(ctx, t)
		return err
	})
	if err == nil && t.CheckEra(at.Era) != nil {
		err = kv.ErrEra
	}
	return at, err
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (l kv.Lease, granted time.Duration, err error) {
	_, err = c.call(func() (err error) {
		l, granted, err = c.store.Grant(ctx, ttl)
		return err
	})
	return l, granted, err
}

// Renew implements kv.Store.
func (c *Client) Renew(ctx context.Context, l kv.Lease) error {
	if l.Era < c.Era() {
		return kv.ErrEra
	}
	era, err := c.call(func() error { return c.store.Renew(ctx, l.ID) })
	if err == nil && era != l.Era {
		err = kv.ErrEra
	}
	return err
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, l kv.Lease) error {
	if l.Era < c.Era() {
		return nil
	}
	_, err := c.call(func() error { return c.store.Revoke(ctx, l.ID) })
	return err
}
