package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/serve/platform"
)

// The times of a duty.
const (
	// DutyTTL is the time to live of a duty's lease.
	DutyTTL = 15 * time.Second
	// dutyRenew is the time between two renewals.
	dutyRenew = DutyTTL / 3
	// dutyMargin is how long before the lease can lapse the holder stops.
	dutyMargin = 2 * time.Second
	// dutyRetry is the time to the next try after a failure.
	dutyRetry = time.Second
	// dutyPoll is how often a candidate looks whether the duty is free.
	dutyPoll = 5 * time.Second
)

// ShiftDuty is the key of the duty to advance traffic shifts.
const ShiftDuty = "azurethread/duty/shifts"

// DutyOptions configures a Duty.
type DutyOptions struct {
	Store platform.Store
	Key   string
	// Now is the daemon's clock; it must be monotonic.
	Now         func() clock.Time
	Holder      fleet.VMID
	Incarnation fleet.Incarnation
	// Eligible reports whether this daemon should be a candidate. Nil means
	// always. Few daemons should be: each candidate costs a read every few
	// seconds.
	Eligible func() bool
}

// Duty is a periodic job that one daemon of the fleet does at a time, as a
// rule: its lease saves work, and every write of the job must be fenced by a
// compare-and-swap of its own.
type Duty struct {
	o         DutyOptions
	heldUntil atomic.Int64 // clock.Time before which the holder may work; 0: not held
	lease     platform.LeaseID
	renewAt   clock.Time
}

// holder is the value of a duty's key, for operators.
type holder struct {
	VM          fleet.VMID        `json:"vm"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// NewDuty returns a duty that isn't held yet.
func NewDuty(o DutyOptions) *Duty { return &Duty{o: o} }

// Held reports whether this daemon may work on the duty now. The time counts
// from before the last renewal was sent, on the holder's own clock: a holder
// that was paused sees at its next look that its lease may have lapsed. It may
// be paused right after that look, so its writes must be fenced all the same.
func (d *Duty) Held() bool {
	return d.o.Now() < clock.Time(d.heldUntil.Load())
}

// Run keeps taking and renewing the duty until ctx ends, and then gives it up.
func (d *Duty) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := d.Step(ctx)
		if !sleep(ctx, wait) {
			break
		}
	}
	end, cancel := context.WithTimeout(context.Background(), dutyRetry)
	defer cancel()
	d.Release(end)
}

// Step does what is due and returns the time to the next step. Steps must not
// overlap.
func (d *Duty) Step(ctx context.Context) time.Duration {
	if d.lease != "" && !d.Held() {
		d.Release(ctx)
		return 0
	}
	if d.lease != "" && !d.eligible() {
		// Others would wait for the lease to lapse, and nobody would do the
		// duty meanwhile.
		d.Release(ctx)
		return dutyPoll
	}
	if d.lease == "" {
		return d.acquire(ctx)
	}
	if now := d.o.Now(); now.Before(d.renewAt) {
		return d.renewAt.Sub(now)
	}
	return d.renew(ctx)
}

func (d *Duty) eligible() bool { return d.o.Eligible == nil || d.o.Eligible() }

// Release gives the duty up.
func (d *Duty) Release(ctx context.Context) {
	id := d.lease
	d.lease = ""
	d.heldUntil.Store(0)
	if id != "" {
		// A failure is harmless: the lease lapses by itself.
		_ = d.o.Store.RevokeLease(ctx, id)
	}
}

// acquire takes the duty if nobody holds it. It looks before it asks for a
// lease, since a lease and its renewals are writes.
func (d *Duty) acquire(ctx context.Context) time.Duration {
	if !d.eligible() {
		return dutyPoll
	}
	e, err := d.o.Store.Get(ctx, d.o.Key)
	switch {
	case err == nil && e.Lease != "":
		return dutyPoll
	case err != nil && !errors.Is(err, platform.ErrNotFound):
		return dutyRetry
	}
	if err := d.acquireLease(ctx); err != nil {
		return dutyRetry
	}
	return dutyRenew
}

// errDutyTaken means that another daemon was faster.
var errDutyTaken = errors.New("store: duty is taken")

func (d *Duty) acquireLease(ctx context.Context) error {
	value, err := json.Marshal(holder{VM: d.o.Holder, Incarnation: d.o.Incarnation})
	if err != nil {
		return fmt.Errorf("store: duty: %w", err)
	}
	asked := d.o.Now()
	id, err := d.o.Store.GrantLease(ctx, DutyTTL)
	if err != nil {
		return err
	}
	_, held, err := d.o.Store.Acquire(ctx, d.o.Key, value, id)
	if err == nil && !held {
		err = errDutyTaken
	}
	if err != nil {
		// After a lost answer the lease may hold the key; revoking frees it.
		_ = d.o.Store.RevokeLease(ctx, id)
		return err
	}
	d.lease = id
	d.extend(asked)
	return nil
}

func (d *Duty) renew(ctx context.Context) time.Duration {
	asked := d.o.Now()
	err := d.o.Store.RenewLease(ctx, d.lease)
	switch {
	case err == nil:
		d.extend(asked)
		return dutyRenew
	case errors.Is(err, platform.ErrLeaseLost):
		d.lease = ""
		d.heldUntil.Store(0)
		return dutyRetry
	default:
		return dutyRetry
	}
}

// extend counts the lease from the instant before it was asked for.
func (d *Duty) extend(asked clock.Time) {
	d.renewAt = asked.Add(dutyRenew)
	d.heldUntil.Store(int64(asked.Add(DutyTTL - dutyMargin)))
}
