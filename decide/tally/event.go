package tally

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
)

// Event is an input of State.Step: *Configured, *FleetChanged, *LeaseChanged, *Measured,
// *PeerMessage or *Tick.
type Event interface{ isEvent() }

// Configured delivers a catalogue that has come into force.
type Configured struct{ Catalogue *catalogue.Catalogue }

// FleetChanged replaces the views of all failure domains. The view of the own domain
// lists all its live entry VMs.
type FleetChanged struct{ Domains []member.DomainView }

// LeaseChanged reports whether this process holds the runner's lease.
type LeaseChanged struct{ Held bool }

// Measured delivers the load of the services that have targets here, several
// times a second. Services that are not in it have no targets.
type Measured struct{ Samples []Sample }

// Sample is the load of one service at this entry VM.
type Sample struct {
	Service  fleet.ServiceName
	Capacity uint32 // slots of the targets that this entry VM may use
	InFlight uint32 // requests at targets and waiting for one
	Warming  bool   // slow start is in force at some of the targets
}

// PeerMessage is a message from another entry VM.
type PeerMessage struct {
	From fleet.VMID
	Msg  Message
}

// Tick only advances the time; it is due at Ready.WakeAt.
type Tick struct{}

func (*Configured) isEvent()   {}
func (*FleetChanged) isEvent() {}
func (*LeaseChanged) isEvent() {}
func (*Measured) isEvent()     {}
func (*PeerMessage) isEvent()  {}
func (*Tick) isEvent()         {}

// Send asks the caller of Step to send Msg to an entry VM; it may be lost. If
// membership doesn't hold the address of an entry VM of another domain, an
// answer can reach it only on a connection that it has opened.
type Send struct {
	To  fleet.VMID
	Msg Message
}

// Ready holds the effects of one step. Step empties and refills it.
type Ready struct {
	Sends []Send
	// Evidence reports that State.Evidence has changed.
	Evidence bool
	// WakeAt is when the next Tick is due; clock.Never while no shift moves
	// traffic.
	WakeAt clock.Time
}

func (r *Ready) reset() {
	r.Sends = r.Sends[:0]
	r.Evidence = false
	r.WakeAt = clock.Never
}
