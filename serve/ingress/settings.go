package ingress

import (
	"net/url"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
)

// Settings of one entry VM.
type Settings struct {
	// Self says who and where this entry VM is. CallAddr takes callers'
	// requests, PeerAddr messages of other entry VMs, and GatewayAddr the requests
	// that they have this one carry; empty: it carries none.
	Self fleet.VM
	// ReadyAddr serves the page that says whether this VM takes requests.
	ReadyAddr string
	// LookupAddr serves look-ups.
	LookupAddr string
	// MetricsAddr serves the metrics; empty: they are not served.
	MetricsAddr string
	// Seeds are peer addresses of some entry VMs. They may be down.
	Seeds []string
	// Regions holds the region of every failure domain.
	Regions map[fleet.Domain]fleet.Region
	// MemoryBytes is what this process may use.
	MemoryBytes int64
	// StopTimeout is how long a planned stop may take.
	StopTimeout time.Duration
	// LookupTTL is how long the answer to a look-up may be used.
	LookupTTL time.Duration
	// LeaseTTL is how long this VM stays in the store's list after its end.
	LeaseTTL time.Duration
	// DrainTime is for how long a target still serves after its registration
	// said that it is leaving, or was removed.
	DrainTime time.Duration
	Bounds    ingress.Bounds
	Fields    Fields
	Pages     Pages
	Translate Translator
	// LookupRequest reads the query of a look-up.
	LookupRequest func(url.Values) Lookup
	// LookupAnswer encodes the answer to a look-up: addresses of entry VMs and
	// for how long they may be used.
	LookupAnswer func(addrs []string, ttl time.Duration) ([]byte, error)
}

// Fields are names of header fields, in canonical form.
type Fields struct {
	RequestID string // the caller's id of the request; targets echo it
	Timeout   string // how long the caller waits, in ms
	Object    string // equal for requests about the same object
	Stamp     string // marks a target's own answer
	Target    string // the target that is meant to run the request
	Load      string // a target's load: running, waiting, slots
	NotRun    string // a target's word that it has not run the request
	// RateLimits name how many requests a second a target takes from all entry
	// VMs together, the first one that is there.
	RateLimits []string
}

// Pages are paths of the pages that are served beside callers' requests.
type Pages struct {
	Ready  string
	Lookup string
}

// Lookup is the question which entry VMs to use, from a caller at this place.
type Lookup struct {
	Domain fleet.Domain
	Region fleet.Region
}

// Change is one change of the store in the terms of the decisions. Of its
// fields but Defects one is set, or none where a change has no meaning here.
type Change struct {
	Configured *ingress.Configured
	Evacuated  *ingress.Evacuated
	TargetSet  *ingress.Target
	TargetGone fleet.TargetID
	// TargetInvalid is a target whose registration can't be believed: it is not
	// used, whatever was registered before.
	TargetInvalid fleet.TargetID
	// Defects are what was not understood and handled with care, for the log.
	Defects []error
}

// Translator decodes what operators and targets write to the store.
type Translator interface {
	// Prefixes are the parts of the store that it decodes.
	Prefixes() []string
	// Change decodes one change below the prefixes.
	Change(mirror.Change) (Change, error)
}
