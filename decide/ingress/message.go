package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// AskID numbers the asks of one process. Numbers of an earlier process of the
// same VM don't come again: they begin at the time of its start.
type AskID uint64

// Message goes from one entry VM to another: one of the pointer types below.
type Message any

// Ask asks the coordinator of a service for a target.
type Ask struct {
	ID       AskID
	Service  fleet.ServiceName
	Route    string // for the size of answers
	Object   string
	Domain   fleet.Domain // of the asking VM
	Priority int
	Large    bool // its body or its answer is large
	Homes    []fleet.Region
	Tried    []fleet.TargetID // targets it has been sent to
	Recalled fleet.TargetID   // where the asking VM's last request for the object ran; "": not known
	Alone    bool             // it may end its target: where fewest others run
	Limited  []NamedLimit     // some of the targets that the asking VM knows to name a rate limit
	Wait     time.Duration    // that it may wait for a target
	Left     time.Duration    // until its final answer is due
}

// NamedLimit is what one entry VM knows of a target's rate limit. A coordinator
// that has just begun learns of it by the first asks: until an answer came to it,
// it would have the target overrun by VMs that know better.
type NamedLimit struct {
	Target    fleet.TargetID
	PerSecond float64
	Age       time.Duration // since an answer has named it
}

// Grant names the target for an Ask.
type Grant struct {
	ID     AskID
	Target fleet.TargetID
	Share  HeardShare
}

// HeardShare is what a coordinator says of the part of its service's requests
// that run in other regions. Whoever places requests after it, or beside it for
// want of its answer, begins with that part: one that began with a guess moved a
// third of a region's requests at once.
type HeardShare struct {
	Known     bool
	Elsewhere float64 // 0 to 1
}

// Deny says that there is no target for an Ask.
type Deny struct {
	ID     AskID
	Reason verdict.Reason
	// Room is the time after which the target that it would go to has room for
	// it, as expected; 0: not known.
	Room  time.Duration
	Share HeardShare
}

// Withdraw says that an Ask is void, granted or not.
type Withdraw struct {
	ID AskID
}

// Report says how the send that followed a Grant has ended.
type Report struct {
	ID      AskID
	Result  Result
	Load    Load
	Limit   RateLimit
	Bytes   int           // of the answer's body
	Took    time.Duration // from the send to the answer
	Connect time.Duration // of it, the wait for a connection
}

// Result is how a send has ended, as far as it concerns the target.
type Result uint8

const (
	// ResultUnknown says nothing about the target.
	ResultUnknown Result = iota
	// ResultServed is an answer that was delivered.
	ResultServed
	// ResultRefused is the target's word that it did not run the request.
	ResultRefused
	// ResultMisdirected means that another target has the address.
	ResultMisdirected
	// ResultFailed is a failure after the request was sent.
	ResultFailed
	// ResultUnreachable means that no connection could be opened.
	ResultUnreachable
)

// Tell asks for a message to be sent to another entry VM.
type Tell struct {
	To      fleet.VMID
	Message Message
}

// Heard is a message of another entry VM.
type Heard struct {
	From    fleet.VMID
	Message Message
}
