package heads

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/verdict"
)

func TestFailureRoundTrip(t *testing.T) {
	is := is.New(t)
	h := make(http.Header)
	is.True(ParseFailure(h) == nil)
	SetFailure(h, verdict.NotRun, verdict.ReasonGateway)
	got := ParseFailure(h)
	is.Equal(got.Verdict, verdict.NotRun)
	is.Equal(got.Reason, verdict.ReasonGateway)
	RemoveFailure(h)
	is.Equal(len(h), 0)
	SetFailure(h, verdict.Ran, verdict.ReasonNone) // verdict Ran is an answer, not a failure
	is.True(ParseFailure(h) == nil)
}
