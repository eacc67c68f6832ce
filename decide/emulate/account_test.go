package emulate

import (
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/ingress"
)

// accountPattern returns the pattern of regional peaks with a part of its load, for a
// shorter time and without its events.
func accountPattern(t *testing.T, change func(*Pattern)) *Pattern {
	t.Helper()
	return readPattern(t, "regional-peaks", func(p *Pattern) {
		p.Seconds, p.Events = 14, nil
		for i := range p.Domains {
			d := &p.Domains[i]
			d.PerSecond, d.VMs = 150, d.VMs/2
		}
		for i := range p.Accounts {
			a := &p.Accounts[i]
			a.PerSecond, a.Burst = a.PerSecond*150/333, a.Burst*150/333
		}
		if change != nil {
			change(p)
		}
	})
}

// Guards against an account beyond its quota: while it sends several times its quota,
// a third of the entry VMs is cut off, others restart, all restart at once, and its
// quota is lowered to a tenth.
func TestQuotasHoldInTheFleet(t *testing.T) {
	is := is.New(t)
	p := accountPattern(t, func(p *Pattern) {
		p.Events = []Event{
			{Kind: HotAccount, Start: 0, Duration: 14, Value: 600, Account: "n00"},
			{Kind: HotAccount, Start: 2, Duration: 8, Value: 60, Account: "n60"},
			{Kind: CutVMs, Start: 1, Duration: 6, Share: 0.35},
			{Kind: KillVMs, Start: 4, Duration: 0.6, Share: 0.2},
			{Kind: KillVMs, Start: 8, Duration: 0.5},
			{Kind: LowerQuota, Start: 3, Duration: 5, Value: 0.1, Account: "n00"},
		}
	})
	results := runSeeds(p, fewSeeds, 0)
	for _, r := range results {
		t.Logf("seed %d: %+v", r.Seed, r.WorstQuota)
		is.True(r.WorstQuota.Beyond() <= 0)
	}
	is.True(runSeeds(p, 1, ingress.Quotas)[0].WorstQuota.Beyond() > 0) // the pattern asks for more
}

// Guards against refusals of accounts within their quotas: their requests arrive
// thinly at many entry VMs, and a coordinator has a part of the tokens only.
func TestAccountsWithinTheirQuotasAreServed(t *testing.T) {
	const filled = 3 // the window from which the buckets of new processes have filled
	is := is.New(t)
	p := accountPattern(t, func(p *Pattern) {
		for i := range p.Domains {
			p.Domains[i].Wave = nil // accounts of one region exceed their quotas at its peak
		}
	})
	refusals := func(r *Result) (refused, asked int) {
		for _, w := range r.Windows[filled:] {
			refused, asked = refused+w.Refused, asked+w.Asked
		}
		return refused, asked
	}
	for _, r := range runSeeds(p, fewSeeds, 0) {
		refused, asked := refusals(r)
		t.Logf("seed %d: %d refusals of %d requests, %v with those at the start", r.Seed, refused, asked, r.Refusals)
		is.True(refused*1000 <= asked)
	}
	refused, asked := refusals(runSeeds(p, 1, ingress.TokenTransfers)[0])
	t.Logf("without transfers of tokens: %d refusals of %d requests", refused, asked)
	is.True(refused*10 > asked)
}
