package config

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Event is an input of State.Step: *Members, *PlatformRead, *PeerMessage,
// *Accepted or *Tick.
type Event interface {
	isEvent()
}

// Members replaces the list of known entry VMs. It lists all members of the
// daemon's own failure domain, and may list only some of the others.
type Members struct {
	Members []Member
}

// ReadResult is the outcome of a platform read.
type ReadResult uint8

const (
	// ReadFailed: no usable answer. It is the zero value, so that an unset
	// result confirms nothing.
	ReadFailed ReadResult = iota
	// ReadDocument: the platform's document was read.
	ReadDocument
	// ReadNotModified: nothing newer than the watched index.
	ReadNotModified
	// ReadNotFound: the platform holds no catalogue.
	ReadNotFound
	// ReadMalformed: the platform's answer could not be decoded.
	ReadMalformed
)

// PlatformRead is the outcome of a WatchPlatform or FetchPlatform.
type PlatformRead struct {
	// Seq is the Seq of the WatchPlatform or FetchPlatform.
	Seq    uint64
	Result ReadResult
	// Catalogue is set with ReadDocument.
	Catalogue *catalogue.Catalogue
	// Lineage holds the earlier revisions that Catalogue was built on, as far
	// back as the document lists them.
	Lineage []Version
	// Index is the platform's index of the document; the next watch starts from
	// it.
	Index uint64
	// ConfirmedAt is the latest time at which the answer is known to have been
	// the platform's newest: when the read was sent or, for ReadNotModified,
	// when the platform's wait ended.
	ConfirmedAt clock.Time
}

// Version identifies content by its revision and hash.
type Version struct {
	Revision uint64 `json:"revision"`
	Hash     uint64 `json:"hash"`
}

// PeerMessage is a message from another daemon.
type PeerMessage struct {
	From fleet.VMID // from the connection's handshake
	Msg  Message
}

// Accepted reports that the platform has accepted a write of this daemon.
type Accepted struct {
	Catalogue *catalogue.Catalogue
	// ConfirmedAt is when the write was sent.
	ConfirmedAt clock.Time
}

// Tick runs the timers that are due. The caller sends one at Ready.WakeAt.
type Tick struct{}

func (*Members) isEvent()      {}
func (*PlatformRead) isEvent() {}
func (*PeerMessage) isEvent()  {}
func (*Accepted) isEvent()     {}
func (*Tick) isEvent()         {}
