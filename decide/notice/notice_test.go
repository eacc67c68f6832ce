package notice

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
)

const start = clock.Time(time.Hour)

// Guards against a target that is used again because a later answer, to an earlier
// request, lacks the statement.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	var a Availability
	is.True(a.Available())
	is.Equal(a.Apply(start, Notice{Leaving: true}), Change{Left: true})
	is.Equal(a.Apply(start+1, Notice{}), Change{})
	is.Equal(a.Apply(start+2, Notice{Leaving: true}), Change{})
	is.True(!a.Available())
	is.Equal(a.LeavingSince(), start)
}

// Guards against answers that overtake each other: the longest backoff holds.
func TestShorterBackoffDoesNotReplaceALongerOne(t *testing.T) {
	is := is.New(t)
	var a Availability
	is.Equal(a.Apply(start, Notice{Backoff: 3 * time.Second}), Change{BackedOff: true})
	is.Equal(a.Apply(start.Add(time.Second), Notice{Backoff: time.Second}), Change{})
	is.Equal(a.BackoffUntil(), start.Add(3*time.Second))
	is.Equal(a.Apply(start.Add(time.Second), Notice{Backoff: 3 * time.Second}), Change{Extended: true})
	is.Equal(a.BackoffUntil(), start.Add(4*time.Second))
	is.Equal(a.Notice(start.Add(2*time.Second)), Notice{Backoff: 2 * time.Second})
	is.True(!a.EndBackoff(start.Add(4*time.Second - 1)))
	is.True(a.EndBackoff(start.Add(4 * time.Second)))
}

// Guards against a target that gets all waiting requests at once when its backoff is
// over.
func TestTargetIsUsedStepByStepAfterABackoff(t *testing.T) {
	is := is.New(t)
	var a Availability
	is.True(a.Admits(100))
	a.Apply(start, Notice{Backoff: time.Second})
	is.True(!a.Admits(0))
	is.True(a.EndBackoff(start.Add(time.Second)))
	is.True(a.Admits(0))
	is.True(!a.Admits(1))
	a.Answered(8)
	is.True(a.Admits(1))
	is.True(!a.Admits(2))
	a.Answered(8)
	a.Answered(8)
	is.True(a.Admits(100))
}

// Guards against a statement that takes a target out of use for good.
func TestBackoffIsLimited(t *testing.T) {
	is := is.New(t)
	var a Availability
	a.Apply(start, Notice{Backoff: 1 << 62})
	is.Equal(a.BackoffUntil(), start.Add(MaxBackoff))
}
