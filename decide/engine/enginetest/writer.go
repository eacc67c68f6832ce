package enginetest

import (
	"errors"
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/shift"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Bounds on the tries of one write.
const (
	maxTries  = 10
	firstWait = 20 * time.Millisecond
	maxWait   = time.Second
)

// Result is the outcome of an operation.
type Result struct {
	Verdict  verdict.Verdict
	Revision uint64 // 0 unless it ran
	Err      error
}

// write is the execution of one operation by an entry VM. It follows the protocol
// of package serve/store: read, apply, compare-and-swap. If the outcome of the
// write is unknown, it is determined by the operation ID in the document.
type write struct {
	vm           *VM
	op           change.Operation
	tries        int
	wait         time.Duration
	unknown      bool
	unknownIndex uint64 // expected index of the write with unknown outcome
	refused      bool   // answered not-run
	done         func(Result)
}

// Change applies an operation through an entry VM. It calls done with the result
// unless the process ends first.
func (v *VM) Change(op change.Operation, done func(Result)) {
	w := &write{vm: v, op: op, wait: firstWait, done: done}
	v.runOrQueue(w.try)
}

func (w *write) try() {
	w.tries++
	requestedAt := w.vm.now()
	w.vm.w.Platform.get(w.vm, func(d document) { w.handleRead(d, requestedAt) }, func() { w.retry(errUnreachable) })
}

var (
	errUnreachable = errors.New("enginetest: platform unreachable")
	errConflict    = errors.New("enginetest: document changed")
	errBehind      = errors.New("enginetest: a higher revision is being fetched")
)

func (w *write) retry(err error) {
	if w.tries >= maxTries {
		w.fail(err)
		return
	}
	w.wait = min(2*w.wait, maxWait)
	w.vm.after(w.wait/2+w.vm.w.between(0, w.wait), w.try)
}

func (w *write) fail(err error) {
	v := verdict.NotRun
	if w.unknown {
		v = verdict.MayHaveRun
	}
	w.vm.w.Checker.recordOperation(w, v)
	w.done(Result{Verdict: v, Err: err})
}

func (w *write) handleRead(d document, requestedAt clock.Time) {
	if r, found := d.operations[w.op.ID]; found {
		w.handleAccepted(d, r, requestedAt)
		return
	}
	if w.unknown && d.index != w.unknownIndex {
		w.unknown = false
	}
	next, err := w.build(d)
	if errors.Is(err, errBehind) {
		w.retry(err)
		return
	}
	if err != nil {
		w.fail(err)
		return
	}
	requestedAt = w.vm.now()
	w.vm.w.Platform.compareAndSwap(w.vm, d.index, next, w.op.Operator+" "+string(w.op.Kind)+" "+w.op.Subject(), func(ok bool) {
		if !ok {
			w.retry(errConflict)
			return
		}
		w.handleAccepted(next, next.catalogue.Revision, requestedAt)
	}, func() {
		w.unknown, w.unknownIndex = true, d.index
		w.retry(errUnreachable)
	})
}

// build applies the operation to the newer of the platform's catalogue and the
// catalogue in force.
func (w *write) build(d document) (document, error) {
	base, ok := w.vm.engine.Config().Base(w.vm.now())
	if !ok {
		return document{}, errBehind
	}
	from, at := *d.catalogue, d
	if base.Catalogue != nil && base.Catalogue.Revision > from.Revision {
		from = *base.Catalogue
		at = d.successor(&from, "")
		at.index = d.index
	}
	next := max(from.Revision, base.Floor) + 1
	from.Revision = max(next, uint64(w.vm.now())/uint64(time.Millisecond)) - 1
	c, err := change.Apply(from, w.op, w.vm.now())
	if err != nil {
		return document{}, err
	}
	n := at.successor(&c, w.op.ID)
	n.write = w
	return n, nil
}

func (w *write) handleAccepted(d document, revision uint64, requestedAt clock.Time) {
	w.vm.w.Checker.recordOperation(w, verdict.Ran)
	w.vm.step(&config.Accepted{Catalogue: d.catalogue, ConfirmedAt: requestedAt})
	w.done(Result{Verdict: verdict.Ran, Revision: revision})
}

// restore writes the catalogue in force to a platform that holds an older one.
func (p *Platform) restore(v *VM, c *catalogue.Catalogue) {
	requestedAt := v.now()
	p.get(v, func(d document) {
		if d.catalogue.Revision >= c.Revision {
			return
		}
		next := d.successor(c, "")
		p.compareAndSwap(v, d.index, next, "restored by "+string(v.Self.ID), func(ok bool) {
			if ok {
				v.step(&config.Accepted{Catalogue: c, ConfirmedAt: requestedAt})
			}
		}, func() {})
	}, func() {})
}

// writeShift executes a write of the shift runner. An unknown outcome is reported
// immediately, and the write is repeated with the same operation ID until the
// outcome is known.
func (v *VM) writeShift(x shift.Write) {
	v.w.lastNumber++
	op := change.Operation{ID: fmt.Sprintf("runner-%d", v.w.lastNumber), Operator: change.RunnerName, Kind: change.KindAdvance}
	if x.State == catalogue.RolledBack {
		op.Kind = change.KindRollBack
		op.Shift = &change.ShiftRef{ID: x.Shift, Expect: x.Expect, Reason: x.Hold}
	} else {
		op.Advance = &change.Advance{
			ID: x.Shift, Expect: x.Expect, Share: x.Share, Hold: x.Hold,
			SteppedAt: x.SteppedAt, Done: x.State == catalogue.Done,
		}
	}
	v.after(0, func() { v.repeatShiftWrite(x, op) })
}

func (v *VM) repeatShiftWrite(x shift.Write, op change.Operation) {
	v.Change(op, func(r Result) {
		var conflict *change.Conflict
		v.step(shift.WriteResult{ID: x.ID, Verdict: r.Verdict, Conflict: errors.As(r.Err, &conflict)})
		if r.Verdict == verdict.MayHaveRun {
			v.after(maxWait, func() { v.repeatShiftWrite(x, op) })
		}
	})
}

// Times of the shift runner's lease.
const (
	leaseTTL           = 15 * time.Second
	leaseMargin        = 2 * time.Second
	leasePollInterval  = 2500 * time.Millisecond
	leaseCheckInterval = 500 * time.Millisecond
	leaseCheckValidity = 3 * leaseCheckInterval
)

// leaseView is a process's view of its lease.
type leaseView struct {
	eligible  bool
	until     clock.Time // by the VM's clock; 0 if not held
	reporting bool
}

// pollShiftLease tries to acquire or renew the lease at intervals, and starts
// reporting to the engine whether it is held.
func (v *VM) pollShiftLease() {
	v.after(leasePollInterval, func() {
		if v.shiftLease.eligible && !v.Leaving {
			v.acquireShiftLease()
		}
		v.pollShiftLease()
	})
	if v.shiftLease.reporting {
		return
	}
	v.shiftLease.reporting = true
	v.reportShiftLease(false)
}

func (v *VM) acquireShiftLease() {
	p := v.w.Platform
	requestedAt := v.now()
	process := v.processNumber
	p.call(v, func() func() {
		free := v.w.Now >= p.shiftLease.until || (p.shiftLease.holder == v && p.shiftLease.processNumber == process)
		if !free {
			return func() {}
		}
		p.shiftLease = lease{holder: v, processNumber: process, until: v.w.Now.Add(leaseTTL)}
		return func() { v.shiftLease.until = requestedAt.Add(leaseTTL - leaseMargin) }
	}, func() {})
}

func (v *VM) reportShiftLease(held bool) {
	v.after(leaseCheckInterval, func() {
		now := v.now() < v.shiftLease.until
		if now || held {
			v.step(shift.Platform{Reachable: now})
			v.step(shift.Lease{Held: now, Until: v.now().Add(leaseCheckValidity)})
		}
		v.reportShiftLease(now)
	})
}
