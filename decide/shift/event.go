package shift

import (
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Event is an input of the Runner: Configured, Measured, Duty, Platform,
// WriteResult or Tick.
type Event interface{ event() }

// Configured brings a catalogue revision that is in force.
type Configured struct{ Catalogue *catalogue.Catalogue }

// Measured brings new evidence, in place of the one before.
type Measured struct{ Evidence Evidence }

// Duty says whether this process holds the lease of the runner, and until
// when by its own clock.
type Duty struct {
	Held  bool
	Until clock.Time
}

// Platform says whether the platform's key-value service can be reached.
type Platform struct{ Reachable bool }

// WriteResult brings what is known of a Write. Unknown outcomes are
// verdict.MayHaveRun; a second result for the same ID settles them.
type WriteResult struct {
	ID      uint64
	Verdict verdict.Verdict
	// Conflict says that the entry was no longer at the expected revision.
	Conflict bool
}

// Tick only passes time; the Runner asks for it by Wake.
type Tick struct{}

func (Configured) event()  {}
func (Measured) event()    {}
func (Duty) event()        {}
func (Platform) event()    {}
func (WriteResult) event() {}
func (Tick) event()        {}

// Effect is an output of the Runner: Write or Wake.
type Effect interface{ effect() }

// Write asks the driver to change an entry by compare-and-swap on its
// revision. Share and Hold go into an Advance operation, with Done if State is
// catalogue.Done; State catalogue.RolledBack is a RollBack operation. The share
// of a paused or done shift may fall, when its count is over the cap. The
// driver answers with a WriteResult of the same ID, at once when the outcome is
// unknown and again when it has settled it.
type Write struct {
	ID        uint64 // unique in this process
	Shift     string
	Expect    uint64 // entry revision that the decision was based on
	Share     catalogue.Share
	State     catalogue.ShiftState // Done or RolledBack; empty if it stays as it is
	Hold      string
	SteppedAt int64 // Unix ns of the last change of share
}

// Wake asks for a Tick at the given instant.
type Wake struct{ At clock.Time }

func (Write) effect() {}
func (Wake) effect()  {}
