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
					checkLimits(t, p, seed)
				})
			}
		})
	}
}

// checkLimits runs p and checks that no target gets more than its limit allows.
func checkLimits(t *testing.T, p *Pattern, seed uint64) {
	r := Run(p, Variant{Seed: seed})
	w := r.WorstLimit
	t.Logf("worth %.4f, %+v", r.All.Worth(), w)
	if w.Target == "" {
		t.Error("no target has stated a limit")
	}
	if float64(w.Received) > w.Allowed {
		t.Errorf("%s got %d requests in %v, at most %.1f are allowed", w.Target, w.Received, limitWindow, w.Allowed)
	}
}

// checkGrownLimits runs grown-region with targets that state limits and the events of
// each pattern, beside three times the load.
func checkGrownLimits(t *testing.T, patterns map[string][]Event) {
	for name, events := range patterns {
		for _, perSecond := range []float64{0.4, 1, 4.8} {
			t.Run(fmt.Sprintf("%s, limit %v", name, perSecond), func(t *testing.T) {
				t.Parallel()
				p := readPattern(t, "grown-region", func(p *Pattern) {
					p.Events = append([]Event{
						{Kind: LimitTargets, Start: 2, Duration: 18, Service: "read", Share: 0.15, Value: perSecond},
						{Kind: Burst, Start: 8, Duration: 12, Value: 3},
					}, events...)
				})
				checkLimits(t, p, 0)
			})
		}
	}
}

// Guards against limits that are exceeded by VMs which become the coordinator one after
// the other, while each VM learns of the list of entry VMs at a time of its own.
func TestRateLimitsAreKeptWhileCoordinatorsChange(t *testing.T) {
	const pause = 0.7 // between the kills, in seconds
	for _, perSecond := range []float64{0.4, 4.8} {
		t.Run(fmt.Sprintf("limit %v", perSecond), func(t *testing.T) {
			t.Parallel()
			p := readPattern(t, "grown-region", func(p *Pattern) {
				p.Members = &Members{LeaseSeconds: 3, LearnSeconds: 0.8}
				p.Events = []Event{
					{Kind: LimitTargets, Start: 2, Duration: 18, Service: "read", Share: 0.5, Value: perSecond},
					{Kind: Burst, Start: 8, Duration: 12, Value: 3},
				}
				for n, at := 0, 8.0; at < 20; n, at = n+1, at+pause {
					d := p.Domains[n%len(p.Domains)].Name
					p.Events = append(p.Events, Event{Kind: KillVMs, Start: at, Duration: 0.6, Domain: d, Share: 0.25})
				}
			})
			checkLimits(t, p, 0)
		})
	}
}

// every returns an event that comes again and again from 8 to 20 s.
func every(pause float64, e Event) []Event {
	var list []Event
	for e.Start = 8; e.Start < 20; e.Start += pause {
		list = append(list, e)
	}
	return list
}

// Guards against a limit that is forgotten with the registration of its target: a
// registration that lapses while the store is in trouble, or the target is cut off
// from it, returns although the target is still the same instance.
func TestRateLimitsOutliveRegistrations(t *testing.T) {
	checkGrownLimits(t, map[string][]Event{
		"short lapses": every(1.1, Event{Kind: LapseRegistrations, Duration: 0.2, Service: "read", Share: 0.15}),
		"long lapses":  every(4, Event{Kind: LapseRegistrations, Duration: 2, Service: "read", Share: 0.15}),
	})
}

// Guards against limits that are exceeded by several entry VMs together, while they
// cannot exchange messages or have just started.
func TestRateLimitsAreKeptBesideCutsAndRestarts(t *testing.T) {
	checkGrownLimits(t, map[string][]Event{
		"half of the VMs are cut off": {{Kind: CutVMs, Start: 8, Duration: 8, Share: 0.5}},
		"half of the VMs are killed":  every(2, Event{Kind: KillVMs, Duration: 0.5, Share: 0.5}),
		"all VMs are killed":          every(4, Event{Kind: KillVMs, Duration: 0.5}),
	})
}
