package ingress

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/queue"
	"github.com/azurethread/azurethread/decide/target"
)

// service is what is known of one service.
type service struct {
	name    fleet.ServiceName
	targets []*targetState   // by id
	groups  [][]*targetState // those that may get requests, by group, in no order
	untried []*targetState   // of the own region, by id
	limited []*targetState   // that name a rate limit, by id
	unnamed []*targetState   // in the order without an object; nil: not computed
	here    crowd
	objects objects
	waiting queue.FIFO[*job]
	turns   uint64     // given to waiting jobs
	pumped  clock.Time // when all of them were last tried

	recall recall // where this VM's own requests ran

	share   regionShare
	placed  *placements // since TakePlaced; nil: none
	repeats repeatBudget
	latency target.Quantiles
}

func (r *Reducer) serviceOf(name fleet.ServiceName) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{name: name, groups: make([][]*targetState, 1+len(r.groups))}
		r.services[name] = s
	}
	return s
}

// insertByID and deleteByID keep a list of targets by id: the order of a map
// must not show, as the same events must always have the same effects.
func insertByID(list []*targetState, t *targetState) []*targetState {
	at, _ := slices.BinarySearchFunc(list, t, compareIDs)
	return slices.Insert(list, at, t)
}

func deleteByID(list []*targetState, t *targetState) []*targetState {
	at, found := slices.BinarySearchFunc(list, t, compareIDs)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}

func compareIDs(a, b *targetState) int { return cmp.Compare(a.ID, b.ID) }

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
