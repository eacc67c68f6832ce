package clocktest_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/clock/clocktest"
)

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	var q clocktest.Queue[string]
	is.Equal(q.Next(), clock.Never)
	q.Push(2, "second")
	q.Push(2, "third")
	q.Push(1, "first")
	q.Push(3, "last")
	is.Equal(q.Next(), clock.Time(1))
	var got []string
	for at, ev, ok := q.Pop(2); ok; at, ev, ok = q.Pop(2) {
		is.True(at <= 2)
		got = append(got, ev)
	}
	is.Equal(got, []string{"first", "second", "third"})
	is.Equal(q.Next(), clock.Time(3))
}
