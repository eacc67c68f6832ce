package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// The account of a request is determined by the table that also determines its
// route. With two states, a request that arrives between their updates could be
// sent to a target with its key and without an account.

// identify returns the account whose key a request presents. With a reason other
// than ReasonNone the request must be refused. A public route needs no key, but a
// key that is presented must be valid.
func (r *Reducer) identify(rt *route.Route, key *route.KeyDigest) (*route.Account, verdict.Reason) {
	switch {
	case !r.table.Config.RequiresKeys():
		return nil, verdict.ReasonNone
	case key == nil && rt.Public:
		return nil, verdict.ReasonNone
	case key == nil:
		return nil, verdict.ReasonKeyMissing
	}
	a := r.table.AccountOf(*key)
	switch {
	case a == nil:
		return nil, verdict.ReasonKeyUnknown
	case a.Disabled:
		return a, verdict.ReasonAccountDefect
	}
	return a, verdict.ReasonNone
}

// applyAccount sets what q's account determines. It reports false with the reason
// if q must be refused.
func (r *Reducer) applyAccount(now clock.Time, q *request, key *route.KeyDigest) (verdict.Reason, bool) {
	a, reason := r.identify(q.route, key)
	q.key, q.priority, q.allowedRegions = key, q.route.Priority, q.route.Homes
	if a == nil {
		return reason, reason == verdict.ReasonNone
	}
	q.account = a.Name
	if reason == verdict.ReasonNone && r.keysUnverified(now) {
		reason = verdict.ReasonNotReady
	}
	if a.HasPriority {
		q.priority = a.Priority
	}
	regions, common := route.CommonRegions(q.route.Homes, a.Homes)
	if reason == verdict.ReasonNone && !common {
		reason = verdict.ReasonNoCommonRegion
	}
	q.allowedRegions = regions
	return reason, reason == verdict.ReasonNone
}

// keysUnverified reports whether a key may have been taken away so long ago that it must not
// be accepted, by a change that this VM knows of and has not read.
func (r *Reducer) keysUnverified(now clock.Time) bool {
	limit := r.opts.Bounds.RevokeTime
	return limit > 0 && r.behindSince > 0 && now.Sub(r.behindSince) > limit
}

// keyRevoked reports whether q's key is no longer valid, so that q must not be sent
// again.
func (r *Reducer) keyRevoked(q *request) bool {
	a, reason := r.identify(q.route, q.key)
	return reason != verdict.ReasonNone || (a != nil && a.Name != q.account)
}

// refuseRevoked ends the searches of requests whose keys are no longer valid.
// Requests under way at a target continue, because they may have run.
func (r *Reducer) refuseRevoked(now clock.Time) {
	for _, q := range r.sortedRequests() {
		if !r.keyRevoked(q) {
			continue
		}
		r.cancelSearch(now, q)
		if len(q.running) == 0 {
			q.reason = verdict.ReasonKeyUnknown
			r.refuse(now, q)
		}
	}
}

// isPermanent reports whether a request refused for this reason would be refused
// again until the configuration changes.
func isPermanent(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonKeyMissing, verdict.ReasonKeyUnknown, verdict.ReasonNoCommonRegion:
		return true
	}
	return false
}

// accountRetryAfter returns the retry delay for a request refused because of its
// account.
func accountRetryAfter(reason verdict.Reason) time.Duration {
	if isPermanent(reason) {
		return 0
	}
	return defaultAim
}
