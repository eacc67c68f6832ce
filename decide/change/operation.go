package change

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Kind names an operation.
type Kind string

// The kinds of operation. Each states the payload field it uses.
const (
	KindPutService    Kind = "put-service"    // PutService
	KindRemoveService Kind = "remove-service" // RemoveService
	KindAddShift      Kind = "add-shift"      // AddShift
	KindChangeShift   Kind = "change-shift"   // ChangeShift
	KindApprove       Kind = "approve"        // Shift
	KindStart         Kind = "start"          // Shift
	KindPause         Kind = "pause"          // Shift
	KindResume        Kind = "resume"         // Shift
	KindRollBack      Kind = "roll-back"      // Shift
	KindRemove        Kind = "remove"         // Shift
	KindAdvance       Kind = "advance"        // Advance; only the runner sends it
)

// Operation is one change of the catalogue. Exactly one payload is set, the
// one its Kind uses.
type Operation struct {
	// ID is a UUID in text form, made once by whoever starts the operation
	// and kept across retries. After a lost answer it shows whether the write
	// took effect.
	ID       string `json:"id"`
	Operator string `json:"operator"` // operator, or RunnerName
	Kind     Kind   `json:"kind"`

	PutService    *PutService    `json:"put_service,omitempty"`
	RemoveService *RemoveService `json:"remove_service,omitempty"`
	AddShift      *AddShift      `json:"add_shift,omitempty"`
	ChangeShift   *ChangeShift   `json:"change_shift,omitempty"`
	Shift         *ShiftRef      `json:"shift,omitempty"`
	Advance       *Advance       `json:"advance,omitempty"`
}

// RunnerName is the operator name of the shift runner. No operator may be
// configured under it.
const RunnerName = "azurethreadd"

// PutService adds a service, or replaces the one of the same name.
type PutService struct {
	Service catalogue.Service `json:"service"` // its Revision is ignored
	Expect  uint64            `json:"expect"`  // revision replaced; 0: must not exist
}

// RemoveService removes a service that no shift names.
type RemoveService struct {
	Name   fleet.ServiceName `json:"name"`
	Expect uint64            `json:"expect"`
}

// Entry is what operators write of a traffic shift; the rest of a
// catalogue.Shift is the system's.
type Entry struct {
	ID      string            `json:"id" yaml:"id"`
	Owner   string            `json:"owner" yaml:"owner"`
	Class   catalogue.Class   `json:"class" yaml:"class"`
	Service fleet.ServiceName `json:"service,omitempty" yaml:"service"` // empty: every service
	From    fleet.Region      `json:"from" yaml:"from"`
	To      fleet.Region      `json:"to,omitempty" yaml:"to"` // empty: every other region, by headroom
	Limits  catalogue.Limits  `json:"limits" yaml:"limits"`
}

// EntryOf returns the part of s that operators write.
func EntryOf(s catalogue.Shift) Entry {
	return Entry{
		ID:      s.ID,
		Owner:   s.Owner,
		Class:   s.Class,
		Service: s.Service,
		From:    s.From,
		To:      s.To,
		Limits:  s.Limits,
	}
}

// AddShift adds a traffic shift as a draft. The entry must not exist.
type AddShift struct {
	Entry Entry `json:"entry"`
}

// ChangeShift replaces the content of a traffic shift that moves nothing.
type ChangeShift struct {
	Entry  Entry  `json:"entry"`
	Expect uint64 `json:"expect"`
}

// ShiftRef names the traffic shift that a life-cycle operation is for.
type ShiftRef struct {
	ID string `json:"id"`
	// Expect is the entry revision that the operator saw. Zero stands for
	// any version in Pause and RollBack, and matches nothing elsewhere.
	Expect uint64 `json:"expect"`
	// Reason is shown as the shift's Hold after Pause and RollBack.
	Reason string `json:"reason,omitempty"`
}

// Advance is the runner's report of a step, or of why it holds.
type Advance struct {
	ID     string `json:"id"`
	Expect uint64 `json:"expect"`
	// Share to move from now on. It may fall by any amount, and rise by at
	// most Limits.Step, inside the window and no sooner than Limits.Interval
	// after the last step.
	Share     catalogue.Share `json:"share"`
	Hold      string          `json:"hold,omitempty"` // why the share is held; empty while it advances
	SteppedAt int64           `json:"stepped_at"`     // Unix ns of the last step; never falls
	// Done finishes the shift; the share must be at its cap. The runner sets
	// it once the receiver is seen to have absorbed the last step.
	Done bool `json:"done,omitempty"`
}

// Subject returns the shift id or service name that o is about, for logs.
func (o Operation) Subject() string {
	switch {
	case o.PutService != nil:
		return string(o.PutService.Service.Name)
	case o.RemoveService != nil:
		return string(o.RemoveService.Name)
	case o.AddShift != nil:
		return o.AddShift.Entry.ID
	case o.ChangeShift != nil:
		return o.ChangeShift.Entry.ID
	case o.Shift != nil:
		return o.Shift.ID
	case o.Advance != nil:
		return o.Advance.ID
	}
	return ""
}
