package transit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
)

// Guards against messages that are taken for fresh although they were held up, and fresh ones
// that are taken for old: clocks differ by any amount, and drift.
func TestHeldUp(t *testing.T) {
	const (
		way    = 55 * time.Millisecond
		jitter = 10 * time.Millisecond
		drift  = 100e-6 // in seconds per second
	)
	for seed := range uint64(50) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 0))
		apart := time.Duration(rng.Int64N(int64(2000*time.Hour))) - 1000*time.Hour
		rate := drift * (2*rng.Float64() - 1)
		var m Meter
		now := clock.Time(time.Hour)
		for i := range 2000 {
			now = now.Add(time.Duration(rng.Int64N(int64(2 * time.Second))))
			held := time.Duration(0)
			if i > 0 && rng.IntN(10) == 0 {
				held = time.Duration(rng.Int64N(int64(20 * time.Second)))
			}
			onTheWay := way + time.Duration(rng.Int64N(int64(jitter))) + held
			sender := time.Duration(now) - onTheWay + apart + time.Duration(rate*float64(now))
			got := m.HeldUp(now, "a", time.Duration(now)-sender)
			is.True(got <= held+jitter+2*time.Millisecond)
			is.True(got >= held-jitter-5*time.Millisecond)
		}
	}
}

// Guards against memory that grows with the processes that have ever sent something.
func TestUnusedClocksAreForgotten(t *testing.T) {
	is := is.New(t)
	var m Meter
	for i := range maxClocks + 10 {
		m.HeldUp(0, fmt.Sprint(i), 0)
	}
	is.Equal(len(m.clocks), maxClocks)
	m.HeldUp(clock.Time(keepFor+1), "new", 0)
	is.Equal(len(m.clocks), 1)
}
