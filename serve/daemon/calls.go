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

// call is one request, from its arrival to its final effect.
type call struct {
	id       dispatch.RequestID
	exchange *inbound.Exchange
	service  fleet.ServiceName
	req      outbound.Request // as sent to targets and entry VMs
	client   client
	deadline clock.Time
	isHead   bool // the caller sent HEAD; targets receive GET
	span     span

	finished atomic.Bool // the caller has been answered or has disconnected

	mu       sync.Mutex
	attempts []*attempt
	running  int // number of attempts that have not ended
}

func (c *call) findAttempt(id dispatch.AttemptID) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// addAttempt registers a new attempt. It reports false if the call has had its
// final effect: then nothing may be sent, because nothing would cancel it.
func (c *call) addAttempt(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished.Load() {
		return false
	}
	c.attempts = append(c.attempts, a)
	c.running++
	return true
}

// calls is the table of requests being handled.
type calls struct {
	lastID atomic.Uint64

	mu   sync.Mutex
	byID map[dispatch.RequestID]*call
}

func (t *calls) add(c *call) {
	c.id = dispatch.RequestID(t.lastID.Add(1))
	t.mu.Lock()
	t.byID[c.id] = c
	t.mu.Unlock()
}

func (t *calls) get(id dispatch.RequestID) *call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// finish marks a call as finished and returns it, or nil if it was finished
// already. The call stays in the table while attempts are under way, so that
// they can still be cancelled.
func (t *calls) finish(id dispatch.RequestID) *call {
	c := t.get(id)
	if c == nil || !c.finished.CompareAndSwap(false, true) {
		return nil
	}
	t.removeIfDone(c)
	return c
}

// attemptEnded records the end of an attempt.
func (t *calls) attemptEnded(c *call) {
	c.mu.Lock()
	c.running--
	c.mu.Unlock()
	t.removeIfDone(c)
}

// removeIfDone removes a finished call without running attempts from the table.
func (t *calls) removeIfDone(c *call) {
	if !c.finished.Load() {
		return
	}
	c.mu.Lock()
	live := c.running
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

// serveCall accepts a request that is to be sent to a target.
func (d *Daemon) serveCall(x *inbound.Exchange, service fleet.ServiceName, path string) {
	now := d.now()
	deadline, ok := parseDeadline(x.Header, now)
	hops, hopsOK := parseHops(x.Header)
	c := &call{exchange: x, service: service, deadline: deadline, client: d.clientOf(x)}
	c.req = outbound.Request{Method: x.Method, URI: path, Header: x.Header, Body: x.Body}
	if x.Method == http.MethodHead {
		c.isHead = true
		c.req.Method = http.MethodGet
	}
	tok := x.Header.Get(headerToken)
	c.span = d.tracer.start(x.Header, string(service))
	heads.RemoveHopByHop(x.Header)
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

		ExpectedWait: parseExpectedWait(x.Header),
		BodyBytes:    int64(len(x.Body)),
	})
	x.OnCallerGone(func() { d.callerGone(c) })
}

// hasToken reports whether a request that inbound refuses may have been sent
// before: only one with a token may be a repetition.
func hasToken(h http.Header) bool { return h.Get(headerToken) != "" }

// serveRefused answers a request with a token that inbound has refused. An
// earlier send of the token may have run, and a copy of the request may still
// arrive: the engine reports the former and prevents the latter from running.
func (d *Daemon) serveRefused(x *inbound.Exchange) {
	service, _, _ := splitCall(x.URI)
	c := &call{exchange: x, service: service}
	c.span = d.tracer.start(x.Header, string(service))
	d.calls.add(c)
	d.core.Post(&engine.Reject{Req: c.id, Token: x.Header.Get(headerToken), Reason: reasonOfStatus(x.Refused)})
}

// parseHops returns how often a request has been forwarded.
func parseHops(h http.Header) (hops uint8, ok bool) {
	v := h.Get(headerHops)
	if v == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(v, 10, 8)
	return uint8(n), err == nil
}

// clientOf returns where a request comes from. The header that a look-up gave
// the caller takes precedence over the address of the connection, which is not
// the client's if a relay or another entry VM has forwarded the request. The
// header is not authenticated: the result is only used to count traffic by shift
// and grants no access.
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
	c.exchange.Drop()
	c.span.end(verdict.MayHaveRun, verdict.ReasonCallerGone)
}

// writeError sends an error answer.
func (d *Daemon) writeError(x *inbound.Exchange, e errorBody) {
	d.metrics.countAnswer(e.Verdict, e.Reason)
	status, h, b := encodeError(e)
	returnAttempt(h, x)
	x.Respond(status, h, b)
}

// returnAttempt makes the header of an answer name the attempt of x, if that has an id: only
// other entry VMs send one.
func returnAttempt(h http.Header, x *inbound.Exchange) {
	delete(h, headerAttempt)
	if id, ok := x.Header[headerAttempt]; ok {
		h[headerAttempt] = id
	}
}

// execute implements executor.
func (d *Daemon) execute(now clock.Time, r *engine.Ready) {
	d.updateAddresses(r)
	d.lookups.update(r)
	p := &r.Dispatch
	for i := range p.Violations {
		d.violation(p.Violations[i])
	}
	for i := range p.Cancels {
		d.cancelAttempt(p.Cancels[i])
	}
	for i := range p.Sends {
		d.sendToTarget(now, p.Sends[i])
	}
	for i := range p.Forwards {
		d.forwardToVM(now, p.Forwards[i])
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

// deliver sends a target's complete answer to the caller.
func (d *Daemon) deliver(v dispatch.Deliver) {
	c := d.calls.finish(v.Req)
	if c == nil {
		return
	}
	a := c.findAttempt(v.Attempt)
	if a == nil || a.answer == nil {
		d.violation(dispatch.Violation{Invariant: "deliver-has-answer", Detail: strconv.FormatUint(uint64(v.Req), 10)})
		d.respondError(c, engine.Refusal{Reply: dispatch.Reply{Req: v.Req, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonInternal}})
		return
	}
	ans := a.answer
	heads.RemoveHopByHop(ans.Header)
	returnAttempt(ans.Header, c.exchange)
	ans.Header[verdict.Header] = []string{verdict.Ran.String()}
	d.metrics.countAnswer(verdict.Ran, verdict.ReasonNone)
	c.span.end(verdict.Ran, verdict.ReasonNone)
	c.exchange.Respond(ans.Status, ans.Header, ans.Body)
}

// reply sends a caller its final error answer.
func (d *Daemon) reply(r engine.Refusal) {
	if c := d.calls.finish(r.Req); c != nil {
		d.respondError(c, r)
	}
}

func (d *Daemon) respondError(c *call, r engine.Refusal) {
	c.span.end(r.Verdict, r.Reason)
	e := errorBody{
		Verdict:       r.Verdict,
		Reason:        r.Reason,
		RetryAfterMs:  r.RetryAfter.Milliseconds(),
		TokenOwner:    r.AskVM,
		EarlierStatus: r.EarlierStatus,
	}
	if vm, ok := d.vms[r.AskVM]; ok {
		e.TokenOwnerAddr = vm.CallAddr
	}
	switch {
	case r.Reason == verdict.ReasonStopping:
		e.Alternatives = d.alternatives(c.service, c.exchange.Remote)
	case r.Verdict == verdict.NotRun && d.needsToken(c.service):
		e.Token = d.mintToken(d.self, d.now())
	}
	d.writeError(c.exchange, e)
}

// needsToken reports whether requests of a service carry one-time tokens. A
// refusal uses up the token, so its answer carries a new one.
func (d *Daemon) needsToken(n fleet.ServiceName) bool {
	c := d.config.Load()
	if c == nil {
		return false
	}
	s, ok := c.Service(n)
	return ok && !s.Idempotent
}
