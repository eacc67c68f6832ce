package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/target"
	"github.com/azurethread/azurethread/decide/verdict"
)

const (
	// maxNearRefusals and maxFarRefusals are how many entry VMs in the region
	// and elsewhere may refuse one request before it stays here.
	maxNearRefusals = 3
	maxFarRefusals  = 2
	// similarCost is how much longer than the best a forward may take and
	// still be drawn for it, so that not all senders choose the same receiver.
	similarCost = 3 * time.Millisecond
	// nearRTT is the longest round trip within a region.
	nearRTT = 10 * time.Millisecond
	// minRoom is the least room a receiver must have.
	minRoom = 1
)

// setRemotes takes over the load reports of other entry VMs.
func (s *State) setRemotes(list []Remote) {
	s.unseeLinks()
	s.vmCount = 0
	for i := range list {
		s.setRemoteVM(&list[i])
	}
	for i := range list {
		s.setLink(&list[i])
	}
	s.forgetLinks()
	s.drainAll()
	for _, v := range s.services {
		s.spill(v)
	}
}

func (s *State) unseeLinks() {
	for _, vm := range s.vms {
		vm.seen = false
	}
	for _, v := range s.services {
		for _, l := range v.links {
			l.seen = false
		}
	}
}

func (s *State) setRemoteVM(e *Remote) {
	if e.VM == s.opts.VM {
		return
	}
	vm := s.vms[e.VM]
	if vm == nil {
		vm = &remoteVM{id: e.VM}
		s.vms[e.VM] = vm
	}
	if !vm.seen {
		vm.seen = true
		s.vmCount++
	}
	vm.rtt = e.RTT
}

func (s *State) setLink(e *Remote) {
	vm := s.vms[e.VM]
	if vm == nil {
		return
	}
	v := s.service(e.Service)
	i, found := slices.BinarySearchFunc(v.links, e.VM, func(l *link, id fleet.VMID) int { return cmp.Compare(l.vm.id, id) })
	if !found {
		v.links = slices.Insert(v.links, i, &link{vm: vm, svc: v})
	}
	l := v.links[i]
	l.seen = true
	l.window.Report(e.Headroom, l.stretch(), s.now.Add(-e.Age), l.inFlight, s.vmCount, s.rng)
}

// forgetLinks drops what the last reports don't mention, once nothing is in
// flight there.
func (s *State) forgetLinks() {
	for _, v := range s.services {
		v.links = slices.DeleteFunc(v.links, func(l *link) bool { return !l.seen && l.inFlight == 0 })
	}
	for id, vm := range s.vms {
		if !vm.seen && vm.inFlight == 0 {
			delete(s.vms, id)
		}
	}
}

// pickLink returns the entry VM to forward r to when that is expected to be
// sooner than waiting here for the given time, or nil.
func (s *State) pickLink(r *request, wait time.Duration) *link {
	if r.hops > 0 || s.opts.Ungated || s.lim.RemoteHorizon < 0 {
		return nil
	}
	v := r.svc
	limit := min(float64(wait), float64(s.latestStart(r)-s.now))
	best := limit
	for _, l := range v.links {
		if c := s.forwardCost(l); c < best && s.room(r, l) >= minRoom {
			best = c
		}
	}
	if best >= limit {
		return nil
	}
	return s.drawLink(r, min(best+float64(similarCost), limit))
}

// drawLink draws among the entry VMs up to the given cost, by their room.
func (s *State) drawLink(r *request, most float64) *link {
	var chosen *link
	total := 0.0
	for _, l := range r.svc.links {
		if s.forwardCost(l) > most {
			continue
		}
		room := s.room(r, l)
		if room < minRoom {
			continue
		}
		total += room
		if s.rng.Float64()*total < room {
			chosen = l
		}
	}
	return chosen
}

// spill forwards waiting requests when there is room elsewhere again: those
// that have waited longest among the ones whose turn here would come later
// than an answer from there.
func (s *State) spill(v *service) {
	for v.queue.Len() > 0 {
		ahead := s.turnsWithin(v, s.cheapestRoom(v))
		n := v.queue.Front()
		for i := 0; i < ahead && n != nil; i++ {
			n = n.Next()
		}
		if n == nil {
			return
		}
		wait := s.expectedWait(v, ahead)
		l := s.pickLink(n.Item, wait)
		if l == nil || !s.forward(n.Item, l, wait) {
			return
		}
	}
}

// cheapestRoom returns the least cost of a forward to an entry VM with room.
func (s *State) cheapestRoom(v *service) float64 {
	best := float64(longWait)
	for _, l := range v.links {
		if c := s.forwardCost(l); c < best && s.linkRoom(l) >= minRoom {
			best = c
		}
	}
	return best
}

// turnsWithin returns how many waiting requests are served here within d ns.
func (s *State) turnsWithin(v *service, d float64) int {
	return int(d * float64(v.capacity) / v.usual())
}

// near reports whether a round trip to l costs next to nothing.
func (l *link) near() bool { return l.vm.rtt <= nearRTT }

// countRefusal records that l refused r.
func (r *request) countRefusal(l *link) {
	if l.near() {
		r.nearRefusals++
	} else {
		r.farRefusals++
	}
}

func (r *request) tooManyRefusals(l *link) bool {
	if l.near() {
		return r.nearRefusals >= maxNearRefusals
	}
	return r.farRefusals >= maxFarRefusals
}

// forwardCost is the time a forward is expected to take beyond the usual
// latency, in ns.
func (s *State) forwardCost(l *link) float64 {
	rtt := float64(l.vm.rtt)
	usual := l.svc.usual()
	return max(rtt, l.mean.At(s.now, rtt+usual)-usual)
}

// room returns how many forwards l can take now.
func (s *State) room(r *request, l *link) float64 {
	if l.vm == r.avoidVM || r.tooManyRefusals(l) {
		return 0
	}
	return s.linkRoom(l)
}

// linkRoom is room for any request.
func (s *State) linkRoom(l *link) float64 {
	switch l.vm.outlier.Standing() {
	case target.Ejected:
		if s.now < l.vm.outlier.Until() {
			return 0
		}
		return s.testRoom(l)
	case target.Testing:
		return s.testRoom(l)
	default:
		return l.window.Room(s.now, l.inFlight, s.lim.RemoteHorizon, l.near())
	}
}

// testRoom lets one request at a time show whether an entry VM answers again.
// It needs a report made lately, as a region that is lost makes none.
func (s *State) testRoom(l *link) float64 {
	if l.window.Room(s.now, l.inFlight, s.lim.RemoteHorizon, true) <= 0 {
		return 0
	}
	return float64(1 - l.vm.inFlight)
}

// linkAnswered learns from the answer to a forward.
func (s *State) linkAnswered(l *link, load *LoadHint, took time.Duration) {
	l.vm.outlier.Answered(s.now)
	l.window.Answered()
	l.mean.Observe(s.now, took)
	if load != nil && load.Slots > 0 {
		l.window.Report(load.Slots-load.InFlight, l.stretch(), s.now, l.inFlight, s.vmCount, s.rng)
	}
}

// linkEnded learns from a forward that failed.
func (s *State) linkEnded(l *link, e *Failed, sentAt clock.Time) {
	switch {
	case e.Verdict == verdict.NotRun && refusedForLoad(e.Reason):
		l.window.Refused(s.now, sentAt, l.vm.rtt)
	case e.Verdict == verdict.NotRun && e.Reason == verdict.ReasonStopping:
		l.vm.outlier.Eject(s.now, s.rng)
		l.vm.outlier.Postpone(s.now.Add(leavingPause))
	case e.Reason == verdict.ReasonConnect, e.Reason == verdict.ReasonConnectionLost, e.Reason == verdict.ReasonSilent:
		s.linkFailed(l)
	}
}

// linkFailed records that an entry VM didn't answer. Other reasons are those
// of a target behind it.
func (s *State) linkFailed(l *link) {
	if l.vm.outlier.Failed() && s.now >= l.vm.outlier.Until() {
		l.vm.outlier.Eject(s.now, s.rng)
	}
}

func refusedForLoad(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonOverload, verdict.ReasonQueueFull, verdict.ReasonShed, verdict.ReasonNoTarget,
		verdict.ReasonHopLimit, verdict.ReasonDeadline, verdict.ReasonRetriesExhausted, verdict.ReasonNotReady:
		return true
	}
	return false
}
