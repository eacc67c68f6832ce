package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	api "github.com/azurethread/azurethread/serve/platform"
)

// View is an in-process client of the service. The faults set at the server
// apply to it. SetOutage also sets an outage for this view only, to simulate a
// single client that can't reach the service. View implements api.Store and
// api.Machines.
type View struct {
	server *Server

	mu      sync.Mutex
	outage  Outage
	changed chan struct{} // closed and replaced when outage changes
}

var (
	_ api.Store    = (*View)(nil)
	_ api.Machines = (*View)(nil)
)

// Store returns a new in-process view.
func (s *Server) Store() *View {
	return &View{server: s, changed: make(chan struct{})}
}

// SetOutage sets the outage of this view only.
func (v *View) SetOutage(o Outage) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outage = o
	close(v.changed)
	v.changed = make(chan struct{})
}

// outageState implements outageSource.
func (v *View) outageState() (Outage, <-chan struct{}) {
	v.mu.Lock()
	outage, changed := v.outage, v.changed
	v.mu.Unlock()
	if outage != Up {
		return outage, changed
	}
	v.server.mu.Lock()
	defer v.server.mu.Unlock()
	return v.server.outage, v.server.changed
}

// checkReachable returns the error of a refused connection during a Refusing
// outage.
func (v *View) checkReachable() error {
	if o, _ := v.outageState(); o == Refusing {
		return verdictError(verdict.NotRun, verdict.ReasonConnect, errConnectionCut)
	}
	return nil
}

// call runs f as a client's call over a connection: it converts errors to
// errors with a verdict, and cuts the call when a Refusing outage begins.
func (v *View) call(ctx context.Context, f func(ctx context.Context) error) error {
	if err := ctx.Err(); err != nil {
		return verdictError(verdict.NotRun, contextReason(err), err)
	}
	if err := v.checkReachable(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go v.cutWhenRefusing(ctx, cancel)
	return v.withVerdict(ctx, f(ctx))
}

// cutWhenRefusing cancels a call, as a closed connection would, when a Refusing
// outage begins.
func (v *View) cutWhenRefusing(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		o, changed := v.outageState()
		if o == Refusing {
			cancel(errConnectionCut)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (v *View) withVerdict(ctx context.Context, err error) error {
	switch {
	case err == nil, errors.Is(err, api.ErrTooLarge), errors.Is(err, api.ErrLeaseLost):
		return err
	case errors.Is(err, errConnectionCut), errors.Is(context.Cause(ctx), errConnectionCut):
		return verdictError(verdict.MayHaveRun, verdict.ReasonConnectionLost, errConnectionCut)
	default:
		return verdictError(verdict.MayHaveRun, contextReason(err), err)
	}
}

func contextReason(err error) verdict.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.ReasonDeadline
	}
	return verdict.ReasonCallerGone
}

func verdictError(v verdict.Verdict, r verdict.Reason, err error) error {
	return &verdict.Error{Verdict: v, Reason: r, Err: err}
}

// Get implements Store.
func (v *View) Get(ctx context.Context, key string) (api.Entry, error) {
	return v.Watch(ctx, key, 0, 0)
}

// Watch implements Store.
func (v *View) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (api.Entry, error) {
	var e api.Entry
	var found bool
	err := v.call(ctx, func(ctx context.Context) (err error) {
		e, found, err = v.server.get(ctx, v, key, after, wait)
		return err
	})
	switch {
	case err != nil:
		return api.Entry{}, err
	case after != 0 && e.Index == after:
		return api.Entry{}, api.ErrNotModified
	case !found:
		return e, api.ErrNotFound
	default:
		return e, nil
	}
}

// List implements Store.
func (v *View) List(ctx context.Context, prefix string) ([]api.Entry, error) {
	var es []api.Entry
	err := v.call(ctx, func(ctx context.Context) (err error) {
		es, err = v.server.list(ctx, v, prefix)
		return err
	})
	return es, err
}

// CompareAndSwap implements Store.
func (v *View) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	var next uint64
	err := v.call(ctx, func(ctx context.Context) (err error) {
		next, err = v.server.compareAndSwap(ctx, v, key, value, index)
		return err
	})
	if err != nil {
		return 0, err
	}
	if next == 0 {
		return 0, v.conflict(ctx, key)
	}
	return next, nil
}

func (v *View) conflict(ctx context.Context, key string) error {
	e, err := v.Get(ctx, key)
	switch {
	case err == nil:
		return &api.ConflictError{Key: key, Current: e, Known: true, Exists: true}
	case errors.Is(err, api.ErrNotFound):
		return &api.ConflictError{Key: key, Known: true}
	default:
		return &api.ConflictError{Key: key}
	}
}

// Delete implements Store.
func (v *View) Delete(ctx context.Context, key string, index uint64) error {
	var ok bool
	err := v.call(ctx, func(ctx context.Context) (err error) {
		ok, err = v.server.remove(ctx, v, key, index)
		return err
	})
	if err != nil {
		return err
	}
	if !ok {
		return v.conflict(ctx, key)
	}
	return nil
}

// GrantLease implements Store.
func (v *View) GrantLease(ctx context.Context, ttl time.Duration) (api.LeaseID, error) {
	var id api.LeaseID
	err := v.call(ctx, func(ctx context.Context) (err error) {
		id, err = v.server.grant(ctx, v, max(ttl, v.server.minTTL))
		return err
	})
	return id, err
}

// RenewLease implements Store.
func (v *View) RenewLease(ctx context.Context, id api.LeaseID) error {
	var ok bool
	err := v.call(ctx, func(ctx context.Context) (err error) {
		ok, err = v.server.renew(ctx, v, id)
		return err
	})
	if err == nil && !ok {
		return api.ErrLeaseLost
	}
	return err
}

// RevokeLease implements Store.
func (v *View) RevokeLease(ctx context.Context, id api.LeaseID) error {
	return v.call(ctx, func(ctx context.Context) error { return v.server.revoke(ctx, v, id) })
}

// Acquire implements Store.
func (v *View) Acquire(ctx context.Context, key string, value []byte, lease api.LeaseID) (uint64, bool, error) {
	var next uint64
	err := v.call(ctx, func(ctx context.Context) (err error) {
		next, err = v.server.acquire(ctx, v, key, value, lease)
		return err
	})
	if err != nil {
		return 0, false, err
	}
	return next, next != 0, nil
}

// Machines implements Machines.
func (v *View) Machines(ctx context.Context, after uint64, wait time.Duration) (fleet.List, error) {
	var l fleet.List
	err := v.call(ctx, func(ctx context.Context) (err error) {
		l, err = v.server.machineList(ctx, v, after, wait)
		return err
	})
	if err != nil {
		return fleet.List{}, err
	}
	if after != 0 && l.Version == after {
		return fleet.List{}, api.ErrNotModified
	}
	return l, nil
}
