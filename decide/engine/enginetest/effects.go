package enginetest

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/verdict"
)

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
		v.machines = r.Machines
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

// soon posts an event that an effect gives rise to, once all effects of the
// step have been carried out.
func (v *VM) soon(ev engine.Event) { v.later(0, ev) }

// lists reports whether the list in force shows a target as it is.
func (v *VM) lists(t *Target) bool {
	return v.machines != nil && slices.ContainsFunc(v.machines.Targets, func(f fleet.Target) bool {
		return f.ID == t.ID && f.State == t.describe().State
	})
}
