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
	// maxRegionRefusals and maxFarRefusals are how many entry VMs in the region
	// and elsewhere may refuse one request before it stays here.
	maxRegionRefusals = 3
	maxOtherRefusals  = 2
	// costTolerance is how much longer than the best a forward may take and
	// still be drawn for it, so that not all senders choose the same receiver.
	costTolerance = 3 * time.Millisecond
	// maxRegionRTT is the longest round trip within a region.
	maxRegionRTT = 10 * time.Millisecond
	// minHeadroom is the least room a receiver must have.
	minHeadroom = 1
)

// setRemotes takes over the load reports of other entry VMs.
func (s *State) setRemotes(list []Remote) {
	s.clearReported()
	s.vmCount = 0
	for i := range list {
		s.setRemoteVM(&list[i])
	}
	for i := range list {
		s.setRemoteService(&list[i])
	}
	s.dropUnreported()
	s.drainAll()
	for _, v := range s.services {
		s.forwardQueued(v)
	}
}

func (s *State) clearReported() {
	for _, vm := range s.vms {
		vm.reported = false
	}
	for _, v := range s.services {
		for _, l := range v.remotes {
			l.reported = false
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
	if !vm.reported {
		vm.reported = true
		s.vmCount++
	}
	vm.rtt = e.RTT
}

func (s *State) setRemoteService(e *Remote) {
	vm := s.vms[e.VM]
	if vm == nil {
		return
	}
	v := s.service(e.Service)
	i, found := slices.BinarySearchFunc(v.remotes, e.VM, func(l *remoteService, id fleet.VMID) int { return cmp.Compare(l.vm.id, id) })
	if !found {
		v.remotes = slices.Insert(v.remotes, i, &remoteService{vm: vm, svc: v})
	}
	l := v.remotes[i]
	l.reported = true
	l.window.Report(e.Headroom, l.inFlightRatio(), s.now.Add(-e.Age), l.inFlight, s.vmCount, s.rng)
}

// dropUnreported drops what the last reports don't mention, once nothing is in
// flight there.
func (s *State) dropUnreported() {
	for _, v := range s.services {
		v.remotes = slices.DeleteFunc(v.remotes, func(l *remoteService) bool { return !l.reported && l.inFlight == 0 })
	}
	for id, vm := range s.vms {
		if !vm.reported && vm.inFlight == 0 {
			delete(s.vms, id)
		}
	}
}

// chooseRemote returns the entry VM to forward r to when that is expected to be
// sooner than waiting here for the given time, or nil.
func (s *State) chooseRemote(r *request, wait time.Duration) *remoteService {
	if r.hops > 0 || s.opts.PlainBalancer || s.lim.MaxRemoteLoadAge < 0 {
		return nil
	}
	v := r.svc
	limit := min(float64(wait), float64(s.latestStart(r)-s.now))
	best := limit
	for _, l := range v.remotes {
		if c := s.forwardCost(l); c < best && s.headroomFor(r, l) >= minHeadroom {
			best = c
		}
	}
	if best >= limit {
		return nil
	}
	return s.drawRemote(r, min(best+float64(costTolerance), limit))
}

// drawRemote draws among the entry VMs up to the given cost, by their room.
func (s *State) drawRemote(r *request, most float64) *remoteService {
	var chosen *remoteService
	total := 0.0
	for _, l := range r.svc.remotes {
		if s.forwardCost(l) > most {
			continue
		}
		room := s.headroomFor(r, l)
		if room < minHeadroom {
			continue
		}
		total += room
		if s.rng.Float64()*total < room {
			chosen = l
		}
	}
	return chosen
}

// forwardQueued forwards waiting requests when there is room elsewhere again: those
// that have waited longest among the ones whose turn here would come later
// than an answer from there.
func (s *State) forwardQueued(v *service) {
	for v.queue.Len() > 0 {
		ahead := s.servedWithin(v, s.lowestForwardCost(v))
		n := v.queue.Front()
		for i := 0; i < ahead && n != nil; i++ {
			n = n.Next()
		}
		if n == nil {
			return
		}
		wait := s.expectedWait(v, ahead)
		l := s.chooseRemote(n.Item, wait)
		if l == nil || !s.forward(n.Item, l, wait) {
			return
		}
	}
}

// lowestForwardCost returns the least cost of a forward to an entry VM with room.
func (s *State) lowestForwardCost(v *service) float64 {
	best := float64(unknownWait)
	for _, l := range v.remotes {
		if c := s.forwardCost(l); c < best && s.headroom(l) >= minHeadroom {
			best = c
		}
	}
	return best
}

// servedWithin returns how many waiting requests are served here within d ns.
func (s *State) servedWithin(v *service, d float64) int {
	return int(d * float64(v.capacity) / v.meanLatency())
}

// inRegion reports whether a round trip to l costs next to nothing.
func (l *remoteService) inRegion() bool { return l.vm.rtt <= maxRegionRTT }

// countRefusal records that l refused r.
func (r *request) countRefusal(l *remoteService) {
	if l.inRegion() {
		r.regionRefusals++
	} else {
		r.otherRefusals++
	}
}

func (r *request) tooManyRefusals(l *remoteService) bool {
	if l.inRegion() {
		return r.regionRefusals >= maxRegionRefusals
	}
	return r.otherRefusals >= maxOtherRefusals
}

// forwardCost is the time a forward is expected to take beyond the usual
// latency, in ns.
func (s *State) forwardCost(l *remoteService) float64 {
	rtt := float64(l.vm.rtt)
	usual := l.svc.meanLatency()
	return max(rtt, l.mean.At(s.now, rtt+usual)-usual)
}

// headroomFor returns how many forwards l can take now.
func (s *State) headroomFor(r *request, l *remoteService) float64 {
	if l.vm == r.avoidVM || r.tooManyRefusals(l) {
		return 0
	}
	return s.headroom(l)
}

// headroom is room for any request.
func (s *State) headroom(l *remoteService) float64 {
	switch l.vm.outlier.Standing() {
	case target.Ejected:
		if s.now < l.vm.outlier.Until() {
			return 0
		}
		return s.testHeadroom(l)
	case target.Testing:
		return s.testHeadroom(l)
	default:
		return l.window.Room(s.now, l.inFlight, s.lim.MaxRemoteLoadAge, l.inRegion())
	}
}

// testHeadroom lets one request at a time show whether an entry VM answers again.
// It needs a report made lately, as a region that is lost makes none.
func (s *State) testHeadroom(l *remoteService) float64 {
	if l.window.Room(s.now, l.inFlight, s.lim.MaxRemoteLoadAge, true) <= 0 {
		return 0
	}
	return float64(1 - l.vm.inFlight)
}

// remoteAnswered learns from the answer to a forward.
func (s *State) remoteAnswered(l *remoteService, load *LoadHint, took time.Duration) {
	l.vm.outlier.Answered(s.now)
	l.window.Answered()
	l.mean.Observe(s.now, took)
	if load != nil && load.Slots > 0 {
		l.window.Report(load.Slots-load.InFlight, l.inFlightRatio(), s.now, l.inFlight, s.vmCount, s.rng)
	}
}

// remoteAttemptFailed learns from a forward that failed.
func (s *State) remoteAttemptFailed(l *remoteService, e *Failed, sentAt clock.Time) {
	switch {
	case e.Verdict == verdict.NotRun && refusedForLoad(e.Reason):
		l.window.Refused(s.now, sentAt, l.vm.rtt)
	case e.Verdict == verdict.NotRun && e.Reason == verdict.ReasonStopping:
		l.vm.outlier.Eject(s.now, s.rng)
		l.vm.outlier.Postpone(s.now.Add(leavingPause))
	case e.Reason == verdict.ReasonConnect, e.Reason == verdict.ReasonConnectionLost, e.Reason == verdict.ReasonSilent:
		s.recordRemoteFailure(l)
	}
}

// recordRemoteFailure records that an entry VM didn't answer. Other reasons are those
// of a target behind it.
func (s *State) recordRemoteFailure(l *remoteService) {
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
