package route

import "github.com/azurethread/azurethread/decide/fleet"

// Split deals the requests of a route out to its parts in the proportion of
// their weights. Each request goes to the part that lags furthest behind its
// share, so the shares hold over any run of requests; drawn at random, a part
// of 10 in 100 would be off by a third over 100 requests. The zero value is
// ready.
type Split struct {
	credit map[fleet.ServiceName]int
}

// Next chooses the service of the next request.
func (s *Split) Next(parts []Part) fleet.ServiceName {
	if len(parts) == 1 {
		return parts[0].Service
	}
	if s.credit == nil {
		s.credit = make(map[fleet.ServiceName]int, len(parts))
	}
	total := 0
	best := -1
	for i, p := range parts {
		total += p.Weight
		s.credit[p.Service] += p.Weight
		if p.Weight > 0 && (best < 0 || s.credit[p.Service] > s.credit[parts[best].Service]) {
			best = i
		}
	}
	chosen := parts[best].Service
	s.credit[chosen] -= total
	return chosen
}
