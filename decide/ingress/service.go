package ingress

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/queue"
	"github.com/azurethread/azurethread/decide/rank"
	"github.com/azurethread/azurethread/decide/target"
)

// service is what is known of one service.
type service struct {
	name    fleet.ServiceName
	targets []*targetState // by id
	waiting queue.FIFO[*job]
	ranked  map[string][]*targetState // targets by rank for an object

	recall recall // where this VM's own requests ran

	share   regionShare
	repeats repeatBudget
	latency target.Quantiles
}

func (r *Reducer) serviceOf(name fleet.ServiceName) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{name: name}
		r.services[name] = s
	}
	return s
}

// sort gives the targets an order that does not depend on the order of a map:
// the same events must always have the same effects.
func (s *service) sort() {
	slices.SortFunc(s.targets, func(a, b *targetState) int { return cmp.Compare(a.ID, b.ID) })
}

// maxRanked bounds the objects whose ranking is kept for each service.
const maxRanked = 2048

// rank returns the targets of s in the order in which they are considered for
// an object.
func (s *service) rank(object string) []*targetState {
	if list, ok := s.ranked[object]; ok {
		return list
	}
	out := rank.By(object, s.targets, func(t *targetState) string { return string(t.ID) })
	if s.ranked == nil || len(s.ranked) >= maxRanked {
		s.ranked = make(map[string][]*targetState)
	}
	s.ranked[object] = out
	return out
}

// repeatBudget pays for sends beyond the first of a request.
type repeatBudget struct{ tokens float64 }

// earn credits a request that was taken. limit is what may be saved up.
func (b *repeatBudget) earn(share, limit float64) { b.tokens = min(b.tokens+share, limit) }

func (b *repeatBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// spendSpare is spend for sends that only save time; half is left to the
// others.
func (b *repeatBudget) spendSpare(limit float64) bool {
	if b.tokens < limit/2+1 {
		return false
	}
	return b.spend()
}
