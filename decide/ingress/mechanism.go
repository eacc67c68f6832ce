package ingress

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Mechanisms is a set of parts of the decisions that can be switched off, so
// that experiments can tell what each is worth. In service none is.
type Mechanisms uint16

// The mechanisms.
const (
	// Recall tells the coordinator where a VM's own requests ran.
	Recall Mechanisms = 1 << iota
	// Coordinators have one VM of a region place all requests for a service;
	// without, each places by what it knows itself.
	Coordinators
	// SecondSend sends an idempotent request again whose target is silent.
	SecondSend
	// Headroom moves the share of other regions before the own one is full.
	Headroom
	// Elsewhere runs a share of the requests in other regions.
	Elsewhere
	// LargeBodies keeps requests with large bodies in their region.
	LargeBodies
	// Carriage counts what bytes cost between failure domains and regions.
	Carriage
	// WaitAtTarget lets requests whose object is warm queue at its target.
	WaitAtTarget
	// FirstChoice takes an object of unknown place for half warm at the first
	// target of its order.
	FirstChoice
	// Joined tries targets that have joined.
	Joined
	// Ejection takes targets that fail out of use.
	Ejection
	// SpareConnections keep one connection free to targets of other regions.
	SpareConnections
	// Quarantining keeps requests away that end the targets that run them.
	Quarantining
	// RateLimits keep to the rates that targets name.
	RateLimits
	// Gateways carry requests for targets of other regions.
	Gateways
)

var mechanismNames = []string{
	"recall", "coordinators", "second-send", "headroom", "elsewhere", "large-bodies",
	"carriage", "wait-at-target", "first-choice", "joined", "ejection", "spare-connections",
	"quarantining", "rate-limits", "gateways",
}

// MechanismNames returns the names of all mechanisms.
func MechanismNames() []string { return slices.Clone(mechanismNames) }

// ErrMechanism means a name that is none of MechanismNames.
var ErrMechanism = errors.New("ingress: no such mechanism")

// ParseMechanisms returns the set of the named mechanisms.
func ParseMechanisms(names ...string) (Mechanisms, error) {
	var set Mechanisms
	for _, name := range names {
		i := slices.Index(mechanismNames, name)
		if i < 0 {
			return 0, fmt.Errorf("%w: %q; there are %s", ErrMechanism, name, strings.Join(mechanismNames, ", "))
		}
		set |= 1 << i
	}
	return set, nil
}

// on reports whether a mechanism is in use.
func (r *Reducer) on(m Mechanisms) bool { return r.opts.Without&m == 0 }
