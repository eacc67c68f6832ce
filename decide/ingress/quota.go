package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/quota"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// The quota of a client account applies to all entry VMs together. The VM that
// places a request charges it to the account, so an admitted request costs no
// message of its own, and the requests of an account that arrive thinly at many VMs
// are counted by few. See issuer.go for where tokens come from, and tokens.go for how
// they get to the VM that needs them.

const (
	// accountTTL is how long the state of an account that is not used is kept.
	accountTTL = 10 * time.Second
	// tokenQueueTime determines how many requests of an account wait for tokens:
	// those that are admitted in that time.
	tokenQueueTime = 500 * time.Millisecond
	// minTokenQueue is how many requests of an account may wait in any case.
	minTokenQueue = 4
	// minQuotaRetryAfter is the least retry delay of a request without a token: the
	// time in which tokens of other VMs may arrive.
	minQuotaRetryAfter = 250 * time.Millisecond
	// maxQuotaRetryAfter limits the retry delay of a request beyond a quota.
	maxQuotaRetryAfter = 2 * time.Second
	// shortageTTL is how long an account counts as short of tokens after a request last
	// waited for one or was refused.
	shortageTTL = time.Second
	// maxDemandPriorities is the number of priorities whose demands are measured apart.
	// Those beyond it count for the least urgent of them.
	maxDemandPriorities = 8
)

// accountState is the state of one limited account at this VM.
type accountState struct {
	name   route.AccountName
	bucket quota.Bucket
	// demand measures the requests that were to be placed here, admitted those that
	// were charged. demands holds the former by priority, the most urgent first.
	demand, admitted quota.Meter
	demands          []priorityDemand
	usedAt           clock.Time
	// shortAt is when a request last waited for a token or was refused; 0: never.
	shortAt clock.Time
	// claims are the parts of the tokens issued here that other VMs get.
	claims quota.Claims
	// queueEnd is when the latest refused request is expected to be admitted.
	queueEnd clock.Time
	// waiting are jobs that wait for a token. Those that have ended meanwhile are
	// skipped.
	waiting quota.Waiting[*job]
	// isolated are the tokens of a weak VM, which fill only while it places requests
	// itself. They start at a random fraction of one, so that of many such VMs some
	// admit their first request. isolatedFor is the isolation.total to which they
	// were filled.
	isolated    float64
	isolatedFor time.Duration
	// expected are the tokens that unanswered requests are expected to bring, and
	// grantShare is the recent part of requested tokens that was granted.
	expected   float64
	grantShare float64
	// charged and refused count requests.
	charged, refused uint64
}

// priorityDemand measures the requests of one priority.
type priorityDemand struct {
	priority int
	meter    quota.Meter
}

// limitedAccount returns the account of a name if it has a quota, else nil. known
// is false if the configuration in force has no such account.
func (r *Reducer) limitedAccount(name route.AccountName) (a *route.Account, known bool) {
	if r.table == nil {
		return nil, false
	}
	a = r.table.Account(name)
	if a == nil || !a.Quota.Limited() {
		return nil, a != nil
	}
	return a, true
}

// accountStateOf returns the state of a limited account.
func (r *Reducer) accountStateOf(now clock.Time, a *route.Account) *accountState {
	s, ok := r.accounts[a.Name]
	if !ok {
		s = &accountState{name: a.Name, bucket: quota.NewBucket(now, r.startedAt, r.ownBudget(a)), usedAt: now, isolated: r.rng.Float64(), grantShare: maxGrantShare}
		r.accounts[a.Name] = s
		at, _ := slices.BinarySearchFunc(r.accountList, s, compareNames)
		r.accountList = slices.Insert(r.accountList, at, s)
		r.scheduleTokens(now, tokenInterval)
	}
	return s
}

func compareNames(a, b *accountState) int { return cmp.Compare(a.name, b.name) }

// dropAccounts drops the states of accounts that unused selects.
func (r *Reducer) dropAccounts(unused func(*accountState) bool) {
	r.accountList = slices.DeleteFunc(r.accountList, func(s *accountState) bool {
		drop := unused(s)
		if drop {
			delete(r.accounts, s.name)
		}
		return drop
	})
}

// admit charges j to its account. It reports false if j was denied or waits for a
// token.
func (r *Reducer) admit(now clock.Time, j *job) bool {
	if j.Account == "" || !r.on(Quotas) {
		return true
	}
	a, known := r.limitedAccount(j.Account)
	switch {
	case !known: // the configuration is older than that of j's VM
		r.denyFor(now, j, verdict.ReasonNotReady, minQuotaRetryAfter)
		return false
	case a == nil:
		return true
	}
	s := r.accountStateOf(now, a)
	s.usedAt = now
	urgency := r.urgencyOf(j)
	s.countDemand(now, urgency)
	r.admitWaiting(now, s)
	isolated := j.req != nil && !r.issuers.selfStrong && r.issuers.weak > 0
	if (!s.anyWaiting() && r.takeToken(now, s)) || (isolated && r.takeIsolated(now, a, s)) {
		s.charge(now, j)
		return true
	}
	s.shortAt = now
	if !isolated && j.waitUntil.After(now) && r.makeRoom(now, s, urgency) {
		j.state = jobUncharged
		s.waiting.Push(urgency, j)
		r.timers.add(timer{at: j.waitUntil, purpose: dueJob, job: j})
		r.scheduleTokens(now, max(r.tokensAskedAt.Add(urgentTokenInterval).Sub(now), 0))
		return false
	}
	r.denyOverQuota(now, j)
	return false
}

// charge records that j was paid for with a token of s.
func (s *accountState) charge(now clock.Time, j *job) {
	s.admitted.Add(now)
	s.charged++
	j.charged, j.chargedAt = true, now
}

// urgencyOf returns the priority of j among the requests of its account: that of its route.
// The account's own priority, which takes precedence between accounts, is the same for all of
// them.
func (r *Reducer) urgencyOf(j *job) int {
	if rt := r.table.Route(j.Route); rt != nil {
		return rt.Priority
	}
	return j.Priority // of a route that this VM's configuration does not have
}

// countDemand counts a request of a priority.
func (s *accountState) countDemand(now clock.Time, priority int) {
	s.demand.Add(now)
	at, found := slices.BinarySearchFunc(s.demands, priority, func(d priorityDemand, p int) int { return cmp.Compare(d.priority, p) })
	if !found && len(s.demands) >= maxDemandPriorities {
		s.demands = slices.DeleteFunc(s.demands, func(d priorityDemand) bool { return d.meter.PerSecond(now) < minDemand })
		at, found = slices.BinarySearchFunc(s.demands, priority, func(d priorityDemand, p int) int { return cmp.Compare(d.priority, p) })
	}
	if !found && len(s.demands) >= maxDemandPriorities {
		at, found = len(s.demands)-1, true
	}
	if !found {
		s.demands = slices.Insert(s.demands, at, priorityDemand{priority: priority})
	}
	s.demands[at].meter.Add(now)
}

// demandByPriority returns the recent demand of each priority.
func (s *accountState) demandByPriority(now clock.Time) []quota.Demand {
	var list []quota.Demand
	for i := range s.demands {
		if d := (quota.Demand{Priority: s.demands[i].priority, PerSecond: s.demands[i].meter.PerSecond(now)}); d.PerSecond >= minDemand {
			list = append(list, d)
		}
	}
	return list
}

// isShort reports whether requests recently waited for tokens or were refused.
func (s *accountState) isShort(now clock.Time) bool {
	return s.shortAt != 0 && now.Sub(s.shortAt) <= shortageTTL
}

// takeToken takes a token that is not kept for another VM.
func (r *Reducer) takeToken(now clock.Time, s *accountState) bool {
	r.divideTokens(now, s)
	return s.bucket.TakeAbove(now, 1, s.claims.Kept())
}

// divideTokens divides the tokens that were issued here since it was last called.
func (r *Reducer) divideTokens(now clock.Time, s *accountState) {
	if s.claims.Due(now) {
		s.claims.Advance(now, &s.bucket, s.demandByPriority(now), r.issuers.strong)
	}
}

// makeRoom reports whether another request of a priority may wait for a token. As many
// may wait as were recently admitted in the time that they may wait, so that only
// requests of an account beyond its quota are refused at once. If there are as many, a
// less urgent one is refused in its place.
func (r *Reducer) makeRoom(now clock.Time, s *accountState, priority int) bool {
	most := max(minTokenQueue, tokenQueueTime.Seconds()*s.admitted.PerSecond(now))
	if float64(s.waiting.Len()) < most {
		return true
	}
	s.waiting.DeleteFunc((*job).endedUncharged)
	if float64(s.waiting.Len()) < most {
		return true
	}
	j, displaced := s.waiting.Displace(priority)
	if displaced {
		r.denyOverQuota(now, j)
	}
	return displaced
}

// anyWaiting reports whether a request waits for a token. It drops those that have
// ended.
func (s *accountState) anyWaiting() bool {
	s.waiting.DropFirst((*job).endedUncharged)
	return s.waiting.Len() > 0
}

// endedUncharged reports whether j, which waited for a token, has ended.
func (j *job) endedUncharged() bool { return j.state != jobUncharged }

// admitWaiting places the requests for which there are tokens now.
func (r *Reducer) admitWaiting(now clock.Time, s *accountState) {
	for s.anyWaiting() && r.takeToken(now, s) {
		j, _ := s.waiting.Pop()
		j.state = jobNew
		s.charge(now, j)
		r.placeCharged(now, j)
	}
}

// denyOverQuota denies j for lack of a token.
func (r *Reducer) denyOverQuota(now clock.Time, j *job) {
	a, _ := r.limitedAccount(j.Account)
	if a == nil { // the configuration has changed meanwhile
		r.denyFor(now, j, verdict.ReasonNotReady, minQuotaRetryAfter)
		return
	}
	s := r.accountStateOf(now, a)
	s.refused++
	wait := s.nextAdmission(now)
	r.out.QuotaRefusals = append(r.out.QuotaRefusals, QuotaRefusal{
		Account: a.Name, From: j.key.vm, Quota: a.Quota, Own: r.ownBudget(a),
		Tokens: s.bucket.Tokens(now), Demand: s.demand.PerSecond(now), RetryAfter: wait,
		Priority: r.urgencyOf(j), Kept: s.claims.Kept(), Scarce: s.claims.Scarce(),
	})
	r.denyFor(now, j, verdict.ReasonOverQuota, wait)
}

// nextAdmission returns the time after which a refused request may be admitted. The
// refused requests return one after the other at the rate at which this VM admits
// requests, so that the delay is true for each of them.
func (s *accountState) nextAdmission(now clock.Time) time.Duration {
	rate := max(s.admitted.PerSecond(now), s.bucket.Rate())
	first := now.Add(max(min(s.bucket.TimeTo(now, 1), maxQuotaRetryAfter), minQuotaRetryAfter))
	if rate > 0 {
		s.queueEnd = s.queueEnd.Add(time.Duration(float64(time.Second) / rate))
	}
	s.queueEnd = clock.Min(max(s.queueEnd, first), now.Add(maxQuotaRetryAfter))
	return s.queueEnd.Sub(now)
}

// refund returns the token of a request that was not run. A token that was taken
// long ago is lost: it belongs to an earlier window.
func (r *Reducer) refund(now clock.Time, j *job) {
	if !j.charged {
		return
	}
	j.charged = false
	if s, ok := r.accounts[j.Account]; ok && now.Sub(j.chargedAt) <= quota.RefundTimeout {
		s.bucket.Put(now, 1)
		if s.anyWaiting() {
			r.scheduleTokens(now, 0)
		}
	}
}

// applyQuotas applies the quotas of a new configuration.
func (r *Reducer) applyQuotas(now clock.Time) {
	for _, s := range slices.Clone(r.accountList) {
		if a, _ := r.limitedAccount(s.name); a == nil {
			r.releaseWaiting(now, s)
		} else {
			s.bucket.SetBudget(now, r.ownBudget(a))
		}
	}
	r.dropAccounts(func(s *accountState) bool {
		a, _ := r.limitedAccount(s.name)
		return a == nil
	})
}

// releaseWaiting places or denies the jobs that wait for tokens of an account that
// has no limit any more or is gone.
func (r *Reducer) releaseWaiting(now clock.Time, s *accountState) {
	for s.anyWaiting() {
		j, _ := s.waiting.Pop()
		j.state = jobNew
		if r.admit(now, j) {
			r.placeCharged(now, j)
		}
	}
}
