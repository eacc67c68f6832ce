package emulate

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// links are the connections of one process of an entry VM, by their other end.
type links map[end]*link

// end is what a connection leads to: a target, or the gateway that is set.
type end struct {
	target  fleet.TargetID
	gateway fleet.VMID
}

// leads is what s needs a connection to.
func (s *send) leads() end {
	if s.gate != nil {
		return end{gateway: s.gate.self.ID}
	}
	return end{target: s.t.reg.ID}
}

// domain is the failure domain that the connection of s leads to.
func (s *send) domain() fleet.Domain {
	if s.gate != nil {
		return s.gate.self.Domain
	}
	return s.t.reg.Domain
}

// link is the connections of one process to one end that carry nothing.
type link struct {
	free    []clock.Time // since when they are; the one freed last at the end
	waiting []*send      // for a connection; the first to come first
	opening int
	used    clock.Time // when a send last asked for one; 0: never
}

func (l links) to(e end) *link {
	k, ok := l[e]
	if !ok {
		k = new(link)
		l[e] = k
	}
	return k
}

// gatewayIdle is how long connections between entry VMs are kept.
const gatewayIdle = time.Minute

// connect calls s.carry when s has a connection: a free one, or else the one
// that is opened for it, or one that is freed before.
func (f *fleetRun) connect(s *send, spare bool) {
	idle := seconds(f.p.Network.IdleSeconds)
	if idle == 0 {
		s.carry() // there is always a free one
		return
	}
	if s.gate != nil {
		idle = gatewayIdle
	}
	k := s.vm.links.to(s.leads())
	s.anew = k.used == 0 || f.now.Sub(k.used) >= idle
	k.used = f.now
	k.free = slices.DeleteFunc(k.free, func(since clock.Time) bool { return f.now.Sub(since) >= idle })
	if n := len(k.free); n > 0 {
		k.free = k.free[:n-1]
		if spare && n == 1 && k.opening == 0 {
			f.open(s, false)
		}
		s.carry()
		return
	}
	s.began = f.now
	k.waiting = append(k.waiting, s)
	f.open(s, true)
}

// open opens a connection where s goes, which waits for it or not. It takes one
// round trip.
func (f *fleetRun) open(s *send, waits bool) {
	v := s.vm
	k, starts := v.links.to(s.leads()), v.starts
	took := 2 * f.way(v.self.Domain, s.domain())
	k.opening++
	f.books.r.Opened++
	f.after(took, func() {
		if v.starts != starts {
			return
		}
		k.opening--
		if at := slices.Index(k.waiting, s); waits && at >= 0 && !s.ended {
			k.waiting = slices.Delete(k.waiting, at, at+1)
			s.opened = took
			s.begin(f.now)
			return
		}
		f.freed(s)
	})
}

// freed has the send that has waited longest take a connection to where s went,
// or keeps it.
func (f *fleetRun) freed(s *send) {
	k := s.vm.links.to(s.leads())
	for len(k.waiting) > 0 {
		s := k.waiting[0]
		k.waiting = k.waiting[1:]
		if !s.ended {
			s.begin(f.now)
			return
		}
	}
	k.free = append(k.free, f.now)
}

// begin has s use the connection that it has waited for.
func (s *send) begin(now clock.Time) {
	s.waited = now.Sub(s.began)
	s.carry()
}

// durations sums up durations.
type durations struct {
	n   int
	sum time.Duration
}

func (m *durations) meanMS() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum.Seconds() * 1000 / float64(m.n)
}

// noteReached notes how long a request to another region was on its way, once it
// has reached its target.
func (f *fleetRun) noteReached(s *send) {
	if s.q.sender != nil {
		s = s.q.sender
	}
	if s.t.region == s.vm.self.Region || f.second() < f.p.Seconds/2 {
		return
	}
	took := f.now.Sub(s.placed) - f.way(s.vm.self.Domain, s.t.reg.Domain)
	f.books.delayed.n++
	f.books.delayed.sum += took
}

// noteConnected counts a send of which the connection is there.
func (b *books) noteConnected(s *send) {
	if s.t.region == s.vm.self.Region {
		return
	}
	b.r.Far++
	if s.waited > 0 && !s.anew {
		b.r.FarWaited++
	}
}
