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
	// maxRegionRefusals and maxOtherRefusals limit how many entry VMs within
	// the region and outside of it may refuse a request before it is no longer
	// forwarded there.
	maxRegionRefusals = 3
	maxOtherRefusals  = 2
	// costTolerance is how much longer than the best a forward may take and
	// still be a candidate, so that senders don't all choose the same receiver.
	costTolerance = 3 * time.Millisecond
	// maxRegionRTT is the longest round trip within a region.
	maxRegionRTT = 10 * time.Millisecond
	// minHeadroom is the least headroom of a receiver of forwards.
	minHeadroom = 1
)

// setRemotes applies the load reports of other entry VMs.
func (s *State) setRemotes(list []RemoteLoad) {
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
	for _, svc := range s.services {
		s.forwardQueued(svc)
	}
}

// clearReported marks all remote services and entry VMs as not reported.
func (s *State) clearReported() {
	for _, vm := range s.vms {
		vm.reported = false
	}
	for _, svc := range s.services {
		for _, rs := range svc.remotes {
			rs.reported = false
		}
	}
}

func (s *State) setRemoteVM(e *RemoteLoad) {
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

func (s *State) setRemoteService(e *RemoteLoad) {
	vm := s.vms[e.VM]
	if vm == nil {
		return
	}
	svc := s.service(e.Service)
	i, found := slices.BinarySearchFunc(svc.remotes, e.VM, func(rs *remoteService, id fleet.VMID) int { return cmp.Compare(rs.vm.id, id) })
	if !found {
		svc.remotes = slices.Insert(svc.remotes, i, &remoteService{vm: vm, svc: svc})
	}
	rs := svc.remotes[i]
	rs.reported = true
	rs.window.Report(e.Headroom, rs.inFlightRatio(), s.now.Add(-e.Age), rs.inFlight, s.vmCount, s.rng)
}

// dropUnreported removes services and entry VMs that are missing from the last
// reports and have nothing in flight.
func (s *State) dropUnreported() {
	for _, svc := range s.services {
		svc.remotes = slices.DeleteFunc(svc.remotes, func(rs *remoteService) bool { return !rs.reported && rs.inFlight == 0 })
	}
	for id, vm := range s.vms {
		if !vm.reported && vm.inFlight == 0 {
			delete(s.vms, id)
		}
	}
}

// chooseRemote returns the entry VM to forward r to if that is expected to be
// faster than waiting here for the given time, else nil.
func (s *State) chooseRemote(r *request, wait time.Duration) *remoteService {
	if r.hops > 0 || s.opts.PlainBalancer || s.lim.MaxRemoteLoadAge < 0 {
		return nil
	}
	svc := r.svc
	limit := min(float64(wait), float64(s.latestStart(r)-s.now))
	best := limit
	for _, rs := range svc.remotes {
		if c := s.forwardCost(rs); c < best && s.headroomFor(r, rs) >= minHeadroom {
			best = c
		}
	}
	if best >= limit {
		return nil
	}
	return s.drawRemote(r, min(best+float64(costTolerance), limit))
}

// drawRemote draws among the entry VMs up to the given cost, weighted by their
// headroom.
func (s *State) drawRemote(r *request, maxCost float64) *remoteService {
	var chosen *remoteService
	total := 0.0
	for _, rs := range r.svc.remotes {
		if s.forwardCost(rs) > maxCost {
			continue
		}
		headroom := s.headroomFor(r, rs)
		if headroom < minHeadroom {
			continue
		}
		total += headroom
		if s.rng.Float64()*total < headroom {
			chosen = rs
		}
	}
	return chosen
}

// forwardQueued forwards queued requests when entry VMs elsewhere have headroom
// again. Of the requests that would be served here later than there, it takes
// those that have waited longest.
func (s *State) forwardQueued(svc *service) {
	for svc.queue.Len() > 0 {
		ahead := s.servedWithin(svc, s.lowestForwardCost(svc))
		n := svc.queue.Front()
		for i := 0; i < ahead && n != nil; i++ {
			n = n.Next()
		}
		if n == nil {
			return
		}
		wait := s.expectedWait(svc, ahead)
		rs := s.chooseRemote(n.Item, wait)
		if rs == nil || !s.forward(n.Item, rs, wait) {
			return
		}
	}
}

// lowestForwardCost returns the lowest cost of a forward to an entry VM with
// headroom.
func (s *State) lowestForwardCost(svc *service) float64 {
	best := float64(unknownWait)
	for _, rs := range svc.remotes {
		if c := s.forwardCost(rs); c < best && s.headroom(rs) >= minHeadroom {
			best = c
		}
	}
	return best
}

// servedWithin returns how many queued requests are expected to be served here
// within d ns.
func (s *State) servedWithin(svc *service, d float64) int {
	return int(d * float64(svc.capacity) / svc.meanLatency())
}

// inRegion reports whether the round trip is short enough for an entry VM
// within the region.
func (rs *remoteService) inRegion() bool { return rs.vm.rtt <= maxRegionRTT }

// countRefusal records that rs refused r.
func (r *request) countRefusal(rs *remoteService) {
	if rs.inRegion() {
		r.regionRefusals++
	} else {
		r.otherRefusals++
	}
}

func (r *request) tooManyRefusals(rs *remoteService) bool {
	if rs.inRegion() {
		return r.regionRefusals >= maxRegionRefusals
	}
	return r.otherRefusals >= maxOtherRefusals
}

// forwardCost returns the time a forward is expected to take beyond the mean
// latency, in ns.
func (s *State) forwardCost(rs *remoteService) float64 {
	rtt := float64(rs.vm.rtt)
	mean := rs.svc.meanLatency()
	return max(rtt, rs.mean.At(s.now, rtt+mean)-mean)
}

// headroomFor returns how many forwards rs can take now, if r may be forwarded
// to it, else 0.
func (s *State) headroomFor(r *request, rs *remoteService) float64 {
	if rs.vm == r.avoidVM || r.tooManyRefusals(rs) {
		return 0
	}
	return s.headroom(rs)
}

// headroom returns how many forwards rs can take now.
func (s *State) headroom(rs *remoteService) float64 {
	switch rs.vm.outlier.State() {
	case target.Ejected:
		if s.now < rs.vm.outlier.Until() {
			return 0
		}
		return s.testHeadroom(rs)
	case target.Testing:
		return s.testHeadroom(rs)
	default:
		return rs.window.Room(s.now, rs.inFlight, s.lim.MaxRemoteLoadAge, rs.inRegion())
	}
}

// testHeadroom allows one request at a time, to test whether an entry VM
// answers again. It requires a recent report, because a lost region sends none.
func (s *State) testHeadroom(rs *remoteService) float64 {
	if rs.window.Room(s.now, rs.inFlight, s.lim.MaxRemoteLoadAge, true) <= 0 {
		return 0
	}
	return float64(1 - rs.vm.inFlight)
}

// remoteAnswered records the answer to a forward.
func (s *State) remoteAnswered(rs *remoteService, load *LoadHint, took time.Duration) {
	rs.vm.outlier.Answered(s.now)
	rs.window.Answered()
	rs.mean.Observe(s.now, took)
	if load != nil && load.Slots > 0 {
		rs.window.Report(load.Slots-load.InFlight, rs.inFlightRatio(), s.now, rs.inFlight, s.vmCount, s.rng)
	}
}

// remoteAttemptFailed records the failure of a forward.
func (s *State) remoteAttemptFailed(rs *remoteService, e *Failed, sentAt clock.Time) {
	switch {
	case e.Verdict == verdict.NotRun && refusedForLoad(e.Reason):
		rs.window.Refused(s.now, sentAt, rs.vm.rtt)
	case e.Verdict == verdict.NotRun && e.Reason == verdict.ReasonStopping:
		rs.vm.outlier.Eject(s.now, s.rng)
		rs.vm.outlier.Postpone(s.now.Add(leavingPause))
	case e.Reason == verdict.ReasonConnect, e.Reason == verdict.ReasonConnectionLost, e.Reason == verdict.ReasonSilent:
		s.recordRemoteFailure(rs)
	}
}

// recordRemoteFailure records that an entry VM didn't answer and ejects it if
// it is an outlier. Failures that a target behind it caused are not recorded.
func (s *State) recordRemoteFailure(rs *remoteService) {
	if rs.vm.outlier.Failed() && s.now >= rs.vm.outlier.Until() {
		rs.vm.outlier.Eject(s.now, s.rng)
	}
}

// refusedForLoad reports whether an entry VM refused a request because it
// lacked capacity or time for it.
func refusedForLoad(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonOverload, verdict.ReasonQueueFull, verdict.ReasonTargetRefused, verdict.ReasonNoTarget,
		verdict.ReasonHopLimit, verdict.ReasonDeadline, verdict.ReasonRetriesExhausted, verdict.ReasonNotReady:
		return true
	}
	return false
}
