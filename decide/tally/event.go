package tally

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
)

// Event is an input of State.Step: *Configured, *Fleet, *Lead, *Measured,
// *PeerMessage or *Tick.
type Event interface{ isEvent() }

// Configured brings a catalogue that is in force.
type Configured struct{ Catalogue *catalogue.Catalogue }

// Fleet replaces what is known of all failure domains. The own one names all
// its live entry VMs.
type Fleet struct{ Domains []member.DomainView }

// Lead says whether this process holds the lease of the runner.
type Lead struct{ Held bool }

// Measured brings the load of the services that have targets here, several
// times a second. Services that it leaves out have no targets any more.
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

// Tick passes time; it is due at Ready.Wake.
type Tick struct{}

func (*Configured) isEvent()  {}
func (*Fleet) isEvent()       {}
func (*Lead) isEvent()        {}
func (*Measured) isEvent()    {}
func (*PeerMessage) isEvent() {}
func (*Tick) isEvent()        {}

// Send passes Msg to an entry VM; it may be lost. An answer can only go to an
// entry VM of another domain on a connection which that one has opened, if
// membership doesn't name its address.
type Send struct {
	To  fleet.VMID
	Msg Message
}

// Ready holds the effects of one step. Step empties and refills it.
type Ready struct {
	Sends []Send
	// Evidence says that State.Evidence has something new.
	Evidence bool
	// Wake is when the next Tick is due; clock.Never while nothing moves.
	Wake clock.Time
}

func (r *Ready) reset() {
	r.Sends = r.Sends[:0]
	r.Evidence = false
	r.Wake = clock.Never
}
