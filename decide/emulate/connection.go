package emulate

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// connectionPools are the connections of one process of an entry VM, by their other end.
type connectionPools map[connectionEnd]*connectionPool

// connectionEnd is what a connection leads to: a target, or the gateway that is set.
type connectionEnd struct {
	target  fleet.TargetID
	gateway fleet.VMID
}

// connectionEnd is what s needs a connection to.
func (s *targetSend) connectionEnd() connectionEnd {
	if s.gateway != nil {
		return connectionEnd{gateway: s.gateway.self.ID}
	}
	return connectionEnd{target: s.t.registered.ID}
}

// domain is the failure domain that the connection of s leads to.
func (s *targetSend) domain() fleet.Domain {
	if s.gateway != nil {
		return s.gateway.self.Domain
	}
	return s.t.registered.Domain
}

// connectionPool is the connections of one process to one end that carry nothing.
type connectionPool struct {
	free     []clock.Time  // since when they are; the one freed last at the end
	waiting  []*targetSend // for a connection; the first to come first
	opening  int
	lastUsed clock.Time // when a send last asked for one; 0: never
}

func (l connectionPools) pool(e connectionEnd) *connectionPool {
	k, ok := l[e]
	if !ok {
		k = new(connectionPool)
		l[e] = k
	}
	return k
}

// gatewayIdle is how long connections between entry VMs are kept.
const gatewayIdle = time.Minute

// connect calls s.carry when s has a connection: a free one, or else the one
// that is opened for it, or one that is freed before.
func (f *simulation) connect(s *targetSend, spare bool) {
	idle := seconds(f.pattern.Network.IdleSeconds)
	if idle == 0 {
		s.transmit() // there is always a free one
		return
	}
	if s.gateway != nil {
		idle = gatewayIdle
	}
	k := s.vm.connections.pool(s.connectionEnd())
	s.firstUse = k.lastUsed == 0 || f.now.Sub(k.lastUsed) >= idle
	k.lastUsed = f.now
	k.free = slices.DeleteFunc(k.free, func(since clock.Time) bool { return f.now.Sub(since) >= idle })
	if n := len(k.free); n > 0 {
		k.free = k.free[:n-1]
		if spare && n == 1 && k.opening == 0 {
			f.openConnection(s, false)
		}
		s.transmit()
		return
	}
	s.waitStart = f.now
	k.waiting = append(k.waiting, s)
	f.openConnection(s, true)
}

// openConnection opens a connection where s goes, which waits for it or not. It takes one
// round trip.
func (f *simulation) openConnection(s *targetSend, waits bool) {
	v := s.vm
	k, starts := v.connections.pool(s.connectionEnd()), v.processNumber
	took := 2 * f.latency(v.self.Domain, s.domain())
	k.opening++
	f.recorder.result.Opened++
	f.after(took, func() {
		if v.processNumber != starts {
			return
		}
		k.opening--
		if at := slices.Index(k.waiting, s); waits && at >= 0 && !s.ended {
			k.waiting = slices.Delete(k.waiting, at, at+1)
			s.connectTime = took
			s.useConnection(f.now)
			return
		}
		f.releaseConnection(s)
	})
}

// releaseConnection has the send that has waited longest take a connection to where s went,
// or keeps it.
func (f *simulation) releaseConnection(s *targetSend) {
	k := s.vm.connections.pool(s.connectionEnd())
	for len(k.waiting) > 0 {
		s := k.waiting[0]
		k.waiting = k.waiting[1:]
		if !s.ended {
			s.useConnection(f.now)
			return
		}
	}
	k.free = append(k.free, f.now)
}

// useConnection has s use the connection that it has waited for.
func (s *targetSend) useConnection(now clock.Time) {
	s.connectionWait = now.Sub(s.waitStart)
	s.transmit()
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

// recordFarDelay notes how long a request to another region was on its way, once it
// has reached its target.
func (f *simulation) recordFarDelay(s *targetSend) {
	if s.q.sender != nil {
		s = s.q.sender
	}
	if s.t.region == s.vm.self.Region || f.loadSeconds() < f.pattern.Seconds/2 {
		return
	}
	took := f.now.Sub(s.placedAt) - f.latency(s.vm.self.Domain, s.t.registered.Domain)
	f.recorder.farDelays.n++
	f.recorder.farDelays.sum += took
}

// recordConnected counts a send of which the connection is there.
func (b *recorder) recordConnected(s *targetSend) {
	if s.t.region == s.vm.self.Region {
		return
	}
	b.result.Far++
	if s.connectionWait > 0 && !s.firstUse {
		b.result.FarWaited++
	}
}
