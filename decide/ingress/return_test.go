package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/verdict"
)

// Pattern: a crowd at one target, four requests a slot, all refused within a
// moment.
//
// Symptom: refused callers come back beyond their aim although a slot was free
// long before; or they all come back at once and are refused again.
// Sequence: the work is short against the aim, or long; the times to come back
// were parts of the aim alone.
// Cause: the coordinator knew when there would be room, and did not say it.
func TestRefusedCallersComeBackWhenThereIsRoom(t *testing.T) {
	is := is.New(t)
	returns := func(work time.Duration) (least, most time.Duration) {
		s := newBench(t, Bounds{}, selfVM)
		rt := one("a")
		rt.Aim = 400 * time.Millisecond
		s.configure(1, rt)
		s.target("t1", "d1", 3)
		for id := range RequestID(20) {
			s.serve(id, "/a/x", "o", work)
		}
		least = time.Hour
		for id := RequestID(100); id < 112; id++ {
			s.step(&Arrive{Request: id, Host: "h", Path: "/a/x", Object: "o"})
		}
		s.now = s.now.Add(time.Duration(queueShare * float64(rt.Aim)))
		for _, f := range s.step(&Tick{}).Refusals {
			is.Equal(f.Verdict, verdict.NotRun)
			least, most = min(least, f.RetryAfter), max(most, f.RetryAfter)
		}
		return least, most
	}
	least, most := returns(15 * time.Millisecond)
	is.True(least >= 40*time.Millisecond && most <= 80*time.Millisecond) // a tenth of the aim, at least
	is.True(most-least > 10*time.Millisecond)                            // not together
	least, most = returns(120 * time.Millisecond)                        // two to four rounds
	is.True(least >= 150*time.Millisecond && most <= 600*time.Millisecond)
}
