package daemon

import (
	"net/http"
	"strconv"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
	"github.com/azurethread/azurethread/serve/outbound"
)

// attempt is one send of a call to a target or to another entry VM.
type attempt struct {
	id           dispatch.AttemptID
	addr         string
	toEntryVM    bool // the receiver is an entry VM, not a target
	outboundCall *outbound.Call
	answer       *outbound.Answer
	span         span
}

// sendToTarget sends a call to a target.
func (d *Daemon) sendToTarget(now clock.Time, s dispatch.Send) {
	t, known := d.targets[s.Target]
	c := d.calls.get(s.Req)
	if c == nil || !known {
		d.reportNotSent(s.Req, s.Attempt)
		return
	}
	a := &attempt{id: s.Attempt, addr: t.Addr}
	a.span = c.span.child("target " + string(s.Target))
	r := c.req
	r.Header = c.req.Header.Clone()
	r.Header[headerDeadline] = []string{remainingMillis(s.Deadline, now)}
	delete(r.Header, headerToken)
	delete(r.Header, headerHops)
	delete(r.Header, headerWait)
	delete(r.Header, headerClient)
	r.NewConnection = s.NewConnection
	nameAttempt(&r, strconv.FormatUint(uint64(s.Attempt), 10))
	a.span.inject(r.Header)
	d.startAttempt(c, a, &r)
}

// nameAttempt gives a request an id that tells its answer from others.
func nameAttempt(r *outbound.Request, id string) {
	r.Header[headerAttempt] = []string{id}
	r.OwnerOf = func(h outbound.Head) outbound.Ownership { return ownerOf(id, h.Header) }
}

// forwardToVM forwards a call to another entry VM, with a new token that only
// that process accepts, so that this hop is protected against repetition like a
// request from a caller.
func (d *Daemon) forwardToVM(now clock.Time, f dispatch.Forward) {
	vm, known := d.vms[f.VM]
	c := d.calls.get(f.Req)
	if c == nil || !known {
		d.reportNotSent(f.Req, f.Attempt)
		return
	}
	a := &attempt{id: f.Attempt, addr: vm.CallAddr, toEntryVM: true}
	a.span = c.span.child("entry VM " + string(f.VM))
	r := c.req
	r.URI = pathCall + string(c.service) + c.req.URI
	r.Header = c.req.Header.Clone()
	r.Header[headerDeadline] = []string{remainingMillis(f.Deadline, now)}
	r.Header[headerHops] = []string{"1"}
	r.Header[headerWait] = []string{strconv.FormatInt(f.ExpectedWait.Milliseconds(), 10)}
	r.Header[headerClient] = []string{c.client.encode()}
	r.Header[headerToken] = []string{d.mintToken(vm, now)}
	nameAttempt(&r, strconv.FormatUint(uint64(f.Attempt), 10))
	a.span.inject(r.Header)
	d.metrics.forwarded.Add(1)
	d.startAttempt(c, a, &r)
}

// startAttempt starts an attempt unless the call has finished in the meantime.
func (d *Daemon) startAttempt(c *call, a *attempt, r *outbound.Request) {
	if !c.addAttempt(a) {
		a.span.end(verdict.NotRun, verdict.ReasonCallerGone)
		d.reportNotSent(c.id, a.id)
		return
	}
	d.metrics.attempts.Add(1)
	k := d.pool.Do(a.addr, r, func(ans *outbound.Answer, err *verdict.Error) {
		d.attemptDone(c, a, ans, err)
	})
	c.mu.Lock()
	a.outboundCall = k
	c.mu.Unlock()
}

// ownerOf says whether an answer belongs to the send with this id. A receiver that does not
// return the id gets each request on a connection of its own, as an answer without it is the
// last one on its connection.
func ownerOf(id string, h http.Header) outbound.Ownership {
	switch echo := h.Get(headerAttempt); {
	case echo == id:
		return outbound.Own
	case echo != "":
		return outbound.Foreign
	default:
		return outbound.Unnamed
	}
}

// reportNotSent reports an attempt of which nothing was written to a connection.
func (d *Daemon) reportNotSent(r dispatch.RequestID, a dispatch.AttemptID) {
	d.core.Post(&dispatch.Failed{Req: r, Attempt: a, Verdict: verdict.NotRun, Reason: verdict.ReasonNoTarget})
}

// attemptDone posts the outcome of an attempt as an event.
func (d *Daemon) attemptDone(c *call, a *attempt, ans *outbound.Answer, err *verdict.Error) {
	defer d.calls.attemptEnded(c)
	if err == nil {
		err = parseRefusal(ans, a.toEntryVM)
	}
	if err != nil {
		a.span.end(err.Verdict, err.Reason)
		d.core.Post(&dispatch.Failed{
			Req: c.id, Attempt: a.id,
			Verdict: err.Verdict, Reason: err.Reason,
			RetryAfter: parseRetryAfter(ans),
		})
		return
	}
	a.span.end(verdict.Ran, verdict.ReasonNone)
	c.mu.Lock()
	a.answer = ans
	c.mu.Unlock()
	d.core.Post(&dispatch.Answered{Req: c.id, Attempt: a.id, Status: ans.Status, Load: parseLoad(ans.Header)})
}

// parseRefusal returns the error that an answer reports, or nil if the answer is
// a result. A target marks a refused request with headerRefused; an entry VM
// sends its verdict and reason.
func parseRefusal(a *outbound.Answer, fromEntryVM bool) *verdict.Error {
	if fromEntryVM {
		return heads.ParseFailure(a.Header)
	}
	if a.Header.Get(headerRefused) != verdict.NotRun.String() {
		return nil
	}
	reason := verdict.ReasonTargetRefused
	if a.Header.Get(headerReason) == string(verdict.ReasonStopping) {
		reason = verdict.ReasonStopping
	}
	return &verdict.Error{Verdict: verdict.NotRun, Reason: reason}
}

// parseRetryAfter returns the delay that a refusal asks for; 0 if it names none.
func parseRetryAfter(a *outbound.Answer) time.Duration {
	if a == nil {
		return 0
	}
	if ms, err := strconv.ParseInt(a.Header.Get(headerRetryMs), 10, 64); err == nil && ms > 0 {
		return time.Duration(min(ms, heads.MaxDuration.Milliseconds())) * time.Millisecond
	}
	s, err := strconv.ParseInt(a.Header.Get(headerRetry), 10, 64)
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(min(s, int64(heads.MaxDuration/time.Second))) * time.Second
}

// parseLoad returns the load that a target may report with its answer.
func parseLoad(h http.Header) *dispatch.LoadHint {
	v := h.Get(headerLoad)
	if v == "" {
		return nil
	}
	for i := range len(v) {
		if v[i] != '/' {
			continue
		}
		inFlight, err1 := strconv.Atoi(v[:i])
		slots, err2 := strconv.Atoi(v[i+1:])
		if err1 != nil || err2 != nil {
			return nil
		}
		return &dispatch.LoadHint{InFlight: inFlight, Slots: slots}
	}
	return nil
}

// cancelAttempt cancels an attempt that is under way.
func (d *Daemon) cancelAttempt(k dispatch.Cancel) {
	c := d.calls.get(k.Req)
	if c == nil {
		return
	}
	a := c.findAttempt(k.Attempt)
	if a == nil {
		return
	}
	reason := verdict.ReasonCallerGone
	if k.Replace {
		reason = verdict.ReasonSilent
		d.metrics.connectionsReplaced.Add(1)
		d.pool.CloseIdle(a.addr, minSuspectIdle)
	}
	c.mu.Lock()
	h := a.outboundCall
	c.mu.Unlock()
	if h != nil {
		h.Cancel(reason)
	}
}

// minSuspectIdle is how long a free connection must have been idle to be closed
// together with a silent connection to the same receiver.
const minSuspectIdle = 100 * time.Millisecond
