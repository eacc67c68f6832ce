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

// Event is one of the pointer types in this file, or an event of one of the
// packages that the engine combines.
type Event any

// Call is a request from a caller, or from another entry VM if Hops is not 0.
type Call struct {
	Req      dispatch.RequestID
	Service  fleet.ServiceName
	Token    string       // one-time token; may be empty
	Home     fleet.Region // of the client
	Block    uint64       // hash of the client's block
	Deadline clock.Time
	Hops     uint8
	// ExpectedWait is how long the request would have to wait at the entry VM
	// that forwarded it, as estimated there; 0 for a request from a caller.
	ExpectedWait time.Duration
	BodyBytes    int64
}

// Reject is a request that cannot be served, such as one with a malformed
// header. It goes through the engine because of its token: an earlier send with
// the same token may have run, and then the answer must not be not-run.
type Reject struct {
	Req    dispatch.RequestID
	Token  string // may be empty
	Reason verdict.Reason
}

// Tick reports that the time given by Ready.Wake has come.
type Tick struct{}

// MachineListRead is the platform's machine list as just read. The platform
// updates it with a delay.
type MachineListRead struct{ List fleet.List }

// PeerMessage is the content of one frame from another entry VM. Parts that the
// frame does not contain are nil.
type PeerMessage struct {
	From        fleet.VMID
	Incarnation fleet.Incarnation
	Member      member.Msg
	Load        *load.Report
	Config      config.Message
	Tally       tally.Message
	Machine     machine.Message
}

// BlockTableLoaded is a new table of client blocks.
type BlockTableLoaded struct{ Table *block.Table }

// Refusal is the final error answer to a request that was not dispatched.
type Refusal struct {
	dispatch.Reply
	// AskVM is the entry VM to ask for the outcome of the token; empty if none.
	AskVM fleet.VMID
	// EarlierStatus is the HTTP status with which an earlier send of the token
	// was answered; 0 if none.
	EarlierStatus int
}

// newRefusal returns the refusal of a request that has not run.
func newRefusal(req dispatch.RequestID, r verdict.Reason) Refusal {
	return Refusal{Reply: dispatch.Reply{Req: req, Verdict: verdict.NotRun, Reason: r}}
}
