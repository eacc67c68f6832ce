package ingress

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/ingress"
)

// Guards against an invalid rate limit that stops all requests to a target or
// removes its limit.
func TestParseRate(t *testing.T) {
	is := is.New(t)
	for v, want := range map[string]float64{"4.8": 4.8, "0": 0, " 12 ": 12, ".5": 0.5, "100000000": 1e8} {
		rate, err := parseRate([]string{v})
		is.NoErr(err)
		is.Equal(rate, want)
	}
	for _, v := range []string{"", ".", "-1", "+1", "1e3", "inf", "NaN", "0x10", "1,2", "4 8", "1.2.3", "five", "111111111111111111111111111111111"} {
		_, err := parseRate([]string{v})
		is.True(err != nil)
	}
	_, err := parseRate([]string{"1", "2"})
	is.Equal(err, errRepeated)
}

// limitedTargets returns the number of targets of the service that are known to
// have a rate limit.
func (s *Server) limitedTargets() int {
	n := 0
	s.core.Query(func(now clock.Time, r *ingress.Reducer) { n = r.Status(now).Services["svc"].Limited })
	return n
}

// Guards against rate limits in answers that are ignored.
func TestRateLimitIsReadFromAnswer(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testFields.RateLimits[0], strings.TrimPrefix(r.URL.Path, "/"))
		respondOK("hello")(rw, r)
	})
	s := w.startListed("vm-1")
	res, _ := doRequest(t, s, http.MethodGet, "/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(s.limitedTargets(), 0)
	is.Equal(s.metrics.unreadLimits.Value(), int64(1))
	res, _ = doRequest(t, s, http.MethodGet, "/4.8", "id-2")
	is.Equal(res.Header.Get(testFields.RateLimits[0]), "4.8")
	is.Equal(s.limitedTargets(), 1)
}
