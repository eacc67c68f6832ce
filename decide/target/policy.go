package target

import "fmt"

// Policy is a way of choosing a target.
type Policy uint8

// The policies. All but ExpectedWait serve for comparison.
const (
	// ExpectedWait takes the target whose answer is expected first.
	ExpectedWait Policy = iota
	// RoundRobin takes the targets in turn.
	RoundRobin
	// Random takes any target.
	Random
	// LeastInFlight takes the target with the fewest own requests in flight.
	LeastInFlight
	// TwoChoices draws two targets and takes the one with fewer own requests
	// in flight.
	TwoChoices
)

var policyNames = [...]string{
	ExpectedWait:  "expected-wait",
	RoundRobin:    "round-robin",
	Random:        "random",
	LeastInFlight: "least-in-flight",
	TwoChoices:    "two-choices",
}

// String returns the policy's name in settings.
func (p Policy) String() string { return policyNames[p] }

// ParsePolicy returns the policy of the given name; empty is ExpectedWait.
func ParsePolicy(name string) (Policy, error) {
	if name == "" {
		return ExpectedWait, nil
	}
	for p, n := range policyNames {
		if n == name {
			return Policy(p), nil
		}
	}
	return 0, fmt.Errorf("target: unknown policy %q", name)
}
