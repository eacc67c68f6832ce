package detect

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Fixed suspects every member that is silent for longer than a fixed timeout.
// It is the baseline for measurements of the other detectors.
type Fixed struct {
	timeout time.Duration
	group   group
}

// NewFixed returns a detector for one group.
func NewFixed(timeout time.Duration) *Fixed { return &Fixed{timeout: timeout} }

// Sent implements Detector.
func (f *Fixed) Sent(now clock.Time, id ID) { f.group.addOwed(now, id, 0) }

// Heard implements Detector.
func (f *Fixed) Heard(now clock.Time, id ID) { f.group.endSilence(now, id, 0) }

// Done implements Detector.
func (f *Fixed) Done(now clock.Time, id ID) {
	f.group.endSilence(now, id, 0)
	f.group.removeOwed(now, id, 0)
}

// Abandoned implements Detector.
func (f *Fixed) Abandoned(now clock.Time, id ID) { f.group.removeOwed(now, id, 0) }

// Suspect implements Detector.
func (f *Fixed) Suspect(now clock.Time, id ID) bool {
	return f.group.silence(now, id) > f.timeout
}

// Due implements Detector.
func (f *Fixed) Due(now clock.Time, id ID) clock.Time {
	return f.group.boundPassedAt(now, id, f.timeout)
}

// Forget implements Detector.
func (f *Fixed) Forget(id ID) { f.group.forget(id) }
