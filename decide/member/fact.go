package member

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// queuedFact names a VM whose fact is to be piggybacked on sendsLeft more pings
// or acks.
type queuedFact struct {
	id        fleet.VMID
	sendsLeft int
}

// ageMillis returns the time since t in milliseconds, as sent on the wire.
func ageMillis(now, t clock.Time) uint32 {
	ms := now.Sub(t) / time.Millisecond
	return uint32(min(max(ms, 0), math.MaxUint32))
}

// timeFromAge converts a received age to an instant on the local clock.
func timeFromAge(now clock.Time, ms uint32) clock.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// factAbout returns the current fact about r, including its addresses if full.
func (s *State) factAbout(r *record, full bool) Fact {
	f := Fact{
		ID:          r.vm.ID,
		Incarnation: r.vm.Incarnation,
		Refutations: r.refutations,
	}
	switch {
	case r.dead():
		f.Status, f.Age = Dead, ageMillis(s.now, r.diedAt)
	case r.suspected():
		f.Status, f.Age = Suspected, ageMillis(s.now, r.suspectedAt)
	case r.vm.State == fleet.Leaving:
		f.Status = Leaving
	}
	if full {
		f.Site = r.vm.Site
		f.CallAddr = r.vm.CallAddr
		f.PeerAddr = r.vm.PeerAddr
		f.AdminAddr = r.vm.AdminAddr
	}
	return f
}

func (s *State) applyFacts(facts []Fact) {
	for i := range facts {
		s.applyFact(&facts[i])
	}
}

// applyFact merges a fact about a VM of the own domain.
func (s *State) applyFact(f *Fact) {
	if f.ID == s.self.vm.ID {
		s.applyFactAboutSelf(f)
		return
	}
	r := s.byID[f.ID]
	if r == nil {
		s.addMember(f)
		return
	}
	switch c := compareFact(f, r); {
	case c < 0:
		return
	case c > 0:
		s.replaceRecord(r, f)
	default:
		s.mergeStatus(r, f)
	}
}

// compareFact compares a fact with a record by incarnation, then refutations.
func compareFact(f *Fact, r *record) int {
	if c := cmp.Compare(f.Incarnation, r.vm.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(f.Refutations, r.refutations)
}

// addMember adds a VM that has no record yet. Facts without addresses are
// ignored, since the VM could not be contacted; a dead VM needs no record.
func (s *State) addMember(f *Fact) {
	if f.Status == Dead || f.PeerAddr == "" {
		return
	}
	r := &record{rank: rank(f.ID), vm: fleet.VM{
		ID:     f.ID,
		Region: s.self.vm.Region,
		Domain: s.self.vm.Domain,
	}}
	at, _ := slices.BinarySearchFunc(s.members, r, compareRecords)
	s.members = slices.Insert(s.members, at, r)
	s.byID[f.ID] = r
	r.lastHeard = s.now
	s.replaceRecord(r, f)
}

// replaceRecord overwrites r with a fact of a higher incarnation or refutation
// count.
func (s *State) replaceRecord(r *record, f *Fact) {
	wasDead := r.dead()
	r.vm.Incarnation = f.Incarnation
	r.refutations = f.Refutations
	r.suspectedAt = 0
	if f.PeerAddr != "" {
		r.vm.Site = f.Site
		r.vm.CallAddr = f.CallAddr
		r.vm.PeerAddr = f.PeerAddr
		r.vm.AdminAddr = f.AdminAddr
	}
	if wasDead {
		r.lastHeard = s.now
	}
	r.vm.State = fleet.Live
	switch f.Status {
	case Suspected:
		r.suspectedAt = timeFromAge(s.now, f.Age)
	case Leaving:
		r.vm.State = fleet.Leaving
	case Dead:
		s.markDead(r, timeFromAge(s.now, f.Age))
	}
	s.membersChanged()
	s.enqueueFact(r.vm.ID)
}

// mergeStatus merges a fact with the incarnation and refutation count of r.
func (s *State) mergeStatus(r *record, f *Fact) {
	if r.dead() {
		return
	}
	switch f.Status {
	case Suspected:
		if !r.suspected() {
			s.markSuspected(r, timeFromAge(s.now, f.Age))
		}
	case Leaving:
		if r.vm.State == fleet.Live {
			r.vm.State = fleet.Leaving
			s.membersChanged()
			s.enqueueFact(r.vm.ID)
		}
	case Dead:
		s.applyDeadFact(r, f)
	}
}

// applyDeadFact applies another VM's fact that r is dead, unless r has sent a
// message within recentlyHeardWithin. A VM heard from is suspected and probed
// instead. Without that check, after a partition heals, the facts of a side
// that still records the other side as dead would drop live VMs until each of
// them has refuted.
func (s *State) applyDeadFact(r *record, f *Fact) {
	if s.now.Sub(r.lastHeard) > recentlyHeardWithin {
		s.markDead(r, timeFromAge(s.now, f.Age))
		return
	}
	if !r.suspected() {
		s.markSuspected(r, s.now)
		s.probeSoon(r.vm.ID)
	}
}

func (s *State) markSuspected(r *record, t clock.Time) {
	r.suspectedAt = t
	s.enqueueFact(r.vm.ID)
}

func (s *State) markDead(r *record, t clock.Time) {
	r.vm.State = fleet.Dead
	r.suspectedAt = 0
	r.diedAt = t
	s.membersChanged()
	s.enqueueFact(r.vm.ID)
}

// applyFactAboutSelf handles a fact about this VM. It refutes one that reports
// the VM as suspected or dead, or that has a higher refutation count.
func (s *State) applyFactAboutSelf(f *Fact) {
	own := s.self
	if f.Incarnation > own.vm.Incarnation {
		s.handleHigherIncarnation(f)
		return
	}
	if f.Incarnation < own.vm.Incarnation || f.Refutations < own.refutations {
		return
	}
	wrong := f.Status == Suspected || f.Status == Dead
	if !wrong && f.Refutations == own.refutations {
		return
	}
	own.refutations = f.Refutations + 1
	s.membersChanged()
	s.enqueueFact(own.vm.ID)
	if s.now.Sub(s.lastRefuted) >= minRefuteInterval {
		s.lastRefuted = s.now
		s.broadcast(s.factAbout(own, true))
	}
}

// handleHigherIncarnation handles a fact with this VM's id and a higher
// incarnation. While joining, the fact is about an earlier process whose clock
// was ahead, so this process takes a higher incarnation. Later, it is about a
// newer process, and this one must stop.
func (s *State) handleHigherIncarnation(f *Fact) {
	if s.joined {
		s.superseded = s.superseded || f.Status != Dead
		return
	}
	s.self.vm.Incarnation = f.Incarnation + 1
	s.self.refutations = 0
	s.enqueueFact(s.self.vm.ID)
}

// suspect starts and broadcasts a suspicion of r after this VM's own probe
// failed.
func (s *State) suspect(r *record) {
	if r.dead() || r.suspected() {
		return
	}
	s.markSuspected(r, s.now)
	s.broadcast(s.factAbout(r, false))
}

// expireSuspicions marks as dead every suspect that has not refuted in time.
// Every member does so by its own timer, so no further message is needed.
func (s *State) expireSuspicions() {
	for _, r := range s.members {
		if r.suspected() && r.suspectedAt.Add(s.opts.SuspectFor) <= s.now {
			s.markDead(r, s.now)
		}
	}
}

// expireTombstones removes the records of dead VMs once no late fact about them
// can arrive.
func (s *State) expireTombstones() {
	keep := s.members[:0]
	for _, r := range s.members {
		if r.dead() && r.diedAt.Add(tombstoneTTL) <= s.now {
			delete(s.byID, r.vm.ID)
			continue
		}
		keep = append(keep, r)
	}
	clear(s.members[len(keep):])
	s.members = keep
}

// enqueueFact queues the fact about id to be piggybacked on pings and acks. The
// number of sends grows with the logarithm of the number of members.
func (s *State) enqueueFact(id fleet.VMID) {
	left := piggybackFactor * bits.Len(uint(len(s.members)))
	for i := range s.piggyback {
		if s.piggyback[i].id == id {
			s.piggyback[i].sendsLeft = left
			return
		}
	}
	s.piggyback = append(s.piggyback, queuedFact{id: id, sendsLeft: left})
}

// takeFacts returns the facts to piggyback on one message, least often sent
// first. A fact that the receiver may have to refute is always included.
func (s *State) takeFacts(receiver fleet.VMID) []Fact {
	var out []Fact
	if r := s.byID[receiver]; r != nil && (r.dead() || r.suspected()) {
		out = append(out, s.factAbout(r, false))
	}
	if len(s.piggyback) == 0 {
		return out
	}
	slices.SortStableFunc(s.piggyback, func(a, b queuedFact) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	for i := range s.piggyback[:min(maxPiggybackedFacts, len(s.piggyback))] {
		s.piggyback[i].sendsLeft--
		if r := s.byID[s.piggyback[i].id]; r != nil {
			out = append(out, s.factAbout(r, !r.dead() && !r.suspected()))
		}
	}
	s.piggyback = slices.DeleteFunc(s.piggyback, func(g queuedFact) bool { return g.sendsLeft <= 0 })
	return out
}

// memberHash returns a hash of the table of members. It leaves out suspicions,
// which are short-lived, and dead VMs.
func (s *State) memberHash() uint32 {
	var h uint64
	for _, r := range s.members {
		if r.dead() {
			continue
		}
		v := r.rank ^ uint64(r.vm.Incarnation)*fnvPrime
		v ^= uint64(r.refutations)<<8 | uint64(r.vm.State)
		h ^= mix(v)
	}
	return uint32(h)
}

func (s *State) liveMembers() int {
	n := 0
	for _, r := range s.members {
		if r.vm.State == fleet.Live {
			n++
		}
	}
	return n
}
