package target

import (
	"math/rand/v2"
	"time"
)

// seedStream is the PCG stream of targets, so that other users of the same seed
// draw different numbers.
const seedStream = 0x7461726765740001

// Work is the distribution of service times: Base plus an exponentially
// distributed time of mean Tail.
type Work struct {
	Base time.Duration
	Tail time.Duration
}

// Mean returns the mean service time of a warm target.
func (w Work) Mean() time.Duration { return w.Base + w.Tail }

// Cold describes a cold start. Service times are multiplied by a factor that
// falls linearly from Factor to 1 over the first Requests requests or over
// Duration. If both are set, the higher factor applies.
type Cold struct {
	Factor   float64
	Duration time.Duration
	Requests int
}

// workTimer draws service times. It is not safe for concurrent use.
type workTimer struct {
	rand         *rand.Rand
	work         Work
	cold         Cold
	coldSince    time.Time // start of the last cold start
	startedSince int       // requests started since coldSince
}

func newWorkTimer(w Work, c Cold, seed uint64, now time.Time) *workTimer {
	return &workTimer{rand: rand.New(rand.NewPCG(seed, seedStream)), work: w, cold: c, coldSince: now}
}

// makeCold begins a cold start.
func (t *workTimer) makeCold(now time.Time) { t.coldSince, t.startedSince = now, 0 }

// makeWarm ends the cold start.
func (t *workTimer) makeWarm(now time.Time) {
	t.coldSince, t.startedSince = now.Add(-t.cold.Duration), t.cold.Requests
}

// coldness returns the remaining part of the cold start, from 1 at its
// beginning to 0 for a warm target.
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

// next returns the service time of a request that starts at now.
func (t *workTimer) next(now time.Time) time.Duration {
	factor := 1 + (t.cold.Factor-1)*t.coldness(now)
	t.startedSince++
	d := float64(t.work.Base) + t.rand.ExpFloat64()*float64(t.work.Tail)
	return time.Duration(factor * d)
}
