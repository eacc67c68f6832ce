package daemon

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
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

// add notes a new attempt. It reports false when the call has had its final
// effect: nothing may be sent for it any more, as nothing would cancel it.
func (c *call) add(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.final.Load() {
		return false
	}
	c.attempts = append(c.attempts, a)
	c.live++
	return true
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
	if x.Refused != 0 {
		d.serveRefused(x)
		return
	}
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
	heads.EndToEnd(x.Header)
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

// hasToken tells inbound which of the messages that it refuses may have been
// sent before.
func hasToken(h http.Header) bool { return h.Get(headerToken) != "" }

// serveRefused answers a message with a token that inbound has refused. An
// earlier send of the token may have run, and a copy under way may yet arrive:
// the engine states the first and prevents the second.
func (d *Daemon) serveRefused(x *inbound.Exchange) {
	service, _, _ := splitCall(x.URI)
	c := &call{x: x, service: service}
	c.span = d.tracer.start(x.Header, string(service))
	d.calls.add(c)
	d.core.Post(&engine.Reject{Req: c.id, Token: x.Header.Get(headerToken), Reason: reasonOfStatus(x.Refused)})
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
	c.x.Drop()
	c.span.end(verdict.MayHaveRun, verdict.ReasonCallerGone)
}

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
	heads.EndToEnd(ans.Header)
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
		Ask:          r.AskVM,
		Answered:     r.EarlierStatus,
	}
	if vm, ok := d.vms[r.AskVM]; ok {
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
