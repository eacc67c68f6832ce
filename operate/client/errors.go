package client

import (
	"fmt"

	"github.com/azurethread/azurethread/serve/admin"
)

// APIError is an answer of the API that is not a success. A change that ended
// so was certainly not made.
type APIError struct {
	Status int // HTTP status
	Body   admin.Error
}

// Error implements error.
func (e *APIError) Error() string { return e.Body.Message }

// Unreachable says that the entry VM gave no answer. A change that ended so
// was not sent.
type Unreachable struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *Unreachable) Error() string { return fmt.Sprintf("%s is not reachable: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Err }

// UnknownOutcome says that a change was sent and may have been made.
type UnknownOutcome struct {
	Operation string
	Err       error // what went wrong; nil where the platform has yet to say
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
