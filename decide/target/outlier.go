package target

import (
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/retry"
)

// State says whether a target or an entry VM is sent requests.
type State uint8

const (
	// InUse allows requests up to the limit.
	InUse State = iota
	// Ejected allows none.
	Ejected
	// Testing allows one request at a time, whose outcome decides.
	Testing
)

// String returns "in-use", "ejected" or "testing".
func (s State) String() string {
	return [...]string{"in-use", "ejected", "testing"}[s]
}

// Thresholds of Outlier.
const (
	maxConsecutiveFailures = 3   // failures without an answer in between that cause an ejection
	windowSamples          = 20  // outcomes after which all counts are halved
	minSamples             = 10  // outcomes before the share of failures counts
	failureShare           = 0.5 // share of failures that causes an ejection
	testsToRestore         = 2   // answers in a row that end an ejection
	minEjection            = 1 * time.Second
	maxEjection            = 30 * time.Second
	answerOverride         = 2 * time.Second // how long an answer overrides a bad health report
)

// Outlier decides from the outcomes of requests whether a target, or an entry
// VM that requests are forwarded to, is ejected.
//
// Health endpoints can be wrong in both directions: one reports a healthy
// target while every request fails, another an unhealthy target that still
// answers. The outcomes of requests therefore take precedence, and a health
// report counts only if no request has been answered lately.
type Outlier struct {
	state               State
	consecutiveFailures int
	answered, failed    float64
	passedTests         int
	ejectedUntil        clock.Time // end of the latest ejection
	lastAnswer          clock.Time
	backoff             retry.Backoff
}

// State returns the present state.
func (o *Outlier) State() State { return o.state }

// Until returns when the latest ejection ends.
func (o *Outlier) Until() clock.Time { return o.ejectedUntil }

// LastAnswer returns when the last complete answer arrived; 0: none has.
func (o *Outlier) LastAnswer() clock.Time { return o.lastAnswer }

// Answered records a complete answer that isn't a server error. It reports
// whether this ended an ejection.
func (o *Outlier) Answered(now clock.Time) bool {
	o.lastAnswer = now
	o.consecutiveFailures = 0
	o.count(&o.answered)
	if o.state == InUse {
		return false
	}
	o.passedTests++
	if o.passedTests < testsToRestore {
		o.state = Testing
		return false
	}
	o.restore()
	return true
}

// Failed records a failed request and reports whether the target should be
// ejected.
func (o *Outlier) Failed() bool {
	o.consecutiveFailures++
	o.passedTests = 0
	o.count(&o.failed)
	if o.state != InUse {
		return true
	}
	n := o.answered + o.failed
	return o.consecutiveFailures >= maxConsecutiveFailures || (n >= minSamples && o.failed >= failureShare*n)
}

func (o *Outlier) count(c *float64) {
	*c++
	if o.answered+o.failed > windowSamples {
		o.answered /= 2
		o.failed /= 2
	}
}

// OverridesHealthReport reports whether a bad health report is contradicted by a recent
// answer to a request.
func (o *Outlier) OverridesHealthReport(now clock.Time) bool {
	return o.lastAnswer != 0 && o.consecutiveFailures == 0 && now.Sub(o.lastAnswer) < answerOverride
}

// Eject stops requests for a time that doubles with each ejection in a row.
func (o *Outlier) Eject(now clock.Time, rng *rand.Rand) {
	o.backoff.Min, o.backoff.Max = minEjection, maxEjection
	o.state = Ejected
	o.passedTests = 0
	o.ejectedUntil = now.Add(o.backoff.Next(rng))
}

// StartTesting allows one request at a time.
func (o *Outlier) StartTesting() {
	o.state = Testing
	o.passedTests = 0
}

// Postpone changes the end of the ejection to the given instant.
func (o *Outlier) Postpone(until clock.Time) { o.ejectedUntil = until }

func (o *Outlier) restore() {
	o.state = InUse
	o.answered, o.failed = 0, 0
	o.backoff.Reset()
}

// Restore ends the ejection without a test.
func (o *Outlier) Restore() { o.restore() }
