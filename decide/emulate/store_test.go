package emulate

import (
	"testing"
)

// returnPatterns are changes of small-region in which the store comes back from copies.
var returnPatterns = map[string]func(*Pattern){
	"targets drain before and after": func(p *Pattern) {
		p.Events = []Event{
			{Kind: DrainTargets, Start: 3.5, Duration: 5, Service: "read", Share: 0.2},
			{Kind: ReturnStore, Start: 5, Duration: 0.4, Value: 3},
			{Kind: DrainTargets, Start: 5.5, Duration: 5, Service: "post", Share: 0.2},
		}
	},
	"entry VMs are restarted in turn": func(p *Pattern) {
		p.Events = append(restartsInTurn(p, 0.5),
			Event{Kind: DrainTargets, Start: 6.5, Duration: 6, Share: 0.2},
			Event{Kind: ReturnStore, Start: 7.5, Duration: 0.4, Value: 2},
			Event{Kind: ReturnStore, Start: 12, Duration: 0.6, Value: 3})
	},
	"registrations lapse, a domain is evacuated": func(p *Pattern) {
		p.Events = []Event{
			{Kind: LapseRegistrations, Start: 4, Duration: 2.5, Share: 0.2},
			{Kind: Evacuate, Start: 4.5, Duration: 5, Domain: "b1"},
			{Kind: ReturnStore, Start: 5, Duration: 0.5, Value: 2},
			{Kind: RestartTargets, Start: 8, Duration: 1, Share: 0.1},
			{Kind: ReturnStore, Start: 9, Duration: 0.5, Value: 4},
		}
	},
	"cuts and a burst": func(p *Pattern) {
		p.Events = []Event{
			{Kind: CutVMs, Start: 4, Duration: 6, Share: 0.4},
			{Kind: DrainTargets, Start: 4.5, Duration: 6, Service: "read", Share: 0.2},
			{Kind: ReturnStore, Start: 6, Duration: 0.8, Value: 3},
			{Kind: Burst, Start: 7, Duration: 4, Value: 1.5},
		}
	},
}

// Guards against requests to targets that drain or are gone, after the store has come back
// from a copy from before their word.
func TestReturnsOfTheStoreLetTargetsDrain(t *testing.T) {
	for name, change := range returnPatterns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := smallRegion(t, change)
			for seed := range uint64(fewSeeds) {
				r := Run(p, Variant{Seed: seed})
				t.Logf("seed %d: worth %.4f, worst windows %.4f, %+v", seed, r.All.Worth(), r.WorstWindows(), r.Returns)
				if r.Returns.Returns == 0 || r.Returns.Late > 0 {
					t.Errorf("seed %d: %+v", seed, r.Returns)
				}
			}
		})
	}
}
