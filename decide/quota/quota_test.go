package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
)

// Guards against a budget that allows more than the operators' rule in a window:
// full buckets are emptied, and what was on its way arrives in the same window.
func TestBudgetStaysWithinTheRule(t *testing.T) {
	is := is.New(t)
	for _, r := range []Rule{
		{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, {Window: time.Second}, {Window: time.Minute, Overage: 0.5},
	} {
		for _, q := range [][2]float64{{447, 447}, {3, 3}, {100, 0}, {0.2, 1}, {1000, 5}} {
			b := r.Budget(q[0], q[1])
			is.True(b.Rate > 0)
			is.True(b.Depth > 0)
			is.True(b.Depth+b.Rate*(r.Window+Transit).Seconds() <= r.Allowed(q[0], q[1])*(1+1e-9))
		}
	}
}

// Guards against tokens that come from nowhere: several VMs take tokens, transfer
// them, get some of them back, and restart, at random.
func TestTokensAreConserved(t *testing.T) {
	rule := Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		perSecond := 1 + 60*rng.Float64()
		total := rule.Budget(perSecond, perSecond)
		const vms = 6
		part := total.Part(1.0 / vms)
		now := clock.Time(time.Hour)
		var buckets [vms]Bucket
		for i := range buckets {
			buckets[i] = NewBucket(now, now.Add(-time.Hour), part)
		}
		var runs []clock.Time
		var pending []func()
		for range 20000 {
			now = now.Add(time.Duration(rng.IntN(2000)) * time.Microsecond)
			i, k := rng.IntN(vms), rng.IntN(vms)
			switch rng.IntN(40) {
			case 0:
				n := buckets[i].TakeUpTo(now, 5*rng.Float64(), rng.Float64())
				if rng.IntN(4) > 0 { // else it is lost
					sent := now
					pending = append(pending, func() {
						if now.Sub(sent) <= TransferTimeout {
							buckets[k].Put(now, n)
						}
					})
				}
			case 1:
				if len(pending) > 0 {
					pending[0]()
					pending = pending[1:]
				}
			case 2:
				if rng.IntN(20) == 0 {
					buckets[i] = NewBucket(now, now, part)
				}
			default:
				if buckets[i].Take(now, 1) {
					runs = append(runs, now)
				}
			}
		}
		last := 0
		for first := range runs {
			for last < len(runs) && runs[last] < runs[first].Add(rule.Window) {
				last++
			}
			if most := rule.Allowed(perSecond, perSecond); float64(last-first) > most {
				t.Fatalf("seed %d: %d requests in a window, %.1f allowed", seed, last-first, most)
			}
		}
	}
}

func TestBucket(t *testing.T) {
	is := is.New(t)
	at := clock.Time(time.Hour)
	k := NewBucket(at, at, Budget{Rate: 2, Depth: 3})
	is.True(!k.Take(at, 1)) // a new process starts without tokens
	is.Equal(k.TimeTo(at, 1), 500*time.Millisecond)
	at = at.Add(500 * time.Millisecond)
	is.True(k.Take(at, 1))
	at = at.Add(time.Minute)
	is.Equal(k.Tokens(at), 3.0)
	is.True(k.Full(at))
	k.Put(at, 5)
	is.Equal(k.Tokens(at), 3.0)
	is.Equal(k.TakeUpTo(at, 5, 1), 2.0)
	is.Equal(k.TakeUpTo(at, 5, 2), 0.0)
	k.SetBudget(at, Budget{Rate: 1, Depth: 0.5})
	is.Equal(k.Tokens(at), 1.0) // one whole token may be held
	at = at.Add(time.Second)
	is.Equal(k.Tokens(at), 1.0)
}

func TestMeter(t *testing.T) {
	is := is.New(t)
	var m Meter
	at := clock.Time(time.Hour)
	for range 100 {
		at = at.Add(100 * time.Millisecond)
		m.Add(at)
	}
	is.True(m.PerSecond(at) > 9 && m.PerSecond(at) < 12)
	is.True(m.PerSecond(at.Add(10*time.Second)) < 0.01)
}
