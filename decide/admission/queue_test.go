package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/azurethread/azurethread/decide/clock"
)

const (
	start = clock.Time(1_700_000_000 * time.Second)
	step  = 10 * time.Millisecond
)

// serve grants the first request after one step.
func serve(q *Queue[int], now *clock.Time, work time.Duration) *Entry[int] {
	*now = now.Add(step)
	for e := range q.All(*now) {
		q.Granted(*now, e, work)
		return e
	}
	return nil
}

func request(now clock.Time, priority, account int, weight float64) Request {
	return Request{Priority: priority, Account: fmt.Sprint(account), Weight: weight, Arrived: now, ObjectiveAt: now.Add(time.Hour),
		WaitUntil: now.Add(time.Hour), MinReturn: step, MaxReturn: time.Second}
}

// Guards against an order other than class, granted work, objective and age, computed here
// from the history of grants, and against removals that move other requests.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q Queue[int]
		now := start
		type grant struct {
			e    *Entry[int]
			at   clock.Time
			work float64
		}
		var grants []grant
		work := func(e *Entry[int]) (sum float64) {
			for _, g := range grants {
				if g.e.account == e.account {
					sum += g.work * math.Exp(-now.Sub(g.at).Seconds()/forgetTime.Seconds()) / e.request.Weight
				}
			}
			return sum
		}
		draw := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(rt, name) }
		for i := range draw("steps", 1, 60) {
			now = now.Add(time.Duration(draw("ms", 0, 300)) * time.Millisecond)
			before := slices.Collect(q.All(now))
			switch kind := draw("kind", 0, 4); {
			case kind <= 2 || len(before) == 0:
				account := draw("account", 0, 2)
				r := request(now, draw("priority", 0, 1), account, float64(1+account))
				r.ObjectiveAt = now.Add(time.Duration(draw("objective", -100, 500)) * time.Millisecond)
				q.Push(now, r, i)
			case kind == 3:
				at := draw("at", 0, len(before)-1)
				q.Remove(before[at])
				q.Remove(before[at]) // has no effect
				if !slices.Equal(slices.Collect(q.All(now)), slices.Delete(before, at, at+1)) {
					rt.Fatal("a removal has changed the order of other requests")
				}
			default:
				ms := draw("work", 1, 500)
				q.Granted(now, before[0], time.Duration(ms)*time.Millisecond)
				grants = append(grants, grant{before[0], now, float64(ms) / 1000})
			}
			list := slices.Collect(q.All(now))
			for i := 1; i < len(list); i++ {
				a, b := list[i-1], list[i]
				late := now.After(a.request.ObjectiveAt) && !now.After(b.request.ObjectiveAt)
				later := now.After(a.request.ObjectiveAt) == now.After(b.request.ObjectiveAt) && a.request.Arrived > b.request.Arrived
				if (a.class != b.class && a.class.priority > b.class.priority && !a.class.owed()) ||
					(a.class == b.class && a.account != b.account && work(a) > work(b)*1.0001+1e-9) ||
					(a.account == b.account && (late || later)) {
					rt.Fatalf("%+v goes before %+v", a.request, b.request)
				}
			}
		}
	})
}

// Guards against a class that starves behind a more urgent one, and against accounts that
// get other shares of their class than their weights, while all of them keep waiting.
func TestClassesAndAccountsGetTheirShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const grants = 4000
		var q Queue[int]
		now, total := start, 0.0
		classes := rapid.IntRange(1, 4).Draw(rt, "classes")
		weights := rapid.SliceOfN(rapid.Float64Range(1, 5), 2, 5).Draw(rt, "weights")
		push := func(class, account int) { q.Push(now, request(now, class, account, weights[account]), account) }
		for a, w := range weights {
			total += w
			for c := range classes {
				push(c, a)
				push(c, a)
			}
		}
		got, byClass := make([]int, len(weights)), make([]int, classes) // got: of the first class
		for range grants {
			e := serve(&q, &now, 200*time.Millisecond)
			got[e.Item] += count(e.request.Priority == 0)
			byClass[e.request.Priority]++
			push(e.request.Priority, e.Item)
		}
		for c, n := range byClass {
			if n < grants/grantsPerFloor-1 {
				rt.Fatalf("class %d got %d of %d grants", c, n, grants)
			}
		}
		for a, w := range weights {
			if share := float64(got[a]) / float64(byClass[0]); math.Abs(share-w/total) > 0.02 {
				rt.Fatalf("account %d with a share of %.3f of the weights got %.3f", a, w/total, share)
			}
		}
	})
}

// Guards against refusals of requests that would have been served in time: a prediction must
// be near the actual wait of the request.
func TestPredictionsAreNearTheActualWait(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q Queue[int]
		now := start
		accounts := rapid.IntRange(1, 100).Draw(rt, "accounts")
		weights := rapid.SliceOfN(rapid.Float64Range(1, 5), accounts, accounts).Draw(rt, "weights")
		for a, n := range rapid.SliceOfN(rapid.IntRange(1, 40), accounts, accounts).Draw(rt, "backlog") {
			for range n {
				q.Push(now, request(now, 1, a, weights[a]), a)
			}
		}
		for range min(q.Len()/2, 100) {
			serve(&q, &now, 100*time.Millisecond)
		}
		a := rapid.IntRange(0, accounts-1).Draw(rt, "account")
		want, known := q.ExpectedWait(now, request(now, 1, a, weights[a]))
		if !known {
			return // too few grants
		}
		began := now
		for e := q.Push(now, request(now, 1, a, weights[a]), -1); e.Queued(); {
			serve(&q, &now, 100*time.Millisecond)
		}
		if actual := now.Sub(began); (want - actual).Abs() > actual/4+150*time.Millisecond {
			rt.Fatalf("expected %v, waited %v", want, actual)
		}
	})
}

// Guards against refused callers that return together or after the longest useful time, and
// against refusals of requests whose wait is not known.
func TestRefusedCallersReturnOneByOne(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	now, r := start, request(start, 0, 1, 1)
	is.True(!q.WaitsInVain(now, r))
	is.Equal(q.ReturnAfter(now, r), time.Duration(0))
	for range 130 {
		q.Push(now, r, 0)
	}
	for range 100 {
		serve(&q, &now, time.Second)
	}
	r.WaitUntil = now.Add(200 * time.Millisecond)
	is.True(q.WaitsInVain(now, r)) // 30 requests wait, one is granted every 10 ms
	r.WaitUntil = now.Add(400 * time.Millisecond)
	is.True(!q.WaitsInVain(now, r))
	last := q.ReturnAfter(now, r)
	is.True(last >= 290*time.Millisecond && last <= 320*time.Millisecond)
	for range 100 {
		next := q.ReturnAfter(now, r)
		is.True(next == r.MaxReturn || (next-last-step).Abs() < 2*time.Millisecond)
		last = next
	}
	is.Equal(last, r.MaxReturn)
	is.True(q.ReturnAfter(now.Add(100*time.Millisecond), r) < r.MaxReturn-80*time.Millisecond) // time has passed
}

// Guards against refusals after a pause of the process: if it counts as time without grants,
// the rate appears several times too low for most of a second.
func TestPausesDoNotLowerTheRate(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	now := start
	serveAndPush := func() {
		serve(&q, &now, 100*time.Millisecond)
		q.Push(now, request(now, 1, 1, 1), 0)
	}
	for range 60 {
		q.Push(now, request(now, 1, 1, 1), 0)
	}
	for range 100 {
		serveAndPush()
	}
	now = now.Add(900 * time.Millisecond)
	for range 2 * minGrants {
		serveAndPush()
		if wait, known := q.ExpectedWait(now, request(now, 1, 1, 1)); known {
			is.True(wait <= 70*step) // 60 requests wait, one is granted every 10 ms
		}
	}
	_, known := q.ExpectedWait(now, request(now, 1, 1, 1))
	is.True(known)
}

// Guards against memory that grows with every account that was ever seen.
func TestIdleAccountsAreDropped(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i := range 1000 {
		q.Charge(start, request(start, i%3, i, 1), step)
	}
	is.Equal(len(q.classes), 3)
	q.Push(start.Add(accountTTL), request(start, 7, 0, 1), 0)
	is.Equal(len(q.classes), 1)
	is.Equal(len(q.classes[0].accounts), 1)
}

// BenchmarkQueue measures one request that is predicted, waits and is granted, while others
// wait, 20 of them for the target with the free slot.
func BenchmarkQueue(b *testing.B) {
	for _, accounts := range []int{1, 100, 10_000} {
		for _, waiting := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("accounts=%d/waiting=%d", accounts, waiting), func(b *testing.B) {
				var q Queue[int]
				now := start
				var candidates [20]*Entry[int]
				for i := range waiting {
					candidates[i%20] = q.Push(now, request(now, i%3, i%accounts, 1), 0)
				}
				list := make([]*Entry[int], 20)
				b.ReportAllocs()
				for i := range b.N {
					now = now.Add(100 * time.Microsecond)
					r := request(now, i%3, 0, 1)
					r.Account = candidates[i%20].request.Account
					q.ExpectedWait(now, r)
					copy(list, candidates[:])
					for e := range q.InOrder(now, list) {
						at := slices.Index(candidates[:], e)
						q.Granted(now, e, step)
						candidates[at] = q.Push(now, r, 0)
						break
					}
				}
			})
		}
	}
}
