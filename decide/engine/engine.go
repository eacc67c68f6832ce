package engine

import (
	"fmt"
	"slices"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/token"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Options of an Engine.
type Options struct {
	Self     fleet.VM
	FleetKey []byte
	Dispatch dispatch.Options
}

// Engine is the state of one entry VM.
type Engine struct {
	self     fleet.VM
	dispatch *dispatch.State
	ledger   *token.Ledger

	services map[fleet.ServiceName]catalogue.Service
	open     map[dispatch.RequestID]openToken
	vms      []fleet.VM
	blocks   *block.Table
	config   *catalogue.Catalogue

	wakeDispatch clock.Time
}

// openToken is the token of a request that has no final effect yet.
type openToken struct {
	id   token.ID
	sent bool // handed to a target or an entry VM at least once
}

// New returns the engine of an entry VM that knows only itself.
func New(o Options) *Engine {
	return &Engine{
		self:     o.Self,
		dispatch: dispatch.New(o.Dispatch),
		ledger:   token.NewLedger(o.FleetKey, o.Self.ID, o.Self.Incarnation, token.Options{}),
		services: make(map[fleet.ServiceName]catalogue.Service),
		open:     make(map[dispatch.RequestID]openToken),
		vms:      []fleet.VM{o.Self},
	}
}

// Step applies ev and adds its effects to out.
func (e *Engine) Step(now clock.Time, ev Event, out *Ready) {
	switch ev := ev.(type) {
	case *Call:
		e.call(now, ev, out)
	case *Tick:
		e.tick(now, out)
	case *dispatch.CallerGone:
		e.callerGone(now, ev, out)
	case dispatch.Event:
		e.stepDispatch(now, ev, out)
	case *Machines:
		e.machines(now, ev.List, out)
	case *Catalogue:
		e.catalogue(now, ev.Catalogue, out)
	case *Blocks:
		e.blocks = ev.Table
		e.publish(out)
	default:
		out.Dispatch.Violations = append(out.Dispatch.Violations, dispatch.Violation{
			Invariant: "known-event",
			Detail:    fmt.Sprintf("%T", ev),
		})
	}
	e.wakeDispatch = out.Dispatch.Wake
	out.wake = e.wakeDispatch
}

// tick passes time in every part.
func (e *Engine) tick(now clock.Time, out *Ready) {
	e.stepDispatch(now, &dispatch.Tick{}, out)
}

// Outcome tells what became of a token.
func (e *Engine) Outcome(now clock.Time, tok string) token.Admission {
	return e.ledger.Outcome(now, tok)
}

// call admits the request's token and dispatches it.
func (e *Engine) call(now clock.Time, c *Call, out *Ready) {
	s, ok := e.services[c.Service]
	if !ok {
		out.Refusals = append(out.Refusals, e.refuseUnknown(now, c))
		return
	}
	if s.Idempotent {
		e.arrive(now, c, out)
		return
	}
	if c.Token == "" {
		if !s.TokenOptional {
			out.Refusals = append(out.Refusals, refuse(c.Req, verdict.ReasonTokenRequired))
			return
		}
		e.arrive(now, c, out)
		return
	}
	a := e.ledger.Admit(now, c.Token)
	if a.Status != token.New {
		out.Refusals = append(out.Refusals, refusalOf(c.Req, a))
		return
	}
	e.open[c.Req] = openToken{id: a.ID}
	e.arrive(now, c, out)
}

// refuseUnknown refuses a request of a service that this configuration does
// not hold. Its token is spent as well: the caller is told not-run, and an
// earlier send still on its way must not run after that.
func (e *Engine) refuseUnknown(now clock.Time, c *Call) Refusal {
	reason := verdict.ReasonUnknownService
	if e.config == nil {
		reason = verdict.ReasonNotReady
	}
	if c.Token == "" {
		return refuse(c.Req, reason)
	}
	a := e.ledger.Refuse(now, c.Token)
	r := refusalOf(c.Req, a)
	if r.Verdict == verdict.NotRun {
		r.Reason = reason
	}
	return r
}

// refusalOf is the answer to a token that was not admitted.
func refusalOf(req dispatch.RequestID, a token.Admission) Refusal {
	r := Refusal{Ask: a.VM, Answer: a.Answer}
	r.Req = req
	r.Verdict = a.Verdict
	r.Reason = a.Status.Reason()
	r.RetryAfter = a.RetryAfter
	return r
}

func (e *Engine) arrive(now clock.Time, c *Call, out *Ready) {
	e.stepDispatch(now, &dispatch.Arrive{
		Req:       c.Req,
		Service:   c.Service,
		Block:     c.Block,
		Deadline:  c.Deadline,
		Hops:      c.Hops,
		BodyBytes: c.BodyBytes,
	}, out)
}

// callerGone settles the token of a request nobody waits for: one that was
// never handed on has not run, and never will.
func (e *Engine) callerGone(now clock.Time, ev *dispatch.CallerGone, out *Ready) {
	e.stepDispatch(now, ev, out)
	t, ok := e.open[ev.Req]
	if !ok {
		return
	}
	v := verdict.NotRun
	if t.sent {
		v = verdict.MayHaveRun
	}
	e.settle(now, ev.Req, v, 0)
}

// stepDispatch steps the dispatcher and settles the tokens of requests that
// got their final effect.
func (e *Engine) stepDispatch(now clock.Time, ev dispatch.Event, out *Ready) {
	d := &out.Dispatch
	sends, forwards := len(d.Sends), len(d.Forwards)
	delivers, replies := len(d.Delivers), len(d.Replies)
	e.dispatch.Step(now, ev, d)
	if len(e.open) == 0 {
		return
	}
	for _, s := range d.Sends[sends:] {
		e.markSent(s.Req)
	}
	for _, f := range d.Forwards[forwards:] {
		e.markSent(f.Req)
	}
	status := 0
	if a, ok := ev.(*dispatch.Answered); ok {
		status = a.Status
	}
	for _, v := range d.Delivers[delivers:] {
		e.settle(now, v.Req, verdict.Ran, status)
	}
	for _, r := range d.Replies[replies:] {
		e.settle(now, r.Req, r.Verdict, 0)
	}
}

func (e *Engine) markSent(req dispatch.RequestID) {
	if t, ok := e.open[req]; ok {
		t.sent = true
		e.open[req] = t
	}
}

func (e *Engine) settle(now clock.Time, req dispatch.RequestID, v verdict.Verdict, status int) {
	t, ok := e.open[req]
	if !ok {
		return
	}
	delete(e.open, req)
	e.ledger.Finish(now, t.id, v, status)
}

// machines takes a newer machine list.
func (e *Engine) machines(now clock.Time, l fleet.List, out *Ready) {
	own := slices.DeleteFunc(slices.Clone(l.Targets), func(t fleet.Target) bool {
		return t.Domain != e.self.Domain
	})
	e.stepDispatch(now, &dispatch.Targets{List: own}, out)
	e.setVMs(now, l.VMs, out)
}

// setVMs takes the entry VMs that look-ups may answer with.
func (e *Engine) setVMs(now clock.Time, vms []fleet.VM, out *Ready) {
	e.vms = slices.Clone(vms)
	slices.SortFunc(e.vms, func(a, b fleet.VM) int { return compare(a.ID, b.ID) })
	e.stepDispatch(now, e.peers(), out)
	e.publish(out)
}

// peers counts the live entry VMs of the own failure domain and ranks this one.
func (e *Engine) peers() *dispatch.Peers {
	p := &dispatch.Peers{Count: 1}
	for _, vm := range e.vms {
		if vm.Domain != e.self.Domain || vm.State != fleet.Live || vm.ID == e.self.ID {
			continue
		}
		p.Count++
		if vm.ID < e.self.ID {
			p.Rank++
		}
	}
	return p
}

// catalogue takes a newer configuration.
func (e *Engine) catalogue(now clock.Time, c *catalogue.Catalogue, out *Ready) {
	e.config = c
	clear(e.services)
	for _, s := range c.Services {
		e.services[s.Name] = s
	}
	e.stepDispatch(now, &dispatch.Services{List: c.Services}, out)
	e.publish(out)
}

// publish builds the view that look-ups are answered from.
func (e *Engine) publish(out *Ready) {
	out.View = steer.New(steer.Inputs{
		Self:   e.self.Region,
		Blocks: e.blocks,
		VMs:    e.vms,
	})
}

func compare(a, b fleet.VMID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
