package target

import (
	"math/rand/v2"
	"time"
)

// seedStream separates the generators of targets from other users of a seed.
const seedStream = 0x7461726765740001

// Work is the distribution of the service time: Base plus an exponentially
// distributed tail of mean Tail.
type Work struct {
	Base time.Duration
	Tail time.Duration
}

// Mean returns the mean service time of a warm target.
func (w Work) Mean() time.Duration { return w.Base + w.Tail }

// Cold is a cold start: service times begin multiplied by Factor, which falls
// to 1 evenly over the first Requests, or over For, or over both, in which
// case the colder one counts.
type Cold struct {
	Factor   float64
	Duration time.Duration
	Requests int
}

// workTimer draws service times. It has no locks.
type workTimer struct {
	rand         *rand.Rand
	work         Work
	cold         Cold
	coldSince    time.Time // when it was last cold through
	startedSince int       // requests since then
}

func newWorkTimer(w Work, c Cold, seed uint64, now time.Time) *workTimer {
	return &workTimer{rand: rand.New(rand.NewPCG(seed, seedStream)), work: w, cold: c, coldSince: now}
}

// makeCold makes the target cold through.
func (t *workTimer) makeCold(now time.Time) { t.coldSince, t.startedSince = now, 0 }

// makeWarm ends the cold start.
func (t *workTimer) makeWarm(now time.Time) {
	t.coldSince, t.startedSince = now.Add(-t.cold.Duration), t.cold.Requests
}

// coldness is 1 for a target that is cold through, 0 for a warm one.
func (t *workTimer) coldness(now time.Time) float64 {
	if t.cold.Factor <= 1 {
		return 0
	}
	var left float64
	if t.cold.Duration > 0 {
		left = 1 - float64(now.Sub(t.coldSince))/float64(t.cold.Duration)
	}
	if t.cold.Requests > 0 {
		left = max(left, 1-float64(t.startedSince)/float64(t.cold.Requests))
	}
	return max(left, 0)
}

// next returns the service time of a request that begins now.
func (t *workTimer) next(now time.Time) time.Duration {
	factor := 1 + (t.cold.Factor-1)*t.coldness(now)
	t.startedSince++
	d := float64(t.work.Base) + t.rand.ExpFloat64()*float64(t.work.Tail)
	return time.Duration(factor * d)
}
