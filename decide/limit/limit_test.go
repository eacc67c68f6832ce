package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Entry VMs that share a target must not exceed its slots together, though none
// of them asks another: the shares add up to the slots exactly, and over a
// whole service no VM gets two slots more than another.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 50).Draw(rt, "count")
		slots := rapid.SliceOfN(rapid.IntRange(1, 12), 1, 20).Draw(rt, "slots")
		total := make([]int, count)
		first := 0
		for _, n := range slots {
			sum := 0
			for rank := range total {
				share := Share(n, first, count, rank)
				total[rank] += share
				sum += share
			}
			if sum != n {
				rt.Fatalf("shares of %d slots add up to %d", n, sum)
			}
			first += n
		}
		for _, n := range total {
			if n < total[0]-1 || n > total[0]+1 {
				rt.Fatalf("uneven: %v", total)
			}
		}
	})
}

func TestAdaptive(t *testing.T) {
	is := is.New(t)
	a := Cold(9)
	is.Equal(a.Limit(), 1)
	is.True(a.Warming())
	for range 60 {
		a.Answered()
	}
	is.Equal(a.Limit(), 9)
	is.True(!a.Warming())
	a.Shed()
	is.Equal(a.Limit(), 6)
	is.True(!a.Warming()) // it refused, and is no colder for it
	for range 50 {
		a.Shed()
	}
	is.Equal(a.Limit(), 1)
	a.SetSlots(0)
	is.Equal(a.Limit(), 0)
}

// Symptom: two entry VMs borrow the same free slot.
// Sequence: a report says two slots of the other VM are free; it gets old, or
// the target refuses.
// Cause: only the target knows. An old report counts for nothing, and a refusal
// stops borrowing for a while.
func TestBorrow(t *testing.T) {
	is := is.New(t)
	const horizon = 500 * time.Millisecond
	var b Borrow
	now := clock.Time(time.Hour)
	is.Equal(b.Slots(now, 3, 1, horizon), 0) // nothing reported
	b.Observe(Report{Others: 0, At: now})
	is.Equal(b.Slots(now, 3, 1, horizon), 2)
	is.Equal(b.Slots(now.Add(300*time.Millisecond), 3, 1, horizon), 0)
	b.Shed(now)
	is.Equal(b.Slots(now, 3, 1, horizon), 0)
	b.Observe(Report{Others: 0, At: now.Add(minPause)})
	is.Equal(b.Slots(now.Add(minPause), 3, 1, horizon), 2)
}

// Symptom: a remote region gets a burst whenever its load report is published.
// Sequence: 50 senders see the same report of 10 free slots.
// Cause: each fills what it sees. The parts that the windows start with add up
// to about the headroom.
func TestWindowsTogetherStayWithinHeadroom(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	sum := 0.0
	for range 50 {
		var w Window
		w.Report(10, 1, clock.Time(1), 0, 50, rng)
		sum += w.size
	}
	is.True(sum >= 5 && sum <= 15)
}

func TestWindow(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	const horizon = 3 * time.Second
	now := clock.Time(time.Hour)
	var w Window
	is.Equal(w.Room(now, 0, horizon, true), 0.0) // nothing reported
	w.Report(4, 2, now, 0, 1, rng)
	is.Equal(w.Room(now, 0, horizon, false), 8.0)
	is.Equal(w.Room(now, 8, horizon, false), 0.0)
	is.Equal(w.Room(now, 8, horizon, true), 0.0) // beyond the tries
	is.True(w.Room(now.Add(2*time.Second), 0, horizon, false) < 3)
	is.Equal(w.Room(now.Add(horizon), 0, horizon, true), 0.0)
	w.Refused(now, now, 100*time.Millisecond)
	is.Equal(w.Room(now.Add(99*time.Millisecond), 0, horizon, true), 0.0)
	w.Refused(now, now-1, 100*time.Millisecond) // one of the same burst
	is.Equal(w.Room(now.Add(100*time.Millisecond), 0, horizon, false), 4.0)
}
