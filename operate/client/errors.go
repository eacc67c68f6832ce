package client

import (
	"fmt"

	"github.com/azurethread/azurethread/serve/admin"
)

// APIError is an error response of the API. A change that returned it was
// certainly not made.
type APIError struct {
	Status int // HTTP status
	Body   admin.Error
}

// Error implements error.
func (e *APIError) Error() string { return e.Body.Message }

// Unreachable means that the entry VM gave no answer. A change that returned
// it was not sent.
type Unreachable struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *Unreachable) Error() string { return fmt.Sprintf("%s is not reachable: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Err }

// UnknownOutcome means that a change was sent and may have been made.
type UnknownOutcome struct {
	Operation string
	Err       error // the failure; nil if the platform has not settled the change yet
}

// Error implements error.
func (e *UnknownOutcome) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("the outcome of operation %s is not known yet", e.Operation)
	}
	return fmt.Sprintf("the outcome of operation %s is unknown: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcome) Unwrap() error { return e.Err }
