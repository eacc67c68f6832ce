package ingress

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"testing"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/verdict"
)

// deadlyContents are the contents of requests in a simulated fleet, and the
// books on those that end targets.
type deadlyContents struct {
	last   uint64 // number of the latest content
	deadly quarantine.Fingerprint
	// deadlyOf of a thousand requests are the query of death, and knownOf are
	// one of known contents that come again and again.
	deadlyOf, knownOf, known int

	ends  int
	third clock.Time // when the third target ended under it; 0: not yet
	late  int        // sends of it that came too late
	// keptSince is when an innocent content was first refused for its quarantine
	// since its latest answer.
	keptSince map[quarantine.Fingerprint]clock.Time
	longest   time.Duration // that an innocent one was kept away
	refused   int           // innocent requests
}

// graceOfDeadly is how long after the third end of a target the fleet may take
// to keep a query of death away, and sendsOfDeadly how often it may reach
// targets after that.
const (
	graceOfDeadly = 4 * time.Second
	sendsOfDeadly = 3
)

// numberedContent is the content with a number.
func numberedContent(n uint64) quarantine.Fingerprint {
	var f quarantine.Fingerprint
	binary.BigEndian.PutUint64(f[:], n)
	return f
}

// drawContent draws the content of a request.
func (s *fleetSim) drawContent() quarantine.Fingerprint {
	c := &s.contents
	switch n := s.rng.IntN(1000); {
	case n < c.deadlyOf:
		return c.deadly
	case n < c.deadlyOf+c.knownOf:
		return numberedContent(uint64(1 + s.rng.IntN(c.known)))
	default:
		c.last++
		return numberedContent(1<<32 + c.last)
	}
}

func (c *deadlyContents) answered(f quarantine.Fingerprint) { delete(c.keptSince, f) }

// keptAway counts a refusal for a quarantine.
func (s *fleetSim) keptAway(q *simRequest, f Refusal) {
	c := &s.contents
	if f.Reason != verdict.ReasonQuarantined || q.content == c.deadly {
		return
	}
	c.refused++
	since, ok := c.keptSince[q.content]
	if !ok {
		if c.keptSince == nil {
			c.keptSince = make(map[quarantine.Fingerprint]clock.Time)
		}
		c.keptSince[q.content], since = s.now, s.now
	}
	c.longest = max(c.longest, s.now.Sub(since))
}

// reached counts a request that reaches a target.
func (s *fleetSim) reached(q *simRequest, t *simTarget) {
	c := &s.contents
	if q.content == c.deadly && c.third != 0 && s.now.After(c.third.Add(graceOfDeadly)) {
		c.late++
	}
}

// endTarget ends a start of t with all that it has. It starts again later.
func (s *fleetSim) endTarget(t *simTarget, born int64, deadly bool) {
	if t.Born != born || t.down {
		return
	}
	c := &s.contents
	if deadly {
		if c.ends++; c.ends == quarantine.MaxEnds {
			c.third = s.now
		}
	}
	t.down, t.running = true, 0
	var lost []simAttempt
	for a := range t.under {
		lost = append(lost, a)
	}
	slices.SortFunc(lost, func(a, b simAttempt) int {
		return cmp.Or(cmp.Compare(a.vm.id, b.vm.id), cmp.Compare(a.id, b.id))
	})
	for _, a := range lost {
		s.after(time.Millisecond, t.under[a])
	}
	clear(t.under)
	s.after(time.Duration(1000+s.rng.IntN(2000))*time.Millisecond, func() {
		t.down = false
		t.Born++
		s.all(&TargetsChanged{Set: []Target{t.Target}})
	})
}

// probe tells an entry VM whether a target listens; one in ten has no answer.
func (s *fleetSim) probe(vm *simVM, p Probe) {
	t := s.targets[p.Target]
	s.after(time.Duration(1+s.rng.IntN(5))*time.Millisecond, func() {
		found := ListeningYes
		switch {
		case s.rng.IntN(10) == 0:
			found = ListeningUnknown
		case t.down:
			found = ListeningNo
		}
		s.step(vm, &Probed{Target: p.Target, Born: p.Born, Listening: found})
	})
}

// keep carries a change of a quarantine through the store to all entry VMs.
func (s *fleetSim) keep(q *Quarantine) {
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

// checkDeadly holds the query of death to the bound on its sends.
func (s *fleetSim) checkDeadly() {
	if c := &s.contents; c.late > sendsOfDeadly {
		s.t.Fatalf("the query of death came to targets %d times after the third end and %v; %d targets ended under it", c.late, graceOfDeadly, c.ends)
	}
}

// A query of death ends targets for as long as its callers come, at any entry VM
// and beside any other trouble.
func TestRandomFleetKeepsQueriesOfDeathAway(t *testing.T) {
	ended, refused := 0, 0
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newFleetSim(t, seed)
			s.contents = deadlyContents{deadly: numberedContent(1 << 48), deadlyOf: 10 << (seed % 3), knownOf: 300, known: 20}
			s.loss = float64(seed%4) / 20
			for n := range 8 {
				s.startTarget(n)
			}
			for range 4000 {
				s.arrive()
				if s.rng.IntN(200) == 0 {
					if t := s.anyTarget(); t != nil {
						s.endTarget(t, t.Born, false)
					}
				}
				s.run(s.now.Add(time.Duration(s.rng.IntN(15)) * time.Millisecond))
			}
			s.run(s.now.Add(20 * time.Second))
			s.checkDeadly()
			ended += s.contents.ends
			refused += s.contents.refused
			if s.contents.ends == 0 {
				t.Fatal("nothing has ended under the query of death")
			}
		})
	}
	t.Logf("%d targets ended under queries of death, %d innocent requests were refused", ended, refused)
}

// boundOfInnocent is how long an innocent content that comes all the time may be
// kept away: until its first trial, and until it comes to the VM that lets
// trials through.
const boundOfInnocent = 20 * time.Second

// Targets that end for reasons of their own put requests into quarantine that
// have done nothing, as the same content is at each end by chance.
func TestInnocentRequestsLeaveQuarantine(t *testing.T) {
	refused := 0
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newFleetSim(t, seed)
			s.contents = deadlyContents{deadly: numberedContent(1 << 48), knownOf: 900, known: 5}
			s.loss = float64(seed%4) / 20
			for n := range 8 {
				s.startTarget(n)
			}
			for range 4000 {
				s.arrive()
				if s.rng.IntN(100) == 0 { // all at once, with what runs there
					for _, id := range s.targetIDs() {
						if t := s.targets[id]; s.rng.IntN(2) == 0 {
							s.endTarget(t, t.Born, false)
						}
					}
				}
				s.run(s.now.Add(time.Duration(s.rng.IntN(30)) * time.Millisecond))
			}
			if s.contents.longest > boundOfInnocent {
				t.Fatalf("an innocent content was kept away for %v", s.contents.longest)
			}
			refused += s.contents.refused
		})
	}
	t.Logf("%d innocent requests were refused", refused)
}

// startTarget starts a target of either service.
func (s *fleetSim) startTarget(n int) *simTarget {
	d := simDomains[n%len(simDomains)]
	t := &simTarget{region: simRegions[d], under: make(map[simAttempt]func()), Target: Target{
		ID: fleet.TargetID(fmt.Sprintf("t-%d", n)), Domain: d, Slots: 4, Born: 1,
		Service: fleet.ServiceName(fmt.Sprintf("s%d", 1+n/len(simDomains)%2)), Addr: "10.0.0.1:1",
	}}
	s.targets[t.ID] = t
	s.all(&TargetsChanged{Set: []Target{t.Target}})
	return t
}
