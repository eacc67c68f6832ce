package platform

import (
	"context"
	"errors"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	api "github.com/azurethread/azurethread/serve/platform"
)

// callKind is the kind of a call in Counts.
type callKind uint8

const (
	read callKind = iota
	write
	watch
)

var (
	// errConnectionCut means that the connection is closed without an answer,
	// whether or not the call took effect.
	errConnectionCut = errors.New("standin platform: connection cut")
	// errTTLTooShort means that a lease was requested with a TTL below
	// Options.MinLeaseTTL.
	errTTLTooShort = errors.New("standin platform: session TTL below minimum")
)

// outageSource is the endpoint or view through which a call arrives.
type outageSource interface {
	// outageState returns the present outage and a channel that is closed when
	// it changes.
	outageState() (Outage, <-chan struct{})
}

// admit counts a call and applies the delay and the outage that precede its
// effect.
func (s *Server) admit(ctx context.Context, src outageSource, k callKind) error {
	s.mu.Lock()
	switch k {
	case read:
		s.counts.Reads++
	case write:
		s.counts.Writes++
	case watch:
		s.counts.Watches++
	}
	delay := s.beforeDelay
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	return awaitOutageEnd(ctx, src)
}

// finish applies the delay and the outage that precede the answer, or drops the
// answer of a write if LoseAnswers asks for it.
func (s *Server) finish(ctx context.Context, src outageSource, k callKind) error {
	s.mu.Lock()
	delay := s.afterDelay
	lost := k == write && s.answersToLose > 0
	if lost {
		s.answersToLose--
	}
	s.mu.Unlock()
	if lost {
		return errConnectionCut
	}
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	return awaitOutageEnd(ctx, src)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitOutageEnd blocks a call during a Hanging outage and returns
// errConnectionCut when it ends or when the service refuses connections.
func awaitOutageEnd(ctx context.Context, src outageSource) error {
	held := false
	for {
		o, changed := src.outageState()
		if o == Up && !held {
			return nil
		}
		if o != Hanging {
			return errConnectionCut
		}
		held = true
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// execute runs a read or a write while holding s.mu.
func (s *Server) execute(ctx context.Context, src outageSource, k callKind, f func(d *data, now time.Time)) error {
	if err := s.admit(ctx, src, k); err != nil {
		return err
	}
	s.mu.Lock()
	s.applyDue()
	before := s.data.index
	f(&s.data, s.now())
	if s.data.index != before {
		s.notifyWaiters()
	}
	s.mu.Unlock()
	return s.finish(ctx, src, k)
}

// poll calls ready, while holding s.mu, at every change until it reports true
// or the wait ends. With a wait of 0 or less, the call is a read.
func (s *Server) poll(ctx context.Context, src outageSource, wait time.Duration, ready func() bool) error {
	k := watch
	if wait <= 0 {
		k = read
	}
	if err := s.admit(ctx, src, k); err != nil {
		return err
	}
	if k == watch {
		s.addWaiting(1)
		defer s.addWaiting(-1)
	}
	deadline := time.NewTimer(min(wait, maxWait))
	defer deadline.Stop()
	for {
		s.mu.Lock()
		s.applyDue()
		done, changed := ready(), s.changed
		s.mu.Unlock()
		if done || k == read {
			return s.finish(ctx, src, k)
		}
		select {
		case <-changed:
		case <-deadline.C:
			return s.finish(ctx, src, k)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Server) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting += n
}

// get returns one entry. If after is not 0, it waits for an index above after.
func (s *Server) get(ctx context.Context, src outageSource, key string, after uint64, wait time.Duration) (e api.Entry, found bool, err error) {
	if after == 0 {
		wait = 0
	}
	err = s.poll(ctx, src, wait, func() bool {
		e, found = s.data.get(key)
		return e.Index > after
	})
	return e, found, err
}

func (s *Server) list(ctx context.Context, src outageSource, prefix string) (es []api.Entry, err error) {
	err = s.execute(ctx, src, read, func(d *data, _ time.Time) { es = d.list(prefix) })
	return es, err
}

func (s *Server) compareAndSwap(ctx context.Context, src outageSource, key string, value []byte, index uint64) (next uint64, err error) {
	if len(value) > api.MaxValueSize {
		return 0, api.ErrTooLarge
	}
	err = s.execute(ctx, src, write, func(d *data, _ time.Time) { next = d.compareAndSwap(key, value, index) })
	return next, err
}

func (s *Server) remove(ctx context.Context, src outageSource, key string, index uint64) (ok bool, err error) {
	err = s.execute(ctx, src, write, func(d *data, _ time.Time) { ok = d.remove(key, index) })
	return ok, err
}

func (s *Server) grant(ctx context.Context, src outageSource, ttl time.Duration) (id api.LeaseID, err error) {
	if ttl < s.minTTL {
		return "", errTTLTooShort
	}
	err = s.execute(ctx, src, write, func(d *data, now time.Time) { id = d.grant(ttl, now) })
	return id, err
}

func (s *Server) renew(ctx context.Context, src outageSource, id api.LeaseID) (ok bool, err error) {
	err = s.execute(ctx, src, write, func(d *data, now time.Time) { ok = d.renew(id, now) })
	return ok, err
}

func (s *Server) revoke(ctx context.Context, src outageSource, id api.LeaseID) error {
	return s.execute(ctx, src, write, func(d *data, _ time.Time) { d.revoke(id) })
}

func (s *Server) acquire(ctx context.Context, src outageSource, key string, value []byte, id api.LeaseID) (next uint64, err error) {
	if len(value) > api.MaxValueSize {
		return 0, api.ErrTooLarge
	}
	var refused error
	err = s.execute(ctx, src, write, func(d *data, _ time.Time) { next, refused = d.acquire(key, value, id) })
	if err == nil {
		err = refused
	}
	return next, err
}

// machineList returns the machine list. If after is not 0, it waits for a
// version other than after.
func (s *Server) machineList(ctx context.Context, src outageSource, after uint64, wait time.Duration) (l fleet.List, err error) {
	if after == 0 {
		wait = 0
	}
	err = s.poll(ctx, src, wait, func() bool {
		l = s.machines
		return l.Version != after
	})
	return l, err
}
