package ingress

import (
	"math"

	"github.com/azurethread/azurethread/decide/clock"
)

// shiftHistory counts the requests of the latest shiftWindow by the side where
// they ran, in steps. It enforces the operators' limit, which the setpoint and its
// bands alone do not: warm objects can move the actual share from one edge of the
// bands to the other while the setpoint moves as well. Together this moved a third
// of a region's requests to the other side within two seconds.
type shiftHistory struct {
	steps [historySteps]shiftCount
	last  int64 // number of the latest step since time 0
	sum   shiftCount
}

const (
	// historySteps is the number of steps of the window. A window that begins
	// within a step is counted from the beginning of that step.
	historySteps = 16
	historyStep  = shiftWindow / historySteps
	// historyBoundShare is the part of the operators' limit by which the share may
	// change from one window to the next before requests are forced to a side. The
	// rest is for windows that begin within a step, and for requests that are
	// placed in one window and run in the next.
	historyBoundShare = 0.7
)

// count records placed requests.
func (h *shiftHistory) count(now clock.Time, c shiftCount) {
	h.advance(now)
	h.steps[h.index(h.last)].add(c)
	h.sum.add(c)
}

func (h *shiftHistory) index(step int64) int { return int(step % historySteps) }

// advance makes the step of now the latest one.
func (h *shiftHistory) advance(now clock.Time) {
	step := int64(now) / int64(historyStep)
	if step-h.last >= historySteps {
		*h = shiftHistory{last: step}
		return
	}
	for h.last < step {
		h.last++
		passed := &h.steps[h.index(h.last)]
		h.sum.subtract(*passed)
		*passed = shiftCount{}
	}
}

// limits returns the lowest and the highest share that may run in other regions
// now; 0 and 1 if there are too few requests to compare.
//
// The limits are the share of the window plus and minus half of the allowed change
// from one window to the next. The middle of the window is half a window ago, so a
// share that stays at one of the limits changes by twice as much in a whole
// window. A comparison of whole windows would detect a change late and correct it
// for too long: all requests of half a second would go to one side, and then all to
// the other.
//
// With few requests, two windows differ by chance. The limits allow for this,
// because enforcing them would start objects cold although the share has not
// changed.
func (h *shiftHistory) limits(now clock.Time, bound float64) (low, high float64) {
	h.advance(now)
	if h.sum.all < minShareSamples {
		return 0, 1
	}
	share := h.sum.share()
	chance := math.Sqrt(share * (1 - share) * 2 / float64(h.sum.all))
	delta := (historyBoundShare*bound + chance) / 2
	return share - delta, share + delta
}

// debts are the requests that each side lacks to reach its lower limit. That many
// requests are forced to the side, a few at a time.
type debts struct{ local, remote float64 }

const (
	// maxDebt limits both the debt to a side and its credit for requests above its
	// limit.
	maxDebt = 16.0
	// debtStep is the part of the objects that is forced to a side for each
	// request that the side lacks. These are always the same objects, so that few
	// objects start cold.
	debtStep = 1.0 / maxDebt
)

// count records placed requests under the given limits of the share.
func (d *debts) count(low, high float64, c shiftCount) {
	remote, own := float64(c.remote), float64(c.all-c.remote)
	all := float64(c.all)
	d.remote = min(max(d.remote+low*all-remote, -maxDebt), maxDebt)
	d.local = min(max(d.local+(1-high)*all-own, -maxDebt), maxDebt)
}

// forced returns the side to which a request for an object with the given hash must
// go, sideAny if it may go to either. The lower the hash, the sooner the object is
// forced to other regions.
func (d *debts) forced(low, high, hash float64) side {
	switch {
	case d.remote >= 1 && hash < low+debtStep*d.remote:
		return sideRemote
	case d.local >= 1 && hash >= high-debtStep*d.local:
		return sideLocal
	default:
		return sideAny
	}
}
