package shift

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Event is an input of the Runner: Configured, Measured, Lease, Platform,
// WriteResult or Tick.
type Event interface{ event() }

// Configured delivers a catalogue revision that is in force.
type Configured struct{ Catalogue *catalogue.Catalogue }

// Measured delivers new evidence, which replaces the previous one.
type Measured struct{ Evidence Evidence }

// Lease states whether this process holds the runner's lease, and until when by
// its own clock.
type Lease struct {
	Held  bool
	Until clock.Time
}

// Platform states whether the platform's key-value service can be reached.
type Platform struct{ Reachable bool }

// WriteResult reports the outcome of a Write. An unknown outcome is
// verdict.MayHaveRun; a second result for the same ID resolves it.
type WriteResult struct {
	ID      uint64
	Verdict verdict.Verdict
	// Conflict is true if the entry was no longer at the expected revision.
	Conflict bool
}

// Tick reports that time has passed; the Runner requests it with Wake.
type Tick struct{}

func (Configured) event()  {}
func (Measured) event()    {}
func (Lease) event()       {}
func (Platform) event()    {}
func (WriteResult) event() {}
func (Tick) event()        {}

// Effect is an output of the Runner: Write or Wake.
type Effect interface{ effect() }

// Write requests that the driver change an entry by compare-and-swap on its
// revision. Share and Hold go into an Advance operation, with Done if State is
// catalogue.Done; State catalogue.RolledBack is a RollBack operation. The share
// of a paused or done shift is lowered if its count is over the cap. The driver
// responds with a WriteResult of the same ID. If the outcome is unknown, it does
// so immediately, and again when the outcome is known.
type Write struct {
	ID        uint64 // unique in this process
	Shift     string
	Expect    uint64 // entry revision that the decision was based on
	Share     catalogue.Share
	State     catalogue.ShiftState // Done or RolledBack; empty if unchanged
	Hold      string
	SteppedAt int64 // Unix ns of the last change of share
}

// Wake requests a Tick at the given instant.
type Wake struct{ At clock.Time }

func (Write) effect() {}
func (Wake) effect()  {}
