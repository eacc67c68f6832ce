package route

import "github.com/azurethread/azurethread/decide/fleet"

// Split distributes the requests of a route over its services in proportion to
// their weights, by smooth weighted round-robin: each request goes to the
// service furthest behind its share, so the shares hold over any run of
// requests. With a random choice, a service of weight 10 in 100 would be off
// by a third over 100 requests. The zero value is ready to use.
type Split struct {
	credit map[fleet.ServiceName]int
}

// Next returns the service for the next request.
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
