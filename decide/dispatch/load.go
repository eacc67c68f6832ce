package dispatch

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/target"
)

// ServiceLoad is this entry VM's load by one service, as it reports it to
// other entry VMs and to metrics.
type ServiceLoad struct {
	Service  fleet.ServiceName
	Capacity int // requests it may have in flight at its targets
	InFlight int // requests it has in flight there
	Queued   int // requests that wait
	Headroom int // further requests it would admit from others now
	// Warming says that slow start is in force at some of its targets: they
	// get fewer requests than they have slots, and answer more slowly.
	Warming bool
}

// AppendLoads appends the load of each service that has targets here or has
// requests waiting, in order of their names.
func (s *State) AppendLoads(to []ServiceLoad) []ServiceLoad {
	for _, v := range s.services {
		if len(v.targets) == 0 && v.queue.Len() == 0 {
			continue
		}
		to = append(to, s.load(v))
	}
	return to
}

func (s *State) load(v *service) ServiceLoad {
	l := ServiceLoad{Service: v.name, Capacity: v.capacity, InFlight: v.inFlight, Queued: v.queue.Len(), Warming: v.warming()}
	if !s.stopping {
		v.observeFreeSlots(s.now)
		l.Headroom = int(math.Ceil(v.freeSlots.mean - minReportedFree))
	}
	return l
}

// warming reports whether slow start is in force at a target in use.
func (v *service) warming() bool {
	for _, t := range v.targets {
		if !t.leaving && t.limit.Warming() && t.outlier.Standing() != target.Ejected {
			return true
		}
	}
	return false
}

func (v *service) observeFreeSlots(now clock.Time) {
	v.freeSlots.observe(now, v.capacity-v.inFlight-v.queue.Len())
}

// minReportedFree is the free part of a slot, on average, that isn't worth stating.
const minReportedFree = 0.25

// freeSlotsTimeConstant is the time over which spare averages.
const freeSlotsTimeConstant = 500 * time.Millisecond

// slotAverage is the average over time of the free slots of a service. With a few
// slots that are taken and freed every few milliseconds, the number free at
// one instant says little about the second for which others rely on it.
type slotAverage struct {
	mean    float64
	current float64 // since at
	since   clock.Time
}

// observe records that from now on, free slots are free.
func (p *slotAverage) observe(now clock.Time, free int) {
	if p.since != 0 {
		dt := float64(now.Sub(p.since))
		p.mean += (p.current - p.mean) * dt / (dt + float64(freeSlotsTimeConstant))
	}
	p.since = now
	p.current = float64(max(free, 0))
}
