package daemon

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/machine"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/outbound"
	"github.com/azurethread/azurethread/serve/platform"
)

// updateAddresses stores the addresses of targets and entry VMs that a step has
// changed. It runs before the other effects, because a step that adds a target
// may send to it at once.
func (d *Daemon) updateAddresses(r *engine.Ready) {
	if r.MachineList != nil {
		d.updateTargets(r.MachineList.Targets)
		d.hasMachineList.Store(true)
	}
	if r.VMs != nil {
		d.updateVMs(r.VMs)
		d.eligible.Store(r.EligibleForLease)
	}
}

// executeControl executes the effects that do not concern requests.
func (d *Daemon) executeControl(r *engine.Ready) {
	if r.Catalogue != nil {
		d.config.Store(r.Catalogue)
		d.log.WithField("revision", r.Catalogue.Revision).Info("configuration in force")
	}
	d.watchesMachines.Store(r.WatchMachineList)
	for i := range r.Peers {
		d.sendPeer(r.Peers[i])
	}
	d.readPlatform(r)
	for _, w := range r.Writes {
		d.startTask(func() { d.writeShift(w) })
	}
	if r.Superseded {
		d.supersededOnce.Do(func() { close(d.superseded) })
	}
}

// knownVMs is an immutable set of entry VMs, for use outside the core.
type knownVMs struct{ byID map[fleet.VMID]fleet.VM }

// updateVMs stores the addresses and incarnations of the entry VMs.
func (d *Daemon) updateVMs(vms []fleet.VM) {
	k := &knownVMs{byID: make(map[fleet.VMID]fleet.VM, len(vms)+1)}
	for _, vm := range vms {
		k.byID[vm.ID] = vm
	}
	k.byID[d.self.ID] = d.self
	d.vms = k.byID
	d.known.Store(k)
}

// vmWithIncarnation returns an entry VM whose incarnation is known, to which
// tokens can be bound.
func (d *Daemon) vmWithIncarnation(id fleet.VMID) (fleet.VM, bool) {
	vm, ok := d.known.Load().byID[id]
	return vm, ok && vm.Incarnation != 0
}

// Delays of the loops that read the platform.
const (
	longPollWait       = 10 * time.Second
	retryDelay         = 500 * time.Millisecond
	watchCheckInterval = 50 * time.Millisecond // while this daemon does not watch the list
)

// waitForRetry waits before a failed read is retried. It reports false if the
// daemon is stopping.
func (d *Daemon) waitForRetry() bool { return d.sleep(retryDelay) }

func (d *Daemon) sleep(t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-d.ctx.Done():
		return false
	}
}

// watchMachines watches the platform's machine list while the engine requests
// it. Only a few daemons of each failure domain do, on behalf of the others.
func (d *Daemon) watchMachines() {
	var version uint64
	for d.ctx.Err() == nil {
		if !d.watchesMachines.Load() {
			version = 0 // the next watch starts with a read that does not wait
			d.sleep(watchCheckInterval)
			continue
		}
		l, err := d.platform.Machines(d.ctx, version, longPollWait)
		switch {
		case errors.Is(err, platform.ErrNotModified):
			d.core.Post(&machine.ListUnchanged{})
		case err != nil:
			d.waitForRetry()
		default:
			version = l.Version
			d.core.Post(&engine.MachineListRead{List: l})
		}
	}
}

// updateTargets replaces the addresses of targets. Targets that were removed
// from the list get no new requests, and running attempts hold the address
// themselves; keeping them would leak memory with every replaced target.
func (d *Daemon) updateTargets(ts []fleet.Target) {
	d.targets = make(map[fleet.TargetID]fleet.Target, len(ts))
	for _, t := range ts {
		d.targets[t.ID] = t
	}
}

// loadResponse is the JSON body of a target's load endpoint.
type loadResponse struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Queued   int  `json:"queued"`
	Cold     bool `json:"cold"`
}

// probe reads a target's load endpoint and posts the result as a Health event.
func (d *Daemon) probe(id fleet.TargetID) {
	t, ok := d.targets[id]
	if !ok {
		return
	}
	r := &outbound.Request{Method: http.MethodGet, URI: "/loadz", Header: http.Header{}}
	nameAttempt(r, "probe-"+strconv.FormatUint(d.probes.Add(1), 10))
	k := d.pool.Do(t.Addr, r, func(a *outbound.Answer, err *verdict.Error) {
		d.probeDone(id, a, err)
	})
	time.AfterFunc(d.settings.ProbeInterval, func() { k.Cancel(verdict.ReasonDeadline) })
}

func (d *Daemon) probeDone(id fleet.TargetID, a *outbound.Answer, err *verdict.Error) {
	h := &dispatch.Health{Target: id}
	var p loadResponse
	if err == nil && a.Status == http.StatusOK && json.Unmarshal(a.Body, &p) == nil {
		h.OK = true
		h.InFlight, h.Slots, h.Cold = p.InFlight, p.Slots, p.Cold
	}
	d.core.Post(h)
}
