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
		v.observeSpare(s.now)
		l.Headroom = int(math.Ceil(v.spare.mean - leastSpare))
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

func (v *service) observeSpare(now clock.Time) {
	v.spare.observe(now, v.capacity-v.inFlight-v.queue.Len())
}

// leastSpare is the free part of a slot, on average, that isn't worth stating.
const leastSpare = 0.25

// spareMemory is the time over which spare averages.
const spareMemory = 500 * time.Millisecond

// spare is the average over time of the free slots of a service. With a few
// slots that are taken and freed every few milliseconds, the number free at
// one instant says little about the second for which others rely on it.
type spare struct {
	mean float64
	free float64 // since at
	at   clock.Time
}

// observe records that from now on, free slots are free.
func (p *spare) observe(now clock.Time, free int) {
	if p.at != 0 {
		dt := float64(now.Sub(p.at))
		p.mean += (p.free - p.mean) * dt / (dt + float64(spareMemory))
	}
	p.at = now
	p.free = float64(max(free, 0))
}
