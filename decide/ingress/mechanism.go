package ingress

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Mechanisms is a set of parts of the decision logic that can be switched off, so
// that experiments can measure the effect of each. In production none is switched
// off.
type Mechanisms uint32

// The mechanisms.
const (
	// LastTargets reports to the coordinator where a VM's own requests last ran.
	LastTargets Mechanisms = 1 << iota
	// Coordinators lets one VM of a region place all requests for a service;
	// without it, each VM places its own requests with its own knowledge.
	Coordinators
	// Hedging sends an idempotent request again if its target is silent, or to save time.
	Hedging
	// Headroom raises the share of other regions before the own region is full.
	Headroom
	// OtherRegions runs a share of the requests in other regions.
	OtherRegions
	// LargeBodies keeps requests with large bodies in their region.
	LargeBodies
	// TransferCosts includes the cost of bytes between failure domains and regions
	// in a choice.
	TransferCosts
	// WaitAtTarget lets requests whose object is warm queue at its target.
	WaitAtTarget
	// FirstChoice expects, for an object that is warm nowhere, work halfway between
	// warm and cold at the first target of its order.
	FirstChoice
	// NewTargets sends a first request to targets that have joined.
	NewTargets
	// Ejection stops using targets that fail.
	Ejection
	// SpareConnections keeps one connection to each used target of another region
	// free.
	SpareConnections
	// Quarantining keeps requests that crash targets away from them.
	Quarantining
	// RateLimits keeps within the rates that targets state.
	RateLimits
	// Gateways sends requests for targets of other regions through gateways.
	Gateways
	// Quotas keeps within the quotas of client accounts.
	Quotas
	// TokenTransfers lets VMs transfer quota tokens that they do not need; without
	// it, each keeps its part.
	TokenTransfers
	// Notices follows what targets state in answers about their availability.
	Notices
	// SharedBackoffs lets coordinators spare a target that asks for a backoff for
	// the requests of all VMs; without it, each VM follows what it was told itself.
	SharedBackoffs
	// Detours sends requests through other VMs while this VM reaches no target itself.
	Detours
)

var mechanismNames = []string{
	"recall", "coordinators", "second-send", "headroom", "elsewhere", "large-bodies",
	"carriage", "wait-at-target", "first-choice", "joined", "ejection", "spare-connections",
	"quarantining", "rate-limits", "gateways", "quotas", "token-transfers", "notices", "shared-backoffs", "detours",
}

// MechanismNames returns the names of all mechanisms.
func MechanismNames() []string { return slices.Clone(mechanismNames) }

// ErrMechanism reports a name that is not among MechanismNames.
var ErrMechanism = errors.New("ingress: unknown mechanism")

// ParseMechanisms returns the set of the named mechanisms.
func ParseMechanisms(names ...string) (Mechanisms, error) {
	var set Mechanisms
	for _, name := range names {
		i := slices.Index(mechanismNames, name)
		if i < 0 {
			return 0, fmt.Errorf("%w %q; known: %s", ErrMechanism, name, strings.Join(mechanismNames, ", "))
		}
		set |= 1 << i
	}
	return set, nil
}

// on reports whether a mechanism is switched on.
func (r *Reducer) on(m Mechanisms) bool { return r.opts.Disabled&m == 0 }
