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
	v.w.Checker.Steps++
	v.noteStoppingTarget(ev)
	v.traceEvent(ev)
	v.checkTickRate(ev)
	r := &v.ready
	r.Reset()
	v.engine.Step(v.now(), ev, r)
	v.w.Checker.recordEngineViolations(v, r.Dispatch.Violations)
	v.setTickTimer(r.Wake())
	v.execute(r)
}

// maxTicksAtInstant is a number of ticks at one instant that a correct engine
// never needs.
const maxTicksAtInstant = 1000

// checkTickRate detects an engine that keeps requesting ticks at the same
// instant.
func (v *VM) checkTickRate(ev engine.Event) {
	if _, tick := ev.(*engine.Tick); !tick {
		return
	}
	if v.w.Now != v.tickedAt {
		v.tickedAt, v.ticksAtInstant = v.w.Now, 0
	}
	if v.ticksAtInstant++; v.ticksAtInstant == maxTicksAtInstant {
		v.w.Checker.reportViolation("%s requests ticks endlessly at one instant", v.Self.ID)
		v.Crash()
	}
}

// noteStoppingTarget records that a target answered that it is stopping.
func (v *VM) noteStoppingTarget(ev engine.Event) {
	f, ok := ev.(*dispatch.Failed)
	if !ok {
		return
	}
	a := v.attempts[f.Attempt]
	if a != nil && a.target != nil && a.canceled == 0 && f.Reason == verdict.ReasonStopping {
		v.targetsStopping[a.target.ID] = v.w.Now
	}
}

// noteLeavingTargets records since when a machine list shows targets as leaving.
func (v *VM) noteLeavingTargets(l *fleet.List) {
	for _, t := range v.w.Targets {
		i := slices.IndexFunc(l.Targets, func(f fleet.Target) bool { return f.ID == t.ID })
		gone := i < 0 || l.Targets[i].State != fleet.Live
		_, known := v.targetsLeaving[t.ID]
		switch {
		case !gone:
			delete(v.targetsLeaving, t.ID)
		case !known:
			v.targetsLeaving[t.ID] = v.w.Now
		}
	}
}

// setTickTimer sets the timer for the next tick.
func (v *VM) setTickTimer(wake clock.Time) {
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

// execute executes effects as the daemon does. An event that an effect causes
// immediately is posted only after all effects, because its step reuses r.
func (v *VM) execute(r *engine.Ready) {
	v.traceEffects(r)
	v.updateState(r)
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
		t := v.w.targetByID[p.Target]
		d := 2*v.w.delay(v.Location, t.Location) + 6*time.Millisecond
		v.after(d, func() { v.step(t.health()) })
	}
	for _, s := range r.Peers {
		v.sendPeer(s)
	}
	v.w.Platform.executeReads(v, r)
	for _, x := range r.Writes {
		v.writeShift(x)
	}
	if r.Superseded {
		v.w.Checker.reportViolation("%s reports that it is superseded, but no other process has its ID", v.Self.ID)
	}
}

// updateState applies the effects that look-ups and the list of known VMs depend
// on.
func (v *VM) updateState(r *engine.Ready) {
	if r.Catalogue != nil {
		v.w.Checker.checkApplied(v, r.Catalogue)
		v.catalogue = r.Catalogue
	}
	v.watchingList = r.WatchMachineList
	if r.MachineList != nil {
		v.machineList = r.MachineList
		v.noteLeavingTargets(r.MachineList)
	}
	if r.View != nil {
		v.view, v.unshifted = r.View, r.Unshifted
	}
	if r.Gate != nil {
		v.gate = r.Gate
		v.lookups = make(map[shiftService]moveCounts)
	}
	if r.VMs != nil {
		clear(v.knownVMs)
		for _, vm := range r.VMs {
			v.knownVMs[vm.ID] = vm
		}
		v.knownVMs[v.Self.ID] = v.Self
		v.shiftLease.eligible = r.EligibleForLease
	}
}

// liveMembers returns the entry VMs of this failure domain that the engine
// considers live.
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

// sendPeer sends a message to another entry VM.
func (v *VM) sendPeer(s engine.PeerSend) {
	to := v.w.vmByID[s.To.ID]
	if to == nil {
		return
	}
	if !to.Up || v.w.Network.isCut(v.Location, to.Location) {
		if v.w.Chance(0.5) {
			v.postAfter(v.w.between(time.Millisecond, connectTimeout), &member.SendFailed{To: s.To.ID})
		}
		return
	}
	m := &engine.PeerMessage{
		From: v.Self.ID, Incarnation: v.Self.Incarnation,
		Member: s.Member, Load: s.Load, Config: s.Config, Tally: s.Tally, Machine: s.Machine,
	}
	process := to.processNumber
	v.w.sendMessage(v, to, func() {
		if to.processNumber == process {
			to.post(m)
		}
	})
}

// postAfterStep posts an event after all effects of the current step have been
// executed.
func (v *VM) postAfterStep(ev engine.Event) { v.postAfter(0, ev) }

// listsTarget reports whether the machine list in force shows the current state
// of a target.
func (v *VM) listsTarget(t *Target) bool {
	return v.machineList != nil && slices.ContainsFunc(v.machineList.Targets, func(f fleet.Target) bool {
		return f.ID == t.ID && f.State == t.listEntry().State
	})
}
