package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/verdict"
)

// Guards against a planned stop that says "not run" of a request that its target may
// have, that keeps state of a request, or that passes on requests afterwards.
func TestEndingGivesTrueVerdicts(t *testing.T) {
	is, s := is.New(t), gatewayHarness(t, false)
	sent := make(map[RequestID]bool)
	for id := RequestID(100); id < 150; id++ { // more than there are slots
		sent[id] = len(s.step(&Arrive{Request: id, Host: "h", Path: "/a/x"}).Sends) > 0
	}
	is.Equal(len(s.r.requests), len(sent))
	s.step(&ForwardRequest{Request: 200, Target: "t1", TimeLeft: time.Second})
	sent[200] = true
	out := s.step(&Ending{})
	is.Equal(len(out.Refusals), len(sent))
	waited := 0
	for _, f := range out.Refusals {
		is.Equal(f.Verdict == verdict.MayHaveRun, sent[f.Request])
		waited += count(!sent[f.Request])
	}
	is.True(waited > 0)
	is.Equal(len(s.r.requests)+len(s.r.attempts)+len(s.r.jobs)+len(s.r.forwards), 0)
	is.Equal(s.step(&Arrive{Request: 300, Host: "h", Path: "/a/x"}).Refusals[0].Verdict, verdict.NotRun)
	is.Equal(s.step(&ForwardRequest{Request: 301, Target: "t1", TimeLeft: time.Second}).Refusals[0].Verdict, verdict.NotRun)
}
