package ingress

import (
	"maps"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quota"
	"github.com/azurethread/azurethread/decide/route"
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
	// maxGrantShare is the greatest part of the requested tokens that is expected to be
	// granted. If all of it were requested again meanwhile, more would arrive than a
	// bucket holds, and the rest would be lost. While all VMs together are short, it is
	// the part that was granted recently; grantWeight is the weight of the latest answer.
	maxGrantShare = 0.5
	grantWeight   = 0.2
	// unansweredPause is how long a VM is not asked after it did not answer in time.
	// Nothing is expected of it until it answers.
	unansweredPause = time.Second
	// maxTokenAccounts limits the accounts in one request for tokens.
	maxTokenAccounts = 128
	// maxDemandEntries limits the entries of one TokenDemand.
	maxDemandEntries = maxTokenAccounts * maxDemandPriorities
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
	stalled := r.stalled(now)
	r.tokensAt = clock.Never
	waiting := false
	for _, s := range r.accountList {
		s.waiting.DeleteFunc((*job).endedUncharged)
		r.admitWaiting(now, s)
		waiting = waiting || s.anyWaiting()
	}
	r.dropAccounts(func(s *accountState) bool { return now.Sub(s.usedAt) >= accountTTL && s.bucket.Full(now) })
	for _, id := range slices.Sorted(maps.Keys(r.tokenRequests)) {
		if m := r.tokenRequests[id]; now.Sub(m.sentAt) > quota.TransferTimeout {
			r.endTokenRequest(id, m)
			if !stalled {
				r.tokenSilent[m.to] = now.Add(unansweredPause)
			}
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

// stalled reports whether this VM itself has not run for some time. Then late answers say
// nothing about the VMs that sent them.
func (r *Reducer) stalled(now clock.Time) bool { return now.Sub(r.tokensAt) > tokenInterval }

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
	demand := r.shortDemand(now, want)
	asked := fleet.VMID("")
	for _, scope := range []fleet.Region{r.region, anyRegion} {
		to := r.nextIssuer(now, scope)
		if to == "" || to == asked {
			continue
		}
		asked = to
		r.nextPlacement++
		_, silent := r.tokenSilent[to]
		m := tokenRequest{sentAt: now, to: to, accounts: want, expected: make([]float64, len(want))}
		for i, x := range want {
			if s := r.accounts[x.Account]; !silent {
				m.expected[i] = x.Tokens * s.expectedShare()
				s.expected += m.expected[i]
			}
		}
		if silent {
			r.tokenSilent[to] = now.Add(unansweredPause)
		}
		r.tokenRequests[r.nextPlacement] = m
		if len(demand) > 0 {
			r.sendMessage(to, &TokenDemand{Accounts: demand})
		}
		r.sendMessage(to, &TokenRequest{ID: r.nextPlacement, Accounts: want})
	}
}

// expectedShare returns the part of requested tokens that is expected to be granted.
func (s *accountState) expectedShare() float64 {
	if s.claims.Scarce() {
		return s.grantShare
	}
	return maxGrantShare
}

// nextIssuer returns the strong VM of a region, or of any, whose turn it is to be asked
// for tokens; "" if it is this VM's own turn. Those that did not answer recently are
// passed over, unless none did.
func (r *Reducer) nextIssuer(now clock.Time, scope fleet.Region) fleet.VMID {
	peers := r.strongOrder(scope, string(r.opts.Self))
	for i := range peers {
		to := peers[(r.tokenTurn+i)%len(peers)]
		if to == r.opts.Self && i == 0 {
			return ""
		}
		if to != r.opts.Self && !r.tokenSilent[to].After(now) {
			return to
		}
	}
	if len(peers) == 0 {
		return ""
	}
	return peers[r.tokenTurn%len(peers)]
}

// shortDemand returns the demand for those of the wanted tokens of which this VM is
// short, by account and priority.
func (r *Reducer) shortDemand(now clock.Time, want []AccountTokens) []AccountDemand {
	var list []AccountDemand
	for _, x := range want {
		s := r.accounts[x.Account]
		if !s.isShort(now) {
			continue
		}
		for _, d := range s.demandByPriority(now) {
			list = append(list, AccountDemand{Account: x.Account, Priority: d.Priority, PerSecond: d.PerSecond})
		}
	}
	return list
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
		missing := float64(s.waiting.Len()) + min(need+1-s.bucket.Tokens(now), s.bucket.Room(now)) - s.expected
		if missing > 0 && len(want) < maxTokenAccounts {
			want = append(want, AccountTokens{Account: s.name, Tokens: missing})
		}
	}
	return want
}

// tokenRequest is a TokenRequest that was not answered.
type tokenRequest struct {
	sentAt   clock.Time
	to       fleet.VMID
	accounts []AccountTokens
	expected []float64 // tokens, by account
}

// endTokenRequest removes a request that was answered or is too old.
func (r *Reducer) endTokenRequest(id PlacementID, m tokenRequest) {
	delete(r.tokenRequests, id)
	for i, x := range m.accounts {
		if s, used := r.accounts[x.Account]; used {
			s.expected = max(s.expected-m.expected[i], 0)
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
		if n := r.giveTokens(now, s, from, want.Tokens); n > 0 {
			s.usedAt = now
			given = append(given, AccountTokens{Account: a.Name, Tokens: n})
		}
	}
	r.sendMessage(from, &TokenGrant{ID: m.ID, Accounts: given})
}

// giveTokens takes tokens of an account for another VM. While VMs that are short of them
// have stated their demand, each gets its part, and this VM keeps no more than its own.
func (r *Reducer) giveTokens(now clock.Time, s *accountState, from fleet.VMID, n float64) float64 {
	keep := s.demand.PerSecond(now) * tokensKept.Seconds()
	r.divideTokens(now, s)
	if !s.claims.Scarce() {
		return s.bucket.TakeUpTo(now, n, keep)
	}
	return s.claims.Take(now, &s.bucket, from, n, keep)
}

// demandStated records of which accounts another VM is short of tokens. What is stated
// of an account replaces what was stated before.
func (r *Reducer) demandStated(now clock.Time, from fleet.VMID, m *TokenDemand) {
	if !r.issuers.selfStrong || !r.on(TokenTransfers) || len(m.Accounts) > maxDemandEntries {
		return
	}
	for list := m.Accounts; len(list) > 0; {
		name, n := list[0].Account, 1
		for n < len(list) && list[n].Account == name {
			n++
		}
		demands := make([]quota.Demand, n)
		for i, x := range list[:n] {
			demands[i] = quota.Demand{Priority: x.Priority, PerSecond: x.PerSecond}
		}
		list = list[n:]
		if a, _ := r.limitedAccount(name); a != nil {
			r.accountStateOf(now, a).claims.State(now, from, demands)
		}
	}
}

// acceptTokens adds tokens of another VM, unless it was not asked for them, their request
// is too old or they were already received.
func (r *Reducer) acceptTokens(now clock.Time, from fleet.VMID, m *TokenGrant) {
	request, ok := r.tokenRequests[m.ID]
	if !ok || request.to != from {
		return
	}
	r.endTokenRequest(m.ID, request)
	if now.Sub(request.sentAt) > quota.TransferTimeout {
		if !r.stalled(now) {
			r.tokenSilent[request.to] = now.Add(unansweredPause)
		}
		return
	}
	delete(r.tokenSilent, request.to)
	granted := m.byAccount()
	for _, x := range request.accounts {
		if s, used := r.accounts[x.Account]; used {
			n := min(granted[x.Account], x.Tokens)
			s.observeGrant(n / x.Tokens)
			r.putTokens(now, s, n)
		}
	}
}

// byAccount returns the granted tokens. Entries that are not positive numbers are ignored.
func (m *TokenGrant) byAccount() map[route.AccountName]float64 {
	granted := make(map[route.AccountName]float64, min(len(m.Accounts), maxTokenAccounts))
	for _, x := range m.Accounts {
		if x.Tokens > 0 { // false for NaN
			granted[x.Account] += x.Tokens
		}
	}
	return granted
}

// observeGrant records which part of the requested tokens was granted.
func (s *accountState) observeGrant(share float64) {
	s.grantShare += grantWeight * (min(share, maxGrantShare) - s.grantShare)
}

// putTokens adds tokens of another VM and places the requests that wait for them.
func (r *Reducer) putTokens(now clock.Time, s *accountState, n float64) {
	for n > 0 {
		before := s.bucket.Tokens(now)
		s.bucket.Put(now, n)
		n -= s.bucket.Tokens(now) - before
		waiting := s.waiting.Len()
		r.admitWaiting(now, s)
		if s.waiting.Len() == waiting {
			return // what is left does not fit
		}
	}
}
