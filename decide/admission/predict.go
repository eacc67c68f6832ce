package admission

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

const (
	// minGrants is the number of grants within observedTime from which on a rate is
	// known. The rate of fewer is too uncertain to refuse a request that might be served.
	minGrants = 8
	// accountSample is how many accounts a prediction inspects. Of more, it takes evenly
	// spaced ones.
	accountSample = 32
)

// rate returns how many requests a second were granted recently while requests waited,
// including those that did not wait themselves, and false if that is not known.
func (q *Queue[T]) rate(now clock.Time) (float64, bool) {
	q.advance(now)
	n := q.granted.sum(now)
	return n / max(q.busy.sum(now), time.Millisecond.Seconds()), n >= minGrants
}

// ExpectedWait predicts how long a request that arrives now would wait for its grant. It
// returns false if the rate of grants is not known.
func (q *Queue[T]) ExpectedWait(now clock.Time, r Request) (time.Duration, bool) {
	rate, known := q.rate(now)
	if !known {
		return 0, false
	}
	wait, _ := q.predict(now, &r, rate)
	return time.Duration(wait * float64(time.Second)), true
}

// WaitsInVain reports whether a request that arrives now is expected to reach the end of
// its wait without a grant.
func (q *Queue[T]) WaitsInVain(now clock.Time, r Request) bool {
	wait, known := q.ExpectedWait(now, r)
	return known && now.Add(wait).After(r.WaitUntil)
}

// ReturnAfter returns when the caller of a refused request should return, 0 if that is
// not known. The refused requests of a class return one after the other at the rate at
// which slots become free for it, the first of them when it would be granted its slot.
// A request whose turn would be later than its MaxReturn is told that, and does not
// delay those after it: the schedule never reaches further than callers can use.
func (q *Queue[T]) ReturnAfter(now clock.Time, r Request) time.Duration {
	rate, known := q.rate(now)
	if !known {
		return 0
	}
	wait, left := q.predict(now, &r, rate)
	c := q.newClassOf(r.Priority)
	first := max(time.Duration(wait*float64(time.Second)), r.MinReturn)
	at := max(c.returnAt.Add(time.Duration(float64(time.Second)/left)), now.Add(first))
	if at.Sub(now) > r.MaxReturn {
		return r.MaxReturn
	}
	c.returnAt = at
	return at.Sub(now)
}

// predict returns the expected wait of a request in s, and the rate of grants that more
// urgent classes leave to its class.
func (q *Queue[T]) predict(now clock.Time, r *Request, rate float64) (wait, left float64) {
	urgent, arriving, others, owed := 0, 0.0, 0, 0
	for _, c := range q.classes {
		switch {
		case c.priority < r.Priority:
			urgent += c.n
			arriving += c.pushed.sustained(now)
		case c.priority > r.Priority:
			others += count(c.n > 0)
		default:
			owed = c.passedOver
		}
	}
	least := rate / grantsPerFloor
	left = max(rate-arriving, least)
	ahead := q.aheadInClass(now, r)
	// The grants that less urgent classes are guaranteed come on top.
	aboveFloors := 1 - min(float64(others)/grantsPerFloor, 0.5)
	inOrder := (float64(urgent) + ahead) / (left * aboveFloors)
	guaranteed := ahead/least + float64(max(grantsPerFloor-1-owed, 0))/rate
	return min(inOrder, guaranteed), left
}

// aheadInClass returns how many requests of r's class would go before it: those of its
// own account, and those that other accounts may be granted until r's account, which is
// charged for each of its own, has been granted the least work.
func (q *Queue[T]) aheadInClass(now clock.Time, r *Request) float64 {
	c := q.classOf(r.Priority)
	if c == nil || c.n == 0 {
		return 0
	}
	own, mineWaiting, work := 0, 0, 0.0
	mine := c.accounts[r.Account]
	if mine != nil {
		own, mineWaiting, work = mine.n, mine.n, mine.work(now)
		if !now.After(r.ObjectiveAt) {
			own -= mine.late
		}
	}
	reached := work + float64(own)*q.meanWork/r.weight()
	sum, sampled := 0.0, 0
	stride := (len(c.waiting) + accountSample - 1) / accountSample
	for i := 0; i < len(c.waiting); i += stride {
		a := c.waiting[i]
		if a == mine {
			continue
		}
		sampled++
		if behind := reached - a.work(now); behind > 0 && q.meanWork > 0 {
			sum += min(float64(a.n), math.Ceil(behind*a.weight/q.meanWork))
		}
	}
	if sampled == 0 {
		return float64(own)
	}
	accounts := len(c.waiting) - count(mineWaiting > 0)
	return float64(own) + min(sum*float64(accounts)/float64(sampled), float64(c.n-mineWaiting))
}
