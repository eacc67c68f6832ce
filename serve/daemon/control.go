package daemon

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/machine"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/outbound"
	"github.com/azurethread/azurethread/serve/platform"
)

// learn notes the addresses that a step has brought. It goes before the effects
// that use them: a step that learns of a target may send to it at once.
func (d *Daemon) learn(r *engine.Ready) {
	if r.MachineList != nil {
		d.learnTargets(r.MachineList.Targets)
		d.listed.Store(true)
	}
	if r.VMs != nil {
		d.learnVMs(r.VMs)
		d.eligible.Store(r.EligibleForLease)
	}
}

// executeControl carries out the effects that are not about requests.
func (d *Daemon) executeControl(r *engine.Ready) {
	if r.Catalogue != nil {
		d.config.Store(r.Catalogue)
		d.log.WithField("revision", r.Catalogue.Revision).Info("configuration in force")
	}
	d.watching.Store(r.WatchMachineList)
	for i := range r.Peers {
		d.sendPeer(r.Peers[i])
	}
	d.readPlatform(r)
	for _, w := range r.Writes {
		d.loop(func() { d.writeShift(w) })
	}
	if r.Superseded {
		d.supersededOnce.Do(func() { close(d.superseded) })
	}
}

// knownVMs is an immutable set of entry VMs, for use outside of the core.
type knownVMs struct{ byID map[fleet.VMID]fleet.VM }

// learnVMs notes where entry VMs are reached and which process runs there.
func (d *Daemon) learnVMs(vms []fleet.VM) {
	k := &knownVMs{byID: make(map[fleet.VMID]fleet.VM, len(vms)+1)}
	for _, vm := range vms {
		k.byID[vm.ID] = vm
	}
	k.byID[d.self.ID] = d.self
	d.vms = k.byID
	d.known.Store(k)
}

// incarnation finds the process that tokens for an entry VM are bound to.
func (d *Daemon) incarnation(id fleet.VMID) (fleet.VM, bool) {
	vm, ok := d.known.Load().byID[id]
	return vm, ok && vm.Incarnation != 0
}

// Waits of the loops that read the platform.
const (
	watchWait  = 10 * time.Second
	retryPause = 500 * time.Millisecond
	watchPoll  = 50 * time.Millisecond // while the list is not to be watched
)

// pause waits before a read that has failed is tried again. It reports false
// when the daemon stops.
func (d *Daemon) pause() bool { return d.wait(retryPause) }

func (d *Daemon) wait(t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-d.ctx.Done():
		return false
	}
}

// watchMachines follows the platform's machine list while the engine asks for
// it: a few daemons of each failure domain do so for all others.
func (d *Daemon) watchMachines() {
	var version uint64
	for d.ctx.Err() == nil {
		if !d.watching.Load() {
			version = 0 // the first read of the next turn is a plain one
			d.wait(watchPoll)
			continue
		}
		l, err := d.platform.Machines(d.ctx, version, watchWait)
		switch {
		case errors.Is(err, platform.ErrNotModified):
			d.core.Post(&machine.Unchanged{})
		case err != nil:
			d.pause()
		default:
			version = l.Version
			d.core.Post(&engine.MachineListRead{List: l})
		}
	}
}

// learnTargets notes where targets are reached. Ones that have left the list
// get nothing new, and attempts under way hold the address themselves; kept,
// they would add up with every target that is replaced.
func (d *Daemon) learnTargets(ts []fleet.Target) {
	d.targets = make(map[fleet.TargetID]fleet.Target, len(ts))
	for _, t := range ts {
		d.targets[t.ID] = t
	}
}

// loadPage is a target's load endpoint.
type loadPage struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Queued   int  `json:"queued"`
	Cold     bool `json:"cold"`
}

// probe reads a target's load endpoint and reports it as a Health event.
func (d *Daemon) probe(id fleet.TargetID) {
	t, ok := d.targets[id]
	if !ok {
		return
	}
	r := &outbound.Request{Method: http.MethodGet, URI: "/loadz", Header: http.Header{}}
	k := d.pool.Do(t.Addr, r, func(a *outbound.Answer, err *verdict.Error) {
		d.probed(id, a, err)
	})
	time.AfterFunc(d.set.ProbeInterval, func() { k.Cancel(verdict.ReasonDeadline) })
}

func (d *Daemon) probed(id fleet.TargetID, a *outbound.Answer, err *verdict.Error) {
	h := &dispatch.Health{Target: id}
	var p loadPage
	if err == nil && a.Status == http.StatusOK && json.Unmarshal(a.Body, &p) == nil {
		h.OK = true
		h.InFlight, h.Slots, h.Cold = p.InFlight, p.Slots, p.Cold
	}
	d.core.Post(h)
}
