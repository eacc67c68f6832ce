package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// A target that rejects a request proves that it has not run by naming it. A rejection without
// a name proves it only as the first answer on its connection: behind any answer, a target may
// send bytes that no request caused. Where targets name what they reject, requests share
// connections. Where they do not, a request that may not be repeated gets a connection that
// has carried nothing: otherwise its caller could not be told that it has not run, and no
// other target could be tried. So does an idempotent one whose target has just rejected
// another, so that its caller can be told when to come back.

const (
	// unnamedRejectionMemory is for how long the targets of a service are expected to reject
	// requests without naming them.
	unnamedRejectionMemory = 10 * time.Minute
	// rejectionMemory is for how long a target that has rejected a request is expected to
	// reject others.
	rejectionMemory = time.Second
)

// rejectionReceived records that t has rejected a request, or may have, and whether it named
// the request.
func (t *targetState) rejectionReceived(now clock.Time, named bool) {
	t.rejectedAt = now
	if !named {
		t.svc.unnamedRejectionAt = now
	}
}

// needsUnused reports whether q is to be sent to t on a connection that has carried nothing.
// After an answer that proved nothing, the next one is to prove what it states.
func (q *request) needsUnused(now clock.Time, t *targetState) bool {
	switch {
	case q.reason == verdict.ReasonUnproved:
		return true
	case !within(now, q.svc.unnamedRejectionAt, unnamedRejectionMemory):
		return false
	default:
		return !q.route.Idempotent || within(now, t.rejectedAt, rejectionMemory)
	}
}

// within reports whether at, 0 for never, is less than span ago.
func within(now, at clock.Time, span time.Duration) bool { return at != 0 && now.Sub(at) < span }
