package ingress

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quota"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// The quota of a client account applies to all entry VMs together. The VM that
// places a request charges it to the account, so an admitted request costs no
// message of its own, and the requests of an account that arrive thinly at many VMs
// are counted by few. Tokens are issued by the strong VMs, from which coordinators
// are chosen, in equal parts; coordinators with more requests than tokens get the
// tokens that other strong VMs do not need (TokenRequest).
//
// A weak VM places requests only while it reaches no coordinator. A small part of
// the budget is set aside for that.

const (
	// isolatedShare is the part of the budget of an account that the weak VMs
	// issue, and isolatedVMs the part of them that is assumed to place requests
	// itself at the same time. If more of them do, they are cut off from strong VMs,
	// which then get only their own callers' requests and use little of their part.
	isolatedShare = 0.2
	isolatedVMs   = 0.4
	// isolatedDepth is how many tokens a weak VM may save up.
	isolatedDepth = 2
	// issuerTTL is how long a VM that is no longer a member keeps its part of the
	// budgets: it may be cut off and still issue tokens.
	issuerTTL = time.Minute
	// tokenInterval is the time between two requests for tokens, and
	// urgentTokenInterval while requests wait for them.
	tokenInterval       = 100 * time.Millisecond
	urgentTokenInterval = 40 * time.Millisecond
	// tokensAhead and tokensKept are for how long a VM wants to have tokens, and
	// for how long it keeps them when another one asks.
	tokensAhead = time.Second
	tokensKept  = 300 * time.Millisecond
	// maxTokenAccounts limits the accounts in one request for tokens.
	maxTokenAccounts = 128
	// accountTTL is how long the state of an account that is not used is kept.
	accountTTL = 10 * time.Second
	// isolatedGap is the longest time between two requests that a weak VM places
	// itself in one period without a coordinator.
	isolatedGap = time.Second
	// maxQuotaRetryAfter limits the retry delay of a request beyond a quota.
	maxQuotaRetryAfter = 2 * time.Second
)

// issuers are the VMs that issue tokens.
type issuers struct {
	seen         map[fleet.VMID]issuer
	strong, weak int
	selfStrong   bool
}

// issuer is an entry VM that is a member, or was until recently.
type issuer struct {
	vm     fleet.VM
	seenAt clock.Time
}

// isolation is the time during which a weak VM placed requests itself.
type isolation struct {
	total time.Duration
	last  clock.Time // of the last request that it placed itself; 0: none
}

func (i *isolation) extend(now clock.Time) {
	if gap := now.Sub(i.last); i.last != 0 && gap < isolatedGap {
		i.total += gap
	}
	i.last = now
}

// accountState is the state of one limited account at this VM.
type accountState struct {
	name   route.AccountName
	bucket quota.Bucket
	// demand measures the requests that were to be placed here, admitted those that
	// were charged.
	demand, admitted quota.Meter
	usedAt           clock.Time
	// queueEnd is when the latest refused request is expected to be admitted.
	queueEnd clock.Time
	// waiting are jobs that wait for a token, in the order of their arrival. Those
	// that have ended meanwhile are skipped.
	waiting []*job
	// isolated are the tokens of a weak VM, which fill only while it places requests
	// itself. They start at a random fraction of one, so that of many such VMs some
	// admit their first request. isolatedFor is the isolation.total to which they
	// were filled.
	isolated    float64
	isolatedFor time.Duration
	requested   float64 // tokens in unanswered requests
	// charged and refused count requests.
	charged, refused uint64
}

// updateIssuers applies a new list of members.
func (r *Reducer) updateIssuers(now clock.Time) {
	if r.issuers.seen == nil {
		r.issuers.seen = make(map[fleet.VMID]issuer)
	}
	for i := range r.members {
		r.issuers.seen[r.members[i].ID] = issuer{vm: r.members[i], seenAt: now}
	}
	var vms []fleet.VM
	for _, id := range slices.Sorted(maps.Keys(r.issuers.seen)) {
		if x := r.issuers.seen[id]; now.Sub(x.seenAt) <= issuerTTL {
			vms = append(vms, x.vm)
		} else {
			delete(r.issuers.seen, id)
		}
	}
	strong := fleet.Strong(vms)
	r.issuers.strong, r.issuers.weak = len(strong), len(vms)-len(strong)
	r.issuers.selfStrong = slices.ContainsFunc(strong, func(v fleet.VM) bool { return v.ID == r.opts.Self })
	for _, s := range r.accounts {
		if a := r.table.Account(s.name); a != nil {
			s.bucket.SetBudget(now, r.ownBudget(a))
		}
	}
}

// ownBudget returns the part of an account's budget that this VM issues.
func (r *Reducer) ownBudget(a *route.Account) quota.Budget {
	b := r.budgetOf(a)
	switch {
	case !r.issuers.selfStrong || r.issuers.strong == 0:
		return quota.Budget{Depth: b.Depth * r.strongPart()} // holds tokens of others
	case r.issuers.weak == 0:
		return b.Part(1 / float64(r.issuers.strong))
	}
	p := b.Part((1 - isolatedShare) / float64(r.issuers.strong))
	p.Depth = b.Depth * r.strongPart()
	return p
}

// strongPart returns the part of the depth of budgets that one VM may save up.
func (r *Reducer) strongPart() float64 { return 1 / float64(max(r.issuers.strong, 1)) }

func (r *Reducer) budgetOf(a *route.Account) quota.Budget {
	return r.opts.Bounds.Quota.Budget(a.Quota.PerSecond, a.Quota.Burst)
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
		s = &accountState{name: a.Name, bucket: quota.NewBucket(now, r.startedAt, r.ownBudget(a)), usedAt: now, isolated: r.rng.Float64()}
		r.accounts[a.Name] = s
		r.scheduleTokens(now, tokenInterval)
	}
	return s
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
	s.demand.Add(now)
	r.admitWaiting(now, s)
	isolated := j.req != nil && !r.issuers.selfStrong && r.issuers.weak > 0
	if (!s.anyWaiting() && s.bucket.Take(now, 1)) || (isolated && r.takeIsolated(now, a, s)) {
		s.charge(now, j)
		return true
	}
	if !isolated && j.waitUntil.After(now) && s.mayWait(now) {
		j.state = jobUncharged
		s.waiting = append(s.waiting, j)
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

// mayWait reports whether another request may wait for a token. As many may wait as
// were recently admitted in the time that they may wait, so that only requests of an
// account beyond its quota are refused at once.
func (s *accountState) mayWait(now clock.Time) bool {
	return float64(len(s.waiting)) < max(minTokenQueue, tokenQueueTime.Seconds()*s.admitted.PerSecond(now))
}

const (
	// tokenQueueTime determines how many requests of an account wait for tokens:
	// those that are admitted in that time.
	tokenQueueTime = 500 * time.Millisecond
	// minTokenQueue is how many requests of an account may wait in any case.
	minTokenQueue = 4
	// minQuotaRetryAfter is the least retry delay of a request without a token: the
	// time in which tokens of other VMs may arrive.
	minQuotaRetryAfter = 250 * time.Millisecond
)

// anyWaiting reports whether a request waits for a token. It drops those that have
// ended.
func (s *accountState) anyWaiting() bool {
	for len(s.waiting) > 0 && s.waiting[0].state != jobUncharged {
		s.waiting = s.waiting[1:]
	}
	return len(s.waiting) > 0
}

// admitWaiting places the requests for which there are tokens now.
func (r *Reducer) admitWaiting(now clock.Time, s *accountState) {
	for s.anyWaiting() && s.bucket.Take(now, 1) {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
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
	})
	r.denyFor(now, j, verdict.ReasonOverQuota, wait)
}

// takeIsolated takes a token that is set aside for a weak VM which places its own
// requests.
func (r *Reducer) takeIsolated(now clock.Time, a *route.Account, s *accountState) bool {
	r.isolation.extend(now)
	rate := r.budgetOf(a).Rate * isolatedShare / max(isolatedVMs*float64(r.issuers.weak), 1)
	s.isolated = min(s.isolated+rate*(r.isolation.total-s.isolatedFor).Seconds(), max(isolatedDepth, rate))
	s.isolatedFor = r.isolation.total
	if s.isolated < 1 {
		return false
	}
	s.isolated--
	return true
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
	for _, s := range r.sortedAccounts() {
		if a, _ := r.limitedAccount(s.name); a == nil {
			r.releaseWaiting(now, s)
			delete(r.accounts, s.name)
		} else {
			s.bucket.SetBudget(now, r.ownBudget(a))
		}
	}
}

// releaseWaiting places or denies the jobs that wait for tokens of an account that
// has no limit any more or is gone.
func (r *Reducer) releaseWaiting(now clock.Time, s *accountState) {
	for s.anyWaiting() {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		j.state = jobNew
		if r.admit(now, j) {
			r.placeCharged(now, j)
		}
	}
}

// scheduleTokens requests tokens after the given time at the latest.
func (r *Reducer) scheduleTokens(now clock.Time, after time.Duration) {
	if at := now.Add(after); at.Before(r.tokensAt) {
		r.tokensAt = at
		r.timers.add(timer{at: at, purpose: dueTokens})
	}
}

// tokensDue requests tokens for the accounts that will need them, and drops the
// state of those that are not used.
func (r *Reducer) tokensDue(now clock.Time) {
	if r.tokensAt.After(now) {
		return // an earlier one has replaced this timer
	}
	r.tokensAt = clock.Never
	waiting := false
	for _, s := range r.sortedAccounts() {
		r.admitWaiting(now, s)
		waiting = waiting || s.anyWaiting()
	}
	for name, s := range r.accounts {
		if now.Sub(s.usedAt) >= accountTTL && s.bucket.Full(now) {
			delete(r.accounts, name)
		}
	}
	for id, m := range r.tokenRequests {
		if now.Sub(m.sentAt) > quota.TransferTimeout {
			r.endTokenRequest(id, m)
		}
	}
	r.requestTokens(now)
	if waiting {
		r.requestTokens(now) // from two more VMs
	}
	switch {
	case waiting:
		r.scheduleTokens(now, urgentTokenInterval)
	case len(r.accounts) > 0:
		r.scheduleTokens(now, tokenInterval)
	}
}

// sortedAccounts returns the states of accounts by name.
func (r *Reducer) sortedAccounts() []*accountState {
	return slices.SortedFunc(maps.Values(r.accounts), func(a, b *accountState) int { return cmp.Compare(a.name, b.name) })
}

// requestTokens asks another strong VM of the region, and one of any region, for the
// tokens that are missing here. All are asked in turn.
func (r *Reducer) requestTokens(now clock.Time) {
	if !r.on(TokenTransfers) {
		return
	}
	var want []AccountTokens
	for _, s := range r.sortedAccounts() {
		need := s.demand.PerSecond(now) * tokensAhead.Seconds()
		if need < minDemand {
			continue
		}
		missing := float64(len(s.waiting)) + min(need+1-s.bucket.Tokens(now), s.bucket.Room(now)) - expectedGrant*s.requested
		if missing > 0 && len(want) < maxTokenAccounts {
			want = append(want, AccountTokens{Account: s.name, Tokens: missing})
		}
	}
	if len(want) == 0 {
		return
	}
	r.tokenTurn++
	r.tokensAskedAt = now
	asked := fleet.VMID("")
	for _, scope := range []fleet.Region{r.region, anyRegion} {
		peers := r.strongOrder(scope, string(r.opts.Self))
		if len(peers) == 0 {
			continue
		}
		to := peers[r.tokenTurn%len(peers)]
		if to == r.opts.Self || to == asked {
			continue
		}
		asked = to
		r.nextPlacement++
		r.tokenRequests[r.nextPlacement] = tokenRequest{sentAt: now, accounts: want}
		for _, x := range want {
			r.accounts[x.Account].requested += x.Tokens
		}
		r.sendMessage(to, &TokenRequest{ID: r.nextPlacement, Accounts: want})
	}
}

// tokenRequest is a TokenRequest that was not answered.
type tokenRequest struct {
	sentAt   clock.Time
	accounts []AccountTokens
}

// expectedGrant is the part of the requested tokens that is expected to be granted.
// If all of it were requested again meanwhile, more would arrive than a bucket holds,
// and the rest would be lost.
const expectedGrant = 0.5

// endTokenRequest removes a request that was answered or is too old.
func (r *Reducer) endTokenRequest(id PlacementID, m tokenRequest) {
	delete(r.tokenRequests, id)
	for _, x := range m.accounts {
		if s, used := r.accounts[x.Account]; used {
			s.requested = max(s.requested-x.Tokens, 0)
		}
	}
}

// minDemand is the rate of requests below which a VM asks for no tokens.
const minDemand = 0.05

// grantTokens gives another VM the tokens that this one does not need.
func (r *Reducer) grantTokens(now clock.Time, from fleet.VMID, m *TokenRequest) {
	var given []AccountTokens
	for _, want := range m.Accounts[:min(len(m.Accounts), maxTokenAccounts)] {
		a, _ := r.limitedAccount(want.Account)
		if a == nil {
			continue
		}
		s := r.accountStateOf(now, a)
		keep := s.demand.PerSecond(now) * tokensKept.Seconds()
		if n := s.bucket.TakeUpTo(now, want.Tokens, keep); n > 0 {
			s.usedAt = now
			given = append(given, AccountTokens{Account: a.Name, Tokens: n})
		}
	}
	r.sendMessage(from, &TokenGrant{ID: m.ID, Accounts: given})
}

// acceptTokens adds tokens of another VM, unless their request is too old or they
// were already received.
func (r *Reducer) acceptTokens(now clock.Time, m *TokenGrant) {
	request, ok := r.tokenRequests[m.ID]
	if !ok {
		return
	}
	r.endTokenRequest(m.ID, request)
	if now.Sub(request.sentAt) > quota.TransferTimeout {
		return
	}
	for _, x := range m.Accounts {
		if s, used := r.accounts[x.Account]; used {
			r.putTokens(now, s, x.Tokens)
		}
	}
}

// putTokens adds tokens of another VM and places the requests that wait for them.
func (r *Reducer) putTokens(now clock.Time, s *accountState, n float64) {
	for n > 0 {
		before := s.bucket.Tokens(now)
		s.bucket.Put(now, n)
		n -= s.bucket.Tokens(now) - before
		waiting := len(s.waiting)
		r.admitWaiting(now, s)
		if len(s.waiting) == waiting {
			return // what is left does not fit
		}
	}
}
