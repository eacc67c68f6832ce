package detect_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
)

// session applies the lines of a golden file to one detector.
type session struct {
	detector detect.Detector
	now      clock.Time
	out      strings.Builder
}

func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		var s session
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			switch d.Cmd {
			case "answers":
				s = session{detector: detect.ForAnswers(maxSilence)}
			case "heartbeats":
				s = session{detector: detect.ForHeartbeats(interval)}
			case "lag-in-answers":
				s = session{detector: detect.NewRelative(detect.RelativeConfig{
					Bound: 2, BoundMax: 4, MinSilence: 20 * ms, MaxSilence: maxSilence})}
			case "events":
				for line := range strings.Lines(d.Input) {
					s.runLine(t, line)
				}
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return s.out.String()
		})
	})
}

// runLine applies one line: the instant, the event, the member, and for "steady"
// the number of exchanges and the latency of each.
func (s *session) runLine(t *testing.T, line string) {
	fields := strings.Fields(line)
	at, err := time.ParseDuration(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	var id detect.ID
	fmt.Sscan(fields[2], &id)
	s.now = clock.Time(at)
	switch event := fields[1]; event {
	case "sent":
		s.detector.Sent(s.now, id)
	case "heard":
		s.detector.Heard(s.now, id)
	case "done":
		s.detector.Done(s.now, id)
	case "abandoned":
		s.detector.Abandoned(s.now, id)
	case "forget":
		s.detector.Forget(id)
	case "steady":
		s.steady(t, id, fields[3], fields[4])
	case "ask":
		s.printState(id)
	default:
		t.Fatalf("unknown event %q", event)
	}
}

func (s *session) steady(t *testing.T, id detect.ID, count, latency string) {
	var n int
	fmt.Sscan(count, &n)
	each, err := time.ParseDuration(latency)
	if err != nil {
		t.Fatal(err)
	}
	for range n {
		s.now = exchange(s.detector, s.now, id, each)
	}
}

func (s *session) printState(id detect.ID) {
	due := "never"
	if at := s.detector.Due(s.now, id); at != clock.Never {
		due = at.Sub(0).Round(time.Microsecond).String()
	}
	fmt.Fprintf(&s.out, "%v member %d: suspect=%t due=%s", s.now.Sub(0), id, s.detector.Suspect(s.now, id), due)
	switch d := s.detector.(type) {
	case *detect.Phi:
		fmt.Fprintf(&s.out, " bound=%v\n", d.Bound().Round(time.Microsecond))
	case *detect.Relative:
		fmt.Fprintf(&s.out, " lag-bound=%d\n", d.LagBound())
	}
}
