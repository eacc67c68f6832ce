package queue

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Compares the list with a slice over random insertions and removals.
func TestFIFOAgainstSlice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var l FIFO[int]
		var model []*Node[int]
		for i := range rapid.IntRange(0, 40).Draw(rt, "steps") {
			n := &Node[int]{Item: i}
			switch k := rapid.IntRange(0, 3).Draw(rt, "step"); {
			case k == 0:
				l.PushBack(n)
				model = append(model, n)
			case k == 1:
				l.PushFront(n)
				model = slices.Insert(model, 0, n)
			case k == 2 && len(model) > 0:
				at := rapid.IntRange(0, len(model)-1).Draw(rt, "at")
				l.InsertAfter(model[at], n)
				model = slices.Insert(model, at+1, n)
			case len(model) > 0:
				at := rapid.IntRange(0, len(model)-1).Draw(rt, "at")
				l.Remove(model[at])
				l.Remove(model[at]) // no longer in the list
				model = slices.Delete(model, at, at+1)
			}
			compare(rt, &l, model)
		}
	})
}

func compare(rt *rapid.T, l *FIFO[int], model []*Node[int]) {
	if l.Len() != len(model) {
		rt.Fatalf("length %d, want %d", l.Len(), len(model))
	}
	n := l.Front()
	for _, m := range model {
		if n != m || !n.Queued() {
			rt.Fatalf("forward order differs from the slice")
		}
		n = n.Next()
	}
	n = l.Back()
	for i := len(model) - 1; i >= 0; i-- {
		if n != model[i] {
			rt.Fatalf("reverse order differs from the slice")
		}
		n = n.Prev()
	}
}

// Guards against look-ups being refused while a burst of deferrable
// submissions fills the queue.
func TestGateReservesCapacityForInteractiveWork(t *testing.T) {
	is := is.New(t)
	g := Gate{MaxItems: 4, MaxBytes: 1000, DeferrableShare: 0.5}
	g.Add(100)
	is.True(g.Admits(true, 100))
	g.Add(100)
	is.True(!g.Admits(true, 100))
	is.True(g.Admits(false, 800))
	is.True(!g.Admits(false, 801))
	g.Remove(100)
	is.Equal(g.Items(), 1)
	is.Equal(g.Bytes(), int64(100))
	is.True(!g.Admits(true, 401))
}
