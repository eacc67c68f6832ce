package emulate

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a pattern whose limit on second sends is ignored or out of range.
func TestHedgeLimitOfAPattern(t *testing.T) {
	is := is.New(t)
	p := smallRegion(t, func(p *Pattern) {
		p.HedgeLimit, p.Seconds = 0.2, 8
		p.Events = []Event{{Kind: SlowTargets, Start: 2, Duration: 6, Share: 0.15, Value: 3}}
	})
	sim := newSimulation(p, Variant{Seed: 1})
	sim.runUntil(sim.endTime())
	considered := 0
	for _, v := range sim.vms {
		for _, c := range v.reducer.Hedges() {
			considered += int(c.Sent)
			for _, n := range c.Withheld {
				considered += int(n)
			}
		}
	}
	is.True(considered > 0)
	p.HedgeLimit = 0.3
	is.True(errors.Is(p.Check(), ErrPattern))
}
