package ingress_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/route"
)

// fleetSize is the size of a fleet of three regions with three failure domains
// each.
type fleetSize struct{ vms, targets, objects int }

var fleetSizes = []fleetSize{{10, 160, 200}, {100, 500, 700}, {300, 1600, 2000}}

// fleetMember is one entry VM that knows a whole fleet.
type fleetMember struct {
	size fleetSize
	r    *ingress.Reducer
	out  ingress.Ready
	now  clock.Time
	next ingress.RequestID
	// accounts is the number of client accounts of requestPlacement; 0: none.
	accounts int
}

func newFleetMember(size fleetSize, self string) *fleetMember {
	return newFleetMemberWith(size, self, ingress.Options{})
}

// newFleetMemberWith is newFleetMember with some options.
func newFleetMemberWith(size fleetSize, self string, o ingress.Options) *fleetMember {
	regions := make(map[fleet.Domain]fleet.Region)
	var domains []fleet.Domain
	for i := range 9 {
		d := fleet.Domain(fmt.Sprint("d", i))
		regions[d] = fleet.Region(fmt.Sprint("r", i%3))
		domains = append(domains, d)
	}
	m := &fleetMember{size: size, now: clock.Time(time.Hour)}
	o.Self, o.Domain, o.Regions, o.Seed = fleet.VMID(self), "d0", regions, 1
	o.Bounds = ingress.Bounds{RegionShift: 0.15, ColdFactor: 1.5, ColdSlack: 10}
	m.r = ingress.New(o)
	cfg := &route.Config{Version: 1, Services: map[fleet.ServiceName]route.Service{"svc": {Name: "svc", ColdRate: 2.6, ColdTime: 3 * time.Second}},
		Routes: []route.Route{{Name: "a", Host: "h", Prefix: "/a/", Idempotent: true, Attempts: 3, Aim: 600 * time.Millisecond,
			Parts: []route.Part{{Service: "svc", Weight: 1}}}}}
	m.step(&ingress.Configured{Table: route.NewTable(cfg)})
	var vms []fleet.VM
	for i := range size.vms {
		d := domains[i%9]
		vms = append(vms, fleet.VM{ID: fleet.VMID(fmt.Sprint("vm", i)), Domain: d, Region: regions[d]})
	}
	vms = append(vms, fleet.VM{ID: "self", Domain: "d0", Region: "r0"})
	if self == "self" {
		for i := range vms[:len(vms)-1] {
			vms[i].State = fleet.Leaving // self coordinates every service
		}
	}
	m.step(&ingress.MembersChanged{VMs: vms})
	var targets []ingress.Target
	for i := range size.targets {
		targets = append(targets, ingress.Target{ID: fleet.TargetID(fmt.Sprint("t", i)), Service: "svc", Domain: domains[i%9], Slots: 3})
	}
	m.step(&ingress.TargetsChanged{Updated: targets})
	return m
}

func (m *fleetMember) step(ev ingress.Event) {
	m.out.Reset()
	m.r.Step(m.now, ev, &m.out)
}

// requestPlacement passes in a placement request of another entry VM and returns
// its number if it was granted, 0 if it waits.
func (m *fleetMember) requestPlacement(object string, wait time.Duration) ingress.PlacementID {
	m.next++
	id := ingress.PlacementID(m.next)
	p := &ingress.PlacementRequest{ID: id, Service: "svc", Route: "a", Object: object, Domain: "d3", MaxWait: wait, TimeLeft: 4 * time.Second}
	if m.accounts > 0 {
		p.Account = route.AccountName(fmt.Sprint("account-", int(m.next)%m.accounts))
	}
	m.step(&ingress.IncomingMessage{From: "vm0", Message: p})
	if len(m.out.Messages) == 0 {
		return 0
	}
	return id
}

func (m *fleetMember) report(id ingress.PlacementID) {
	m.step(&ingress.IncomingMessage{From: "vm0", Message: &ingress.Report{ID: id, Result: ingress.ResultServed, Took: 250 * time.Millisecond,
		Load: ingress.Load{Known: true, Running: 1, Slots: 3}}})
}

// BenchmarkCoordinator measures one request at the coordinator, from the placement
// request of another entry VM to the report of its result, with a tenth of the
// region's slots in use.
func BenchmarkCoordinator(b *testing.B) {
	for _, size := range fleetSizes {
		for _, cold := range []bool{false, true} {
			b.Run(fmt.Sprintf("vms=%d/targets=%d/cold=%v", size.vms, size.targets, cold), func(b *testing.B) {
				m := newFleetMember(size, "self")
				names := objectNames(size.objects)
				var open []ingress.PlacementID
				m.serve(names, &open, size.targets/10, 3*size.objects)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					if cold && i%size.objects == 0 { // all objects become cold
						m.now = m.now.Add(31 * time.Second)
					}
					m.serve(names, &open, size.targets/10, 1)
				}
			})
		}
	}
}

// BenchmarkCoordinatorAdmission is BenchmarkCoordinator with admission and 100 accounts.
func BenchmarkCoordinatorAdmission(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d/targets=%d", size.vms, size.targets), func(b *testing.B) {
			m := newFleetMemberWith(size, "self", ingress.Options{Admission: true})
			m.limitless(100)
			names := objectNames(size.objects)
			var open []ingress.PlacementID
			m.serve(names, &open, size.targets/10, 3*size.objects)
			b.ReportAllocs()
			b.ResetTimer()
			m.serve(names, &open, size.targets/10, b.N)
		})
	}
}

// BenchmarkNotice measures a target's backoff at the coordinator, from the notice of
// another entry VM to the end of the time.
func BenchmarkNotice(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d/targets=%d", size.vms, size.targets), func(b *testing.B) {
			m := newFleetMember(size, "self")
			var open []ingress.PlacementID
			m.serve(objectNames(size.objects), &open, size.targets/10, 3*size.objects)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				target := fleet.TargetID(fmt.Sprint("t", i%size.targets))
				m.step(&ingress.IncomingMessage{From: "vm0", Message: &ingress.TargetNotices{List: []ingress.TargetNotice{{Target: target, Backoff: time.Millisecond}}}})
				m.now = m.now.Add(time.Second)
				m.step(&ingress.Tick{})
			}
		})
	}
}

func objectNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("o", i)
	}
	return names
}

// serve places n requests, and ends the oldest ones while more than held are under
// way.
func (m *fleetMember) serve(names []string, open *[]ingress.PlacementID, held, n int) {
	for range n {
		m.now = m.now.Add(100 * time.Microsecond)
		if id := m.requestPlacement(names[int(m.next)%len(names)], 0); id != 0 {
			*open = append(*open, id)
		}
		if len(*open) > held {
			m.report((*open)[0])
			*open = (*open)[1:]
		}
	}
}

// BenchmarkCrowdedCoordinator measures the coordinator while all targets are full
// and a thousand requests wait: one request ends, a waiting one is placed, and a
// new one arrives.
func BenchmarkCrowdedCoordinator(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d/targets=%d", size.vms, size.targets), func(b *testing.B) {
			benchmarkCrowded(b, newFleetMember(size, "self"), 1000, time.Hour)
		})
	}
}

// BenchmarkCrowdedAdmission is BenchmarkCrowdedCoordinator with admission and client
// accounts. In the last case a new request is refused on arrival.
func BenchmarkCrowdedAdmission(b *testing.B) {
	for _, size := range fleetSizes {
		for _, c := range []struct {
			accounts, waiting int
			wait              time.Duration
		}{{1, 1000, time.Hour}, {100, 1000, time.Hour}, {1000, 1000, time.Hour}, {100, 4000, time.Hour}, {100, 1000, time.Millisecond}} {
			b.Run(fmt.Sprintf("targets=%d/accounts=%d/waiting=%d/wait=%v", size.targets, c.accounts, c.waiting, c.wait), func(b *testing.B) {
				m := newFleetMemberWith(size, "self", ingress.Options{Admission: true})
				m.limitless(c.accounts)
				benchmarkCrowded(b, m, c.waiting, c.wait)
			})
		}
	}
}

// limitless puts a configuration with n accounts without quotas in force.
func (m *fleetMember) limitless(n int) {
	m.accounts = n
	m.configureAccounts(n, route.Quota{})
}

// benchmarkCrowded measures m with some waiting requests, and new ones with the given
// wait.
func benchmarkCrowded(b *testing.B, m *fleetMember, wantWaiting int, wait time.Duration) {
	names := objectNames(m.size.objects)
	var open []ingress.PlacementID
	waiting := 0
	for n := 0; waiting < wantWaiting; n++ {
		if id := m.requestPlacement(names[n%len(names)], time.Hour); id != 0 {
			open = append(open, id)
		} else {
			waiting++
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		m.now = m.now.Add(100 * time.Microsecond)
		m.report(open[0])
		open = open[1:]
		for _, t := range m.out.Messages {
			if g, ok := t.Message.(*ingress.Grant); ok {
				open = append(open, g.ID)
			}
		}
		if id := m.requestPlacement(names[i%len(names)], wait); id != 0 {
			open = append(open, id)
		}
		if len(open) == 0 {
			b.Fatal("no request is under way")
		}
	}
}

// BenchmarkReceivingVM measures one request at an entry VM that asks a coordinator
// for its target, without and with client accounts.
func BenchmarkReceivingVM(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d/targets=%d", size.vms, size.targets), func(b *testing.B) {
			benchmarkReceivingVM(b, size, 0, hedge.Policy{})
		})
		b.Run(fmt.Sprintf("vms=%d/targets=%d/hedges", size.vms, size.targets), func(b *testing.B) {
			benchmarkReceivingVM(b, size, 0, hedge.Policy{Limit: 0.1})
		})
		b.Run(fmt.Sprintf("vms=%d/targets=%d/accounts=86", size.vms, size.targets), func(b *testing.B) {
			benchmarkReceivingVM(b, size, 86, hedge.Policy{})
		})
	}
}

func benchmarkReceivingVM(b *testing.B, size fleetSize, accounts int, p hedge.Policy) {
	m := newFleetMemberWith(size, "vm3", ingress.Options{Hedge: p})
	names := objectNames(size.objects)
	keys := m.configureAccounts(accounts, route.Quota{PerSecond: 1e9, Burst: 1e9})
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		m.now = m.now.Add(100 * time.Microsecond)
		m.next++
		arrival := &ingress.Arrive{Request: m.next, Host: "h", Path: "/a/x", Object: names[i%len(names)], Timeout: 4 * time.Second}
		if accounts > 0 {
			key := route.DigestKey(keys[i%accounts])
			arrival.Key = &key
		}
		m.step(arrival)
		if len(m.out.Messages) != 1 {
			b.Fatal("no placement request is sent")
		}
		msg := m.out.Messages[0]
		m.step(&ingress.IncomingMessage{From: msg.To, Message: &ingress.Grant{ID: msg.Message.(*ingress.PlacementRequest).ID, Target: fleet.TargetID(fmt.Sprint("t", i%size.targets))}})
		m.step(&ingress.Answered{Attempt: m.out.Sends[0].Attempt, Outcome: ingress.Served})
	}
}

// configureAccounts puts a configuration with n accounts of a quota in force, and
// returns a key of each.
func (m *fleetMember) configureAccounts(n int, q route.Quota) []string {
	if n == 0 {
		return nil
	}
	var keys []string
	cfg := &route.Config{Version: 2, Services: map[fleet.ServiceName]route.Service{"svc": {Name: "svc"}},
		Routes: []route.Route{{Name: "a", Host: "h", Prefix: "/a/", Idempotent: true, Attempts: 3, Aim: 600 * time.Millisecond,
			Parts: []route.Part{{Service: "svc", Weight: 1}}}}}
	for i := range n {
		keys = append(keys, fmt.Sprintf("key-of-account-%06d", i))
		cfg.Accounts = append(cfg.Accounts, route.Account{
			Name: route.AccountName(fmt.Sprint("account-", i)), Keys: []route.KeyDigest{route.DigestKey(keys[i])},
			Quota: q,
		})
	}
	m.step(&ingress.Configured{Table: route.NewTable(cfg)})
	return keys
}

// BenchmarkJoin measures a change of a target's registration at a coordinator that
// knows all objects, and the next request after it.
func BenchmarkJoin(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d/targets=%d", size.vms, size.targets), func(b *testing.B) {
			m := newFleetMember(size, "self")
			names := objectNames(size.objects)
			var open []ingress.PlacementID
			m.serve(names, &open, size.targets/10, 3*size.objects)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := fleet.TargetID(fmt.Sprint("t", i/2%size.targets))
				if i%2 == 0 {
					m.step(&ingress.TargetsChanged{Removed: []fleet.TargetID{id}})
				} else {
					m.step(&ingress.TargetsChanged{Updated: []ingress.Target{{ID: id, Service: "svc", Domain: fleet.Domain(fmt.Sprint("d", i/2%9)), Slots: 3}}})
				}
				m.serve(names, &open, size.targets/10, 1)
			}
		})
	}
}
