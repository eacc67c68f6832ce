package engine

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/steer"
)

// Ready holds the effects of one Step. The slices belong to the caller, who
// resets and reuses them.
type Ready struct {
	Dispatch dispatch.Ready
	Refusals []Refusal
	// View answers look-ups from now on; nil: no change.
	View *steer.View

	wake clock.Time
}

// Wake is when the next Tick is due; clock.Never when none is.
func (r *Ready) Wake() clock.Time { return r.wake }

// Reset empties r and keeps its memory.
func (r *Ready) Reset() {
	r.Dispatch.Reset()
	r.Refusals = r.Refusals[:0]
	r.View = nil
	r.wake = clock.Never
}
