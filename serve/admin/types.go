package admin

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Prefix is the path under which all routes of this package live.
const Prefix = "/v1/admin/"

// OperationHeader carries the operation id of a change, a UUID in text form.
// A client that sends a change again after a lost answer sends the same id.
// A request without one is given an id.
const OperationHeader = "Azurethread-Operation"

// Accepted answers a change.
type Accepted struct {
	Operation string `json:"operation"`
	// Revision of the catalogue that holds the change; zero while unsettled.
	Revision uint64 `json:"revision,omitempty"`
	// Settled is false where the platform has not said whether the write
	// took effect. It must then be asked for by operation id.
	Settled bool `json:"settled"`
}

// Outcome says what is known of an operation: Ran means accepted at Revision,
// NotRun that it did not and never will take effect.
type Outcome struct {
	Operation string          `json:"operation"`
	Verdict   verdict.Verdict `json:"verdict"`
	Revision  uint64          `json:"revision,omitempty"`
}

// InForce says how far a revision has spread.
type InForce struct {
	Revision uint64       `json:"revision"`
	Applied  int          `json:"applied"` // entry VMs at this revision or a higher one
	Total    int          `json:"total"`   // live entry VMs known here
	Missing  []fleet.VMID `json:"missing"` // live entry VMs not known to have applied it
}

// Status is what one entry VM knows of itself and of the system.
type Status struct {
	VM          fleet.VMID         `json:"vm"`
	Region      fleet.Region       `json:"region"`
	Domain      fleet.Domain       `json:"domain"`
	Incarnation fleet.Incarnation  `json:"incarnation"`
	Stopping    bool               `json:"stopping"`
	Revision    uint64             `json:"revision"`     // catalogue revision in force here; 0: none yet
	RevisionAge catalogue.Duration `json:"revision_age"` // since this revision was last confirmed as the newest
	// PlatformReachable is this entry VM's own sight of the platform.
	PlatformReachable bool `json:"platform_reachable"`
	// CutOff says that no newer revision can arrive, from the platform or
	// from peers elsewhere; shifts stand still.
	CutOff  bool          `json:"cut_off"`
	Members []Member      `json:"members"`
	Loads   []Load        `json:"loads"`
	Shifts  []ShiftStatus `json:"shifts"`
	// InvariantViolations counts broken invariants seen by the program's own
	// checks since it started. Anything but zero is a fault.
	InvariantViolations uint64 `json:"invariant_violations"`
}

// Member is one entry VM as seen here.
type Member struct {
	VM       fleet.VMID   `json:"vm"`
	Region   fleet.Region `json:"region"`
	Domain   fleet.Domain `json:"domain"`
	State    string       `json:"state"`    // "live", "leaving" or "dead"
	Revision uint64       `json:"revision"` // last catalogue revision it reported
}

// Load is what one region bears for one service.
type Load struct {
	Region   fleet.Region       `json:"region"`
	Service  fleet.ServiceName  `json:"service"`
	InFlight float64            `json:"in_flight"` // requests in flight at targets
	Capacity float64            `json:"capacity"`  // slots of live targets
	Headroom catalogue.Share    `json:"headroom"`  // free part of the capacity, in 1/10,000
	Age      catalogue.Duration `json:"age"`       // age of the report
}

// ShiftStatus is one traffic shift against its limits.
type ShiftStatus struct {
	ID       string               `json:"id"`
	State    catalogue.ShiftState `json:"state"`
	Service  fleet.ServiceName    `json:"service"`
	From     fleet.Region         `json:"from"`
	To       fleet.Region         `json:"to"`
	Share    catalogue.Share      `json:"share"`     // share the catalogue says is moved
	Moved    catalogue.Share      `json:"moved"`     // share counted as moved
	MaxShare catalogue.Share      `json:"max_share"` // cap
	Hold     string               `json:"hold,omitempty"`
}

// Watch answers a long poll.
type Watch struct {
	Revision uint64 `json:"revision"`
	Changed  bool   `json:"changed"` // false: the wait ended first
	Status   Status `json:"status"`
}

// Page types of the lists.
type (
	// Services answers a list of services.
	Services struct {
		Revision uint64              `json:"revision"`
		Services []catalogue.Service `json:"services"`
	}
	// Shifts answers a list of traffic shifts.
	Shifts struct {
		Revision uint64            `json:"revision"`
		Shifts   []catalogue.Shift `json:"shifts"`
	}
)

// ShiftAction is the body of approve, start, pause, resume and rollback.
type ShiftAction struct {
	Expect uint64 `json:"expect"`
	Reason string `json:"reason,omitempty"`
}

// Code names the failure of an administration request. A refusal by the
// catalogue keeps its change.Code in Error.Refusal.
type Code string

// The codes of failures.
const (
	CodeBadRequest      Code = "bad-request"
	CodeInvalid         Code = "invalid"
	CodeConflict        Code = "conflict"
	CodeRefused         Code = "refused"
	CodeUnauthenticated Code = "unauthenticated"
	CodeNotFound        Code = "not-found"
	CodeTooLarge        Code = "body-too-large"
	CodeTooManyWatches  Code = "too-many-watches"
	CodeNotReady        Code = "not-ready"
	CodeUnavailable     Code = "platform-unavailable"
	CodeOutcomeUnknown  Code = "outcome-unknown"
	CodeInternal        Code = "internal"
)

// Error is the JSON body of every answer that is not a success.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Verdict says whether the change may have taken effect.
	Verdict   verdict.Verdict     `json:"verdict"`
	Operation string              `json:"operation,omitempty"`
	Fields    []change.FieldError `json:"fields,omitempty"`
	Refusal   change.Code         `json:"refusal,omitempty"`
	Conflict  *Conflict           `json:"conflict,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// Conflict shows both sides of a lost race.
type Conflict struct {
	Expect  uint64   `json:"expect"` // entry revision the change was based on
	Found   uint64   `json:"found"`  // entry revision now; 0: no such entry
	Yours   *Version `json:"yours,omitempty"`
	Current *Version `json:"current,omitempty"`
}

// Version is one side of a conflict; one field is set.
type Version struct {
	Entry   *change.Entry      `json:"entry,omitempty"`   // what an operator wrote
	Shift   *catalogue.Shift   `json:"shift,omitempty"`   // a shift in the catalogue
	Service *catalogue.Service `json:"service,omitempty"` // a service, on either side
}
