package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Send sends a request to a target of the own failure domain.
type Send struct {
	Req      RequestID
	Attempt  AttemptID
	Target   fleet.TargetID
	Deadline clock.Time
	// NewConnection asks for a new connection: an earlier attempt may be on a
	// silent connection, and free connections may be silent as well.
	NewConnection bool
}

// Forward sends a request to another entry VM.
type Forward struct {
	Req      RequestID
	Attempt  AttemptID
	VM       fleet.VMID
	Deadline clock.Time
	// ExpectedWait is how long the request may wait there and still be served
	// sooner than here. The transport carries it to the receiver's Arrive.
	ExpectedWait time.Duration
}

// Deliver passes the answer of an attempt to the caller. It is the request's
// final effect.
type Deliver struct {
	Req     RequestID
	Attempt AttemptID
}

// Reply answers the caller with an error. It is the request's final effect.
type Reply struct {
	Req        RequestID
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	RetryAfter time.Duration // 0 when not stated
}

// Cancel ends an attempt whose answer is no longer needed.
type Cancel struct {
	Req     RequestID
	Attempt AttemptID
	// Replace reports that the attempt's connection is suspected to be silent:
	// close it and open another.
	Replace bool
}

// Probe requests a Health event about a target.
type Probe struct{ Target fleet.TargetID }

// Violation reports a violated invariant, which is a bug in this package.
type Violation struct {
	Invariant string
	Detail    string
}

// Ready holds the effects of Step. The transport carries out Cancels before
// Sends and Forwards; the other effects have no order.
type Ready struct {
	Sends      []Send
	Forwards   []Forward
	Delivers   []Deliver
	Replies    []Reply
	Cancels    []Cancel
	Probes     []Probe
	Violations []Violation
	// WakeAt is when the next Tick is due; clock.Never when none is.
	WakeAt clock.Time
}

// Reset empties r but keeps its memory.
func (r *Ready) Reset() {
	r.Sends = r.Sends[:0]
	r.Forwards = r.Forwards[:0]
	r.Delivers = r.Delivers[:0]
	r.Replies = r.Replies[:0]
	r.Cancels = r.Cancels[:0]
	r.Probes = r.Probes[:0]
	r.Violations = r.Violations[:0]
	r.WakeAt = clock.Never
}
