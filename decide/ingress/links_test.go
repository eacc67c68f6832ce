package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/verdict"
)

// linkHarness has three targets of the own region, one of them in another failure
// domain.
func linkHarness(t *testing.T) *harness {
	s := newHarness(t, Bounds{RetryRatio: 1, RetrySlack: 100}, selfVM)
	s.configure(1, idempotentRoute("a"))
	s.target("t1", "d1", 50)
	s.target("t2", "d1", 50)
	s.target("t3", "d2", 50)
	return s
}

// failConnect fails a send because no connection to its target could be opened.
func (s *harness) failConnect(e Send) *Ready {
	s.t.Helper()
	return s.step(&Failed{Attempt: e.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
}

// Guards against a VM that takes the loss of its own links for the failure of targets,
// or the failure of a target for the loss of its links.
func TestLinksAreProbedAfterAFailure(t *testing.T) {
	is := is.New(t)
	s := linkHarness(t)
	first := s.arriveOnce(1, "/a/x", "")
	s.now = s.now.Add(time.Second)
	out := s.failConnect(first)
	is.Equal(len(out.LinkProbes), 1)
	is.Equal(len(out.LinkChanges), 0)
	out = s.step(&LinkProbed{Listening: ListeningYes}) // only the target has failed
	is.Equal(len(out.LinkChanges), 0)

	s.now = s.now.Add(time.Second)
	second := s.arriveOnce(2, "/a/x", "")
	s.now = s.now.Add(time.Second)
	is.Equal(len(s.failConnect(second).LinkProbes), 1)
	s.now = s.now.Add(250 * time.Millisecond)
	out = s.step(&LinkProbed{Listening: ListeningUnknown})
	is.Equal(out.LinkChanges[0].Down, true)
	is.True(s.r.Status(s.now).LinksDown)

	probed := make(map[string]bool)
	for range 6 {
		s.now = s.now.Add(linkProbeInterval)
		for _, p := range s.step(&Tick{}).LinkProbes {
			probed[string(p.Target)] = true
		}
		s.step(&LinkProbed{Listening: ListeningNo})
	}
	is.Equal(len(probed), 3)
	s.now = s.now.Add(linkProbeInterval)
	is.Equal(len(s.step(&Tick{}).LinkProbes), 1)
	is.Equal(s.step(&LinkProbed{Listening: ListeningYes}).LinkChanges[0].Down, false)
	is.True(!s.r.Status(s.now).LinksDown)
	s.now = s.now.Add(time.Minute)
	is.Equal(len(s.step(&Tick{}).LinkProbes), 0)
}

// Guards against an answer on a connection from before the loss of the links that is
// taken for the end of the loss.
func TestConnectionsOpenedBeforeProveNoLinks(t *testing.T) {
	is := is.New(t)
	s := linkHarness(t)
	before := s.arriveOnce(1, "/a/x", "")
	s.now = s.now.Add(100 * time.Millisecond)
	after := s.arriveOnce(2, "/a/x", "")
	s.now = s.now.Add(250 * time.Millisecond)
	s.failConnect(after)
	s.step(&LinkProbed{Listening: ListeningUnknown})
	is.True(s.r.links.down)
	s.step(&Answered{Attempt: before.Attempt, ConnectTime: time.Millisecond})
	is.True(s.r.links.down)
}
