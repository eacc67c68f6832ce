package enginetest

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/shift"
	"github.com/azurethread/azurethread/decide/steer"
)

// VM is one entry VM: an engine, and a fake of the daemon's transports.
type VM struct {
	Location Location
	Self     fleet.VM
	Up       bool
	// Paused is true while the process is paused; it gets its events when it
	// resumes.
	Paused bool
	// Leaving is true while the process shuts down; it ends when no request is
	// in flight.
	Leaving bool
	// Skew is how far the VM's clock is ahead of the World's.
	Skew time.Duration

	w             *World
	engine        *engine.Engine
	ready         engine.Ready
	processNumber int
	wake          clock.Time
	backlog       []func()
	pausedAt      clock.Time // end of the last pause, in the World's time
	leftAt        clock.Time // when Leave was called

	lastRequest     dispatch.RequestID
	calls           map[dispatch.RequestID]*call
	attempts        map[dispatch.AttemptID]*attempt
	forwards        map[*Exchange]*call // unanswered calls from other entry VMs
	knownVMs        map[fleet.VMID]fleet.VM
	view            *steer.View
	unshifted       *steer.View // for look-ups that the gate does not allow to be moved
	gate            *shift.Gate
	lookups         map[shiftService]moveCounts // answered since gate came into force
	catalogue       *catalogue.Catalogue
	revision        uint64
	targetsLeaving  map[fleet.TargetID]clock.Time // when the machine list first showed the target as leaving
	targetsStopping map[fleet.TargetID]clock.Time // when the target last answered that it is stopping
	watch           *watch
	shiftLease      leaseView
	machineList     *fleet.List // in force; nil if none
	watchingList    bool        // whether it watches the platform's machine list
	listVersion     uint64      // last version read; 0 if none since the watch began
	tokensMinted    uint64

	tickedAt       clock.Time
	ticksAtInstant int
}

func (w *World) addVM(p Location, n int) {
	id := fleet.VMID(fmt.Sprintf("%s-vm%d", p.Domain, n))
	v := &VM{Location: p, w: w, Self: fleet.VM{
		ID:        id,
		Region:    p.Region,
		Domain:    p.Domain,
		Site:      fleet.Site(p.Domain),
		CallAddr:  string(id) + ":8080",
		PeerAddr:  string(id) + ":7946",
		AdminAddr: string(id) + ":8081",
	}}
	w.VMs = append(w.VMs, v)
	w.vmByID[id] = v
}

// now returns the time of the VM's own clock.
func (v *VM) now() clock.Time { return v.w.Now.Add(v.Skew) }

// Start starts a new process with empty state.
func (v *VM) Start() {
	v.w.trace("%s starts", v.Self.ID)
	v.processNumber++
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
	v.knownVMs = map[fleet.VMID]fleet.VM{v.Self.ID: v.Self}
	v.view = steer.New(steer.Inputs{Self: v.Self.Region, VMs: []fleet.VM{v.Self}})
	v.unshifted, v.gate, v.catalogue, v.revision, v.watch, v.listVersion, v.watchingList = v.view, nil, nil, 0, nil, 0, false
	v.machineList = nil
	v.targetsLeaving = make(map[fleet.TargetID]clock.Time)
	v.targetsStopping = make(map[fleet.TargetID]clock.Time)
	v.shiftLease = leaseView{}
	v.post(&engine.BlockTableLoaded{Table: v.w.blocks})
	v.post(&engine.Tick{})
	v.w.Platform.watchList(v)
	v.pollShiftLease()
}

// Crash ends the process without notifying anyone.
func (v *VM) Crash() {
	if v.Up {
		v.w.trace("%s crashes", v.Self.ID)
		v.terminate()
	}
}

func (v *VM) terminate() {
	v.Up = false
	v.processNumber++
	for _, c := range v.openCalls() {
		c.x.Reset()
	}
	for _, a := range v.openAttempts() {
		a.x.Abandon()
		a.removeFromTarget()
	}
	clear(v.calls)
	clear(v.attempts)
	clear(v.forwards)
	v.backlog = nil
}

// Pause suspends the process for d; its events are queued.
func (v *VM) Pause(d time.Duration) {
	if !v.Up || v.Paused {
		return
	}
	v.w.trace("%s pauses for %v", v.Self.ID, d)
	v.Paused = true
	process := v.processNumber
	v.w.After(d, func() {
		if v.processNumber == process {
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
	process := v.processNumber
	for _, f := range backlog {
		if v.processNumber == process {
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
	v.w.Platform.updateList()
	process := v.processNumber
	v.w.After(leaveDelay, func() { v.finishLeaving(process) })
}

// leaveDelay is how long a leaving process refuses new requests before it ends,
// so that other VMs' membership shows it as leaving.
const leaveDelay = 2 * time.Second

// finishLeaving ends the process when no request is in flight.
func (v *VM) finishLeaving(process int) {
	if v.processNumber != process {
		return
	}
	if v.Paused || len(v.openCalls()) > 0 {
		v.w.After(50*time.Millisecond, func() { v.finishLeaving(process) })
		return
	}
	v.w.trace("%s ends", v.Self.ID)
	v.terminate()
}

func (v *VM) isUp() bool { return v.Up }

// runOrQueue calls f now, or when the process resumes if it is paused.
func (v *VM) runOrQueue(f func()) {
	switch {
	case !v.Up:
	case v.Paused:
		v.backlog = append(v.backlog, f)
	default:
		f()
	}
}

// after calls f after d if the current process still runs then.
func (v *VM) after(d time.Duration, f func()) {
	process := v.processNumber
	v.w.After(d, func() {
		if v.processNumber == process {
			v.runOrQueue(f)
		}
	})
}

// post passes an event to the engine.
func (v *VM) post(ev engine.Event) { v.runOrQueue(func() { v.step(ev) }) }

// postAfter posts an event after d.
func (v *VM) postAfter(d time.Duration, ev engine.Event) { v.after(d, func() { v.step(ev) }) }

// RunsShifts reports whether the process runs the shifts.
func (v *VM) RunsShifts() bool { return v.Up && v.engine.RunsShifts() }
