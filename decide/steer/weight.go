package steer

import (
	"maps"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Weight is the share of its normal traffic that a failure domain takes, in
// units of 1/FullWeight.
type Weight uint16

// FullWeight is the weight of a domain that takes all of its traffic.
const FullWeight Weight = 10000

// The rule by which a Damper turns headroom into weights.
//
// The band between LowHeadroom and HighHeadroom is wider than the largest
// step: a step changes a domain's load by at most StepDown of what it is
// offered, so it cannot carry the headroom from one side of the band to the
// other, and weights come to rest instead of swinging.
const (
	// LowHeadroom is the free share of capacity below which the weight falls.
	LowHeadroom = 0.10
	// HighHeadroom is the free share of capacity above which it rises.
	HighHeadroom = 0.25
	// StepDown is how far a weight falls at once.
	StepDown Weight = FullWeight / 10
	// StepUp is how far a weight rises at once. Rising is slower, since the
	// load that returns meets cold caches.
	StepUp Weight = FullWeight / 20
	// MinWeight keeps a little traffic on a domain, without which its
	// headroom could not be measured again.
	MinWeight Weight = FullWeight / 50
	// Settle is how long a step takes to show: callers keep answers for
	// TTLSteady, and 5 s cover the age and averaging of load reports.
	Settle = TTLSteady + 5*time.Second
)

// Damper keeps the weights of all failure domains and services. The zero
// Damper is ready for use; domains without reports have FullWeight. It is not
// safe for concurrent use.
type Damper struct {
	states map[DomainService]damped
}

type damped struct {
	weight    Weight
	steppedAt clock.Time
}

// Observe takes a report of the free share of a domain's capacity for a
// service, from 0 to 1, as measured at the instant measuredAt, and returns
// whether the weight has changed.
//
// A report measured before the last step can have shown in the load is
// ignored. Acting on it would count the same shortage twice: the weight would
// fall too far, the load would flow back, and the domains would swing.
func (d *Damper) Observe(key DomainService, headroom float64, measuredAt clock.Time) bool {
	s, known := d.states[key]
	if !known {
		s.weight = FullWeight
	}
	if s.steppedAt != 0 && measuredAt.Before(s.steppedAt.Add(Settle)) {
		return false
	}
	next := nextWeight(s.weight, headroom)
	if next == s.weight {
		return false
	}
	if d.states == nil {
		d.states = make(map[DomainService]damped)
	}
	d.states[key] = damped{weight: next, steppedAt: measuredAt}
	return true
}

// nextWeight applies one step. Headroom that is not a number changes nothing.
func nextWeight(w Weight, headroom float64) Weight {
	switch {
	case headroom < LowHeadroom:
		return max(MinWeight, w-min(w, StepDown))
	case headroom > HighHeadroom:
		return min(FullWeight, w+StepUp)
	default:
		return w
	}
}

// Weights returns a copy of the weights that are not FullWeight.
func (d *Damper) Weights() map[DomainService]Weight {
	weights := make(map[DomainService]Weight)
	for k, s := range d.states {
		if s.weight != FullWeight {
			weights[k] = s.weight
		}
	}
	return weights
}

// Retain forgets the domains for which keep returns false, such as those that
// have left the fleet.
func (d *Damper) Retain(keep func(DomainService) bool) {
	maps.DeleteFunc(d.states, func(k DomainService, _ damped) bool { return !keep(k) })
}
