package hedge

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
)

const ms = time.Millisecond

// measured returns a controller that knows answers of a route: nine in ten take usual, the
// others slow.
func measured(limit float64, class Class, usual, slow time.Duration) *Controller {
	c := New(Policy{Limit: limit})
	for i := range 200 {
		took := usual
		if i%10 == 0 {
			took = slow
		}
		c.Observe("r", class, took)
	}
	return c
}

// about reports whether d is want up to the resolution of a distribution.
func about(d, want time.Duration) bool {
	return math.Abs(float64(d-want)) <= float64(want)/8+float64(ms)
}

// Guards against a delay that ignores what it depends on: the answers of the class, the
// target's pace and the objective.
func TestDelay(t *testing.T) {
	is := is.New(t)
	far := 10 * time.Second
	c := measured(0.2, Warm, 100*ms, time.Second)
	_, known := c.Delay(Send{Route: "r", Class: Cold, Objective: far})
	is.True(!known) // no answer of the class
	_, known = c.Delay(Send{Route: "other", Class: Warm, Objective: far})
	is.True(!known)
	usual, known := c.Delay(Send{Route: "r", Class: Warm, Objective: far})
	is.True(known && about(usual, 100*ms)) // four fifths of the answers come earlier

	rare := measured(0.05, Warm, 100*ms, time.Second)
	tail, _ := rare.Delay(Send{Route: "r", Class: Warm, Objective: far})
	is.True(about(tail, time.Second))
	paced, _ := rare.Delay(Send{Route: "r", Class: Warm, Objective: far, Pace: 2})
	is.True(about(paced, 500*ms))
	paced, _ = rare.Delay(Send{Route: "r", Class: Warm, Objective: far, Pace: 1000})
	is.True(paced >= 100*ms) // never below the median
	early, _ := rare.Delay(Send{Route: "r", Class: Warm, Objective: 600 * ms})
	is.True(about(early, 475*ms)) // the last moment at which a second answer meets it
}

// Guards against second sends whose answers come too late to be of use.
func TestWithin(t *testing.T) {
	is := is.New(t)
	c := measured(0.1, Warm, 100*ms, time.Second)
	within, ok := c.Within(Send{Route: "r", Class: Warm, Objective: 600 * ms}, 200*ms)
	is.True(ok && about(within, 400*ms)) // what is left of the objective
	within, ok = c.Within(Send{Route: "r", Class: Warm, Objective: 250 * ms}, 200*ms)
	is.True(ok && about(within, 400*ms)) // it is missed: half of what the first one still needs
	_, ok = c.Within(Send{Route: "r", Class: Warm, Objective: 5 * time.Second}, 950*ms)
	is.True(!ok) // the first answer is expected before a second one
	within, ok = c.Within(Send{Route: "r", Class: Warm, Objective: 600 * ms}, 3*time.Second)
	is.True(ok && within == 1500*ms) // beyond all answers it is expected to take as long again
}

// Guards against more second sends than operators allow: a restart, a pause without
// requests and returned tokens must not add any.
func TestLimit(t *testing.T) {
	is := is.New(t)
	c := New(Policy{Limit: 0.1})
	is.Equal(c.Take(0, "r"), Limit) // it starts empty
	sent := 0
	for i := range 1000 {
		c.Accepted()
		if c.Take(0, "r") == None {
			if i%2 == 0 {
				c.Withhold(0, "r", NoTarget, true)
			} else {
				sent++
			}
		}
	}
	is.True(sent > 90 && sent <= 100)
	for range 1000 {
		c.Accepted()
	}
	for range maxTokens {
		is.Equal(c.Take(0, "r"), None)
	}
	is.Equal(c.Take(0, "r"), Limit)
}

// Guards against a message to the coordinator for every slow request of a crowded region.
func TestCrowdedPause(t *testing.T) {
	is := is.New(t)
	c := New(Policy{Limit: 0.2})
	for range 100 {
		c.Accepted()
	}
	is.Equal(c.Take(0, "r"), None)
	c.Withhold(0, "r", Crowded, true)
	is.Equal(c.Take(clock.Time(crowdedPause)-1, "r"), Crowded)
	is.Equal(c.Take(clock.Time(crowdedPause), "r"), None)
}

// Guards against buckets that lose or misplace durations.
func TestDistributionBuckets(t *testing.T) {
	is := is.New(t)
	last := -1
	for d := time.Duration(0); d < time.Hour; d += d/50 + ms {
		i := bucketOf(d)
		is.True(i >= last && i < buckets)
		is.True(i == buckets-1 || upperBound(i) > d && upperBound(i) <= d+d/8+ms)
		last = i
	}
}
