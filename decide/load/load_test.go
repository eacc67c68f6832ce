package load_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/load"
)

const service = fleet.ServiceName("calc-lookup")

const epoch = clock.Time(1_800_000_000 * int64(time.Second))

func vm(id fleet.VMID, r fleet.Region, d fleet.Domain) fleet.VM {
	return fleet.VM{ID: id, Region: r, Domain: d}
}

func sample(inFlight uint32) *load.Measured {
	return &load.Measured{Samples: []load.Sample{{
		Service: service, InFlight: inFlight, Queued: 1, Slots: 10, Capacity: 9,
		Rate: 100, Errors: 50, P99: 20 * time.Millisecond,
	}}}
}

var domains = []load.DomainOf{{Region: "attiki", Domain: "attiki-1"}, {Region: "attiki", Domain: "attiki-2"},
	{Region: "kriti", Domain: "kriti-1"}}

// sendReport passes the report that from attaches for a scope to another VM.
func sendReport(t *testing.T, now clock.Time, from *load.State, id fleet.VMID, scope load.Scope, to *load.State) {
	t.Helper()
	r := from.Attach(now, scope)
	if r == nil {
		t.Fatalf("nothing to attach for scope %d", scope)
	}
	if err := r.Validate(); err != nil {
		t.Fatal(err)
	}
	to.Step(now, &load.Received{From: id, Report: r})
}

// Follows figures from two VMs to a representative, to another region, and to
// a VM there, and compares the age at each place with the true time since the
// measurement.
func TestFigureReachesOtherRegion(t *testing.T) {
	is := is.New(t)
	rep := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	rep.Step(epoch, &load.Membership{Representative: true, Group: []fleet.VMID{"a1", "a2"}, Domains: domains})
	other := load.New(vm("a2", "attiki", "attiki-1"), load.Options{})
	far := load.New(vm("k1", "kriti", "kriti-1"), load.Options{})
	far.Step(epoch, &load.Membership{Representative: true, Group: []fleet.VMID{"k1", "k2"}, Domains: domains})
	last := load.New(vm("k2", "kriti", "kriti-1"), load.Options{})

	other.Step(epoch, sample(4))
	rep.Step(epoch.Add(time.Second), sample(3))
	at := epoch.Add(2 * time.Second)
	sendReport(t, at, other, "a2", load.ScopeCollector, rep)
	f, ok := rep.Domain(at, service, "attiki-1")
	is.True(ok)
	is.Equal(f.InFlight, uint32(7))
	is.Equal(f.Slots, uint32(20))
	is.Equal(f.Headroom(), 18-7-2)
	is.Equal(f.Errors, uint16(50))
	is.True(f.P99 >= 20*time.Millisecond && f.P99 < 25*time.Millisecond)
	is.Equal(f.Age, 2*time.Second+load.DefaultTransit) // of the older part

	at = epoch.Add(3 * time.Second)
	sendReport(t, at, rep, "a1", load.ScopeOtherRegion, far)
	at = epoch.Add(5 * time.Second)
	sendReport(t, at, far, "k1", load.ScopeMember, last)
	at = epoch.Add(6 * time.Second)
	for _, get := range []func() (load.Figure, bool){
		func() (load.Figure, bool) { return last.Region(at, service, "attiki") },
		func() (load.Figure, bool) { return last.Domain(at, service, "attiki-1") },
	} {
		f, ok = get()
		is.True(ok)
		is.Equal(f.InFlight, uint32(7))
		is.Equal(f.Age, 6*time.Second+3*load.DefaultTransit)
	}
}

// Guards against sending traffic to a region that has been silent for a
// minute, or withholding it as if the region were full: an old figure shows
// neither that there is capacity nor that there is none.
func TestExpiredIsUnknownNotZero(t *testing.T) {
	is := is.New(t)
	s := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	s.Step(epoch, &load.Membership{Representative: true, Group: []fleet.VMID{"a1"}, Domains: domains})
	_, ok := s.Domain(epoch, service, "attiki-1")
	is.True(!ok)
	s.Step(epoch, sample(4))
	_, ok = s.Domain(epoch.Add(load.DefaultExpire), service, "attiki-1")
	is.True(ok)
	late := epoch.Add(load.DefaultExpire + time.Millisecond)
	_, ok = s.Domain(late, service, "attiki-1")
	is.True(!ok)
	_, ok = s.Region(late, service, "attiki")
	is.True(!ok)
	is.True(s.Attach(late, load.ScopeCollector) == nil)
	_, ok = s.Domain(epoch, "unknown", "attiki-1")
	is.True(!ok)
}

// Guards against a figure appearing younger than it is: two reports overtake
// each other, or a report is forwarded in a circle, so that an older
// measurement arrives later.
func TestOlderFigureNeverReplacesNewer(t *testing.T) {
	is := is.New(t)
	src := load.New(vm("k1", "kriti", "kriti-1"), load.Options{})
	src.Step(epoch, &load.Membership{Representative: true, Domains: domains})
	s := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	src.Step(epoch, sample(1))
	old := src.Attach(epoch, load.ScopeOtherRegion)
	src.Step(epoch.Add(time.Second), sample(2))
	fresh := src.Attach(epoch.Add(time.Second), load.ScopeOtherRegion)
	s.Step(epoch.Add(time.Second), &load.Received{From: "k1", Report: fresh})
	old.Rows[0].Age += 1100 // it was delayed in transit
	old.Rows[0].SumAge += 1100
	s.Step(epoch.Add(1100*time.Millisecond), &load.Received{From: "k1", Report: old})
	f, ok := s.Region(epoch.Add(1100*time.Millisecond), service, "kriti")
	is.True(ok)
	is.Equal(f.InFlight, uint32(2))
}

// Guards against counting a VM twice in the load of a domain: its figures go
// to another representative from now on, and both representatives still hold
// them. Sums of sums don't show whose figures they contain.
func TestMovedVMIsCountedOnce(t *testing.T) {
	is := is.New(t)
	first := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	second := load.New(vm("a2", "attiki", "attiki-1"), load.Options{})
	member := load.New(vm("a3", "attiki", "attiki-1"), load.Options{})
	group := func(s *load.State, self, peer fleet.VMID, ids ...fleet.VMID) {
		s.Step(epoch, &load.Membership{Representative: true, Group: append(ids, self), Peers: []fleet.VMID{peer}, Domains: domains})
	}
	group(first, "a1", "a2", "a3")
	group(second, "a2", "a1")
	for _, s := range []*load.State{first, second, member} {
		s.Step(epoch, sample(5))
	}
	sendReport(t, epoch, member, "a3", load.ScopeCollector, first)
	sendReport(t, epoch, member, "a3", load.ScopeCollector, second) // ignored: second does not collect from it
	at := epoch.Add(100 * time.Millisecond)
	sendReport(t, at, second, "a2", load.ScopePeer, first)
	f, _ := first.Domain(at, service, "attiki-1")
	is.Equal(f.InFlight, uint32(15))

	group(first, "a1", "a2")
	group(second, "a2", "a1", "a3")
	sendReport(t, at, member, "a3", load.ScopeCollector, second)
	at = epoch.Add(200 * time.Millisecond)
	sendReport(t, at, second, "a2", load.ScopePeer, first)
	f, _ = first.Domain(at, service, "attiki-1")
	is.Equal(f.InFlight, uint32(15))
}

func TestRegionsOfInterestAreInEveryReport(t *testing.T) {
	is := is.New(t)
	s := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	many := append([]load.DomainOf(nil), domains...)
	for i := range 20 {
		many = append(many, load.DomainOf{Region: fleet.Region(rune('A' + i)), Domain: fleet.Domain(rune('a' + i))})
	}
	s.Step(epoch, &load.Membership{Representative: true, Domains: many, Interest: []fleet.Region{"T"}})
	for _, d := range many[3:] {
		src := load.New(vm("x", d.Region, d.Domain), load.Options{})
		src.Step(epoch, &load.Membership{Representative: true, Domains: many})
		src.Step(epoch, sample(1))
		sendReport(t, epoch, src, "x", load.ScopeOtherRegion, s)
	}
	seen := make(map[load.Place]bool)
	for range 10 {
		r := s.Attach(epoch, load.ScopeMember)
		wanted := false
		for _, row := range r.Rows {
			seen[row.Place] = true
			wanted = wanted || row.Place == load.PlaceOfRegion("T")
		}
		is.True(wanted)
	}
	is.Equal(len(seen), 20) // the others are sent in rotation
}

// Guards against the load of other regions being known only now and then in a
// large fleet: their figures are sent in rotation, and with one age limit for
// figures that come each second and each minute they would expire before their
// next turn.
func TestFarFiguresOutliveTheirRotation(t *testing.T) {
	is := is.New(t)
	many := append([]load.DomainOf(nil), domains...)
	for i := range 20 {
		many = append(many, load.DomainOf{Region: fleet.Region(rune('A' + i)), Domain: fleet.Domain(rune('a' + i))})
	}
	for _, c := range []struct {
		fleet []load.DomainOf
		limit time.Duration
	}{{domains, load.DefaultExpire}, {many, load.DefaultExpireFar}} {
		src := load.New(vm("k1", "kriti", "kriti-1"), load.Options{})
		src.Step(epoch, &load.Membership{Representative: true, Domains: c.fleet})
		src.Step(epoch, sample(1))
		s := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
		s.Step(epoch, &load.Membership{Domains: c.fleet})
		sendReport(t, epoch, src, "k1", load.ScopeOtherRegion, s)
		limit := c.limit - load.DefaultTransit
		_, ok := s.Region(epoch.Add(limit), service, "kriti")
		is.True(ok)
		_, ok = s.Region(epoch.Add(limit+time.Millisecond), service, "kriti")
		is.True(!ok)
	}
}

func TestReportsOutOfBoundsAreRefused(t *testing.T) {
	is := is.New(t)
	for _, r := range []load.Report{
		{},
		{Scope: 99},
		{Scope: load.ScopeCollector, Rows: make([]load.Row, load.MaxRows+1)},
		{Scope: load.ScopeCollector, Services: make([]uint32, load.MaxServices+1)},
		{Scope: load.ScopeCollector, Services: []uint32{1}, Rows: []load.Row{{ServiceBits: 2, Values: make([]uint32, 7)}}},
		{Scope: load.ScopeCollector, Services: []uint32{1}, Rows: []load.Row{{ServiceBits: 1, Values: make([]uint32, 6)}}},
	} {
		is.True(errors.Is(r.Validate(), load.ErrBounds))
	}
}

func BenchmarkAttachMember(b *testing.B) {
	s := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	s.Step(epoch, &load.Membership{Representative: true, Domains: domains})
	s.Step(epoch, sample(4))
	b.ReportAllocs()
	for b.Loop() {
		s.Attach(epoch, load.ScopeMember)
	}
}

// Guards against the load of a new domain staying unknown: over its life a
// process has received figures of as many places as it keeps, most of them
// gone, and expired figures take up its place.
func TestExpiredPlacesAreReplaced(t *testing.T) {
	is := is.New(t)
	s := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	s.Step(epoch, &load.Membership{Domains: domains})
	const more = 1024 // more places than a process keeps
	for from := 0; from < more; from += load.MaxRows {
		r := &load.Report{Scope: load.ScopeOtherRegion}
		for i := range load.MaxRows {
			r.Rows = append(r.Rows, load.Row{Place: load.PlaceOfDomain(fleet.Domain(fmt.Sprintf("old-%d", from+i)))})
		}
		is.NoErr(r.Validate())
		s.Step(epoch, &load.Received{From: "k1", Report: r})
	}
	k := load.New(vm("k1", "kriti", "kriti-1"), load.Options{})
	k.Step(epoch, &load.Membership{Representative: true, Group: []fleet.VMID{"k1"}, Domains: domains})
	later := epoch.Add(2 * load.DefaultExpireFar)
	k.Step(later, sample(4))
	sendReport(t, later, k, "k1", load.ScopeOtherRegion, s)
	f, ok := s.Domain(later, service, "kriti-1")
	is.True(ok)
	is.Equal(f.InFlight, uint32(4))
}
