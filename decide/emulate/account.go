package emulate

import (
	"math"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/quota"
	"github.com/azurethread/azurethread/decide/route"
)

// Account describes a client account.
type Account struct {
	Name      route.AccountName `json:"name"`
	Share     float64           `json:"share"`  // share of all requests, relative to the other accounts' shares
	PerSecond float64           `json:"rate"`   // quota; 0 means no limit
	Burst     float64           `json:"burst"`  // requests beyond the rate
	Homes     []fleet.Region    `json:"homes"`  // regions in which its requests may run; empty for all
	Region    fleet.Region      `json:"region"` // region of its callers; empty for all
}

// QuotaRule is the operators' rule for quotas; see quota.Rule.
type QuotaRule struct {
	WindowSeconds float64 `json:"window_s"`
	Overage       float64 `json:"overage"`
	Slack         float64 `json:"slack"`
}

func (q QuotaRule) rule() quota.Rule {
	return quota.Rule{Window: seconds(q.WindowSeconds), Overage: q.Overage, Slack: q.Slack}
}

// Wave makes the load of a failure domain rise and fall as a sine.
type Wave struct {
	Swing  float64 `json:"swing"`    // largest relative deviation from the mean
	Period float64 `json:"period_s"` // in seconds
	Phase  float64 `json:"phase"`    // in periods
}

// factor returns the factor of the load at a time in seconds.
func (w *Wave) factor(at float64) float64 {
	if w == nil || w.Period <= 0 {
		return 1
	}
	return 1 + w.Swing*math.Sin(2*math.Pi*(at/w.Period+w.Phase))
}

func keyOf(name route.AccountName) *route.KeyDigest {
	d := route.DigestKey(string(name))
	return &d
}

// accounts returns the accounts of the configuration, with the factors that LowerQuota
// events have put on their quotas.
func (sim *simulation) accounts() []route.Account {
	var list []route.Account
	for _, a := range sim.pattern.Accounts {
		factor := 1.0
		if f, lowered := sim.quotaFactor[a.Name]; lowered {
			factor = f
		}
		list = append(list, route.Account{
			Name: a.Name, Keys: []route.KeyDigest{*keyOf(a.Name)}, Homes: a.Homes,
			Quota: route.Quota{PerSecond: a.PerSecond * factor, Burst: a.Burst * factor},
		})
	}
	return list
}

// drawAccount draws the account of a caller in a region; nil if there are none.
func (sim *simulation) drawAccount(region fleet.Region) *Account {
	total := 0.0
	for i := range sim.pattern.Accounts {
		total += sim.accountShare(i, region)
	}
	if total == 0 {
		return nil
	}
	x := sim.rng.Float64() * total
	last := 0
	for i := range sim.pattern.Accounts {
		share := sim.accountShare(i, region)
		if share == 0 {
			continue
		}
		last = i
		if x -= share; x < 0 {
			break
		}
	}
	return &sim.pattern.Accounts[last]
}

func (sim *simulation) accountShare(i int, region fleet.Region) float64 {
	a := &sim.pattern.Accounts[i]
	if a.Region != "" && a.Region != region {
		return 0
	}
	return a.Share
}

// startHotCallers starts the additional callers of a hot account: Value requests per
// second, spread over the failure domains of the event and of the account.
func (sim *simulation) startHotCallers(e *Event) {
	i := slices.IndexFunc(sim.pattern.Accounts, func(a Account) bool { return a.Name == e.Account })
	until := sim.now.Add(seconds(e.Duration))
	var next func()
	next = func() {
		if sim.now.After(until) {
			return
		}
		sim.startCallerOf(sim.hotDomain(e, &sim.pattern.Accounts[i]), &sim.pattern.Accounts[i])
		sim.after(seconds(sim.rng.ExpFloat64()/e.Value), next)
	}
	next()
}

// hotDomain draws the failure domain of an additional caller of an account.
func (sim *simulation) hotDomain(e *Event, a *Account) *Domain {
	var list []*Domain
	for i := range sim.pattern.Domains {
		d := &sim.pattern.Domains[i]
		if (e.Domain == "" || e.Domain == d.Name) && (a.Region == "" || a.Region == d.Region) {
			list = append(list, d)
		}
	}
	return list[sim.rng.IntN(len(list))]
}

// lowerQuota multiplies the quota of an account, or of all, by Value, and puts the
// changed configuration in force.
func (sim *simulation) lowerQuota(e *Event, factor float64) {
	for _, a := range sim.pattern.Accounts {
		if e.Account == "" || e.Account == a.Name {
			sim.quotaFactor[a.Name] = factor
			sim.recorder.quotaChanged(sim.now, a, factor)
		}
	}
	sim.configVersion++
	sim.configure()
	sim.broadcast(func() ingress.Event { return &ingress.Configured{Table: sim.table} })
}

// setCut cuts VMs off from all others, or ends that. Targets and callers still reach
// them.
func (sim *simulation) setCut(e *Event, cut bool) {
	for _, v := range sim.shuffledVMs(e) {
		v.cut = cut
	}
}

// QuotaOverrun is the window in which an account's requests at targets exceeded what
// the rule allows the most.
type QuotaOverrun struct {
	Account route.AccountName `json:"account"`
	Start   float64           `json:"at"` // seconds since the start of the load
	Arrived int               `json:"arrived"`
	Allowed float64           `json:"allowed"`
}

// Beyond returns the number of requests beyond what is allowed.
func (o QuotaOverrun) Beyond() float64 { return float64(o.Arrived) - o.Allowed }

// accountRecord records the requests of an account that targets have executed.
type accountRecord struct {
	account Account
	arrived []clock.Time
	owed    quota.Bucket // of what is within the quota as callers ask
	quotas  []quotaPeriod
}

// quotaPeriod is a quota's factor and the time from which it is in force.
type quotaPeriod struct {
	from   clock.Time
	factor float64
}

func (rec *recorder) quotaChanged(now clock.Time, a Account, factor float64) {
	r := rec.accountRecord(a)
	r.quotas = append(r.quotas, quotaPeriod{from: now, factor: factor})
	r.owed.SetBudget(now, quota.Budget{Rate: a.PerSecond * factor, Depth: a.Burst * factor})
}

// isOwed reports whether a request that its caller makes now is within its account's
// quota. Others are not part of the load that has to be served.
func (rec *recorder) isOwed(now clock.Time, a *Account) bool {
	return a == nil || a.PerSecond == 0 || rec.accountRecord(*a).owed.Take(now, 1)
}

func (rec *recorder) accountRecord(a Account) *accountRecord {
	if rec.accounts == nil {
		rec.accounts = make(map[route.AccountName]*accountRecord)
	}
	r, ok := rec.accounts[a.Name]
	if !ok {
		r = &accountRecord{account: a, quotas: []quotaPeriod{{factor: 1}}}
		r.owed = quota.NewBucket(rec.loadStart, 0, quota.Budget{Rate: a.PerSecond, Depth: a.Burst})
		rec.accounts[a.Name] = r
	}
	return r
}

func (rec *recorder) countAccount(now clock.Time, q *entryAttempt) {
	if q.account != nil && q.account.PerSecond > 0 {
		r := rec.accountRecord(*q.account)
		r.arrived = append(r.arrived, now)
	}
}

// worstQuota returns the window in which an account exceeded its quota the most, or
// came closest to it.
func (rec *recorder) worstQuota() QuotaOverrun {
	var worst QuotaOverrun
	for _, name := range sortedKeys(rec.accounts) {
		r := rec.accounts[name]
		rule := rec.pattern.Quota.rule()
		last := 0
		for first, from := range r.arrived {
			for last < len(r.arrived) && r.arrived[last] < from.Add(rule.Window) {
				last++
			}
			o := QuotaOverrun{
				Account: name, Start: from.Sub(rec.loadStart).Seconds(), Arrived: last - first,
				Allowed: r.allowed(rule, from),
			}
			if worst.Account == "" || o.Beyond() > worst.Beyond() {
				worst = o
			}
		}
	}
	return worst
}

// allowed returns what the rule allows in the window from a time. A lower quota binds
// one window after all VMs know it.
func (r *accountRecord) allowed(rule quota.Rule, from clock.Time) float64 {
	most := 0.0
	for i, q := range r.quotas {
		ended := clock.Never
		if i+1 < len(r.quotas) {
			ended = r.quotas[i+1].from.Add(propagationTime + time.Second + rule.Window)
		}
		if q.from < from.Add(rule.Window) && ended > from {
			most = max(most, rule.Allowed(r.account.PerSecond*q.factor, r.account.Burst*q.factor))
		}
	}
	return most
}
