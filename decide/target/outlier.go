package target

import (
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/retry"
)

// State says how far a machine is in use.
type State uint8

const (
	// InUse machines take requests up to their limit.
	InUse State = iota
	// Ejected machines take none.
	Ejected
	// Testing machines take one request at a time; its outcome decides.
	Testing
)

// String returns "in-use", "ejected" or "testing".
func (s State) String() string {
	return [...]string{"in-use", "ejected", "testing"}[s]
}

// The thresholds of Outlier.
const (
	maxConsecutiveFailures = 3   // failures without an answer in between that make an outlier
	windowSamples          = 20  // outcomes after which older ones count half
	minSamples             = 10  // outcomes before the share is looked at
	failureShare           = 0.5 // share of failures that makes an outlier
	testsToRestore         = 2   // answers in a row that bring a machine back
	minEjection            = 1 * time.Second
	maxEjection            = 30 * time.Second
	answerOverride         = 2 * time.Second // how long an answer outvotes a bad health report
)

// Outlier judges a machine by the outcomes of requests.
//
// Health endpoints lie both ways: one answers "fine" while every request
// fails, another says "unwell" of a target that answers. What requests see
// comes first, and a health report counts only where no request has been
// answered lately.
type Outlier struct {
	state               State
	consecutiveFailures int
	answered, failed    float64
	passedTests         int
	ejectedUntil        clock.Time // end of the ejection
	lastAnswer          clock.Time
	backoff             retry.Backoff
}

// Standing returns how far the machine is in use.
func (o *Outlier) Standing() State { return o.state }

// Until returns when the present ejection ends.
func (o *Outlier) Until() clock.Time { return o.ejectedUntil }

// LastAnswer returns when the last whole answer came, 0 if none has.
func (o *Outlier) LastAnswer() clock.Time { return o.lastAnswer }

// Answered records a whole answer that isn't a server error. It reports
// whether the machine has come back into use by it.
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

// Failed records a request that failed, and reports whether the machine is an
// outlier now and should be ejected.
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

// Outvoted reports whether a bad health report is contradicted by an answer
// to a request.
func (o *Outlier) Outvoted(now clock.Time) bool {
	return o.lastAnswer != 0 && o.consecutiveFailures == 0 && now.Sub(o.lastAnswer) < answerOverride
}

// Eject takes the machine out of use for a time that doubles with each
// ejection in a row.
func (o *Outlier) Eject(now clock.Time, rng *rand.Rand) {
	o.backoff.Min, o.backoff.Max = minEjection, maxEjection
	o.state = Ejected
	o.passedTests = 0
	o.ejectedUntil = now.Add(o.backoff.Next(rng))
}

// Test lets the machine take one request at a time.
func (o *Outlier) Test() {
	o.state = Testing
	o.passedTests = 0
}

// Postpone makes the ejection last until the given instant.
func (o *Outlier) Postpone(until clock.Time) { o.ejectedUntil = until }

func (o *Outlier) restore() {
	o.state = InUse
	o.answered, o.failed = 0, 0
	o.backoff.Reset()
}

// Restore brings the machine back into use without a test.
func (o *Outlier) Restore() { o.restore() }
