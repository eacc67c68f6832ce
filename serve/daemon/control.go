package daemon

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/outbound"
	"github.com/azurethread/azurethread/serve/platform"
)

// executeControl carries out the effects that are not about requests.
func (d *Daemon) executeControl(clock.Time, *engine.Ready) {}

// Waits of the loops that read the platform.
const (
	watchWait  = 30 * time.Second
	retryPause = 500 * time.Millisecond
)

// pause waits before a read that has failed is tried again. It reports false
// when the daemon stops.
func (d *Daemon) pause() bool {
	select {
	case <-time.After(retryPause):
		return true
	case <-d.ctx.Done():
		return false
	}
}

// watchMachines follows the platform's machine list.
func (d *Daemon) watchMachines() {
	var version uint64
	for d.ctx.Err() == nil {
		l, err := d.platform.Machines(d.ctx, version, watchWait)
		switch {
		case errors.Is(err, platform.ErrNotModified):
		case err != nil:
			if !d.pause() {
				return
			}
		default:
			version = l.Version
			d.core.Post(&engine.Machines{List: l})
			d.addresses(l)
		}
	}
}

// addresses notes where machines are reached.
func (d *Daemon) addresses(l fleet.List) {
	d.core.Ask(func(clock.Time, *engine.Engine) {
		for _, t := range l.Targets {
			d.targets[t.ID] = t
		}
		for _, vm := range l.VMs {
			d.vms[vm.ID] = vm
		}
	})
}

// catalogueKey is where the platform holds the catalogue.
const catalogueKey = "azurethread/catalogue"

func (d *Daemon) watchCatalogue() {
	var index uint64
	for d.ctx.Err() == nil {
		e, err := d.platform.Watch(d.ctx, catalogueKey, index, watchWait)
		switch {
		case errors.Is(err, platform.ErrNotModified):
		case err != nil:
			if !d.pause() {
				return
			}
		default:
			index = e.Index
			var c catalogue.Catalogue
			if json.Unmarshal(e.Value, &c) == nil {
				d.config.Store(&c)
				d.core.Post(&engine.Catalogue{Catalogue: &c})
			}
		}
	}
}

// incarnation finds the process that tokens for an entry VM are bound to.
func (d *Daemon) incarnation(id fleet.VMID) (fleet.VM, bool) {
	if id == d.self.ID {
		return d.self, true
	}
	return fleet.VM{}, false
}

func (d *Daemon) announceLeaving() {}

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
