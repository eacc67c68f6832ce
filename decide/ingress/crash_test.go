package ingress

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"testing"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/verdict"
)

// crashContents draws the contents of requests in a simulated fleet, and records
// the effects of the one that crashes targets, the query of death.
type crashContents struct {
	last     uint64 // number of the latest content
	crashing quarantine.Fingerprint
	// Of a thousand requests, crashingPerMille are the query of death, and
	// knownPerMille have one of the known contents, which repeat.
	crashingPerMille, knownPerMille, known int

	crashes    int
	thirdCrash clock.Time // when the third target crashed; 0: not yet
	lateSends  int        // sends of the query of death after the grace period
	// refusedSince is when a harmless content was first refused for quarantine
	// since its latest answer.
	refusedSince   map[quarantine.Fingerprint]clock.Time
	longestRefusal time.Duration // of a harmless content
	refused        int           // harmless requests
}

// quarantineGrace is how long after the third crash of a target the fleet may take
// to quarantine a query of death, and maxSendsAfterGrace how often it may reach
// targets after that.
const (
	quarantineGrace    = 4 * time.Second
	maxSendsAfterGrace = 3
)

// numberedContent returns the fingerprint of a numbered content.
func numberedContent(n uint64) quarantine.Fingerprint {
	var f quarantine.Fingerprint
	binary.BigEndian.PutUint64(f[:], n)
	return f
}

// drawContent draws the content of a request.
func (s *fleetSim) drawContent() quarantine.Fingerprint {
	c := &s.contents
	switch n := s.rng.IntN(1000); {
	case n < c.crashingPerMille:
		return c.crashing
	case n < c.crashingPerMille+c.knownPerMille:
		return numberedContent(uint64(1 + s.rng.IntN(c.known)))
	default:
		c.last++
		return numberedContent(1<<32 + c.last)
	}
}

func (c *crashContents) answered(f quarantine.Fingerprint) { delete(c.refusedSince, f) }

// countRefusal records a refusal of a harmless content for quarantine.
func (s *fleetSim) countRefusal(q *simRequest, f Refusal) {
	c := &s.contents
	if f.Reason != verdict.ReasonQuarantined || q.content == c.crashing {
		return
	}
	c.refused++
	since, ok := c.refusedSince[q.content]
	if !ok {
		if c.refusedSince == nil {
			c.refusedSince = make(map[quarantine.Fingerprint]clock.Time)
		}
		c.refusedSince[q.content], since = s.now, s.now
	}
	c.longestRefusal = max(c.longestRefusal, s.now.Sub(since))
}

// countReached counts sends of the query of death that reach a target too late.
func (s *fleetSim) countReached(q *simRequest, t *simTarget) {
	c := &s.contents
	if q.content == c.crashing && c.thirdCrash != 0 && s.now.After(c.thirdCrash.Add(quarantineGrace)) {
		c.lateSends++
	}
}

// endTarget terminates an instance of t with all requests there, and restarts it
// later.
func (s *fleetSim) endTarget(t *simTarget, born int64, crashed bool) {
	if t.StartedAt != born || t.down {
		return
	}
	c := &s.contents
	if crashed {
		if c.crashes++; c.crashes == quarantine.QuarantineThreshold {
			c.thirdCrash = s.now
		}
	}
	t.down, t.running = true, 0
	var lost []simAttempt
	for a := range t.inFlight {
		lost = append(lost, a)
	}
	slices.SortFunc(lost, func(a, b simAttempt) int {
		return cmp.Or(cmp.Compare(a.vm.id, b.vm.id), cmp.Compare(a.id, b.id))
	})
	for _, a := range lost {
		s.after(time.Millisecond, t.inFlight[a])
	}
	clear(t.inFlight)
	s.after(time.Duration(1000+s.rng.IntN(2000))*time.Millisecond, func() {
		t.down = false
		t.StartedAt++
		s.stepAll(&TargetsChanged{Updated: []Target{t.Target}})
	})
}

// probe reports to an entry VM whether a target listens; one probe in ten gets no
// answer.
func (s *fleetSim) probe(vm *simVM, p Probe, rng *rand.Rand, result func(Listening) Event) {
	t := s.targets[p.Target]
	s.after(time.Duration(1+rng.IntN(5))*time.Millisecond, func() {
		found := ListeningYes
		switch {
		case s.linkless[vm.id]:
			found = []Listening{ListeningUnknown, ListeningNo}[rng.IntN(2)]
		case rng.IntN(10) == 0:
			found = ListeningUnknown
		case t.down:
			found = ListeningNo
		}
		s.step(vm, result(found))
	})
}

// storeQuarantine delivers a change of a quarantine through the store to all entry
// VMs.
func (s *fleetSim) storeQuarantine(q *Quarantine) {
	if !q.Keep && !q.Remove {
		return
	}
	rec := &q.Record
	ev := &QuarantineRead{Fingerprint: rec.Fingerprint}
	if q.Keep {
		kept := *rec
		ev.Record = &kept
	}
	for _, vm := range s.vms {
		s.after(time.Duration(50+s.rng.IntN(400))*time.Millisecond, func() { s.step(vm, ev) })
	}
}

// checkQuarantine checks the limit on late sends of the query of death.
func (s *fleetSim) checkQuarantine() {
	if c := &s.contents; c.lateSends > maxSendsAfterGrace {
		s.t.Fatalf("the query of death reached targets %d times later than %[2]v after the third crash; it crashed %[3]d targets", c.lateSends, quarantineGrace, c.crashes)
	}
}

// A query of death arrives at any entry VM, repeatedly and together with other
// failures.
func TestRandomFleetQuarantinesQueriesOfDeath(t *testing.T) {
	crashed, refused := 0, 0
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newFleetSim(t, seed)
			s.contents = crashContents{crashing: numberedContent(1 << 48), crashingPerMille: 10 << (seed % 3), knownPerMille: 300, known: 20}
			s.loss = float64(seed%4) / 20
			for n := range 8 {
				s.startTarget(n)
			}
			for range 4000 {
				s.arrive()
				if s.rng.IntN(200) == 0 {
					if t := s.anyTarget(); t != nil {
						s.endTarget(t, t.StartedAt, false)
					}
				}
				s.run(s.now.Add(time.Duration(s.rng.IntN(15)) * time.Millisecond))
			}
			s.run(s.now.Add(20 * time.Second))
			s.checkQuarantine()
			crashed += s.contents.crashes
			refused += s.contents.refused
			if s.contents.crashes == 0 {
				t.Fatal("the query of death has crashed no target")
			}
		})
	}
	t.Logf("queries of death crashed %d targets, %d harmless requests were refused", crashed, refused)
}

// maxHarmlessRefusal is how long a harmless content that arrives continuously may
// be refused: until its first trial is due, and until it arrives at the VM that
// admits trials.
const maxHarmlessRefusal = 20 * time.Second

// Targets that crash for other reasons put harmless requests into quarantine,
// because the same content is under way at each crash by chance.
func TestHarmlessRequestsLeaveQuarantine(t *testing.T) {
	refused := 0
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newFleetSim(t, seed)
			s.contents = crashContents{crashing: numberedContent(1 << 48), knownPerMille: 900, known: 5}
			s.loss = float64(seed%4) / 20
			for n := range 8 {
				s.startTarget(n)
			}
			for range 4000 {
				s.arrive()
				if s.rng.IntN(100) == 0 { // half of them at once, with their requests
					for _, id := range s.targetIDs() {
						if t := s.targets[id]; s.rng.IntN(2) == 0 {
							s.endTarget(t, t.StartedAt, false)
						}
					}
				}
				s.run(s.now.Add(time.Duration(s.rng.IntN(30)) * time.Millisecond))
			}
			if s.contents.longestRefusal > maxHarmlessRefusal {
				t.Fatalf("a harmless content was refused for %v", s.contents.longestRefusal)
			}
			refused += s.contents.refused
		})
	}
	t.Logf("%d harmless requests were refused", refused)
}

// startTarget starts a target of one of the two services.
func (s *fleetSim) startTarget(n int) *simTarget {
	d := simDomains[n%len(simDomains)]
	t := &simTarget{region: simRegions[d], inFlight: make(map[simAttempt]func()), Target: Target{
		ID: fleet.TargetID(fmt.Sprintf("t-%d", n)), Domain: d, Slots: 4, StartedAt: 1,
		Service: fleet.ServiceName(fmt.Sprintf("s%d", 1+n/len(simDomains)%2)), Addr: "10.0.0.1:1",
	}}
	s.targets[t.ID] = t
	s.stepAll(&TargetsChanged{Updated: []Target{t.Target}})
	return t
}
