package config

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Event is what happened: *Members, *PlatformRead, *PeerMessage, *Accepted or
// *Tick.
type Event interface {
	isEvent()
}

// Members replaces the known entry VMs. Other failure domains may be listed in
// part; the own domain is listed whole.
type Members struct {
	Members []Member
}

// ReadResult classes the outcome of a platform read.
type ReadResult uint8

const (
	// ReadFailed: no usable answer. The zero value, so that an outcome left
	// unset confirms nothing.
	ReadFailed ReadResult = iota
	// ReadDocument: the platform's document was read.
	ReadDocument
	// ReadNotModified: nothing newer than the watched index.
	ReadNotModified
	// ReadNotFound: the platform holds no catalogue.
	ReadNotFound
	// ReadMalformed: the platform answered with something unreadable.
	ReadMalformed
)

// PlatformRead is the outcome of a WatchPlatform or FetchPlatform.
type PlatformRead struct {
	// Seq is that of the effect.
	Seq    uint64
	Result ReadResult
	// Catalogue is set with ReadDocument.
	Catalogue *catalogue.Catalogue
	// Lineage holds earlier revisions that Catalogue was built on, as far as
	// the document lists them.
	Lineage []Point
	// Index is the platform's index of the document, to watch from.
	Index uint64
	// Confirmed is the latest instant at which the answer is known to have
	// been the platform's newest: when the read was sent, or for
	// ReadNotModified when the platform's wait was over.
	Confirmed clock.Time
}

// Point is one revision with the hash of its content.
type Point struct {
	Revision uint64 `json:"revision"`
	Hash     uint64 `json:"hash"`
}

// PeerMessage is a message from another daemon.
type PeerMessage struct {
	From fleet.VMID // as the connection's handshake states it
	Msg  Message
}

// Accepted is a write of this daemon that the platform has accepted.
type Accepted struct {
	Catalogue *catalogue.Catalogue
	// Confirmed is when the write was sent.
	Confirmed clock.Time
}

// Tick passes time; it is due at Ready.Wake.
type Tick struct{}

func (*Members) isEvent()      {}
func (*PlatformRead) isEvent() {}
func (*PeerMessage) isEvent()  {}
func (*Accepted) isEvent()     {}
func (*Tick) isEvent()         {}
