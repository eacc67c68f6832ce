package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
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

// Configured says that a configuration has come into force.
type Configured struct{ Table *route.Table }

// Target is a target as its latest registration describes it.
type Target struct {
	ID       fleet.TargetID
	Service  fleet.ServiceName
	Addr     string // host:port
	Domain   fleet.Domain
	Slots    int
	Draining bool
	// Cold is how long the target stays cold, seen from the registration.
	Cold time.Duration
	// Born is the Unix millisecond of the target's start by its own clock; 0:
	// not stated. A target may start again under its ID, and then holds nothing
	// of before. Only whether it differs counts: clocks may jump.
	Born int64
}

// TargetsChanged lists targets that were registered or changed, and those that
// are gone.
type TargetsChanged struct {
	Set  []Target
	Gone []fleet.TargetID
	// Unsure says that the store was in trouble: those that are gone may be
	// alive without having been able to renew their registration.
	Unsure bool
}

// Evacuated says that a failure domain is to get no requests, or is taken back.
type Evacuated struct {
	Domain fleet.Domain
	Begin  bool
}

// MembersChanged lists all live entry VMs, this one included.
type MembersChanged struct{ VMs []fleet.VM }

// Arrive is a whole request of a caller.
type Arrive struct {
	Request RequestID
	Host    string
	Path    string // with or without a query
	Object  string // value that requests for the same object share; may be empty
	// Patience is how long the caller waits; 0: not stated.
	Patience time.Duration
	Bytes    int // of the body
	// Fingerprint is that of its content.
	Fingerprint quarantine.Fingerprint
}

// CallerGone says that the caller of a request has closed its connection.
type CallerGone struct{ Request RequestID }

// Carry is a request that an entry VM of another region has placed at a target
// near this one. Its answer or refusal is for that VM.
type Carry struct {
	Request RequestID
	Target  fleet.TargetID
	Left    time.Duration // what the target may still take
}

// Received says that the gateway of an attempt has the request.
type Received struct{ Attempt AttemptID }

// Answered is a whole answer of a target. Of an answer that is no answer to
// the request, such as one of another request, the transport reports Failed.
type Answered struct {
	Attempt AttemptID
	Outcome Outcome
	Load    Load
	Limit   RateLimit
	Bytes   int // of the body
	// Connect is how long the connection took to open, if this is its first
	// answer; 0 otherwise.
	Connect time.Duration
	// Waited is how long the request waited for a connection: less than Connect
	// if another one was freed meanwhile.
	Waited time.Duration
}

// Outcome says what an answer means.
type Outcome uint8

const (
	// Served is a target's own answer, a success or the caller's mistake.
	Served Outcome = iota
	// ServerError is a target's own failure; the request has run.
	ServerError
	// Refused states that the target did not run the request.
	Refused
	// Misdirected states that another target has the address now.
	Misdirected
	// Unfit is an answer that must not be passed on: it lacks the mark of a
	// target's own answer, or its status promises what the target doesn't state.
	Unfit
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"served", "server-error", "refused", "misdirected", "unfit"}[o]
}

// Verdict returns what the answer says of the request's execution.
func (o Outcome) Verdict() verdict.Verdict {
	switch o {
	case Refused, Misdirected:
		return verdict.NotRun
	case Unfit:
		return verdict.MayHaveRun
	default:
		return verdict.Ran
	}
}

// Load is what a target says about itself in an answer.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// RateLimit is what an answer says of the requests that its target takes from all
// entry VMs together.
type RateLimit struct {
	// Heard says that there was an answer, and that what it says could be read.
	Heard bool
	// Named says that the answer names a limit. Without one there is none.
	Named     bool
	PerSecond float64
}

// Failed says that an attempt has ended without an answer. With
// verdict.ReasonGateway it has ended on the way to its gateway or back.
type Failed struct {
	Attempt AttemptID
	Verdict verdict.Verdict
	Reason  verdict.Reason
}

// Probed is the outcome of a Probe.
type Probed struct {
	Target    fleet.TargetID
	Born      int64
	Listening Listening
}

// Listening says whether a process listens at a target's address.
type Listening uint8

const (
	// ListeningUnknown means that there was no word from the target's host.
	ListeningUnknown Listening = iota
	// ListeningNo means that the host has refused a connection: nobody listens.
	ListeningNo
	// ListeningYes means that a connection was opened.
	ListeningYes
)

// QuarantineRead is what the store says of a fingerprint.
type QuarantineRead struct {
	Fingerprint quarantine.Fingerprint
	// Record is what stands there; nil: it was taken out, and the quarantine is
	// lifted.
	Record *quarantine.Record
}

// Bounded changes the operators' limits, and for how long a target serves after
// its registration has gone.
type Bounded struct {
	Bounds Bounds
	Drain  time.Duration // 0: not known
}

// Tick lets time pass.
type Tick struct{}

// Send asks for a request to be sent to a target.
type Send struct {
	Attempt AttemptID
	Request RequestID
	Target  fleet.TargetID
	Domain  fleet.Domain // of the target
	Addr    string
	// Gateway is the entry VM that carries the request to the target; "": it is
	// sent from here.
	Gateway fleet.VMID
	Left    time.Duration // what the target may still take
	Connect time.Duration // bound on opening a connection
	// Spare asks that a connection to the gateway or target stay free beside those
	// in use.
	Spare bool
}

// Probe asks whether a target listens: a connection is to be opened and closed.
type Probe struct {
	Target fleet.TargetID
	Born   int64 // tells the starts of a target apart
	Addr   string
	Wait   time.Duration // for the connection
}

// Quarantine is a change of what is kept away from targets, for the log and the
// store.
type Quarantine struct {
	Record quarantine.Record
	// Keep asks for the record to be kept in the store, and Remove for what
	// stands there to be taken out.
	Keep, Remove bool
}

// Cancel asks for an attempt to be given up.
type Cancel struct {
	Request RequestID
	Attempt AttemptID
}

// Deliver asks for the answer of an attempt to be given to the caller.
type Deliver struct {
	Request RequestID
	Attempt AttemptID
}

// Refusal is an answer of this entry VM's own.
type Refusal struct {
	Request    RequestID
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	RetryAfter time.Duration // 0: not stated
}

// Belief is a change of what the reducer holds of a target, for the log.
type Belief struct {
	Target fleet.TargetID
	Change string
	Until  clock.Time // 0: for good
}

// Ready holds the effects of one Step. The slices belong to the caller, who
// resets and reuses them.
type Ready struct {
	Sends    []Send
	Cancels  []Cancel
	Delivers []Deliver
	Refusals []Refusal
	// Dropped are requests that need no answer: their callers have gone. They
	// come after the cancels of their attempts.
	Dropped []RequestID
	Tells   []Tell
	Beliefs []Belief
	// Restarted are addresses of targets that have started again: connections
	// kept to them lead to processes that have ended.
	Restarted []string
	// Silent are gateways that have not said that they have a request: connections
	// kept to them may have gone silent.
	Silent []fleet.VMID
	// Probes are asked of targets that may have ended.
	Probes      []Probe
	Quarantines []Quarantine
	// Wake is when Tick is due at the latest.
	Wake clock.Time
}

// Reset empties r and keeps its memory.
func (r *Ready) Reset() {
	r.Sends = r.Sends[:0]
	r.Cancels = r.Cancels[:0]
	r.Delivers = r.Delivers[:0]
	r.Refusals = r.Refusals[:0]
	r.Dropped = r.Dropped[:0]
	r.Tells = r.Tells[:0]
	r.Beliefs = r.Beliefs[:0]
	r.Restarted = r.Restarted[:0]
	r.Silent = r.Silent[:0]
	r.Probes = r.Probes[:0]
	r.Quarantines = r.Quarantines[:0]
	r.Wake = clock.Never
}
