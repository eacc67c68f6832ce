package steer

import (
	"maps"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Weight is the share of its normal traffic that a failure domain takes, in
// units of 1/FullWeight.
type Weight uint16

// FullWeight is the weight of a domain that takes all of its normal traffic.
const FullWeight Weight = 10000

// The parameters by which a Damper derives weights from headroom.
//
// Between LowHeadroom and HighHeadroom a weight stays unchanged. A step
// multiplies the weight, and with it the load, and no step is large enough to
// move the load from one side of that band to the other: at most 0.75 of the
// capacity times 1.1 stays below 0.9, and at least 0.9 times 0.9, or 0.98 times
// 0.8, stays above 0.75. Weights therefore converge instead of oscillating,
// whatever the load.
const (
	// LowHeadroom is the free share of capacity below which the weight falls
	// by a tenth.
	LowHeadroom = 0.10
	// CriticalHeadroom is the free share of capacity below which the weight
	// falls by a fifth.
	CriticalHeadroom = 0.02
	// HighHeadroom is the free share of capacity above which the weight rises
	// by a tenth.
	HighHeadroom = 0.25
	// AmpleHeadroom is the free share of capacity above which the weight rises
	// by a quarter.
	AmpleHeadroom = 0.50
	// MinWeight keeps some traffic on a domain, without which its headroom
	// could not be measured again.
	MinWeight Weight = FullWeight / 50
	// Settle is the time until load reports show a step: callers keep answers
	// for TTLSteady, and 5 s cover the age and averaging of load reports.
	Settle = TTLSteady + 5*time.Second
)

// Damper maintains the weights of all failure domains and services. The zero
// Damper is ready for use; domains without reports have FullWeight. It is not
// safe for concurrent use.
type Damper struct {
	states map[DomainService]domainWeight
}

type domainWeight struct {
	weight    Weight
	steppedAt clock.Time
}

// Observe processes at now a report of the free share of a domain's capacity
// for a service, from 0 to 1, measured at measuredAt. It reports whether the
// weight has changed.
//
// A report measured before the last step could affect the load is ignored.
// Acting on it would count the same shortage twice: the weight would fall too
// far, the load would return, and the domains would oscillate. The time of the
// step is now, when it is taken, and not that of its report, which may be many
// seconds old.
func (d *Damper) Observe(key DomainService, headroom float64, now, measuredAt clock.Time) bool {
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
		d.states = make(map[DomainService]domainWeight)
	}
	d.states[key] = domainWeight{weight: next, steppedAt: now}
	return true
}

// nextWeight applies one step. NaN headroom leaves the weight unchanged.
func nextWeight(w Weight, headroom float64) Weight {
	switch {
	case headroom < CriticalHeadroom:
		w -= w / 5
	case headroom < LowHeadroom:
		w -= w / 10
	case headroom > AmpleHeadroom:
		w += w / 4
	case headroom > HighHeadroom:
		w += w / 10
	}
	return min(FullWeight, max(MinWeight, w))
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

// Retain deletes the weights of domains for which keep returns false, such as
// those that have left the fleet.
func (d *Damper) Retain(keep func(DomainService) bool) {
	maps.DeleteFunc(d.states, func(k DomainService, _ domainWeight) bool { return !keep(k) })
}
