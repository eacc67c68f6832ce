package tally

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/shift"
)

// settleTime is how long it takes until all entry VMs have whole windows.
const settleTime = shift.CountWindow + 4*time.Second

// All entry VMs answer, the evidence is complete, and a plan advances on it.
func TestCompleteEvidenceAllowsAdvance(t *testing.T) {
	for _, size := range [][2]int{{6, 1}, {6, 2}, {4, 43}, {20, 3}} {
		t.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(1, size[0], size[1])
			n.run(settleTime)
			vms := len(n.vms)
			c := n.count()
			is.Equal(c.Missing, 0)
			is.True(c.Total >= uint64(99*vms)) // 10 requests a second for 10 s
			is.True(c.Demand() > 0.49*float64(vms) && c.Demand() < 0.52*float64(vms))
			e := n.leader.state.Evidence(n.now)
			is.Equal(len(e.Loads), size[0]/2)
			l := e.Loads[1]
			is.Equal(l.Region, fleet.Region("r1"))
			is.Equal(l.Capacity, float64(3*2*size[1]))
			is.Equal(l.InFlight, float64(2*size[1]))
			is.Equal(l.Missing, 0)
			is.True(l.P99 >= 50*time.Millisecond && l.P99 < 65*time.Millisecond)
			is.Equal(n.plan().Action, shift.Advance)
		})
	}
}

// While no shift moves traffic, nothing is sent and no timer runs.
func TestNoTrafficWithoutMovingShift(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 4, 3)
	n.catalogue = &catalogue.Catalogue{Revision: 2}
	for _, v := range n.vms {
		n.step(v, &Configured{Catalogue: n.catalogue})
	}
	n.run(3 * time.Second)
	n.messages = 0
	n.run(10 * time.Second)
	is.Equal(n.messages, 0)
	is.Equal(n.leader.out.WakeAt, clock.Never)
}

// An entry VM stops answering while membership still lists it as live. Guards
// against a step based on counts that lack it: the last complete round is used
// while it is fresh; then the plan holds, and the evidence gives the number of
// entry VMs missing.
func TestUnansweringVMIsCountedMissing(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 6, 2)
	n.run(settleTime)
	n.vms[9].dropsIncoming = true
	n.run(3 * time.Second)
	is.Equal(n.plan().Action, shift.Advance)
	n.run(5 * time.Second)
	is.Equal(n.plan().Reason.Code, shift.StaleMeasurement)
	seen := map[int]bool{}
	for range 4 {
		n.run(time.Second)
		seen[n.count().Missing] = true
	}
	is.Equal(seen, map[int]bool{1: true, 2: true}) // 2 in rounds where it is the head of its domain of two
	n.vms[9].dropsIncoming = false
	n.run(3 * time.Second)
	is.Equal(n.plan().Action, shift.Advance)
}

// All messages are lost. Guards against steps based on old evidence, which is
// kept as long as no answers arrive.
func TestEvidenceGoesStaleWithoutAnswers(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 6, 2)
	n.run(settleTime)
	n.loss = 1
	n.run(7 * time.Second)
	is.Equal(n.plan().Reason.Code, shift.StaleMeasurement)
	n.loss = 0
	n.run(3 * time.Second)
	is.Equal(n.plan().Action, shift.Advance)
}

// One entry VM gets the catalogue with a new shift late. Guards against taking
// its missing rows for no requests and no capacity, which would let the first
// step pass the cap. As the head of its domain it also leaves out the other
// VM's rows, since its catalogue lacks the flow.
func TestVMWithOldCatalogueIsCountedMissing(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 4, 2)
	late := n.vms[5]
	n.step(late, &Configured{Catalogue: &catalogue.Catalogue{Revision: 0}})
	n.run(settleTime)
	seen := map[[2]int]bool{}
	for range 4 {
		n.run(time.Second)
		seen[[2]int{n.count().Missing, n.leader.state.Evidence(n.now).Loads[1].Missing}] = true
	}
	is.Equal(seen, map[[2]int]bool{{1, 1}: true, {2, 2}: true})
	n.step(late, &Configured{Catalogue: n.catalogue})
	n.run(shift.CountWindow - 3*time.Second)
	is.Equal(n.count().Missing, 1) // it doesn't have a whole window yet
	is.Equal(n.leader.state.Evidence(n.now).Loads[1].Missing, 0)
	n.run(6 * time.Second)
	is.Equal(n.count().Missing, 0)
}

// The machines' clocks differ by hours. Guards against comparing instants of
// one machine with those of another, which would make old figures appear fresh
// or fresh ones old.
func TestClockOffsetsDoNotMatter(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 6, 2)
	for i, v := range n.vms {
		v.offset = time.Duration(i%5-2) * time.Hour
		n.startVM(v)
	}
	n.run(settleTime)
	is.Equal(n.count().Missing, 0)
	is.True(n.now.Sub(n.count().Until) < 4*time.Second)
	is.Equal(n.plan().Action, shift.Advance)
}

// Messages from one entry VM are delayed by 600 ms. Guards against dating
// figures by their arrival instead of their measurement, so that a step would
// be evaluated on figures from before it.
func TestAgesIncludeTransitTime(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 6, 1)
	n.run(settleTime)
	const delay = 600 * time.Millisecond
	for _, v := range n.vms[2:] {
		v.sendDelay = delay
		n.run(4 * time.Second)
		c := n.count()
		is.Equal(c.Missing, 0)
		sent := clock.Time(0) // end of the last window that v can have sent
		for _, s := range v.state.local.flows[0].intervals {
			if s.Until <= n.roundEnded.Add(-delay) {
				sent = s.Until
			}
		}
		is.True(c.Until <= sent)
		v.sendDelay = 0
	}
}

// A domain is unreachable for so long that it is no longer waited for, and
// returns. Guards against a step on the last figures without it, which would
// still count as complete.
func TestReturnedDomainInvalidatesEvidence(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 6, 2)
	n.run(settleTime)
	n.unreachable["d05"] = true
	n.announce()
	n.run(DefaultLostAfter + 4*time.Second)
	is.Equal(n.plan().Action, shift.Advance)
	delete(n.unreachable, "d05")
	n.announce()
	is.Equal(n.plan().Reason.Code, shift.StaleMeasurement)
	n.run(3 * time.Second)
	is.Equal(n.plan().Action, shift.Advance)
	is.True(n.count().Total >= uint64(99*len(n.vms)))
}

// The whole receiver region is lost while a shift runs. Guards against a shift
// into a dead region that never recedes: the counts lack the region's entry VMs
// permanently, and no plan acts on incomplete counts.
func TestLostReceiverRegionMakesShiftRecede(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 6, 2)
	n.run(settleTime)
	for _, v := range n.vms[4:8] {
		n.unreachable[v.vm.Domain] = true
	}
	n.announce()
	n.run(10 * time.Second)
	is.Equal(n.plan().Reason.Code, shift.StaleMeasurement) // the region may only be cut off briefly
	n.run(DefaultLostAfter - 8*time.Second)
	d := n.plan()
	is.Equal(d.Action, shift.Recede)
	is.Equal(d.Reason.Code, shift.ReceiverNotLive)
}

// The receiver's entry VMs have restarted and don't know their targets yet.
// Guards against taking missing figures for no capacity, which would make a
// shift recede from a healthy region.
func TestUnknownCapacityIsNotZeroCapacity(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 4, 2)
	n.run(settleTime)
	requireNoRecede := func(disturb func(i int, v *entryVM)) {
		for i, v := range n.vms[4:] {
			disturb(i, v)
		}
		for range 20 {
			n.run(time.Second)
			is.True(n.plan().Action != shift.Recede)
		}
		is.Equal(n.plan().Reason.Code, shift.StaleMeasurement)
	}
	requireNoRecede(func(_ int, v *entryVM) {
		v.reportsNoLoad = true
		n.startVM(v)
	})
	requireNoRecede(func(i int, v *entryVM) {
		v.reportsNoLoad, v.slots = i > 0, 0 // one reports that it has no capacity, the others nothing
	})
}

// All views of one fleet give the same candidate, though each lists all entry
// VMs of its own domain only. If the candidate is lost, the next one follows.
func TestAllViewsAgreeOnCandidate(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 6, 20)
	first := Candidates(n.views(n.vms[0]), 2)
	for _, v := range n.vms {
		is.Equal(Candidate(n.views(v)), first[0])
	}
	n.stopVM(n.byID[first[0]])
	for _, v := range n.vms {
		is.Equal(Candidate(n.views(v)), first[1])
	}
	is.Equal(Candidate([]member.DomainView{{Domain: "d0"}}), fleet.VMID(""))
}

// Messages that are inconsistent or out of bounds are refused.
func TestValidate(t *testing.T) {
	good := func() *Sum {
		return &Sum{Runner: "a", Live: 1, CountEndAge: 1, CountStartAge: 9,
			Counts: []CountRow{{VMs: 1, Total: 3, Moved: 1, Positions: []byte{0, 4, 3}}},
			Loads:  []LoadRow{{VMs: 1, Answers: 2, Failed: 1, Latencies: []byte{2}}},
		}
	}
	bad := map[string]func(*Sum){
		"runner":         func(s *Sum) { s.Runner = "" },
		"VMs of a load":  func(s *Sum) { s.Loads[0].VMs = 2 },
		"window":         func(s *Sum) { s.CountStartAge = 0 },
		"window age":     func(s *Sum) { s.CountStartAge = maxAge + 1 },
		"counts":         func(s *Sum) { s.Counts = make([]CountRow, MaxCounts+1) },
		"VMs of a count": func(s *Sum) { s.Counts[0].VMs = 2 },
		"moved":          func(s *Sum) { s.Counts[0].Moved = 4 },
		"positions":      func(s *Sum) { s.Counts[0].Positions = []byte{0, 99, 3} },
		"total":          func(s *Sum) { s.Counts[0].Positions = []byte{2} },
		"run of zeros": func(s *Sum) {
			s.Counts[0].Positions = []byte{0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 3}
		},
		"failed":    func(s *Sum) { s.Loads[0].Failed = 3 },
		"latencies": func(s *Sum) { s.Loads[0].Latencies = []byte{0x80} },
	}
	is := is.New(t)
	is.NoErr(good().Validate())
	for name, breakSum := range bad {
		s := good()
		breakSum(s)
		if s.Validate() == nil {
			t.Errorf("Validate accepted a sum with a wrong %q", name)
		}
	}
	is.True((&Ask{Runner: "a", Scope: ScopeRegion + 1}).Validate() != nil)
	is.True((&Ask{Runner: "a", Scope: ScopeVM, Members: []fleet.VMID{"b"}}).Validate() != nil)
	_, err := Body{Ask: &Ask{}, Sum: &Sum{}}.Message()
	is.True(err != nil)
}

// Rates cover the last whole intervals, and recording an answer allocates
// nothing.
func TestMeter(t *testing.T) {
	is := is.New(t)
	m := NewMeter(0)
	at := clock.Time(0)
	for i := range 1000 {
		at = at.Add(10 * time.Millisecond)
		latency := 10 * time.Millisecond
		if i%50 == 0 {
			latency = time.Second
		}
		m.RecordAnswer(at, testService, latency, i%20 != 0)
	}
	r := m.Rate(at, testService)
	is.Equal(r.Answers, uint32(100))
	is.Equal(r.Errors, catalogue.Share(500))
	is.True(r.P99 >= time.Second && r.P99 <= 1250*time.Millisecond)
	is.Equal(m.Rate(at.Add(10*time.Second), testService), Rate{})
	is.Equal(testing.AllocsPerRun(100, func() { m.RecordAnswer(at, testService, time.Second, true) }), 0.0)
	for b := 1; b < latencyBuckets-1; b++ {
		is.Equal(latencyBucket(bucketUpperBound(b)), b)
		is.Equal(latencyBucket(bucketUpperBound(b)+1), b+1)
	}
}

// A long-lived process has measured maxServices services that were then removed
// from the catalogue, and a new one is added. Guards against a meter without
// room for it: its load would be missing, and a shift would hold indefinitely.
func TestMeterForgetsRemovedServices(t *testing.T) {
	is := is.New(t)
	now := clock.Time(time.Hour)
	m := NewMeter(now)
	var samples []Sample
	for i := range maxServices {
		samples = append(samples, Sample{Service: fleet.ServiceName(fmt.Sprintf("old-%d", i)), Capacity: 1})
	}
	m.observe(now, samples)
	for range 2 * meterIntervals {
		now = now.Add(meterIntervalLength)
		m.observe(now, []Sample{{Service: testService, Capacity: 3}})
	}
	rows, ok := m.loads(now, []fleet.ServiceName{testService}, nil)
	is.True(ok)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Capacity, uint32(3))
}

// The runner has moved to another domain under its id, and a head with an older
// view asks it for figures in its own round. Guards against storing the answer
// to that Ask, the counts of one entry VM, as the whole round.
func TestAskForOwnRoundIsIgnored(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 6, 2)
	n.run(settleTime)
	total := n.count().Total
	is.True(total > 0)
	n.step(n.leader, &PeerMessage{From: n.vms[5].vm.ID, Msg: &Ask{Runner: n.leader.vm.ID, Round: 1, Scope: ScopeVM}})
	is.Equal(n.count().Total, total)
	is.Equal(n.count().Missing, 0)
}
