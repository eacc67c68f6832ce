package platform

import (
	"context"
	"errors"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	api "github.com/azurethread/azurethread/serve/platform"
)

// kind is what a call counts as.
type kind uint8

const (
	read kind = iota
	write
	watch
)

var (
	// errCut means that the connection ends without an answer, whether or
	// not the call took effect.
	errCut = errors.New("standin platform: connection cut")
	// errTTL refuses a lease that is shorter than the shortest.
	errTTL = errors.New("standin platform: TTL too short")
)

// gate is the way by which a call arrives: an endpoint or a view.
type gate interface {
	// state returns the outage now, and a channel that is closed at the
	// next change of it.
	state() (Outage, <-chan struct{})
}

// admit counts a call and holds it for as long as the switches say.
func (s *Server) admit(ctx context.Context, g gate, k kind) error {
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
	if err := pause(ctx, delay); err != nil {
		return err
	}
	return hold(ctx, g)
}

// answer holds the answer of a call that has taken effect, or loses it.
func (s *Server) answer(ctx context.Context, g gate, k kind) error {
	s.mu.Lock()
	delay := s.afterDelay
	lost := k == write && s.lostAnswers > 0
	if lost {
		s.lostAnswers--
	}
	s.mu.Unlock()
	if lost {
		return errCut
	}
	if err := pause(ctx, delay); err != nil {
		return err
	}
	return hold(ctx, g)
}

func pause(ctx context.Context, d time.Duration) error {
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

// hold keeps a call silent during an outage and cuts it afterwards.
func hold(ctx context.Context, g gate) error {
	held := false
	for {
		o, changed := g.state()
		if o == Up && !held {
			return nil
		}
		if o != Hanging {
			return errCut
		}
		held = true
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// run carries out a read or a write under the lock.
func (s *Server) run(ctx context.Context, g gate, k kind, f func(d *data, now time.Time)) error {
	if err := s.admit(ctx, g, k); err != nil {
		return err
	}
	s.mu.Lock()
	s.tick()
	before := s.data.index
	f(&s.data, s.now())
	if s.data.index != before {
		s.wake()
	}
	s.mu.Unlock()
	return s.answer(ctx, g, k)
}

// poll calls ready under the lock at every change until it reports true or
// the wait ends. A wait of 0 or less makes it a read.
func (s *Server) poll(ctx context.Context, g gate, wait time.Duration, ready func() bool) error {
	k := watch
	if wait <= 0 {
		k = read
	}
	if err := s.admit(ctx, g, k); err != nil {
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
		s.tick()
		done, changed := ready(), s.changed
		s.mu.Unlock()
		if done || k == read {
			return s.answer(ctx, g, k)
		}
		select {
		case <-changed:
		case <-deadline.C:
			return s.answer(ctx, g, k)
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

// get reads one entry, waiting for an index above after.
func (s *Server) get(ctx context.Context, g gate, key string, after uint64, wait time.Duration) (e api.Entry, found bool, err error) {
	if after == 0 {
		wait = 0
	}
	err = s.poll(ctx, g, wait, func() bool {
		e, found = s.data.get(key)
		return e.Index > after
	})
	return e, found, err
}

func (s *Server) list(ctx context.Context, g gate, prefix string) (es []api.Entry, err error) {
	err = s.run(ctx, g, read, func(d *data, _ time.Time) { es = d.list(prefix) })
	return es, err
}

func (s *Server) compareAndSwap(ctx context.Context, g gate, key string, value []byte, index uint64) (next uint64, err error) {
	if len(value) > api.MaxValueSize {
		return 0, api.ErrTooLarge
	}
	err = s.run(ctx, g, write, func(d *data, _ time.Time) { next = d.compareAndSwap(key, value, index) })
	return next, err
}

func (s *Server) remove(ctx context.Context, g gate, key string, index uint64) (ok bool, err error) {
	err = s.run(ctx, g, write, func(d *data, _ time.Time) { ok = d.remove(key, index) })
	return ok, err
}

func (s *Server) grant(ctx context.Context, g gate, ttl time.Duration) (id api.LeaseID, err error) {
	if ttl < s.minTTL {
		return "", errTTL
	}
	err = s.run(ctx, g, write, func(d *data, now time.Time) { id = d.grant(ttl, now) })
	return id, err
}

func (s *Server) renew(ctx context.Context, g gate, id api.LeaseID) (ok bool, err error) {
	err = s.run(ctx, g, write, func(d *data, now time.Time) { ok = d.renew(id, now) })
	return ok, err
}

func (s *Server) revoke(ctx context.Context, g gate, id api.LeaseID) error {
	return s.run(ctx, g, write, func(d *data, _ time.Time) { d.revoke(id) })
}

func (s *Server) acquire(ctx context.Context, g gate, key string, value []byte, id api.LeaseID) (next uint64, err error) {
	if len(value) > api.MaxValueSize {
		return 0, api.ErrTooLarge
	}
	var refused error
	err = s.run(ctx, g, write, func(d *data, _ time.Time) { next, refused = d.acquire(key, value, id) })
	if err == nil {
		err = refused
	}
	return next, err
}

// list of machines, waiting for a version other than after.
func (s *Server) machineList(ctx context.Context, g gate, after uint64, wait time.Duration) (l fleet.List, err error) {
	if after == 0 {
		wait = 0
	}
	err = s.poll(ctx, g, wait, func() bool {
		l = s.machines
		return l.Version != after
	})
	return l, err
}
