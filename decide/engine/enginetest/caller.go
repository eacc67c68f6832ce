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

// Behaviour of callers.
const (
	lookupChoices      = 3
	lookupTokens       = 3
	lookupRTT          = 2 * delayCaller
	callerRetryDelay   = 200 * time.Millisecond
	maxRetryAfter      = 2 * time.Second
	maxTokenSends      = 4
	defaultResendAfter = 700 * time.Millisecond
)

// Caller is a caller's library that follows the protocol: it caches look-ups for
// their time to live, resends non-idempotent work only with the same token to
// the same entry VM, and uses a new token only after not-run.
type Caller struct {
	Name string
	// ResendAfter is how long the caller waits for an answer before it resends.
	// Deadline is how long a work may take in total.
	ResendAfter, Deadline time.Duration
	// CancelProbability is the probability that it closes the connections of the
	// earlier sends before it resends.
	CancelProbability float64
	// Stopped is true if GenerateLoad must start no more work.
	Stopped bool
	// AsksOutcome is true if the caller queries the outcome of work that ended as
	// may-have-run.
	AsksOutcome bool

	w       *World
	addr    netip.Addr
	lookups map[fleet.ServiceName]*cachedLookup
}

// cachedLookup is the cached answer to a look-up.
type cachedLookup struct {
	expires clock.Time
	client  client
	movedBy string // shift that moved the look-up; empty if none
	vms     []vmChoice
}

type vmChoice struct {
	id     fleet.VMID
	tokens []string
}

// AddCaller adds a caller in client block n of a region. Regions are numbered in
// the order in which they appear in Options.VMs.
func (w *World) AddCaller(region, n int) *Caller {
	c := &Caller{
		Name:        fmt.Sprintf("c%d", len(w.Callers)),
		ResendAfter: defaultResendAfter,
		Deadline:    5 * time.Second,
		w:           w,
		addr:        clientAddr(region%len(w.homes), n%blocksPerRegion).Next(),
		lookups:     make(map[fleet.ServiceName]*cachedLookup),
	}
	w.Callers = append(w.Callers, c)
	return c
}

// task is the state of one Work at its caller.
type task struct {
	c          *Caller
	work       *Work
	deadline   clock.Time
	done       bool
	submission *Submission // current one
	token      string
	sends      int // of the current submission
	vm         *VM
	client     client
	exchanges  []*Exchange
	movedBy    string // shift that moved the look-up
	avoid      fleet.VMID
	maybeRan   bool // a send may have run
	timer      int  // number of the active timer
}

// StartWork starts one work.
func (c *Caller) StartWork(s fleet.ServiceName, idempotent bool) *Work {
	c.w.lastNumber++
	c.w.Checker.Counts.Works++
	work := &Work{Name: fmt.Sprintf("%s-%d", s, c.w.lastNumber), Service: s, Idempotent: idempotent}
	t := &task{c: c, work: work, deadline: c.w.Now.Add(c.Deadline)}
	c.w.After(c.Deadline, func() { t.expire() })
	t.start()
	return work
}

// start sends the work as a new submission.
func (t *task) start() {
	if t.done {
		return
	}
	r := t.c.lookups[t.work.Service]
	if r == nil || t.c.w.Now >= r.expires || (!t.work.Idempotent && !r.hasToken(t.avoid)) {
		t.lookup()
		return
	}
	ch := r.pick(t.avoid, !t.work.Idempotent)
	if ch == nil {
		delete(t.c.lookups, t.work.Service)
		t.setTimer(callerRetryDelay, t.start)
		return
	}
	t.vm = t.c.w.vmByID[ch.id]
	t.client, t.movedBy = r.client, r.movedBy
	t.submission, t.token, t.sends = &Submission{Work: t.work}, "", 0
	if !t.work.Idempotent {
		t.token = ch.tokens[0]
		ch.tokens = ch.tokens[1:]
	}
	t.send()
}

func (r *cachedLookup) hasToken(avoid fleet.VMID) bool { return r.pick(avoid, true) != nil }

// pick returns the first choice that is not the avoided one, or the avoided one
// if there is no other. With token set it skips choices without tokens.
func (r *cachedLookup) pick(avoid fleet.VMID, token bool) *vmChoice {
	var second *vmChoice
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

// lookup does a look-up at a random entry VM.
func (t *task) lookup() {
	w := t.c.w
	v := w.VMs[w.IntN(len(w.VMs))]
	if !v.Up || v.Paused || v.Leaving || v.catalogue == nil {
		t.setTimer(callerRetryDelay, t.start)
		return
	}
	var out [lookupChoices]steer.Choice
	a := v.Lookup(t.work.Service, t.c, out[:])
	r := &cachedLookup{expires: w.Now.Add(a.TTL), client: client{home: a.Home, block: a.Block}}
	if a.Moved {
		r.movedBy = a.ShiftID
	}
	for _, ch := range out[:a.N] {
		x := vmChoice{id: ch.VM}
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
	t.setTimer(lookupRTT, func() {
		t.c.lookups[t.work.Service] = r
		t.start()
	})
}

func (r *cachedLookup) ids() []fleet.VMID {
	var ids []fleet.VMID
	for _, c := range r.vms {
		ids = append(ids, c.id)
	}
	return ids
}

// send sends the current submission once.
func (t *task) send() {
	if t.done {
		return
	}
	w := t.c.w
	t.sends++
	sub := t.submission
	v, tok, from, left := t.vm, t.token, t.client, t.deadline.Sub(w.Now)
	w.trace("%s sends %s to %s, send %d", t.c.Name, t.work.Name, v.Self.ID, t.sends)
	var x *Exchange
	x = w.exchange(Location{}, v.Location, sub, v.isUp, func(x *Exchange) {
		v.accept(x, tok, from, 0, w.Now.Add(left))
	}, func(a Answer) {
		t.exchanges = slices.DeleteFunc(t.exchanges, func(o *Exchange) bool { return o == x })
		t.handleAnswer(sub, a)
	})
	t.exchanges = append(t.exchanges, x)
	t.setTimer(t.c.ResendAfter, t.handleTimeout)
}

// setTimer sets the task's only timer and replaces an earlier one.
func (t *task) setTimer(d time.Duration, f func()) {
	t.timer++
	current := t.timer
	t.after(d, func() {
		if t.timer == current && !t.done {
			f()
		}
	})
}

// handleTimeout resends after ResendAfter without an answer.
func (t *task) handleTimeout() {
	w := t.c.w
	if w.Chance(t.c.CancelProbability) {
		for _, x := range t.exchanges {
			x.Cancel(verdict.ReasonCallerGone)
		}
	}
	if t.sends >= maxTokenSends {
		t.maybeRan = true
		return // expire ends the task
	}
	w.Checker.Counts.Resends++
	if t.work.Idempotent {
		t.avoid = t.vm.Self.ID
		t.start()
		return
	}
	t.send()
}

// handleAnswer handles the result of one send.
func (t *task) handleAnswer(sub *Submission, a Answer) {
	if t.done || a.Reason == verdict.ReasonCallerGone {
		return
	}
	if a.Submission != sub {
		t.c.w.Checker.reportViolation("%s got the answer to %s for %s", t.c.Name, a.Submission.Work.Name, t.work.Name)
	}
	switch {
	case a.Verdict == verdict.Ran:
		t.finish(verdict.Ran)
	case sub != t.submission:
		// The answer belongs to an earlier submission, which was not-run or
		// whose work is idempotent.
	case t.work.Idempotent:
		t.avoid = t.vm.Self.ID
		t.setTimer(t.retryDelay(a), t.start)
	case a.Verdict == verdict.NotRun && a.Reason != verdict.ReasonConnect:
		if a.Reason == verdict.ReasonTokenExpired {
			delete(t.c.lookups, t.work.Service)
		}
		t.submitElsewhere(t.retryDelay(a))
	case a.Verdict == verdict.NotRun:
		t.connectFailed()
	default:
		t.handleUnknownOutcome(a)
	}
}

// submitElsewhere abandons a submission that has not run and starts a new one at
// another entry VM. A submission is abandoned only once: two of its sends may
// both be answered not-run, and a new submission for each would run the work
// twice.
func (t *task) submitElsewhere(d time.Duration) {
	t.avoid = t.vm.Self.ID
	t.submission = nil
	t.setTimer(d, t.start)
}

// connectFailed handles a send that got no connection. This says nothing about
// earlier sends of the submission.
func (t *task) connectFailed() {
	if t.sends == 1 {
		t.submitElsewhere(callerRetryDelay)
		return
	}
	t.maybeRan = true
	t.resend(callerRetryDelay)
}

// handleUnknownOutcome handles an answer that does not say whether the work has
// run.
func (t *task) handleUnknownOutcome(a Answer) {
	switch a.Reason {
	case verdict.ReasonTokenElsewhere, verdict.ReasonTokenExpired, verdict.ReasonTokenInvalid:
		t.maybeRan = true
		t.finish(verdict.MayHaveRun)
	case verdict.ReasonTokenUsed:
		t.c.w.Checker.Counts.Duplicates++
		if a.RetryAfter == 0 {
			t.maybeRan = true
			t.finish(verdict.MayHaveRun)
			return
		}
		t.resend(a.RetryAfter)
	case verdict.ReasonConnectionLost:
		t.resend(callerRetryDelay)
	default:
		// The entry VM does not know the outcome, so another send would not help.
		t.maybeRan = true
		t.finish(verdict.MayHaveRun)
	}
}

// resend sends the same token to the same entry VM again after d.
func (t *task) resend(d time.Duration) {
	if t.sends >= maxTokenSends {
		return
	}
	t.setTimer(d, func() {
		t.c.w.Checker.Counts.Resends++
		t.send()
	})
}

func (t *task) retryDelay(a Answer) time.Duration {
	return min(max(a.RetryAfter, callerRetryDelay/10), maxRetryAfter)
}

// expire ends a work at its deadline.
func (t *task) expire() {
	if t.done {
		return
	}
	for _, x := range slices.Clone(t.exchanges) {
		x.Cancel(verdict.ReasonCallerGone)
	}
	v := verdict.MayHaveRun
	if t.submission == nil {
		v = verdict.NotRun
	}
	t.finish(v)
}

// finish ends the task and records the verdict that the caller ends up with.
func (t *task) finish(v verdict.Verdict) {
	t.done = true
	t.c.w.trace("%s is left with %s: %s", t.c.Name, t.work.Name, v)
	n := &t.c.w.Checker.Counts
	switch v {
	case verdict.Ran:
		n.Ran++
		t.c.w.Checker.countAnswered(t.work.Service, t.client.home, t.movedBy)
		if t.work.Runs == 0 {
			t.c.w.Checker.reportViolation("%s got ran for %s, which has not run", t.c.Name, t.work.Name)
		}
	case verdict.NotRun:
		n.NotRun++
		if t.work.Runs > 0 && !t.work.Idempotent {
			t.c.w.Checker.reportViolation("%s got not-run for %s, which has run", t.c.Name, t.work.Name)
		}
	default:
		n.MayHaveRun++
		t.queryOutcome()
	}
}

// queryOutcome queries the outcome of the token at the entry VM that it is for.
func (t *task) queryOutcome() {
	if !t.c.AsksOutcome || t.token == "" || t.submission == nil {
		return
	}
	v, tok, sub := t.vm, t.token, t.submission
	t.after(t.c.w.between(0, time.Second), func() {
		if !v.Up || v.Paused {
			return
		}
		t.c.w.Checker.Counts.Outcomes++
		a := v.Outcome(tok, sub)
		t.c.w.trace("%s asks %s for %s: %s, %s", t.c.Name, v.Self.ID, t.work.Name, a.Status, a.Verdict)
		if a.Status == token.Duplicate && a.Verdict == verdict.MayHaveRun && !a.Pending {
			t.c.w.Checker.Counts.Unknown++
		}
	})
}
