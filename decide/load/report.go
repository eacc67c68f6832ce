package load

import (
	"math"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Attach makes the report to piggyback on a message of the given scope; nil if
// there is nothing to report.
func (s *State) Attach(now clock.Time, scope Scope) *Report {
	r := &Report{Scope: scope}
	switch scope {
	case ScopeOwn:
		sum, ok := s.sum(now, &s.own)
		r.addPart(now, 0, &sum, ok)
	case ScopeMember:
		s.addDomain(now, r)
		s.addNear(now, r)
		s.addWanted(now, r)
		s.addTurns(now, r, memberRows, func(p *ofPlace) bool { return !s.nearby(p.place) })
	case ScopePeer:
		sum, ok := s.groupSum(now)
		r.addPart(now, 0, &sum, ok)
		if ok {
			s.addTurns(now, r, peerRows, func(p *ofPlace) bool { return now.Sub(p.direct) < peerFor })
		}
	case ScopeRegion:
		s.addDomain(now, r)
		s.addWanted(now, r)
		s.addTurns(now, r, regionRows, func(p *ofPlace) bool { return !s.nearby(p.place) })
	case ScopeFar:
		s.addRegion(now, r)
	}
	if len(r.Rows) == 0 {
		return nil
	}
	return r
}

func (r *Report) addPart(now clock.Time, place Place, p *part, ok bool) {
	if !ok || len(r.Rows) >= MaxRows {
		return
	}
	r.add(Row{Place: place, Age: ageOf(now, p.at), Made: ageOf(now, p.made)}, p.entries)
}

// ageOf rounds up, so that an age is never understated.
func ageOf(now, at clock.Time) uint32 {
	ms := (now.Sub(at) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(ms, 0), math.MaxUint32))
}

func (s *State) addDomain(now clock.Time, r *Report) {
	sum, ok := s.domainSum(now)
	r.addPart(now, s.domain, &sum, ok)
}

func (s *State) addNear(now clock.Time, r *Report) {
	for _, p := range s.near {
		sum, ok := s.placePart(now, p)
		r.addPart(now, p, &sum, ok)
	}
}

func (s *State) addWanted(now clock.Time, r *Report) {
	for _, p := range s.wanted {
		sum, ok := s.placePart(now, p)
		r.addPart(now, p, &sum, ok)
	}
}

// addRegion reports this region to another, and in a small fleet of its
// domains.
func (s *State) addRegion(now clock.Time, r *Report) {
	sum, ok := s.regionSum(now)
	r.addPart(now, PlaceOfRegion(s.region), &sum, ok)
	if s.small {
		s.addDomain(now, r)
		s.addNear(now, r)
	}
}

func (s *State) nearby(p Place) bool {
	_, ok := slices.BinarySearch(s.near, p)
	return ok || p == s.domain
}

// addTurns adds up to n of the places that want accepts, going on where the
// last report of this scope stopped.
func (s *State) addTurns(now clock.Time, r *Report, n int, want func(*ofPlace) bool) {
	from := s.turn[r.Scope]
	for i := range s.places {
		at := (from + i) % len(s.places)
		p := &s.places[at]
		if !want(p) || !s.freshPlace(now, p) {
			continue
		}
		if n == 0 {
			s.turn[r.Scope] = at
			return
		}
		n--
		r.addPart(now, p.place, &p.part, true)
	}
}
