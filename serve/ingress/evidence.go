package ingress

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
	"github.com/azurethread/azurethread/serve/outbound"
)

// answerRecord describes an answer and the connection to the target on which it came. It says
// what the verdict of a request rests on.
type answerRecord struct {
	Status  int     `json:"status,omitempty"` // 0: it came from a gateway that does not state it
	Named   bool    `json:"named"`            // it states the id of a request
	Earlier int     `json:"earlier"`          // answers that the connection had carried before
	HeadMS  float64 `json:"head_ms"`          // from the write of the request to the head
	// RTTMS is the shortest round trip on the connection, for an answer that is not named; 0:
	// not known. An answer that comes sooner was on its way before the request.
	RTTMS float64 `json:"rtt_ms,omitempty"`
}

// describeAnswer describes an answer of a target.
func (s *Server) describeAnswer(ans *outbound.Answer) *answerRecord {
	return &answerRecord{
		Status:  ans.Status,
		Named:   ans.Header.Get(s.settings.Fields.RequestID) != "",
		Earlier: ans.Earlier,
		HeadMS:  milliseconds(ans.HeadAfter),
		RTTMS:   milliseconds(ans.RTT),
	}
}

// describeUnproved describes the answer that has ended a send although it may belong to no
// request; nil if there is none.
func describeUnproved(err error) *answerRecord {
	var e *outbound.UnprovedError
	if !errors.As(err, &e) {
		return nil
	}
	return &answerRecord{Status: e.Status, Earlier: e.Earlier, HeadMS: milliseconds(e.HeadAfter), RTTMS: milliseconds(e.RTT)}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// proves reports whether the answer is that of the request which its connection carried.
func (a *answerRecord) proves() bool { return a.Named || a.Earlier == 0 }

// countRejection counts an answer which states that the request has not run, by what ties it
// to the request.
func (s *Server) countRejection(a *answerRecord) {
	switch {
	case a.Named:
		s.metrics.rejections.Add("named", 1)
	case a.proves():
		s.metrics.rejections.Add("unnamed-first", 1)
	default:
		s.metrics.rejections.Add("unnamed-later", 1)
	}
}

// encode returns the value of gatewayAnswerHeader.
func (a *answerRecord) encode() string {
	return fmt.Sprintf("%t %d %.3f %.3f %d", a.Named, a.Earlier, a.HeadMS, a.RTTMS, a.Status)
}

// takeGatewayAnswer removes and returns what parseGatewayAnswer parses.
func takeGatewayAnswer(h http.Header) *answerRecord {
	a := parseGatewayAnswer(h)
	delete(h, gatewayAnswerHeader)
	return a
}

// parseGatewayAnswer parses what a gateway states about a target's answer; nil if it states
// nothing that can be parsed.
func parseGatewayAnswer(h http.Header) *answerRecord {
	a := new(answerRecord)
	n, _ := fmt.Sscanf(h.Get(gatewayAnswerHeader), "%t %d %f %f %d", &a.Named, &a.Earlier, &a.HeadMS, &a.RTTMS, &a.Status)
	if n < 3 { // earlier versions state no RTT and no status
		return nil
	}
	return a
}

// gatewayFailure returns the failure that a gateway reports in ans, or that there is since the
// answer of the target which it passes on proves nothing; nil if there is none. Gateways of
// earlier versions pass on such answers.
func (s *Server) gatewayFailure(ans *outbound.Answer) *verdict.Error {
	stated := heads.ParseFailure(ans.Header)
	a := parseGatewayAnswer(ans.Header)
	rejected := stated == nil && s.outcomeOf(ans).Verdict() == verdict.NotRun
	switch {
	case stated != nil && stated.Reason == verdict.ReasonUnproved && a != nil:
		stated.Err = a.unproved()
	case rejected && a == nil:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonUnproved}
	case rejected && !a.proves():
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonUnproved, Err: a.unproved()}
	}
	return stated
}

// unproved returns the error that describes a.
func (a *answerRecord) unproved() *outbound.UnprovedError {
	return &outbound.UnprovedError{Status: a.Status, Earlier: a.Earlier, HeadAfter: duration(a.HeadMS), RTT: duration(a.RTTMS)}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// lastEvidence returns the description of the answer to the latest send of k; nil if there is
// none.
func (k *call) lastEvidence() *answerRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.sends) == 0 {
		return nil
	}
	return k.sends[len(k.sends)-1].Answer
}
