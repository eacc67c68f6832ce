package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/shift"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/store"
)

const (
	// leaseCheckInterval is the interval at which the engine is informed whether
	// this process holds the lease of the shift runner.
	leaseCheckInterval = 500 * time.Millisecond
	// leaseValidity is how long the engine may rely on that information. A
	// process that was paused for longer stops acting as the shift runner.
	leaseValidity = 3 * leaseCheckInterval
)

// runShiftLease tries to acquire the lease of the shift runner and reports its
// state to the engine.
func (d *Daemon) runShiftLease() {
	duty := store.NewDuty(store.DutyOptions{
		Store:       d.platform,
		Key:         store.ShiftDuty,
		Now:         d.now,
		Holder:      d.self.ID,
		Incarnation: d.self.Incarnation,
		Eligible:    func() bool { return d.eligible.Load() && !d.leaving.Load() },
	})
	d.startTask(func() { duty.Run(d.ctx) })
	t := time.NewTicker(leaseCheckInterval)
	defer t.Stop()
	held := false
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
		}
		heldNow := duty.Held()
		if heldNow == held && !held {
			continue
		}
		if heldNow != held {
			d.log.WithField("held", heldNow).Info("lease of the shift runner changed")
		}
		held = heldNow
		d.core.Post(shift.Platform{Reachable: held})
		d.core.Post(shift.Lease{Held: held, Until: d.now().Add(leaseValidity)})
	}
}

// operationOf converts a write of the shift runner into a change of the catalogue.
func operationOf(w shift.Write) change.Operation {
	op := change.Operation{ID: uuid.NewString(), Operator: change.RunnerName}
	if w.State == catalogue.RolledBack {
		op.Kind = change.KindRollBack
		op.Shift = &change.ShiftRef{ID: w.Shift, Expect: w.Expect, Reason: w.Hold}
		return op
	}
	op.Kind = change.KindAdvance
	op.Advance = &change.Advance{
		ID:        w.Shift,
		Expect:    w.Expect,
		Share:     w.Share,
		Hold:      w.Hold,
		SteppedAt: w.SteppedAt,
		Done:      w.State == catalogue.Done,
	}
	return op
}

// writeTimeout limits one attempt of a write of the shift runner.
const writeTimeout = 5 * time.Second

// writeShift performs a write of the shift runner and reports its outcome. A
// write whose outcome is unknown is repeated with the same operation id until
// the outcome is known; until then the runner makes no other write for that
// shift.
func (d *Daemon) writeShift(w shift.Write) {
	op := operationOf(w)
	for {
		ctx, cancel := context.WithTimeout(d.ctx, writeTimeout)
		_, err := d.applyChange(ctx, op)
		cancel()
		if err == nil {
			d.log.WithFields(logrus.Fields{"shift": w.Shift, "share": w.Share, "state": w.State, "hold": w.Hold}).Info("traffic shift written")
			d.core.Post(shift.WriteResult{ID: w.ID, Verdict: verdict.Ran})
			return
		}
		d.logChange(op, err)
		v := verdictOf(err)
		d.core.Post(shift.WriteResult{ID: w.ID, Verdict: v, Conflict: isConflict(err)})
		if v != verdict.MayHaveRun || !d.waitForRetry() {
			return
		}
	}
}
