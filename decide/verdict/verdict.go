// Package verdict states what is known about the execution of a request.
//
// A caller that sees an error must decide whether a retry could run a permit
// submission or a fee posting twice. A status code doesn't say this, so every
// error carries a Verdict end to end: in the decision code, on the wire between
// entry VMs, and in the answer to the caller.
package verdict

import "fmt"

// Verdict says whether a request may have run at a target.
type Verdict uint8

const (
	// MayHaveRun is the zero value on purpose: where nothing is known, the
	// only safe statement is that the request may have run.
	MayHaveRun Verdict = iota
	// NotRun requires proof: no byte of the request was handed to a
	// connection, or the receiver explicitly refused it before running it.
	NotRun
	// Ran means that the target answered the request.
	Ran
)

// The HTTP response headers that carry a verdict and its Reason.
const (
	Header       = "Azurethread-Verdict"
	HeaderReason = "Azurethread-Reason"
)

var names = [...]string{
	MayHaveRun: "may-have-run",
	NotRun:     "not-run",
	Ran:        "ran",
}

// String returns the wire form: "not-run", "may-have-run" or "ran".
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return names[MayHaveRun]
}

// Parse parses the wire form. An unknown value gives MayHaveRun, the safe
// interpretation, and false.
func Parse(s string) (Verdict, bool) {
	for v, n := range names {
		if n == s {
			return Verdict(v), true
		}
	}
	return MayHaveRun, false
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(b []byte) error {
	p, ok := Parse(string(b))
	if !ok {
		return fmt.Errorf("verdict: unknown value %q", b)
	}
	*v = p
	return nil
}

// Join combines the verdicts of two attempts of one request: it ran if either
// attempt ran, and has not run only if neither attempt can have run.
func Join(a, b Verdict) Verdict {
	switch {
	case a == Ran || b == Ran:
		return Ran
	case a == NotRun && b == NotRun:
		return NotRun
	default:
		return MayHaveRun
	}
}

// MayRepeat reports whether a request may be sent again after this verdict.
func (v Verdict) MayRepeat(idempotent bool) bool {
	return v == NotRun || (idempotent && v == MayHaveRun)
}

// Reason says why a request was refused or failed; it is sent to the caller
// and appears in logs and metrics.
type Reason string

// Reasons given by an entry VM.
const (
	ReasonNone             Reason = ""
	ReasonUnknownService   Reason = "unknown-service"
	ReasonRouteDefect      Reason = "route-defect"
	ReasonNotReady         Reason = "not-ready"
	ReasonStopping         Reason = "stopping"
	ReasonOverload         Reason = "overload"
	ReasonQueueFull        Reason = "queue-full"
	ReasonDeadline         Reason = "deadline"
	ReasonNoTarget         Reason = "no-target"
	ReasonConnect          Reason = "connect-failed"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonSilent           Reason = "connection-silent"
	ReasonAnswerCut        Reason = "answer-cut"
	ReasonUnproved         Reason = "answer-unproved"
	ReasonTargetRefused    Reason = "target-refused"
	ReasonBodyTooLarge     Reason = "body-too-large"
	ReasonBadRequest       Reason = "bad-request"
	ReasonTokenRequired    Reason = "token-required"
	ReasonTokenInvalid     Reason = "token-invalid"
	ReasonTokenElsewhere   Reason = "token-of-another-entry-vm"
	ReasonTokenUsed        Reason = "token-used"
	ReasonTokenExpired     Reason = "token-expired"
	ReasonHopLimit         Reason = "hop-limit"
	ReasonCallerGone       Reason = "caller-gone"
	ReasonRetriesExhausted Reason = "retries-exhausted"
	ReasonInternal         Reason = "internal"
	ReasonQuarantined      Reason = "quarantined"
	ReasonGateway          Reason = "gateway-failed"
	ReasonKeyMissing       Reason = "key-missing"
	ReasonKeyUnknown       Reason = "key-unknown"
	ReasonAccountDefect    Reason = "account-defect"
	ReasonNoCommonRegion   Reason = "no-common-region"
	ReasonOverQuota        Reason = "over-quota"
	ReasonUnavailable      Reason = "target-unavailable"
	ReasonNoMemory         Reason = "no-memory-for-answer"
)

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	Reason  Reason
	Err     error // cause; may be nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
