package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
)

// Guards against retries that keep a service overloaded after the cause of its
// failures is gone, because every failure adds load: however many requests
// fail, the retries stay within the ratio of first attempts and the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1, 10)
	retries := 0
	for range 1000 {
		b.Deposit()
		for b.Spend() {
			retries++
		}
	}
	is.True(retries >= 109 && retries <= 110)
}

func TestHedgesLeaveHalfForRetries(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1, 10)
	hedges := 0
	for b.SpendForHedge() {
		hedges++
	}
	is.Equal(hedges, 5)
	is.True(b.Spend())
}

func TestBackoff(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	b := Backoff{Min: time.Second, Max: 5 * time.Second}
	for _, want := range []time.Duration{1, 2, 4, 5, 5} {
		d := b.Next(rng)
		is.True(d <= want*time.Second && d >= want*time.Second*3/4)
	}
	b.Reset()
	is.True(b.Next(rng) <= time.Second)
}

// Guards against a single caller whose connection went silent waiting for its
// deadline, as its few requests pay for no retry. Time pays for one, but for
// no more, and for none where retries are turned off.
func TestTimeRefillsOneRetry(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1, 2)
	b.Refill(clock.Time(time.Second))
	is.True(b.Spend())
	is.True(b.Spend())
	is.True(!b.Spend())
	b.Refill(clock.Time(time.Second + refillInterval/2))
	is.True(!b.Spend())
	b.Refill(clock.Time(time.Hour))
	is.True(b.Spend())
	is.True(!b.Spend())
	off := NewBudget(0, 0)
	off.Refill(clock.Time(time.Hour))
	is.True(!off.Spend())
}
