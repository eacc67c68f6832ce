package admission

import (
	"math"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

const (
	// grantsPerFloor is the number of grants of which each class that waits gets one.
	grantsPerFloor = 20
	// maxOwed limits the grants that a class may be owed because no free target suited
	// its requests. Otherwise it could take all slots for a long time afterwards.
	maxOwed = 5
	// forgetTime is the time constant with which granted work is forgotten.
	forgetTime = 3 * time.Second
	// accountTTL is how long an account without requests is kept. By then its work has
	// decayed to a thirtieth.
	accountTTL = 10 * time.Second
	// sweepInterval is the time between two searches for accounts to drop.
	sweepInterval = time.Second
)

// class is the state of one priority.
type class struct {
	priority int
	accounts map[string]*account
	lastSeq  uint64     // given to accounts
	waiting  []*account // those with waiting requests, in no order
	n        int        // waiting requests
	// passedOver counts the grants to other classes while requests of this one
	// waited, less grantsPerFloor-1 for each own grant.
	passedOver int
	pushed     window     // requests that began to wait
	returnAt   clock.Time // when the latest refused request was told to return
}

// account is the state of one client account in one class.
type account struct {
	weight float64
	// level is ln(granted work in s / weight) + (time of the grant / forgetTime). In this
	// form the decay does not change the order of accounts, and nothing has to be
	// recomputed as time passes.
	level  float64
	seq    uint64 // orders accounts of the same level
	n      int    // waiting requests
	late   int    // of them, those that could not meet their objective on arrival
	at     int    // index in class.waiting
	usedAt clock.Time
}

// owed reports whether c goes before the other classes.
func (c *class) owed() bool { return c.passedOver >= grantsPerFloor-1 }

func (c *class) countGrant() { c.passedOver = max(c.passedOver-(grantsPerFloor-1), 0) }

func (c *class) countPassedOver() {
	c.passedOver = min(c.passedOver+1, maxOwed*(grantsPerFloor-1))
}

// accountOf returns the state of r's account.
func (c *class) accountOf(now clock.Time, r *Request) *account {
	a, ok := c.accounts[r.Account]
	if !ok {
		c.lastSeq++
		a = &account{level: math.Inf(-1), seq: c.lastSeq}
		c.accounts[r.Account] = a
	}
	if w := r.weight(); w != a.weight {
		a.level += math.Log(a.weight / w) // the work stays; -Inf stays -Inf for new ones
		a.weight = w
	}
	a.usedAt = now
	return a
}

func (c *class) add(a *account, late bool) {
	if a.n == 0 {
		a.at = len(c.waiting)
		c.waiting = append(c.waiting, a)
	}
	a.n++
	a.late += count(late)
	c.n++
}

func (c *class) remove(a *account, late bool) {
	a.n--
	a.late -= count(late)
	c.n--
	if a.n > 0 {
		return
	}
	last := len(c.waiting) - 1
	c.waiting[a.at] = c.waiting[last]
	c.waiting[a.at].at = a.at
	c.waiting[last] = nil
	c.waiting = c.waiting[:last]
}

// drop drops the accounts that were not used within accountTTL.
func (c *class) drop(now clock.Time) {
	for name, a := range c.accounts {
		if a.n == 0 && now.Sub(a.usedAt) >= accountTTL {
			delete(c.accounts, name)
		}
	}
}

// charge adds granted work.
func (a *account) charge(now clock.Time, work time.Duration) {
	if work <= 0 {
		return
	}
	added := math.Log(work.Seconds()/a.weight) + decays(now)
	high, low := max(a.level, added), min(a.level, added)
	a.level = high + math.Log1p(math.Exp(low-high))
}

// work returns the granted work in s in relation to the weight, as of now.
func (a *account) work(now clock.Time) float64 { return math.Exp(a.level - decays(now)) }

// decays returns a time in units of forgetTime.
func decays(t clock.Time) float64 { return float64(t) / float64(forgetTime) }

// classOf returns the class of a priority, nil if it has no state.
func (q *Queue[T]) classOf(priority int) *class {
	for _, c := range q.classes {
		if c.priority == priority {
			return c
		}
	}
	return nil
}

// newClassOf is classOf that creates the state.
func (q *Queue[T]) newClassOf(priority int) *class {
	if c := q.classOf(priority); c != nil {
		return c
	}
	c := &class{priority: priority, accounts: make(map[string]*account)}
	at := slices.IndexFunc(q.classes, func(x *class) bool { return x.priority > priority })
	if at < 0 {
		at = len(q.classes)
	}
	q.classes = slices.Insert(q.classes, at, c)
	return c
}

// sweep drops unused accounts, and classes without accounts or a schedule of returns.
func (q *Queue[T]) sweep(now clock.Time) {
	if now.Sub(q.sweptAt) < sweepInterval {
		return
	}
	q.sweptAt = now
	for _, c := range q.classes {
		c.drop(now)
	}
	q.classes = slices.DeleteFunc(q.classes, func(c *class) bool { return len(c.accounts) == 0 && !c.returnAt.After(now) })
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
