package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against entry VMs that share a target exceeding its slots together,
// without asking each other: the shares add up to the slots exactly, and over
// a whole service no VM gets two slots more than another.
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
				rt.Fatalf("uneven shares: %v", total)
			}
		}
	})
}

func TestAdaptive(t *testing.T) {
	is := is.New(t)
	a := NewColdAdaptive(9)
	is.Equal(a.Limit(), 1)
	is.True(a.Warming())
	for range 60 {
		a.Answered()
	}
	is.Equal(a.Limit(), 9)
	is.True(!a.Warming())
	a.Refused()
	is.Equal(a.Limit(), 6)
	is.True(!a.Warming()) // a refusal doesn't make it cold again
	for range 50 {
		a.Refused()
	}
	is.Equal(a.Limit(), 1)
	a.SetSlots(0)
	is.Equal(a.Limit(), 0)
}

// Guards against two entry VMs borrowing the same free slot: only the target
// knows its load, so an old report is ignored and a refusal stops borrowing
// for a while.
func TestBorrow(t *testing.T) {
	is := is.New(t)
	const horizon = 500 * time.Millisecond
	var b Borrow
	now := clock.Time(time.Hour)
	is.Equal(b.Slots(now, 3, 1, horizon), 0) // nothing reported
	b.Observe(Report{Others: 0, At: now})
	is.Equal(b.Slots(now, 3, 1, horizon), 2)
	is.Equal(b.Slots(now.Add(300*time.Millisecond), 3, 1, horizon), 0)
	b.Refused(now)
	is.Equal(b.Slots(now, 3, 1, horizon), 0)
	b.Observe(Report{Others: 0, At: now.Add(minPause)})
	is.Equal(b.Slots(now.Add(minPause), 3, 1, horizon), 2)
}

// Guards against a burst at a remote region whenever its load report is
// published: 50 senders see the same report of 10 free slots, and each fills
// what it sees. The windows that they start with add up to about the headroom.
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
	is.Equal(w.Room(now, 8, horizon, true), 0.0) // above nearProbes
	is.True(w.Room(now.Add(2*time.Second), 0, horizon, false) < 3)
	is.Equal(w.Room(now.Add(horizon), 0, horizon, true), 0.0)
	w.Refused(now, now, 100*time.Millisecond)
	is.Equal(w.Room(now.Add(99*time.Millisecond), 0, horizon, true), 0.0)
	w.Refused(now, now-1, 100*time.Millisecond) // one of the same burst
	is.Equal(w.Room(now.Add(100*time.Millisecond), 0, horizon, false), 4.0)
}
