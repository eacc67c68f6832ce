package machine

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Event is an input of State.Step: *ListRead, *ListUnchanged, *ReaderRole,
// *Members, *PeerMessage or *Tick.
type Event interface{ isEvent() }

// ListRead carries a list that was just read from the platform.
type ListRead struct{ List fleet.List }

// ListUnchanged reports that the platform still has the list of the last
// ListRead.
type ListUnchanged struct{}

// ReaderRole sets whether this daemon is one of the readers of its domain.
type ReaderRole struct{ On bool }

// Members replaces the set of entry VMs of the own failure domain that are not
// dead.
type Members struct{ IDs []fleet.VMID }

// PeerMessage is a received message from another entry VM of the domain.
type PeerMessage struct {
	From fleet.VMID
	Msg  Message
}

// Tick runs the tasks that are due. It must be sent at Ready.WakeAt.
type Tick struct{}

func (*ListRead) isEvent()      {}
func (*ListUnchanged) isEvent() {}
func (*ReaderRole) isEvent()    {}
func (*Members) isEvent()       {}
func (*PeerMessage) isEvent()   {}
func (*Tick) isEvent()          {}

// Send is a message to be sent to a member of the domain. It may be lost.
type Send struct {
	To  fleet.VMID
	Msg Message
}

// Ready holds the effects of one step. Step clears and refills it.
type Ready struct {
	Sends []Send
	// Apply is the list to put in force, with the own domain's targets and all
	// entry VMs, or nil if there is no change. Its Version may be lower than
	// before if the platform was restored from older data. The list must not be
	// modified.
	Apply *fleet.List
	// Watch is true while this daemon should watch the platform's list.
	Watch bool
	// WakeAt is the instant at which the next Tick is due.
	WakeAt clock.Time
}

func (r *Ready) reset() {
	r.Sends = r.Sends[:0]
	r.Apply = nil
	r.Watch = false
	r.WakeAt = clock.Never
}
