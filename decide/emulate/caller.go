package emulate

import (
	"fmt"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/notice"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// caller is one request of a caller, including all attempts.
type caller struct {
	kind        *Kind
	domain      *Domain
	object      string
	startedAt   clock.Time
	deadline    clock.Time
	retries     int
	window      int // index of the Result's window in which it started
	done        bool
	attempts    int      // that reached an entry VM
	unreachable []*vm    // VMs to which it could not connect
	account     *Account // nil: there are none
	beyondQuota bool
	content     quarantine.Fingerprint
	deathQuery  *deathQuery // nil for ordinary callers
	// workFactor multiplies the work of the request; 0: 1.
	workFactor float64
}

// entryAttempt is one attempt of a caller at an entry VM.
type entryAttempt struct {
	*caller
	sends int
	// sentAt is when the caller sent it.
	sentAt clock.Time
	// gatewaySend is the send that a gateway forwards with this attempt; nil if
	// the attempt is a caller's own.
	gatewaySend *targetSend
	firstTry    *TryCounts        // counts it as a first attempt; nil: it does not count
	answer      *ingress.Answered // the latest
	notice      notice.Notice     // in the latest answer
}

// beginLoad starts the arrivals in each failure domain and schedules the events.
func (sim *simulation) beginLoad() {
	for i := range sim.pattern.Domains {
		sim.scheduleArrival(&sim.pattern.Domains[i])
	}
	for i := range sim.pattern.Events {
		e := &sim.pattern.Events[i]
		sim.after(seconds(e.Start), func() { sim.startEvent(e) })
	}
}

// scheduleArrival schedules the next caller of a failure domain, which schedules
// the one after it.
func (sim *simulation) scheduleArrival(d *Domain) {
	rate := d.PerSecond * sim.loadFactor[d.Name] * d.Wave.factor(sim.loadSeconds())
	if f := sim.kindFactor[d.Name]; f != nil {
		rate *= sim.pattern.totalShare(f) / sim.pattern.totalShare(nil)
	}
	if rate <= 0 {
		return
	}
	sim.after(seconds(sim.rng.ExpFloat64()/rate), func() {
		if sim.loadSeconds() > sim.pattern.Seconds {
			return
		}
		sim.startCaller(d)
		sim.scheduleArrival(d)
	})
}

// startCaller starts a request of a random kind.
func (sim *simulation) startCaller(d *Domain) {
	sim.startCallerOf(d, sim.drawAccount(d.Region))
}

// startCallerOf starts a request of an account.
func (sim *simulation) startCallerOf(d *Domain, a *Account) {
	k := sim.drawKind(d)
	c := &caller{account: a, kind: k, domain: d, startedAt: sim.now, deadline: sim.now.Add(millis(k.PatienceMS)), retries: k.Retries}
	if k.Objects > 0 {
		c.object = fmt.Sprintf("%s/%s/%d", d.Region, k.Name, sim.rng.IntN(k.Objects))
	}
	c.content = sim.drawContent(k)
	c.workFactor = sim.drawWorkFactor()
	c.beyondQuota = !sim.recorder.isOwed(sim.now, a)
	sim.recorder.countAsked(c, sim.loadSeconds())
	sim.attempt(c)
}

// kindFactors are the factors by which a burst multiplies the load of kinds of request.
type kindFactors map[string]float64

// shareOf returns the share of a kind relative to the other kinds' shares.
func (f kindFactors) shareOf(k *Kind) float64 {
	if x, ok := f[k.Name]; ok {
		return k.Share * x
	}
	return k.Share
}

// totalShare returns the sum of the shares of all kinds.
func (p *Pattern) totalShare(f kindFactors) float64 {
	total := 0.0
	for i := range p.Kinds {
		total += f.shareOf(&p.Kinds[i])
	}
	return total
}

// drawKind draws the kind of the next request of a failure domain.
func (sim *simulation) drawKind(d *Domain) *Kind {
	f := sim.kindFactor[d.Name]
	x := sim.rng.Float64() * sim.pattern.totalShare(f)
	for i := range sim.pattern.Kinds {
		if x -= f.shareOf(&sim.pattern.Kinds[i]); x < 0 {
			return &sim.pattern.Kinds[i]
		}
	}
	return &sim.pattern.Kinds[len(sim.pattern.Kinds)-1]
}

const (
	// connectRefusedDelay is how long a caller takes to detect that a VM is down.
	connectRefusedDelay = 10 * time.Millisecond
	// noVMDelay is how long a caller that could not connect to any VM waits before
	// it tries again.
	noVMDelay = 100 * time.Millisecond
)

// attempt sends the caller's request to an entry VM.
func (sim *simulation) attempt(c *caller) {
	oneWay := millis(sim.pattern.Network.CallerMS)
	v := sim.chooseEntryVM(c)
	if v == nil {
		c.unreachable = nil
		sim.after(noVMDelay, func() { sim.retryOrGiveUp(c) })
		return
	}
	sentAt := sim.now
	sim.after(oneWay, func() {
		if v.reducer == nil {
			c.unreachable = append(c.unreachable, v)
			sim.after(connectRefusedDelay, func() { sim.attempt(c) })
			return
		}
		v.lastRequest++
		q := &entryAttempt{caller: c, sentAt: sentAt, firstTry: sim.countFirstTry(c, v)}
		v.openRequests[v.lastRequest] = q
		sim.step(v, &ingress.Arrive{
			Key:     c.key(),
			Request: v.lastRequest, Host: "h", Path: "/" + c.kind.Name + "/x", Object: c.object,
			Timeout: c.deadline.Sub(sim.now), Bytes: c.kind.BodyBytes, Fingerprint: c.content,
		})
	})
}

// chooseEntryVM chooses an entry VM of the caller's failure domain, or else of its
// region.
func (sim *simulation) chooseEntryVM(c *caller) *vm {
	if !sim.now.Before(c.deadline) {
		return nil
	}
	untried := c.reachable(sim.vmsInDomain[c.domain.Name])
	if len(untried) == 0 {
		untried = c.reachable(sim.vmsInRegion[c.domain.Region]) // of other failure domains
	}
	if len(untried) == 0 {
		return nil
	}
	return untried[sim.rng.IntN(len(untried))]
}

// key returns the key that the caller presents, nil if there are no accounts.
func (c *caller) key() *route.KeyDigest {
	if c.account == nil {
		return nil
	}
	return keyOf(c.account.Name)
}

// reachable returns the VMs except those to which the caller could not connect.
func (c *caller) reachable(vms []*vm) []*vm {
	if len(c.unreachable) == 0 {
		return vms
	}
	return slices.DeleteFunc(slices.Clone(vms), c.isUnreachable)
}

func (c *caller) isUnreachable(v *vm) bool { return slices.Contains(c.unreachable, v) }

// retryOrGiveUp starts another attempt, or ends the request at its deadline.
func (sim *simulation) retryOrGiveUp(c *caller) {
	if c.done {
		return
	}
	if !sim.now.Before(c.deadline) {
		sim.finishCaller(c)
		sim.recorder.countFailed(c)
		return
	}
	sim.attempt(c)
}

// finishCaller marks the request as ended, with or without an answer.
func (sim *simulation) finishCaller(c *caller) {
	c.done = true
	if c.deathQuery != nil {
		sim.repeatDeathQuery(c.deathQuery)
	}
}

// handleDeliver passes a target's answer to the caller or the sending VM.
func (sim *simulation) handleDeliver(v *vm, d ingress.Deliver) {
	q := v.openRequests[d.Request]
	delete(v.openRequests, d.Request)
	if q != nil && q.gatewaySend != nil {
		sim.returnFromGateway(q.gatewaySend, q.answer, q.notice, ingress.TargetLimit{})
		return
	}
	if q == nil || q.done {
		return
	}
	q.firstTry.countServed()
	sim.after(millis(sim.pattern.Network.CallerMS), func() {
		sim.finishCaller(q.caller)
		sim.recorder.countAnswered(q, sim.now.Sub(q.startedAt))
	})
}

// maxRetryFraction limits the time that a caller waits before it retries, as
// 1/maxRetryFraction of its remaining time.
const maxRetryFraction = 3

// handleRefusal handles a refusal by an entry VM: the caller retries or ends.
func (sim *simulation) handleRefusal(v *vm, e *ingress.Refusal) {
	q := v.openRequests[e.Request]
	delete(v.openRequests, e.Request)
	if q != nil && q.gatewaySend != nil {
		sim.returnFromGateway(q.gatewaySend, &ingress.Failed{Verdict: e.Verdict, Reason: e.Reason}, e.Notice, e.Limit)
		return
	}
	if q == nil || q.done {
		return
	}
	repeat := e.Verdict.MayRepeat(q.kind.Idempotent) && e.Reason != verdict.ReasonDeadline
	if !repeat || q.retries == 0 {
		sim.finishCaller(q.caller)
		sim.recorder.countRefused(q.caller, e.Reason)
		return
	}
	q.retries--
	sim.recorder.result.Returned++
	pause := min(e.RetryAfter, q.deadline.Sub(sim.now)/maxRetryFraction)
	sim.after(pause+millis(sim.pattern.Network.CallerMS), func() { sim.retryOrGiveUp(q.caller) })
}

// failOpenRequests ends the requests of a VM that has ended. Their callers retry
// at another VM if the request allows it.
func (sim *simulation) failOpenRequests(v *vm) {
	for _, id := range sortedKeys(v.openRequests) {
		q := v.openRequests[id]
		if q.gatewaySend != nil {
			sim.failLostGateway(q.gatewaySend)
			continue
		}
		if q.done {
			continue
		}
		if !q.kind.Idempotent && q.sends > 0 || q.retries == 0 {
			sim.finishCaller(q.caller)
			sim.recorder.countFailed(q.caller)
			continue
		}
		q.retries--
		sim.after(connectRefusedDelay, func() { sim.retryOrGiveUp(q.caller) })
	}
}
