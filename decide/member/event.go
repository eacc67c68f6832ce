package member

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// PlatformList carries the platform's list of VMs, which lags.
type PlatformList struct{ List fleet.List }

// Message is a received message from entry VM From, sent by its process with
// the given Incarnation.
type Message struct {
	From        fleet.VMID
	Incarnation fleet.Incarnation
	Msg         Msg
}

// SendFailed reports that a connection to an entry VM could not be opened or
// was lost. It only brings a probe forward; it doesn't prove that the VM is
// dead.
type SendFailed struct{ To fleet.VMID }

// Tick runs the tasks that are due. It must be sent at Ready.WakeAt.
type Tick struct{}

// Leave announces that this process accepts no new work and is about to stop.
type Leave struct{}

func (*PlatformList) isEvent() {}
func (*Message) isEvent()      {}
func (*SendFailed) isEvent()   {}
func (*Tick) isEvent()         {}
func (*Leave) isEvent()        {}

// Scope classifies the receiver of a message, so that a load report of the
// matching detail can be piggybacked on it.
type Scope uint8

const (
	// ScopeNone carries no load report.
	ScopeNone Scope = iota
	// ScopeCollector goes to the representative that collects this VM's load reports.
	ScopeCollector
	// ScopeMember goes from a representative to a VM whose reports it collects.
	ScopeMember
	// ScopePeer goes to another representative of the own domain.
	ScopePeer
	// ScopeRegion answers a watcher of another domain of the region.
	ScopeRegion
	// ScopeOtherRegion answers a watcher in another region.
	ScopeOtherRegion
)

// Send is a message to be sent to an entry VM. To has at least an ID. Without
// a PeerAddr the message can only be sent over a connection that To has opened.
type Send struct {
	To    fleet.VM
	Msg   Msg
	Scope Scope
}

// Ready holds the effects of one step. Step clears and refills it, so one Ready
// can be reused for all steps; its content is valid until the next step.
type Ready struct {
	Sends []Send
	// Changed lists the entry VMs whose state differs from the one last
	// reported. A VM of another domain is reported as Leaving once that domain
	// no longer offers it, and as Dead while its domain is unreachable.
	Changed []fleet.VM
	// DutiesChanged is true when the result of State.Duties has changed.
	DutiesChanged bool
	// Superseded is true when another process with a higher incarnation runs
	// under this VM's id. This process should stop.
	Superseded bool
	// WakeAt is the instant at which the next Tick is due.
	WakeAt clock.Time
}

func (r *Ready) reset() {
	r.Sends = r.Sends[:0]
	r.Changed = r.Changed[:0]
	r.DutiesChanged = false
	r.Superseded = false
}
