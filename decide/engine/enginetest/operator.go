package enginetest

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/verdict"
)

// OperatorRequest is an operation that an operator requests.
type OperatorRequest struct {
	Op     change.Operation
	Result Result
	Done   bool
	// MustPersist is true if the operation was accepted and must not get lost.
	MustPersist bool

	w       *World
	vm      *VM
	tries   int
	sends   int // tries that reached a running process
	refused int // sends answered not-run
}

// Bounds on the retries of operators.
const (
	operatorTimeout  = 15 * time.Second
	maxOperatorTries = 4
)

// Operate sends an operation to an entry VM. While the outcome is unknown, it is
// sent with the same ID to other VMs. A not-run answer applies to one send only,
// so the operation counts as not-run only when every send was answered not-run.
func (w *World) Operate(v *VM, op change.Operation) *OperatorRequest {
	w.Checker.Counts.Operations++
	if op.ID == "" {
		w.lastNumber++
		op.ID = fmt.Sprintf("op-%d", w.lastNumber)
	}
	o := &OperatorRequest{Op: op, w: w, vm: v}
	w.Checker.operatorRequests = append(w.Checker.operatorRequests, o)
	o.try()
	return o
}

func (o *OperatorRequest) try() {
	if o.Done {
		return
	}
	if o.tries++; o.tries > maxOperatorTries {
		return
	}
	current, at := o.tries, o.vm
	handleResult := func(r Result) {
		if o.Done {
			return
		}
		o.Result = r
		o.w.trace("%s is told of %s by %s: %s%s", o.Op.Operator, o.Op.ID, at.Self.ID, r.Verdict, errText(r.Err))
		switch r.Verdict {
		case verdict.Ran:
			o.Done, o.MustPersist = true, true
		case verdict.NotRun:
			o.refused++
			o.Done = o.refused == o.sends
		}
	}
	if o.vm.Up {
		o.sends++
		o.w.trace("%s gives %s, %s %s, to %s", o.Op.Operator, o.Op.ID, o.Op.Kind, o.Op.Subject(), o.vm.Self.ID)
		o.vm.Change(o.Op, func(r Result) { o.w.After(delayCaller, func() { handleResult(r) }) })
	}
	o.w.After(operatorTimeout, func() {
		if o.tries == current && !o.Done {
			o.vm = o.w.anyLiveVM(o.vm)
			o.try()
		}
	})
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return " (" + err.Error() + ")"
}

// anyLiveVM returns a random live entry VM, or v if there is none.
func (w *World) anyLiveVM(v *VM) *VM {
	from := w.IntN(len(w.VMs))
	for i := range w.VMs {
		if o := w.VMs[(from+i)%len(w.VMs)]; o.Up && !o.Leaving {
			return o
		}
	}
	return v
}

// recordOperation records the verdict of an entry VM on one send of an
// operation.
func (ck *Checker) recordOperation(w *write, v verdict.Verdict) {
	switch v {
	case verdict.Ran:
		ck.Counts.Accepted++
	case verdict.NotRun:
		w.refused = true
	}
}

// checkWritten checks a document that the platform has just stored. An entry VM
// may answer not-run only if no write of that send can still take effect.
// Another send of the same operation may still run, because an entry VM has
// no record of the sends to others.
func (ck *Checker) checkWritten(w *write) {
	if w.refused {
		ck.reportViolation("operation %s was stored after %s answered not-run", w.op.ID, w.vm.Self.ID)
	}
	ck.checkSameBase(w.op)
}

// entryVersion is the version of a shift's entry that a change is based on.
type entryVersion struct {
	shift  string
	expect uint64
}

// checkSameBase checks that the platform's history contains at most one change
// based on each version of an entry.
func (ck *Checker) checkSameBase(op change.Operation) {
	var k entryVersion
	switch {
	case op.ChangeShift != nil:
		k = entryVersion{op.ChangeShift.Entry.ID, op.ChangeShift.Expect}
	case op.Shift != nil && op.Shift.Expect != 0:
		k = entryVersion{op.Shift.ID, op.Shift.Expect}
	case op.Advance != nil:
		k = entryVersion{op.Advance.ID, op.Advance.Expect}
	default:
		return
	}
	if id, seen := ck.acceptedByBase[k]; seen && id != op.ID {
		ck.reportViolation("operations %s and %s both changed %s at revision %d", id, op.ID, k.shift, k.expect)
	}
	ck.acceptedByBase[k] = op.ID
}

// recordRestore handles the restore of an older document at the platform.
// Operations with a higher revision than any entry VM has in force may get lost,
// because only the platform had them. Operations that the platform has lost are
// removed from its history.
func (ck *Checker) recordRestore() {
	known := uint64(0)
	for _, v := range ck.w.VMs {
		if v.Up {
			known = max(known, v.revision)
		}
	}
	for _, o := range ck.operatorRequests {
		if o.Result.Revision > known {
			o.MustPersist = false
		}
	}
	for k, id := range ck.acceptedByBase {
		if _, kept := ck.w.Platform.doc.operations[id]; !kept {
			delete(ck.acceptedByBase, k)
		}
	}
}

// Converged checks that all live entry VMs hold the platform's catalogue and the
// current machine list, and that the catalogue contains all accepted shifts. It
// returns the first difference.
func (w *World) Converged() error {
	for _, t := range w.Targets {
		for _, v := range w.VMs {
			if v.Up && v.Location == t.Location && !v.listsTarget(t) {
				return fmt.Errorf("enginetest: the machine list of %s does not show the state of %s", v.Self.ID, t.ID)
			}
		}
	}
	want := w.Platform.Catalogue()
	for _, v := range w.VMs {
		if v.Up && v.revision != want.Revision {
			return fmt.Errorf("enginetest: %s holds revision %d, the platform %d", v.Self.ID, v.revision, want.Revision)
		}
	}
	if w.Checker.highestRevision() > want.Revision {
		return fmt.Errorf("enginetest: revision %d was in force, the platform holds %d", w.Checker.highestRevision(), want.Revision)
	}
	for _, o := range w.Checker.operatorRequests {
		if !o.MustPersist || o.Op.AddShift == nil {
			continue
		}
		if _, found := want.Shift(o.Op.AddShift.Entry.ID); !found {
			return fmt.Errorf("enginetest: shift %q was accepted at revision %d and is missing", o.Op.AddShift.Entry.ID, o.Result.Revision)
		}
	}
	return nil
}

// highestRevision returns the highest revision in force at a running process.
func (ck *Checker) highestRevision() uint64 {
	h := uint64(0)
	for _, v := range ck.w.VMs {
		if v.Up {
			h = max(h, v.revision)
		}
	}
	return h
}
