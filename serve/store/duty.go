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

// Timing of a duty.
const (
	// DutyTTL is the time to live of a duty's lease.
	DutyTTL = 15 * time.Second
	// dutyRenew is the interval between renewals.
	dutyRenew = DutyTTL / 3
	// dutyMargin is how long before its lease can lapse the holder stops
	// working.
	dutyMargin = 2 * time.Second
	// dutyRetry is the time to the next attempt after a failure.
	dutyRetry = time.Second
	// dutyPoll is the interval at which a candidate checks whether the duty is
	// free.
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
	// always. Few daemons should be candidates: each costs a read every few
	// seconds.
	Eligible func() bool
}

// Duty is a periodic job that normally one daemon of the fleet does at a time.
// Its lease only avoids duplicate work: every write of the job must be fenced
// by its own compare-and-swap.
type Duty struct {
	o         DutyOptions
	heldUntil atomic.Int64 // clock.Time until which the holder may work; 0: not held
	lease     platform.LeaseID
	renewAt   clock.Time
}

// holder is the value of a duty's key, for operators to read.
type holder struct {
	VM          fleet.VMID        `json:"vm"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// NewDuty returns a duty that is not held yet.
func NewDuty(o DutyOptions) *Duty { return &Duty{o: o} }

// Held reports whether this daemon may work on the duty now. The time counts
// from before the last renewal was sent, on the holder's own clock, so a holder
// that was paused finds at its next check that its lease may have lapsed. It
// may be paused right after that check, so its writes must be fenced all the
// same.
func (d *Duty) Held() bool {
	return d.o.Now() < clock.Time(d.heldUntil.Load())
}

// Run acquires and renews the duty until ctx ends, and then releases it.
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
// run concurrently.
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

// Release gives up the duty.
func (d *Duty) Release(ctx context.Context) {
	id := d.lease
	d.lease = ""
	d.heldUntil.Store(0)
	if id != "" {
		// A failure is harmless: the lease lapses by itself.
		_ = d.o.Store.RevokeLease(ctx, id)
	}
}

// acquire takes the duty if nobody holds it. It reads the key before it asks
// for a lease, since a lease and its renewals are writes.
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

// errDutyTaken means that another daemon has taken the duty first.
var errDutyTaken = errors.New("store: duty was taken by another daemon")

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
		// If only the answer was lost, the lease holds the key; revoking frees it.
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

// extend counts the lease's time from before it was requested or renewed.
func (d *Duty) extend(asked clock.Time) {
	d.renewAt = asked.Add(dutyRenew)
	d.heldUntil.Store(int64(asked.Add(DutyTTL - dutyMargin)))
}
