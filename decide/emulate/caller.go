package emulate

import (
	"fmt"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/verdict"
)

// caller is one request of a caller, with all its attempts.
type caller struct {
	kind        *Kind
	domain      *Domain
	object      string
	start       clock.Time
	deadline    clock.Time
	retries     int
	window      int // of the result, in which it came
	done        bool
	unreachable []*vm // that could not be reached
	content     quarantine.Fingerprint
	deathQuery  *deathQuery // nil: a usual caller
}

// entryAttempt is one attempt of a caller at an entry VM.
type entryAttempt struct {
	*caller
	sends int
	// sender is the send that a gateway carries with this try; nil: a caller's own.
	sender *targetSend
	answer *ingress.Answered // the latest
}

// beginLoad starts the arrivals of each failure domain, and the events.
func (f *simulation) beginLoad() {
	for i := range f.pattern.Domains {
		f.scheduleArrival(&f.pattern.Domains[i])
	}
	for i := range f.pattern.Events {
		e := &f.pattern.Events[i]
		f.after(seconds(e.Start), func() { f.startEvent(e) })
	}
}

// scheduleArrival has the callers of a failure domain come one after the other.
func (f *simulation) scheduleArrival(d *Domain) {
	rate := d.PerSecond * f.loadFactor[d.Name]
	if rate <= 0 {
		return
	}
	f.after(seconds(f.rng.ExpFloat64()/rate), func() {
		if f.loadSeconds() > f.pattern.Seconds {
			return
		}
		f.newCaller(d)
		f.scheduleArrival(d)
	})
}

func (f *simulation) newCaller(d *Domain) {
	k := f.drawKind()
	c := &caller{kind: k, domain: d, start: f.now, deadline: f.now.Add(millis(k.PatienceMS)), retries: k.Retries}
	if k.Objects > 0 {
		c.object = fmt.Sprintf("%s/%s/%d", d.Region, k.Name, f.rng.IntN(k.Objects))
	}
	c.content = f.contentOfKind(k)
	f.recorder.countAsked(c, f.loadSeconds())
	f.attempt(c)
}

// drawKind draws the kind of the next request.
func (f *simulation) drawKind() *Kind {
	total := 0.0
	for i := range f.pattern.Kinds {
		total += f.pattern.Kinds[i].Share
	}
	x := f.rng.Float64() * total
	for i := range f.pattern.Kinds {
		if x -= f.pattern.Kinds[i].Share; x < 0 {
			return &f.pattern.Kinds[i]
		}
	}
	return &f.pattern.Kinds[len(f.pattern.Kinds)-1]
}

const (
	// connectRefusedDelay is how long a caller takes to find out that a VM is down.
	connectRefusedDelay = 10 * time.Millisecond
	// noVMDelay is how long a caller waits that knows no VM any more.
	noVMDelay = 100 * time.Millisecond
)

// attempt sends the caller's request to an entry VM.
func (f *simulation) attempt(c *caller) {
	way := millis(f.pattern.Network.CallerMS)
	v := f.chooseEntryVM(c)
	if v == nil {
		c.unreachable = nil
		f.after(noVMDelay, func() { f.retryOrGiveUp(c) })
		return
	}
	f.after(way, func() {
		if v.reducer == nil {
			c.unreachable = append(c.unreachable, v)
			f.after(connectRefusedDelay, func() { f.attempt(c) })
			return
		}
		v.lastRequest++
		q := &entryAttempt{caller: c}
		v.openRequests[v.lastRequest] = q
		f.step(v, &ingress.Arrive{
			Request: v.lastRequest, Host: "h", Path: "/" + c.kind.Name + "/x", Object: c.object,
			Patience: c.deadline.Sub(f.now), Bytes: c.kind.BodyBytes, Fingerprint: c.content,
		})
	})
}

// chooseEntryVM chooses an entry VM of the caller's failure domain, or else of its
// region.
func (f *simulation) chooseEntryVM(c *caller) *vm {
	if !f.now.Before(c.deadline) {
		return nil
	}
	untried := c.reachable(f.vmsInDomain[c.domain.Name])
	if len(untried) == 0 {
		untried = c.reachable(f.vmsInRegion[c.domain.Region]) // of other failure domains
	}
	if len(untried) == 0 {
		return nil
	}
	return untried[f.rng.IntN(len(untried))]
}

// reachable returns those of vms that the caller has not tried.
func (c *caller) reachable(vms []*vm) []*vm {
	if len(c.unreachable) == 0 {
		return vms
	}
	return slices.DeleteFunc(slices.Clone(vms), c.isUnreachable)
}

func (c *caller) isUnreachable(v *vm) bool { return slices.Contains(c.unreachable, v) }

// retryOrGiveUp has the caller try once more, or give up.
func (f *simulation) retryOrGiveUp(c *caller) {
	if c.done {
		return
	}
	if !f.now.Before(c.deadline) {
		f.finishCaller(c)
		f.recorder.countFailed(c)
		return
	}
	f.attempt(c)
}

// finishCaller notes that c has its final answer or none.
func (f *simulation) finishCaller(c *caller) {
	c.done = true
	if c.deathQuery != nil {
		f.repeatDeathQuery(c.deathQuery)
	}
}

// handleDeliver takes a target's answer.
func (f *simulation) handleDeliver(v *vm, d ingress.Deliver) {
	q := v.openRequests[d.Request]
	delete(v.openRequests, d.Request)
	if q != nil && q.sender != nil {
		f.returnFromGateway(q.sender, q.answer)
		return
	}
	if q == nil || q.done {
		return
	}
	f.after(millis(f.pattern.Network.CallerMS), func() {
		f.finishCaller(q.caller)
		f.recorder.countAnswered(q, f.now.Sub(q.start))
	})
}

// maxRetryFraction is the largest part of the time left that a caller waits before
// it comes back.
const maxRetryFraction = 3

// handleRefusal takes an answer of the entry VM's own.
func (f *simulation) handleRefusal(v *vm, e *ingress.Refusal) {
	q := v.openRequests[e.Request]
	delete(v.openRequests, e.Request)
	if q != nil && q.sender != nil {
		f.returnFromGateway(q.sender, &ingress.Failed{Verdict: e.Verdict, Reason: e.Reason})
		return
	}
	if q == nil || q.done {
		return
	}
	repeat := e.Verdict.MayRepeat(q.kind.Idempotent) && e.Reason != verdict.ReasonDeadline
	if !repeat || q.retries == 0 {
		f.finishCaller(q.caller)
		f.recorder.countRefused(q.caller, e.Reason)
		return
	}
	q.retries--
	f.recorder.result.Returned++
	pause := min(e.RetryAfter, q.deadline.Sub(f.now)/maxRetryFraction)
	f.after(pause+millis(f.pattern.Network.CallerMS), func() { f.retryOrGiveUp(q.caller) })
}

// failOpenRequests has the callers of a VM that ends try elsewhere where they may.
func (f *simulation) failOpenRequests(v *vm) {
	for _, id := range sortedKeys(v.openRequests) {
		q := v.openRequests[id]
		if q.sender != nil {
			f.failLostGateway(q.sender)
			continue
		}
		if q.done {
			continue
		}
		if !q.kind.Idempotent && q.sends > 0 || q.retries == 0 {
			f.finishCaller(q.caller)
			f.recorder.countFailed(q.caller)
			continue
		}
		q.retries--
		f.after(connectRefusedDelay, func() { f.retryOrGiveUp(q.caller) })
	}
}
