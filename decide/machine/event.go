package machine

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Event is an input of State.Step: *Read, *Unchanged, *Reading, *Members,
// *PeerMessage or *Tick.
type Event interface{ isEvent() }

// Read brings the list that the platform has just shown.
type Read struct{ List fleet.List }

// Unchanged says that the platform has been asked again, and still shows the
// list of the last Read.
type Unchanged struct{}

// Reading says whether this daemon is one of the readers of its domain.
type Reading struct{ On bool }

// Members replaces the entry VMs of the own failure domain that are not dead.
type Members struct{ IDs []fleet.VMID }

// PeerMessage is a message from another entry VM of the domain.
type PeerMessage struct {
	From fleet.VMID
	Msg  Message
}

// Tick passes time; it is due at Ready.Wake.
type Tick struct{}

func (*Read) isEvent()        {}
func (*Unchanged) isEvent()   {}
func (*Reading) isEvent()     {}
func (*Members) isEvent()     {}
func (*PeerMessage) isEvent() {}
func (*Tick) isEvent()        {}

// Send passes Msg to a member of the domain; it may be lost.
type Send struct {
	To  fleet.VMID
	Msg Message
}

// Ready holds the effects of one step. Step empties and refills it.
type Ready struct {
	Sends []Send
	// Apply is the list to put in force, of the own domain's targets and all
	// entry VMs; nil: no change. Its Version may be lower than before, after
	// the platform was restored from older data. It must not be changed.
	Apply *fleet.List
	// Watch says whether this daemon should watch the platform's list.
	Watch bool
	// Wake is when the next Tick is due.
	Wake clock.Time
}

func (r *Ready) reset() {
	r.Sends = r.Sends[:0]
	r.Apply = nil
	r.Watch = false
	r.Wake = clock.Never
}
