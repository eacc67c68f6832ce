package ingress

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/target"
)

// service is the state of one service.
type service struct {
	name          fleet.ServiceName
	targets       []*targetState   // ordered by ID
	groups        [][]*targetState // those that may get requests, by group, unordered
	untried       []*targetState   // of the own region, by ID
	limited       []*targetState   // with a rate limit, by ID
	unavailable   []*targetState   // by their notices, by ID
	briefed       fleet.VMID       // the coordinator that was told of them
	withoutObject []*targetState   // in the order for requests without an object; nil: not computed
	occupancy     occupancy
	objects       objects
	waiting       waitingJobs
	dispatchedAt  clock.Time // when all waiting jobs were last tried

	lastTargets lastTargets // where this VM's own requests ran

	share  regionShare
	counts *placementCounts // since TakePlacementStats; nil: none
	// limitedPlaced and limitedSent count requests placed at, and sent to, targets
	// with a rate limit.
	limitedPlaced, limitedSent uint64
	retryBudget                retryBudget
	// unnamedRejectionAt is when a target last rejected a request, or may have, without
	// naming it; 0: none has.
	unnamedRejectionAt clock.Time
	latency            target.Quantiles
	hedges             *hedge.Controller // nil: second sends that save time are not enabled
}

func (r *Reducer) serviceOf(name fleet.ServiceName) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{name: name, groups: make([][]*targetState, 1+len(r.groups)), waiting: r.newWaitingJobs()}
		if r.opts.Hedge.Enabled() {
			s.hedges = hedge.New(r.opts.Hedge)
		}
		r.services[name] = s
	}
	return s
}

// insertByID and deleteByID keep a list of targets ordered by ID. The list must
// not depend on map order, because the same events must always have the same
// effects.
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

// retryBudget is a token bucket that pays for sends beyond the first of a request.
type retryBudget struct{ tokens float64 }

// earn credits an accepted request. limit is the most that may be saved up.
func (b *retryBudget) earn(share, limit float64) { b.tokens = min(b.tokens+share, limit) }

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// spendForHedge is spend for sends that only save time; it leaves half of the
// budget to the others.
func (b *retryBudget) spendForHedge(limit float64) bool {
	if b.tokens < limit/2+1 {
		return false
	}
	return b.spend()
}
