package admin

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Prefix is the path under which all routes of this package live.
const Prefix = "/v1/admin/"

// OperationHeader is the header field with the operation id of a change, a UUID in
// text form. A client that repeats a change after a lost answer sends the same
// id. A request without an id is assigned one.
const OperationHeader = "Azurethread-Operation"

// Accepted is the JSON body of the answer to a change.
type Accepted struct {
	Operation string `json:"operation"`
	// Revision of the catalogue that holds the change; zero while unsettled.
	Revision uint64 `json:"revision,omitempty"`
	// Settled is false if it is unknown whether the platform has made the write.
	// The outcome must then be queried by operation id.
	Settled bool `json:"settled"`
}

// Outcome is the known outcome of an operation: Ran means that it was accepted at
// Revision, NotRun that it has not taken effect and never will.
type Outcome struct {
	Operation string          `json:"operation"`
	Verdict   verdict.Verdict `json:"verdict"`
	Revision  uint64          `json:"revision,omitempty"`
}

// InForce reports which entry VMs have applied a revision.
type InForce struct {
	Revision uint64       `json:"revision"`
	Applied  int          `json:"applied"` // entry VMs at this revision or a higher one
	Total    int          `json:"total"`   // live entry VMs known here
	Missing  []fleet.VMID `json:"missing"` // live entry VMs not known to have applied it
}

// Status is the state of one entry VM and of the system as known to it.
type Status struct {
	VM          fleet.VMID         `json:"vm"`
	Region      fleet.Region       `json:"region"`
	Domain      fleet.Domain       `json:"domain"`
	Incarnation fleet.Incarnation  `json:"incarnation"`
	Stopping    bool               `json:"stopping"`
	Revision    uint64             `json:"revision"`     // catalogue revision in force here; 0: none yet
	RevisionAge catalogue.Duration `json:"revision_age"` // since this revision was last confirmed as the newest
	// PlatformReachable is whether this entry VM itself reaches the platform.
	PlatformReachable bool `json:"platform_reachable"`
	// CutOff is true if no newer revision can arrive, neither from the platform
	// nor from peers elsewhere. Traffic shifts then stay as they are.
	CutOff  bool          `json:"cut_off"`
	Members []Member      `json:"members"`
	Loads   []Load        `json:"loads"`
	Shifts  []ShiftStatus `json:"shifts"`
	// InvariantViolations counts the invariant violations that the program has
	// detected since it started. Any value other than zero indicates a defect.
	InvariantViolations uint64 `json:"invariant_violations"`
}

// Member is one entry VM as known to the answering one.
type Member struct {
	VM       fleet.VMID   `json:"vm"`
	Region   fleet.Region `json:"region"`
	Domain   fleet.Domain `json:"domain"`
	State    string       `json:"state"`    // "live", "leaving" or "dead"
	Revision uint64       `json:"revision"` // last catalogue revision it reported
}

// Load is the load of one region for one service.
type Load struct {
	Region   fleet.Region       `json:"region"`
	Service  fleet.ServiceName  `json:"service"`
	InFlight float64            `json:"in_flight"` // requests in flight at targets
	Capacity float64            `json:"capacity"`  // slots of live targets
	Headroom catalogue.Share    `json:"headroom"`  // free part of the capacity, in 1/10,000
	Age      catalogue.Duration `json:"age"`       // age of the report
}

// ShiftStatus is the state of one traffic shift and its limit.
type ShiftStatus struct {
	ID       string               `json:"id"`
	State    catalogue.ShiftState `json:"state"`
	Service  fleet.ServiceName    `json:"service"`
	From     fleet.Region         `json:"from"`
	To       fleet.Region         `json:"to"`
	Share    catalogue.Share      `json:"share"`     // share to move, from the catalogue
	Moved    catalogue.Share      `json:"moved"`     // share measured as moved
	MaxShare catalogue.Share      `json:"max_share"` // maximum share
	Hold     string               `json:"hold,omitempty"`
}

// Watch is the JSON body of the answer to a long poll.
type Watch struct {
	Revision uint64 `json:"revision"`
	Changed  bool   `json:"changed"` // false if the wait ended first
	Status   Status `json:"status"`
}

// JSON bodies of the answers with lists.
type (
	// Services is the list of services.
	Services struct {
		Revision uint64              `json:"revision"`
		Services []catalogue.Service `json:"services"`
	}
	// Shifts is the list of traffic shifts.
	Shifts struct {
		Revision uint64            `json:"revision"`
		Shifts   []catalogue.Shift `json:"shifts"`
	}
)

// ShiftAction is the JSON body of approve, start, pause, resume and rollback
// requests.
type ShiftAction struct {
	Expect uint64 `json:"expect"`
	Reason string `json:"reason,omitempty"`
}

// Code identifies the failure of an administration request. For a refusal by the
// catalogue, Error.Refusal holds its change.Code.
type Code string

// Failure codes.
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

// Error is the JSON body of every failure.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Verdict tells whether the change may have taken effect.
	Verdict   verdict.Verdict     `json:"verdict"`
	Operation string              `json:"operation,omitempty"`
	Fields    []change.FieldError `json:"fields,omitempty"`
	Refusal   change.Code         `json:"refusal,omitempty"`
	Conflict  *Conflict           `json:"conflict,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// Conflict describes a change that was based on an outdated entry, with both
// versions.
type Conflict struct {
	Expect  uint64   `json:"expect"` // entry revision that the change was based on
	Found   uint64   `json:"found"`  // current entry revision; 0 if there is no such entry
	Yours   *Version `json:"yours,omitempty"`
	Current *Version `json:"current,omitempty"`
}

// Version is one side of a conflict. Exactly one field is set.
type Version struct {
	Entry   *change.Entry      `json:"entry,omitempty"`   // the entry that the operator sent
	Shift   *catalogue.Shift   `json:"shift,omitempty"`   // a shift in the catalogue
	Service *catalogue.Service `json:"service,omitempty"` // a service, on either side
}
