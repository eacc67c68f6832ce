package emulate

import (
	"fmt"
	"testing"
)

// Bounds that operators set for VMs that are cut off from all targets: their callers'
// first attempts are served less than minCutShare times as often as those at the others
// only if no more than maxCutFailures plus maxCutFailureShare of them fail.
const (
	minCutShare        = 2.0 / 3
	maxCutFailures     = 10
	maxCutFailureShare = 1.0 / 50
)

// checkTargetCut runs p and checks the bounds.
func checkTargetCut(t *testing.T, p *Pattern, seed uint64) {
	r := Run(p, Variant{Seed: seed})
	c := r.TargetCut
	t.Logf("worth %.4f, %d of %d and %d of %d", r.All.Worth(), c.Cut.Served, c.Cut.Asked, c.Others.Served, c.Others.Asked)
	if c.Cut.Asked == 0 {
		t.Error("no caller has asked a VM that is cut off")
	}
	failed := float64(c.Cut.Asked - c.Cut.Served)
	if c.Cut.share() < minCutShare*c.Others.share() && failed > maxCutFailures+maxCutFailureShare*float64(c.Cut.Asked) {
		t.Errorf("VMs without links to targets served %d of %d first attempts, the others %d of %d", c.Cut.Served, c.Cut.Asked, c.Others.Served, c.Others.Asked)
	}
}

// Guards against callers that are served far worse by entry VMs that have lost their
// links to all targets, while other VMs reach the targets.
func TestCallersOfVMsWithoutLinksAreServed(t *testing.T) {
	cuts := map[string][]Event{
		"a third of the VMs":          {{Share: 0.3}},
		"half of the VMs":             {{Share: 0.5}},
		"a failure domain":            {{Domain: "a1"}},
		"half of a failure domain":    {{Domain: "a1", Share: 0.5}},
		"the only VM of a domain":     {{Domain: "b2"}},
		"all VMs of a region but one": {{Domain: "b1"}},
		"a region":                    {{Domain: "a1"}, {Domain: "a2"}},
	}
	for name, events := range cuts {
		for _, how := range []string{CutHangs, CutRefuses, CutResets} {
			for _, idle := range []float64{0, 10} {
				t.Run(fmt.Sprintf("%s, %s, connections idle for %v s", name, how, idle), func(t *testing.T) {
					t.Parallel()
					p := smallRegion(t, func(p *Pattern) {
						p.Seconds, p.Network.IdleSeconds, p.Events = 20, idle, nil
						for _, e := range events {
							e.Kind, e.Start, e.Duration, e.How = CutTargets, 5, 13, how
							p.Events = append(p.Events, e)
						}
					})
					checkTargetCut(t, p, 1)
				})
			}
		}
	}
}

// Guards against the same where no other region can serve the callers.
func TestCallersOfVMsWithoutLinksAreServedInOneRegion(t *testing.T) {
	for _, how := range []string{CutHangs, CutRefuses, CutResets} {
		for _, idle := range []float64{0, 10} {
			t.Run(fmt.Sprintf("%s, connections idle for %v s", how, idle), func(t *testing.T) {
				t.Parallel()
				p := smallRegion(t, func(p *Pattern) {
					p.Seconds, p.Network.IdleSeconds, p.Domains = 20, idle, p.Domains[:2]
					p.Events = []Event{{Kind: CutTargets, Start: 5, Duration: 13, How: how, Domain: "a1"}}
				})
				checkTargetCut(t, p, 1)
			})
		}
	}
}
