package emulate

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// WindowSeconds is the length of the windows of a Result.
const WindowSeconds = 2

// ShareWindow is the window for which operators bound the change of a share.
const ShareWindow = 2 * time.Second

// Tally counts the outcomes of requests.
type Tally struct {
	Asked    int     `json:"asked"`
	InAim    int     `json:"in_aim"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"` // after all retries
	Failed   int     `json:"failed"`
	Earned   float64 `json:"earned"` // worth of the answers
	Possible float64 `json:"owed"`   // worth if all answers were within the latency goal
}

// Worth returns the earned share of the possible worth, or 1 if none was possible.
func (t *Tally) Worth() float64 {
	if t.Possible == 0 {
		return 1
	}
	return t.Earned / t.Possible
}

// Result is the outcome of a run as its callers saw it.
type Result struct {
	Pattern string                  `json:"pattern"`
	Seed    uint64                  `json:"seed"`
	All     Tally                   `json:"all"`
	Kinds   map[string]*Tally       `json:"kinds"`
	Domains map[fleet.Domain]*Tally `json:"domains"`
	Windows []*Tally                `json:"windows"` // each WindowSeconds long
	// Late counts late answers by cause, Refusals the final refusals by reason,
	// and Returned the refusals after which callers retried.
	Late     map[string]int         `json:"late"`
	Refusals map[verdict.Reason]int `json:"refusals"`
	Returned int                    `json:"returned"`
	// Opened counts the connections that were opened.
	Opened int `json:"opened"`
	// Far counts the sends to targets in other regions. FarWaited counts those of
	// them that waited for a connection although their VM had recently used one
	// to the same end.
	Far       int `json:"far"`
	FarWaited int `json:"far_waited"`
	// FarDelay is the mean time in ms that requests to other regions took beyond
	// the network's latency, for those that reached targets in the second half of
	// the load.
	FarDelay float64 `json:"far_delay_ms"`
	// WorstShift is the change of a region's share that exceeds the bound of the
	// operators the most, over all windows of the run.
	WorstShift ShareChange `json:"worst_shift"`
	// WorstLimit is the window in which a target received the most requests beyond
	// its limit.
	WorstLimit Overrun `json:"worst_limit"`
	// Notices counts the requests that targets got in spite of their notices.
	Notices NoticeCounts `json:"notices"`
	// TargetCut counts the first attempts of callers while VMs were cut off from all
	// targets.
	TargetCut CutTries `json:"target_cut"`
	// Returns counts what the store's returns from copies led to.
	Returns ReturnCounts `json:"returns"`
	// WorstQuota is the window in which an account exceeded its quota the most.
	WorstQuota QuotaOverrun `json:"worst_quota"`
	// DeathQueries holds the effects of the queries of death, in the order of their
	// events.
	DeathQueries []DeathQueryCounts `json:"deadly,omitempty"`
}

// Causes of late answers.
const (
	lateReturned = "returned" // the caller was refused before
	lateRepeated = "repeated" // the entry VM sent it more than once
	lateOther    = "wait or work"
)

// WorstWindows returns the mean worth of the two windows with the lowest worth.
func (r *Result) WorstWindows() float64 {
	var worth []float64
	for _, w := range r.Windows {
		if w.Asked > 0 {
			worth = append(worth, w.Worth())
		}
	}
	if len(worth) == 0 {
		return 1
	}
	slices.Sort(worth)
	worst := worth[:min(2, len(worth))]
	sum := 0.0
	for _, w := range worst {
		sum += w
	}
	return sum / float64(len(worst))
}

// WorstDomain returns the worth of the failure domain with the lowest worth.
func (r *Result) WorstDomain() float64 { return worst(r.Domains) }

// WorstKind returns the worth of the kind with the lowest worth.
func (r *Result) WorstKind() float64 { return worst(r.Kinds) }

func worst[K cmp.Ordered](m map[K]*Tally) float64 {
	least := 1.0
	for _, t := range m {
		least = min(least, t.Worth())
	}
	return least
}

// recorder collects the Result of a run.
type recorder struct {
	result       Result
	pattern      *Pattern
	loadStart    clock.Time                 // start of the load
	arrivals     map[fleet.Region][]arrival // by region of the callers
	farDelays    durations                  // of requests to other regions
	limits       []*rateLimit
	notices      noticeRecorder
	deathQueries []*DeathQueryCounts
	crashCause   *deathQuery // of the crash in progress; nil if none
	accounts     map[route.AccountName]*accountRecord
}

func (rec *recorder) init(p *Pattern, began clock.Time) {
	rec.pattern, rec.loadStart = p, began
	rec.arrivals = make(map[fleet.Region][]arrival)
	rec.result = Result{
		Pattern: p.Name, Kinds: make(map[string]*Tally), Domains: make(map[fleet.Domain]*Tally),
		Late: make(map[string]int), Refusals: make(map[verdict.Reason]int),
	}
	for _, k := range p.Kinds {
		rec.result.Kinds[k.Name] = new(Tally)
	}
	for _, d := range p.Domains {
		rec.result.Domains[d.Name] = new(Tally)
	}
	for range int(p.Seconds)/WindowSeconds + 1 {
		rec.result.Windows = append(rec.result.Windows, new(Tally))
	}
}

// updateTallies applies change to all tallies that a caller belongs to.
func (rec *recorder) updateTallies(c *caller, change func(*Tally)) {
	if c.deathQuery != nil || c.beyondQuota {
		return // not part of the load that has to be served
	}
	for _, t := range []*Tally{&rec.result.All, rec.result.Kinds[c.kind.Name], rec.result.Domains[c.domain.Name], rec.result.Windows[c.window]} {
		change(t)
	}
}

func (rec *recorder) countAsked(c *caller, second float64) {
	c.window = min(int(second)/WindowSeconds, len(rec.result.Windows)-1)
	rec.updateTallies(c, func(t *Tally) {
		t.Asked++
		t.Possible += c.kind.Worth
	})
}

// countAnswered counts an answer that took the given time.
func (rec *recorder) countAnswered(q *entryAttempt, took time.Duration) {
	if q.deathQuery != nil {
		return
	}
	k := q.kind
	if took <= millis(k.LatencyGoalMS) {
		rec.updateTallies(q.caller, func(t *Tally) {
			t.InAim++
			t.Earned += k.Worth
		})
		return
	}
	switch {
	case q.retries < k.Retries:
		rec.result.Late[lateReturned]++
	case q.sends > 1:
		rec.result.Late[lateRepeated]++
	default:
		rec.result.Late[lateOther]++
	}
	rec.updateTallies(q.caller, func(t *Tally) {
		t.Late++
		t.Earned += k.LateWorth
	})
}

// countArrival counts a request that has reached a target in a region.
func (rec *recorder) countArrival(now clock.Time, q *entryAttempt, to fleet.Region) {
	if q.deathQuery != nil {
		rec.countDeathQueryArrival(now, q.deathQuery)
		return
	}
	from := q.domain.Region
	rec.arrivals[from] = append(rec.arrivals[from], arrival{at: now, otherRegion: from != to})
}

func (rec *recorder) countRefused(c *caller, why verdict.Reason) {
	if c.deathQuery != nil || c.beyondQuota {
		return
	}
	rec.result.Refusals[why]++
	rec.updateTallies(c, func(t *Tally) { t.Refused++ })
}

func (rec *recorder) countFailed(c *caller) { rec.updateTallies(c, func(t *Tally) { t.Failed++ }) }

func (rec *recorder) finalResult(v Variant) *Result {
	rec.result.Seed = v.Seed
	rec.result.FarDelay = rec.farDelays.meanMS()
	rec.result.WorstLimit = worstOverrun(rec.limits)
	rec.result.Notices = rec.notices.counts()
	rec.result.WorstQuota = rec.worstQuota()
	for _, d := range rec.deathQueries {
		rec.result.DeathQueries = append(rec.result.DeathQueries, *d)
	}
	rec.result.WorstShift = rec.worstShareChange(rec.pattern.RegionShift, ShareWindow, seconds(rec.pattern.Seconds))
	return &rec.result
}
