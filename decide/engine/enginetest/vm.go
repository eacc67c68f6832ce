package enginetest

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/shift"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/token"
	"github.com/azurethread/azurethread/decide/verdict"
)

// VM is one entry VM: an engine, and what the daemon's transports do for it.
type VM struct {
	Place Place
	Self  fleet.VM
	Up    bool
	// Paused processes get their events once they go on.
	Paused bool
	// Leaving processes have been told to stop, and end once nothing is in
	// flight.
	Leaving bool
	// Skew is how far the VM's clock is ahead.
	Skew time.Duration

	w        *World
	engine   *engine.Engine
	ready    engine.Ready
	process  int
	wake     clock.Time
	backlog  []func()
	pausedAt clock.Time // end of the last pause
	leftAt   clock.Time // when it was told to leave

	requests  dispatch.RequestID
	calls     map[dispatch.RequestID]*call
	attempts  map[dispatch.AttemptID]*attempt
	forwards  map[*Exchange]*call // open calls that other entry VMs have sent
	known     map[fleet.VMID]fleet.VM
	view      *steer.View
	plain     *steer.View // look-ups that the gate keeps from being moved
	gate      *shift.Gate
	lookups   map[movedKey]moves // answered under gate
	catalogue *catalogue.Catalogue
	revision  uint64
	leaving   map[fleet.TargetID]clock.Time // since the list said so
	stopping  map[fleet.TargetID]clock.Time // since the target said so
	watch     *watch
	duty      duty
	watching  bool   // the platform's machine list
	listed    uint64 // version of the last one read; 0: none since it watches
	mints     uint64

	tickedAt    clock.Time
	ticksAtOnce int
}

// call is a request in hand.
type call struct {
	id       dispatch.RequestID
	claim    *Claim
	x        *Exchange
	client   client
	hops     uint8
	arrived  clock.Time
	deadline clock.Time // of the World's clock
	final    bool       // answered, or its caller has gone
}

// client is where a request comes from, as a look-up said.
type client struct {
	home  fleet.Region
	block uint64
}

// attempt is a send or a forward of a call.
type attempt struct {
	id       dispatch.AttemptID
	call     *call
	target   *Target // nil for a forward
	to       fleet.VMID
	x        *Exchange
	sentAt   clock.Time
	canceled clock.Time // 0: not
	answer   *Answer
}

// cancelGrace is how long a cancelled attempt counts as in flight for an
// engine that is not told of its end.
const cancelGrace = 500 * time.Millisecond

func (a *attempt) lingers(now clock.Time) bool {
	return a.canceled != 0 && now.Sub(a.canceled) >= cancelGrace
}

func (w *World) addVM(p Place, n int) {
	id := fleet.VMID(fmt.Sprintf("%s-vm%d", p.Domain, n))
	v := &VM{Place: p, w: w, Self: fleet.VM{
		ID:        id,
		Region:    p.Region,
		Domain:    p.Domain,
		Site:      fleet.Site(p.Domain),
		CallAddr:  string(id) + ":8080",
		PeerAddr:  string(id) + ":7946",
		AdminAddr: string(id) + ":8081",
	}}
	w.VMs = append(w.VMs, v)
	w.byVM[id] = v
}

// now is the VM's own clock.
func (v *VM) now() clock.Time { return v.w.Now.Add(v.Skew) }

// Start runs a new process, which knows nothing.
func (v *VM) Start() {
	v.w.trace("%s starts", v.Self.ID)
	v.process++
	v.Up, v.Paused, v.Leaving = true, false, false
	v.Self.Incarnation = fleet.Incarnation(v.now())
	v.Self.State = fleet.Live
	v.engine = engine.New(engine.Options{
		Self:     v.Self,
		FleetKey: FleetKey,
		Seed:     v.w.rng.Uint64(),
		Now:      v.now(),
		Dispatch: dispatch.Options{Audit: true},
		NearRTT:  nearRTT,
		FarRTT:   farRTT,
	})
	v.wake = clock.Never
	v.backlog = nil
	v.calls = make(map[dispatch.RequestID]*call)
	v.attempts = make(map[dispatch.AttemptID]*attempt)
	v.forwards = make(map[*Exchange]*call)
	v.known = map[fleet.VMID]fleet.VM{v.Self.ID: v.Self}
	v.view = steer.New(steer.Inputs{Self: v.Self.Region, VMs: []fleet.VM{v.Self}})
	v.plain, v.gate, v.catalogue, v.revision, v.watch, v.listed, v.watching = v.view, nil, nil, 0, nil, 0, false
	v.leaving = make(map[fleet.TargetID]clock.Time)
	v.stopping = make(map[fleet.TargetID]clock.Time)
	v.duty = duty{}
	v.post(&engine.Blocks{Table: v.w.blocks})
	v.post(&engine.Tick{})
	v.w.Platform.watchList(v)
	v.pollDuty()
}

// Crash ends the process without a word.
func (v *VM) Crash() {
	if v.Up {
		v.w.trace("%s crashes", v.Self.ID)
		v.end()
	}
}

func (v *VM) end() {
	v.Up = false
	v.process++
	for _, c := range v.openCalls() {
		c.x.Reset()
	}
	for _, a := range v.openAttempts() {
		a.x.Abandon()
		a.forget()
	}
	clear(v.calls)
	clear(v.attempts)
	clear(v.forwards)
	v.backlog = nil
}

// openCalls returns the calls without an answer, in the order of arrival.
func (v *VM) openCalls() []*call {
	var out []*call
	for _, c := range v.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return out
}

// openAttempts returns the attempts that have not ended, in order.
func (v *VM) openAttempts() []*attempt {
	var out []*attempt
	for _, a := range v.attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return out
}

// Pause stops the process for d; events wait for it.
func (v *VM) Pause(d time.Duration) {
	if !v.Up || v.Paused {
		return
	}
	v.w.trace("%s pauses for %v", v.Self.ID, d)
	v.Paused = true
	process := v.process
	v.w.After(d, func() {
		if v.process == process {
			v.resume()
		}
	})
}

func (v *VM) resume() {
	v.w.trace("%s goes on", v.Self.ID)
	v.Paused = false
	v.pausedAt = v.w.Now
	backlog := v.backlog
	v.backlog = nil
	process := v.process
	for _, f := range backlog {
		if v.process == process {
			f()
		}
	}
	v.post(&engine.Tick{})
}

// Leave shuts the process down gracefully.
func (v *VM) Leave() {
	if !v.Up || v.Leaving {
		return
	}
	v.w.trace("%s leaves", v.Self.ID)
	v.Leaving = true
	v.leftAt = v.w.Now
	v.post(&dispatch.Stop{})
	v.post(&member.Leave{})
	v.w.Platform.listChanged()
	process := v.process
	v.w.After(leaveDelay, func() { v.leave(process) })
}

// leaveDelay is how long a leaving process keeps refusing new requests before
// it ends, so that others can learn of it.
const leaveDelay = 2 * time.Second

// leave ends the process once nothing is in flight.
func (v *VM) leave(process int) {
	if v.process != process {
		return
	}
	if v.Paused || len(v.openCalls()) > 0 {
		v.w.After(50*time.Millisecond, func() { v.leave(process) })
		return
	}
	v.w.trace("%s ends", v.Self.ID)
	v.end()
}

func (v *VM) isUp() bool { return v.Up }

// do calls f in the process, at once or when it goes on.
func (v *VM) do(f func()) {
	switch {
	case !v.Up:
	case v.Paused:
		v.backlog = append(v.backlog, f)
	default:
		f()
	}
}

// after calls f after d in the process that runs now, if it runs then.
func (v *VM) after(d time.Duration, f func()) {
	process := v.process
	v.w.After(d, func() {
		if v.process == process {
			v.do(f)
		}
	})
}

// post hands an event to the engine.
func (v *VM) post(ev engine.Event) { v.do(func() { v.step(ev) }) }

// later posts an event after d.
func (v *VM) later(d time.Duration, ev engine.Event) { v.after(d, func() { v.step(ev) }) }

func (v *VM) step(ev engine.Event) {
	v.w.Books.Steps++
	v.learn(ev)
	v.traceEvent(ev)
	v.checkPace(ev)
	r := &v.ready
	r.Reset()
	v.engine.Step(v.now(), ev, r)
	v.w.Books.broken(v, r.Dispatch.Violations)
	v.arm(r.Wake())
	v.execute(r)
}

// maxTicksAtOnce is more ticks than a process has cause for at one instant.
const maxTicksAtOnce = 1000

// checkPace finds an engine that asks for ticks without letting time pass.
func (v *VM) checkPace(ev engine.Event) {
	if _, tick := ev.(*engine.Tick); !tick {
		return
	}
	if v.w.Now != v.tickedAt {
		v.tickedAt, v.ticksAtOnce = v.w.Now, 0
	}
	if v.ticksAtOnce++; v.ticksAtOnce == maxTicksAtOnce {
		v.w.Books.violate("%s ticks without end at one instant", v.Self.ID)
		v.Crash()
	}
}

// learn notes what an event tells the process about targets that are leaving.
func (v *VM) learn(ev engine.Event) {
	f, ok := ev.(*dispatch.Failed)
	if !ok {
		return
	}
	a := v.attempts[f.Attempt]
	if a != nil && a.target != nil && a.canceled == 0 && f.Reason == verdict.ReasonStopping {
		v.stopping[a.target.ID] = v.w.Now
	}
}

func (v *VM) learnList(l *fleet.List) {
	for _, t := range v.w.Targets {
		i := slices.IndexFunc(l.Targets, func(f fleet.Target) bool { return f.ID == t.ID })
		gone := i < 0 || l.Targets[i].State != fleet.Live
		_, known := v.leaving[t.ID]
		switch {
		case !gone:
			delete(v.leaving, t.ID)
		case !known:
			v.leaving[t.ID] = v.w.Now
		}
	}
}

// arm sets the timer for the next tick.
func (v *VM) arm(wake clock.Time) {
	if wake == v.wake || wake == clock.Never {
		return
	}
	v.wake = wake
	v.after(wake.Sub(v.now()), func() {
		if v.wake == wake {
			v.wake = clock.Never
			v.step(&engine.Tick{})
		}
	})
}

// execute carries out effects as the daemon does. Events that arise at once
// are posted after all of them, since they reuse the Ready.
func (v *VM) execute(r *engine.Ready) {
	v.traceEffects(r)
	v.takeOver(r)
	for _, c := range r.Dispatch.Cancels {
		v.cancel(c)
	}
	for _, s := range r.Dispatch.Sends {
		v.send(s)
	}
	for _, f := range r.Dispatch.Forwards {
		v.forward(f)
	}
	for _, d := range r.Dispatch.Delivers {
		v.deliver(d)
	}
	for _, x := range r.Dispatch.Replies {
		v.reply(engine.Refusal{Reply: x})
	}
	for _, x := range r.Refusals {
		v.reply(x)
	}
	for _, p := range r.Dispatch.Probes {
		t := v.w.byID[p.Target]
		d := 2*v.w.delay(v.Place, t.Place) + 6*time.Millisecond
		v.after(d, func() { v.step(t.health()) })
	}
	for _, s := range r.Peers {
		v.sendPeer(s)
	}
	v.w.Platform.read(v, r)
	for _, x := range r.Writes {
		v.writeShift(x)
	}
	if r.Superseded {
		v.w.Books.violate("%s is superseded, and no other runs under its id", v.Self.ID)
	}
}

// takeOver keeps what look-ups and addresses are answered from.
func (v *VM) takeOver(r *engine.Ready) {
	if r.Catalogue != nil {
		v.w.Books.applied(v, r.Catalogue)
		v.catalogue = r.Catalogue
	}
	v.watching = r.WatchMachines
	if r.Machines != nil {
		v.learnList(r.Machines)
	}
	if r.View != nil {
		v.view, v.plain = r.View, r.Unshifted
	}
	if r.Gate != nil {
		v.gate = r.Gate
		v.lookups = make(map[movedKey]moves)
	}
	if r.VMs != nil {
		clear(v.known)
		for _, vm := range r.VMs {
			v.known[vm.ID] = vm
		}
		v.known[v.Self.ID] = v.Self
		v.duty.eligible = r.Eligible
	}
}

// liveMembers are the entry VMs of the own domain that the engine calls live.
func (v *VM) liveMembers() []fleet.VMID {
	var ids []fleet.VMID
	for _, m := range v.engine.Member().Members(nil) {
		if m.State == fleet.Live {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// sendPeer passes a message on.
func (v *VM) sendPeer(s engine.PeerSend) {
	to := v.w.byVM[s.To.ID]
	if to == nil {
		return
	}
	if !to.Up || v.w.Network.isCut(v.Place, to.Place) {
		if v.w.Chance(0.5) {
			v.later(v.w.between(time.Millisecond, connectTimeout), &member.SendFailed{To: s.To.ID})
		}
		return
	}
	m := &engine.PeerMessage{
		From: v.Self.ID, Incarnation: v.Self.Incarnation,
		Member: s.Member, Load: s.Load, Config: s.Config, Tally: s.Tally, Machine: s.Machine,
	}
	process := to.process
	v.w.message(v, to, func() {
		if to.process == process {
			to.post(m)
		}
	})
}

// tokenLifetime is how long a token of a look-up can be used.
const tokenLifetime = time.Minute

// mint makes a token for the process of an entry VM as this one knows it.
func (v *VM) mint(id fleet.VMID) string {
	vm, ok := v.known[id]
	if !ok || vm.Incarnation == 0 {
		return ""
	}
	v.mints++
	var nonce [token.NonceSize]byte
	binary.BigEndian.PutUint64(nonce[:], v.mints)
	copy(nonce[8:], v.Self.ID)
	return token.Mint(FleetKey, vm.ID, vm.Incarnation, nonce, v.now().Add(tokenLifetime))
}

// accept takes a request that has arrived on a connection.
func (v *VM) accept(x *Exchange, tok string, from client, hops uint8, deadline clock.Time) {
	v.requests++
	c := &call{id: v.requests, claim: x.claim, x: x, client: from, hops: hops, arrived: v.w.Now, deadline: deadline}
	v.calls[c.id] = c
	if hops > 0 {
		v.forwards[x] = c
	}
	x.gone = func() {
		if !c.final {
			v.finish(c)
			v.post(&dispatch.CallerGone{Req: c.id})
		}
	}
	v.post(&engine.Call{
		Req:       c.id,
		Service:   x.claim.Work.Service,
		Token:     tok,
		Home:      from.home,
		Block:     from.block,
		Deadline:  deadline.Add(v.Skew),
		Hops:      hops,
		BodyBytes: 1000,
	})
	if hops > 0 {
		v.w.Books.checkForwarded(v.Place, x.claim.Work.Service)
	}
}

// forwardedHeld counts the forwarded requests of a service that arrived since
// an instant and have no answer yet.
func (v *VM) forwardedHeld(s fleet.ServiceName, since clock.Time) int {
	n := 0
	for _, c := range v.forwards {
		if c.claim.Work.Service == s && c.arrived >= since {
			n++
		}
	}
	return n
}

func (v *VM) finish(c *call) {
	c.final = true
	delete(v.forwards, c.x)
	delete(v.calls, c.id)
}

// final claims the one final effect of a request, nil if its caller has gone.
func (v *VM) final(id dispatch.RequestID) *call {
	if id > v.requests || id == 0 {
		v.w.Books.violate("%s answers request %d, which nobody made", v.Self.ID, id)
		return nil
	}
	c := v.calls[id]
	if c == nil {
		return nil
	}
	v.finish(c)
	if late := v.w.Now.Sub(c.deadline); late > finalSlack && v.pausedAt < c.deadline {
		v.w.Books.violate("%s answers %s %v after its deadline", v.Self.ID, c.claim.Work.Name, late)
	}
	return c
}

func (v *VM) deliver(d dispatch.Deliver) {
	c := v.final(d.Req)
	if c == nil {
		return
	}
	a := v.attempts[d.Attempt]
	if a == nil || a.answer == nil {
		v.w.Books.violate("%s delivers to %s an answer that it does not have", v.Self.ID, c.claim.Work.Name)
		return
	}
	if a.answer.Claim.Work != c.claim.Work {
		v.w.Books.violate("%s answers %s with the answer to %s", v.Self.ID, c.claim.Work.Name, a.answer.Claim.Work.Name)
	}
	v.w.Books.told(v.Self.ID, c.claim, verdict.Ran, verdict.ReasonNone)
	c.x.Answer(Answer{Claim: c.claim, Verdict: verdict.Ran, Status: a.answer.Status})
}

func (v *VM) reply(r engine.Refusal) {
	c := v.final(r.Req)
	if c == nil {
		return
	}
	v.w.Books.told(v.Self.ID, c.claim, r.Verdict, r.Reason)
	if r.Reason == verdict.ReasonStopping && v.Leaving && c.arrived < v.leftAt && v.pausedAt < v.leftAt {
		v.w.Books.violate("%s leaves and cuts off %s", v.Self.ID, c.claim.Work.Name)
	}
	a := Answer{Claim: c.claim, Verdict: r.Verdict, Reason: r.Reason, RetryAfter: r.RetryAfter}
	if r.Verdict == verdict.NotRun && c.hops == 0 {
		a.Fresh = v.mint(v.Self.ID)
	}
	c.x.Answer(a)
}

// forget takes the attempt out of the books of its target.
func (a *attempt) forget() {
	if a.target != nil {
		a.target.attempts = slices.DeleteFunc(a.target.attempts, func(o *attempt) bool { return o == a })
	}
}

func (v *VM) send(s dispatch.Send) {
	c := v.calls[s.Req]
	t := v.w.byID[s.Target]
	if c == nil || t == nil {
		v.soon(&dispatch.Failed{Req: s.Req, Attempt: s.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonNoTarget})
		return
	}
	a := &attempt{id: s.Attempt, call: c, target: t, sentAt: v.w.Now}
	t.attempts = append(t.attempts, a)
	v.start(a)
	a.x = v.w.exchange(v.Place, t.Place, c.claim, t.isUp, t.arrive, v.ender(a))
	v.w.Books.sent(v, a)
}

func (v *VM) forward(f dispatch.Forward) {
	c := v.calls[f.Req]
	to := v.w.byVM[f.VM]
	if c == nil || to == nil {
		v.soon(&dispatch.Failed{Req: f.Req, Attempt: f.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonNoTarget})
		return
	}
	v.w.Books.Counts.Forwards++
	if c.hops > 0 {
		v.w.Books.violate("%s forwards %s once more", v.Self.ID, c.claim.Work.Name)
	}
	a := &attempt{id: f.Attempt, call: c, to: f.VM, sentAt: v.w.Now}
	v.start(a)
	claim := &Claim{Work: c.claim.Work, Parent: c.claim}
	tok := v.mint(f.VM)
	left := f.Deadline.Sub(v.now())
	a.x = v.w.exchange(v.Place, to.Place, claim, to.isUp, func(x *Exchange) {
		to.accept(x, tok, c.client, 1, v.w.Now.Add(left))
	}, v.ender(a))
}

func (v *VM) start(a *attempt) {
	if v.attempts[a.id] != nil {
		v.w.Books.violate("%s gives out attempt %d twice", v.Self.ID, a.id)
	}
	v.attempts[a.id] = a
}

// ender turns the end of an attempt's exchange into an event.
func (v *VM) ender(a *attempt) func(Answer) {
	process := v.process
	return func(ans Answer) {
		if v.process == process {
			v.do(func() { v.step(v.ended(a, ans)) })
		}
	}
}

// attemptMemory is how long an attempt is remembered after its end.
const attemptMemory = time.Millisecond

// ended books the end of an attempt and returns the event that tells it.
func (v *VM) ended(a *attempt, ans Answer) engine.Event {
	a.forget()
	a.answer = &ans
	req := a.call.id
	v.after(attemptMemory, func() { delete(v.attempts, a.id) })
	if ans.Verdict != verdict.Ran {
		return &dispatch.Failed{Req: req, Attempt: a.id, Verdict: ans.Verdict, Reason: ans.Reason, RetryAfter: ans.RetryAfter}
	}
	ev := &dispatch.Answered{Req: req, Attempt: a.id, Status: ans.Status}
	if ans.Load != nil {
		ev.Load = &dispatch.LoadHint{InFlight: max(ans.Load.InFlight, 0), Slots: ans.Load.Slots}
	}
	return ev
}

func (v *VM) cancel(c dispatch.Cancel) {
	a := v.attempts[c.Attempt]
	if a == nil || a.answer != nil {
		return
	}
	a.canceled = v.w.Now
	r := verdict.ReasonCallerGone
	if c.Replace {
		r = verdict.ReasonSilent
	}
	a.x.Cancel(r)
}

// soon posts an event that an effect gives rise to, once all effects of the
// step have been carried out.
func (v *VM) soon(ev engine.Event) { v.later(0, ev) }

// Lookup answers a look-up as the daemon does.
func (v *VM) Lookup(s fleet.ServiceName, c *Caller, out []steer.Choice) steer.Answer {
	a := v.view.Lookup(s, c.addr, out)
	if v.gate != nil && !v.gate.Pass(v.now(), s, a.Home, a.ShiftID) && a.Moved {
		a = v.plain.Lookup(s, c.addr, out)
	}
	v.w.Books.checkLookup(v, s, a)
	return a
}

// Outcome answers a caller that asks what became of a token.
func (v *VM) Outcome(tok string, c *Claim) token.Admission {
	a := v.engine.Outcome(v.now(), tok)
	if a.Status != token.Duplicate || !a.Pending {
		v.w.Books.told(v.Self.ID, c, a.Verdict, a.Status.Reason())
	}
	return a
}

// Leads reports whether the process runs the shifts.
func (v *VM) Leads() bool { return v.Up && v.engine.Leads() }
