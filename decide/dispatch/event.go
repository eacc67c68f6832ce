package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// RequestID identifies a request of a caller on this entry VM. The transport
// assigns it and never reuses one within a process.
type RequestID uint64

// AttemptID identifies one send or forward of a request. State assigns it; it
// is unique within a process and never 0.
type AttemptID uint64

// Event is an input of State: a pointer to one of the event types of this
// package. State keeps no reference to an event or its slices, so the transport
// may reuse both.
type Event interface{ event() }

// Arrive reports a new request.
type Arrive struct {
	Req       RequestID
	Service   fleet.ServiceName
	Block     uint64     // hash of the client block
	Deadline  clock.Time // when the caller stops waiting; 0 for the timeout of the service
	Hops      uint8      // 0 from a caller, 1 or more when forwarded by another entry VM
	BodyBytes int64      // memory that the request uses while it waits
	// ExpectedWait is the value from the sender's Forward; 0 from a caller.
	ExpectedWait time.Duration
}

// LoadHint is the load that a target or a remote entry VM states in an answer.
type LoadHint struct {
	InFlight int // requests being processed, besides the answered one
	Slots    int // requests it can work on at once; 0 when not stated
}

// Answered reports that a complete answer to an attempt has been received.
type Answered struct {
	Req     RequestID
	Attempt AttemptID
	Load    *LoadHint // nil when the answer states none
	Status  int       // HTTP status; 500 and above count as failures of the target
}

// Failed reports that an attempt has ended without a complete answer. After a
// Cancel the transport reports Failed as well, once the connection is closed or
// free again; the attempt occupies its slot until then.
type Failed struct {
	Req     RequestID
	Attempt AttemptID
	Verdict verdict.Verdict
	// Reason is ReasonTargetRefused when the target refused for lack of capacity
	// and ReasonStopping when it refused because it is leaving.
	Reason     verdict.Reason
	RetryAfter time.Duration // 0 when not stated
}

// CallerGone reports that the caller no longer waits for the request.
type CallerGone struct{ Req RequestID }

// Tick runs timers that are due; the transport sends it at Ready.WakeAt.
type Tick struct{}

// Stop reports that this entry VM is leaving. New requests are refused and
// accepted ones are completed.
type Stop struct{}

// Targets replaces the list of targets in the own failure domain.
type Targets struct{ List []fleet.Target }

// Peers states the number of live entry VMs of the own failure domain.
type Peers struct {
	Count int // including this one; less than 1 counts as 1
	Rank  int // position of this one in the order of VMIDs, from 0
}

// Services replaces the services of the catalogue.
type Services struct{ List []catalogue.Service }

// RemoteLoad is the load report, made some time ago, of one service at another
// entry VM.
type RemoteLoad struct {
	VM       fleet.VMID
	Domain   fleet.Domain
	Region   fleet.Region
	Service  fleet.ServiceName
	Capacity int           // slots the entry VM may use
	InFlight int           // slots it uses
	Headroom int           // further requests it would accept
	Age      time.Duration // since the report was made
	RTT      time.Duration // round trip to the entry VM
}

// RemoteLoads replaces the reports of all other entry VMs. When the queue of a
// service is long, State evaluates each of its reports, so in a large fleet the
// sender of this event lists only some dozens per service: those nearby and
// those with the most headroom.
type RemoteLoads struct{ List []RemoteLoad }

// Health is a report of a target's health and load endpoint.
type Health struct {
	Target   fleet.TargetID
	OK       bool
	InFlight int
	Slots    int           // 0 when not stated
	Cold     bool          // its caches are cold
	Age      time.Duration // since the target made the report
}

// ConnectionEvent is a change of the state of a connection to a target.
type ConnectionEvent uint8

const (
	// Opened: the connection can carry requests.
	Opened ConnectionEvent = iota
	// Silent: the connection was found dead while idle, for example by an
	// unanswered keep-alive probe.
	Silent
	// Closed: the connection is gone.
	Closed
)

// Connection reports an event of one connection to a target.
type Connection struct {
	Target fleet.TargetID
	Event  ConnectionEvent
}

func (*Arrive) event()      {}
func (*Answered) event()    {}
func (*Failed) event()      {}
func (*CallerGone) event()  {}
func (*Tick) event()        {}
func (*Stop) event()        {}
func (*Targets) event()     {}
func (*Peers) event()       {}
func (*Services) event()    {}
func (*RemoteLoads) event() {}
func (*Health) event()      {}
func (*Connection) event()  {}
