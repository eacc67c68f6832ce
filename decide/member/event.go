package member

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Listed carries the platform's lagging list.
type Listed struct{ List fleet.List }

// Message carries a message from the process Incarnation of entry VM From.
type Message struct {
	From        fleet.VMID
	Incarnation fleet.Incarnation
	Msg         Msg
}

// SendFailed reports that no connection to an entry VM could be had, or that
// it was lost. It only hastens a probe; it is no proof of death.
type SendFailed struct{ To fleet.VMID }

// Tick lets time pass; it is due at Ready.Wake.
type Tick struct{}

// Leave announces that this process takes no new work and will stop.
type Leave struct{}

func (*Listed) isEvent()     {}
func (*Message) isEvent()    {}
func (*SendFailed) isEvent() {}
func (*Tick) isEvent()       {}
func (*Leave) isEvent()      {}

// Scope says to whom a message goes, so that load reports of the matching
// detail can be piggybacked on it.
type Scope uint8

const (
	// ScopeNone carries no load report.
	ScopeNone Scope = iota
	// ScopeOwn goes to the representative that collects this VM's figures.
	ScopeOwn
	// ScopeMember goes from a representative to a VM that it collects from.
	ScopeMember
	// ScopePeer goes to another representative of the own domain.
	ScopePeer
	// ScopeRegion answers a watcher of another domain of the region.
	ScopeRegion
	// ScopeFar answers a watcher in another region.
	ScopeFar
)

// Send is a message to be sent to an entry VM. To has at least an ID; without
// a PeerAddr the message can only take a connection that To has opened.
type Send struct {
	To    fleet.VM
	Msg   Msg
	Scope Scope
}

// Ready holds the effects of one step. Step empties and refills its slices,
// so one Ready can serve all steps; what it holds is valid until the next.
type Ready struct {
	Sends []Send
	// Changed lists entry VMs whose state differs from what was last
	// reported. A VM of another domain is Leaving once that domain no longer
	// offers it and Dead while its domain is unreachable.
	Changed []fleet.VM
	// Group is true when the duties of this VM as a representative, or the
	// VMs that it collects from, have changed: see State.Duties.
	Group bool
	// Superseded is true when another process with a higher incarnation runs
	// under this VM's id. This one should stop.
	Superseded bool
	// Wake is the instant by which the next Tick is due.
	Wake clock.Time
}

func (r *Ready) reset() {
	r.Sends = r.Sends[:0]
	r.Changed = r.Changed[:0]
	r.Group = false
	r.Superseded = false
}
