package enginetest

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/token"
	"github.com/azurethread/azurethread/decide/verdict"
)

// How callers behave.
const (
	lookupChoices   = 3
	lookupTokens    = 3
	lookupTrip      = 2 * delayCaller
	callerRetry     = 200 * time.Millisecond
	maxRetryAfter   = 2 * time.Second
	maxTokenSends   = 4
	defaultPatience = 700 * time.Millisecond
)

// Caller is a caller's library with the rules that it must follow: it caches
// look-ups for their time to live, sends non-idempotent work again only with
// the same token to the same entry VM, and takes a fresh token after not-run
// alone.
type Caller struct {
	Name string
	// Patience is how long it waits before it sends again; Deadline how long
	// a piece of work may take in all.
	Patience, Deadline time.Duration
	// HangUp is the part of its impatience on which it closes the connection
	// of the first send before it sends again.
	HangUp float64
	// Quiet callers start no more work by themselves.
	Quiet bool
	// Asks says that it asks for the outcome of work without an answer.
	Asks bool

	w      *World
	addr   netip.Addr
	routes map[fleet.ServiceName]*route
}

// route is a cached answer to a look-up.
type route struct {
	until  clock.Time
	client client
	moved  string // shift that moved it; empty: none
	vms    []choice
}

type choice struct {
	id     fleet.VMID
	tokens []string
}

// AddCaller adds a caller in block n of the clients of a region, counted by
// the order of Options.VMs.
func (w *World) AddCaller(region, n int) *Caller {
	c := &Caller{
		Name:     fmt.Sprintf("c%d", len(w.Callers)),
		Patience: defaultPatience,
		Deadline: 5 * time.Second,
		w:        w,
		addr:     clientAddr(region%len(w.homes), n%blocksPerRegion).Next(),
		routes:   make(map[fleet.ServiceName]*route),
	}
	w.Callers = append(w.Callers, c)
	return c
}

// task is one work of a caller on its way.
type task struct {
	c        *Caller
	work     *Work
	deadline clock.Time
	over     bool
	claim    *Claim // of the token in use
	token    string
	sends    int // under this token
	at       *VM
	client   client
	open     []*Exchange
	moved    string // as of the look-up
	avoid    fleet.VMID
	unsure   bool // a send may have run and nobody knows
	clock    int  // number of the timer in force
}

// Do starts a work.
func (c *Caller) Do(s fleet.ServiceName, idempotent bool) *Work {
	c.w.works++
	c.w.Books.Counts.Works++
	work := &Work{Name: fmt.Sprintf("%s-%d", s, c.w.works), Service: s, Idempotent: idempotent}
	t := &task{c: c, work: work, deadline: c.w.Now.Add(c.Deadline)}
	c.w.After(c.Deadline, func() { t.expire() })
	t.begin()
	return work
}

// begin sends the work under a new claim.
func (t *task) begin() {
	if t.over {
		return
	}
	r := t.c.routes[t.work.Service]
	if r == nil || t.c.w.Now >= r.until || (!t.work.Idempotent && !r.hasToken(t.avoid)) {
		t.lookup()
		return
	}
	ch := r.pick(t.avoid, !t.work.Idempotent)
	if ch == nil {
		delete(t.c.routes, t.work.Service)
		t.wait(callerRetry, t.begin)
		return
	}
	t.at = t.c.w.byVM[ch.id]
	t.client, t.moved = r.client, r.moved
	t.claim, t.token, t.sends = &Claim{Work: t.work}, "", 0
	if !t.work.Idempotent {
		t.token = ch.tokens[0]
		ch.tokens = ch.tokens[1:]
	}
	t.send()
}

func (r *route) hasToken(avoid fleet.VMID) bool { return r.pick(avoid, true) != nil }

// pick returns the first choice that is not avoided, or else the first.
func (r *route) pick(avoid fleet.VMID, token bool) *choice {
	var second *choice
	for i := range r.vms {
		ch := &r.vms[i]
		switch {
		case token && len(ch.tokens) == 0:
		case ch.id != avoid:
			return ch
		case second == nil:
			second = ch
		}
	}
	return second
}

func (t *task) after(d time.Duration, f func()) { t.c.w.After(d, f) }

// lookup asks an entry VM, any that it reaches.
func (t *task) lookup() {
	w := t.c.w
	v := w.VMs[w.IntN(len(w.VMs))]
	if !v.Up || v.Paused || v.Leaving || v.catalogue == nil {
		t.wait(callerRetry, t.begin)
		return
	}
	var out [lookupChoices]steer.Choice
	a := v.Lookup(t.work.Service, t.c, out[:])
	r := &route{until: w.Now.Add(a.TTL), client: client{home: a.Home, block: a.Block}}
	if a.Moved {
		r.moved = a.ShiftID
	}
	for _, ch := range out[:a.N] {
		x := choice{id: ch.VM}
		if !t.work.Idempotent {
			for range lookupTokens {
				if tok := v.mint(ch.VM); tok != "" {
					x.tokens = append(x.tokens, tok)
				}
			}
		}
		r.vms = append(r.vms, x)
	}
	w.trace("%s looks up %s at %s: %v", t.c.Name, t.work.Service, v.Self.ID, r.ids())
	t.wait(lookupTrip, func() {
		t.c.routes[t.work.Service] = r
		t.begin()
	})
}

func (r *route) ids() []fleet.VMID {
	var ids []fleet.VMID
	for _, c := range r.vms {
		ids = append(ids, c.id)
	}
	return ids
}

// send makes one send of the claim.
func (t *task) send() {
	if t.over {
		return
	}
	w := t.c.w
	t.sends++
	claim := t.claim
	v, tok, from, left := t.at, t.token, t.client, t.deadline.Sub(w.Now)
	w.trace("%s sends %s to %s, send %d", t.c.Name, t.work.Name, v.Self.ID, t.sends)
	var x *Exchange
	x = w.exchange(Place{}, v.Place, claim, v.isUp, func(x *Exchange) {
		v.accept(x, tok, from, 0, w.Now.Add(left))
	}, func(a Answer) {
		t.open = slices.DeleteFunc(t.open, func(o *Exchange) bool { return o == x })
		t.answered(claim, a)
	})
	t.open = append(t.open, x)
	t.wait(t.c.Patience, t.impatient)
}

// wait sets the one timer of the task.
func (t *task) wait(d time.Duration, f func()) {
	t.clock++
	mine := t.clock
	t.after(d, func() {
		if t.clock == mine && !t.over {
			f()
		}
	})
}

// impatient sends again after silence.
func (t *task) impatient() {
	w := t.c.w
	if w.Chance(t.c.HangUp) {
		for _, x := range t.open {
			x.Cancel(verdict.ReasonCallerGone)
		}
	}
	if t.sends >= maxTokenSends {
		t.unsure = true
		return // the deadline decides
	}
	w.Books.Counts.Resends++
	if t.work.Idempotent {
		t.avoid = t.at.Self.ID
		t.begin()
		return
	}
	t.send()
}

// answered takes the end of one send.
func (t *task) answered(claim *Claim, a Answer) {
	if t.over || a.Reason == verdict.ReasonCallerGone {
		return
	}
	if a.Claim != claim {
		t.c.w.Books.violate("%s got the answer to %s for %s", t.c.Name, a.Claim.Work.Name, t.work.Name)
	}
	switch {
	case a.Verdict == verdict.Ran:
		t.finish(verdict.Ran)
	case claim != t.claim:
		// Of a claim that was given up: told not-run, or idempotent.
	case t.work.Idempotent:
		t.avoid = t.at.Self.ID
		t.wait(t.pause(a), t.begin)
	case a.Verdict == verdict.NotRun && a.Reason != verdict.ReasonConnect:
		if a.Reason == verdict.ReasonTokenExpired {
			delete(t.c.routes, t.work.Service)
		}
		t.anew(t.pause(a))
	case a.Verdict == verdict.NotRun:
		t.refused()
	default:
		t.unclear(a)
	}
}

// anew gives up a claim that has not run, and begins another one elsewhere.
// Each claim ends so once at most: two sends of it may both be told not-run,
// and a caller that began anew for each would do the work twice.
func (t *task) anew(d time.Duration) {
	t.avoid = t.at.Self.ID
	t.claim = nil
	t.wait(d, t.begin)
}

// refused is an attempt that got no connection. It speaks of that send only.
func (t *task) refused() {
	if t.sends == 1 {
		t.anew(callerRetry)
		return
	}
	t.unsure = true
	t.again(callerRetry)
}

// unclear is an answer that leaves open whether the work has run.
func (t *task) unclear(a Answer) {
	switch a.Reason {
	case verdict.ReasonTokenElsewhere, verdict.ReasonTokenExpired, verdict.ReasonTokenInvalid:
		t.unsure = true
		t.finish(verdict.MayHaveRun)
	case verdict.ReasonTokenUsed:
		t.c.w.Books.Counts.Duplicates++
		if a.RetryAfter == 0 {
			t.unsure = true
			t.finish(verdict.MayHaveRun)
			return
		}
		t.again(a.RetryAfter)
	case verdict.ReasonConnectionLost:
		t.again(callerRetry)
	default:
		// The entry VM's own word: a further send could not tell more.
		t.unsure = true
		t.finish(verdict.MayHaveRun)
	}
}

// again sends the same token to the same entry VM once more.
func (t *task) again(d time.Duration) {
	if t.sends >= maxTokenSends {
		return
	}
	t.wait(d, func() {
		t.c.w.Books.Counts.Resends++
		t.send()
	})
}

func (t *task) pause(a Answer) time.Duration {
	return min(max(a.RetryAfter, callerRetry/10), maxRetryAfter)
}

// expire ends a work at its deadline.
func (t *task) expire() {
	if t.over {
		return
	}
	for _, x := range slices.Clone(t.open) {
		x.Cancel(verdict.ReasonCallerGone)
	}
	v := verdict.MayHaveRun
	if t.claim == nil {
		v = verdict.NotRun
	}
	t.finish(v)
}

// finish books what the caller is left with.
func (t *task) finish(v verdict.Verdict) {
	t.over = true
	t.c.w.trace("%s is left with %s: %s", t.c.Name, t.work.Name, v)
	n := &t.c.w.Books.Counts
	switch v {
	case verdict.Ran:
		n.Ran++
		t.c.w.Books.answeredBy(t.work.Service, t.client.home, t.moved)
		if t.work.Runs == 0 {
			t.c.w.Books.violate("%s was told that %s ran, and it has not", t.c.Name, t.work.Name)
		}
	case verdict.NotRun:
		n.NotRun++
		if t.work.Runs > 0 && !t.work.Idempotent {
			t.c.w.Books.violate("%s was told that %s has not run, and it has", t.c.Name, t.work.Name)
		}
	default:
		n.MayHaveRun++
		t.ask()
	}
}

// ask settles the outcome of a token with the entry VM that knows it.
func (t *task) ask() {
	if !t.c.Asks || t.token == "" || t.claim == nil {
		return
	}
	v, tok, claim := t.at, t.token, t.claim
	t.after(t.c.w.between(0, time.Second), func() {
		if !v.Up || v.Paused {
			return
		}
		t.c.w.Books.Counts.Outcomes++
		a := v.Outcome(tok, claim)
		t.c.w.trace("%s asks %s for %s: %s, %s", t.c.Name, v.Self.ID, t.work.Name, a.Status, a.Verdict)
		if a.Status == token.Duplicate && a.Verdict == verdict.MayHaveRun && !a.Pending {
			t.c.w.Books.Counts.Unknown++
		}
	})
}
