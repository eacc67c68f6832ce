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
	kind    *Kind
	domain  *Domain
	object  string
	began   clock.Time
	due     clock.Time
	retries int
	window  int // of the result, in which it came
	done    bool
	tried   []*vm // that could not be reached
	content quarantine.Fingerprint
	deadly  *deadly // nil: a usual caller
}

// try is one attempt of a caller at an entry VM.
type try struct {
	*caller
	sends int
	// sender is the send that a gateway carries with this try; nil: a caller's own.
	sender *send
	answer *ingress.Answered // the latest
}

// beginLoad starts the arrivals of each failure domain, and the events.
func (f *fleetRun) beginLoad() {
	for i := range f.p.Domains {
		f.arrivals(&f.p.Domains[i])
	}
	for i := range f.p.Events {
		e := &f.p.Events[i]
		f.after(seconds(e.At), func() { f.happen(e) })
	}
}

// arrivals has the callers of a failure domain come one after the other.
func (f *fleetRun) arrivals(d *Domain) {
	rate := d.PerSecond * f.load[d.Name]
	if rate <= 0 {
		return
	}
	f.after(seconds(f.rng.ExpFloat64()/rate), func() {
		if f.second() > f.p.Seconds {
			return
		}
		f.arrive(d)
		f.arrivals(d)
	})
}

func (f *fleetRun) arrive(d *Domain) {
	k := f.kind()
	c := &caller{kind: k, domain: d, began: f.now, due: f.now.Add(millis(k.PatienceMS)), retries: k.Retries}
	if k.Objects > 0 {
		c.object = fmt.Sprintf("%s/%s/%d", d.Region, k.Name, f.rng.IntN(k.Objects))
	}
	c.content = f.content(k)
	f.books.asked(c, f.second())
	f.attempt(c)
}

// kind draws the kind of the next request.
func (f *fleetRun) kind() *Kind {
	total := 0.0
	for i := range f.p.Kinds {
		total += f.p.Kinds[i].Share
	}
	x := f.rng.Float64() * total
	for i := range f.p.Kinds {
		if x -= f.p.Kinds[i].Share; x < 0 {
			return &f.p.Kinds[i]
		}
	}
	return &f.p.Kinds[len(f.p.Kinds)-1]
}

const (
	// refusedConnect is how long a caller takes to find out that a VM is down.
	refusedConnect = 10 * time.Millisecond
	// lookAgain is how long a caller waits that knows no VM any more.
	lookAgain = 100 * time.Millisecond
)

// attempt sends the caller's request to an entry VM.
func (f *fleetRun) attempt(c *caller) {
	way := millis(f.p.Network.CallerMS)
	v := f.entry(c)
	if v == nil {
		c.tried = nil
		f.after(lookAgain, func() { f.again(c) })
		return
	}
	f.after(way, func() {
		if v.r == nil {
			c.tried = append(c.tried, v)
			f.after(refusedConnect, func() { f.attempt(c) })
			return
		}
		v.last++
		q := &try{caller: c}
		v.open[v.last] = q
		f.step(v, &ingress.Arrive{
			Request: v.last, Host: "h", Path: "/" + c.kind.Name + "/x", Object: c.object,
			Patience: c.due.Sub(f.now), Bytes: c.kind.BodyBytes, Fingerprint: c.content,
		})
	})
}

// entry chooses an entry VM of the caller's failure domain, or else of its
// region.
func (f *fleetRun) entry(c *caller) *vm {
	if !f.now.Before(c.due) {
		return nil
	}
	untried := c.untried(f.inDomain[c.domain.Name])
	if len(untried) == 0 {
		untried = c.untried(f.inRegion[c.domain.Region]) // of other failure domains
	}
	if len(untried) == 0 {
		return nil
	}
	return untried[f.rng.IntN(len(untried))]
}

// untried returns those of vms that the caller has not tried.
func (c *caller) untried(vms []*vm) []*vm {
	if len(c.tried) == 0 {
		return vms
	}
	return slices.DeleteFunc(slices.Clone(vms), c.hasTried)
}

func (c *caller) hasTried(v *vm) bool { return slices.Contains(c.tried, v) }

// again has the caller try once more, or give up.
func (f *fleetRun) again(c *caller) {
	if c.done {
		return
	}
	if !f.now.Before(c.due) {
		f.finished(c)
		f.books.failed(c)
		return
	}
	f.attempt(c)
}

// finished notes that c has its final answer or none.
func (f *fleetRun) finished(c *caller) {
	c.done = true
	if c.deadly != nil {
		f.deadlyAgain(c.deadly)
	}
}

// delivered takes a target's answer.
func (f *fleetRun) delivered(v *vm, d ingress.Deliver) {
	q := v.open[d.Request]
	delete(v.open, d.Request)
	if q != nil && q.sender != nil {
		f.fromGateway(q.sender, q.answer)
		return
	}
	if q == nil || q.done {
		return
	}
	f.after(millis(f.p.Network.CallerMS), func() {
		f.finished(q.caller)
		f.books.answered(q, f.now.Sub(q.began))
	})
}

// returnShare is the largest part of the time left that a caller waits before
// it comes back.
const returnShare = 3

// refused takes an answer of the entry VM's own.
func (f *fleetRun) refused(v *vm, e *ingress.Refusal) {
	q := v.open[e.Request]
	delete(v.open, e.Request)
	if q != nil && q.sender != nil {
		f.fromGateway(q.sender, &ingress.Failed{Verdict: e.Verdict, Reason: e.Reason})
		return
	}
	if q == nil || q.done {
		return
	}
	repeat := e.Verdict.MayRepeat(q.kind.Idempotent) && e.Reason != verdict.ReasonDeadline
	if !repeat || q.retries == 0 {
		f.finished(q.caller)
		f.books.refused(q.caller, e.Reason)
		return
	}
	q.retries--
	f.books.r.Returned++
	pause := min(e.RetryAfter, q.due.Sub(f.now)/returnShare)
	f.after(pause+millis(f.p.Network.CallerMS), func() { f.again(q.caller) })
}

// lost has the callers of a VM that ends try elsewhere where they may.
func (f *fleetRun) lost(v *vm) {
	for _, id := range sortedKeys(v.open) {
		q := v.open[id]
		if q.sender != nil {
			f.gatewayLost(q.sender)
			continue
		}
		if q.done {
			continue
		}
		if !q.kind.Idempotent && q.sends > 0 || q.retries == 0 {
			f.finished(q.caller)
			f.books.failed(q.caller)
			continue
		}
		q.retries--
		f.after(refusedConnect, func() { f.again(q.caller) })
	}
}
