package ingress

import (
	"errors"
	"fmt"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
)

// Check returns the first inconsistency of the reducer's state. Randomised tests
// call it after every step.
func (r *Reducer) Check() error {
	inFlight := make(map[*targetState]int)
	preferred := make(map[*targetState]int)
	for key, j := range r.jobs {
		switch j.state {
		case jobPlaced:
			inFlight[j.target]++
		case jobWaiting:
			if !j.queued() {
				return fmt.Errorf("job %v: waiting, but not in the queue", key)
			}
			if j.preferred != nil {
				preferred[j.preferred]++
			}
		case jobUncharged:
			if s := r.accounts[j.Account]; s == nil || !slices.Contains(s.waiting.All(), j) {
				return fmt.Errorf("job %v: waits for a token, but not in its account's queue", key)
			}
		default:
			return fmt.Errorf("job %v: unexpected state %d", key, j.state)
		}
		if j.req != nil && j.state == jobWaiting && j.req.job != j {
			return fmt.Errorf("job %v: waiting although its request has another search", key)
		}
		if j.req != nil && r.requests[j.req.id] == nil {
			return fmt.Errorf("job %v: its request has ended", key)
		}
	}
	for id, t := range r.targets {
		if t.inFlight != inFlight[t] {
			return fmt.Errorf("target %s: %d requests counted in flight, %d jobs placed there", id, t.inFlight, inFlight[t])
		}
		if t.preferredBy != preferred[t] {
			return fmt.Errorf("target %s: counted as preferred by %d jobs, preferred by %d", id, t.preferredBy, preferred[t])
		}
	}
	return errors.Join(r.checkRequests(), r.checkNotices(), r.checkLimits(), r.checkAccounts(), r.checkQueues(), r.checkCaches())
}

// checkNotices checks that nothing was sent to a target after this VM had received
// its notice.
func (r *Reducer) checkNotices() error {
	for id, a := range r.attempts {
		if v := &a.target.availability; a.gateway == "" && v.Forbids(a.sent) {
			return fmt.Errorf("attempt %d: sent to target %s after its notice", id, a.target.ID)
		}
	}
	for id, f := range r.forwards {
		if f.target.availability.Forbids(f.sent) {
			return fmt.Errorf("request %d: forwarded to target %s after its notice", id, f.target.ID)
		}
	}
	return nil
}

// checkLimits checks that nothing was sent to a target by a placement that ignored a
// rate limit which this VM knew.
func (r *Reducer) checkLimits() error {
	ignored := func(t *targetState, sent clock.Time, terms LimitTerms) bool {
		recent := sent.Sub(t.limit.statedAt) < limitMemory
		return t.limit.active && recent && sent.After(t.limit.knownAt) && !terms.Counted && r.on(RateLimits)
	}
	for id, a := range r.attempts {
		if a.gateway == "" && ignored(a.target, a.sent, a.terms) {
			return fmt.Errorf("attempt %d: sent to target %s without regard to its rate limit", id, a.target.ID)
		}
	}
	for id, f := range r.forwards {
		if ignored(f.target, f.sent, f.terms) {
			return fmt.Errorf("request %d: forwarded to target %s without regard to its rate limit", id, f.target.ID)
		}
	}
	return nil
}

func (r *Reducer) checkRequests() error {
	for q := range r.awaitingProof {
		if r.requests[q.id] != q || len(q.running) > 0 || q.searching() {
			return fmt.Errorf("request %d waits for proof and is not at its end", q.id)
		}
	}
	attempts := 0
	for id, q := range r.requests {
		attempts += len(q.running)
		if len(q.running) == 0 && q.job == nil && q.pending == nil && !r.awaitingProof[q] {
			return fmt.Errorf("request %d: neither an attempt nor a search is under way", id)
		}
		if q.sends > q.route.Attempts {
			return fmt.Errorf("request %d: %d sends, at most %d allowed", id, q.sends, q.route.Attempts)
		}
		if !q.route.Idempotent && len(q.running) > 1 {
			return fmt.Errorf("request %d: not idempotent, but two attempts are under way", id)
		}
	}
	if attempts != len(r.attempts) {
		return fmt.Errorf("%d attempts stored, %d belong to requests", len(r.attempts), attempts)
	}
	if len(r.forwards) != len(r.forwardsByAttempt) {
		return fmt.Errorf("%d forwarded requests, %d indexed by attempt", len(r.forwards), len(r.forwardsByAttempt))
	}
	for id, q := range r.placements {
		if q.pending == nil || q.pending.request.ID != id {
			return fmt.Errorf("placement request %d is stored, but its request does not wait for it", id)
		}
	}
	return nil
}

// checkAccounts checks that no request without a valid account is on its way to a
// target, and that every request that was placed for a limited account was charged.
func (r *Reducer) checkAccounts() error {
	for id, q := range r.requests {
		if q.searching() && r.keyRevoked(q) {
			return fmt.Errorf("request %d: searches a target for account %q without a valid key", id, q.account)
		}
	}
	if len(r.accountList) != len(r.accounts) || !slices.IsSortedFunc(r.accountList, compareNames) {
		return fmt.Errorf("%d accounts listed of %d, or not by name", len(r.accountList), len(r.accounts))
	}
	for key, j := range r.jobs {
		if a, _ := r.limitedAccount(j.Account); a != nil && j.Account != "" && !j.charged && r.on(Quotas) && (j.state == jobWaiting || j.state == jobPlaced) && j.arrived > r.configuredAt {
			return fmt.Errorf("job %v: not charged to account %q", key, j.Account)
		}
	}
	return nil
}

func (r *Reducer) checkQueues() error {
	waiting := 0
	for _, s := range r.services {
		waiting += s.waiting.Len()
	}
	for _, j := range r.jobs {
		if j.state == jobWaiting {
			waiting--
		}
	}
	if waiting != 0 {
		return fmt.Errorf("%d more jobs in the queues than in state waiting", waiting)
	}
	return nil
}

// checkCaches compares cached data with its source.
func (r *Reducer) checkCaches() error {
	waiting := make(map[*targetState]int)
	for key, j := range r.jobs {
		if j.state != jobWaiting {
			continue
		}
		for _, x := range j.candidates {
			waiting[x.t]++
			if !slices.Contains(x.t.waiters, j) {
				return fmt.Errorf("job %v: target %s is a candidate without the job among its waiters", key, x.t.ID)
			}
		}
	}
	for _, s := range r.services {
		if err := r.checkService(s, waiting); err != nil {
			return err
		}
	}
	return nil
}

// checkService compares the counts and groups of s with its targets; waiting is
// the number of jobs that have each target as a candidate.
func (r *Reducer) checkService(s *service, waiting map[*targetState]int) error {
	load, slots, listed, limited, unavailable := 0, 0, 0, 0, 0
	for _, t := range s.targets {
		load += t.countedLoad
		slots += t.countedSlots
		listed += count(t.listed)
		limited += count(t.limit.active)
		unavailable += count(!t.availability.Available())
		if len(t.waiters) != waiting[t] {
			return fmt.Errorf("target %s: %d waiters, but %d waiting jobs with it as a candidate", t.ID, len(t.waiters), waiting[t])
		}
		if may := !t.Draining && !r.evacuated[t.Domain] && t.availability.Available(); may != t.listed {
			return fmt.Errorf("target %s: listed is %v, but may get requests is %v", t.ID, t.listed, may)
		}
	}
	if limited != len(s.limited) {
		return fmt.Errorf("service %s: %d targets with a rate limit, but %d listed", s.name, limited, len(s.limited))
	}
	if unavailable != len(s.unavailable) {
		return fmt.Errorf("service %s: %d targets not available by their notices, but %d listed", s.name, unavailable, len(s.unavailable))
	}
	for _, g := range s.groups {
		listed -= len(g)
	}
	if load != s.occupancy.load || slots != s.occupancy.slots || listed != 0 {
		return fmt.Errorf("service %s: occupancy %d of %d slots, but %d of %d by its targets; %d more targets listed than grouped",
			s.name, s.occupancy.load, s.occupancy.slots, load, slots, listed)
	}
	return nil
}
