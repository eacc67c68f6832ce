package load

import (
	"math"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// Attach returns the report to piggyback on a message of the given scope, or
// nil if there is nothing to report.
func (s *State) Attach(now clock.Time, scope Scope) *Report {
	r := &Report{Scope: scope}
	switch scope {
	case ScopeCollector:
		sum, ok := s.sum(now, &s.own)
		r.addAggregate(now, 0, &sum, ok)
	case ScopeMember:
		s.addDomain(now, r)
		s.addNearDomains(now, r)
		s.addInterest(now, r)
		s.addRotating(now, r, maxMemberRows, func(p *placeLoad) bool { return !s.isNearby(p.place) })
	case ScopePeer:
		sum, ok := s.groupSum(now)
		r.addAggregate(now, 0, &sum, ok)
		if ok {
			s.addRotating(now, r, maxPeerRows, func(p *placeLoad) bool { return now.Sub(p.receivedAt) < peerForwardTime })
		}
	case ScopeRegion:
		s.addDomain(now, r)
		s.addInterest(now, r)
		s.addRotating(now, r, maxRegionRows, func(p *placeLoad) bool { return !s.isNearby(p.place) })
	case ScopeOtherRegion:
		s.addRegion(now, r)
	}
	if len(r.Rows) == 0 {
		return nil
	}
	return r
}

func (r *Report) addAggregate(now clock.Time, place Place, p *aggregate, ok bool) {
	if !ok || len(r.Rows) >= MaxRows {
		return
	}
	r.addRow(Row{Place: place, Age: ageOf(now, p.measuredAt), SumAge: ageOf(now, p.summedAt)}, p.services)
}

// ageOf returns the age in ms, rounded up so that it is never understated.
func ageOf(now, at clock.Time) uint32 {
	ms := (now.Sub(at) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(ms, 0), math.MaxUint32))
}

func (s *State) addDomain(now clock.Time, r *Report) {
	sum, ok := s.domainSum(now)
	r.addAggregate(now, s.domain, &sum, ok)
}

func (s *State) addNearDomains(now clock.Time, r *Report) {
	for _, p := range s.nearDomains {
		sum, ok := s.loadOf(now, p)
		r.addAggregate(now, p, &sum, ok)
	}
}

func (s *State) addInterest(now clock.Time, r *Report) {
	for _, p := range s.interest {
		sum, ok := s.loadOf(now, p)
		r.addAggregate(now, p, &sum, ok)
	}
}

// addRegion adds the sum of this region to a report to another region and, in
// a small fleet, the sums of its domains.
func (s *State) addRegion(now clock.Time, r *Report) {
	sum, ok := s.regionSum(now)
	r.addAggregate(now, PlaceOfRegion(s.region), &sum, ok)
	if s.small {
		s.addDomain(now, r)
		s.addNearDomains(now, r)
	}
}

func (s *State) isNearby(p Place) bool {
	_, ok := slices.BinarySearch(s.nearDomains, p)
	return ok || p == s.domain
}

// addRotating adds up to n of the places that want accepts, round-robin over
// the reports of this scope.
func (s *State) addRotating(now clock.Time, r *Report, n int, want func(*placeLoad) bool) {
	first := s.nextRow[r.Scope]
	for i := range s.places {
		at := (first + i) % len(s.places)
		p := &s.places[at]
		if !want(p) || !s.isPlaceFresh(now, p) {
			continue
		}
		if n == 0 {
			s.nextRow[r.Scope] = at
			return
		}
		n--
		r.addAggregate(now, p.place, &p.aggregate, true)
	}
}
