package change

import (
	"fmt"
	"strings"

	"github.com/azurethread/azurethread/decide/catalogue"
)

// FieldError describes why one field is invalid.
type FieldError struct {
	Path    string `json:"path"` // dotted, such as "limits.max_share"
	Message string `json:"message"`
}

// Error implements error.
func (f FieldError) Error() string { return f.Path + ": " + f.Message }

// Invalid lists every invalid field of an operation.
type Invalid struct {
	Fields []FieldError
}

// Error implements error.
func (e *Invalid) Error() string {
	parts := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		parts[i] = f.Error()
	}
	return "invalid: " + strings.Join(parts, "; ")
}

// Conflict reports that the entry is not at the revision on which the operation
// was based. Only the pair of fields for the entry's type is set: the Your field,
// unless the operation has no content, and the Current field, unless the entry
// doesn't exist.
type Conflict struct {
	Kind    Kind   `json:"kind"`
	Subject string `json:"subject"`
	Expect  uint64 `json:"expect"` // entry revision the operation was based on
	Found   uint64 `json:"found"`  // entry revision now; 0: no such entry

	YourShift      *Entry             `json:"your_shift,omitempty"`
	CurrentShift   *catalogue.Shift   `json:"current_shift,omitempty"`
	YourService    *catalogue.Service `json:"your_service,omitempty"`
	CurrentService *catalogue.Service `json:"current_service,omitempty"`
}

// Error implements error.
func (e *Conflict) Error() string {
	switch {
	case e.Found == 0:
		return fmt.Sprintf("conflict: %s of %q is based on revision %d, and the entry does not exist", e.Kind, e.Subject, e.Expect)
	case e.Expect == 0:
		return fmt.Sprintf("conflict: %s of %q states no revision, and the entry exists at %d", e.Kind, e.Subject, e.Found)
	default:
		return fmt.Sprintf("conflict: %s of %q is based on revision %d, and the entry is at %d", e.Kind, e.Subject, e.Expect, e.Found)
	}
}

// Code identifies the reason of a refusal. Operators and scripts read it.
type Code string

// The refusals.
const (
	WrongState  Code = "wrong-state"   // the life cycle has no such transition
	OwnEntry    Code = "own-entry"     // the class requires a second operator
	InUse       Code = "in-use"        // a shift refers to the service
	Overlap     Code = "overlap"       // contradicts another moving shift
	OverCap     Code = "over-cap"      // share above Limits.MaxShare
	OverStep    Code = "over-step"     // rise above Limits.Step
	TooSoon     Code = "too-soon"      // rise before Limits.Interval has passed
	OutOfWindow Code = "out-of-window" // outside Limits.Window
	NotRunner   Code = "not-runner"    // the operation is reserved for the runner
)

// Refused reports a valid operation that the entry's state or limits forbid.
type Refused struct {
	Code   Code
	Field  string // field that the refusal is about, such as "state"
	Reason string
}

// Error implements error.
func (e *Refused) Error() string {
	return fmt.Sprintf("refused (%s): %s: %s", e.Code, e.Field, e.Reason)
}

func refuse(code Code, field, format string, args ...any) error {
	return &Refused{Code: code, Field: field, Reason: fmt.Sprintf(format, args...)}
}
