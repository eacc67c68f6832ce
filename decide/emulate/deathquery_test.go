package emulate

import (
	"fmt"
	"testing"
)

// queryOfDeath returns a pattern in which a caller sends a query of death
// repeatedly.
func queryOfDeath(t *testing.T, change func(*Pattern)) *Pattern {
	return smallRegion(t, func(p *Pattern) {
		p.Events = []Event{{Kind: QueryOfDeath, Start: 4, Duration: 18, Service: "read", Domain: "a1"}}
		if change != nil {
			change(p)
		}
	})
}

// maxSendsAfterDetection is how often a query of death may reach targets after the
// fleet must have detected it.
const maxSendsAfterDetection = 3

// Guards against a request that crashes every target that executes it and is sent
// to one target after another, because each attempt of its caller looks new.
func TestQueryOfDeathIsKeptFromTargets(t *testing.T) {
	patterns := map[string]func(*Pattern){
		"one caller":            nil,
		"it comes very often":   func(p *Pattern) { p.Events[0].Value = 0.1 },
		"many callers send it":  func(p *Pattern) { p.Events[0].Callers = 12 },
		"it comes now and then": func(p *Pattern) { p.Events[0].Value = 3 },
		"little else comes": func(p *Pattern) {
			for i := range p.Domains {
				p.Domains[i].PerSecond = 2
			}
		},
		"callers of two regions": func(p *Pattern) {
			other := p.Events[0]
			other.Domain = "c1"
			p.Events = append(p.Events, other)
		},
		"entry VMs are restarted": func(p *Pattern) {
			p.Events = append(p.Events, Event{Kind: KillVMs, Start: 9, Duration: 1, Domain: "a1"})
		},
	}
	for name, change := range patterns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := queryOfDeath(t, change)
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					for _, d := range Run(p, Variant{Seed: seed}).DeathQueries {
						t.Logf("%+v", d)
						if d.Late > maxSendsAfterDetection {
							t.Errorf("%d sends reached targets %v or more after the third crash, at most %d are allowed", d.Late, DetectionGrace, maxSendsAfterDetection)
						}
					}
				})
			}
		})
	}
}
