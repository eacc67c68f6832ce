package ingress

import (
	"math"

	"github.com/azurethread/azurethread/decide/clock"
)

// shiftHistory counts the requests of the latest shiftWindow by where they ran,
// in steps. It is what holds the operators' bound: the target share and the
// bands around it say where requests should go, but where objects are warm moves
// what runs from one edge of the bands to the other, which with the target's own
// movement came to a third of a region's requests within two seconds.
type shiftHistory struct {
	steps [historySteps]shiftCount
	last  int64 // number of the latest step, in units of historyStep since 0
	sum   shiftCount
}

const (
	// historySteps is the number of steps of the window. One that begins within a
	// step is seen as the one that begins with it.
	historySteps = 16
	historyStep  = shiftWindow / historySteps
	// historyUse is the part of the operators' bound by which the share may
	// change from one window to the next before requests are forced to a side.
	// The rest is for windows that begin within a step, and for requests that
	// were placed in one window and run in the next.
	historyUse = 0.7
)

// count counts requests that were placed.
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

// limits returns the least and the greatest share that may run elsewhere at this
// moment, 0 and 1 if there is too little to compare with.
//
// They lie around the share of the window by half of what may change from one
// window to the next: the middle of the window is half a window ago, so a share
// that keeps to one of the limits changes by twice as much in a whole window.
// Had whole windows been compared, a change would be noticed late and made up
// for until long after, with all requests of half a second on one side and then
// all on the other.
//
// With few requests two windows differ by chance, which is allowed for: keeping
// to the limits would start objects cold for no change at all.
func (h *shiftHistory) limits(now clock.Time, bound float64) (low, high float64) {
	h.advance(now)
	if h.sum.all < shiftFew {
		return 0, 1
	}
	share := h.sum.share()
	chance := math.Sqrt(share * (1 - share) * 2 / float64(h.sum.all))
	most := (historyUse*bound + chance) / 2
	return share - most, share + most
}

// debts are the requests that each side is owed: those by which what it got lies
// below its limit. Few at a time are forced to a side, as many as it is owed.
type debts struct{ own, others float64 }

const (
	// debtMost bounds what a side is owed, and what it has got beyond its limit
	// and may be spared.
	debtMost = 16.0
	// debtStep is the part of the objects that is forced to a side for each
	// request that it is owed beyond its limit: the same ones again, so that few
	// objects start cold.
	debtStep = 1.0 / debtMost
)

// count takes a request that was placed while the share had these limits.
func (d *debts) count(low, high float64, c shiftCount) {
	remote, own := float64(c.remote), float64(c.all-c.remote)
	all := float64(c.all)
	d.others = min(max(d.others+low*all-remote, -debtMost), debtMost)
	d.own = min(max(d.own+(1-high)*all-own, -debtMost), debtMost)
}

// forced returns the side to which a request of an object at hash must go, which
// belongs to the other regions the sooner the lower it is; sideAny if it need
// not.
func (d *debts) forced(low, high, hash float64) side {
	switch {
	case d.others >= 1 && hash < low+debtStep*d.others:
		return sideOthers
	case d.own >= 1 && hash >= high-debtStep*d.own:
		return sideOwn
	default:
		return sideAny
	}
}
