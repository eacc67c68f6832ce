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

func first(q *Queue[int], now clock.Time) *Entry[int] {
	for e := range q.All(now) {
		return e
	}
	return nil
}

func request(now clock.Time, priority int, account string, weight float64) Request {
	return Request{Priority: priority, Account: account, Weight: weight, Arrived: now, ObjectiveAt: now.Add(time.Second),
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
				if g.e.request.Account == e.request.Account && g.e.class == e.class {
					sum += g.work * math.Exp(-now.Sub(g.at).Seconds()/forgetTime.Seconds()) / e.request.Weight
				}
			}
			return sum
		}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			before := slices.Collect(q.All(now))
			switch k := rapid.IntRange(0, 4).Draw(rt, "kind"); {
			case k <= 2 || len(before) == 0:
				n := rapid.IntRange(0, 2).Draw(rt, "account")
				r := request(now, rapid.IntRange(0, 1).Draw(rt, "priority"), fmt.Sprint(n), float64(1+n))
				r.ObjectiveAt = now.Add(time.Duration(rapid.IntRange(-100, 500).Draw(rt, "objective")) * time.Millisecond)
				q.Push(now, r, i)
			case k == 3:
				at := rapid.IntRange(0, len(before)-1).Draw(rt, "at")
				q.Remove(before[at])
				q.Remove(before[at]) // has no effect
				if !slices.Equal(slices.Collect(q.All(now)), slices.Delete(before, at, at+1)) {
					rt.Fatal("a removal has changed the order of other requests")
				}
			default:
				ms := rapid.IntRange(1, 500).Draw(rt, "work")
				q.Granted(now, before[0], time.Duration(ms)*time.Millisecond)
				grants = append(grants, grant{before[0], now, float64(ms) / 1000})
			}
			list := slices.Collect(q.All(now))
			for i := 1; i < len(list); i++ {
				a, b := list[i-1], list[i]
				late := now.After(a.request.ObjectiveAt) && !now.After(b.request.ObjectiveAt)
				later := now.After(a.request.ObjectiveAt) == now.After(b.request.ObjectiveAt) && a.request.Arrived > b.request.Arrived
				switch same := a.request.Account == b.request.Account; {
				case a.class != b.class && a.class.priority > b.class.priority && !a.class.owed(),
					a.class == b.class && !same && work(a) > work(b)*1.0001+1e-9,
					a.class == b.class && same && (late || later):
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
		const grants, work = 4000, 200 * time.Millisecond
		var q Queue[int]
		now := start
		classes := rapid.IntRange(1, 4).Draw(rt, "classes")
		weights := rapid.SliceOfN(rapid.Float64Range(1, 5), 2, 5).Draw(rt, "weights")
		push := func(class, account int) {
			q.Push(now, request(now, class, fmt.Sprint(account), weights[account]), 100*class+account)
		}
		total := 0.0
		for a, w := range weights {
			total += w
			for c := range classes {
				push(c, a)
				push(c, a)
			}
		}
		got := make(map[int]int)
		byClass := make([]int, classes)
		for range grants {
			now = now.Add(step)
			e := first(&q, now)
			q.Granted(now, e, work)
			got[e.Item]++
			byClass[e.Item/100]++
			push(e.Item/100, e.Item%100)
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
		backlog := rapid.SliceOfN(rapid.IntRange(1, 40), accounts, accounts).Draw(rt, "backlog")
		weights := rapid.SliceOfN(rapid.Float64Range(1, 5), accounts, accounts).Draw(rt, "weights")
		for a, n := range backlog {
			for range n {
				r := request(now, 1, fmt.Sprint(a), weights[a])
				r.ObjectiveAt = now.Add(time.Hour)
				q.Push(now, r, a)
			}
		}
		serve := func() *Entry[int] {
			now = now.Add(step)
			e := first(&q, now)
			q.Granted(now, e, 100*time.Millisecond)
			return e
		}
		for range min(q.Len()/2, 100) {
			serve()
		}
		a := rapid.IntRange(0, accounts-1).Draw(rt, "account")
		r := request(now, 1, fmt.Sprint(a), weights[a])
		want, known := q.ExpectedWait(now, r)
		if !known {
			return // too few grants
		}
		began := now
		for e := q.Push(now, r, -1); e.Queued(); {
			serve()
		}
		actual := now.Sub(began)
		if diff := (want - actual).Abs(); diff > actual/4+150*time.Millisecond {
			rt.Fatalf("expected %v, waited %v", want, actual)
		}
	})
}

// Guards against refused callers that return together or after the longest useful time, and
// against refusals of requests whose wait is not known.
func TestRefusedCallersReturnOneByOne(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	now := start
	r := request(now, 0, "a", 1)
	is.True(!q.WaitsInVain(now, r))
	is.Equal(q.ReturnAfter(now, r), time.Duration(0))
	for range 130 {
		q.Push(now, r, 0)
	}
	for range 100 {
		now = now.Add(step)
		q.Granted(now, first(&q, now), time.Second)
	}
	r.WaitUntil = now.Add(200 * time.Millisecond)
	is.True(q.WaitsInVain(now, r)) // 30 requests wait, one is granted every 10 ms
	r.WaitUntil = now.Add(400 * time.Millisecond)
	is.True(!q.WaitsInVain(now, r))
	last := q.ReturnAfter(now, r)
	is.True(last >= 290*time.Millisecond && last <= 320*time.Millisecond)
	for range 100 {
		next := q.ReturnAfter(now, r)
		gap := next - last
		is.True(next == r.MaxReturn || (gap > 8*time.Millisecond && gap < 12*time.Millisecond))
		last = next
	}
	is.Equal(last, r.MaxReturn)
	now = now.Add(100 * time.Millisecond)
	is.True(q.ReturnAfter(now, r) < r.MaxReturn-80*time.Millisecond) // time has passed
}

// Guards against memory that grows with every account that was ever seen.
func TestIdleAccountsAreDropped(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i := range 1000 {
		q.Charge(start, request(start, i%3, fmt.Sprint(i), 1), step)
	}
	is.Equal(len(q.classes), 3)
	q.Push(start.Add(accountTTL), request(start, 7, "b", 1), 0)
	is.Equal(len(q.classes), 1)
	is.Equal(len(q.classes[0].accounts), 1)
}
