package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/notice"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// RequestID and AttemptID number the requests and sends of one process.
type (
	RequestID uint64
	AttemptID uint64
)

// Event is one of the pointer types of this file.
type Event any

// Configured reports that a configuration has come into force.
type Configured struct{ Table *route.Table }

// Behind reports that this VM knows of changes in the store that it has not read yet: the
// configuration may have changed since then.
type Behind struct {
	Since clock.Time // 0: there are none any more
}

// StoreSilent reports that this VM has had no word of the store for some time. It is repeated
// each HealthCheckInterval until there is one.
type StoreSilent struct{}

// HealthRead reports what the health page of a target states.
type HealthRead struct {
	Target    fleet.TargetID
	StartedAt int64         // of the target's instance that was asked
	Cold      time.Duration // how much longer it is cold; 0: it is not, or does not say
}

// Target is a target as described by its latest registration.
type Target struct {
	ID       fleet.TargetID
	Service  fleet.ServiceName
	Addr     string // host:port
	Domain   fleet.Domain
	Slots    int
	Draining bool
	// Cold is how long the target stays cold, counted from the registration.
	Cold time.Duration
	// StartedAt is the target's start time in Unix milliseconds by its own clock; 0:
	// not stated. A target may restart under its ID, and then has lost its state.
	// Values are compared for equality only, because clocks may jump.
	StartedAt int64
}

// TargetsChanged lists targets that were registered or updated, and those whose
// registrations are gone.
type TargetsChanged struct {
	Updated []Target
	Removed []fleet.TargetID
	// StoreDegraded means that the store was in trouble: removed targets may be
	// alive but unable to renew their registrations.
	StoreDegraded bool
}

// Evacuated reports that a failure domain is to get no requests, or is back in
// use.
type Evacuated struct {
	Domain fleet.Domain
	Begin  bool
}

// MembersChanged lists all live entry VMs, including this one.
type MembersChanged struct{ VMs []fleet.VM }

// Arrive is a complete request of a caller.
type Arrive struct {
	Request RequestID
	Host    string
	Path    string // with or without a query
	Object  string // shared by requests for the same object; may be empty
	// Timeout is how long the caller waits; 0: not stated.
	Timeout time.Duration
	Bytes   int // of the body
	// Fingerprint identifies the request's content.
	Fingerprint quarantine.Fingerprint
	// Key is the digest of the key that the caller presents; nil: none that can be
	// read.
	Key *route.KeyDigest
}

// CallerGone reports that the caller of a request has closed its connection.
type CallerGone struct{ Request RequestID }

// ForwardRequest is a request that an entry VM of another region has placed at a
// target near this VM, which acts as its gateway. The answer or refusal goes back
// to the other VM.
type ForwardRequest struct {
	Request  RequestID
	Target   fleet.TargetID
	TimeLeft time.Duration // time left for the target when the request was sent
	Terms    LimitTerms
	Unused   bool // see Send.Unused
	// Clock identifies the clock of the sender, and Distance is this VM's clock minus that
	// clock when the request was sent; see package transit. "": not stated.
	Clock    string
	Distance time.Duration
}

// GatewayAccepted reports that the gateway of an attempt has accepted the request.
type GatewayAccepted struct{ Attempt AttemptID }

// Answered is a complete answer of a target. For an answer that does not belong to
// the request, the transport reports Failed instead.
type Answered struct {
	Attempt AttemptID
	Outcome Outcome
	Load    Load
	Limit   RateLimit
	Bytes   int // of the body
	// Named means that the target's answer names the request.
	Named bool
	// ConnectTime is the time that opening the connection took if this is its first
	// answer, 0 otherwise.
	ConnectTime time.Duration
	// ConnectionWait is how long the request waited for a connection: less than
	// ConnectTime if another connection became free meanwhile.
	ConnectionWait time.Duration
}

// NoticeReceived reports what the head of an answer states about the availability
// of its target. It comes before the Answered or Failed of the attempt, which may
// have been cancelled meanwhile.
type NoticeReceived struct {
	Target    fleet.TargetID
	StartedAt int64 // of the target's instance to which the request was sent
	Notice    notice.Notice
}

// LimitReceived reports the rate limit of a target because of which a gateway has returned a
// request, or which an answer states that may belong to no request. It comes before the Failed
// of the attempt.
type LimitReceived struct {
	Limit TargetLimit
	// Doubtful means that the target may not have stated it: it may lower a limit that is
	// known, but not raise it.
	Doubtful bool
}

// Outcome classifies an answer.
type Outcome uint8

const (
	// Served is the target's own answer, either a success or an error of the
	// caller.
	Served Outcome = iota
	// ServerError is a failure of the target; the request has run.
	ServerError
	// Refused means that the target did not run the request.
	Refused
	// Misdirected means that another target now has the address.
	Misdirected
	// InvalidAnswer must not be passed on: it lacks the mark of a target's own
	// answer, or its status contradicts what the target states.
	InvalidAnswer
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"served", "server-error", "refused", "misdirected", "unfit"}[o]
}

// Verdict returns what the answer implies about the request's execution.
func (o Outcome) Verdict() verdict.Verdict {
	switch o {
	case Refused, Misdirected:
		return verdict.NotRun
	case InvalidAnswer:
		return verdict.MayHaveRun
	default:
		return verdict.Ran
	}
}

// Load is the load that a target reports in an answer.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at the target now, in percent of usual; 0: not
	// stated. It is not part of a Report, whose encoding is older; see TargetPace.
	Pace int `json:"-"`
}

// RateLimit is what an answer states about the rate of requests that its target
// accepts from all entry VMs together.
type RateLimit struct {
	// Known means that there was an answer and its statement could be parsed.
	Known bool
	// Limited means that the answer states a limit. Without one there is no limit.
	Limited   bool
	PerSecond float64
}

// Failed reports that an attempt ended without an answer. With
// verdict.ReasonGateway it failed between this VM and its gateway.
type Failed struct {
	Attempt AttemptID
	Verdict verdict.Verdict
	Reason  verdict.Reason
}

// Probed is the result of a Probe.
type Probed struct {
	Target    fleet.TargetID
	StartedAt int64
	Listening Listening
}

// LinkProbed is the result of a probe of this VM's links to targets.
type LinkProbed struct {
	Target    fleet.TargetID
	Listening Listening
}

// Listening tells whether a process listens at a target's address.
type Listening uint8

const (
	// ListeningUnknown means that the target's host did not respond.
	ListeningUnknown Listening = iota
	// ListeningNo means that the host refused a connection: no process listens.
	ListeningNo
	// ListeningYes means that a connection was opened.
	ListeningYes
)

// QuarantineRead is the store's current entry for a fingerprint.
type QuarantineRead struct {
	Fingerprint quarantine.Fingerprint
	// Record is the entry; nil: it was removed and the quarantine is lifted.
	Record *quarantine.Record
}

// QuarantinesLost lists fingerprints whose entries in the store differ from what was known,
// because the store has come back from a copy of an earlier state.
type QuarantinesLost struct{ Fingerprints []quarantine.Fingerprint }

// BoundsChanged updates the operators' limits and the time that a target still
// serves after its registration was removed.
type BoundsChanged struct {
	Bounds    Bounds
	DrainTime time.Duration // 0: unknown
}

// StopAccepting reports that this process will end before a further request can be
// expected to end. Requests that come from now on are refused as not run.
type StopAccepting struct{}

// Ending reports that this process is about to end. Every request gets its final
// answer.
type Ending struct{}

// Tick only advances the time.
type Tick struct{}
