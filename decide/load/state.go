package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

const (
	// maxSmallFleet is the number of domains up to which the domains of other
	// regions are reported one by one. Above it they are reported as one sum
	// per region.
	maxSmallFleet = 16
	// maxMemberRows bounds the rows of places outside the region that one
	// answer to a VM carries; they are sent in rotation.
	maxMemberRows = 2
	// maxPeerRows and maxRegionRows bound the forwarded rows in a report to
	// another representative of the domain, and to another domain of the
	// region.
	maxPeerRows   = 6
	maxRegionRows = 1
	// peerForwardTime is how long a representative forwards to the others what
	// it received itself: somewhat longer than the time between two exchanges.
	peerForwardTime = 6 * time.Second
)

// aggregate holds figures of services, the instant at which the oldest of them
// was measured, and that at which they were summed up.
type aggregate struct {
	measuredAt clock.Time
	summedAt   clock.Time
	services   []serviceLoad // in order of service
}

type vmLoad struct {
	id fleet.VMID
	aggregate
}

type placeLoad struct {
	place Place
	aggregate
	receivedAt clock.Time // when it came from outside the domain, so that other representatives may lack it; 0: from inside
}

// State is the load as one entry VM knows it. It isn't safe for concurrent
// use.
type State struct {
	opts   Options
	id     fleet.VMID
	region fleet.Region
	domain Place
	own    aggregate

	representative bool
	small          bool
	group          []vmLoad    // VMs that this one collects from, in order of id
	peers          []vmLoad    // sums of the other representatives' groups, in order of id
	places         []placeLoad // in order of place
	interest       []Place     // regions of interest
	nearDomains    []Place     // other domains of the own region, in order
	nextRow        [ScopeOtherRegion + 1]int
}

// New returns the state of the entry VM self.
func New(self fleet.VM, o Options) *State {
	return &State{
		opts:   o.withDefaults(),
		id:     self.ID,
		region: self.Region,
		domain: PlaceOfDomain(self.Domain),
	}
}

// Step processes one event.
func (s *State) Step(now clock.Time, ev Event) {
	switch e := ev.(type) {
	case *Measured:
		s.measured(now, e.Samples)
	case *Received:
		s.received(now, e)
	case *Membership:
		s.setFleet(e)
	}
}

func (s *State) measured(now clock.Time, samples []Sample) {
	s.own = aggregate{measuredAt: now, summedAt: now}
	for _, m := range samples[:min(len(samples), MaxServices)] {
		s.own.services = append(s.own.services, serviceLoad{
			service:  serviceKey(m.Service),
			inFlight: m.InFlight,
			queued:   m.Queued,
			slots:    m.Slots,
			capacity: m.Capacity,
			rate:     m.Rate,
			errors:   m.Errors,
			p99:      bucketOf(m.P99),
		})
	}
	slices.SortFunc(s.own.services, compareServices)
}

func serviceKey(n fleet.ServiceName) uint32 { return hash("service:", string(n)) }

// setFleet drops the figures of VMs that this one no longer collects: a VM
// that moved to another representative would be counted twice.
func (s *State) setFleet(f *Membership) {
	s.representative = f.Representative
	s.small = len(f.Domains) <= maxSmallFleet
	s.group = slices.DeleteFunc(s.group, func(v vmLoad) bool { return !slices.Contains(f.Group, v.id) })
	s.peers = slices.DeleteFunc(s.peers, func(v vmLoad) bool { return !slices.Contains(f.Peers, v.id) })
	for _, id := range f.Group {
		s.addToGroup(id)
	}
	s.nearDomains = s.nearDomains[:0]
	for _, d := range f.Domains {
		if p := PlaceOfDomain(d.Domain); d.Region == s.region && p != s.domain {
			s.nearDomains = append(s.nearDomains, p)
		}
	}
	slices.Sort(s.nearDomains)
	s.interest = s.interest[:0]
	for _, r := range f.Interest {
		s.interest = append(s.interest, PlaceOfRegion(r))
	}
}

func findVM(vs []vmLoad, id fleet.VMID) (int, bool) {
	return slices.BinarySearchFunc(vs, id, func(v vmLoad, id fleet.VMID) int {
		return cmp.Compare(v.id, id)
	})
}

// addToGroup adds a VM to the group; its figures stay unknown until it
// reports.
func (s *State) addToGroup(id fleet.VMID) {
	if id == s.id {
		return
	}
	at, ok := findVM(s.group, id)
	if !ok {
		s.group = slices.Insert(s.group, at, vmLoad{id: id})
	}
}

func (s *State) received(now clock.Time, e *Received) {
	for i := range e.Report.Rows {
		row := &e.Report.Rows[i]
		p := aggregate{
			measuredAt: s.toInstant(now, row.Age),
			summedAt:   s.toInstant(now, row.SumAge),
			services:   e.Report.serviceLoads(row),
		}
		switch {
		case e.Report.Scope == ScopeCollector && i == 0:
			s.storeGroupReport(e.From, p)
		case e.Report.Scope == ScopePeer && i == 0:
			s.storePeerSum(e.From, p)
		default:
			s.storePlace(now, row.Place, p, e.Report.Scope)
		}
	}
}

// toInstant converts a received age to an instant on the own clock.
func (s *State) toInstant(now clock.Time, ms uint32) clock.Time {
	return now.Add(-time.Duration(ms)*time.Millisecond - s.opts.Transit)
}

func (s *State) storeGroupReport(id fleet.VMID, p aggregate) {
	if at, ok := findVM(s.group, id); ok && p.summedAt > s.group[at].summedAt {
		s.group[at].aggregate = p
	}
}

func (s *State) storePeerSum(id fleet.VMID, p aggregate) {
	at, ok := findVM(s.peers, id)
	if !ok {
		s.peers = slices.Insert(s.peers, at, vmLoad{id: id})
	}
	if p.summedAt > s.peers[at].summedAt {
		s.peers[at].aggregate = p
	}
}

func (s *State) findPlace(p Place) (int, bool) {
	return slices.BinarySearchFunc(s.places, p, func(o placeLoad, p Place) int {
		return cmp.Compare(o.place, p)
	})
}

// maxPlaces bounds the places that peers can make this VM keep: all domains
// and regions.
const maxPlaces = 512

func (s *State) storePlace(now clock.Time, place Place, p aggregate, scope Scope) {
	if s.representative && place == s.domain {
		return // the own sum is fresher than a forwarded copy of it
	}
	at, ok := s.findPlace(place)
	if !ok {
		if at, ok = s.addPlace(now, place); !ok {
			return
		}
	}
	if p.summedAt <= s.places[at].summedAt {
		return
	}
	s.places[at] = placeLoad{place: place, aggregate: p}
	if scope == ScopeRegion || scope == ScopeOtherRegion {
		s.places[at].receivedAt = now
	}
}

// addPlace returns the index of a new place; false if there are too many.
func (s *State) addPlace(now clock.Time, place Place) (int, bool) {
	if len(s.places) >= maxPlaces {
		s.dropExpired(now)
	}
	if len(s.places) >= maxPlaces {
		return 0, false
	}
	at, _ := s.findPlace(place)
	s.places = slices.Insert(s.places, at, placeLoad{place: place})
	return at, true
}

// dropExpired removes the places whose figures have expired. Otherwise the
// places of former domains would fill the list of a long-lived process, and
// the load of new ones would stay unknown.
func (s *State) dropExpired(now clock.Time) {
	s.places = slices.DeleteFunc(s.places, func(p placeLoad) bool { return !s.isPlaceFresh(now, &p) })
}

func (s *State) isFresh(now clock.Time, p *aggregate) bool {
	return p.measuredAt != 0 && now.Sub(p.measuredAt) <= s.opts.Expire
}

// sum adds up the parts that are known. It reports false if none is.
func (s *State) sum(now clock.Time, parts ...*aggregate) (aggregate, bool) {
	total := aggregate{measuredAt: clock.Never, summedAt: now}
	for _, p := range parts {
		if !s.isFresh(now, p) {
			continue
		}
		total.measuredAt = clock.Min(total.measuredAt, p.measuredAt)
		for i := range p.services {
			total.add(&p.services[i])
		}
	}
	return total, total.measuredAt != clock.Never
}

func (p *aggregate) add(e *serviceLoad) {
	at, ok := slices.BinarySearchFunc(p.services, *e, compareServices)
	if ok {
		p.services[at].add(e)
		return
	}
	p.services = slices.Insert(p.services, at, *e)
}

// groupSum returns the load of this VM and of those that it collects from.
func (s *State) groupSum(now clock.Time) (aggregate, bool) {
	parts := []*aggregate{&s.own}
	for i := range s.group {
		parts = append(parts, &s.group[i].aggregate)
	}
	return s.sum(now, parts...)
}

// domainSum returns the load of the own domain: computed by a representative,
// otherwise as reported by one.
func (s *State) domainSum(now clock.Time) (aggregate, bool) {
	if !s.representative {
		return s.loadOf(now, s.domain)
	}
	own, ok := s.groupSum(now)
	if !ok {
		own = aggregate{}
	}
	parts := []*aggregate{&own}
	for i := range s.peers {
		parts = append(parts, &s.peers[i].aggregate)
	}
	return s.sum(now, parts...)
}

// loadOf returns what is known of a place, unless it has expired.
func (s *State) loadOf(now clock.Time, p Place) (aggregate, bool) {
	at, ok := s.findPlace(p)
	if !ok || !s.isPlaceFresh(now, &s.places[at]) {
		return aggregate{}, false
	}
	return s.places[at].aggregate, true
}

func (s *State) isPlaceFresh(now clock.Time, p *placeLoad) bool {
	if s.small || s.isNearby(p.place) {
		return s.isFresh(now, &p.aggregate)
	}
	return p.measuredAt != 0 && now.Sub(p.measuredAt) <= s.opts.ExpireFar
}

// regionSum returns the load of the own region's known domains.
func (s *State) regionSum(now clock.Time) (aggregate, bool) {
	own, ok := s.domainSum(now)
	if !ok {
		own = aggregate{}
	}
	parts := []*aggregate{&own}
	for _, p := range s.nearDomains {
		if at, ok := s.findPlace(p); ok {
			parts = append(parts, &s.places[at].aggregate)
		}
	}
	return s.sum(now, parts...)
}

// Domain returns the load of a service in a failure domain. It reports false
// if the load is unknown or has expired.
func (s *State) Domain(now clock.Time, n fleet.ServiceName, d fleet.Domain) (Figure, bool) {
	p := PlaceOfDomain(d)
	if p == s.domain {
		sum, ok := s.domainSum(now)
		return figureOf(now, &sum, ok, n)
	}
	sum, ok := s.loadOf(now, p)
	return figureOf(now, &sum, ok, n)
}

// Region returns the load of a service in a region, like Domain.
func (s *State) Region(now clock.Time, n fleet.ServiceName, r fleet.Region) (Figure, bool) {
	if r == s.region {
		sum, ok := s.regionSum(now)
		return figureOf(now, &sum, ok, n)
	}
	sum, ok := s.loadOf(now, PlaceOfRegion(r))
	return figureOf(now, &sum, ok, n)
}

func figureOf(now clock.Time, p *aggregate, ok bool, n fleet.ServiceName) (Figure, bool) {
	if !ok {
		return Figure{}, false
	}
	at, ok := slices.BinarySearchFunc(p.services, serviceLoad{service: serviceKey(n)}, compareServices)
	if !ok {
		return Figure{}, false
	}
	e := &p.services[at]
	return Figure{
		InFlight: e.inFlight,
		Queued:   e.queued,
		Slots:    e.slots,
		Capacity: e.capacity,
		Rate:     e.rate,
		Errors:   e.errors,
		P99:      bucketUpper(e.p99),
		Age:      now.Sub(p.measuredAt),
	}, true
}
