package dispatch

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/target"
)

// ServiceLoad is the load of one service at this entry VM, as reported to other
// entry VMs and in metrics.
type ServiceLoad struct {
	Service  fleet.ServiceName
	Capacity int // requests it may have in flight at its targets
	InFlight int // requests it has in flight there
	Queued   int // requests in the queue
	Headroom int // further requests it would accept from other entry VMs now
	// Warming reports that slow start is active at some of its targets: they
	// get fewer requests than they have slots, and answer more slowly.
	Warming bool
}

// AppendLoads appends the load of each service that has targets here or queued
// requests, sorted by name.
func (s *State) AppendLoads(to []ServiceLoad) []ServiceLoad {
	for _, svc := range s.services {
		if len(svc.targets) == 0 && svc.queue.Len() == 0 {
			continue
		}
		to = append(to, s.load(svc))
	}
	return to
}

func (s *State) load(svc *service) ServiceLoad {
	l := ServiceLoad{Service: svc.name, Capacity: svc.capacity, InFlight: svc.inFlight, Queued: svc.queue.Len(), Warming: svc.warming()}
	if !s.stopping {
		svc.observeFreeSlots(s.now)
		l.Headroom = int(math.Ceil(svc.freeSlots.mean - minReportedFree))
	}
	return l
}

// warming reports whether slow start is active at a target in use.
func (svc *service) warming() bool {
	for _, t := range svc.targets {
		if !t.leaving && t.limit.Warming() && t.outlier.State() != target.Ejected {
			return true
		}
	}
	return false
}

func (svc *service) observeFreeSlots(now clock.Time) {
	svc.freeSlots.observe(now, svc.capacity-svc.inFlight-svc.queue.Len())
}

// minReportedFree is the average number of free slots up to which no headroom
// is reported.
const minReportedFree = 0.25

// freeSlotsTimeConstant is the time constant of the average of free slots.
const freeSlotsTimeConstant = 500 * time.Millisecond

// slotAverage is the average over time of the free slots of a service. When few
// slots are taken and released every few milliseconds, the number free at one
// instant is a poor prediction for the second during which other entry VMs use
// the report.
type slotAverage struct {
	mean    float64
	current float64 // free slots, from since on
	since   clock.Time
}

// observe records that the number of free slots is free from now on.
func (a *slotAverage) observe(now clock.Time, free int) {
	if a.since != 0 {
		dt := float64(now.Sub(a.since))
		a.mean += (a.current - a.mean) * dt / (dt + float64(freeSlotsTimeConstant))
	}
	a.since = now
	a.current = float64(max(free, 0))
}
