package engine

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/load"
	"github.com/azurethread/azurethread/decide/machine"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/shift"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/tally"
)

// PeerSend is a message to another entry VM. All parts that are not nil are sent
// in one frame.
type PeerSend struct {
	To      fleet.VM
	Member  member.Msg
	Load    *load.Report
	Config  config.Message
	Tally   tally.Message
	Machine machine.Message
}

// Ready holds the effects of one Step. The caller owns the slices, and resets
// and reuses them.
type Ready struct {
	Dispatch dispatch.Ready
	Refusals []Refusal
	Peers    []PeerSend

	// Watch, Fetch, Unwatch and Restore are the platform operations that the
	// configuration needs.
	Watch   []config.WatchPlatform
	Fetch   []config.FetchPlatform
	Unwatch []config.StopWatching
	Restore []config.RestorePlatform
	// Writes are the changes to traffic shifts, to be written by
	// compare-and-swap.
	Writes []shift.Write

	// Catalogue is the catalogue that has come into force; nil if unchanged.
	Catalogue *catalogue.Catalogue
	// View is the new view for answering look-ups; nil if unchanged.
	View *steer.View
	// Unshifted is View without traffic shifts, for look-ups that Gate does not
	// allow to be moved; set together with View.
	Unshifted *steer.View
	// Gate limits the share of look-ups that are moved; nil if unchanged.
	Gate *shift.Gate
	// EligibleForLease is true if this process should try to acquire the lease
	// of the shift runner; set together with VMs.
	EligibleForLease bool
	// VMs are all known entry VMs; nil if unchanged.
	VMs []fleet.VM
	// MachineList is the machine list that has come into force: the targets of
	// the VM's own failure domain and all entry VMs; nil if unchanged.
	MachineList *fleet.List
	// WatchMachineList is true if this process should watch the platform's
	// machine list.
	WatchMachineList bool
	// Superseded is true if another process runs under this VM's ID, so this one
	// must stop.
	Superseded bool

	wake clock.Time
}

// Wake returns when the next Tick is due, or clock.Never.
func (r *Ready) Wake() clock.Time { return r.wake }

// Reset empties r and keeps its memory.
func (r *Ready) Reset() {
	r.Dispatch.Reset()
	r.Refusals = r.Refusals[:0]
	r.Peers = r.Peers[:0]
	r.Watch = r.Watch[:0]
	r.Fetch = r.Fetch[:0]
	r.Unwatch = r.Unwatch[:0]
	r.Restore = r.Restore[:0]
	r.Writes = r.Writes[:0]
	r.Catalogue = nil
	r.View = nil
	r.Unshifted = nil
	r.Gate = nil
	r.VMs = nil
	r.MachineList = nil
	r.WatchMachineList = false
	r.Superseded = false
	r.wake = clock.Never
}
