package ingress

import (
	"github.com/azurethread/azurethread/decide/fleet"
)

// Placed says where the requests of one service went that this entry VM placed
// within some time, its own and those of VMs that asked it.
type Placed struct {
	Service  fleet.ServiceName
	ByRegion map[fleet.Region]int // requests, by the region of their target
	// Kept and Wanted are the share of other regions that is kept to, and the
	// one with which requests would be answered soonest.
	Kept, Wanted float64
}

// TakePlaced returns what was placed since its last call, a record for each
// service with requests.
func (r *Reducer) TakePlaced() []Placed {
	var list []*service
	for _, s := range r.services {
		if len(s.placed) > 0 {
			list = append(list, s)
		}
	}
	sortServices(list)
	out := make([]Placed, 0, len(list))
	for _, s := range list {
		out = append(out, Placed{
			Service: s.name, ByRegion: s.placed,
			Kept: s.share.target, Wanted: s.share.wanted,
		})
		s.placed = nil
	}
	return out
}

// notePlaced counts a request that was placed in a region.
func (s *service) notePlaced(region fleet.Region) {
	if s.placed == nil {
		s.placed = make(map[fleet.Region]int)
	}
	s.placed[region]++
}
