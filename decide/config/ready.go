package config

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Ready holds the effects of one step, to be carried out in any order but with
// the messages to one peer in theirs. The caller reuses it; Step clears it.
type Ready struct {
	Apply   []Apply
	Send    []Send
	Watch   []WatchPlatform
	Fetch   []FetchPlatform
	Stop    []StopWatching
	Restore []RestorePlatform
	Status  []StatusChange
	// Wake is when the next Tick is due.
	Wake clock.Time
}

// Apply puts a new catalogue in force at this daemon. It must not be changed.
type Apply struct {
	Catalogue *catalogue.Catalogue
}

// Send passes Msg to a peer; it may be lost.
type Send struct {
	To  fleet.VMID
	Msg Message
}

// WatchPlatform asks for the document once its index is above After, and for
// ReadNotModified after Wait.
type WatchPlatform struct {
	Seq   uint64
	After uint64
	Wait  time.Duration
}

// FetchPlatform asks for the document now.
type FetchPlatform struct {
	Seq uint64
}

// StopWatching abandons the watch under way; its answer is no longer needed.
type StopWatching struct {
	Seq uint64
}

// RestorePlatform asks for Catalogue to be written to a platform that holds a
// lower revision. It must be fenced by compare-and-swap.
type RestorePlatform struct {
	Catalogue *catalogue.Catalogue
}

// StatusChange reports a new Status other than by its ages.
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
	r.Wake = clock.Never
}

// Status is what operators are shown.
type Status struct {
	// Ready says that a catalogue is in force.
	Ready bool
	// CutOff says that nothing has confirmed it for CutOffAfter.
	CutOff bool
	// PlatformBehind says that the platform shows an older revision.
	PlatformBehind bool
	// Reading says that this daemon reads the platform successfully.
	Reading  bool
	Revision uint64
	Hash     uint64
}

// Counters count what operators should look at.
type Counters struct {
	Applied        uint64 // catalogues put in force
	Malformed      uint64 // messages refused by their bounds
	OtherFormat    uint64 // messages of another release's format
	HashMismatch   uint64 // deltas and snapshots whose content had another hash
	Lower          uint64 // lower revisions offered and refused
	Diverged       uint64 // two contents seen under one revision: must stay 0
	HistoryLost    uint64 // platform documents not built on the revision in force: must stay 0
	PlatformBehind uint64 // platform reads showing a lower revision
	ReadsFailed    uint64
	Reads          uint64 // successful
	Takeovers      uint64 // times this daemon began to read for a better rank
	Restores       uint64
	Pauses         uint64
	MessagesOut    uint64
}

// Base is what a write is built on when the platform holds less.
type Base struct {
	Catalogue *catalogue.Catalogue
	// Floor is the highest revision known to exist; a new one must exceed it.
	Floor uint64
}
