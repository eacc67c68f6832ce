package engine

import (
	"time"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/load"
	"github.com/azurethread/azurethread/decide/machine"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/tally"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Event is one of the pointer types of this file, or an event of one of the
// packages that the engine composes.
type Event any

// Call is a request of a caller, or of another entry VM when Hops is not 0.
type Call struct {
	Req      dispatch.RequestID
	Service  fleet.ServiceName
	Token    string       // one-time token; may be empty
	Home     fleet.Region // of the client
	Block    uint64       // hash of the client's block
	Deadline clock.Time
	Hops     uint8
	// ExpectedWait is how long the sending entry VM expects the request would
	// wait there; 0 for a caller's own request.
	ExpectedWait time.Duration
	BodyBytes    int64
}

// Reject is a request that cannot be served as it is, such as one with a
// malformed header. It passes through the engine for the sake of its token: an
// earlier send of the same token may have run, and the answer must not deny it.
type Reject struct {
	Req    dispatch.RequestID
	Token  string // may be empty
	Reason verdict.Reason
}

// Tick passes time; it is due at Ready.Wake.
type Tick struct{}

// MachineListRead is the platform's lagging machine list as it has just been read.
type MachineListRead struct{ List fleet.List }

// PeerMessage is what one frame of another entry VM brought. Of its parts
// those that came are set.
type PeerMessage struct {
	From        fleet.VMID
	Incarnation fleet.Incarnation
	Member      member.Msg
	Load        *load.Report
	Config      config.Message
	Tally       tally.Message
	Machine     machine.Message
}

// BlockTableLoaded is a newer table of client blocks.
type BlockTableLoaded struct{ Table *block.Table }

// Refusal is the final error answer to a request that was not dispatched.
type Refusal struct {
	dispatch.Reply
	// AskVM names the entry VM that knows what became of the token; empty: none.
	AskVM fleet.VMID
	// EarlierStatus is the HTTP status that an earlier send of the token was
	// answered with; 0: none.
	EarlierStatus int
}

// newRefusal returns the refusal of a request that has provably not run.
func newRefusal(req dispatch.RequestID, r verdict.Reason) Refusal {
	return Refusal{Reply: dispatch.Reply{Req: req, Verdict: verdict.NotRun, Reason: r}}
}
