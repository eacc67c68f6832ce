package hedge

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Policy is the operators' limit on second sends.
type Policy struct {
	// Limit is the largest number of second sends as a fraction of a service's
	// requests, 0 to MaxLimit; 0: there are none.
	Limit float64
}

// MaxLimit is the largest Limit.
const MaxLimit = 0.2

// ErrLimit is the error for a limit that is out of range.
var ErrLimit = errors.New("hedge: limit is out of range")

// Check returns an error if the limit is out of range or no number.
func (p Policy) Check() error {
	if !(p.Limit >= 0 && p.Limit <= MaxLimit) {
		return fmt.Errorf("%w: %v is not between 0 and %v", ErrLimit, p.Limit, MaxLimit)
	}
	return nil
}

// Enabled reports whether there may be second sends.
func (p Policy) Enabled() bool { return p.Limit > 0 }

// Class classifies a send by what its target knew of the request's object.
type Class uint8

// The classes.
const (
	Warm Class = iota
	Cold
	NoObject // the request names none
	classes
)

// Withheld is the reason for which a second send was withheld, "" if it was not.
type Withheld string

// The reasons.
const (
	None        Withheld = ""
	NoGain      Withheld = "no-gain"      // its answer would not come soon enough
	Limit       Withheld = "limit"        // the limit is reached
	Ineffective Withheld = "ineffective"  // too few second sends of the route were answered first
	Crowded     Withheld = "crowded"      // few slots are free, or the region's share would change too fast
	NoTarget    Withheld = "no-target"    // no free target has the object warm and is expected to answer in time
	RetryBudget Withheld = "retry-budget" // the rest of it is kept for retries
	Attempts    Withheld = "attempts"     // the route allows no further attempt
	OverQuota   Withheld = "over-quota"   // the account's tokens are kept for first sends
	Placement   Withheld = "placement"    // the VM that placed the first send did not answer, or places no longer
	Ended       Withheld = "ended"        // the first send ended, or was found silent, before the second was placed
	Unsafe      Withheld = "unsafe"       // the request may crash targets, its key was revoked, or this VM reaches no target
)

const (
	// maxTokens is how many second sends can be saved up.
	maxTokens = 5
	// resultWindow is the number of second sends of a route whose results count, and
	// minWon the least share of them that must be answered first.
	resultWindow = 50
	minWon       = 0.25
	// testInterval: while too few are answered first, one in testInterval is sent.
	testInterval = 20
	// crowdedPause is how long there are no second sends after one was denied for lack
	// of free slots. Without it, every slow request of a crowded region would cost its
	// coordinator a message.
	crowdedPause = 250 * time.Millisecond
	// secondMargin is the multiple of its usual time that a second send gets before the
	// objective: with the usual time alone, half of them would miss it.
	secondMargin = 1.25
	// maxPace limits the effect of a target's pace.
	maxPace = 8
	// clearGain is the part of the first send's expected remaining time within which a
	// second answer must be expected that misses the objective anyway.
	clearGain = 0.5
)

// Send is a send of a request that may be sent a second time.
type Send struct {
	Route string
	Class Class
	// Pace is how long work takes at its target now, as a multiple of the usual; 0 or
	// 1: as usual.
	Pace float64
	// Objective is the time from the send to the end of the latency objective; 0 or
	// negative if that has passed.
	Objective time.Duration
}

// pace returns s.Pace within its limits. That a target is faster than usual is not used:
// it would only delay the second send.
func (s *Send) pace() float64 { return min(max(s.Pace, 1), maxPace) }

// Controller decides on the second sends of one service at one entry VM.
type Controller struct {
	policy      Policy
	tokens      float64
	pausedUntil clock.Time
	routes      map[string]*routeState
	counts      Counts
}

// Counts are the numbers of second sends.
type Counts struct {
	Sent     uint64              `json:"sent"`
	Won      uint64              `json:"won"`  // answered before the first send
	Lost     uint64              `json:"lost"` // ended in any other way
	Withheld map[Withheld]uint64 `json:"withheld"`
}

// routeState holds the measurements of one route.
type routeState struct {
	answers [classes]distribution
	// results are the latest results of second sends, a ring; won counts those that
	// were answered first.
	results    [resultWindow]bool
	known, won int
	next       int
	// skipped counts the second sends that were withheld since the last test.
	skipped int
}

// New returns the controller of a service.
func New(p Policy) *Controller {
	return &Controller{policy: p, routes: make(map[string]*routeState), counts: Counts{Withheld: make(map[Withheld]uint64)}}
}

func (c *Controller) routeOf(name string) *routeState {
	s, ok := c.routes[name]
	if !ok {
		s = new(routeState)
		c.routes[name] = s
	}
	return s
}

// Retain drops the measurements of the routes that a new configuration does not have.
func (c *Controller) Retain(has func(route string) bool) {
	for name := range c.routes {
		if !has(name) {
			delete(c.routes, name)
		}
	}
}

// Accepted counts a request that was accepted from a caller.
func (c *Controller) Accepted() { c.tokens = min(c.tokens+c.policy.Limit, maxTokens) }

// Observe records how long a send took until its answer. For a first send that was
// cancelled because the second was answered, it is the time until then, a lower bound:
// without it the slowest answers would vanish from the measurements.
func (c *Controller) Observe(route string, class Class, took time.Duration) {
	c.routeOf(route).answers[class].observe(took, c.policy.Limit)
}

// Delay returns the time after which a send is slow for its class, false if too few
// answers of the class are known. It is the quantile of the class that the limit's
// fraction of the answers exceeds. It is shorter at a target that is slow now, and if a
// second answer could not meet the objective later while the first is unlikely to. It is
// never below the median, because half of the requests would reach it.
func (c *Controller) Delay(s Send) (time.Duration, bool) {
	st := c.routes[s.Route]
	if st == nil || !st.answers[s.Class].known() {
		return 0, false
	}
	d := &st.answers[s.Class]
	delay := max(time.Duration(float64(d.tail)/s.pace()), d.median)
	latest := s.Objective - time.Duration(secondMargin*float64(st.second(s.Class)))
	if latest >= d.median && latest < delay && d.missed(latest, s.Objective, s.pace()) {
		delay = latest
	}
	return delay, true
}

// second returns the usual time of a second send, which goes to a target where the object
// is warm. If no warm answers are known, that of the class is assumed.
func (st *routeState) second(class Class) time.Duration {
	if class == Cold && st.answers[Warm].known() {
		class = Warm
	}
	return st.answers[class].median
}

// missed reports whether a send without an answer after elapsed is more likely than not
// to be answered after the objective.
func (d *distribution) missed(elapsed, objective time.Duration, pace float64) bool {
	left, _ := d.above(time.Duration(float64(elapsed) / pace))
	late, _ := d.above(time.Duration(float64(objective) / pace))
	return late > left/2
}

// Within returns the time within which a second answer must be expected after a send has
// had none for elapsed, false if none would be of use. It must be expected before the
// first one, and before the objective; if that cannot be met, clearly before the first
// one.
func (c *Controller) Within(s Send, elapsed time.Duration) (time.Duration, bool) {
	st := c.routes[s.Route]
	if st == nil || !st.answers[s.Class].known() {
		return 0, false
	}
	remaining := st.answers[s.Class].remaining(elapsed, s.pace())
	within := time.Duration(clearGain * float64(remaining))
	if left := s.Objective - elapsed; left > 0 {
		within = max(within, min(left, remaining))
	}
	return within, st.second(s.Class) <= within
}

// remaining returns the expected time until the answer of a send that has had none for
// elapsed. Beyond all samples nothing is known of it: then it is expected to take as long
// again.
func (d *distribution) remaining(elapsed time.Duration, pace float64) time.Duration {
	_, mean := d.above(time.Duration(float64(elapsed) / pace))
	if mean == 0 {
		return elapsed
	}
	return max(time.Duration(float64(mean)*pace)-elapsed, 0)
}

// Take takes a token for a second send of a route, and returns why there may be none.
func (c *Controller) Take(now clock.Time, route string) Withheld {
	switch {
	case c.pausedUntil.After(now):
		return Crowded
	case c.tokens < 1:
		return Limit
	}
	if st := c.routeOf(route); st.ineffective() {
		st.skipped++
		if st.skipped < testInterval {
			return Ineffective
		}
		st.skipped = 0
	}
	c.tokens--
	return None
}

// ineffective reports whether too few second sends were answered first.
func (st *routeState) ineffective() bool {
	return st.known == resultWindow && float64(st.won) < minWon*resultWindow
}

// Withhold counts a second send that is withheld. taken means that Take had allowed it:
// the token returns, because nothing was sent.
func (c *Controller) Withhold(now clock.Time, route string, why Withheld, taken bool) {
	c.counts.Withheld[why]++
	if !taken {
		return
	}
	c.tokens = min(c.tokens+1, maxTokens)
	if st := c.routeOf(route); st.ineffective() {
		st.skipped = testInterval - 1 // the next one is the test
	}
	if why == Crowded {
		c.pausedUntil = now.Add(crowdedPause)
	}
}

// Sent counts a second send.
func (c *Controller) Sent() { c.counts.Sent++ }

// Result records the end of a request that was sent a second time. won means that the
// second send was answered first.
func (c *Controller) Result(route string, won bool) {
	st := c.routeOf(route)
	if won {
		c.counts.Won++
	} else {
		c.counts.Lost++
	}
	if st.known == resultWindow {
		st.won -= count(st.results[st.next])
	} else {
		st.known++
	}
	st.won += count(won)
	st.results[st.next] = won
	st.next = (st.next + 1) % resultWindow
}

// Counts returns the numbers of second sends since the start.
func (c *Controller) Counts() Counts {
	counts := c.counts
	counts.Withheld = maps.Clone(counts.Withheld)
	return counts
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}
