package emulate

import (
	"fmt"
	"testing"
)

// limitPattern returns a pattern in which targets state a rate limit.
func limitPattern(t *testing.T, change func(*Pattern)) *Pattern {
	return smallRegion(t, func(p *Pattern) {
		p.Events = []Event{{Kind: LimitTargets, Start: 4, Duration: 16, Service: "read", Share: 0.15, Value: 4.8}}
		if change != nil {
			change(p)
		}
	})
}

// Guards against a target that states its rate limit and still gets as many
// requests as before.
func TestRateLimitsOfTargetsAreKept(t *testing.T) {
	patterns := map[string]func(*Pattern){
		"a few targets":  nil,
		"half of them":   func(p *Pattern) { p.Events[0].Share = 0.5 },
		"a low limit":    func(p *Pattern) { p.Events[0].Value = 0.4 },
		"a limit of 0":   func(p *Pattern) { p.Events[0].Value = 0 },
		"a high limit":   func(p *Pattern) { p.Events[0].Value = 20 },
		"a small region": func(p *Pattern) { p.Events[0].Domain, p.Events[0].Share = "b1", 1 },
		"a burst": func(p *Pattern) {
			p.Events = append(p.Events, Event{Kind: Burst, Start: 8, Duration: 8, Value: 2})
		},
		"entry VMs are restarted in turn": func(p *Pattern) {
			for i, d := range p.Domains {
				p.Events = append(p.Events, Event{Kind: KillVMs, Start: 6 + 2*float64(i), Duration: 1, Domain: d.Name})
			}
		},
		"entry VMs are restarted again and again": func(p *Pattern) {
			for _, d := range p.Domains {
				for at := 7.0; at < 20; at += 1.5 {
					p.Events = append(p.Events, Event{Kind: KillVMs, Start: at, Duration: 0.2, Domain: d.Name, Share: 0.5})
				}
			}
		},
	}
	for name, change := range patterns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := limitPattern(t, change)
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					w := Run(p, Variant{Seed: seed}).WorstLimit
					t.Logf("%+v", w)
					if float64(w.Received) > w.Allowed {
						t.Errorf("%s got %d requests in %v, at most %.1f are allowed", w.Target, w.Received, limitWindow, w.Allowed)
					}
				})
			}
		})
	}
}
