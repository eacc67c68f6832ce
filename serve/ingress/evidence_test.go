package ingress

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
	"github.com/azurethread/azurethread/serve/outbound"
)

// Guards against a promise that rests on what a gateway of an earlier version has passed on: it
// names the request in a rejection which may be nobody's.
func TestGatewayAnswersProveWhatTheyRestOn(t *testing.T) {
	s := &Server{settings: &Settings{Fields: testFields}}
	for name, tc := range map[string]struct {
		status   int
		evidence string // "": the gateway states none
		want     verdict.Reason
	}{
		"served":                     {http.StatusOK, "", verdict.ReasonNone},
		"named rejection":            {http.StatusServiceUnavailable, "true 7 1.000", verdict.ReasonNone},
		"first answer":               {http.StatusServiceUnavailable, "false 0 1.000 0.500 503", verdict.ReasonNone},
		"later answer":               {http.StatusServiceUnavailable, "false 7 1.000 0.500 503", verdict.ReasonUnproved},
		"later answer, older format": {http.StatusServiceUnavailable, "false 7 1.000", verdict.ReasonUnproved},
		"nothing stated":             {http.StatusServiceUnavailable, "", verdict.ReasonUnproved},
		"misdirected, later answer":  {http.StatusMisdirectedRequest, "false 7 1.000 0.500 421", verdict.ReasonUnproved},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{testFields.RequestID: {"a"}, testFields.Stamp: {"s"}}
			if tc.status != http.StatusOK {
				h[testFields.NotRun] = []string{"1"}
			}
			if tc.evidence != "" {
				h[gatewayAnswerHeader] = []string{tc.evidence}
			}
			err := s.gatewayFailure(&outbound.Answer{Status: tc.status, Header: h})
			if tc.want == verdict.ReasonNone {
				is.Equal(err, nil)
				return
			}
			is.Equal(err.Reason, tc.want)
			is.Equal(err.Verdict, verdict.MayHaveRun)
		})
	}
}

// Guards against a log line that does not show what an unproved answer rests on, because it came
// through a gateway.
func TestGatewayFailureKeepsItsEvidence(t *testing.T) {
	is := is.New(t)
	s := &Server{settings: &Settings{Fields: testFields}}
	sent := &answerRecord{Status: 503, Earlier: 7, HeadMS: 1.5, RTTMS: 0.25}
	h := http.Header{gatewayAnswerHeader: {sent.encode()}}
	heads.SetFailure(h, verdict.MayHaveRun, verdict.ReasonUnproved)
	err := s.gatewayFailure(&outbound.Answer{Status: http.StatusBadGateway, Header: h})
	var e *outbound.UnprovedError
	is.True(errors.As(err, &e))
	is.Equal(e.HeadAfter, 1500*time.Microsecond)
	is.Equal(describeUnproved(err.Err), sent)
}
