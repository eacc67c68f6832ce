package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/verdict"
)

// failure is an Error body with its status code.
type failure struct {
	status int
	body   Error
}

// Error implements error.
func (f *failure) Error() string { return f.body.Message }

// newFailure returns a failure with the verdict not-run.
func newFailure(status int, code Code, message string) error {
	return &failure{status, Error{Code: code, Message: message, Verdict: verdict.NotRun}}
}

// failureOf converts any error of an endpoint into its answer.
func failureOf(err error, operation string) *failure {
	f := classify(err)
	f.body.Operation = operation
	return f
}

func classify(err error) *failure {
	var (
		own      *failure
		invalid  *change.Invalid
		conflict *change.Conflict
		refused  *change.Refused
		failed   *verdict.Error
	)
	body := Error{Message: err.Error(), Verdict: verdict.NotRun}
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &invalid):
		body.Code, body.Fields = CodeInvalid, invalid.Fields
		return &failure{http.StatusUnprocessableEntity, body}
	case errors.As(err, &conflict):
		body.Code, body.Conflict = CodeConflict, conflictOf(conflict)
		return &failure{http.StatusConflict, body}
	case errors.As(err, &refused):
		body.Code, body.Refusal = CodeRefused, refused.Code
		body.Fields = []change.FieldError{{Path: refused.Field, Message: refused.Reason}}
		return &failure{http.StatusForbidden, body}
	case errors.As(err, &failed) && failed.Verdict == verdict.NotRun:
		body.Code = CodeUnavailable
		if failed.Reason == verdict.ReasonNotReady {
			body.Code = CodeNotReady
		}
		return &failure{http.StatusServiceUnavailable, body}
	}
	// All other errors, deadlines in particular, do not prove that nothing was
	// changed.
	body.Verdict = verdict.MayHaveRun
	body.Code = CodeInternal
	status := http.StatusInternalServerError
	if failed != nil || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		body.Code = CodeOutcomeUnknown
		status = http.StatusGatewayTimeout
	}
	return &failure{status, body}
}

func conflictOf(c *change.Conflict) *Conflict {
	out := &Conflict{Expect: c.Expect, Found: c.Found}
	if c.YourShift != nil || c.YourService != nil {
		out.Yours = &Version{Entry: c.YourShift, Service: c.YourService}
	}
	if c.CurrentShift != nil || c.CurrentService != nil {
		out.Current = &Version{Shift: c.CurrentShift, Service: c.CurrentService}
	}
	return out
}
