package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/verdict"
)

// Guards against wrong retry delays after a load peak at one target, with four
// requests per slot that are all refused at once. Delays derived from the aim
// alone were far longer than the time until a slot was free, or made all callers
// return together and be refused again.
func TestRetryAfterFollowsExpectedRoom(t *testing.T) {
	is := is.New(t)
	delays := func(work time.Duration) (least, most time.Duration) {
		s := newHarness(t, Bounds{}, selfVM)
		rt := idempotentRoute("a")
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
		s.now = s.now.Add(time.Duration(maxWaitShare * float64(rt.Aim)))
		for _, f := range s.step(&Tick{}).Refusals {
			is.Equal(f.Verdict, verdict.NotRun)
			least, most = min(least, f.RetryAfter), max(most, f.RetryAfter)
		}
		return least, most
	}
	least, most := delays(15 * time.Millisecond)
	is.True(least >= 40*time.Millisecond && most <= 80*time.Millisecond) // a tenth of the aim, at least
	is.True(most-least > 10*time.Millisecond)                            // spread over time
	least, most = delays(120 * time.Millisecond)                         // room after a wait of two to four times the work
	is.True(least >= 150*time.Millisecond && most <= 600*time.Millisecond)
}
