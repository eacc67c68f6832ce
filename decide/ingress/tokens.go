package ingress

import (
	"maps"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quota"
)

// A VM with more requests of an account than tokens gets those that other strong VMs
// do not need. One request for tokens concerns all its accounts.

const (
	// tokenInterval is the time between two requests for tokens, and
	// urgentTokenInterval while requests of callers wait for them.
	tokenInterval       = 100 * time.Millisecond
	urgentTokenInterval = 40 * time.Millisecond
	// tokensAhead and tokensKept are for how long a VM wants to have tokens, and
	// for how long it keeps them when another one asks.
	tokensAhead = time.Second
	tokensKept  = 300 * time.Millisecond
	// minDemand is the rate of requests per second below which a VM asks for no
	// tokens.
	minDemand = 0.05
	// expectedGrant is the part of the requested tokens that is expected to be
	// granted. If all of it were requested again meanwhile, more would arrive than a
	// bucket holds, and the rest would be lost.
	expectedGrant = 0.5
	// maxTokenAccounts limits the accounts in one request for tokens.
	maxTokenAccounts = 128
)

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
	for _, s := range r.accountList {
		r.admitWaiting(now, s)
		waiting = waiting || s.anyWaiting()
	}
	r.dropAccounts(func(s *accountState) bool { return now.Sub(s.usedAt) >= accountTTL && s.bucket.Full(now) })
	for _, id := range slices.Sorted(maps.Keys(r.tokenRequests)) {
		if m := r.tokenRequests[id]; now.Sub(m.sentAt) > quota.TransferTimeout {
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

// requestTokens asks another strong VM of the region, and one of any region, for the
// tokens that are missing here. All are asked in turn.
func (r *Reducer) requestTokens(now clock.Time) {
	if !r.on(TokenTransfers) {
		return
	}
	want := r.missingTokens(now)
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

// missingTokens returns the tokens that will be needed here soon. Of more accounts
// than fit into one request, each request contains others.
func (r *Reducer) missingTokens(now clock.Time) []AccountTokens {
	first := 0
	if len(r.accountList) > maxTokenAccounts {
		first = r.tokenTurn * maxTokenAccounts % len(r.accountList)
	}
	var want []AccountTokens
	for i := range r.accountList {
		s := r.accountList[(first+i)%len(r.accountList)]
		need := s.demand.PerSecond(now) * tokensAhead.Seconds()
		if need < minDemand {
			continue
		}
		missing := float64(len(s.waiting)) + min(need+1-s.bucket.Tokens(now), s.bucket.Room(now)) - expectedGrant*s.requested
		if missing > 0 && len(want) < maxTokenAccounts {
			want = append(want, AccountTokens{Account: s.name, Tokens: missing})
		}
	}
	return want
}

// tokenRequest is a TokenRequest that was not answered.
type tokenRequest struct {
	sentAt   clock.Time
	accounts []AccountTokens
}

// endTokenRequest removes a request that was answered or is too old.
func (r *Reducer) endTokenRequest(id PlacementID, m tokenRequest) {
	delete(r.tokenRequests, id)
	for _, x := range m.accounts {
		if s, used := r.accounts[x.Account]; used {
			s.requested = max(s.requested-x.Tokens, 0)
		}
	}
}

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
