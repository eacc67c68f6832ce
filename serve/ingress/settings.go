package ingress

import (
	"net/url"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
)

// Settings configure one entry VM.
type Settings struct {
	// Self identifies this entry VM and its location. CallAddr accepts callers'
	// requests, PeerAddr messages from other entry VMs, and GatewayAddr the
	// requests that this VM forwards for them; if it is empty, the VM is no
	// gateway.
	Self fleet.VM
	// ReadyAddr serves the page that reports whether this VM accepts requests.
	ReadyAddr string
	// LookupAddr serves look-ups.
	LookupAddr string
	// MetricsAddr serves the metrics; if it is empty, they are not served.
	MetricsAddr string
	// Seeds are peer addresses of some entry VMs, which may be down.
	Seeds []string
	// Regions maps every failure domain to its region.
	Regions map[fleet.Domain]fleet.Region
	// MemoryBytes is the memory that this process may use.
	MemoryBytes int64
	// Descriptors is how many descriptors this process may open; 0: the limit of the
	// operating system.
	Descriptors int
	// StopTimeout limits the duration of a planned stop.
	StopTimeout time.Duration
	// LookupTTL is how long callers may use the answer to a look-up.
	LookupTTL time.Duration
	// LeaseTTL is how long this VM stays on the store's list after it has ended.
	LeaseTTL time.Duration
	// DrainTime is how long a target still serves after its registration is marked
	// as draining or removed.
	DrainTime time.Duration
	Bounds    ingress.Bounds
	// Admission enables fair shares and early refusals of requests that wait for a slot.
	Admission bool
	// Hedge limits second sends that save time; the zero value allows none.
	Hedge     hedge.Policy
	Fields    Fields
	Pages     Pages
	Translate Translator
	// LookupRequest parses the query of a look-up.
	LookupRequest func(url.Values) Lookup
	// LookupAnswer encodes the answer to a look-up: addresses of entry VMs and how
	// long they may be used.
	LookupAnswer func(addrs []string, ttl time.Duration) ([]byte, error)
}

// Fields are names of header fields in canonical form.
type Fields struct {
	RequestID string // the caller's id for the request, echoed by targets
	Timeout   string // how long the caller waits, in ms
	Object    string // identifies the object of the request
	Stamp     string // present in answers that come from a target itself
	Target    string // the target intended to run the request
	Instance  string // the target that answers a request intended for another one
	Load      string // a target's load: requests running, requests waiting, slots
	Cold      string // on a target's health page: how much longer it is cold, in milliseconds
	NotRun    string // present if the target has not run the request
	Account   string // tells a target the client account of a request
	// RateLimits state how many requests per second a target accepts from all entry
	// VMs together. The first field that is present counts.
	RateLimits []string
	// Leaving states that a target is leaving. The first field that is present
	// counts.
	Leaving []string
}

// Pages are the paths of the pages served in addition to callers' requests.
type Pages struct {
	Ready  string
	Lookup string
}

// Lookup is a caller's location. The answer lists the entry VMs that it should
// use.
type Lookup struct {
	Domain fleet.Domain
	Region fleet.Region
}

// Change is one decoded change of the store. At most one field other than
// Defects is set; none is set if the change has no effect here.
type Change struct {
	Configured    *ingress.Configured
	Evacuated     *ingress.Evacuated
	TargetUpdated *ingress.Target
	TargetRemoved fleet.TargetID
	// TargetInvalid is a target whose registration is invalid: it is not used,
	// whatever was registered before.
	TargetInvalid fleet.TargetID
	// Defects are the parts that were invalid and are handled conservatively. They
	// are logged.
	Defects []error
}

// Translator decodes what operators and targets write to the store. Its rules apply to
// their keys only.
type Translator interface {
	mirror.Rules
	// Prefixes returns the prefixes of the keys that it decodes.
	Prefixes() []string
	// Change decodes one change of a key with one of the prefixes.
	Change(mirror.Change) (Change, error)
}
