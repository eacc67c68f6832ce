package emulate

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against early refusals that cost answers, or more than the allowed change of a
// region's share, in a fleet whose requests have no accounts: half of the targets are
// replaced cold.
func TestAdmissionCostsNoAnswers(t *testing.T) {
	is := is.New(t)
	p := smallRegion(t, func(p *Pattern) {
		p.Events = []Event{{Kind: RestartTargets, Start: 6, Duration: 0.5, Share: 0.5}}
	})
	without := meanOf(p, 0, totalWorth)
	p.Admission = true
	with := meanOf(p, 0, totalWorth)
	t.Logf("worth %.3f with admission, %.3f without", with, without)
	is.True(with >= without-0.01)
	is.True(runSeeds(p, 1, 0)[0].WorstShift.Deviates <= 2)
}
