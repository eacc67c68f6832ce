package emulate

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// WindowSeconds is the length of the windows of a Result.
const WindowSeconds = 2

// ShareWindow is the time within which operators bound the change of a share.
const ShareWindow = 2 * time.Second

// Tally counts what became of some callers.
type Tally struct {
	Asked    int     `json:"asked"`
	InAim    int     `json:"in_aim"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"` // in the end
	Failed   int     `json:"failed"`
	Earned   float64 `json:"earned"` // worth
	Possible float64 `json:"owed"`
}

// Worth is the part of the worth owed that was earned; 1 if none was owed.
func (t *Tally) Worth() float64 {
	if t.Possible == 0 {
		return 1
	}
	return t.Earned / t.Possible
}

// Result is what callers saw of a play.
type Result struct {
	Pattern string                  `json:"pattern"`
	Seed    uint64                  `json:"seed"`
	All     Tally                   `json:"all"`
	Kinds   map[string]*Tally       `json:"kinds"`
	Domains map[fleet.Domain]*Tally `json:"domains"`
	Windows []*Tally                `json:"windows"` // of WindowSeconds each
	// Late counts late answers by what made them so, Refusals what callers were
	// told in the end, and Returned refusals after which they came back.
	Late     map[string]int         `json:"late"`
	Refusals map[verdict.Reason]int `json:"refusals"`
	Returned int                    `json:"returned"`
	// Opened counts the connections that were opened to targets.
	Opened int `json:"opened"`
	// Far counts the sends to targets of other regions, and FarWaited those of
	// them that waited for a connection although their VM had one to the target
	// lately.
	Far       int `json:"far"`
	FarWaited int `json:"far_waited"`
	// FarDelay is how much longer than the network takes the requests to other
	// regions were on their way, in ms: the mean of those that reached targets in
	// the second half of the load.
	FarDelay float64 `json:"far_delay_ms"`
	// WorstShift is the change of a region's share that exceeds the operators'
	// bound most, of all windows of the play.
	WorstShift ShareChange `json:"worst_shift"`
	// WorstLimit is where targets that have named a limit got most beyond what it
	// allows.
	WorstLimit Overrun `json:"worst_limit"`
	// DeathQueries is what queries of death have done, in the order of their events.
	DeathQueries []DeathQueryCounts `json:"deadly,omitempty"`
}

// Causes of late answers.
const (
	lateReturned = "returned" // its caller had been refused before
	lateRepeated = "repeated" // it was sent more than once
	lateOther    = "wait or work"
)

// WorstWindows is the mean worth of the two worst windows.
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

// WorstDomain is the worth of the failure domain whose callers were served
// worst.
func (r *Result) WorstDomain() float64 { return worst(r.Domains) }

// WorstKind is the worth of the kind that was served worst.
func (r *Result) WorstKind() float64 { return worst(r.Kinds) }

func worst[K cmp.Ordered](m map[K]*Tally) float64 {
	least := 1.0
	for _, t := range m {
		least = min(least, t.Worth())
	}
	return least
}

// recorder keeps the counts of a play.
type recorder struct {
	result       Result
	pattern      *Pattern
	loadStart    clock.Time                 // of the load
	arrivals     map[fleet.Region][]arrival // by the region of the callers
	farDelays    durations                  // of requests to other regions
	limits       []*rateLimit
	deathQueries []*DeathQueryCounts
	crashCause   *deathQuery // under which a target ends right now; nil: none
}

func (b *recorder) init(p *Pattern, began clock.Time) {
	b.pattern, b.loadStart = p, began
	b.arrivals = make(map[fleet.Region][]arrival)
	b.result = Result{
		Pattern: p.Name, Kinds: make(map[string]*Tally), Domains: make(map[fleet.Domain]*Tally),
		Late: make(map[string]int), Refusals: make(map[verdict.Reason]int),
	}
	for _, k := range p.Kinds {
		b.result.Kinds[k.Name] = new(Tally)
	}
	for _, d := range p.Domains {
		b.result.Domains[d.Name] = new(Tally)
	}
	for range int(p.Seconds)/WindowSeconds + 1 {
		b.result.Windows = append(b.result.Windows, new(Tally))
	}
}

// updateTallies changes all tallies that a caller belongs to.
func (b *recorder) updateTallies(c *caller, change func(*Tally)) {
	if c.deathQuery != nil {
		return // nobody misses its answer
	}
	for _, t := range []*Tally{&b.result.All, b.result.Kinds[c.kind.Name], b.result.Domains[c.domain.Name], b.result.Windows[c.window]} {
		change(t)
	}
}

func (b *recorder) countAsked(c *caller, second float64) {
	c.window = min(int(second)/WindowSeconds, len(b.result.Windows)-1)
	b.updateTallies(c, func(t *Tally) {
		t.Asked++
		t.Possible += c.kind.Worth
	})
}

// countAnswered counts an answer that came after took.
func (b *recorder) countAnswered(q *entryAttempt, took time.Duration) {
	if q.deathQuery != nil {
		return
	}
	k := q.kind
	if took <= millis(k.TargetLatencyMS) {
		b.updateTallies(q.caller, func(t *Tally) {
			t.InAim++
			t.Earned += k.Worth
		})
		return
	}
	switch {
	case q.retries < k.Retries:
		b.result.Late[lateReturned]++
	case q.sends > 1:
		b.result.Late[lateRepeated]++
	default:
		b.result.Late[lateOther]++
	}
	b.updateTallies(q.caller, func(t *Tally) {
		t.Late++
		t.Earned += k.LateWorth
	})
}

// countArrival counts a request of callers of one region that has reached a target.
func (b *recorder) countArrival(now clock.Time, q *entryAttempt, to fleet.Region) {
	if q.deathQuery != nil {
		b.countDeathQueryArrival(now, q.deathQuery)
		return
	}
	from := q.domain.Region
	b.arrivals[from] = append(b.arrivals[from], arrival{at: now, otherRegion: from != to})
}

func (b *recorder) countRefused(c *caller, why verdict.Reason) {
	if c.deathQuery != nil {
		return
	}
	b.result.Refusals[why]++
	b.updateTallies(c, func(t *Tally) { t.Refused++ })
}

func (b *recorder) countFailed(c *caller) { b.updateTallies(c, func(t *Tally) { t.Failed++ }) }

func (b *recorder) finalResult(v Variant) *Result {
	b.result.Seed = v.Seed
	b.result.FarDelay = b.farDelays.meanMS()
	b.result.WorstLimit = worstOverrun(b.limits)
	for _, d := range b.deathQueries {
		b.result.DeathQueries = append(b.result.DeathQueries, *d)
	}
	b.result.WorstShift = b.worstShareChange(b.pattern.RegionShift, ShareWindow, seconds(b.pattern.Seconds))
	return &b.result
}
