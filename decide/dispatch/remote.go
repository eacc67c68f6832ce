package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/target"
	"github.com/azurethread/azurethread/decide/verdict"
)

const (
	// forwardMargin is the part of the usual latency by which a forward has to
	// be sooner than waiting here; without it, two domains under the same load
	// would exchange their requests.
	forwardMargin = 0.25
	// similarCost is how much longer than the best a forward may take and
	// still be drawn for it, so that not all senders choose the same receiver.
	similarCost = 3 * time.Millisecond
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
	l.window.Report(e.Headroom, s.now.Add(-e.Age), l.inFlight, s.vmCount, s.rng)
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
	if r.hops > 0 || s.opts.Ungated || s.lim.RemoteHorizon < 0 || r.attempts >= s.lim.MaxAttempts {
		return nil
	}
	v := r.svc
	limit := float64(wait) - forwardMargin*v.usual()
	latest := float64(s.latestStart(r) - s.now)
	limit = min(limit, latest)
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

// forwardCost is the time a forward is expected to take beyond the usual
// latency, in ns.
func (s *State) forwardCost(l *link) float64 {
	rtt := float64(l.vm.rtt)
	usual := l.svc.usual()
	return max(rtt, l.mean.At(s.now, rtt+usual)-usual)
}

// room returns how many forwards l can take now.
func (s *State) room(r *request, l *link) float64 {
	if l.vm == r.avoidVM {
		return 0
	}
	switch l.vm.outlier.Standing() {
	case target.Ejected:
		if s.now < l.vm.outlier.Until() {
			return 0
		}
		return s.testRoom(l)
	case target.Testing:
		return s.testRoom(l)
	default:
		return l.window.Room(s.now, l.inFlight, s.lim.RemoteHorizon)
	}
}

// testRoom lets one request at a time show whether an entry VM answers again.
// It needs a report made lately, as a region that is lost makes none.
func (s *State) testRoom(l *link) float64 {
	if l.window.Room(s.now, l.inFlight, s.lim.RemoteHorizon) <= 0 {
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
		l.window.Report(load.Slots-load.InFlight, s.now, l.inFlight, s.vmCount, s.rng)
	}
}

// linkEnded learns from a forward that failed.
func (s *State) linkEnded(l *link, e *Failed) {
	switch {
	case e.Verdict == verdict.NotRun && refusedForLoad(e.Reason):
		l.window.Refused(s.now, l.vm.rtt)
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
