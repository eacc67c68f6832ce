package emulate

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// connectionPools are the connections of one process of an entry VM, by remote
// end.
type connectionPools map[connectionEnd]*connectionPool

// connectionEnd is the remote end of a connection: a gateway if it is set,
// otherwise a target.
type connectionEnd struct {
	target  fleet.TargetID
	gateway fleet.VMID
}

// connectionEnd returns the remote end of the connection that s needs.
func (s *targetSend) connectionEnd() connectionEnd {
	if s.gateway != nil {
		return connectionEnd{gateway: s.gateway.self.ID}
	}
	return connectionEnd{target: s.target.registered.ID}
}

// domain returns the failure domain of the remote end.
func (s *targetSend) domain() fleet.Domain {
	if s.gateway != nil {
		return s.gateway.self.Domain
	}
	return s.target.registered.Domain
}

// connectionPool holds the idle connections of one process to one remote end.
type connectionPool struct {
	free     []clock.Time  // since when each is idle; the latest at the end
	waiting  []*targetSend // sends that wait for a connection, the oldest first
	opening  int
	lastUsed clock.Time // when a send last requested a connection; 0 if never
}

func (c connectionPools) pool(e connectionEnd) *connectionPool {
	p, ok := c[e]
	if !ok {
		p = new(connectionPool)
		c[e] = p
	}
	return p
}

// gatewayIdle is how long idle connections between entry VMs are kept.
const gatewayIdle = time.Minute

// connect calls s.transmit when s has a connection: an idle one, or otherwise
// the one that is opened for it or one that is released earlier.
func (sim *simulation) connect(s *targetSend, spare bool) {
	idle := seconds(sim.pattern.Network.IdleSeconds)
	if idle == 0 {
		if s.isCut() {
			sim.failOpening(s)
			return
		}
		s.transmit() // connections are always open
		return
	}
	if s.gateway != nil {
		idle = gatewayIdle
	}
	p := s.vm.connections.pool(s.connectionEnd())
	s.firstUse = p.lastUsed == 0 || sim.now.Sub(p.lastUsed) >= idle
	p.lastUsed = sim.now
	p.free = slices.DeleteFunc(p.free, func(since clock.Time) bool { return sim.now.Sub(since) >= idle })
	if n := len(p.free); n > 0 {
		p.free = p.free[:n-1]
		if spare && n == 1 && p.opening == 0 {
			sim.openConnection(s, false)
		}
		s.transmit()
		return
	}
	s.waitStart = sim.now
	p.waiting = append(p.waiting, s)
	sim.openConnection(s, true)
}

// openConnection opens a connection to the remote end of s, which takes one round
// trip. If waits is set, s waits for the connection; otherwise it is a spare one.
func (sim *simulation) openConnection(s *targetSend, waits bool) {
	v := s.vm
	p, process := v.connections.pool(s.connectionEnd()), v.processNumber
	took := 2 * sim.latency(v.self.Domain, s.domain())
	sim.recorder.result.Opened++
	if s.isCut() {
		if waits {
			sim.failOpening(s)
		}
		return
	}
	p.opening++
	sim.after(took, func() {
		if v.processNumber != process {
			return
		}
		p.opening--
		if at := slices.Index(p.waiting, s); waits && at >= 0 && !s.ended {
			p.waiting = slices.Delete(p.waiting, at, at+1)
			s.connectTime = took
			s.useConnection(sim.now)
			return
		}
		sim.releaseConnection(s)
	})
}

// releaseConnection gives the connection of s to the send that has waited longest
// for one to the same end, or keeps it as idle.
func (sim *simulation) releaseConnection(s *targetSend) {
	p := s.vm.connections.pool(s.connectionEnd())
	for len(p.waiting) > 0 {
		s := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !s.ended {
			s.useConnection(sim.now)
			return
		}
	}
	p.free = append(p.free, sim.now)
}

// useConnection sends s on the connection that it has waited for.
func (s *targetSend) useConnection(now clock.Time) {
	s.connectionWait = now.Sub(s.waitStart)
	s.transmit()
}

// durations accumulates durations for their mean.
type durations struct {
	n   int
	sum time.Duration
}

func (d *durations) meanMS() float64 {
	if d.n == 0 {
		return 0
	}
	return d.sum.Seconds() * 1000 / float64(d.n)
}

// recordFarDelay records how long a request to another region was delayed beyond
// the network's latency. It is called when the request reaches its target.
func (sim *simulation) recordFarDelay(s *targetSend) {
	if s.attempt.gatewaySend != nil {
		s = s.attempt.gatewaySend
	}
	if s.target.region == s.vm.self.Region || sim.loadSeconds() < sim.pattern.Seconds/2 {
		return
	}
	took := sim.now.Sub(s.placedAt) - sim.latency(s.vm.self.Domain, s.target.registered.Domain)
	sim.recorder.farDelays.n++
	sim.recorder.farDelays.sum += took
}

// recordConnected counts a send that has got its connection.
func (rec *recorder) recordConnected(s *targetSend) {
	if s.target.region == s.vm.self.Region {
		return
	}
	rec.result.Far++
	if s.connectionWait > 0 && !s.firstUse {
		rec.result.FarWaited++
	}
}
