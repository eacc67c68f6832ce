package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// PlacementID numbers the placement requests of one process. Numbering begins at
// the start time of the process, so that numbers of an earlier process of the same
// VM are not reused.
type PlacementID uint64

// Message is sent from one entry VM to another: one of the pointer types below.
type Message any

// PlacementRequest asks the coordinator of a service for a target.
type PlacementRequest struct {
	ID      PlacementID
	Service fleet.ServiceName
	Route   string // selects the measured size of answers
	Object  string
	// Account is whose quota is charged; "": none. It is not part of the message for
	// requests without an account, whose encoding is older.
	Account        route.AccountName `json:"-"`
	Domain         fleet.Domain      // of the requesting VM
	Priority       int
	Large          bool // the body or the answer is large
	AllowedRegions []fleet.Region
	Tried          []fleet.TargetID // targets that already got the request
	LastTarget     fleet.TargetID   // where the requesting VM's last request for the object ran; "": unknown
	MayCrashTarget bool             // place it where the fewest other requests run
	Limits         []TargetLimit    // some of the rate limits that the requesting VM knows
	MaxWait        time.Duration    // how long it may wait for a target
	TimeLeft       time.Duration    // until the request's final answer is due
}

// TargetLimit is what one entry VM knows of a target's rate limit. A new
// coordinator learns the limit from the first placement requests; otherwise VMs
// that already know it would overload the target until the coordinator gets an
// answer itself.
type TargetLimit struct {
	Target    fleet.TargetID
	PerSecond float64
	Age       time.Duration // since an answer stated the limit
}

// LimitTerms states how the VM that has placed a request took account of the rate
// limit of its target. A VM that knows a limit sends no request there that was placed
// without that knowledge.
type LimitTerms struct {
	// Counted means that the request counts towards the limit.
	Counted bool
	// Ended means that the VM detected the end of the limit EndedAge ago.
	Ended    bool
	EndedAge time.Duration
}

// GrantTerms precedes the Grant of the same PlacementRequest if the coordinator knows
// that its target has, or had, a rate limit.
type GrantTerms struct {
	ID    PlacementID
	Terms LimitTerms
}

// Grant names the target for a PlacementRequest.
type Grant struct {
	ID     PlacementID
	Target fleet.TargetID
	Share  RemoteShare
}

// RemoteShare is a coordinator's current share of its service's requests that run
// in other regions. A successor, or a VM that gets no answer from the coordinator,
// starts from this share: one that started from a share estimated by slots moved a
// third of a region's requests at once.
type RemoteShare struct {
	Known bool
	Share float64 // 0 to 1
}

// Deny reports that there is no target for a PlacementRequest.
type Deny struct {
	ID     PlacementID
	Reason verdict.Reason
	// FreeAfter is the expected time until the preferred target has room for the
	// request; 0: unknown.
	FreeAfter time.Duration
	Share     RemoteShare
}

// Withdraw cancels a PlacementRequest, whether or not it was granted.
type Withdraw struct {
	ID PlacementID
}

// Report is the result of the send that followed a Grant.
type Report struct {
	ID      PlacementID
	Result  Result
	Load    Load
	Limit   RateLimit
	Bytes   int           // of the answer's body
	Took    time.Duration // from the send to the answer
	Connect time.Duration // of it, the wait for a connection
}

// TargetNotices tells another entry VM what targets have stated about their
// availability.
type TargetNotices struct{ List []TargetNotice }

// TargetNotice is what one entry VM knows of a target's notices.
type TargetNotice struct {
	Target    fleet.TargetID
	StartedAt int64 // of the target's instance
	Leaving   bool
	Age       time.Duration // since the target first stated that it is leaving
	Backoff   time.Duration // that is left; 0: none
}

// Result is the result of a send as far as it concerns the target.
type Result uint8

const (
	// ResultUnknown says nothing about the target.
	ResultUnknown Result = iota
	// ResultServed is an answer that was delivered.
	ResultServed
	// ResultRefused means that the target stated that it did not run the request.
	ResultRefused
	// ResultMisdirected means that another target now has the address.
	ResultMisdirected
	// ResultFailed is a failure after the request was sent.
	ResultFailed
	// ResultUnreachable means that no connection could be opened.
	ResultUnreachable
	// ResultNotSent means that the request was not sent, because the target is
	// known not to be available.
	ResultNotSent
	// ResultUnproved is an answer that may not be the request's: the target may have
	// refused the request, or run it.
	ResultUnproved
)

// AccountTokens is a number of quota tokens of one client account.
type AccountTokens struct {
	Account route.AccountName
	Tokens  float64
}

// TokenRequest asks for quota tokens that the receiver does not need.
type TokenRequest struct {
	ID       PlacementID
	Accounts []AccountTokens
}

// TokenGrant transfers quota tokens to the sender of a TokenRequest.
type TokenGrant struct {
	ID       PlacementID
	Accounts []AccountTokens
}

// AccountDemand is a rate at which requests of an account and a priority are to be
// placed by one VM.
type AccountDemand struct {
	Account   route.AccountName
	Priority  int
	PerSecond float64
}

// TokenDemand states the demand of a VM that is short of tokens, one entry for each
// account and priority, those of an account one after the other. It precedes a
// TokenRequest, whose receiver divides its tokens by it.
type TokenDemand struct{ Accounts []AccountDemand }

// TargetPace states the pace of a target. It precedes the Report of the send whose answer
// stated it.
type TargetPace struct {
	Target    fleet.TargetID
	StartedAt int64 // of the target's instance that stated it
	Percent   int   // see Load.Pace
}

// HedgeRequest asks the VM that placed a request for a second target, to save time. A
// Grant or a Deny answers it, for the ID of Request.
type HedgeRequest struct {
	First   PlacementID       // of the send that is under way
	Account route.AccountName // whose quota is charged; "": none
	// Within is the time within which an answer of the second target must be expected.
	Within  time.Duration
	Request PlacementRequest
}

// GrantWork precedes the Grant of the same PlacementRequest if the object is cold at its
// target and the coordinator allows second sends. The answer then takes longer than that
// of a warm one.
type GrantWork struct {
	ID   PlacementID
	Cold bool
}

// TargetCold tells another entry VM that a target states on its health page that it is cold.
type TargetCold struct {
	Target    fleet.TargetID
	StartedAt int64         // of the target's instance
	Left      time.Duration // for which it is cold
}

// OutgoingMessage requests that a message be sent to another entry VM.
type OutgoingMessage struct {
	To      fleet.VMID
	Message Message
}

// IncomingMessage is a message received from another entry VM.
type IncomingMessage struct {
	From    fleet.VMID
	Message Message
}
