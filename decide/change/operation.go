package change

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Kind identifies what an operation does.
type Kind string

// The kinds of operation, each with the payload field that it uses.
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

// Operation is one change of the catalogue. Only the payload field of its Kind
// is set.
type Operation struct {
	// ID is a UUID in text form. The client generates it once for each
	// operation and reuses it for retries. After a lost answer it shows
	// whether the write took effect.
	ID       string `json:"id"`
	Operator string `json:"operator"` // name of the operator, or RunnerName
	Kind     Kind   `json:"kind"`

	PutService    *PutService    `json:"put_service,omitempty"`
	RemoveService *RemoveService `json:"remove_service,omitempty"`
	AddShift      *AddShift      `json:"add_shift,omitempty"`
	ChangeShift   *ChangeShift   `json:"change_shift,omitempty"`
	Shift         *ShiftRef      `json:"shift,omitempty"`
	Advance       *Advance       `json:"advance,omitempty"`
}

// RunnerName is the operator name of the shift runner. No operator can be
// configured with this name.
const RunnerName = "azurethreadd"

// PutService adds a service, or replaces the one of the same name.
type PutService struct {
	Service catalogue.Service `json:"service"` // its Revision is ignored
	Expect  uint64            `json:"expect"`  // revision to replace; 0: must not exist
}

// RemoveService removes a service that no shift refers to.
type RemoveService struct {
	Name   fleet.ServiceName `json:"name"`
	Expect uint64            `json:"expect"`
}

// Entry is the part of a catalogue.Shift that operators write. The system sets
// the rest.
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

// ChangeShift replaces the content of a traffic shift that moves no traffic.
type ChangeShift struct {
	Entry  Entry  `json:"entry"`
	Expect uint64 `json:"expect"`
}

// ShiftRef identifies the traffic shift of a life-cycle operation.
type ShiftRef struct {
	ID string `json:"id"`
	// Expect is the entry revision on which the operation is based. Zero
	// matches any revision for Pause and RollBack, and none otherwise.
	Expect uint64 `json:"expect"`
	// Reason becomes the shift's Hold after Pause and RollBack.
	Reason string `json:"reason,omitempty"`
}

// Advance is the runner's report of a step, or of the reason why it holds.
type Advance struct {
	ID     string `json:"id"`
	Expect uint64 `json:"expect"`
	// Share is the share to move from now on. It may fall by any amount. It
	// may rise by at most Limits.Step, only within the window, and no sooner
	// than Limits.Interval after the last step.
	Share     catalogue.Share `json:"share"`
	Hold      string          `json:"hold,omitempty"` // why the share is held; empty while it advances
	SteppedAt int64           `json:"stepped_at"`     // instant of the last step in Unix ns; never falls
	// Done finishes the shift; the share must be at its cap. The runner sets
	// it once the evidence shows that the receiver has absorbed the last step.
	Done bool `json:"done,omitempty"`
}

// Subject returns the shift id or service name that o changes, for logs.
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
