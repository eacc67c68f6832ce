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

// sendReport hands what from attaches for a scope to another VM, delay later.
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

// TestFigureReachesOtherRegion follows figures from two VMs to a representative, to
// another domain, another region, and down to a VM there, and holds the age
// at each place to the true time since the measurement.
func TestFigureReachesOtherRegion(t *testing.T) {
	is := is.New(t)
	rep := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	rep.Step(epoch, &load.Fleet{Representative: true, Group: []fleet.VMID{"a1", "a2"}, Domains: domains})
	other := load.New(vm("a2", "attiki", "attiki-1"), load.Options{})
	far := load.New(vm("k1", "kriti", "kriti-1"), load.Options{})
	far.Step(epoch, &load.Fleet{Representative: true, Group: []fleet.VMID{"k1", "k2"}, Domains: domains})
	last := load.New(vm("k2", "kriti", "kriti-1"), load.Options{})

	other.Step(epoch, sample(4))
	rep.Step(epoch.Add(time.Second), sample(3))
	at := epoch.Add(2 * time.Second)
	sendReport(t, at, other, "a2", load.ScopeOwn, rep)
	f, ok := rep.Domain(at, service, "attiki-1")
	is.True(ok)
	is.Equal(f.InFlight, uint32(7))
	is.Equal(f.Slots, uint32(20))
	is.Equal(f.Headroom(), 18-7-2)
	is.Equal(f.Errors, uint16(50))
	is.True(f.P99 >= 20*time.Millisecond && f.P99 < 25*time.Millisecond)
	is.Equal(f.Age, 2*time.Second+load.DefaultTransit) // of the older part

	at = epoch.Add(3 * time.Second)
	sendReport(t, at, rep, "a1", load.ScopeFar, far)
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

// Symptom: traffic is sent to a region that has been silent for a minute, or
// held back from it as if it were full. Sequence: its reports stop. Cause: an
// old figure says nothing, neither that there is room nor that there is none.
func TestExpiredIsUnknownNotZero(t *testing.T) {
	is := is.New(t)
	s := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	s.Step(epoch, &load.Fleet{Representative: true, Group: []fleet.VMID{"a1"}, Domains: domains})
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
	is.True(s.Attach(late, load.ScopeOwn) == nil)
	_, ok = s.Domain(epoch, "unknown", "attiki-1")
	is.True(!ok)
}

// Symptom: a figure seems younger than it is. Sequence: two reports overtake
// each other, or a report is handed round in a circle. Cause: an older
// measurement may arrive later.
func TestOlderFigureNeverReplacesNewer(t *testing.T) {
	is := is.New(t)
	src := load.New(vm("k1", "kriti", "kriti-1"), load.Options{})
	src.Step(epoch, &load.Fleet{Representative: true, Domains: domains})
	s := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	src.Step(epoch, sample(1))
	old := src.Attach(epoch, load.ScopeFar)
	src.Step(epoch.Add(time.Second), sample(2))
	fresh := src.Attach(epoch.Add(time.Second), load.ScopeFar)
	s.Step(epoch.Add(time.Second), &load.Received{From: "k1", Report: fresh})
	old.Rows[0].Age += 1100 // it waited on the way
	old.Rows[0].SumAge += 1100
	s.Step(epoch.Add(1100*time.Millisecond), &load.Received{From: "k1", Report: old})
	f, ok := s.Region(epoch.Add(1100*time.Millisecond), service, "kriti")
	is.True(ok)
	is.Equal(f.InFlight, uint32(2))
}

// Symptom: the load of a domain is counted twice. Sequence: a VM's figures go
// to another representative from now on; both still hold them. Cause: sums of
// sums can't tell whose figures are in them.
func TestMovedVMIsCountedOnce(t *testing.T) {
	is := is.New(t)
	first := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	second := load.New(vm("a2", "attiki", "attiki-1"), load.Options{})
	member := load.New(vm("a3", "attiki", "attiki-1"), load.Options{})
	group := func(s *load.State, self, peer fleet.VMID, ids ...fleet.VMID) {
		s.Step(epoch, &load.Fleet{Representative: true, Group: append(ids, self), Peers: []fleet.VMID{peer}, Domains: domains})
	}
	group(first, "a1", "a2", "a3")
	group(second, "a2", "a1")
	for _, s := range []*load.State{first, second, member} {
		s.Step(epoch, sample(5))
	}
	sendReport(t, epoch, member, "a3", load.ScopeOwn, first)
	sendReport(t, epoch, member, "a3", load.ScopeOwn, second) // not its collector: ignored
	at := epoch.Add(100 * time.Millisecond)
	sendReport(t, at, second, "a2", load.ScopePeer, first)
	f, _ := first.Domain(at, service, "attiki-1")
	is.Equal(f.InFlight, uint32(15))

	group(first, "a1", "a2")
	group(second, "a2", "a1", "a3")
	sendReport(t, at, member, "a3", load.ScopeOwn, second)
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
	s.Step(epoch, &load.Fleet{Representative: true, Domains: many, Interest: []fleet.Region{"T"}})
	for _, d := range many[3:] {
		src := load.New(vm("x", d.Region, d.Domain), load.Options{})
		src.Step(epoch, &load.Fleet{Representative: true, Domains: many})
		src.Step(epoch, sample(1))
		sendReport(t, epoch, src, "x", load.ScopeFar, s)
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
	is.Equal(len(seen), 20) // the others take turns
}

// Symptom: in a large fleet the load of other regions is known only now and
// then. Sequence: their figures come in turns, and each expires before its
// next turn. Cause: one age limit for figures that come each second and for
// those that come each minute.
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
		src.Step(epoch, &load.Fleet{Representative: true, Domains: c.fleet})
		src.Step(epoch, sample(1))
		s := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
		s.Step(epoch, &load.Fleet{Domains: c.fleet})
		sendReport(t, epoch, src, "k1", load.ScopeFar, s)
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
		{Scope: load.ScopeOwn, Rows: make([]load.Row, load.MaxRows+1)},
		{Scope: load.ScopeOwn, Services: make([]uint32, load.MaxServices+1)},
		{Scope: load.ScopeOwn, Services: []uint32{1}, Rows: []load.Row{{ServiceBits: 2, Values: make([]uint32, 7)}}},
		{Scope: load.ScopeOwn, Services: []uint32{1}, Rows: []load.Row{{ServiceBits: 1, Values: make([]uint32, 6)}}},
	} {
		is.True(errors.Is(r.Validate(), load.ErrBounds))
	}
}

func BenchmarkAttachMember(b *testing.B) {
	s := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	s.Step(epoch, &load.Fleet{Representative: true, Domains: domains})
	s.Step(epoch, sample(4))
	b.ReportAllocs()
	for b.Loop() {
		s.Attach(epoch, load.ScopeMember)
	}
}

// Symptom: the load of a domain stays unknown. Sequence: over its life a
// process has received figures of as many places as it keeps, most of them
// gone; a new domain reports. Cause: expired figures take its place.
func TestExpiredPlacesAreReplaced(t *testing.T) {
	is := is.New(t)
	s := load.New(vm("a1", "attiki", "attiki-1"), load.Options{})
	s.Step(epoch, &load.Fleet{Domains: domains})
	const more = 1024 // than any process keeps
	for from := 0; from < more; from += load.MaxRows {
		r := &load.Report{Scope: load.ScopeFar}
		for i := range load.MaxRows {
			r.Rows = append(r.Rows, load.Row{Place: load.PlaceOfDomain(fleet.Domain(fmt.Sprintf("old-%d", from+i)))})
		}
		is.NoErr(r.Validate())
		s.Step(epoch, &load.Received{From: "k1", Report: r})
	}
	k := load.New(vm("k1", "kriti", "kriti-1"), load.Options{})
	k.Step(epoch, &load.Fleet{Representative: true, Group: []fleet.VMID{"k1"}, Domains: domains})
	later := epoch.Add(2 * load.DefaultExpireFar)
	k.Step(later, sample(4))
	sendReport(t, later, k, "k1", load.ScopeFar, s)
	f, ok := s.Domain(later, service, "kriti-1")
	is.True(ok)
	is.Equal(f.InFlight, uint32(4))
}
