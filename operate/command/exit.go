package command

import (
	"errors"
	"net/http"

	"github.com/azurethread/azurethread/operate/client"
	"github.com/azurethread/azurethread/serve/admin"
)

// The exit codes of azurethread.
const (
	ExitOK          = 0 // done; a change was accepted
	ExitFailed      = 1 // anything else went wrong; a change was not made
	ExitUsage       = 2 // wrong arguments or settings, or an invalid entry file; nothing was sent
	ExitConflict    = 3 // the entry was changed in the meantime; the change was not made
	ExitRefused     = 4 // the request was refused; the change was not made
	ExitUnknown     = 5 // the change may have been made; query it by operation id
	ExitUnreachable = 6 // no answer from the entry VM, or none from the platform behind it; the change was not made
)

// UsageError is an error in the arguments, the settings or an entry file.
type UsageError struct {
	Err error
}

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for an error returned by a command.
func ExitCode(err error) int {
	var (
		usage       *UsageError
		unknown     *client.UnknownOutcome
		unreachable *client.Unreachable
		apiErr      *client.APIError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unknown): // before APIError, which it may wrap
		return ExitUnknown
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &apiErr):
		return apiExitCode(apiErr)
	}
	return ExitFailed
}

func apiExitCode(e *client.APIError) int {
	switch e.Body.Code {
	case admin.CodeConflict:
		return ExitConflict
	case admin.CodeRefused, admin.CodeInvalid, admin.CodeBadRequest, admin.CodeTooLarge:
		return ExitRefused
	case admin.CodeUnauthenticated:
		return ExitUsage
	case admin.CodeNotReady, admin.CodeUnavailable, admin.CodeOutcomeUnknown:
		return ExitUnreachable
	}
	if e.Status == http.StatusServiceUnavailable {
		return ExitUnreachable
	}
	return ExitFailed
}
