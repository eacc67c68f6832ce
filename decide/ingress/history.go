package ingress

import (
	"math"

	"github.com/azurethread/azurethread/decide/clock"
)

// shiftHistory counts the requests of the last two windows of shiftWindow by
// where they ran, in steps. It is what holds the operators' bound: the target
// share and the bands around it say where requests should go, but where objects
// are warm moves what runs from one edge of the bands to the other, which with
// the target's own movement came to a third of a region's requests within two
// seconds.
type shiftHistory struct {
	steps [2 * historySteps]shiftCount
	last  int64 // number of the latest step, in units of historyStep since 0
	// recent and earlier are the sums of the latest window and of the one before.
	recent, earlier shiftCount
}

const (
	// historySteps is the number of steps of one window. Windows that begin
	// within a step are seen as those that begin with it.
	historySteps = 16
	historyStep  = shiftWindow / historySteps
	// historyUse is the part of the operators' bound that the change from one
	// window to the next may reach before requests are forced to the other side.
	// The rest is for windows that begin within a step, and for requests that
	// were placed in one window and run in the next.
	historyUse = 0.7
)

// count counts requests that were placed.
func (h *shiftHistory) count(now clock.Time, c shiftCount) {
	h.advance(now)
	h.steps[h.index(h.last)].add(c)
	h.recent.add(c)
}

func (h *shiftHistory) index(step int64) int { return int(step % (2 * historySteps)) }

// advance makes the step of now the latest one.
func (h *shiftHistory) advance(now clock.Time) {
	step := int64(now) / int64(historyStep)
	if step-h.last >= 2*historySteps {
		*h = shiftHistory{last: step}
		return
	}
	for h.last < step {
		h.last++
		passed := h.steps[h.index(h.last+historySteps)]
		h.recent.subtract(passed)
		h.earlier.add(passed)
		next := &h.steps[h.index(h.last)]
		h.earlier.subtract(*next)
		*next = shiftCount{}
	}
}

// forced returns the side to which requests must go so that the change from the
// window before the latest one stays within the bound, sideAny if they need not.
// With few requests the two differ by chance, which is allowed for: forcing
// would start objects cold for no change at all.
func (h *shiftHistory) forced(now clock.Time, bound float64) side {
	h.advance(now)
	if h.recent.all < shiftFew || h.earlier.all < shiftFew {
		return sideAny
	}
	before := h.earlier.share()
	chance := math.Sqrt(before * (1 - before) * (1/float64(h.recent.all) + 1/float64(h.earlier.all)))
	most := historyUse*bound + chance
	switch change := h.recent.share() - before; {
	case change > most:
		return sideOwn
	case change < -most:
		return sideOthers
	default:
		return sideAny
	}
}
