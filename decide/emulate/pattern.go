package emulate

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/route"
)

// Pattern describes a deployment, its load and the events of a run. Times are in
// seconds unless a field's name says otherwise.
type Pattern struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"` // duration of the load
	Network Network `json:"network"`
	// Members says how the list of entry VMs changes; nil: it never does.
	Members *Members `json:"members"`
	// RegionShift, RepeatRatio, RepeatSlack, ColdFactor and ColdSlack are bounds
	// set by operators; see ingress.Bounds.
	RegionShift float64 `json:"region_shift"`
	RepeatRatio float64 `json:"repeat_ratio"`
	RepeatSlack float64 `json:"repeat_slack"`
	ColdFactor  float64 `json:"cold_factor"`
	ColdSlack   float64 `json:"cold_slack"`

	// HedgeLimit is the limit on second sends that save time; see hedge.Policy.
	HedgeLimit float64 `json:"hedge_limit"`

	Domains  []Domain  `json:"domains"`
	Services []Service `json:"services"`
	Kinds    []Kind    `json:"kinds"`
	// Accounts are the client accounts; without any, requests need no key.
	Accounts []Account `json:"accounts"`
	Quota    QuotaRule `json:"quota"`
	Events   []Event   `json:"events"`
	// Pace describes how the speed of targets changes; nil: it does not.
	Pace *Pace `json:"pace"`
	// LongTail describes requests with much more work than others; nil: there are none.
	LongTail *LongTail `json:"long_tail"`
	// Admission is ingress.Options.Admission of all entry VMs.
	Admission bool `json:"admission"`
}

// Network holds the one-way latencies in ms.
type Network struct {
	CallerMS float64 `json:"caller_ms"` // between a caller and its entry VM
	DomainMS float64 `json:"domain_ms"` // within a failure domain
	RegionMS float64 `json:"region_ms"` // between failure domains of a region
	FarMS    float64 `json:"far_ms"`    // between regions
	// IdleSeconds is how long entry VMs keep an idle connection to a target;
	// opening one takes a round trip. If 0, connections are always open.
	IdleSeconds float64 `json:"idle_seconds"`
}

// Members describes how VMs that are killed leave the list of entry VMs and return.
type Members struct {
	// LeaseSeconds is how long a VM stays on the list after it was killed.
	LeaseSeconds float64 `json:"lease_seconds"`
	// LearnSeconds is within which time each VM learns of a change.
	LearnSeconds float64 `json:"learn_seconds"`
}

// Domain describes a failure domain.
type Domain struct {
	Name      fleet.Domain `json:"name"`
	Region    fleet.Region `json:"region"`
	VMs       int          `json:"vms"`
	PerSecond float64      `json:"per_second"` // rate of its callers' requests
	// StrongVMs is how many of the VMs have StrongCores instead of WeakCores; 0
	// means that all VMs are alike.
	StrongVMs int   `json:"strong_vms"`
	Wave      *Wave `json:"wave"` // nil for a constant load
	// Targets is the number of targets of each service.
	Targets map[fleet.ServiceName]int `json:"targets"`
}

// Service describes a service whose targets are all alike.
type Service struct {
	Name          fleet.ServiceName `json:"name"`
	Slots         int               `json:"slots"`    // requests that a target executes at a time
	Queue         int               `json:"queue"`    // requests that wait at a target; further ones are refused
	CachedObjects int               `json:"remember"` // objects that a target caches
	ColdRate      float64           `json:"cold_rate"`
	ColdTime      float64           `json:"cold_time"`
}

// Kind describes a kind of request.
type Kind struct {
	Name          string            `json:"name"`
	Service       fleet.ServiceName `json:"service"`
	Share         float64           `json:"share"` // share of all requests, relative to the other kinds' shares
	Idempotent    bool              `json:"idempotent"`
	Priority      int               `json:"priority"`
	LatencyGoalMS float64           `json:"aim_ms"`      // answers within it have their full worth
	PatienceMS    float64           `json:"patience_ms"` // how long callers wait in total
	WorkMS        float64           `json:"work_ms"`     // mean work of a request whose object is not cached
	WorkSpread    float64           `json:"spread"`      // maximum relative deviation of the work from WorkMS
	WarmSaving    float64           `json:"warm_gain"`   // share of the work that a cached object saves
	Objects       int               `json:"objects"`     // number of objects in each region
	Contents      int               `json:"contents"`    // number of different requests; 0 if all differ
	BodyBytes     int               `json:"body_bytes"`
	Retries       int               `json:"retries"`    // attempts of a caller after the first one
	Worth         float64           `json:"worth"`      // value of an answer within the latency goal
	LateWorth     float64           `json:"late_worth"` // value of a later answer
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	// Burst multiplies the load of Domain, or of all domains, by Value: that of
	// RequestKind, or of all kinds.
	Burst EventKind = "burst"
	// Evacuate evacuates Domain.
	Evacuate EventKind = "evacuate"
	// KillVMs kills a share of the entry VMs; they restart after Duration.
	KillVMs EventKind = "kill-vms"
	// RestartTargets stops a share of a service's targets; they restart after
	// Duration with the same IDs, cold.
	RestartTargets EventKind = "restart-targets"
	// SlowTargets multiplies the work at a share of a service's targets by Value.
	SlowTargets EventKind = "slow-targets"
	// GreyTargets makes a share of a service's targets fail the share Value of
	// their requests.
	GreyTargets EventKind = "grey-targets"
	// ShedTargets makes a share of a service's targets refuse the share Value of
	// their requests.
	ShedTargets EventKind = "shed-targets"
	// LimitTargets makes a share of a service's targets state a limit of Value
	// requests per second in their answers.
	LimitTargets EventKind = "limit-targets"
	// LeaveTargets makes a share of a service's targets state in their answers that
	// they are leaving. They stop after Duration; their registrations are unchanged
	// until then.
	LeaveTargets EventKind = "leave-targets"
	// BackoffTargets makes a share of a service's targets refuse all requests and ask
	// for a backoff of Value seconds.
	BackoffTargets EventKind = "backoff-targets"
	// QueryOfDeath makes Callers in Domain send a request to Service that crashes
	// every target that executes it. Each of them sends the same request again
	// Value seconds after its last attempt has ended.
	QueryOfDeath EventKind = "query-of-death"
	// HotAccount adds Value requests per second of Account.
	HotAccount EventKind = "hot-account"
	// LowerQuota multiplies the quota of Account, or of all accounts, by Value.
	LowerQuota EventKind = "lower-quota"
	// CutVMs cuts a share of the entry VMs off from the others.
	CutVMs EventKind = "cut-vms"
	// LapseRegistrations removes the registrations of a share of a service's
	// targets, which keep serving. They are registered again after Duration.
	LapseRegistrations EventKind = "lapse-registrations"
	// CutTargets cuts a share of the entry VMs off from all targets, in the way that
	// How names. Callers and the other VMs still reach them.
	CutTargets EventKind = "cut-targets"
	// DrainTargets makes the registrations of a share of a service's targets say that they
	// drain. They stop after Duration, and their registrations are removed.
	DrainTargets EventKind = "drain-targets"
	// ReturnStore takes the metadata store away for Duration. It comes back from a copy
	// that was made Value seconds before, and what targets and operators have written
	// since is written again.
	ReturnStore EventKind = "return-store"
)

// The ways in which a VM can be cut off from targets.
const (
	// CutHangs lets new connections and everything on open ones time out.
	CutHangs = "hang"
	// CutResets ends open connections; new ones are refused.
	CutResets = "reset"
	// CutRefuses refuses new connections; open ones live on.
	CutRefuses = "refuse"
)

// StrongCores and WeakCores are the processor shares of VMs in a domain with strong
// VMs.
const (
	StrongCores = 0.8
	WeakCores   = 0.16
)

var eventKinds = []EventKind{Burst, Evacuate, KillVMs, RestartTargets, SlowTargets, GreyTargets, ShedTargets, LimitTargets, QueryOfDeath, HotAccount, LowerQuota, CutVMs, LeaveTargets, BackoffTargets, LapseRegistrations, CutTargets, DrainTargets, ReturnStore}

// Event is a fault, a change of load or another event of a run.
type Event struct {
	Kind     EventKind         `json:"kind"`
	Start    float64           `json:"at"`
	Duration float64           `json:"for"`
	Share    float64           `json:"share"` // share of the targets or VMs; 0 means all
	Value    float64           `json:"x"`
	Callers  int               `json:"callers"` // 0 means one
	Domain   fleet.Domain      `json:"domain"`  // empty for all
	Service  fleet.ServiceName `json:"service"` // empty for all
	Account  route.AccountName `json:"account"` // empty for all
	How      string            `json:"how"`     // of CutTargets; empty for CutHangs
	// RequestKind is the name of a kind of request, of Burst; empty for all.
	RequestKind string `json:"request_kind"`
}

// ErrPattern is the error for an invalid pattern.
var ErrPattern = errors.New("emulate: invalid pattern")

// Read decodes a pattern and checks it.
func Read(r io.Reader) (*Pattern, error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	var p Pattern
	if err := d.Decode(&p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPattern, err)
	}
	return &p, p.Check()
}

// Check returns an error that names the first invalid value of a pattern.
func (p *Pattern) Check() error {
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w %q: %s", ErrPattern, p.Name, fmt.Sprintf(format, args...))
	}
	if p.Seconds <= 0 || len(p.Domains) == 0 || len(p.Services) == 0 || len(p.Kinds) == 0 {
		return bad("seconds must be positive, and domains, services and kinds must not be empty")
	}
	if err := (hedge.Policy{Limit: p.HedgeLimit}).Check(); err != nil {
		return bad("hedge_limit: %v", err)
	}
	named := func(s fleet.ServiceName) bool {
		return slices.ContainsFunc(p.Services, func(v Service) bool { return v.Name == s })
	}
	for _, s := range p.Services {
		if s.Slots < 1 || s.Queue < 0 || s.CachedObjects < 0 {
			return bad("service %q: slots %d, queue %d or remember %d is out of range", s.Name, s.Slots, s.Queue, s.CachedObjects)
		}
	}
	for _, d := range p.Domains {
		if d.Name == "" || d.Region == "" || d.VMs < 0 || d.PerSecond < 0 {
			return bad("domain %q: name or region %q is empty, or vms %d or per_second %v is negative", d.Name, d.Region, d.VMs, d.PerSecond)
		}
		for s := range d.Targets {
			if !named(s) {
				return bad("domain %q: unknown service %q", d.Name, s)
			}
		}
	}
	for _, k := range p.Kinds {
		if !named(k.Service) || k.Share <= 0 || k.LatencyGoalMS <= 0 || k.PatienceMS <= 0 || k.WorkMS <= 0 || k.Objects < 0 {
			return bad("kind %q: unknown service %q, or share, aim_ms, patience_ms or work_ms is not positive, or objects is negative", k.Name, k.Service)
		}
	}
	for _, a := range p.Accounts {
		if a.Name == "" || a.Share < 0 || a.PerSecond < 0 || a.Burst < 0 {
			return bad("account %q: name is empty, or share, rate or burst is negative", a.Name)
		}
	}
	for i, e := range p.Events {
		if !slices.Contains(eventKinds, e.Kind) || e.Start < 0 || e.Share < 0 || e.Share > 1 {
			return bad("event %d: unknown kind %q, or at %v or share %v is out of range", i, e.Kind, e.Start, e.Share)
		}
		known := slices.ContainsFunc(p.Accounts, func(a Account) bool { return a.Name == e.Account })
		if (e.Kind == HotAccount || e.Account != "") && !known {
			return bad("event %d: unknown account %q", i, e.Account)
		}
		if e.RequestKind != "" && !slices.ContainsFunc(p.Kinds, func(k Kind) bool { return k.Name == e.RequestKind }) {
			return bad("event %d: unknown request_kind %q", i, e.RequestKind)
		}
	}
	if v := p.Pace; v != nil && (v.Share < 0 || v.Share > 1 || v.Factor <= 0 || v.ChangeMS <= 0) {
		return bad("pace: share %v is out of range, or factor %v or change_ms %v is not positive", v.Share, v.Factor, v.ChangeMS)
	}
	if v := p.LongTail; v != nil && (v.Share < 0 || v.Share > 1 || v.Factor <= 0) {
		return bad("long_tail: share %v is out of range, or factor %v is not positive", v.Share, v.Factor)
	}
	return nil
}
