package emulate

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// leavingPatterns and backoffPatterns are changes of small-region in which targets
// state notices, alone and beside other faults.
var (
	leavingPatterns = map[string]func(*Pattern){
		"a few targets": func(p *Pattern) {
			p.Events = []Event{{Kind: LeaveTargets, Start: 4, Duration: 8, Service: "read", Share: 0.15}}
		},
		"half of the targets": func(p *Pattern) {
			p.Events = []Event{{Kind: LeaveTargets, Start: 4, Duration: 8, Service: "read", Share: 0.5}}
		},
		"entry VMs are restarted in turn": func(p *Pattern) {
			p.Events = append(restartsInTurn(p, 0), Event{Kind: LeaveTargets, Start: 4, Duration: 14, Service: "read", Share: 0.3})
		},
		"backoffs, cuts and a burst": bothBesideCuts,
	}
	backoffPatterns = map[string]func(*Pattern){
		"a few targets": func(p *Pattern) {
			p.Events = []Event{{Kind: BackoffTargets, Start: 4, Duration: 12, Service: "read", Share: 0.15, Value: 3}}
		},
		"half of the targets": func(p *Pattern) {
			p.Events = []Event{{Kind: BackoffTargets, Start: 4, Duration: 12, Service: "read", Share: 0.5, Value: 3}}
		},
		"all targets": func(p *Pattern) {
			p.Events = []Event{{Kind: BackoffTargets, Start: 4, Duration: 5, Value: 3}}
		},
		"a failure domain": func(p *Pattern) {
			p.Events = []Event{{Kind: BackoffTargets, Start: 4, Duration: 5, Domain: "b1", Value: 2.5}}
		},
		"entry VMs are restarted in turn": func(p *Pattern) {
			p.Events = append(restartsInTurn(p, 0.5), Event{Kind: BackoffTargets, Start: 4, Duration: 16, Service: "read", Share: 0.3, Value: 3})
		},
		"targets leave, cuts and a burst": bothBesideCuts,
	}
)

// restartsInTurn restarts a share of the entry VMs of each failure domain, one domain
// after the other.
func restartsInTurn(p *Pattern, share float64) []Event {
	var events []Event
	for i, d := range p.Domains {
		events = append(events, Event{Kind: KillVMs, Start: 6 + 2*float64(i), Duration: 1, Domain: d.Name, Share: share})
	}
	return events
}

func bothBesideCuts(p *Pattern) {
	p.Events = []Event{
		{Kind: LeaveTargets, Start: 4, Duration: 14, Service: "read", Share: 0.2},
		{Kind: BackoffTargets, Start: 5, Duration: 12, Share: 0.4, Value: 2},
		{Kind: CutVMs, Start: 6, Duration: 5, Share: 0.5},
		{Kind: Burst, Start: 8, Duration: 6, Value: 2},
	}
}

// eachNoticeRun runs the patterns with a few seeds.
func eachNoticeRun(t *testing.T, patterns map[string]func(*Pattern), check func(*testing.T, NoticeCounts)) {
	for name, change := range patterns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := smallRegion(t, change)
			for seed := range uint64(fewSeeds) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					r := Run(p, Variant{Seed: seed})
					t.Logf("worth %.4f, %+v", r.All.Worth(), r.Notices)
					check(t, r.Notices)
				})
			}
		})
	}
}

// Guards against requests that an entry VM sends to a target after the target has
// told it that it is leaving.
func TestTargetsThatLeaveGetNoRequests(t *testing.T) {
	eachNoticeRun(t, leavingPatterns, func(t *testing.T, n NoticeCounts) {
		if n.Leaving == 0 {
			t.Error("no target has stated that it is leaving")
		}
		if n.AfterLeaving > 0 {
			t.Errorf("%d requests reached targets after these had told the VM that they leave", n.AfterLeaving)
		}
	})
}

// Guards against requests that an entry VM sends to a target within the time for
// which the target has asked it for none.
func TestTargetsInABackoffGetNoRequests(t *testing.T) {
	const most = 2 // requests to one target from one VM, as operators allow
	eachNoticeRun(t, backoffPatterns, func(t *testing.T, n NoticeCounts) {
		if n.Backoffs == 0 {
			t.Error("no target has asked for a backoff")
		}
		if n.InBackoff > most {
			t.Errorf("a target got %d requests of one VM in a backoff, at most %d are allowed", n.InBackoff, most)
		}
	})
}

// noticeSite is randomSite(seed) with targets that state notices in addition to the
// site's own events.
func noticeSite(seed uint64) *Pattern {
	p := randomSite(seed)
	d := draw{rand.New(rand.NewPCG(seed, 49))}
	for range 1 + d.IntN(3) {
		e := Event{Kind: LeaveTargets, Start: d.between(0.5, 4), Duration: d.between(0.5, 4), Share: d.between(0.1, 0.6)}
		if d.IntN(2) == 0 {
			e.Kind, e.Value = BackoffTargets, d.between(0.6, 3)
		}
		p.Events = append(p.Events, e)
	}
	return p
}

// Guards against notices that are followed on the known deployments only, or beside
// some faults only. The deployments, loads and faults are random.
func TestNoticesAreFollowedOnRandomSites(t *testing.T) {
	const most = 2 // requests in a backoff, as operators allow
	stated := 0
	results := make([]*Result, 40)
	parallel(len(results), func(i int) { results[i] = Run(noticeSite(uint64(i)), Variant{Seed: 1}) })
	for i, r := range results {
		n := r.Notices
		stated += n.Leaving + n.Backoffs
		if n.AfterLeaving > 0 || n.InBackoff > most {
			t.Errorf("site %d: %+v", i, n)
		}
	}
	if stated == 0 {
		t.Error("no target has stated a notice")
	}
}
