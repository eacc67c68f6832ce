package emulate

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Pattern is a deployment, its load, and what happens to it. Times are in
// seconds where a field's name doesn't say otherwise.
type Pattern struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"` // of load
	Network Network `json:"network"`
	// RegionShift, RepeatRatio, RepeatSlack, ColdFactor and ColdSlack are the
	// operators' bounds; see ingress.Bounds.
	RegionShift float64 `json:"region_shift"`
	RepeatRatio float64 `json:"repeat_ratio"`
	RepeatSlack float64 `json:"repeat_slack"`
	ColdFactor  float64 `json:"cold_factor"`
	ColdSlack   float64 `json:"cold_slack"`

	Domains  []Domain  `json:"domains"`
	Services []Service `json:"services"`
	Kinds    []Kind    `json:"kinds"`
	Events   []Event   `json:"events"`
}

// Network are one-way latencies, in ms.
type Network struct {
	CallerMS float64 `json:"caller_ms"` // between a caller and its entry VM
	DomainMS float64 `json:"domain_ms"` // within a failure domain
	RegionMS float64 `json:"region_ms"` // between failure domains of a region
	FarMS    float64 `json:"far_ms"`    // between regions
	// IdleSeconds is how long entry VMs keep a free connection to a target;
	// opening one takes a round trip. 0: connections are always open.
	IdleSeconds float64 `json:"idle_seconds"`
}

// Domain is a failure domain.
type Domain struct {
	Name      fleet.Domain `json:"name"`
	Region    fleet.Region `json:"region"`
	VMs       int          `json:"vms"`
	PerSecond float64      `json:"per_second"` // requests of its callers
	// Targets is how many targets each service has here.
	Targets map[fleet.ServiceName]int `json:"targets"`
}

// Service is a set of equal targets.
type Service struct {
	Name     fleet.ServiceName `json:"name"`
	Slots    int               `json:"slots"`    // requests at work at a target
	Queue    int               `json:"queue"`    // requests that wait there; more are refused
	Remember int               `json:"remember"` // objects that a target remembers
	ColdRate float64           `json:"cold_rate"`
	ColdTime float64           `json:"cold_time"`
}

// Kind is a kind of request.
type Kind struct {
	Name            string            `json:"name"`
	Service         fleet.ServiceName `json:"service"`
	Share           float64           `json:"share"` // of all requests, against the other kinds' shares
	Idempotent      bool              `json:"idempotent"`
	Priority        int               `json:"priority"`
	TargetLatencyMS float64           `json:"aim_ms"`
	PatienceMS      float64           `json:"patience_ms"` // how long its callers wait in all
	WorkMS          float64           `json:"work_ms"`     // of a request for an object that is not remembered
	Spread          float64           `json:"spread"`      // of the work: it lies within this part above or below
	WarmSaving      float64           `json:"warm_gain"`   // part of the work that a remembered object saves
	Objects         int               `json:"objects"`     // in each region
	Contents        int               `json:"contents"`    // different requests; 0: no two are the same
	BodyBytes       int               `json:"body_bytes"`
	Retries         int               `json:"retries"` // attempts of a caller after its first
	Worth           float64           `json:"worth"`   // of an answer within the aim
	LateWorth       float64           `json:"late_worth"`
}

// EventKind names what happens.
type EventKind string

// The kinds of events.
const (
	// Burst multiplies the load of Domain, or of all, by X.
	Burst EventKind = "burst"
	// Evacuate empties Domain.
	Evacuate EventKind = "evacuate"
	// KillVMs ends a share of the entry VMs; they start again after For.
	KillVMs EventKind = "kill-vms"
	// RestartTargets ends a share of a service's targets; they start again
	// under their IDs after For, cold.
	RestartTargets EventKind = "restart-targets"
	// SlowTargets multiplies the work at a share of a service's targets by X.
	SlowTargets EventKind = "slow-targets"
	// GreyTargets has a share of a service's targets fail the part X of their
	// requests.
	GreyTargets EventKind = "grey-targets"
	// ShedTargets has a share of a service's targets refuse the part X of their
	// requests.
	ShedTargets EventKind = "shed-targets"
	// LimitTargets has a share of a service's targets name a limit of X requests a
	// second in their answers.
	LimitTargets EventKind = "limit-targets"
	// QueryOfDeath has Callers of Domain send a request to Service that ends each
	// target that runs it, and each of them the same one again X seconds after the
	// end of its attempts.
	QueryOfDeath EventKind = "query-of-death"
)

var eventKinds = []EventKind{Burst, Evacuate, KillVMs, RestartTargets, SlowTargets, GreyTargets, ShedTargets, LimitTargets, QueryOfDeath}

// Event is something that happens to the deployment.
type Event struct {
	Kind     EventKind         `json:"kind"`
	Start    float64           `json:"at"`
	Duration float64           `json:"for"`
	Share    float64           `json:"share"` // 0: all
	Value    float64           `json:"x"`
	Callers  int               `json:"callers"` // 0: one
	Domain   fleet.Domain      `json:"domain"`  // empty: all
	Service  fleet.ServiceName `json:"service"` // empty: all
}

// ErrPattern means a pattern that can't be played.
var ErrPattern = errors.New("emulate: pattern")

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

// Check names the first defect of a pattern.
func (p *Pattern) Check() error {
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w %q: %s", ErrPattern, p.Name, fmt.Sprintf(format, args...))
	}
	if p.Seconds <= 0 || len(p.Domains) == 0 || len(p.Services) == 0 || len(p.Kinds) == 0 {
		return bad("seconds, domains, services and kinds are needed")
	}
	named := func(s fleet.ServiceName) bool {
		return slices.ContainsFunc(p.Services, func(v Service) bool { return v.Name == s })
	}
	for _, s := range p.Services {
		if s.Slots < 1 || s.Queue < 0 || s.Remember < 0 {
			return bad("service %q: slots", s.Name)
		}
	}
	for _, d := range p.Domains {
		if d.Name == "" || d.Region == "" || d.VMs < 0 || d.PerSecond < 0 {
			return bad("domain %q", d.Name)
		}
		for s := range d.Targets {
			if !named(s) {
				return bad("domain %q: no service %q", d.Name, s)
			}
		}
	}
	for _, k := range p.Kinds {
		if !named(k.Service) || k.Share <= 0 || k.TargetLatencyMS <= 0 || k.PatienceMS <= 0 || k.WorkMS <= 0 || k.Objects < 0 {
			return bad("kind %q", k.Name)
		}
	}
	for i, e := range p.Events {
		if !slices.Contains(eventKinds, e.Kind) || e.Start < 0 || e.Share < 0 || e.Share > 1 {
			return bad("event %d (%q)", i, e.Kind)
		}
	}
	return nil
}
