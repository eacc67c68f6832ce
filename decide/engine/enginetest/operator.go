package enginetest

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/verdict"
)

// OperatorRequest is an operation that an operator wants carried out.
type OperatorRequest struct {
	Op     change.Operation
	Result Result
	Done   bool
	// MustPersist says that it was accepted, and that nothing has excused its loss.
	MustPersist bool

	w       *World
	at      *VM
	tries   int
	sends   int // tries that reached a process
	refused int // sends answered not-run
}

// The patience of operators.
const (
	operatorTimeout  = 15 * time.Second
	maxOperatorTries = 4
)

// Operate gives an operation to an entry VM. While nobody can say what became
// of it, it is given under the same id to another one. Not-run speaks of one
// send only: the operator believes it once all sends have been answered so.
func (w *World) Operate(v *VM, op change.Operation) *OperatorRequest {
	w.Checker.Counts.Operations++
	if op.ID == "" {
		w.lastNumber++
		op.ID = fmt.Sprintf("op-%d", w.lastNumber)
	}
	o := &OperatorRequest{Op: op, w: w, at: v}
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
	mine, at := o.tries, o.at
	settled := func(r Result) {
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
	if o.at.Up {
		o.sends++
		o.w.trace("%s gives %s, %s %s, to %s", o.Op.Operator, o.Op.ID, o.Op.Kind, o.Op.Subject(), o.at.Self.ID)
		o.at.Change(o.Op, func(r Result) { o.w.After(delayCaller, func() { settled(r) }) })
	}
	o.w.After(operatorTimeout, func() {
		if o.tries == mine && !o.Done {
			o.at = o.w.anyLiveVM(o.at)
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

// anyLiveVM returns a live entry VM, v if there is no other.
func (w *World) anyLiveVM(v *VM) *VM {
	from := w.IntN(len(w.VMs))
	for i := range w.VMs {
		if o := w.VMs[(from+i)%len(w.VMs)]; o.Up && !o.Leaving {
			return o
		}
	}
	return v
}

// recordOperation books what an entry VM says of a send of an operation.
func (b *Checker) recordOperation(w *write, v verdict.Verdict) {
	switch v {
	case verdict.Ran:
		b.Counts.Accepted++
	case verdict.NotRun:
		w.refused = true
	}
}

// checkWritten checks a document that the platform has just taken. An entry VM says
// not-run only if no write of that send will ever take effect. Another send of
// the same operation may still: the entry VMs don't know of each other's.
func (b *Checker) checkWritten(w *write) {
	if w.refused {
		b.reportViolation("operation %s was accepted after %s said not-run", w.op.ID, w.v.Self.ID)
	}
	b.checkSameBase(w.op)
}

// entryVersion names what a change of an entry was based on.
type entryVersion struct {
	shift  string
	expect uint64
}

// checkSameBase checks that of two changes based on the same version of an entry
// one at most is in the platform's history.
func (b *Checker) checkSameBase(op change.Operation) {
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
	if id, seen := b.acceptedByBase[k]; seen && id != op.ID {
		b.reportViolation("operations %s and %s both changed %s at revision %d", id, op.ID, k.shift, k.expect)
	}
	b.acceptedByBase[k] = op.ID
}

// recordRestore excuses the loss of what only the platform had: accepted so lately
// that no entry VM may have heard of it. What the platform has lost is no longer
// in its history.
func (b *Checker) recordRestore() {
	known := uint64(0)
	for _, v := range b.w.VMs {
		if v.Up {
			known = max(known, v.revision)
		}
	}
	for _, o := range b.operatorRequests {
		if o.Result.Revision > known {
			o.MustPersist = false
		}
	}
	for k, id := range b.acceptedByBase {
		if _, kept := b.w.Platform.doc.operations[id]; !kept {
			delete(b.acceptedByBase, k)
		}
	}
}

// Converged returns what is missing for all live entry VMs to hold the
// platform's catalogue, with everything in it that was accepted, and the
// machine list as it is.
func (w *World) Converged() error {
	for _, t := range w.Targets {
		for _, v := range w.VMs {
			if v.Up && v.Location == t.Location && !v.listsTarget(t) {
				return fmt.Errorf("enginetest: %s does not hold %s as it is", v.Self.ID, t.ID)
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
			return fmt.Errorf("enginetest: shift %q was accepted at revision %d and is gone", o.Op.AddShift.Entry.ID, o.Result.Revision)
		}
	}
	return nil
}

// highestRevision is the highest revision in force at a live process.
func (b *Checker) highestRevision() uint64 {
	h := uint64(0)
	for _, v := range b.w.VMs {
		if v.Up {
			h = max(h, v.revision)
		}
	}
	return h
}
