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

// PeerSend is a message to another entry VM. Of its parts those that are set
// go together.
type PeerSend struct {
	To      fleet.VM
	Member  member.Msg
	Load    *load.Report
	Config  config.Message
	Tally   tally.Message
	Machine machine.Message
}

// Ready holds the effects of one Step. The slices belong to the caller, who
// resets and reuses them.
type Ready struct {
	Dispatch dispatch.Ready
	Refusals []Refusal
	Peers    []PeerSend

	// The reads of the platform that configuration asks for.
	Watch   []config.WatchPlatform
	Fetch   []config.FetchPlatform
	Unwatch []config.StopWatching
	Restore []config.RestorePlatform
	// Writes of traffic shifts, to be made by compare-and-swap.
	Writes []shift.Write

	// Catalogue has come into force; nil: no change.
	Catalogue *catalogue.Catalogue
	// View answers look-ups from now on; nil: no change.
	View *steer.View
	// Unshifted is View as if no traffic were shifted, for look-ups that Gate
	// keeps from being moved; set with View.
	Unshifted *steer.View
	// Gate bounds the share of look-ups that are moved; nil: no change.
	Gate *shift.Gate
	// EligibleForLease says whether this process should try for the lease of the
	// shift runner; set with VMs.
	EligibleForLease bool
	// VMs are all known entry VMs; nil: no change.
	VMs []fleet.VM
	// MachineList are the own failure domain's targets and all entry VMs that are
	// in force now; nil: no change.
	MachineList *fleet.List
	// WatchMachineList says whether this process should watch the platform's
	// machine list now.
	WatchMachineList bool
	// Superseded says that another process runs under this VM's id: stop.
	Superseded bool

	wake clock.Time
}

// Wake is when the next Tick is due; clock.Never when none is.
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
