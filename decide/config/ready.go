package config

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Ready holds the effects of one step. They may be executed in any order, except
// that messages to the same peer must stay in order. The caller reuses Ready; Step
// clears it.
type Ready struct {
	Apply   []Apply
	Send    []Send
	Watch   []WatchPlatform
	Fetch   []FetchPlatform
	Stop    []StopWatching
	Restore []RestorePlatform
	Status  []StatusChange
	// WakeAt is when the next Tick is due.
	WakeAt clock.Time
}

// Apply puts a new catalogue in force at this daemon. The catalogue must not be
// modified.
type Apply struct {
	Catalogue *catalogue.Catalogue
}

// Send sends Msg to a peer. The message may be lost.
type Send struct {
	To  fleet.VMID
	Msg Message
}

// WatchPlatform requests the document as soon as its index exceeds After, or
// ReadNotModified after Wait.
type WatchPlatform struct {
	Seq   uint64
	After uint64
	Wait  time.Duration
}

// FetchPlatform requests the document immediately.
type FetchPlatform struct {
	Seq uint64
}

// StopWatching cancels the watch in progress.
type StopWatching struct {
	Seq uint64
}

// RestorePlatform requests that Catalogue be written to a platform that holds a
// lower revision. The write must use compare-and-swap.
type RestorePlatform struct {
	Catalogue *catalogue.Catalogue
}

// StatusChange reports a changed Status.
type StatusChange struct {
	Status Status
}

func (r *Ready) reset() {
	r.Apply = r.Apply[:0]
	r.Send = r.Send[:0]
	r.Watch = r.Watch[:0]
	r.Fetch = r.Fetch[:0]
	r.Stop = r.Stop[:0]
	r.Restore = r.Restore[:0]
	r.Status = r.Status[:0]
	r.WakeAt = clock.Never
}

// Status is the state of the configuration as shown to operators.
type Status struct {
	// Ready is true if a catalogue is in force.
	Ready bool
	// CutOff is true if the catalogue has not been confirmed for CutOffAfter.
	CutOff bool
	// PlatformBehind is true if the platform returns an older revision.
	PlatformBehind bool
	// Reading is true if this daemon reads the platform successfully.
	Reading  bool
	Revision uint64
	Hash     uint64
}

// Counters counts events for monitoring, since the start of the process.
type Counters struct {
	Applied        uint64 // catalogues put in force
	Malformed      uint64 // messages and documents rejected as invalid
	OtherFormat    uint64 // messages in the format of another release
	HashMismatch   uint64 // deltas and snapshots whose content did not match the stated hash
	Lower          uint64 // lower revisions received and rejected
	Diverged       uint64 // different contents seen under one revision: must stay 0
	HistoryLost    uint64 // platform documents not built on the revision in force: must stay 0
	PlatformBehind uint64 // platform reads that returned a lower revision
	ReadsFailed    uint64
	Reads          uint64 // successful
	Takeovers      uint64 // times this daemon began to read in place of members ranked before it
	Restores       uint64
	Pauses         uint64
	MessagesOut    uint64
}

// Base is the base of a write if the platform has only older content.
type Base struct {
	Catalogue *catalogue.Catalogue
	// Floor is the highest known revision; a new revision must exceed it.
	Floor uint64
}
