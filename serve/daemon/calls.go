package daemon

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/inbound"
	"github.com/azurethread/azurethread/serve/outbound"
)

// call is one request in hand, from its arrival to its final effect.
type call struct {
	id       dispatch.RequestID
	x        *inbound.Exchange
	service  fleet.ServiceName
	req      outbound.Request // as it goes to targets and entry VMs
	client   client
	deadline clock.Time
	head     bool // the caller sent HEAD; targets are asked with GET
	span     span

	final atomic.Bool // the caller has its answer or has gone

	mu       sync.Mutex
	attempts []*attempt
	live     int // attempts that have not ended
}

// attempt is one send or forward of a call.
type attempt struct {
	id     dispatch.AttemptID
	addr   string
	remote bool // to an entry VM, not to a target
	k      *outbound.Call
	answer *outbound.Answer
	span   span
}

func (c *call) find(id dispatch.AttemptID) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

func (c *call) add(a *attempt) {
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.live++
	c.mu.Unlock()
}

// calls holds the requests in hand.
type calls struct {
	next atomic.Uint64

	mu   sync.Mutex
	byID map[dispatch.RequestID]*call
}

func (t *calls) add(c *call) {
	c.id = dispatch.RequestID(t.next.Add(1))
	t.mu.Lock()
	t.byID[c.id] = c
	t.mu.Unlock()
}

func (t *calls) get(id dispatch.RequestID) *call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// finish claims the final effect of a call; nil when it has had it. The call
// stays in the table while attempts of it are under way, so that they can
// still be cancelled.
func (t *calls) finish(id dispatch.RequestID) *call {
	c := t.get(id)
	if c == nil || !c.final.CompareAndSwap(false, true) {
		return nil
	}
	t.forget(c)
	return c
}

// ended counts an attempt out.
func (t *calls) ended(c *call) {
	c.mu.Lock()
	c.live--
	c.mu.Unlock()
	t.forget(c)
}

// forget drops a call that has nothing more to happen to it.
func (t *calls) forget(c *call) {
	if !c.final.Load() {
		return
	}
	c.mu.Lock()
	live := c.live
	c.mu.Unlock()
	if live > 0 {
		return
	}
	t.mu.Lock()
	delete(t.byID, c.id)
	t.mu.Unlock()
}

// Serve implements inbound.Handler for the callers' interface.
func (d *Daemon) Serve(x *inbound.Exchange) {
	if service, path, ok := splitCall(x.URI); ok {
		d.serveCall(x, service, path)
		return
	}
	d.servePage(x)
}

// serveCall takes in a request to be sent to a target.
func (d *Daemon) serveCall(x *inbound.Exchange, service fleet.ServiceName, path string) {
	now := d.now()
	deadline, ok := deadlineOf(x.Header, now)
	hops, hopsOK := hopsOf(x.Header)
	c := &call{x: x, service: service, deadline: deadline, client: d.clientOf(x)}
	c.req = outbound.Request{Method: x.Method, URI: path, Header: x.Header, Body: x.Body}
	if x.Method == http.MethodHead {
		c.head = true
		c.req.Method = http.MethodGet
	}
	tok := x.Header.Get(headerToken)
	c.span = d.tracer.start(x.Header, string(service))
	endToEnd(x.Header)
	d.calls.add(c)
	if !ok || !hopsOK {
		d.core.Post(&engine.Reject{Req: c.id, Token: tok, Reason: verdict.ReasonBadRequest})
		return
	}
	d.core.Post(&engine.Call{
		Req:      c.id,
		Service:  service,
		Token:    tok,
		Home:     c.client.home,
		Block:    c.client.block,
		Deadline: deadline,
		Hops:     hops,

		ExpectedWait: waitOf(x.Header),
		BodyBytes:    int64(len(x.Body)),
	})
	x.OnGone(func() { d.callerGone(c) })
}

// hopsOf reads how often a request has been forwarded.
func hopsOf(h http.Header) (hops uint8, ok bool) {
	v := h.Get(headerHops)
	if v == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(v, 10, 8)
	return uint8(n), err == nil
}

// clientOf tells where a request comes from. What a look-up gave the caller
// goes before the address of the connection: behind a relay, and between entry
// VMs, that address is not the client's. The figure serves only to count
// traffic by shift; it opens nothing.
func (d *Daemon) clientOf(x *inbound.Exchange) client {
	if v := x.Header.Get(headerClient); v != "" {
		if c, ok := parseClient(v); ok {
			return c
		}
	}
	return d.lookups.client(x.Remote)
}

func (d *Daemon) callerGone(c *call) {
	if d.calls.finish(c.id) == nil {
		return
	}
	d.metrics.callerGone.Add(1)
	d.core.Post(&dispatch.CallerGone{Req: c.id})
	c.x.Respond(statusCallerGone, nil, nil)
	c.span.end(verdict.MayHaveRun, verdict.ReasonCallerGone)
}

// statusCallerGone is recorded for a caller that left; it is never sent.
const statusCallerGone = 499

// refuse answers an exchange that does not become a call.
func (d *Daemon) refuse(x *inbound.Exchange, e errorBody) {
	d.metrics.reply(e.Verdict, e.Reason)
	status, h, b := encodeError(e)
	x.Respond(status, h, b)
}

// execute implements executor.
func (d *Daemon) execute(now clock.Time, r *engine.Ready) {
	d.learn(r)
	d.lookups.update(r)
	p := &r.Dispatch
	for i := range p.Violations {
		d.violation(p.Violations[i])
	}
	for i := range p.Cancels {
		d.cancelAttempt(p.Cancels[i])
	}
	for i := range p.Sends {
		d.send(now, p.Sends[i])
	}
	for i := range p.Forwards {
		d.forward(now, p.Forwards[i])
	}
	for i := range p.Delivers {
		d.deliver(p.Delivers[i])
	}
	for i := range p.Replies {
		d.reply(engine.Refusal{Reply: p.Replies[i]})
	}
	for i := range r.Refusals {
		d.reply(r.Refusals[i])
	}
	for i := range p.Probes {
		d.probe(p.Probes[i].Target)
	}
	d.executeControl(r)
}

// send hands a call to a target.
func (d *Daemon) send(now clock.Time, s dispatch.Send) {
	t, known := d.targets[s.Target]
	c := d.calls.get(s.Req)
	if c == nil || c.final.Load() || !known {
		d.core.Post(&dispatch.Failed{Req: s.Req, Attempt: s.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonNoTarget})
		return
	}
	a := &attempt{id: s.Attempt, addr: t.Addr}
	a.span = c.span.child("target " + string(s.Target))
	r := c.req
	r.Header = c.req.Header.Clone()
	r.Header[headerDeadline] = []string{left(s.Deadline, now)}
	delete(r.Header, headerToken)
	delete(r.Header, headerHops)
	delete(r.Header, headerWait)
	delete(r.Header, headerClient)
	a.span.inject(r.Header)
	d.start(c, a, &r)
}

// forward hands a call to an entry VM elsewhere, with a token that only that
// process admits, so that this hop has the same protection as a caller's.
func (d *Daemon) forward(now clock.Time, f dispatch.Forward) {
	vm, known := d.vms[f.VM]
	c := d.calls.get(f.Req)
	if c == nil || c.final.Load() || !known {
		d.core.Post(&dispatch.Failed{Req: f.Req, Attempt: f.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonNoTarget})
		return
	}
	a := &attempt{id: f.Attempt, addr: vm.CallAddr, remote: true}
	a.span = c.span.child("entry VM " + string(f.VM))
	r := c.req
	r.URI = pathCall + string(c.service) + c.req.URI
	r.Header = c.req.Header.Clone()
	r.Header[headerDeadline] = []string{left(f.Deadline, now)}
	r.Header[headerHops] = []string{"1"}
	r.Header[headerWait] = []string{strconv.FormatInt(f.ExpectedWait.Milliseconds(), 10)}
	r.Header[headerClient] = []string{c.client.text()}
	r.Header[headerToken] = []string{d.mint(vm, now)}
	a.span.inject(r.Header)
	d.metrics.forwarded.Add(1)
	d.start(c, a, &r)
}

func (d *Daemon) start(c *call, a *attempt, r *outbound.Request) {
	c.add(a)
	d.metrics.attempts.Add(1)
	k := d.pool.Do(a.addr, r, func(ans *outbound.Answer, err *verdict.Error) {
		d.attemptDone(c, a, ans, err)
	})
	c.mu.Lock()
	a.k = k
	c.mu.Unlock()
}

// attemptDone turns the outcome of an attempt into an event.
func (d *Daemon) attemptDone(c *call, a *attempt, ans *outbound.Answer, err *verdict.Error) {
	defer d.calls.ended(c)
	if err == nil {
		err = refusedBy(ans, a.remote)
	}
	if err != nil {
		a.span.end(err.Verdict, err.Reason)
		d.core.Post(&dispatch.Failed{
			Req: c.id, Attempt: a.id,
			Verdict: err.Verdict, Reason: err.Reason,
			RetryAfter: retryAfter(ans),
		})
		return
	}
	a.span.end(verdict.Ran, verdict.ReasonNone)
	c.mu.Lock()
	a.answer = ans
	c.mu.Unlock()
	d.core.Post(&dispatch.Answered{Req: c.id, Attempt: a.id, Status: ans.Status, Load: loadOf(ans.Header)})
}

// refusedBy reads an answer that is the receiver's word on a request that it
// did not answer in substance. A target says so by headerRefused; an entry VM
// states its verdict and reason.
func refusedBy(a *outbound.Answer, remote bool) *verdict.Error {
	if remote {
		v, ok := verdict.Parse(a.Header.Get(verdict.Header))
		if !ok || v == verdict.Ran {
			return nil
		}
		return &verdict.Error{Verdict: v, Reason: verdict.Reason(a.Header.Get(headerReason))}
	}
	if a.Header.Get(headerRefused) != verdict.NotRun.String() {
		return nil
	}
	reason := verdict.ReasonShed
	if a.Header.Get(headerReason) == string(verdict.ReasonStopping) {
		reason = verdict.ReasonStopping
	}
	return &verdict.Error{Verdict: verdict.NotRun, Reason: reason}
}

// retryAfter reads the wait that a refusal asks for.
func retryAfter(a *outbound.Answer) time.Duration {
	if a == nil {
		return 0
	}
	if ms, err := strconv.ParseInt(a.Header.Get(headerRetryMs), 10, 64); err == nil && ms > 0 {
		return time.Duration(min(ms, maxDeadlineMs)) * time.Millisecond
	}
	s, err := strconv.ParseInt(a.Header.Get(headerRetry), 10, 64)
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(min(s, maxDeadlineMs/1000)) * time.Second
}

// loadOf reads the load that a target may state with its answer.
func loadOf(h http.Header) *dispatch.LoadHint {
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

// cancelAttempt ends an attempt.
func (d *Daemon) cancelAttempt(k dispatch.Cancel) {
	c := d.calls.get(k.Req)
	if c == nil {
		return
	}
	a := c.find(k.Attempt)
	if a == nil {
		return
	}
	reason := verdict.ReasonCallerGone
	if k.Replace {
		reason = verdict.ReasonSilent
		d.metrics.replaced.Add(1)
		d.pool.Discard(a.addr, suspectIdle)
	}
	c.mu.Lock()
	h := a.k
	c.mu.Unlock()
	if h != nil {
		h.Cancel(reason)
	}
}

// suspectIdle is how long a free connection must have carried nothing to be
// discarded together with a silent one to the same receiver.
const suspectIdle = 100 * time.Millisecond

// deliver passes a whole answer to the caller.
func (d *Daemon) deliver(v dispatch.Deliver) {
	c := d.calls.finish(v.Req)
	if c == nil {
		return
	}
	a := c.find(v.Attempt)
	if a == nil || a.answer == nil {
		d.violation(dispatch.Violation{Invariant: "deliver-has-answer", Detail: strconv.FormatUint(uint64(v.Req), 10)})
		d.respondError(c, engine.Refusal{Reply: dispatch.Reply{Req: v.Req, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonInternal}})
		return
	}
	ans := a.answer
	endToEnd(ans.Header)
	ans.Header[verdict.Header] = []string{verdict.Ran.String()}
	d.metrics.reply(verdict.Ran, verdict.ReasonNone)
	c.span.end(verdict.Ran, verdict.ReasonNone)
	c.x.Respond(ans.Status, ans.Header, ans.Body)
}

// reply gives a caller its final error answer.
func (d *Daemon) reply(r engine.Refusal) {
	if c := d.calls.finish(r.Req); c != nil {
		d.respondError(c, r)
	}
}

func (d *Daemon) respondError(c *call, r engine.Refusal) {
	c.span.end(r.Verdict, r.Reason)
	e := errorBody{
		Verdict:      r.Verdict,
		Reason:       r.Reason,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Ask:          r.Ask,
		Answered:     r.Answer,
	}
	if vm, ok := d.vms[r.Ask]; ok {
		e.AskAddr = vm.CallAddr
	}
	switch {
	case r.Reason == verdict.ReasonStopping:
		e.Alternatives = d.alternatives(c.service, c.x.Remote)
	case r.Verdict == verdict.NotRun && d.needsToken(c.service):
		e.Token = d.mint(d.self, d.now())
	}
	d.refuse(c.x, e)
}

// needsToken reports whether requests of a service carry one-time tokens. A
// refusal spends the token, so it brings a fresh one.
func (d *Daemon) needsToken(n fleet.ServiceName) bool {
	c := d.config.Load()
	if c == nil {
		return false
	}
	s, ok := c.Service(n)
	return ok && !s.Idempotent
}
