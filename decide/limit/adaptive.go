package limit

// Steps of Adaptive.
const (
	refusedFactor = 0.7  // applied to the limit after a refusal
	slowFactor    = 0.95 // applied to the limit after an answer that was far too slow
	minLimit      = 1
)

// Adaptive is the number of requests a target can work on at once, as learned
// from its refusals and latency. It lies between 1 and the target's slots.
type Adaptive struct {
	limit float64
	slots int
	cold  bool // started cold and hasn't yet reached all slots
}

// NewAdaptive returns a limit that starts at all slots.
func NewAdaptive(slots int) Adaptive { return Adaptive{limit: float64(slots), slots: slots} }

// NewColdAdaptive returns a limit that starts at 1. A new or restarted target has cold
// caches; given its full share at once, it would answer every request slowly.
func NewColdAdaptive(slots int) Adaptive {
	return Adaptive{limit: min(minLimit, float64(slots)), slots: slots, cold: slots > minLimit}
}

// SetSlots changes the upper bound. A limit equal to the old bound rises with
// it.
func (a *Adaptive) SetSlots(slots int) {
	if slots > a.slots && a.limit >= float64(a.slots) {
		a.limit = float64(slots)
	}
	a.slots = slots
	a.limit = min(a.limit, float64(slots))
	a.updateCold()
}

// Warming reports whether the limit is still below the slots because of a cold
// start.
func (a *Adaptive) Warming() bool { return a.cold }

// updateCold ends the cold start once the limit has reached all slots.
func (a *Adaptive) updateCold() {
	if a.limit >= float64(a.slots) {
		a.cold = false
	}
}

// Limit returns the present limit.
func (a *Adaptive) Limit() int { return int(a.limit) }

// Answered records an answer that was not slow. The limit grows by one after
// as many answers as it allows at once.
func (a *Adaptive) Answered() {
	if a.limit < float64(a.slots) {
		a.limit = min(a.limit+1/max(a.limit, minLimit), float64(a.slots))
	}
	a.updateCold()
}

// Slow records an answer that took much longer than the service's usual
// latency.
func (a *Adaptive) Slow() { a.lower(slowFactor) }

// Refused records that the target refused a request for lack of capacity.
func (a *Adaptive) Refused() { a.lower(refusedFactor) }

func (a *Adaptive) lower(factor float64) {
	a.limit = min(max(a.limit*factor, minLimit), float64(a.slots))
}
