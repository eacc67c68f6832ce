package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// RequestID identifies a request of a caller on this entry VM. The transport
// gives it out and never uses one twice within a process.
type RequestID uint64

// AttemptID identifies one send or forward of a request. State gives it out;
// it is unique within a process and never 0.
type AttemptID uint64

// Event is something State reacts to; the types of this package that are
// passed as pointers to Step are all there are. State keeps no reference to
// an event or its slices, so the transport may reuse both.
type Event interface{ event() }

// Arrive is a new request.
type Arrive struct {
	Req       RequestID
	Service   fleet.ServiceName
	Block     uint64     // hash of the client's block
	Deadline  clock.Time // when the caller stops waiting; 0 takes the service's timeout
	Hops      uint8      // 0 from a caller, 1 or more when forwarded by another entry VM
	BodyBytes int64      // bytes the request holds in memory while it waits
	// ExpectedWait is what the sender's Forward stated; 0 from a caller.
	ExpectedWait time.Duration
}

// LoadHint is the load a target or a remote entry VM states in an answer.
type LoadHint struct {
	InFlight int // requests it works on besides the answered one
	Slots    int // requests it can work on at once; 0 when not stated
}

// Answered says that a whole answer to an attempt has been received.
type Answered struct {
	Req     RequestID
	Attempt AttemptID
	Load    *LoadHint // nil when the answer carried none
	Status  int       // HTTP status; 500 and above count against the target
}

// Failed says that an attempt has ended without a whole answer. After a
// Cancel the transport reports Failed as well, once the connection is closed
// or free again; the attempt's slot counts as used until then.
type Failed struct {
	Req     RequestID
	Attempt AttemptID
	Verdict verdict.Verdict
	// Reason is ReasonShed when the target refused for lack of capacity and
	// ReasonStopping when it refused because it is leaving.
	Reason     verdict.Reason
	RetryAfter time.Duration // 0 when not stated
}

// CallerGone says that nobody waits for the request any more.
type CallerGone struct{ Req RequestID }

// Tick lets State act on timers; the transport sends it at Ready.Wake.
type Tick struct{}

// Stop says that this entry VM is leaving. New requests are refused and
// accepted ones run out.
type Stop struct{}

// Targets replaces the list of targets in the own failure domain.
type Targets struct{ List []fleet.Target }

// Peers states the live entry VMs of the own failure domain.
type Peers struct {
	Count int // including this one; less than 1 counts as 1
	Rank  int // of this one in the order of VMIDs, from 0
}

// Services replaces the services of the catalogue.
type Services struct{ List []catalogue.Service }

// Remote is the lagging load report of one service at another entry VM.
type Remote struct {
	VM       fleet.VMID
	Domain   fleet.Domain
	Region   fleet.Region
	Service  fleet.ServiceName
	Capacity int           // slots the entry VM may use
	InFlight int           // slots it uses
	Headroom int           // further requests it would admit
	Age      time.Duration // since the report was made
	RTT      time.Duration // round trip to the entry VM
}

// Remotes replaces the reports of all other entry VMs. State looks at each
// report of a service when its queue is long, so in a large fleet the sender of
// this event lists some dozens for each service: those close by and those with
// the most headroom.
type Remotes struct{ List []Remote }

// Health is what a target's health and load endpoint stated.
type Health struct {
	Target   fleet.TargetID
	OK       bool
	InFlight int
	Slots    int           // 0 when not stated
	Cold     bool          // its caches are cold
	Age      time.Duration // since the target made the statement
}

// ConnectionEvent is a change of one connection to a target.
type ConnectionEvent uint8

const (
	// Opened connections can carry requests.
	Opened ConnectionEvent = iota
	// Silent connections have been found dead while idle, as by an
	// unanswered keep-alive probe.
	Silent
	// Closed connections are gone.
	Closed
)

// Connection reports an event of one connection to a target.
type Connection struct {
	Target fleet.TargetID
	Event  ConnectionEvent
}

func (*Arrive) event()     {}
func (*Answered) event()   {}
func (*Failed) event()     {}
func (*CallerGone) event() {}
func (*Tick) event()       {}
func (*Stop) event()       {}
func (*Targets) event()    {}
func (*Peers) event()      {}
func (*Services) event()   {}
func (*Remotes) event()    {}
func (*Health) event()     {}
func (*Connection) event() {}
